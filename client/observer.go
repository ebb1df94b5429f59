package client

import (
	"time"

	"dahliaford/client/internal/plan"
)

// Observer receives what a client does, for counters and histograms. Its methods must be safe for concurrent
// use, return at once and not call the client. Package dahliaford/client/prom has one for Prometheus.
type Observer interface {
	// AttemptEnded is called after each attempt, and after each one that did not begin for lack of a
	// connection (unreached, parted, no room). outcome is one of served, refused, failed, invalid, unreached,
	// parted, not sent, no room, crossed, lost and garbled.
	AttemptEnded(scheduler, class, outcome string, took time.Duration)
	// JobEnded is called for each job, with its Verdict, the attempts that the result took (0 without a
	// result) and the time from the call of Do to its return.
	JobEnded(class, verdict string, attempts int, took time.Duration)
	// Connected is called for each new connection; err is why it could not be opened.
	Connected(scheduler string, err error)
	// Throttled is called when a job got no retry because the retry budget was used up.
	Throttled()
}

// noObserver ignores all events.
type noObserver struct{}

// AttemptEnded implements Observer.
func (noObserver) AttemptEnded(string, string, string, time.Duration) {}

// JobEnded implements Observer.
func (noObserver) JobEnded(string, string, int, time.Duration) {}

// Connected implements Observer.
func (noObserver) Connected(string, error) {}

// Throttled implements Observer.
func (noObserver) Throttled() {}

// failureLabels name the outcomes without a response. Metrics have them as label values, so that they stay as
// they are whatever the constants are called.
var failureLabels = map[plan.Outcome]string{
	plan.ConnectFailed: "unreached",
	plan.IdleClosed:    "parted",
	plan.NotSent:       "not sent",
	plan.ClientLimited: "no room",
	plan.ReusedClosed:  "crossed",
	plan.NoResponse:    "lost",
	plan.Malformed:     "garbled",
}

// label names how an attempt ended, for Observer.
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
