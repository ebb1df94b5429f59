// Package scheduler keeps the requests, the attempts and the worker list,
// and drives the decision module. It is one reducer: an event at a time goes in,
// effects come out. It holds no lock and no clock and does no reading or writing, and
// knows nothing of the protocol that a request came by.
package scheduler

import "dahliaford/internal/dispatch"

// Micros is a time on the module's clock. Here it counts from the Unix epoch, so a
// worker's start as discovery tells it needs no mapping beyond its unit.
type Micros = dispatch.Micros

// Caller numbers a wait for one answer; whoever submits a request picks it.
type Caller uint64

// Attempt numbers an attempt.
type Attempt uint64

// Event is one thing that happened.
type Event interface{ event() }

// The events.
type (
	// Began comes once, before all others.
	Began struct {
		Discovery string // its address
		Known     WorkerList
	}
	// Reloaded says that a new configuration holds. Of it, discovery's address counts.
	Reloaded struct{ Discovery string }
	// Submitted is a new request.
	Submitted struct {
		Caller        Caller
		ID            string // by which the workers know it
		Class, Tenant string
		Deadline      Micros // the caller waits until then
		Slots         float64
		Repeat        bool // the caller says that it tried before
		Payload       any  // handed back with each attempt, unread
	}
	// CallerLeft says that nobody waits for the answer any more.
	CallerLeft struct{ Caller Caller }
	// Accepted says that a worker has taken an attempt.
	Accepted struct{ Attempt Attempt }
	// Ended says how an attempt ended, by what its connection showed.
	Ended struct {
		Attempt Attempt
		Outcome dispatch.Outcome
		Report  dispatch.Report
	}
	// Rejected says that a worker can make nothing of an attempt: not the worker
	// is at fault but the submission.
	Rejected struct{ Attempt Attempt }
	// Told is what a worker says of a request on its own account. It may come
	// early, late, or again.
	Told struct {
		ID, From string
		News     News
		Share    float64
		Result   []byte
		Report   dispatch.Report
	}
	// Withdrawn tells how a Withdraw went: Reached says that the worker has heard it, or
	// that the process that had the attempt is gone.
	Withdrawn struct {
		Attempt Attempt
		Reached bool
	}
	// ListRead is a word from discovery; one without workers is a heartbeat.
	ListRead struct {
		List WorkerList
		At   Micros // all that there was to tell by then has been told; 0: by now
		Old  bool   // of the discovery before the present one: it tells only who leaves
	}
	// ListLost says that the watch could not be opened, or ended.
	ListLost struct {
		Unread bool   // with a word that nobody can read: any worker may have been told to leave
		Until  Micros // what is known holds no longer than that; 0, if it was read: it holds as it did
	}
	// Woke says that the time of the last Wake has come.
	Woke struct{}
	// Stopping asks for an orderly end.
	Stopping struct{}
)

func (Began) event()      {}
func (Reloaded) event()   {}
func (Submitted) event()  {}
func (CallerLeft) event() {}
func (Accepted) event()   {}
func (Ended) event()      {}
func (Rejected) event()   {}
func (Told) event()       {}
func (Withdrawn) event()  {}
func (ListRead) event()   {}
func (ListLost) event()   {}
func (Woke) event()       {}
func (Stopping) event()   {}

// News is what a worker tells.
type News uint8

// The news a worker can tell.
const (
	NewsUnknown News = iota
	NewsStarted
	NewsRunning
	NewsDone
	NewsFailed
	NewsReturned // handed back unstarted
	NewsLost
)

// WorkerList is the worker list or a change to it.
type WorkerList struct {
	Rev     int64
	All     bool // the whole list; what it lacks is gone
	Workers []Worker
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
	// Route sends an attempt to a worker.
	Route struct {
		Attempt  Attempt
		ID       string
		UID      string
		Addr     string
		WriteBy  Micros // its last byte must be out by then, or it does not go
		Deadline Micros // the worker may work on it until then
		Payload  any
	}
	// Abandon breaks the connection that an attempt, or its withdrawal, is on.
	Abandon struct{ Attempt Attempt }
	// Unsend keeps back an attempt that nobody waits for, if nothing of it has left yet; then
	// Ended follows. It is no withdrawal: what has left goes on.
	Unsend struct{ Attempt Attempt }
	// Withdraw tells a worker to drop an attempt that it may hold. Withdrawn must follow. If
	// it comes with Abandon and nothing of the attempt ever got out, nobody need be told.
	Withdraw struct {
		Attempt  Attempt
		ID       string
		Addr     string
		Deadline Micros // no use after that
	}
	// Answer is the one answer to a caller.
	Answer struct {
		Caller  Caller
		Verdict Verdict
		Body    []byte
		Wait    Micros // with Refused: come back after this
		Last    bool   // the scheduler is stopping: nothing more from this caller
	}
	// Wake asks for Woke at a time. The latest one counts.
	Wake struct{ At Micros }
	// Watch opens a watch of the worker list; an older one is dropped.
	Watch struct {
		Addr string
		Rev  int64 // what changed after it is asked for; 0: the whole list
		// Until, unless 0, is until when what is known holds, if Addr has not answered by then.
		Until Micros
	}
	// Retire says that nothing new may go to a worker, and closes idle connections to it.
	Retire struct{ UID, Addr string }
	// Admit takes a Retire back: the worker is there again, or forgotten.
	Admit struct{ UID string }
	// Close lets callers go that have nothing submitted.
	Close struct{}
	// Exit ends the program: nothing is owed any more. Clients may part until then.
	Exit struct{ By Micros }
	// Log is a line for the log.
	Log struct {
		Warn bool // somebody should look
		Text string
		Args []any
	}
)

func (Route) effect()    {}
func (Abandon) effect()  {}
func (Unsend) effect()   {}
func (Withdraw) effect() {}
func (Answer) effect()   {}
func (Wake) effect()     {}
func (Watch) effect()    {}
func (Retire) effect()   {}
func (Admit) effect()    {}
func (Close) effect()    {}
func (Exit) effect()     {}
func (Log) effect()      {}

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
