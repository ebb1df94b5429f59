// Package history checks a recorded history of a real scheduler, as observed by clients, workers and
// discovery, against the properties that package modelcheck checks in small simulated configurations
// (worlds). The package has no I/O and no clock: each event contains its time, and all times come from one
// clock.
package history

import (
	"time"
)

// Kind is a kind of recorded event.
type Kind uint8

// The kinds of events.
const (
	Sent               Kind = iota // a client wrote a request; Deadline is the client's deadline
	ClientDisconnected             // a client disconnected before its answer
	Answered                       // a client received an answer with Status and Result
	Unanswered                     // a client's connection ended or its deadline passed without an answer
	Arrived                        // the last byte of an attempt reached a worker
	Started                        // a job started to run at a worker
	Ended                          // an attempt ended at a worker; MayHaveRun is set if the job may have run
	WorkerDied                     // a worker's process died while it held a job
	Closed                         // a connection ended before its worker's 202; the worker dropped the attempt
	CancelReceived                 // a DELETE reached a worker; Status is 200 if the worker held the job
	EndpointChanged                // discovery listed the worker Actor as draining or removed
	WorkerReady                    // discovery listed the worker Actor as ready again
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

// String returns the name of the kind for test output.
func (k Kind) String() string { return kindNames[k] }

// Event is one observation of a client, a worker or discovery.
type Event struct {
	At         time.Time
	Kind       Kind
	ID         string    // id of the request
	Actor      string    // name of the worker or the client
	Class      string    // class of the request; set for Sent
	Deadline   time.Time // deadline of the client; set for Sent
	Status     int       // HTTP status; set for Answered and CancelReceived
	Result     string    // result of the job; set for Answered and Ended
	MayHaveRun bool      // whether the job may have run; set for Ended
}

// Rules holds the parameters of a deployment that the properties depend on. Check adds Slack to each of the
// durations, because events are late on a busy machine.
type Rules struct {
	AtMostOnce  map[string]bool   // classes whose jobs must not run twice
	RackOf      map[string]string // rack of each worker
	Window      time.Duration     // deduplication window within which workers of a rack drop repetitions
	DrainGrace  time.Duration     // time for which attempts may still reach a drained or removed worker
	MaxAttempts int               // largest number of attempts of a request
	Slack       time.Duration     // tolerance that Check adds to each time limit
	// OrphanLimit is the time for which a worker may hold a job after its request is finished. Check applies it
	// only to requests that finished longer than OrphanLimit before the last event of the history.
	OrphanLimit time.Duration
}

// Finding is a violation of a property. Property is the name of the property in package modelcheck, ID the id
// of the request, and Text a description.
type Finding struct {
	Property, ID, Text string
}

// String returns the finding as one line: property, id and description.
func (f Finding) String() string { return f.Property + ": " + f.ID + ": " + f.Text }
