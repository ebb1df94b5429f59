// Package simfleet measures the resource usage of real scheduler processes with as many workers as a whole
// fleet has. Discovery, workers and clients are simulated in the calling process: they speak the real
// protocol on loopback, and workers only wait for the run time of a job. The CPU time and memory of the
// schedulers are read from /proc; the bytes that schedulers receive and send are counted at the simulated
// ends of their connections.
package simfleet

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"syscall"
	"time"
)

// Days are the names that Options.Day accepts. A day is a fault scenario: a sequence of faults and changes of
// the fleet during a run.
var Days = []string{dayCalm, dayZone, dayRegion, dayRoll, dayDiscovery, dayStorm}

const (
	dayCalm      = "calm"
	dayZone      = "zone"
	dayRegion    = "region"
	dayRoll      = "roll"
	dayDiscovery = "discovery"
	dayStorm     = "storm" // the scenario with the events of all other scenarios
)

// The limits of Options.
const (
	maxSchedulers = 64
	maxWorkers    = 20000
	maxZones      = 64
	maxRate       = 2000. // jobs per second at all schedulers, limited as the calling process submits all jobs
	minDuration   = 3 * time.Second
	maxDuration   = 10 * time.Minute

	schedulerMemoryMB = 64  // memory limit in each scheduler's settings
	schedulerSockets  = 512 // limit of sockets in each scheduler's settings
	// ownDescriptors is the number of file descriptors that the calling process may need besides connections.
	ownDescriptors = 256
	// workersPerMB is the number of simulated workers for which the calling process needs a megabyte of memory.
	workersPerMB = 20
)

// Options are the parameters of Run.
type Options struct {
	Program    string // path of the scheduler's executable
	Schedulers int    // number of scheduler processes, 1 to 64
	// Fleet is the number of schedulers that the settings of each process state. It determines the size of a
	// scheduler's subset of the workers. 0 stands for Schedulers.
	Fleet   int
	Workers int     // number of workers that discovery lists, 1 to 20,000
	Zones   int     // number of zones, 1 to 64 and at most Workers; each pair of zones forms a region
	Rate    float64 // jobs per second at all schedulers together, 0 to 2,000
	// Duration, 3 s to 10 min, is divided equally among the timed steps of the fault scenario in Day. The other
	// steps last until the schedulers are idle again and add to the duration of the run.
	Duration time.Duration
	Seed     uint64
	Day      string // name of the fault scenario, one of Days
}

func (o *Options) fleetSize() int { return max(o.Fleet, o.Schedulers) }

// Validate returns an error, whose text is a single line, if an option is out of range or the limits of this
// machine do not allow the run. It does not check the program; Run does.
func (o *Options) Validate() error {
	switch {
	case o.Schedulers < 1 || o.Schedulers > maxSchedulers:
		return fmt.Errorf("%d real schedulers: want 1 to %d", o.Schedulers, maxSchedulers)
	case o.Fleet < 0 || o.Fleet != 0 && o.Fleet < o.Schedulers:
		return fmt.Errorf("a fleet of %d schedulers: want 0 or at least the number of real schedulers, %d", o.Fleet,
			o.Schedulers)
	case o.Workers < 1 || o.Workers > maxWorkers:
		return fmt.Errorf("%d workers: want 1 to %d", o.Workers, maxWorkers)
	case o.Zones < 1 || o.Zones > maxZones || o.Zones > o.Workers:
		return fmt.Errorf("%d zones: want 1 to %d, and no more zones than workers", o.Zones, maxZones)
	case !(o.Rate >= 0 && o.Rate <= maxRate): // this form of the condition rejects NaN, too
		return fmt.Errorf("%g jobs per second: want 0 to %g", o.Rate, maxRate)
	case o.Duration < minDuration || o.Duration > maxDuration:
		return fmt.Errorf("duration of %v: want %v to %v", o.Duration, minDuration, maxDuration)
	case !slices.Contains(Days, o.Day):
		return fmt.Errorf("unknown day %q: want one of %s", o.Day, strings.Join(Days, ", "))
	}
	return o.checkMachine()
}

// checkProgram returns an error if the scheduler's executable does not exist or is a folder.
func (o *Options) checkProgram() error {
	info, err := os.Stat(o.Program)
	if err != nil {
		return fmt.Errorf("scheduler program not found: %w", err)
	}
	if info.IsDir() {
		return fmt.Errorf("scheduler program not found: %s is a folder", o.Program)
	}
	return nil
}

// checkMachine returns an error if the limit of file descriptors or the memory of this machine is too small
// for the run.
func (o *Options) checkMachine() error {
	var files syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &files); err != nil {
		return fmt.Errorf("read the limit of file descriptors: %w", err)
	}
	// This process holds the other end of nearly all sockets of each scheduler. The factor 3/2 leaves room for
	// the connections of callbacks.
	if need := uint64(o.Schedulers*schedulerSockets*3/2 + ownDescriptors); need > files.Cur {
		return fmt.Errorf("%d real schedulers: up to %d file descriptors needed, limit is %d",
			o.Schedulers, need, files.Cur)
	}
	var system syscall.Sysinfo_t
	if err := syscall.Sysinfo(&system); err != nil {
		return fmt.Errorf("read the machine's memory: %w", err)
	}
	all := system.Totalram * uint64(system.Unit) >> 20
	if need := uint64(o.Schedulers*schedulerMemoryMB + o.Workers/workersPerMB); need > all/2 {
		return fmt.Errorf("%d real schedulers: up to %d MB of memory needed, limit is half of the machine's: %d MB",
			o.Schedulers, need, all/2)
	}
	return nil
}
