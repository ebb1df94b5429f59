package emulator

import (
	"encoding/json"
	"fmt"
	"time"

	"dahliaford/internal/settings"
)

// kindOf is a kind of machine.
type kindOf struct {
	name  string
	slots float64
	speed float64 // against a standard machine
}

// kinds alternate within a zone. A worker carries 16 slots on the mean: 81,000 jobs that run at
// 7,200 workers are 11 each.
var kinds = []kindOf{{"m14", 14, 1}, {"m18", 18, 1.1}}

// classOf is a class of jobs.
type classOf struct {
	name      string
	part      float64 // of all jobs
	aim       Micros  // in addition to stretch times its own run
	stretch   float64
	deadline  Micros // in addition to so many mean tasks
	tasks     float64
	worth     float64
	semantics string
	once      bool // it must not run twice
}

// classes: the last one is keyed, by rack.
var classes = []classOf{
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
			return span(c.aim)
		}
	}
	return 0
}

const (
	teams      = 54
	rackSize   = 16
	quotaOfAll = 1.3 // of the rate asked for: what all teams' quotas come to

	coldFor        = 8300 * millisecond
	coldFrom       = 0.3
	fallWithin     = 2 * second
	overloadFactor = 4.0
	toldWithin     = 6 * second  // as in package node
	connIdle       = 60 * second // a worker's machine closes an idle connection after this
)

// gangs: how many slots jobs take, and how many of all jobs. There is no gang over several
// workers yet, so a job's slots are all that can be told of one.
var gangs = []struct{ part, slots float64 }{{0.9, 1}, {0.08, 2}, {0.02, 4}}

// teamPart is a team's part of all jobs: few large ones, many small ones.
func teamPart(i int) float64 {
	sum := 0.0
	for k := range teams {
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
	for _, g := range gangs {
		each += g.part * g.slots
	}
	return slots / each / opt.Task.Seconds()
}

// rateOf is the rate that is asked for.
func rateOf(opt Options) float64 {
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
		grades = append(grades, object{"name": c.name, "slo": c.aim, "worth": c.worth, "late_worth": 0,
			"deadline": c.patience(opt), "semantics": c.semantics, "dedup_scope": "cell",
			"memory_span": 2 * c.patience(opt)})
		any, stretch = append(any, -1), append(stretch, c.stretch)
	}
	for i := range teams {
		customers = append(customers, object{"name": teamName(i),
			"quota_per_s": quotaOfAll * rateOf(opt) * teamPart(i)})
	}
	raw, err := json.Marshal(object{"azs": zones, "kinds": kindNames, "balancers": opt.Schedulers, "me": 0,
		"locality": 0, "granularity": 2000, "discovery": "on_request", "worth_by": "request",
		"over_share_worth": 0.2, "grades": grades, "customers": customers,
		"clients": object{"marks_retry": true},
		"family_info": object{"class_kind": any, "class_stretch": stretch, "tells_start": true,
			"report_x0": "free slots"},
		"guarantees": object{"ask_within": 10 * second, "cold": coldFor, "cold_from": coldFrom,
			"drain_grace": 500 * millisecond, "fall": fallWithin, "overload_factor": overloadFactor},
		"limits": object{"attempts_cap": 4, "cancel": true, "conn_idle": connIdle,
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
	set.Dispatch.PollEndpoints, set.Dispatch.MaxStaleness = true, toldWithin
	return set, nil
}

// patience is how long a client waits for a job.
func (c *classOf) patience(opt Options) Micros {
	return c.deadline + Micros(c.tasks*float64(opt.Task.Microseconds()))
}

func zoneName(z int) string { return fmt.Sprintf("r%d%c", z/ZonesPerRegion, 'a'+z%ZonesPerRegion) }

func teamName(i int) string { return fmt.Sprintf("team-%02d", i) }
