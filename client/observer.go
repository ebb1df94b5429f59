package client

import (
	"time"

	"dahliaford/client/internal/plan"
)

// Observer is told what a client does, for counters and histograms. Its methods must be
// safe for many goroutines, return at once and not call the client. Package
// dahliaford/desk/prom has one for Prometheus.
type Observer interface {
	// AttemptEnded is told of each try, and of each that came to nothing for want of a connection
	// (unreached, parted, no room): its scheduler, how it ended (served, refused, failed,
	// invalid, unreached, parted, not sent, no room, crossed, lost or garbled), and what it took.
	AttemptEnded(scheduler, class, outcome string, took time.Duration)
	// JobEnded is told of each job: its Verdict, the tries that a result took (0 without a
	// result), and what it took in all.
	JobEnded(class, verdict string, tries int, took time.Duration)
	// Connected is told of each new connection, and of each that did not come up.
	Connected(scheduler string, err error)
	// Throttled is told when a job got no retry because the budget was used up.
	Throttled()
}

type noObserver struct{}

func (noObserver) AttemptEnded(string, string, string, time.Duration) {}
func (noObserver) JobEnded(string, string, int, time.Duration)        {}
func (noObserver) Connected(string, error)                            {}
func (noObserver) Throttled()                                         {}

// label says how a try ended.
func (o attemptResult) label() string {
	switch o.Outcome {
	case plan.ConnectFailed:
		return "unreached"
	case plan.IdleClosed:
		return "parted"
	case plan.NotSent:
		return "not sent"
	case plan.ClientLimited:
		return "no room"
	case plan.ReusedClosed:
		return "crossed"
	case plan.NoResponse:
		return "lost"
	case plan.Malformed:
		return "garbled"
	}
	switch {
	case o.Status == 200:
		return "served"
	case o.Refused():
		return "refused"
	case o.Invalid():
		return "invalid"
	}
	return "failed"
}
