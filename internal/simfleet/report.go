package simfleet

import "slices"

// Spread holds the mean, minimum and maximum of a value over all schedulers.
type Spread struct {
	Mean float64 `json:"mean"`
	Min  float64 `json:"least"`
	Max  float64 `json:"most"`
}

func spread(values []float64) (s Spread) {
	for _, v := range values {
		s.Mean += v / float64(len(values))
	}
	if len(values) > 0 {
		s.Min, s.Max = slices.Min(values), slices.Max(values)
	}
	return s
}

// Microseconds is a duration in microseconds.
type Microseconds float64

// Event is the measurement of an event of a day, the fault scenario of a run. The window of the measurement
// begins with the event and ends when the schedulers are idle again, or, for an event that lasts for a set
// time, with the event.
type Event struct {
	Name string `json:"name"`
	// Updates is the number of lines with changes of the worker list that discovery sent to each scheduler.
	// Entries is the number of changed entries in these lines.
	Updates int `json:"words"`
	Entries int `json:"entries"`
	// Window is the length of the window in seconds.
	Window  float64 `json:"window_s"`
	Settled bool    `json:"settled"` // false if the wait for idle schedulers timed out
	// CPUSeconds is the CPU time of a scheduler within the window, in seconds; CoreFraction is its mean divided
	// by the window, as a fraction of one core.
	CPUSeconds   Spread  `json:"processor_s"`
	CoreFraction float64 `json:"core_share"`
	// NetCPUSeconds is the mean of CPUSeconds less the CPU time that a scheduler takes in a window of this
	// length for the jobs at Options.Rate alone, as measureBaseline measures it before the first event.
	NetCPUSeconds float64 `json:"processor_net_s"`
	// RecoverySeconds is the time in seconds from the last update until a scheduler has served a probe job. For
	// the event "start" it is the time until a scheduler was ready.
	RecoverySeconds Spread  `json:"resume_s"`
	PeakMemoryMB    float64 `json:"memory_most_mb"` // greatest VmHWM of a scheduler at the end of the window
	// ListBytes is the number of bytes that discovery sent to a scheduler; RequestBytes is the number of bytes
	// that a scheduler sent to discovery.
	ListBytes    Spread `json:"list_bytes"`
	RequestBytes Spread `json:"ask_bytes"`
	FullLists    int    `json:"whole_lists"` // number of full lists that discovery sent to all schedulers
	Watches      int    `json:"watches"`     // number of watches that all schedulers opened
	// Clients is the number of concurrent clients of an event that measures the job path.
	Clients int `json:"clients,omitempty"`
	// Jobs is the number of jobs that ended within the window at all schedulers; Served is the number of jobs
	// among them that were served.
	Jobs   int `json:"jobs"`
	Served int `json:"served"`
	// CPUPerJob is the CPU time of the measured scheduler for each job, for an event that measures the job path.
	CPUPerJob Microseconds `json:"processor_a_job_us,omitempty"`
	// JobBytesIn and JobBytesOut are the numbers of bytes that all schedulers received from and sent to clients
	// and workers.
	JobBytesIn  int64 `json:"job_bytes_in"`
	JobBytesOut int64 `json:"job_bytes_out"`
}

// Report is the result of Run.
type Report struct {
	Schedulers      int     `json:"schedulers"`
	Fleet           int     `json:"fleet"`
	Workers         int     `json:"workers"`
	Zones           int     `json:"zones"`
	Rate            float64 `json:"rate"`
	DurationSeconds float64 `json:"for_s"`
	Seed            uint64  `json:"seed"`
	Day             string  `json:"day"`
	Cores           int     `json:"cores"`
	// LoadAtStart is the machine's load average over one minute at the start of the run. A value above 1 means
	// that other programs were using the machine.
	LoadAtStart float64 `json:"load_at_start"`
	Events      []Event `json:"events"`
	// PeakMemoryMB is the peak resident memory of a scheduler over the whole run.
	PeakMemoryMB Spread `json:"memory_mb"`
	// HarnessMB is the peak resident memory of the process that simulates workers, discovery and clients.
	HarnessMB      float64 `json:"hollow_memory_mb"`
	MaxThreads     int     `json:"threads_most"`     // most threads of a scheduler at the end of an event
	MaxDescriptors int     `json:"descriptors_most"` // most descriptors of a scheduler at the end of an event
	// CPUSeconds is the CPU time of a scheduler over the whole run, summed over its threads, in seconds;
	// CPUTickSeconds is this CPU time as read from /proc/PID/stat, in steps of 10 ms.
	CPUSeconds     Spread `json:"processor_s"`
	CPUTickSeconds Spread `json:"processor_stat_s"`
	Jobs           int    `json:"jobs"`
	Served         int    `json:"served"`
	Refused        int    `json:"refused"`
	Failed         int    `json:"failed"`
	// Skipped is the number of jobs of the load at Options.Rate that were not submitted, as their scheduler had
	// maxOpenJobs outstanding jobs.
	Skipped int `json:"skipped"`
	// Errors are the first maxReportedErrors errors of jobs whose client got no answer.
	Errors         []string `json:"errors"`
	ElapsedSeconds float64  `json:"took_s"`
	// Violations are the violated properties that package history found; CheckedEvents is the number of events
	// that it checked.
	Violations    []string `json:"broken"`
	CheckedEvents int      `json:"checked_events"`
}

// FindEvent returns the first event with a name, or nil if there is none.
func (r *Report) FindEvent(name string) *Event {
	for i := range r.Events {
		if r.Events[i].Name == name {
			return &r.Events[i]
		}
	}
	return nil
}
