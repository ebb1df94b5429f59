// Package history checks the history of what clients and workers saw of a real scheduler against the
// properties that package modelcheck checks in small worlds. It has no I/O and no clock: events come with
// their times, all read from one clock.
package history

import (
	"time"
)

// Kind is a kind of event.
type Kind uint8

// The kinds of events.
const (
	Sent               Kind = iota // a client wrote a request; it gives up at Deadline
	ClientDisconnected             // the client left
	Answered                       // the client has its answer: Status, Result
	Unanswered                     // the client's connection ended, or its time, without an answer
	Arrived                        // a request's last byte came to a worker
	Started                        // it runs there
	Ended                          // the attempt is over there; MayHaveRun: it may have run
	WorkerDied                     // the worker's process died with it
	Closed                         // the connection ended before the 202: the attempt is given up there
	CancelReceived                 // a DELETE came; Status 200: the job was there
	EndpointChanged                // discovery wrote that a worker (Actor) drains or is gone
	WorkerReady                    // discovery wrote that a worker (Actor) is ready again
)

var kindNames = [...]string{
	Sent:               "sent",
	ClientDisconnected: "client disconnected",
	Answered:           "answered",
	Unanswered:         "unanswered",
	Arrived:            "arrived",
	Started:            "started",
	Ended:              "ended",
	WorkerDied:         "worker died",
	Closed:             "closed",
	CancelReceived:     "cancel received",
	EndpointChanged:    "endpoint changed",
	WorkerReady:        "worker ready",
}

// String returns the kind's name, for test output.
func (k Kind) String() string { return kindNames[k] }

// Event is one thing that a client, a worker or discovery saw.
type Event struct {
	At         time.Time
	Kind       Kind
	ID         string    // of the request
	Actor      string    // the worker, or client
	Class      string    // with Sent
	Deadline   time.Time // with Sent
	Status     int       // with Answered and CancelReceived
	Result     string    // with Answered and Ended
	MayHaveRun bool      // with Ended
}

// Rules are the figures of a deployment. Slack is added to each of its times: a machine that is busy makes
// events late.
type Rules struct {
	AtMostOnce  map[string]bool   // classes of which nothing may run twice
	RackOf      map[string]string // of each worker
	Window      time.Duration     // in which a repeat is dropped within a rack
	DrainGrace  time.Duration
	MaxAttempts int
	Slack       time.Duration
	// OrphanLimit is how long a worker may hold a job for nobody. After the history's end nothing is
	// expected any more.
	OrphanLimit time.Duration
}

// Finding is a property that was violated, named as in package modelcheck.
type Finding struct {
	Property, ID, Text string
}

// String returns the finding as one line.
func (f Finding) String() string { return f.Property + ": " + f.ID + ": " + f.Text }
