package client

import (
	"time"

	"dahliaford/client/internal/plan"
)

// Observer receives the events of a client, for counters and histograms. Its methods must be safe for
// concurrent use, must not block and must not call the client. Package dahliaford/client/prom has an Observer
// for Prometheus.
type Observer interface {
	// AttemptEnded is called after each attempt that the caller did not cancel. outcome says how the attempt
	// ended:
	//
	//	served     the scheduler answered with a result
	//	refused    the scheduler refused the job with status 429 or 503
	//	invalid    the scheduler rejected the job as invalid, with another 4xx status
	//	failed     the scheduler answered with any other status
	//	unreached  the connection could not be opened
	//	parted     the scheduler had closed all idle connections, and the client opened no new connection
	//	no room    the client's own connection limits gave the attempt no connection in time
	//	not sent   the connection broke before the whole request was written
	//	crossed    a reused connection closed before the first byte of the response
	//	lost       the request was written, but no complete response arrived
	//	garbled    the response was malformed or too large
	AttemptEnded(scheduler, class, outcome string, took time.Duration)
	// JobEnded is called before Do returns, unless the client itself rejected the job as invalid. verdict is the
	// Verdict of the job, attempts is the number of attempts that the result took (0 without a result), and took
	// is the time since the call of Do.
	JobEnded(class, verdict string, attempts int, took time.Duration)
	// Connected is called after each attempt to open a connection. err is nil if the connection was opened.
	Connected(scheduler string, err error)
	// Throttled is called when a job gets no retry because the retry budget is used up.
	Throttled()
}

// noObserver is the Observer of a client whose configuration names none. It ignores all events.
type noObserver struct{}

// AttemptEnded implements Observer.
func (noObserver) AttemptEnded(string, string, string, time.Duration) {}

// JobEnded implements Observer.
func (noObserver) JobEnded(string, string, int, time.Duration) {}

// Connected implements Observer.
func (noObserver) Connected(string, error) {}

// Throttled implements Observer.
func (noObserver) Throttled() {}

// failureLabels maps each outcome without a response to the name that an Observer receives for the outcome.
// Metrics use the names as label values, so the names must not change when the constants are renamed.
var failureLabels = map[plan.Outcome]string{
	plan.ConnectFailed: "unreached",
	plan.IdleClosed:    "parted",
	plan.NotSent:       "not sent",
	plan.ClientLimited: "no room",
	plan.ReusedClosed:  "crossed",
	plan.NoResponse:    "lost",
	plan.Malformed:     "garbled",
}

// label returns the outcome of an attempt as Observer.AttemptEnded describes it.
func (r attemptResult) label() string {
	if label, failed := failureLabels[r.Outcome]; failed {
		return label
	}
	switch {
	case r.Status == statusOK:
		return "served"
	case r.Refused():
		return "refused"
	case r.Invalid():
		return "invalid"
	}
	return "failed"
}
