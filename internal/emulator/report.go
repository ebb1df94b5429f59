package emulator

// Report is what a run found. Model is the same for the same options; Measured is not.
type Report struct {
	Model    Model    `json:"model"`
	Measured Measured `json:"measured"`
	Series   Series   `json:"-"`
}

// OK tells whether no rule was violated.
func (r *Report) OK() bool { return len(r.Model.Violations) == 0 }

// Model is what happened in virtual time, from the first job to the end.
type Model struct {
	Day           string  `json:"day"`
	Workers       int     `json:"workers"`
	Schedulers    int     `json:"schedulers"`
	Seed          uint64  `json:"seed"`
	RatePerSecond float64 `json:"rate_per_s"` // of jobs, as configured
	TaskSeconds   float64 `json:"task_s"`     // mean run time of a job on a standard machine
	LoadSeconds   float64 `json:"seconds"`    // duration of the load

	Jobs     int `json:"jobs"`     // that clients submitted
	Requests int `json:"requests"` // submissions of them, retries included
	Starts   int `json:"starts"`   // attempts that began to run
	Served   int `json:"served"`
	Refused  int `json:"refused"` // requests that were refused
	GaveUp   int `json:"gave_up"` // jobs whose last request was refused
	Failed   int `json:"failed"`
	Invalid  int `json:"invalid"` // answers that no client should get: the model itself would be wrong

	Unanswered         int `json:"open"`           // requests, at the end
	NotRunning         int `json:"waiting"`        // of these, requests that do not run
	MaxNotRunningAtOne int `json:"waiting_at_one"` // of these, the most at one scheduler
	CheckedRequests    int `json:"checked"`        // requests whose history was checked

	StartsPerSecond     float64           `json:"starts_per_s"`
	PeakStartsPerSecond int               `json:"peak_starts_per_s"` // in the busiest second
	TimeToStart         map[string]Spread `json:"time_to_start"`     // by class, from the first submission
	TimeToStartBySlots  map[string]Spread `json:"by_slots"`          // by the slots that a job takes
	Attempts            int               `json:"attempts"`
	RejectedAtCapacity  int               `json:"turned_away"` // by a worker at capacity
	NotSent             int               `json:"turned_back"` // kept back by the last check before the write
	KilledAttempts      int               `json:"killed"`      // with their worker
	Cancelled           int               `json:"withdrawn"`
	OverloadCrashes     int               `json:"pushed_over"` // of workers in slow start

	CallbacksUndelivered int            `json:"callbacks_lost"`
	NoConnection         int            `json:"no_connection"` // attempts and cancellations beyond the limit
	LogLines             map[string]int `json:"log"`           // of the reducer, without their numbers

	ControlTraffic Traffic   `json:"control"` // between a scheduler and discovery
	JobTraffic     Traffic   `json:"work"`    // between a scheduler, clients and workers
	Discovery      Discovery `json:"discovery"`
	Changes        Changes   `json:"changes"`

	Violations map[string]int `json:"broken"`             // by rule
	Findings   []string       `json:"findings,omitempty"` // the first violations
}

// Spread is a distribution of times in milliseconds.
type Spread struct {
	Total int     `json:"of,omitempty"` // jobs, of which Count have a time
	Count int64   `json:"n"`
	P50   float64 `json:"p50_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"max_ms"`
	// WithinObjective is the fraction that began within the class's objective, without its stretch.
	WithinObjective float64 `json:"in_aim,omitempty"`
}

// Traffic is what a scheduler receives and sends, with estimates for the bytes on the wire.
type Traffic struct {
	BytesPerSecond    float64 `json:"bytes_per_s"`                  // mean of all schedulers
	MaxBytesPerSecond float64 `json:"most_bytes_per_s"`             // of the scheduler with the most
	PeakSecondBytes   int64   `json:"worst_second_bytes,omitempty"` // of any scheduler
	MessagesPerSecond float64 `json:"messages_per_s"`               // mean of all schedulers
}

// Discovery is what discovery did.
type Discovery struct {
	FullLists     int     `json:"whole_lists"`   // calls answered with the full list
	Deltas        int     `json:"deltas"`        // calls answered with the changes since a revision
	RefusedCalls  int     `json:"refused_calls"` // that would have waited too long
	WatchesClosed int     `json:"lost_watches"`  // that the scheduler had not closed
	BusySeconds   float64 `json:"busy_s"`
}

// Changes is how long changes of the worker list took, from when discovery knew the first entry of one
// until it was in force everywhere. A change is in force at a scheduler once the scheduler has applied
// it, or sends nothing because its list is stale.
type Changes struct {
	Updates    int    `json:"words"`    // revisions published
	Entries    int    `json:"entries"`  // in them
	InForce    Spread `json:"in_force"` // at all schedulers
	Applied    Spread `json:"applied"`  // by all schedulers
	NotInForce int    `json:"open"`     // not in force everywhere at the end
	Unapplied  int    `json:"unread"`   // not applied everywhere at the end
}

// Measured is what was measured on the machine. The processor times are those of the reducers. Control
// is what handles the worker list, and the control budget is 2.9% of a core for it.
type Measured struct {
	WallSeconds float64     `json:"seconds"` // duration of the run
	Events      uint64      `json:"events"`  // of the model
	EventCosts  []EventCost `json:"kinds"`   // by kind of event, the most expensive first

	CorePercent        float64 `json:"core_percent"`         // of a core, mean of all schedulers
	MaxCorePercent     float64 `json:"core_percent_most"`    // of the scheduler with the most
	ControlCorePercent float64 `json:"core_percent_control"` // for control, mean of all schedulers

	// How far a reducer is behind at most: with a core of its own, and in control with the budget alone.
	MaxLagMs                float64 `json:"lag_ms"`
	MaxLagMsAtControlBudget float64 `json:"lag_at_2.9_percent_ms"`

	// How long a change took at most until the last scheduler that receives it at once had applied it, with
	// the processor time of the reducers: with a core each, and in control with the budget alone.
	MaxChangeMs                float64 `json:"change_ms"`
	MaxChangeMsAtControlBudget float64 `json:"change_at_2.9_percent_ms"`

	HeapKBPerScheduler float64 `json:"heap_kb_a_scheduler"` // live, once the schedulers have the list
	MaxHeapMB          float64 `json:"heap_mb"`             // of the whole run
	AvailableCores     int     `json:"cores"`               // that the run could use
}

// EventCost is the processor time of one kind of event.
type EventCost struct {
	Kind         string  `json:"kind"`
	Count        int64   `json:"n"`
	MeanUs       float64 `json:"mean_us"` // microseconds, like the next three
	P50Us        float64 `json:"p50_us"`
	P99Us        float64 `json:"p99_us"`
	MaxUs        float64 `json:"max_us"`
	TotalSeconds float64 `json:"total_s"`
}

// Series are figures of all schedulers together, by second of the load.
type Series struct {
	Starts, Refused []int
	ControlKB       []float64 // of control messages
	CoreSeconds     []float64 // processor time of the reducers
}
