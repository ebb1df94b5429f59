// Package scheduler keeps the requests, the attempts and the worker list, and drives the dispatcher,
// which decides (package dispatch). It is one reducer: one event at a time goes in, effects come out.
// It holds no lock and no clock, does no I/O, and knows nothing of the protocol that a request came by.
package scheduler

import "dahliaford/internal/dispatch"

// Micros is a time on the dispatcher's clock, in microseconds. Here it counts from the Unix epoch, so
// a worker's start time from discovery needs no mapping beyond its unit.
type Micros = dispatch.Micros

// CallerID numbers a wait for one answer. Whoever submits a request picks it: from 1 on, and no number
// twice.
type CallerID uint64

// AttemptID numbers an attempt, from 1 on.
type AttemptID uint64

// Event is something that happened, an input of Step.
type Event interface{ event() }

// The events.
type (
	// Started comes once, before all others.
	Started struct {
		Discovery  string     // discovery's address
		CachedList WorkerList // known from before
	}
	// Reloaded reports a new configuration. Only discovery's address matters here.
	Reloaded struct{ Discovery string }
	// Submitted is a new request.
	Submitted struct {
		Caller        CallerID
		RequestID     string // the request id that workers use
		Class, Tenant string
		Deadline      Micros  // the caller waits until then
		Slots         float64 // that it takes at a worker
		Retry         bool    // the caller has marked it as a retry
		Payload       any     // handed back with each attempt, never read
	}
	// ClientDisconnected reports that nobody waits for the answer any more.
	ClientDisconnected struct{ Caller CallerID }
	// AttemptAccepted reports that a worker has accepted an attempt.
	AttemptAccepted struct{ Attempt AttemptID }
	// AttemptEnded reports how an attempt ended, by what its connection showed.
	AttemptEnded struct {
		Attempt AttemptID
		Outcome dispatch.Outcome
		Report  dispatch.Report
	}
	// AttemptRejected reports that a worker cannot use an attempt: not the worker is at fault but
	// the submission.
	AttemptRejected struct{ Attempt AttemptID }
	// Callback is a worker's callback on a request. It may come early, late, or repeatedly.
	Callback struct {
		RequestID, WorkerUID string // the request's id, the worker's UID
		Kind                 CallbackKind
		Progress             float64 // with CallbackRunning
		Result               []byte  // with CallbackDone
		Report               dispatch.Report
	}
	// CancellationResult is the result of a CancelAttempt.
	CancellationResult struct {
		Attempt      AttemptID
		Acknowledged bool // by the worker, or the process that had the attempt has ended
	}
	// EndpointsUpdated is an update from discovery; one without workers is a heartbeat.
	EndpointsUpdated struct {
		List              WorkerList
		AsOf              Micros // all that there was to report by then is in it; 0: by now
		FromPreviousWatch bool   // of the discovery before the present one: only drains and removals count
	}
	// WatchClosed reports that the watch could not be opened, or ended.
	WatchClosed struct {
		Unreadable bool   // by an update that cannot be parsed: it may have drained any worker
		ValidUntil Micros // the known list holds no longer than that; 0 and readable: it holds as it did
	}
	// TimerFired reports that the time of the last SetTimer has come.
	TimerFired struct{}
	// ShutdownRequested asks for an orderly shutdown.
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
	CallbackUnknown    CallbackKind = iota // has no effect
	CallbackStarted                        // the job runs
	CallbackRunning                        // it has made progress
	CallbackDone                           // it has a result
	CallbackFailed                         // it ran and failed
	CallbackHandedBack                     // it is handed back without having been started
	CallbackAborted                        // it is lost, and may have run
)

// WorkerList is the worker list or a change to it.
type WorkerList struct {
	Revision int64 // discovery's revision
	Complete bool  // all workers are listed: one that is missing is removed
	Workers  []Worker
}

// Worker is one entry of the worker list.
type Worker struct {
	UID, Addr, Zone, Kind string
	Cell                  int
	Status                dispatch.Status
	Started               Micros // 0: long ago
}

// Effect is something to carry out, an output of Step.
type Effect interface{ effect() }

// The effects.
type (
	// SendAttempt sends an attempt to a worker.
	SendAttempt struct {
		Attempt       AttemptID
		RequestID     string // the request's
		WorkerUID     string // the worker's
		Addr          string
		WriteDeadline Micros // its last byte must be out by then, or it is not sent
		Deadline      Micros // the worker may work on it until then
		Payload       any
	}
	// CloseConnection closes the connection that an attempt, or its cancellation, is on.
	CloseConnection struct{ Attempt AttemptID }
	// CancelUnsent holds back an attempt that nobody waits for, if no byte of it has been sent yet;
	// then AttemptEnded follows. It is no cancellation: what has been sent goes on.
	CancelUnsent struct{ Attempt AttemptID }
	// CancelAttempt tells a worker to drop an attempt that it may hold. CancellationResult must
	// follow. If it comes with CloseConnection and no byte of the attempt was ever sent, no worker
	// need be notified.
	CancelAttempt struct {
		Attempt   AttemptID
		RequestID string
		Addr      string
		Deadline  Micros // no use after that
	}
	// Answer is the one answer to a caller.
	Answer struct {
		Caller             CallerID
		Verdict            Verdict
		Body               []byte
		RetryAfter         Micros // with Refused: the caller may come back after this span
		FinalForConnection bool   // the scheduler is stopping: nothing more from this caller
	}
	// SetTimer asks for TimerFired at a time. It replaces the one before.
	SetTimer struct{ At Micros }
	// OpenWatch opens a watch of the worker list. It replaces the one before.
	OpenWatch struct {
		Addr     string
		Revision int64 // ask for what has changed since this revision; 0: for the complete list
		// ValidUntil, unless 0, is until when the known list holds if Addr has not answered by then.
		ValidUntil Micros
	}
	// StopUsingWorker forbids new requests to a worker, and closes idle connections to it.
	StopUsingWorker struct{ UID, Addr string }
	// ResumeWorker takes a StopUsingWorker back: the worker is there again, or forgotten.
	ResumeWorker struct{ UID string }
	// CloseIdleClients closes the connections of clients that have nothing submitted.
	CloseIdleClients struct{}
	// Shutdown ends the program: no answer is owed any more. Client connections may linger until By.
	Shutdown struct{ Deadline Micros }
	// Log is a line for the log.
	Log struct {
		Warn bool // somebody should look
		Text string
		Args []any // keys and values in turn
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

// Verdict is the kind of an answer.
type Verdict uint8

// The verdicts.
const (
	Served   Verdict = iota // Body has the result
	Refused                 // not run: a retry is harmless
	Failed                  // it may have run
	Invalid                 // the submission is at fault; Body says why
	Conflict                // a request of that id is open, or was a moment ago; Body says which
)
