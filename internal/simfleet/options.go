// Package simfleet measures real dahliaford processes at the size of a whole fleet. Discovery and all
// workers are hollow: they share this process, speak the protocol on loopback, and do no work. What
// the schedulers take is read from the system's accounts; what they are told and asked is counted on
// this side. Nothing here decides anything.
package simfleet

import (
	"fmt"
	"os"
	"runtime"
	"slices"
	"strings"
	"syscall"
	"time"
)

// Days are the names that Options.Day knows.
var Days = []string{"calm", "zone", "region", "roll", "discovery", "storm"}

// The bounds of a run.
const (
	maxSchedulers = 64
	maxWorkers    = 20000
	maxZones      = 64
	maxRate       = 2000. // jobs a second over all: they are handed in by this process, too
	minDuration   = 3 * time.Second
	maxDuration   = 10 * time.Minute

	schedulerMemoryMB = 64  // that a scheduler is told it has
	schedulerSockets  = 512 // and descriptors
	// ownDescriptors is what this process opens besides connections.
	ownDescriptors = 256
	settleTimeout  = 30 * time.Second // the longest that an event's cost is waited for
)

// Options says what is run.
type Options struct {
	Program    string // a built dahliaford
	Schedulers int    // real ones, 1 to 64
	// Fleet is how many schedulers the settings tell of, which sets each one's part of the workers;
	// 0: as many as are real.
	Fleet    int
	Workers  int           // listed, 1 to 20,000
	Zones    int           // 1 to 64, two of them a region
	Rate     float64       // jobs a second over all, 0 to 2,000
	Duration time.Duration // 3 s to 10 min: what the day's timed events share; the others end by themselves
	Seed     uint64
	Day      string // one of Days; storm has every event
}

func (o *Options) fleetSize() int { return max(o.Fleet, o.Schedulers) }

// Validate tells in one line what cannot be run here. The program is looked for by Run.
func (o *Options) Validate() error {
	switch {
	case o.Schedulers < 1 || o.Schedulers > maxSchedulers:
		return fmt.Errorf("%d real schedulers: 1 to %d can be run", o.Schedulers, maxSchedulers)
	case o.Fleet < 0 || o.Fleet != 0 && o.Fleet < o.Schedulers:
		return fmt.Errorf("a fleet of %d schedulers, %d of them real", o.Fleet, o.Schedulers)
	case o.Workers < 1 || o.Workers > maxWorkers:
		return fmt.Errorf("%d workers: 1 to %d can be listed", o.Workers, maxWorkers)
	case o.Zones < 1 || o.Zones > maxZones || o.Zones > o.Workers:
		return fmt.Errorf("%d zones: 1 to %d, and no more than workers", o.Zones, maxZones)
	case !(o.Rate >= 0 && o.Rate <= maxRate):
		return fmt.Errorf("%g jobs a second: 0 to %g can be handed in", o.Rate, maxRate)
	case o.Duration < minDuration || o.Duration > maxDuration:
		return fmt.Errorf("a run of %v: %v to %v can be asked for", o.Duration, minDuration, maxDuration)
	case !slices.Contains(Days, o.Day):
		return fmt.Errorf("no day %q: there are %s", o.Day, strings.Join(Days, ", "))
	}
	return o.checkMachine()
}

// checkProgram tells whether the program is.
func (o *Options) checkProgram() error {
	info, err := os.Stat(o.Program)
	if err != nil {
		return fmt.Errorf("no program to run: %w", err)
	}
	if info.IsDir() {
		return fmt.Errorf("no program to run: %s is a folder", o.Program)
	}
	return nil
}

// checkMachine tells whether the machine's limits allow the run as they are.
func (o *Options) checkMachine() error {
	var files syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &files); err != nil {
		return err
	}
	// Each scheduler holds at most its sockets, nearly all to this process; so do the callbacks.
	if need := uint64(o.Schedulers*schedulerSockets*3/2 + ownDescriptors); need > files.Cur {
		return fmt.Errorf("%d real schedulers: %d descriptors may be needed, %d are allowed",
			o.Schedulers, need, files.Cur)
	}
	var system syscall.Sysinfo_t
	if err := syscall.Sysinfo(&system); err != nil {
		return err
	}
	all := uint64(system.Totalram) * uint64(system.Unit) >> 20
	if need := uint64(o.Schedulers*schedulerMemoryMB + o.Workers/20); need > all/2 {
		return fmt.Errorf("%d real schedulers: %d MB may be needed, half of the machine's memory is %d",
			o.Schedulers, need, all/2)
	}
	return nil
}

// Spread is a figure of each scheduler.
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

// Event is what one event of a day took.
type Event struct {
	Name string `json:"name"`
	// Updates is how many changes discovery told each scheduler, a line each; Entries what they held.
	Updates int `json:"words"`
	Entries int `json:"entries"`
	// Window is how long was looked at: until the schedulers idled again, or the event's own time.
	Window  float64 `json:"window_s"`
	Settled bool    `json:"settled"` // else the window ended before they idled
	// CPUSeconds time of a scheduler within the window, and as a share of a core.
	CPUSeconds Spread  `json:"processor_s"`
	CoreShare  float64 `json:"core_share"`
	// NetCPUSeconds is the mean without what the jobs at the rate alone, or idling, take in that time.
	NetCPUSeconds float64 `json:"processor_net_s"`
	// RecoverySeconds is the time from the last word until a scheduler had got a job served again.
	RecoverySeconds Spread  `json:"resume_s"`
	PeakMemoryMB    float64 `json:"memory_most_mb"` // VmHWM of the largest scheduler up to now
	// Bytes of the list to a scheduler, and of its calls to discovery.
	ListBytes    Spread `json:"list_bytes"`
	RequestBytes Spread `json:"ask_bytes"`
	FullLists    int    `json:"whole_lists"` // that discovery gave out, to all schedulers
	Watches      int    `json:"watches"`     // that were opened, by all schedulers
	// Jobs that came to an end in the window, at all schedulers.
	Clients   int          `json:"clients,omitempty"`
	Jobs      int          `json:"jobs"`
	Served    int          `json:"served"`
	CPUPerJob Microseconds `json:"processor_a_job_us,omitempty"`
	// Bytes of clients' and workers' connections, both ways, of all schedulers.
	JobBytesIn  int64 `json:"job_bytes_in"`
	JobBytesOut int64 `json:"job_bytes_out"`
}

// Microseconds is a time in microseconds.
type Microseconds float64

// Report is what a run showed.
type Report struct {
	Schedulers int     `json:"schedulers"`
	Fleet      int     `json:"fleet"`
	Workers    int     `json:"workers"`
	Zones      int     `json:"zones"`
	Rate       float64 `json:"rate"`
	For        float64 `json:"for_s"`
	Seed       uint64  `json:"seed"`
	Day        string  `json:"day"`
	Cores      int     `json:"cores"`
	// Load is the machine's load average of a minute at the start: above 1 it is shared.
	Load   float64 `json:"load_at_start"`
	Events []Event `json:"events"`
	// PeakMemoryMB is the most that a scheduler had resident.
	PeakMemoryMB Spread `json:"memory_mb"`
	// HarnessMB is the most that this process had resident.
	HarnessMB      float64 `json:"hollow_memory_mb"`
	MaxThreads     int     `json:"threads_most"`
	MaxDescriptors int     `json:"descriptors_most"` // of a scheduler, at the end of an event
	CPUSeconds     Spread  `json:"processor_s"`      // of all of the run
	CPUTickSeconds Spread  `json:"processor_stat_s"` // the same from /proc/PID/stat, in steps of 10 ms
	Jobs           int     `json:"jobs"`
	Served         int     `json:"served"`
	Refused        int     `json:"refused"`
	Failed         int     `json:"failed"`
	Skipped        int     `json:"skipped"` // not handed in, as too many were open
	// Errors are the first that ended a client's connection instead of an answer.
	Errors         []string `json:"errors"`
	ElapsedSeconds float64  `json:"took_s"`
	// Violations are the properties that broke, by package record; events checked: Checked.
	Violations    []string `json:"broken"`
	CheckedEvents int      `json:"checked_events"`
}

// FindEvent has the event of a name, or none.
func (r *Report) FindEvent(name string) *Event {
	for i := range r.Events {
		if r.Events[i].Name == name {
			return &r.Events[i]
		}
	}
	return nil
}

func machineLoad() (load float64) {
	raw, err := os.ReadFile("/proc/loadavg")
	if err == nil {
		fmt.Sscan(string(raw), &load)
	}
	return load
}

func cores() int { return runtime.NumCPU() }
