// Package dispatch makes the decisions of a dispatcher that pushes jobs to workers: which job is sent next
// and to which worker, which job is refused, and which attempt is retried.
//
// The package uses no clock, no network and no goroutines. The caller feeds a Dispatcher one Event at a time
// and carries out the actions that Step appends.
//
// A Dispatcher queues jobs by latest start, which is the latest time at which a job can start and still meet
// its latency objective, and sends them to workers with free slots. A published overload control decides
// about admission: when the queued jobs would not all start in time (see admission.go), call gapping rejects
// a part of the new jobs, lowest rank first. docs/design.md says where and why the package departs from the
// publication.
//
// The files that hold decisions are listed under policy in deploy/balancer.toml. state.go and records.go
// define the state, and the files named estimate_*.go compute the estimates on which decisions rest.
package dispatch

// Micros is a point in time or a duration, in microseconds. Points in time count from an arbitrary origin,
// and the times that a caller passes to Dispatcher.Step never decrease.
type Micros int64

// JobID identifies a job. Decisions do not depend on the value of a JobID.
type JobID uint64

// WorkerID identifies a worker. From its value each dispatcher computes which dispatcher may send to the
// worker while the worker is in slow start.
type WorkerID uint32

// Effect says whether a job may be attempted again after an earlier attempt that may have run.
type Effect uint8

// The values of Effect say how often a job may run.
const (
	Safe   Effect = iota // the job may run any number of times
	Keyed                // the job has an idempotency key: workers of one deduplication group drop repeats
	Unsafe               // the job must never run twice
)

// DedupScope says which workers form a deduplication group: each worker of a group drops a keyed job that
// another worker of the group has received within the deduplication window.
type DedupScope uint8

// The values of DedupScope say how the fleet is divided into deduplication groups.
const (
	ScopeAll  DedupScope = iota // all workers form one group
	ScopeZone                   // the workers of each zone form a group
	ScopeCell                   // the workers of each cell form a group
)

// Class describes one class of jobs.
type Class struct {
	LatencyObjective Micros  // an answer within this time has the full PriorityWeight; 0: equal to Deadline
	ObjectiveStretch float64 // multiple of a job's work that is added to the job's latency objective
	Deadline         Micros  // the longest time that the client waits, over all its tries
	// PriorityWeight is the value of an answer within the latency objective: for each job or, if
	// Settings.WeightByWork is set, for each unit of the job's work. Under overload the dispatcher first rejects
	// jobs with the least value for each unit of work.
	PriorityWeight float64
	LateWeight     float64 // fraction of PriorityWeight kept after the objective; 0: late answers have no value
	Effect         Effect
	DedupScope     DedupScope // deduplication groups of the workers; used only if Effect is Keyed
	DedupWindow    Micros     // time for which these groups drop repeats of a job; used only if Effect is Keyed
	Stream         bool       // the worker streams the answer to the client
	Kind           int        // the machine kind that a job needs; -1: any kind
}

// Tenant describes one of the tenants that share the fleet.
type Tenant struct {
	Quota float64 // guaranteed jobs per second, over all dispatchers; 0: the tenant has no quota
}

// Settings configures a dispatcher. The settings do not change while the dispatcher runs.
type Settings struct {
	Index       int // number of this dispatcher, from 0
	Dispatchers int // number of dispatchers that share the fleet
	Zone        int // zone in which this dispatcher runs

	Classes         []Class
	Tenants         []Tenant
	OverQuotaWeight float64 // fraction of its weight that a job beyond its tenant's quota keeps
	WeightByWork    bool    // the weight of a job is PriorityWeight times its work

	// PollEndpoints is set if the dispatcher has to poll the worker list or renew a subscription to the list.
	PollEndpoints bool
	// PollInterval scales the times between polls if PollEndpoints is set: a poll without an answer is repeated
	// after about half of this interval, and a subscription is renewed after watchRenewalIntervals intervals
	// without an update. 0: 10 s.
	PollInterval Micros
	// MaxStaleness is the time after a change of the worker list from which the dispatcher must obey the change
	// even without having received it, so the dispatcher does not send by a list that is older than this time.
	// 0: the dispatcher must obey only the changes that it has received.
	MaxStaleness   Micros
	UnmeteredPolls bool // polls put no load on discovery, so they need not be spread over time or delayed

	Granularity Micros // shortest time between two batches of events; values below 1 ms are raised to 1 ms

	SlowStart        Micros  // time after the start of a worker during which the worker is in slow start
	SlowStartInitial float64 // fraction of its full capacity that a worker has when it starts
	// OverloadFactor and OverloadWindow limit what a worker in slow start is sent. A worker is overloaded if it
	// is sent, within any OverloadWindow, more work than OverloadFactor times the work that its present capacity
	// can do in an OverloadWindow.
	OverloadFactor float64
	OverloadWindow Micros

	MaxAttempts    int    // most attempts of one job; at least 1
	CancelAllowed  bool   // attempts in flight may be cancelled
	HedgingAllowed bool   // two attempts of a job may be in flight at the same time
	GossipAllowed  bool   // dispatchers may send each other messages
	MaxRetryAfter  Micros // longest Retry-After that clients obey; 0: refusals carry no Retry-After
	RetriesMarked  bool   // clients mark each retry of a request as a retry
	ConnectTimeout Micros // longest time until a connect to a worker fails

	StartReported    bool   // workers report when a job starts to run
	ProgressInterval Micros // time between two progress reports of a running job; 0: workers report none
	LoadReports      bool   // answers of workers carry load reports

	CrossZonePrice float64 // price of an attempt at a worker of another zone, in multiples of a mean job's value
}

// Status is the state of a worker in the worker list.
type Status uint8

// The values of Status say whether a worker accepts new jobs.
const (
	Removed  Status = iota // the worker has been removed from the list
	Ready                  // the worker accepts jobs
	Draining               // the worker finishes its jobs and must be sent no more
)

// WorkerEntry is one entry of the worker list.
type WorkerEntry struct {
	Worker  WorkerID
	Zone    int
	Cell    int
	Kind    int // machine kind
	Status  Status
	Started Micros // time of the worker's latest start; 0: the start is too long ago to matter for slow start
}

// EventKind is the kind of an event.
type EventKind uint8

// The kinds of events. The comment of each kind lists the fields of Event that the kind uses.
const (
	// JobArrived reports that a client has submitted a job. It uses the Event fields Job, Class, Tenant,
	// ClientTimeout, Retry, Work and Slots.
	JobArrived EventKind = iota
	// AttemptEnded reports how an attempt ended. It uses the Event fields Job, Attempt, Worker, Outcome, Final
	// and Report.
	AttemptEnded
	// AttemptReported carries a worker's report about an attempt that has not ended. It uses the Event fields
	// Job, Attempt, Worker, Note and Value.
	AttemptReported
	// StreamStarted reports that a worker has begun to stream its answer. It uses the Event fields Job, Attempt
	// and Worker.
	StreamStarted
	// ClientDisconnected reports that the client of a job has disconnected. It uses the Event field Job.
	ClientDisconnected
	// EndpointsUpdated carries an update of the worker list. It uses the Event fields Scope, Workers and Age.
	EndpointsUpdated
	// GossipReceived carries a message of another dispatcher. It uses the Event fields Peer and Message.
	GossipReceived
	// TimerFired reports that the time of a SetTimer action has come. It uses the Event field Token.
	TimerFired
	// Started is the first event of a dispatcher and is sent once. It uses no Event fields.
	Started
)

// Outcome says how an attempt ended.
type Outcome uint8

// The values of Outcome. After AtCapacity, ConnectFailed, NotSent and HandedBack the job certainly did not
// run in the attempt.
const (
	OK            Outcome = iota // the worker finished the job
	Failed                       // the worker reported an error
	AtCapacity                   // the worker rejected the job because the worker has no room for it
	TimedOut                     // no result came before the attempt's deadline
	ConnectFailed                // no connection to the worker could be made
	Reset                        // the connection broke or the worker aborted the job
	Cancelled                    // the attempt was cancelled
	NotSent                      // the attempt never left the scheduler

	// HandedBack means that the worker accepted the job and later returned the job without starting it. The
	// worker may report the return more than once, so eligible excludes this worker from later attempts of the
	// job.
	HandedBack
)

// Note is the kind of a report about a running attempt.
type Note uint8

// The values of Note say what a worker reports about an attempt that has not ended.
const (
	NoteOther    Note = iota // the report is only a sign of life of the worker
	NoteStarted              // the job has started to run
	NoteProgress             // Event.Value is the fraction of the work that is done
)

// UpdateScope says which part of the worker list an EndpointsUpdated event carries.
type UpdateScope uint8

// The values of UpdateScope say which entries of the worker list an update carries, and how far the update
// can be relied on.
const (
	UpdateDelta  UpdateScope = iota // the update carries only the changed entries
	UpdateFull                      // the update carries the complete worker list
	UpdateCached                    // the complete worker list as stored before a restart, which may be stale

	// UpdateFailed means that a call to discovery failed or the subscription ended. The event carries no
	// entries. The dispatcher's present worker list may be older than assumed: Event.Age is its least age.
	UpdateFailed
	// UpdateDrains carries only entries of workers that drain or are removed, or no entries. The entries come
	// from another source than the dispatcher's present worker list; Event.Age is the least age of the present
	// list.
	UpdateDrains
)

// Report is the part of a worker's load report that decisions use.
type Report struct {
	FreeKnown   bool    // the report contains a count of free slots
	Free        float64 // number of free slots at the worker; used if FreeKnown is set
	Outstanding float64 // jobs in flight at the worker, including waiting jobs; negative: unknown
	Errors      float64 // errors per second, over the jobs of all dispatchers
}

// Event is an input of Dispatcher.Step. Kind says which fields are used.
type Event struct {
	Kind          EventKind
	Note          Note
	Scope         UpdateScope
	Outcome       Outcome
	Final         bool // the client already has its final answer, so that no retry may follow
	Job           JobID
	Class         int
	Tenant        int
	ClientTimeout Micros  // time until the client abandons this submission; 0: no time is left
	Retry         bool    // the client marked this submission of the job as a retry
	Work          Micros  // the client's cost hint: expected run time on a standard core; 0: unknown
	Slots         float64 // number of worker slots that the job takes, or of memory units if that is larger
	Worker        WorkerID
	Attempt       int     // number of the attempt within its job, from 0
	Value         float64 // fraction of the work that is done, if Note is NoteProgress
	Report        Report
	Workers       []WorkerEntry
	Age           Micros // time since discovery last confirmed the worker list; see also UpdateFailed
	Peer          int    // number of the dispatcher that sent the gossip message
	Message       []byte
	Token         uint64 // token of the SetTimer action whose timer fired
}

// ActionKind is the kind of an action.
type ActionKind uint8

// The kinds of actions. The comment of each kind lists the fields of Action that the kind uses.
const (
	// Send sends an attempt of a job to a worker. It uses the Action fields Job, Attempt, Worker, Deadline and
	// SendBy.
	Send ActionKind = iota
	// Refuse refuses a job. It uses the Action fields Job and Delay (the Retry-After for the client).
	Refuse
	// Fail answers a job as failed. It uses the Action field Job.
	Fail
	// Cancel cancels an attempt. It uses the Action fields Job and Attempt.
	Cancel
	// SetTimer requests a TimerFired event. It uses the Action fields Delay and Token.
	SetTimer
	// WatchEndpoints subscribes to the worker list. It uses no Action fields.
	WatchEndpoints
	// SendGossip sends a message to another dispatcher. It uses the Action fields Peer and Message.
	SendGossip
	// Log writes a log line. It uses the Action field Text.
	Log
)

// Action is an output of Dispatcher.Step that the caller carries out. Kind says which fields are used.
type Action struct {
	Kind     ActionKind
	Job      JobID
	Worker   WorkerID
	Attempt  int    // number of the attempt within its job, from 0
	Deadline Micros // time at which the caller has to abandon the attempt of a Send
	// SendBy is the time from which the caller must no longer send the attempt of a Send. A repeat of a keyed
	// job that is sent later could reach a worker after the end of the deduplication window.
	SendBy  Micros
	Delay   Micros // Retry-After that a Refuse carries, or time until the timer of a SetTimer fires
	Token   uint64 // token that the TimerFired event of a SetTimer has to carry
	Peer    int    // number of the dispatcher to which a SendGossip goes
	Message []byte
	Text    string // log line of a Log action
}
