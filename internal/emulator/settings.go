package emulator

import (
	"encoding/json"

	"dahliaford/internal/settings"
)

// What the settings say of workers, and what the simulated workers do.
const (
	rackSize    = 16
	quotaFactor = 1.3 // the quotas of all teams together, relative to the job rate

	slowStartTime     = 8300 * millisecond
	slowStartInitial  = 0.3 // of its speed, that a worker begins with
	overloadWindow    = 2 * second
	overloadFactor    = 4.0
	workerIdleTimeout = 60 * second // a worker's machine closes an idle connection after this

	// staleAfter is how long a list is valid after discovery's last contact, as in package node.
	staleAfter = 6 * second
)

// jsonObject is an object of the settings file.
type jsonObject = map[string]any

// fleetSettings returns the settings of the fleet, parsed from a settings file as the program parses it.
func fleetSettings(opt Options) (settings.Settings, error) {
	raw, err := json.Marshal(settingsFile(opt))
	if err != nil {
		return settings.Settings{}, err
	}
	set, err := settings.Parse(raw)
	if err != nil {
		return settings.Settings{}, err
	}
	// As in package node: the program opens the watch, and once discovery has been silent for too long a
	// change counts as known.
	set.Dispatch.PollEndpoints, set.Dispatch.MaxStaleness = true, staleAfter
	return set, nil
}

// settingsFile is the content of the settings file of the scheduler with index 0.
func settingsFile(opt Options) jsonObject {
	var zones, kindNames []string
	for z := range Zones {
		zones = append(zones, zoneName(z))
	}
	for _, k := range kinds {
		kindNames = append(kindNames, k.name)
	}
	var grades, customers []jsonObject
	var classKind, classStretch []float64
	for _, c := range classes {
		grades = append(grades, jsonObject{"name": c.name, "slo": c.objective, "worth": c.weight, "late_worth": 0,
			"deadline": c.timeout(opt), "semantics": c.semantics, "dedup_scope": "cell",
			"memory_span": 2 * c.timeout(opt)})
		classKind, classStretch = append(classKind, -1), append(classStretch, c.stretch)
	}
	for i := range teamCount {
		customers = append(customers, jsonObject{"name": teamName(i),
			"quota_per_s": quotaFactor * jobRate(opt) * teamFraction(i)})
	}
	return jsonObject{"azs": zones, "kinds": kindNames, "balancers": opt.Schedulers, "me": 0,
		"locality": 0, "granularity": 2000, "discovery": "on_request", "worth_by": "request",
		"over_share_worth": 0.2, "grades": grades, "customers": customers,
		"clients": jsonObject{"marks_retry": true},
		"family_info": jsonObject{"class_kind": classKind, "class_stretch": classStretch, "tells_start": true,
			"report_x0": "free slots"},
		"guarantees": jsonObject{"ask_within": 10 * second, "cold": slowStartTime, "cold_from": slowStartInitial,
			"drain_grace": 500 * millisecond, "fall": overloadWindow, "overload_factor": overloadFactor},
		"limits": jsonObject{"attempts_cap": 4, "cancel": true, "conn_idle": workerIdleTimeout,
			"connect_timeout": 250 * millisecond, "max_retry_after": 2 * second, "retry_after": true},
		"prices": jsonObject{"cross_zone": 0.01},
		"report": jsonObject{"how": "inline", "fields": []string{"x0", "errors_per_s", "outstanding"}}}
}
