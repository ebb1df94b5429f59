package simfleet

import "slices"

// Spread summarizes one figure over all schedulers.
type Spread struct {
	Mean float64 `json:"mean"`
	Min  float64 `json:"least"`
	Max  float64 `json:"most"`
}

func spread(of []float64) (s Spread) {
	for _, v := range of {
		s.Mean += v / float64(len(of))
	}
	if len(of) > 0 {
		s.Min, s.Max = slices.Min(of), slices.Max(of)
	}
	return s
}

// Microseconds is a duration in microseconds.
type Microseconds float64

// Event is what one event of a day cost the schedulers, within the event's window.
type Event struct {
	Name string `json:"name"`
	// Updates is how many changes discovery sent to each scheduler, a line each; Entries is how many
	// entries these had together.
	Updates int `json:"words"`
	Entries int `json:"entries"`
	// Window is the time in seconds until the schedulers were idle again, or the event's own duration.
	Window  float64 `json:"window_s"`
	Settled bool    `json:"settled"` // false: the window ended before the schedulers were idle
	// CPUSeconds is the processor time of a scheduler within the window; CoreFraction is its mean as a share
	// of one core.
	CPUSeconds   Spread  `json:"processor_s"`
	CoreFraction float64 `json:"core_share"`
	// NetCPUSeconds is the mean without what the jobs at the rate alone, or idling, take in that time.
	NetCPUSeconds float64 `json:"processor_net_s"`
	// RecoverySeconds is the time from the last update until a job was served by a scheduler again.
	RecoverySeconds Spread  `json:"resume_s"`
	PeakMemoryMB    float64 `json:"memory_most_mb"` // VmHWM of the largest scheduler up to now
	// ListBytes are the bytes of the list sent to a scheduler, RequestBytes those of its requests for it.
	ListBytes    Spread `json:"list_bytes"`
	RequestBytes Spread `json:"ask_bytes"`
	FullLists    int    `json:"whole_lists"` // sent by discovery, to all schedulers
	Watches      int    `json:"watches"`     // opened by all schedulers
	// Clients is the number of concurrent clients of an event that times the job path.
	Clients int `json:"clients,omitempty"`
	// Jobs that ended within the window, at all schedulers, and how many of them were served.
	Jobs      int          `json:"jobs"`
	Served    int          `json:"served"`
	CPUPerJob Microseconds `json:"processor_a_job_us,omitempty"`
	// Bytes on the connections of clients and workers, into and out of all schedulers.
	JobBytesIn  int64 `json:"job_bytes_in"`
	JobBytesOut int64 `json:"job_bytes_out"`
}

// Report is the result of a run.
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
	// Load is the machine's load average over one minute at the start: above 1 the machine is shared.
	Load   float64 `json:"load_at_start"`
	Events []Event `json:"events"`
	// PeakMemoryMB is the peak resident memory of a scheduler.
	PeakMemoryMB Spread `json:"memory_mb"`
	// HarnessMB is the peak resident memory of this process.
	HarnessMB      float64 `json:"hollow_memory_mb"`
	MaxThreads     int     `json:"threads_most"`     // of a scheduler, at the end of an event
	MaxDescriptors int     `json:"descriptors_most"` // of a scheduler, at the end of an event
	// CPUSeconds is the processor time of the whole run; CPUTickSeconds is the same from /proc/PID/stat, in
	// steps of 10 ms.
	CPUSeconds     Spread `json:"processor_s"`
	CPUTickSeconds Spread `json:"processor_stat_s"`
	Jobs           int    `json:"jobs"`
	Served         int    `json:"served"`
	Refused        int    `json:"refused"`
	Failed         int    `json:"failed"`
	Skipped        int    `json:"skipped"` // not submitted, as too many were open
	// Errors are the first that ended a client's connection instead of an answer.
	Errors         []string `json:"errors"`
	ElapsedSeconds float64  `json:"took_s"`
	// Violations are the properties that broke, by package history, which checked CheckedEvents events.
	Violations    []string `json:"broken"`
	CheckedEvents int      `json:"checked_events"`
}

// FindEvent returns the event with a name, or nil.
func (r *Report) FindEvent(name string) *Event {
	for i := range r.Events {
		if r.Events[i].Name == name {
			return &r.Events[i]
		}
	}
	return nil
}
