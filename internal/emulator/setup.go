package emulator

import (
	"encoding/json"
	"fmt"
	"time"

	"dahliaford/internal/settings"
)

// machineKind is a kind of machine.
type machineKind struct {
	name  string
	slots float64
	speed float64 // against a standard machine
}

// kinds alternate within a zone. A worker carries 16 slots on the mean: 81,000 jobs that run at
// 7,200 workers are 11 each.
var kinds = []machineKind{{"m14", 14, 1}, {"m18", 18, 1.1}}

// jobClass is a class of jobs.
type jobClass struct {
	name          string
	fraction      float64 // of all jobs
	objective     Micros  // in addition to stretch times its own run
	stretch       float64
	deadline      Micros // in addition to so many mean tasks
	deadlineTasks float64
	weight        float64
	semantics     string
	atMostOnce    bool // it must not run twice
}

// classes: the last one is keyed, by rack.
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

// StartObjective is within which a job of a class is to start.
func StartObjective(class string) time.Duration {
	for _, c := range classes {
		if c.name == class {
			return toDuration(c.objective)
		}
	}
	return 0
}

const (
	teamCount   = 54
	rackSize    = 16
	quotaFactor = 1.3 // of the rate asked for: what all teams' quotas come to

	slowStartTime     = 8300 * millisecond
	slowStartInitial  = 0.3
	overloadWindow    = 2 * second
	overloadFactor    = 4.0
	staleAfter        = 6 * second  // as in package node
	workerIdleTimeout = 60 * second // a worker's machine closes an idle connection after this
)

// slotMix: how many slots jobs take, and how many of all jobs. There is no gang over several
// workers yet, so a job's slots are all that can be told of one.
var slotMix = []struct{ part, slots float64 }{{0.9, 1}, {0.08, 2}, {0.02, 4}}

// teamFraction is a team's part of all jobs: few large ones, many small ones.
func teamFraction(i int) float64 {
	sum := 0.0
	for k := range teamCount {
		sum += 1 / float64(k+3)
	}
	return 1 / float64(i+3) / sum
}

// capacity is the jobs a second that the workers carry.
func capacity(opt Options) float64 {
	slots, each := 0.0, 0.0
	for i := range opt.Workers {
		k := &kinds[i/Zones%len(kinds)]
		slots += k.slots * k.speed
	}
	for _, g := range slotMix {
		each += g.part * g.slots
	}
	return slots / each / opt.Task.Seconds()
}

// jobRate is the rate that is asked for.
func jobRate(opt Options) float64 {
	if opt.Rate > 0 {
		return opt.Rate
	}
	return DefaultLoad * capacity(opt)
}

// fleetSettings is the settings object of the fleet, read as the program reads it.
func fleetSettings(opt Options) (settings.Settings, error) {
	type object = map[string]any
	var zones, kindNames []string
	for z := range Zones {
		zones = append(zones, zoneName(z))
	}
	for _, k := range kinds {
		kindNames = append(kindNames, k.name)
	}
	var grades, customers []object
	var any, stretch []float64
	for _, c := range classes {
		grades = append(grades, object{"name": c.name, "slo": c.objective, "worth": c.weight, "late_worth": 0,
			"deadline": c.timeout(opt), "semantics": c.semantics, "dedup_scope": "cell",
			"memory_span": 2 * c.timeout(opt)})
		any, stretch = append(any, -1), append(stretch, c.stretch)
	}
	for i := range teamCount {
		customers = append(customers, object{"name": teamName(i),
			"quota_per_s": quotaFactor * jobRate(opt) * teamFraction(i)})
	}
	raw, err := json.Marshal(object{"azs": zones, "kinds": kindNames, "balancers": opt.Schedulers, "me": 0,
		"locality": 0, "granularity": 2000, "discovery": "on_request", "worth_by": "request",
		"over_share_worth": 0.2, "grades": grades, "customers": customers,
		"clients": object{"marks_retry": true},
		"family_info": object{"class_kind": any, "class_stretch": stretch, "tells_start": true,
			"report_x0": "free slots"},
		"guarantees": object{"ask_within": 10 * second, "cold": slowStartTime, "cold_from": slowStartInitial,
			"drain_grace": 500 * millisecond, "fall": overloadWindow, "overload_factor": overloadFactor},
		"limits": object{"attempts_cap": 4, "cancel": true, "conn_idle": workerIdleTimeout,
			"connect_timeout": 250 * millisecond, "max_retry_after": 2 * second, "retry_after": true},
		"prices": object{"cross_zone": 0.01},
		"report": object{"how": "inline", "fields": []string{"x0", "errors_per_s", "outstanding"}}})
	if err != nil {
		return settings.Settings{}, err
	}
	set, err := settings.Parse(raw)
	if err != nil {
		return settings.Settings{}, err
	}
	// As package node has it: a watch is opened by the program, and a change counts as told unheard.
	set.Dispatch.PollEndpoints, set.Dispatch.MaxStaleness = true, staleAfter
	return set, nil
}

// timeout is how long a client waits for a job.
func (c *jobClass) timeout(opt Options) Micros {
	return c.deadline + Micros(c.deadlineTasks*float64(opt.Task.Microseconds()))
}

func zoneName(z int) string { return fmt.Sprintf("r%d%c", z/ZonesPerRegion, 'a'+z%ZonesPerRegion) }

func teamName(i int) string { return fmt.Sprintf("team-%02d", i) }
