package emulator

import (
	"fmt"
	"time"
)

// machineKind is a hardware type of workers.
type machineKind struct {
	name  string
	slots float64
	speed float64 // run time of a job on a machine of speed 1, divided by its run time on this kind
}

// kinds are the hardware types of the workers; they alternate within a zone. A worker has 16 slots on
// average, enough for a fleet of 7,200 workers that runs 81,000 jobs at the same time, 11 per worker.
var kinds = []machineKind{{"m14", 14, 1}, {"m18", 18, 1.1}}

// jobClass describes a class of jobs, as the settings state it and as the simulated clients submit it.
type jobClass struct {
	name     string
	fraction float64 // fraction of all jobs that belong to the class
	// The latency objective for the time to start is objective plus stretch times the run time of the job.
	objective Micros
	stretch   float64
	// The timeout of a request is fixedDeadline plus deadlineRunTimes times the mean run time of all jobs.
	fixedDeadline    Micros
	deadlineRunTimes float64
	weight           float64 // utility of a request that starts within its latency objective
	semantics        string  // name of the retry semantics in the settings file
	atMostOnce       bool    // whether a job of the class must not run twice
}

// classes are the job classes, the most urgent first. Only requests of the last class are deduplicated,
// within a rack.
var classes = []jobClass{
	{"urgent", 0.2, 5200 * millisecond, 1.5, 20 * second, 4, 4, "at_most_once", true},
	{"normal", 0.5, 20 * second, 2, 30 * second, 6, 2, "at_most_once", true},
	{"batch", 0.3, 40 * second, 2.5, 60 * second, 8, 1, "deduplicated", false},
}

// Classes returns the names of the job classes, the most urgent first.
func Classes() []string {
	var names []string
	for _, c := range classes {
		names = append(names, c.name)
	}
	return names
}

// StartObjective returns the latency objective for the time to start of a class, without the part that
// depends on the run time of the job. It returns 0 for an unknown class.
func StartObjective(class string) time.Duration {
	for _, c := range classes {
		if c.name == class {
			return toDuration(c.objective)
		}
	}
	return 0
}

// timeout returns how long a client waits for the answer to a request of the class.
func (c *jobClass) timeout(opt Options) Micros {
	return c.fixedDeadline + Micros(c.deadlineRunTimes*float64(opt.MeanRunTime.Microseconds()))
}

// slotMix lists the numbers of slots that jobs take, each with the fraction of all jobs that take this
// number. A job runs on a single worker; jobs that span several workers are not supported.
var slotMix = []struct{ fraction, slots float64 }{{0.9, 1}, {0.08, 2}, {0.02, 4}}

const tenantCount = 54

// tenantFraction returns the fraction of all jobs that a tenant submits. The fraction is proportional to
// 1/(tenant+3), so that a few tenants are large and many are small.
func tenantFraction(tenant int) float64 {
	sum := 0.0
	for k := range tenantCount {
		sum += 1 / float64(k+3)
	}
	return 1 / float64(tenant+3) / sum
}

func tenantName(tenant int) string { return fmt.Sprintf("team-%02d", tenant) }

func zoneName(zone int) string {
	return fmt.Sprintf("r%d%c", zone/ZonesPerRegion, 'a'+zone%ZonesPerRegion)
}

// capacity returns the highest job rate, in jobs per second, that the workers can sustain.
func capacity(opt Options) float64 {
	slots, slotsPerJob := 0.0, 0.0
	for i := range opt.Workers {
		k := &kinds[i/Zones%len(kinds)]
		slots += k.slots * k.speed
	}
	for _, m := range slotMix {
		slotsPerJob += m.fraction * m.slots
	}
	return slots / slotsPerJob / opt.MeanRunTime.Seconds()
}

// jobRate returns the number of jobs that all clients together submit per second.
func jobRate(opt Options) float64 {
	if opt.Rate > 0 {
		return opt.Rate
	}
	return DefaultLoadFraction * capacity(opt)
}
