package emulator

import (
	"fmt"
	"strings"
	"time"
)

// Upper bounds of the options of a simulated run.
const (
	MaxWorkers    = 20_000
	MaxSchedulers = 2_000
	MaxRate       = 10_000 // jobs that all clients together submit per second
	// MaxPairs bounds the number of schedulers times the number of workers. Each pair takes about a kilobyte
	// of memory.
	MaxPairs = 6_000_000
	// MaxRunningJobs bounds the mean number of jobs that run at the same time: the job rate times the mean
	// run time of a job.
	MaxRunningJobs = 200_000
	MaxDuration    = time.Hour
	MaxMeanRunTime = 10 * time.Minute
)

// Defaults of the options of a simulated run.
const (
	DefaultMeanRunTime  = 13 * time.Second
	DefaultLoadFraction = 0.6 // default job rate, divided by the highest job rate that the workers can sustain
)

const minMeanRunTime = 10 * time.Millisecond

// Options describe a run. Rate, Day and MeanRunTime take their default if they are zero.
type Options struct {
	Workers    int // number of workers, 1 to MaxWorkers
	Schedulers int // number of schedulers, 1 to MaxSchedulers; Schedulers * Workers is at most MaxPairs
	// Rate is the number of jobs that all clients together submit per second. Its default is
	// DefaultLoadFraction of the highest rate that the workers can sustain.
	Rate     float64
	Duration time.Duration // duration of the load in virtual time
	Seed     uint64        // seed of all random draws
	// Day is the name of the fault scenario, one of Days. Its default is "calm", which has no faults.
	Day string
	// MeanRunTime is the mean run time of a job on a machine of speed 1. Its default is DefaultMeanRunTime.
	MeanRunTime time.Duration
}

// Validate returns an error of one line if an option is invalid or exceeds its bound.
func (o Options) Validate() error {
	switch {
	case o.Workers < 1 || o.Workers > MaxWorkers:
		return fmt.Errorf("the number of workers must be 1 to %d", MaxWorkers)
	case o.Schedulers < 1 || o.Schedulers > MaxSchedulers:
		return fmt.Errorf("the number of schedulers must be 1 to %d", MaxSchedulers)
	case !(o.Rate >= 0 && o.Rate <= MaxRate): // This form of the condition also rejects NaN.
		return fmt.Errorf("the rate must be 0 to %d jobs per second", MaxRate)
	case o.Duration < time.Second || o.Duration > MaxDuration:
		return fmt.Errorf("the time must be 1s to %v of virtual time", MaxDuration)
	case o.MeanRunTime < 0 || o.MeanRunTime > MaxMeanRunTime ||
		o.MeanRunTime > 0 && o.MeanRunTime < minMeanRunTime:
		return fmt.Errorf("a task must be %v to %v long on average", minMeanRunTime, MaxMeanRunTime)
	case o.Workers*o.Schedulers > MaxPairs:
		return fmt.Errorf("the number of schedulers times workers must be at most %d", MaxPairs)
	case jobRate(o.withDefaults())*o.withDefaults().MeanRunTime.Seconds() > MaxRunningJobs:
		return fmt.Errorf("the rate times the seconds of a task must be at most %d running jobs", MaxRunningJobs)
	case o.Day != "" && days[o.Day].schedule == nil:
		return fmt.Errorf("unknown day %q: there are %s", o.Day, strings.Join(Days(), ", "))
	}
	return nil
}

// withDefaults returns the options with the defaults of Day and MeanRunTime filled in.
func (o Options) withDefaults() Options {
	if o.Day == "" {
		o.Day = "calm"
	}
	if o.MeanRunTime == 0 {
		o.MeanRunTime = DefaultMeanRunTime
	}
	return o
}
