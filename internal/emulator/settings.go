package emulator

import (
	"encoding/json"

	"dahliaford/internal/settings"
)

// Properties of the workers that the settings state to the schedulers and that the simulated workers have.
const (
	rackSize = 16 // number of workers in a rack
	// quotaPerJobRate is the sum of the quotas of all tenants divided by the rate at which clients submit
	// jobs.
	quotaPerJobRate = 1.3

	slowStartTime    = 8300 * millisecond // duration of slow start after the start of a worker
	slowStartInitial = 0.3                // fraction of its full speed at which a worker begins slow start
	// A worker in slow start crashes of overload if the work that arrives within overloadWindow exceeds
	// overloadFactor times the work that the worker can do in that time at its present speed, plus two mean
	// run times of a job.
	overloadWindow    = 2 * second
	overloadFactor    = 4.0
	workerIdleTimeout = 60 * second // time after which a worker closes an idle connection

	// listValidity is how long a scheduler may use its worker list after the last message from discovery.
	// After that time the list is stale. Package node uses the same value.
	listValidity = 6 * second
)

// jsonObject is a JSON object of the settings file.
type jsonObject = map[string]any

// fleetSettings returns the settings of the schedulers. It builds a settings file and parses that file with
// the same code as the scheduler program.
func fleetSettings(opt Options) (settings.Settings, error) {
	raw, err := json.Marshal(settingsFile(opt))
	if err != nil {
		return settings.Settings{}, err
	}
	set, err := settings.Parse(raw)
	if err != nil {
		return settings.Settings{}, err
	}
	// Package node sets these two options in the scheduler program. With PollEndpoints the scheduler opens the
	// watch of the worker list itself. MaxStaleness is the age of the worker list from which the scheduler no
	// longer uses the list.
	set.Dispatch.PollEndpoints, set.Dispatch.MaxStaleness = true, listValidity
	return set, nil
}

// settingsFile returns the content of the settings file of the scheduler with index 0.
func settingsFile(opt Options) jsonObject {
	var zones, kindNames []string
	for z := range Zones {
		zones = append(zones, zoneName(z))
	}
	for _, k := range kinds {
		kindNames = append(kindNames, k.name)
	}
	var classObjects, tenantObjects []jsonObject
	var classKind, classStretch []float64
	for _, c := range classes {
		classObjects = append(classObjects, jsonObject{"name": c.name, "slo": c.objective, "worth": c.weight,
			"late_worth": 0, "deadline": c.timeout(opt), "semantics": c.semantics, "dedup_scope": "cell",
			"memory_span": 2 * c.timeout(opt)})
		classKind, classStretch = append(classKind, -1), append(classStretch, c.stretch)
	}
	for i := range tenantCount {
		tenantObjects = append(tenantObjects, jsonObject{"name": tenantName(i),
			"quota_per_s": quotaPerJobRate * jobRate(opt) * tenantFraction(i)})
	}
	return jsonObject{"azs": zones, "kinds": kindNames, "balancers": opt.Schedulers, "me": 0,
		"locality": 0, "granularity": 2000, "discovery": "on_request", "worth_by": "request",
		"over_share_worth": 0.2, "grades": classObjects, "customers": tenantObjects,
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
