package emulator

import (
	"fmt"
	"time"
)

// machineKind is a kind of machine.
type machineKind struct {
	name  string
	slots float64
	speed float64 // relative to a standard machine
}

// kinds alternate within a zone. A worker has 16 slots on average: 81,000 jobs that run at 7,200 workers
// are 11 each.
var kinds = []machineKind{{"m14", 14, 1}, {"m18", 18, 1.1}}

// jobClass is a class of jobs.
type jobClass struct {
	name          string
	fraction      float64 // of all jobs
	objective     Micros  // for the time to start, in addition to stretch times the job's own run
	stretch       float64
	deadline      Micros // in addition to deadlineTasks mean tasks
	deadlineTasks float64
	weight        float64
	semantics     string
	atMostOnce    bool // it must not run twice
}

// classes has the most urgent class first. The last one is deduplicated, by rack.
var classes = []jobClass{
	{"urgent", 0.2, 5200 * millisecond, 1.5, 20 * second, 4, 4, "at_most_once", true},
	{"normal", 0.5, 20 * second, 2, 30 * second, 6, 2, "at_most_once", true},
	{"batch", 0.3, 40 * second, 2.5, 60 * second, 8, 1, "deduplicated", false},
}

// Classes are the names of the classes, the most urgent first.
func Classes() []string {
	var names []string
	for _, c := range classes {
		names = append(names, c.name)
	}
	return names
}

// StartObjective is the time within which a job of a class is to start; 0 for an unknown class.
func StartObjective(class string) time.Duration {
	for _, c := range classes {
		if c.name == class {
			return toDuration(c.objective)
		}
	}
	return 0
}

// timeout is how long a client waits for a job.
func (c *jobClass) timeout(opt Options) Micros {
	return c.deadline + Micros(c.deadlineTasks*float64(opt.Task.Microseconds()))
}

// slotMix is how many slots jobs take, and which fraction of all jobs take them. There is no gang over
// several workers yet, so the slots of a job are all that distinguishes one.
var slotMix = []struct{ fraction, slots float64 }{{0.9, 1}, {0.08, 2}, {0.02, 4}}

const teamCount = 54

// teamFraction is the fraction of all jobs that a team submits: a few large teams, many small ones.
func teamFraction(team int) float64 {
	sum := 0.0
	for k := range teamCount {
		sum += 1 / float64(k+3)
	}
	return 1 / float64(team+3) / sum
}

func teamName(team int) string { return fmt.Sprintf("team-%02d", team) }

func zoneName(zone int) string {
	return fmt.Sprintf("r%d%c", zone/ZonesPerRegion, 'a'+zone%ZonesPerRegion)
}

// capacity is the rate of jobs, per second, that the workers can carry.
func capacity(opt Options) float64 {
	slots, slotsPerJob := 0.0, 0.0
	for i := range opt.Workers {
		k := &kinds[i/Zones%len(kinds)]
		slots += k.slots * k.speed
	}
	for _, m := range slotMix {
		slotsPerJob += m.fraction * m.slots
	}
	return slots / slotsPerJob / opt.Task.Seconds()
}

// jobRate is the rate at which clients submit jobs, per second.
func jobRate(opt Options) float64 {
	if opt.Rate > 0 {
		return opt.Rate
	}
	return DefaultLoad * capacity(opt)
}
