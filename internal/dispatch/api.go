// Package dispatch decides for a dispatcher that pushes jobs to workers: which
// job leaves next, to which worker, what is refused and what is tried again.
//
// The package holds no clock, no network and no goroutines. Feed a Dispatcher
// one Event at a time and carry out the actions that it appends.
package dispatch

// Micros is a time or a span in microseconds. Times count from an arbitrary
// start and never run backwards.
type Micros int64

// JobID names a job; WorkerID names a worker. Neither tells anything else.
type (
	JobID    uint64
	WorkerID uint32
)

// Effect says what a class allows once an attempt may have run.
type Effect uint8

// The effects a class can have.
const (
	Safe   Effect = iota // may be repeated at will
	Keyed                // a repeat is dropped by the workers of the same group
	Unsafe               // must never run twice
)

// DedupScope is the set of workers that drop repeats of a keyed job.
type DedupScope uint8

// The groups of a keyed class.
const (
	ScopeAll DedupScope = iota
	ScopeZone
	ScopeCell
)

// Class describes one class of jobs.
type Class struct {
	LatencyObjective Micros  // an answer within this earns the full worth
	ObjectiveStretch float64 // the aim grows by this multiple of the job's own work
	Deadline         Micros  // the client's whole wait, over all its tries
	PriorityWeight   float64 // worth of a job, or of a unit of its work
	LateWeight       float64 // fraction of the worth earned after the aim
	Effect           Effect
	DedupScope       DedupScope // for Keyed
	DedupWindow      Micros     // for Keyed: how long repeats are dropped
	Stream           bool       // the answer streams
	Kind             int        // the machine kind that it needs, or -1
}

// Tenant is one of those who share the fleet.
type Tenant struct {
	Quota float64 // jobs a second within its share, over all dispatchers; 0: no quota
}

// Settings is what a dispatcher is told at its start.
type Settings struct {
	Index       int // this dispatcher's number
	Dispatchers int // how many dispatchers there are
	Zone        int // the zone it sits in

	Classes         []Class
	Tenants         []Tenant
	OverQuotaWeight float64 // worth of a job beyond its tenant's share, as a fraction
	WeightByWork    bool    // worth counts for each unit of work

	PollEndpoints  bool   // the worker list must be asked for
	PollInterval   Micros // longest time without asking, where it must be asked for
	MaxStaleness   Micros // what there is to tell counts as told this long after, heard or not; 0: once heard
	UnmeteredPolls bool   // calls for the list cost nobody anything, so none is spread or put off

	Granularity Micros // least time between two batches of events

	SlowStart        Micros  // a started worker is warm after this
	SlowStartInitial float64 // the fraction of its capacity that it starts with
	OverloadFactor   float64 // more than this multiple of its present capacity ...
	OverloadWindow   Micros  // ... over this long makes a cold worker fall over

	MaxAttempts    int
	CancelAllowed  bool
	HedgingAllowed bool // two attempts of a job may be out together
	GossipAllowed  bool
	MaxRetryAfter  Micros // longest advice to wait that clients obey; 0: none
	RetriesMarked  bool   // clients mark their tries after the first
	ConnectTimeout Micros

	StartReported    bool   // workers tell when a job starts
	ProgressInterval Micros // workers tell a running job's progress this often; 0: never
	LoadReports      bool   // answers carry load reports

	CrossZonePrice float64 // of an attempt that leaves the zone, in mean jobs' worth
}

// Status is what the list says of a worker.
type Status uint8

// The states of a listed worker.
const (
	Removed Status = iota
	Ready
	Draining
)

// WorkerEntry is one line of the worker list.
type WorkerEntry struct {
	Worker  WorkerID
	Zone    int
	Cell    int
	Kind    int
	Status  Status
	Started Micros // its latest start; 0: long ago
}

// EventKind tells what an event is about.
type EventKind uint8

// The kinds of events, with the fields that each uses.
const (
	JobArrived         EventKind = iota // Job, Class, Tenant, Patience, Repeat, Work, Slots
	AttemptEnded                        // Job, Attempt, Worker, Outcome, Final, Report
	AttemptReported                     // Job, Attempt, Worker, Note, Value
	StreamStarted                       // Job, Attempt, Worker
	ClientDisconnected                  // Job
	EndpointsUpdated                    // Scope, Workers, Age
	GossipReceived                      // Peer, Message
	TimerFired                          // Token
	Started                             // sent once, before all else
)

// Outcome is how an attempt ended.
type Outcome uint8

// The outcomes. Full, ConnectFailed, Moot and Returned prove that nothing ran.
const (
	OK Outcome = iota
	Failed
	AtCapacity
	TimedOut
	ConnectFailed
	Reset
	Cancelled
	NotSent
	HandedBack // like Full, but told later and perhaps told again: see fits
)

// Note is the kind of news about a running attempt.
type Note uint8

// The notes.
const (
	NoteOther Note = iota
	NoteStarted
	NoteProgress
)

// UpdateScope says how a list event applies.
type UpdateScope uint8

// The scopes of list events.
const (
	UpdateDelta  UpdateScope = iota // changed entries only
	UpdateFull                      // the whole list
	UpdateCached                    // the whole list as last seen, perhaps stale
	UpdateFailed                    // a call failed or the subscription dropped; what is known may be older: Age
	UpdateDrains                    // entries that leave, from elsewhere than the list itself; Age likewise
)

// Report is the part of a worker's load report that decisions use.
type Report struct {
	Known       bool // there is a count of free slots
	Free        float64
	Outstanding float64 // jobs held there, waiting ones too; negative: not told
	Errors      float64 // errors a second, of all dispatchers' jobs
}

// Event is one thing that happened. Kind says which fields count.
type Event struct {
	Kind     EventKind
	Note     Note
	Scope    UpdateScope
	Outcome  Outcome
	Final    bool // the job is finished
	Job      JobID
	Class    int
	Tenant   int
	Patience Micros  // time until the client abandons this try
	Retry    bool    // the client says that it tried before
	Work     Micros  // expected work on a standard core; 0: unknown
	Slots    float64 // slots (or memory units, if more) that the job takes
	Worker   WorkerID
	Attempt  int
	Value    float64
	Report   Report
	Workers  []WorkerEntry
	Age      Micros // how long ago the list was as it is told
	Peer     int
	Message  []byte
	Token    uint64
}

// ActionKind tells what to do.
type ActionKind uint8

// The kinds of actions, with the fields that each uses.
const (
	Send           ActionKind = iota // Job, Attempt (its number), Worker, At (abandon it then), By (leave by then)
	Refuse                           // Job, Wait (advice to the client)
	Fail                             // Job
	Cancel                           // Job, Attempt
	SetTimer                         // Wait, Token
	WatchEndpoints                   // subscribe to the worker list
	SendGossip                       // Peer, Message
	Log                              // Text
)

// Action is one thing to do. Kind says which fields count.
type Action struct {
	Kind     ActionKind
	Job      JobID
	Worker   WorkerID
	Attempt  int
	Deadline Micros
	SendBy   Micros // of a Send: nothing may leave from then on, or it would come outside its class's Window
	Delay    Micros
	Token    uint64
	Peer     int
	Message  []byte
	Text     string
}
