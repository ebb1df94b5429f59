// Package scheduler keeps the transactions, the routed tasks and the service table,
// and drives the decision module. It is one reducer: an event at a time goes in,
// effects come out. It holds no lock and no clock and does no reading or writing, and
// knows nothing of the protocol that a transaction came by.
package scheduler

import "dahliaford"

// Micros is a time on the module's clock. Here it counts from the Unix epoch, so a
// region's start as discovery tells it needs no mapping beyond its unit.
type Micros = dahliaford.Micros

// Caller numbers a wait for one answer; whoever submits a transaction picks it.
type Caller uint64

// Task numbers a routed task.
type Task uint64

// Event is one thing that happened.
type Event interface{ event() }

// The events.
type (
	// Began comes once, before all others.
	Began struct {
		Discovery string // its address
		Known     Table
	}
	// Reloaded says that a new configuration holds. Of it, discovery's address counts.
	Reloaded struct{ Discovery string }
	// Submitted is a new transaction.
	Submitted struct {
		Caller        Caller
		ID            string // by which the regions know it
		Class, Tenant string
		Deadline      Micros // the caller waits until then
		Slots         float64
		Repeat        bool // the caller says that it tried before
		Payload       any  // handed back with each routed task, unread
	}
	// CallerLeft says that nobody waits for the answer any more.
	CallerLeft struct{ Caller Caller }
	// Accepted says that a region has taken a routed task.
	Accepted struct{ Task Task }
	// Ended says how a routed task ended, by what its connection showed.
	Ended struct {
		Task    Task
		Outcome dahliaford.Outcome
		Report  dahliaford.Report
	}
	// Rejected says that a region can make nothing of a routed task: not the region
	// is at fault but the submission.
	Rejected struct{ Task Task }
	// Told is what a region says of a transaction on its own account. It may come
	// early, late, or again.
	Told struct {
		ID, From string
		News     News
		Share    float64
		Result   []byte
		Report   dahliaford.Report
	}
	// Withdrawn tells how a Withdraw went: Reached says that the region has heard it, or
	// that the process that had the task is gone.
	Withdrawn struct {
		Task    Task
		Reached bool
	}
	// TableRead is a word from discovery; one without regions is a heartbeat.
	TableRead struct {
		Table Table
		At    Micros // all that there was to tell by then has been told; 0: by now
		Old   bool   // of the discovery before the present one: it tells only who leaves
	}
	// TableLost says that the watch could not be opened, or ended.
	TableLost struct {
		Unread bool   // with a word that nobody can read: any region may have been told to leave
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
func (TableRead) event()  {}
func (TableLost) event()  {}
func (Woke) event()       {}
func (Stopping) event()   {}

// News is what a region tells.
type News uint8

// The news a region can tell.
const (
	NewsUnknown News = iota
	NewsStarted
	NewsRunning
	NewsDone
	NewsFailed
	NewsReturned // handed back unstarted
	NewsLost
)

// Table is the service table or a change to it.
type Table struct {
	Rev     int64
	All     bool // the whole table; what it lacks is gone
	Regions []Region
}

// Region is one line of the service table.
type Region struct {
	UID, Addr, Zone, Kind string
	Cell                  int
	Status                dahliaford.Status
	Started               Micros // 0: long ago
}

// Effect is one thing to carry out.
type Effect interface{ effect() }

// The effects.
type (
	// Route sends a routed task to a region.
	Route struct {
		Task     Task
		ID       string
		UID      string
		Addr     string
		WriteBy  Micros // its last byte must be out by then, or it does not go
		Deadline Micros // the region may work on it until then
		Payload  any
	}
	// Abandon breaks the connection that a routed task, or its withdrawal, is on.
	Abandon struct{ Task Task }
	// Unsend keeps back a routed task that nobody waits for, if nothing of it has left yet; then
	// Ended follows. It is no withdrawal: what has left goes on.
	Unsend struct{ Task Task }
	// Withdraw tells a region to drop a task that it may hold. Withdrawn must follow. If
	// it comes with Abandon and nothing of the task ever got out, nobody need be told.
	Withdraw struct {
		Task     Task
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
	// Watch opens a watch of the service table; an older one is dropped.
	Watch struct {
		Addr string
		Rev  int64 // what changed after it is asked for; 0: the whole table
		// Until, unless 0, is until when what is known holds, if Addr has not answered by then.
		Until Micros
	}
	// Retire says that nothing new may go to a region, and closes idle connections to it.
	Retire struct{ UID, Addr string }
	// Admit takes a Retire back: the region is there again, or forgotten.
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
	Refused         // a short-on-capacity reply: trying again is harmless
	Failed
	Invalid  // the submission makes no sense; Body says why
	Conflict // a transaction of that id is open, or was a moment ago
)
