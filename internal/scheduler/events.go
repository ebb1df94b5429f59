// Package scheduler is the state machine of a job scheduler. It keeps the requests, the attempts and the
// worker list, and drives package dispatch, which decides where and when a job is sent. The state machine
// is a reducer: Scheduler.Step takes one event and returns the effects that the caller has to carry out.
// The reducer holds no lock and no clock, does no I/O, and does not know by which protocol a request came.
package scheduler

import "dahliaford/internal/dispatch"

// Micros is a time on the dispatcher's clock, in microseconds. The reducer counts the time from the Unix
// epoch, so that the start time of a worker as reported by discovery only needs a conversion of its unit.
type Micros = dispatch.Micros

// CallerID identifies the caller that waits for the answer to one submitted request. The sender of the
// Submitted event chooses it: numbers start at 1, and each is used once.
type CallerID uint64

// AttemptID identifies an attempt. The reducer assigns the numbers, starting at 1.
type AttemptID uint64

// Event is an input of Scheduler.Step: something that happened outside the reducer.
type Event interface{ event() }

// The types that implement Event.
type (
	// Started is the first event that a scheduler gets, and comes once.
	Started struct {
		Discovery  string     // the address of the discovery service
		CachedList WorkerList // the worker list that the configuration holds
	}
	// Reloaded reports a new configuration. The reducer uses only the address of the discovery service.
	Reloaded struct{ Discovery string }
	// Submitted reports a new request.
	Submitted struct {
		Caller        CallerID
		RequestID     string // the id by which workers name the request in callbacks
		Class, Tenant string
		Deadline      Micros  // the time until which the caller waits for the answer
		Slots         float64 // the number of slots that the job occupies at a worker
		Retry         bool    // the caller has marked the request as a retry
		Payload       any     // passed on in each SendAttempt; the reducer does not read it
	}
	// ClientDisconnected reports that the caller no longer waits for the answer.
	ClientDisconnected struct{ Caller CallerID }
	// AttemptAccepted reports that a worker has accepted an attempt.
	AttemptAccepted struct{ Attempt AttemptID }
	// AttemptEnded reports the outcome of an attempt as seen on the connection to the worker.
	AttemptEnded struct {
		Attempt AttemptID
		Outcome dispatch.Outcome
		Report  dispatch.Report
	}
	// AttemptRejected reports that a worker rejected an attempt because the submission is invalid. The
	// rejection does not count as a failure of the worker.
	AttemptRejected struct{ Attempt AttemptID }
	// Callback is a worker's callback about a request. A callback may arrive before the worker's response
	// to the attempt, after the attempt has ended, or more than once.
	Callback struct {
		RequestID, WorkerUID string
		Kind                 CallbackKind
		Progress             float64 // fraction of the job's work that is done; set if Kind is CallbackRunning
		Result               []byte  // result of the job; set if Kind is CallbackDone
		Report               dispatch.Report
	}
	// CancellationResult reports the result of a CancelAttempt effect.
	CancellationResult struct {
		Attempt AttemptID
		// Acknowledged is set if the worker acknowledged the cancellation, or if the worker process that
		// held the attempt has ended.
		Acknowledged bool
	}
	// EndpointsUpdated is a worker list update from discovery. An update without workers is a heartbeat.
	EndpointsUpdated struct {
		List WorkerList
		// AsOf is the time up to which the worker list is complete with this update; 0 stands for the time
		// of the event.
		AsOf Micros
		// FromPreviousWatch is set if the update comes from a watch that has been replaced, as a reload does. The
		// reducer applies only the drains and removals of such an update. A worker that is missing from a complete
		// list has been removed.
		FromPreviousWatch bool
	}
	// WatchClosed reports that the watch of the worker list ended or could not be opened.
	WatchClosed struct {
		// Unreadable is set if the watch ended because an update could not be parsed. The lost update may
		// have drained any worker.
		Unreadable bool
		// ValidUntil is the time until which the known worker list may be used. The value 0 means, if Unreadable is
		// set, that the known list may not be used any more, and otherwise that the validity of the known list does
		// not change.
		ValidUntil Micros
	}
	// TimerFired reports that the time of the latest SetTimer effect has come.
	TimerFired struct{}
	// ShutdownRequested requests an orderly shutdown.
	ShutdownRequested struct{}
)

func (Started) event()            {}
func (Reloaded) event()           {}
func (Submitted) event()          {}
func (ClientDisconnected) event() {}
func (AttemptAccepted) event()    {}
func (AttemptEnded) event()       {}
func (AttemptRejected) event()    {}
func (Callback) event()           {}
func (CancellationResult) event() {}
func (EndpointsUpdated) event()   {}
func (WatchClosed) event()        {}
func (TimerFired) event()         {}
func (ShutdownRequested) event()  {}

// CallbackKind is what a callback reports.
type CallbackKind uint8

// The kinds of callbacks.
const (
	CallbackUnknown    CallbackKind = iota // a kind that the reducer ignores
	CallbackStarted                        // the worker has started the job
	CallbackRunning                        // the job has made progress
	CallbackDone                           // the job has ended with a result
	CallbackFailed                         // the job ran and failed
	CallbackHandedBack                     // the worker returns the job without having started it
	CallbackAborted                        // the worker has lost the job, which may have run
)

// WorkerList is a complete worker list or a change to the worker list.
type WorkerList struct {
	Revision int64 // the revision that discovery gave the update
	Complete bool  // Workers names every worker: a known worker that is missing from Workers is removed
	Workers  []Worker
}

// Worker is one entry of the worker list.
type Worker struct {
	UID, Addr, Zone, Kind string
	Cell                  int
	Status                dispatch.Status
	Started               Micros // start time of the worker's process; 0 if too long ago for slow start
}

// Effect is an output of Scheduler.Step: something that the caller of Step has to carry out.
type Effect interface{ effect() }

// The types that implement Effect.
type (
	// SendAttempt sends an attempt to a worker.
	SendAttempt struct {
		Attempt       AttemptID
		RequestID     string
		WorkerUID     string
		Addr          string // the address of the worker
		WriteDeadline Micros // the time by which the last byte must be written, or else nothing is sent
		Deadline      Micros // the time until which the worker may work on the job
		Payload       any
	}
	// CloseConnection closes the connection on which an attempt, or the cancellation of that attempt, was
	// sent.
	CloseConnection struct{ Attempt AttemptID }
	// CancelUnsent drops an attempt whose caller no longer waits, if no byte of the attempt has been written
	// yet. If the attempt is dropped, AttemptEnded reports this. An attempt that has been written continues, as
	// CancelUnsent does not cancel anything at the worker.
	CancelUnsent struct{ Attempt AttemptID }
	// CancelAttempt tells a worker to drop an attempt that the worker may hold. The caller of Step must report
	// the result by a CancellationResult event. The worker need not be told if a CloseConnection effect comes
	// for the same attempt and no byte of the attempt was ever written.
	CancelAttempt struct {
		Attempt   AttemptID
		RequestID string
		Addr      string // the address of the worker
		Deadline  Micros // the time by which the worker must have responded
	}
	// Answer is the final answer to a caller.
	Answer struct {
		Caller             CallerID
		Verdict            Verdict
		Body               []byte
		RetryAfter         Micros // if Verdict is Refused: how long the caller should wait before a retry
		FinalForConnection bool   // the scheduler is stopping: the client's connection takes no further request
	}
	// SetTimer requests a TimerFired event at a time, and replaces the time of the previous SetTimer.
	SetTimer struct{ At Micros }
	// OpenWatch opens a watch of the worker list, and replaces the watch that is open.
	OpenWatch struct {
		Addr     string // the address of the discovery service
		Revision int64  // request the changes since this revision; 0: request the complete list
		// ValidUntil is the time until which the known worker list may be used if Addr does not answer;
		// 0 leaves the validity of the known list unchanged.
		ValidUntil Micros
	}
	// StopUsingWorker forbids new requests to a worker, and closes idle connections to it.
	StopUsingWorker struct{ UID, Addr string }
	// ResumeWorker revokes a StopUsingWorker, because the worker is ready again, or was removed so long ago
	// that the reducer has deleted its record.
	ResumeWorker struct{ UID string }
	// CloseIdleClients closes the connections of clients that have no open request.
	CloseIdleClients struct{}
	// Shutdown ends the program, as all requests have been answered. Connections to clients may stay open until
	// Deadline to transmit the last answers.
	Shutdown struct{ Deadline Micros }
	// Log writes a line to the log.
	Log struct {
		Warn bool // the line is logged as a warning
		Text string
		Args []any // attributes of the line: keys and values in turn
	}
)

func (SendAttempt) effect()      {}
func (CloseConnection) effect()  {}
func (CancelUnsent) effect()     {}
func (CancelAttempt) effect()    {}
func (Answer) effect()           {}
func (SetTimer) effect()         {}
func (OpenWatch) effect()        {}
func (StopUsingWorker) effect()  {}
func (ResumeWorker) effect()     {}
func (CloseIdleClients) effect() {}
func (Shutdown) effect()         {}
func (Log) effect()              {}

// Verdict tells a caller what became of its request.
type Verdict uint8

// The verdicts: what became of a request.
const (
	Served   Verdict = iota // the job has run; Body is its result
	Refused                 // the job has not run: a retry cannot make it run twice
	Failed                  // the job has no result and may have run
	Invalid                 // the submission is invalid; Body is the reason
	Conflict                // the request id is in use or was used recently; Body says which
)
