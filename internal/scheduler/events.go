// Package scheduler keeps the requests, the attempts and the worker list,
// and drives the decision module. It is one reducer: an event at a time goes in,
// effects come out. It holds no lock and no clock and does no reading or writing, and
// knows nothing of the protocol that a request came by.
package scheduler

import "dahliaford/internal/dispatch"

// Micros is a time on the module's clock. Here it counts from the Unix epoch, so a
// worker's start as discovery tells it needs no mapping beyond its unit.
type Micros = dispatch.Micros

// CallerID numbers a wait for one answer; whoever submits a request picks it.
type CallerID uint64

// AttemptID numbers an attempt.
type AttemptID uint64

// Event is one thing that happened.
type Event interface{ event() }

// The events.
type (
	// Started comes once, before all others.
	Started struct {
		Discovery  string // its address
		CachedList WorkerList
	}
	// Reloaded says that a new configuration holds. Of it, discovery's address counts.
	Reloaded struct{ Discovery string }
	// Submitted is a new request.
	Submitted struct {
		Caller        CallerID
		ID            string // by which the workers know it
		Class, Tenant string
		Deadline      Micros // the caller waits until then
		Slots         float64
		Retry         bool // the caller says that it tried before
		Payload       any  // handed back with each attempt, unread
	}
	// ClientDisconnected says that nobody waits for the answer any more.
	ClientDisconnected struct{ Caller CallerID }
	// AttemptAccepted says that a worker has taken an attempt.
	AttemptAccepted struct{ Attempt AttemptID }
	// AttemptEnded says how an attempt ended, by what its connection showed.
	AttemptEnded struct {
		Attempt AttemptID
		Outcome dispatch.Outcome
		Report  dispatch.Report
	}
	// AttemptRejected says that a worker can make nothing of an attempt: not the worker
	// is at fault but the submission.
	AttemptRejected struct{ Attempt AttemptID }
	// Callback is what a worker says of a request on its own account. It may come
	// early, late, or again.
	Callback struct {
		ID, From string
		Kind     CallbackKind
		Progress float64
		Result   []byte
		Report   dispatch.Report
	}
	// CancellationResult tells how a Withdraw went: Reached says that the worker has heard it, or
	// that the process that had the attempt is gone.
	CancellationResult struct {
		Attempt      AttemptID
		Acknowledged bool
	}
	// EndpointsUpdated is a word from discovery; one without workers is a heartbeat.
	EndpointsUpdated struct {
		List              WorkerList
		AsOf              Micros // all that there was to tell by then has been told; 0: by now
		FromPreviousWatch bool   // of the discovery before the present one: it tells only who leaves
	}
	// WatchClosed says that the watch could not be opened, or ended.
	WatchClosed struct {
		Unreadable bool   // with a word that nobody can read: any worker may have been told to leave
		ValidUntil Micros // what is known holds no longer than that; 0, if it was read: it holds as it did
	}
	// TimerFired says that the time of the last Wake has come.
	TimerFired struct{}
	// ShutdownRequested asks for an orderly end.
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

// CallbackKind is what a worker tells.
type CallbackKind uint8

// The news a worker can tell.
const (
	CallbackUnknown CallbackKind = iota
	CallbackStarted
	CallbackRunning
	CallbackDone
	CallbackFailed
	CallbackHandedBack // handed back unstarted
	CallbackAborted
)

// WorkerList is the worker list or a change to it.
type WorkerList struct {
	Rev      int64
	Complete bool // the whole list; what it lacks is gone
	Workers  []Worker
}

// Worker is one line of the worker list.
type Worker struct {
	UID, Addr, Zone, Kind string
	Cell                  int
	Status                dispatch.Status
	Started               Micros // 0: long ago
}

// Effect is one thing to carry out.
type Effect interface{ effect() }

// The effects.
type (
	// SendAttempt sends an attempt to a worker.
	SendAttempt struct {
		Attempt  AttemptID
		ID       string
		UID      string
		Addr     string
		WriteBy  Micros // its last byte must be out by then, or it does not go
		Deadline Micros // the worker may work on it until then
		Payload  any
	}
	// CloseConnection breaks the connection that an attempt, or its withdrawal, is on.
	CloseConnection struct{ Attempt AttemptID }
	// CancelUnsent keeps back an attempt that nobody waits for, if nothing of it has left yet; then
	// Ended follows. It is no withdrawal: what has left goes on.
	CancelUnsent struct{ Attempt AttemptID }
	// CancelAttempt tells a worker to drop an attempt that it may hold. Withdrawn must follow. If
	// it comes with Abandon and nothing of the attempt ever got out, nobody need be told.
	CancelAttempt struct {
		Attempt  AttemptID
		ID       string
		Addr     string
		Deadline Micros // no use after that
	}
	// Answer is the one answer to a caller.
	Answer struct {
		Caller             CallerID
		Verdict            Verdict
		Body               []byte
		RetryAfter         Micros // with Refused: come back after this
		FinalForConnection bool   // the scheduler is stopping: nothing more from this caller
	}
	// SetTimer asks for Woke at a time. The latest one counts.
	SetTimer struct{ At Micros }
	// OpenWatch opens a watch of the worker list; an older one is dropped.
	OpenWatch struct {
		Addr string
		Rev  int64 // what changed after it is asked for; 0: the whole list
		// ValidUntil, unless 0, is until when what is known holds, if Addr has not answered by then.
		ValidUntil Micros
	}
	// StopUsingWorker says that nothing new may go to a worker, and closes idle connections to it.
	StopUsingWorker struct{ UID, Addr string }
	// ResumeWorker takes a Retire back: the worker is there again, or forgotten.
	ResumeWorker struct{ UID string }
	// CloseIdleClients lets callers go that have nothing submitted.
	CloseIdleClients struct{}
	// Shutdown ends the program: nothing is owed any more. Clients may part until then.
	Shutdown struct{ By Micros }
	// Log is a line for the log.
	Log struct {
		Warn bool // somebody should look
		Text string
		Args []any
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
	Served  Verdict = iota
	Refused         // a refusal: trying again is harmless
	Failed
	Invalid  // the submission makes no sense; Body says why
	Conflict // a request of that id is open, or was a moment ago
)
