package emulator

// Report is the result of a run. Equal options give an equal Model; Measured depends on the machine.
type Report struct {
	Model    Model    `json:"model"`
	Measured Measured `json:"measured"`
	Series   Series   `json:"-"` // data for charts, not part of the JSON
}

// OK reports whether the run had no violations.
func (r *Report) OK() bool { return len(r.Model.Violations) == 0 }

// Model holds the figures that depend on virtual time only. They cover the time from the submission of the
// first job to the end of the run.
type Model struct {
	Day            string  `json:"day"`
	Workers        int     `json:"workers"`
	Schedulers     int     `json:"schedulers"`
	Seed           uint64  `json:"seed"`
	RatePerSecond  float64 `json:"rate_per_s"` // jobs that clients submit per second, as configured
	MeanRunSeconds float64 `json:"task_s"`     // mean run time of a job on a machine of speed 1, in seconds
	LoadSeconds    float64 `json:"seconds"`    // duration of the load in seconds

	Jobs     int `json:"jobs"`     // jobs that clients submitted
	Requests int `json:"requests"` // requests that clients sent for all jobs, including retries
	Starts   int `json:"starts"`   // attempts that workers started
	Served   int `json:"served"`   // requests answered with the result of the job
	Refused  int `json:"refused"`  // requests answered with a refusal
	GaveUp   int `json:"gave_up"`  // jobs that clients stopped retrying after a refusal
	Failed   int `json:"failed"`   // requests answered with a failure
	// Invalid counts answers that are no result, refusal or failure. No client should get an invalid answer;
	// such an answer means a fault of the emulator.
	Invalid int `json:"invalid"`

	Unanswered int `json:"open"`    // requests without an answer at the end of the run
	NotRunning int `json:"waiting"` // unanswered requests of which no attempt has started
	// MaxNotRunningAtOneScheduler is the largest number of unanswered requests without a started attempt at any
	// single scheduler.
	MaxNotRunningAtOneScheduler int `json:"waiting_at_one"`
	CheckedRequests             int `json:"checked"` // requests whose history was checked for violations

	StartsPerSecond     float64 `json:"starts_per_s"`
	PeakStartsPerSecond int     `json:"peak_starts_per_s"` // attempts started in the second with the most starts
	// TimeToStart is the time from the first submission of a job to its first start, by job class.
	TimeToStart        map[string]Spread `json:"time_to_start"`
	TimeToStartBySlots map[string]Spread `json:"by_slots"` // TimeToStart by the number of slots of the job
	Attempts           int               `json:"attempts"`
	RejectedAtCapacity int               `json:"turned_away"` // attempts rejected by a worker at capacity
	// NotSent counts attempts that a scheduler did not write to a connection, because the reducer had stopped
	// the use of the worker or the worker list was stale.
	NotSent         int `json:"turned_back"`
	KilledAttempts  int `json:"killed"`      // attempts that ended because the worker's process ended
	Cancelled       int `json:"withdrawn"`   // attempts that workers canceled on request
	OverloadCrashes int `json:"pushed_over"` // crashes of workers that were overloaded in slow start

	CallbacksUndelivered int `json:"callbacks_lost"` // callbacks not delivered within callbackTimeout
	// NoConnection counts attempts and cancellations that were not sent because the scheduler had reached its
	// limit of connections.
	NoConnection int            `json:"no_connection"`
	LogLines     map[string]int `json:"log"` // log lines of the reducers by text, with N for each number

	ControlTraffic Traffic   `json:"control"` // traffic between a scheduler and discovery
	JobTraffic     Traffic   `json:"work"`    // traffic between a scheduler and clients and workers
	Discovery      Discovery `json:"discovery"`
	Changes        Changes   `json:"changes"`

	Violations map[string]int `json:"broken"`             // number of violations by property
	Findings   []string       `json:"findings,omitempty"` // descriptions of the first violations
}

// Spread describes a distribution of times in milliseconds.
type Spread struct {
	Total int     `json:"of,omitempty"` // number of jobs, including jobs that have not started
	Count int64   `json:"n"`            // number of measured times
	P50   float64 `json:"p50_ms"`       // median
	P99   float64 `json:"p99_ms"`       // 99th percentile
	Max   float64 `json:"max_ms"`
	// WithinObjective is the fraction of the started jobs that started within StartObjective.
	WithinObjective float64 `json:"in_aim,omitempty"`
}

// Traffic describes the messages that a scheduler receives and sends. The sizes of messages are estimates.
type Traffic struct {
	BytesPerSecond    float64 `json:"bytes_per_s"`                  // sent and received, mean of all schedulers
	MaxBytesPerSecond float64 `json:"most_bytes_per_s"`             // highest BytesPerSecond of any scheduler
	PeakSecondBytes   int64   `json:"worst_second_bytes,omitempty"` // most bytes of a scheduler in any second
	MessagesPerSecond float64 `json:"messages_per_s"`               // mean of all schedulers
}

// Discovery holds the figures of the discovery service.
type Discovery struct {
	FullLists     int     `json:"whole_lists"`   // calls answered with the full list
	Deltas        int     `json:"deltas"`        // calls answered with the changes since a revision
	RefusedCalls  int     `json:"refused_calls"` // calls whose wait would exceed maxCallWait
	WatchesClosed int     `json:"lost_watches"`  // watches that discovery closed or refused, or that timed out
	BusySeconds   float64 `json:"busy_s"`        // time that discovery spent on calls that open a watch
}

// Changes describes how long changes of the worker list took to reach the schedulers, from the time at which
// discovery learned of the first entry of a change. A change is one revision of the worker list. A change is
// in force at a scheduler once the scheduler has applied the change, or sends no attempts because its list is
// stale.
type Changes struct {
	Updates    int    `json:"words"`    // number of published revisions
	Entries    int    `json:"entries"`  // number of entries in all published revisions
	InForce    Spread `json:"in_force"` // time until a change was in force at all schedulers
	Applied    Spread `json:"applied"`  // time until all schedulers had applied a change
	NotInForce int    `json:"open"`     // changes not in force at all schedulers at the end of the run
	Unapplied  int    `json:"unread"`   // changes that not all schedulers had applied at the end of the run
}

// Measured holds the figures that depend on the machine. The processor times are the times that the reducers
// use. Control events are the reducer events about the worker list and about the watch, the connection on
// which discovery sends the list. The control budget is the processor time that control events may take, 2.9%
// of a core.
type Measured struct {
	WallSeconds float64     `json:"seconds"` // wall time of the run in seconds
	Events      uint64      `json:"events"`  // number of events of the simulation
	EventCosts  []EventCost `json:"kinds"`   // by kind of reducer event, the largest total time first

	CorePercent        float64 `json:"core_percent"`         // use of a core in percent, mean of all schedulers
	MaxCorePercent     float64 `json:"core_percent_most"`    // highest use of a core in percent by any scheduler
	ControlCorePercent float64 `json:"core_percent_control"` // CorePercent of the control events alone

	// MaxLagMs is the longest time by which a reducer with a core of its own lags behind the arrival of events.
	// MaxLagMsAtControlBudget is the longest lag of a reducer that processes control events only, within the
	// control budget.
	MaxLagMs                float64 `json:"lag_ms"`
	MaxLagMsAtControlBudget float64 `json:"lag_at_2.9_percent_ms"`

	// MaxChangeMs is the longest time from when discovery learns of a change of the worker list until a
	// scheduler whose list is not stale has applied the change, including the lag of a reducer with a core of
	// its own.
	// MaxChangeMsAtControlBudget is the same time with the lag of a reducer that processes control events only,
	// within the control budget.
	MaxChangeMs                float64 `json:"change_ms"`
	MaxChangeMsAtControlBudget float64 `json:"change_at_2.9_percent_ms"`

	// HeapKBPerScheduler is the live heap of a scheduler, measured when all schedulers have the worker list.
	HeapKBPerScheduler float64 `json:"heap_kb_a_scheduler"`
	MaxHeapMB          float64 `json:"heap_mb"` // largest heap of the process during the run
	AvailableCores     int     `json:"cores"`   // processor cores available to the run
}

// EventCost describes the processor time that the reducers took for one kind of event.
type EventCost struct {
	Kind         string  `json:"kind"`
	Count        int64   `json:"n"`
	MeanUs       float64 `json:"mean_us"` // MeanUs, P50Us, P99Us and MaxUs are times in microseconds.
	P50Us        float64 `json:"p50_us"`
	P99Us        float64 `json:"p99_us"`
	MaxUs        float64 `json:"max_us"`
	TotalSeconds float64 `json:"total_s"`
}

// Series holds figures of all schedulers together for each second of the load.
type Series struct {
	Starts, Refused []int     // started attempts and refused requests in each second
	ControlKB       []float64 // kilobytes of messages to and from discovery in each second
	CoreSeconds     []float64 // processor time of the reducers in each second, in seconds
}
