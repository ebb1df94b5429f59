// Package simfleet measures real scheduler processes at the size of a whole fleet. Discovery and all
// workers are simulated: they share this process, speak the protocol on loopback, and do no work. What
// the schedulers cost is read from the system's accounting; what they are sent and what they request is
// counted on this side. The package decides nothing itself.
package simfleet

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"syscall"
	"time"
)

// Days are the scenarios that Options.Day accepts.
var Days = []string{dayCalm, dayZone, dayRegion, dayRoll, dayDiscovery, dayStorm}

const (
	dayCalm      = "calm"
	dayZone      = "zone"
	dayRegion    = "region"
	dayRoll      = "roll"
	dayDiscovery = "discovery"
	dayStorm     = "storm" // the events of all other days
)

// The bounds of a run.
const (
	maxSchedulers = 64
	maxWorkers    = 20000
	maxZones      = 64
	maxRate       = 2000. // jobs a second over all schedulers: this process submits them, too
	minDuration   = 3 * time.Second
	maxDuration   = 10 * time.Minute

	schedulerMemoryMB = 64  // in each scheduler's settings
	schedulerSockets  = 512 // in each scheduler's settings
	// ownDescriptors is what this process opens besides connections.
	ownDescriptors = 256
	// workersPerMB is how many simulated workers fit into a megabyte of this process.
	workersPerMB = 20
)

// Options says what is run.
type Options struct {
	Program    string // path of a built scheduler
	Schedulers int    // real processes, 1 to 64
	// Fleet is the number of schedulers in their settings, which determines the size of each one's
	// subset of the workers; 0: as many as are real.
	Fleet   int
	Workers int     // listed by discovery, 1 to 20,000
	Zones   int     // 1 to 64, at most Workers; two zones are a region
	Rate    float64 // jobs a second over all schedulers, 0 to 2,000
	// Duration, 3 s to 10 min, is divided among the day's timed events. The other events end when the
	// schedulers are idle again.
	Duration time.Duration
	Seed     uint64
	Day      string // one of Days
}

func (o *Options) fleetSize() int { return max(o.Fleet, o.Schedulers) }

// Validate reports in one line what cannot be run on this machine. Run checks that the program exists.
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
	case !(o.Rate >= 0 && o.Rate <= maxRate): // so written, it rejects NaN
		return fmt.Errorf("%g jobs a second: 0 to %g can be handed in", o.Rate, maxRate)
	case o.Duration < minDuration || o.Duration > maxDuration:
		return fmt.Errorf("a run of %v: %v to %v can be asked for", o.Duration, minDuration, maxDuration)
	case !slices.Contains(Days, o.Day):
		return fmt.Errorf("no day %q: there are %s", o.Day, strings.Join(Days, ", "))
	}
	return o.checkMachine()
}

// checkProgram reports whether the program can be there to run.
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

// checkMachine reports whether the limits of this machine allow the run.
func (o *Options) checkMachine() error {
	var files syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &files); err != nil {
		return fmt.Errorf("read the limit of descriptors: %w", err)
	}
	// Each scheduler holds at most its sockets, nearly all of them to this process; and each callback
	// from here takes one more.
	if need := uint64(o.Schedulers*schedulerSockets*3/2 + ownDescriptors); need > files.Cur {
		return fmt.Errorf("%d real schedulers: %d descriptors may be needed, %d are allowed",
			o.Schedulers, need, files.Cur)
	}
	var system syscall.Sysinfo_t
	if err := syscall.Sysinfo(&system); err != nil {
		return fmt.Errorf("read the machine's memory: %w", err)
	}
	all := system.Totalram * uint64(system.Unit) >> 20
	if need := uint64(o.Schedulers*schedulerMemoryMB + o.Workers/workersPerMB); need > all/2 {
		return fmt.Errorf("%d real schedulers: %d MB may be needed, half of the machine's memory is %d",
			o.Schedulers, need, all/2)
	}
	return nil
}
