package emulator

import (
	"fmt"
	"strings"
	"time"
)

// The bounds of a run.
const (
	MaxWorkers     = 20_000
	MaxSchedulers  = 2_000
	MaxRate        = 10_000    // jobs a second
	MaxPairs       = 6_000_000 // schedulers times workers: each pair takes about a kilobyte
	MaxRunningJobs = 200_000   // jobs a second times the seconds that a job takes
	MaxDuration    = time.Hour
	MaxTask        = 10 * time.Minute
)

// The defaults of Options.
const (
	DefaultTask = 13 * time.Second
	DefaultLoad = 0.6 // of the rate that the workers can carry
)

const minTask = 10 * time.Millisecond

// Options say what is run. A zero value stands for the default where one is given.
type Options struct {
	Workers    int           // 1 to MaxWorkers
	Schedulers int           // 1 to MaxSchedulers; times Workers at most MaxPairs
	Rate       float64       // jobs a second that clients submit; 0: DefaultLoad of what the workers can carry
	Duration   time.Duration // of the load, in virtual time
	Seed       uint64        // of all random draws
	Day        string        // one of Days; "": calm
	Task       time.Duration // mean run time of a job on a standard machine; 0: DefaultTask
}

// Validate returns an error of one line if the options make no sense or exceed a bound.
func (o Options) Validate() error {
	switch {
	case o.Workers < 1 || o.Workers > MaxWorkers:
		return fmt.Errorf("workers must be 1 to %d", MaxWorkers)
	case o.Schedulers < 1 || o.Schedulers > MaxSchedulers:
		return fmt.Errorf("schedulers must be 1 to %d", MaxSchedulers)
	case !(o.Rate >= 0 && o.Rate <= MaxRate): // written so that NaN is an error, too
		return fmt.Errorf("rate must be 0 to %d", MaxRate)
	case o.Duration < time.Second || o.Duration > MaxDuration:
		return fmt.Errorf("the time must be 1s to %v", MaxDuration)
	case o.Task < 0 || o.Task > MaxTask || o.Task > 0 && o.Task < minTask:
		return fmt.Errorf("a task must be %v to %v", minTask, MaxTask)
	case o.Workers*o.Schedulers > MaxPairs:
		return fmt.Errorf("schedulers times workers must be %d at the most", MaxPairs)
	case jobRate(o.withDefaults())*o.withDefaults().Task.Seconds() > MaxRunningJobs:
		return fmt.Errorf("the rate times the seconds of a task must be %d at the most", MaxRunningJobs)
	case o.Day != "" && days[o.Day].schedule == nil:
		return fmt.Errorf("unknown day %q: there are %s", o.Day, strings.Join(Days(), ", "))
	}
	return nil
}

// withDefaults returns the options with the defaults of day and task filled in.
func (o Options) withDefaults() Options {
	if o.Day == "" {
		o.Day = "calm"
	}
	if o.Task == 0 {
		o.Task = DefaultTask
	}
	return o
}
