// Package dispatch decides for a dispatcher that pushes jobs to workers: which
// job leaves next, to which worker, what is refused and what is tried again.
//
// The package holds no clock, no network and no goroutines. Feed a Dispatcher
// one Event at a time and carry out the actions that it appends.
//
// It queues jobs by latest start, tests conditions (4) and (6) of a paper on overload control, gaps
// tenants when they fail and releases jobs to workers with free slots. docs/design.md says what departs
// from the paper, when and why. The files that hold decisions are listed under policy in
// deploy/balancer.toml; state.go and records.go have the state, the estimate files what decisions rest on.
package dispatch

// Micros is a time or a span in microseconds. Times count from an arbitrary
// start and never run backwards.
type Micros int64

// JobID identifies a job. Nothing is read from its value.
type JobID uint64

// WorkerID identifies a worker. Dispatchers compute the worker's owner in slow start from its value.
type WorkerID uint32

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
	LatencyObjective Micros  // an answer within this earns the full weight
	ObjectiveStretch float64 // the objective grows by this multiple of the job's own work
	Deadline         Micros  // the client's total wait, over all its tries
	PriorityWeight   float64 // weight of a job, or of a unit of its work
	LateWeight       float64 // fraction of the weight earned after the objective
	Effect           Effect
	DedupScope       DedupScope // for Keyed
	DedupWindow      Micros     // for Keyed: how long repeats are dropped
	Stream           bool       // the answer streams
	Kind             int        // the machine kind that it needs, or -1
}

// Tenant is one of those who share the fleet.
type Tenant struct {
	Quota float64 // jobs a second, over all dispatchers; 0: no quota
}

// Settings configures a dispatcher. They do not change while it runs.
type Settings struct {
	Index       int // this dispatcher's number
	Dispatchers int // how many dispatchers there are
	Zone        int // the zone it is in

	Classes         []Class
	Tenants         []Tenant
	OverQuotaWeight float64 // fraction of the weight for a job over its tenant's quota
	WeightByWork    bool    // the weight counts for each unit of work

	PollEndpoints  bool   // the worker list must be polled
	PollInterval   Micros // longest time without a poll, where it must be polled; 0: 10 s
	MaxStaleness   Micros // a change counts as known this long after, received or not; 0: once received
	UnmeteredPolls bool   // polls cost nobody anything, so none is spread or put off

	Granularity Micros // shortest time between two batches of events; 1 ms at least

	SlowStart        Micros  // a worker is in slow start for so long after its start
	SlowStartInitial float64 // the fraction of its capacity that it starts with
	OverloadFactor   float64 // more than this multiple of its present capacity ...
	OverloadWindow   Micros  // ... over this long overloads a worker in slow start

	MaxAttempts    int
	CancelAllowed  bool
	HedgingAllowed bool // two attempts of a job may be in flight together
	GossipAllowed  bool
	MaxRetryAfter  Micros // longest Retry-After that clients obey; 0: none
	RetriesMarked  bool   // clients mark their tries after the first
	ConnectTimeout Micros

	StartReported    bool   // workers report when a job starts
	ProgressInterval Micros // workers report a running job's progress this often; 0: never
	LoadReports      bool   // answers carry load reports

	CrossZonePrice float64 // of an attempt that leaves the zone, in mean jobs' weight
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

// EventKind says what an event is about.
type EventKind uint8

// The kinds of events, with the fields that each uses.
const (
	JobArrived         EventKind = iota // Job, Class, Tenant, ClientTimeout, Retry, Work, Slots
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

// The outcomes. AtCapacity, ConnectFailed, NotSent and HandedBack prove that nothing ran.
const (
	OK Outcome = iota
	Failed
	AtCapacity
	TimedOut
	ConnectFailed
	Reset
	Cancelled
	NotSent
	HandedBack // like AtCapacity, but reported later and perhaps again: see eligible
)

// Note is the kind of a report about a running attempt.
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
	UpdateFull                      // the complete list
	UpdateCached                    // the complete list as last seen, perhaps stale
	UpdateFailed                    // a call failed or the subscription dropped; what is known may be older: Age
	UpdateDrains                    // entries that leave, from elsewhere than the list itself; Age likewise
)

// Report is the part of a worker's load report that decisions use.
type Report struct {
	FreeKnown   bool // there is a count of free slots
	Free        float64
	Outstanding float64 // jobs in flight there, waiting ones too; negative: not known
	Errors      float64 // errors a second, of all dispatchers' jobs
}

// Event is one thing that happened. Kind says which fields count.
type Event struct {
	Kind          EventKind
	Note          Note
	Scope         UpdateScope
	Outcome       Outcome
	Final         bool // the job is finished
	Job           JobID
	Class         int
	Tenant        int
	ClientTimeout Micros  // time until the client abandons this try
	Retry         bool    // the client says that it tried before
	Work          Micros  // expected work on a standard core; 0: unknown
	Slots         float64 // slots (or memory units, if more) that the job takes
	Worker        WorkerID
	Attempt       int
	Value         float64
	Report        Report
	Workers       []WorkerEntry
	Age           Micros // how long ago the list was so
	Peer          int
	Message       []byte
	Token         uint64
}

// ActionKind says what to do.
type ActionKind uint8

// The kinds of actions, with the fields that each uses.
const (
	Send           ActionKind = iota // Job, Attempt (its number), Worker, Deadline (abandon it then), SendBy
	Refuse                           // Job, Delay (Retry-After for the client)
	Fail                             // Job
	Cancel                           // Job, Attempt
	SetTimer                         // Delay, Token
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
	SendBy   Micros // of a Send: nothing may leave from then on, or it comes outside its DedupWindow
	Delay    Micros
	Token    uint64
	Peer     int
	Message  []byte
	Text     string
}
