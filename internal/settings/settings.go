// Package settings parses the settings object that every instance starts with, for the simulator's host
// (package wire) and for the scheduler on sockets alike.
package settings

import (
	"encoding/json"
	"fmt"
	"slices"

	"dahliaford/internal/dispatch"
)

// Settings is the content of the settings object: for the dispatcher, which numbers classes, tenants,
// zones and kinds, and for the program, which meets their names.
type Settings struct {
	Dispatch          dispatch.Settings
	Classes           []string // names, by number
	Tenants           []string
	Zones             []string
	Kinds             []string
	DrainGrace        dispatch.Micros // after a drain, sends to the worker must begin within it; 0: no limit
	WorkerIdleTimeout dispatch.Micros // a worker closes a connection that has been idle for that long
}

// parameters is the settings object on the wire. Pointers mark what is optional and has a default other
// than zero.
type parameters struct {
	Zones           []string `json:"azs"`
	Kinds           []string `json:"kinds"`
	Balancers       int      `json:"balancers"`
	Me              int      `json:"me"`
	Locality        int      `json:"locality"`
	Granularity     int64    `json:"granularity"`
	Discovery       string   `json:"discovery"`
	WeightBy        string   `json:"worth_by"`
	OverQuotaWeight *float64 `json:"over_share_worth"`
	Grades          []grade  `json:"grades"`
	Customers       []struct {
		Name  string  `json:"name"`
		Quota float64 `json:"quota_per_s"`
	} `json:"customers"`
	Clients struct {
		MarksRetry bool `json:"marks_retry"`
	} `json:"clients"`
	FamilyInfo struct {
		ClassKind    []int     `json:"class_kind"`
		ClassStretch []float64 `json:"class_stretch"`
		Progress     int64     `json:"progress"`
		ReportsStart bool      `json:"tells_start"`
		ReportX0     string    `json:"report_x0"`
	} `json:"family_info"`
	Guarantees struct {
		PollInterval     int64    `json:"ask_within"`
		SlowStart        int64    `json:"cold"`
		SlowStartInitial float64  `json:"cold_from"`
		DrainGrace       int64    `json:"drain_grace"`
		OverloadWindow   int64    `json:"fall"`
		OverloadFactor   *float64 `json:"overload_factor"`
	} `json:"guarantees"`
	Limits struct {
		AttemptsCap    int   `json:"attempts_cap"`
		Cancel         bool  `json:"cancel"`
		ConnIdle       int64 `json:"conn_idle"`
		ConnectTimeout int64 `json:"connect_timeout"`
		MaxRetryAfter  int64 `json:"max_retry_after"`
		MayDuplicate   bool  `json:"may_duplicate"`
		Peers          bool  `json:"peers"`
		RetryAfter     bool  `json:"retry_after"`
	} `json:"limits"`
	Prices struct {
		CrossZone float64 `json:"cross_zone"`
	} `json:"prices"`
	Report struct {
		Fields []string `json:"fields"`
		How    string   `json:"how"`
	} `json:"report"`
}

// grade is a class of jobs on the wire.
type grade struct {
	Name             string   `json:"name"`
	SLO              int64    `json:"slo"`
	ObjectiveStretch *float64 `json:"aim_stretch"`
	Deadline         int64    `json:"deadline"`
	Weight           float64  `json:"worth"`
	LateWeight       float64  `json:"late_worth"`
	Semantics        string   `json:"semantics"`
	DedupScope       string   `json:"dedup_scope"`
	MemorySpan       int64    `json:"memory_span"`
	Stream           bool     `json:"stream"`
}

var effectsByName = map[string]dispatch.Effect{
	"idempotent": dispatch.Safe, "deduplicated": dispatch.Keyed, "at_most_once": dispatch.Unsafe,
}

var dedupScopes = map[string]dispatch.DedupScope{
	"all": dispatch.ScopeAll, "zone": dispatch.ScopeZone,
	"cell": dispatch.ScopeCell, "": dispatch.ScopeCell,
}

// Parse parses the settings object. What is absent gets the value that promises least. The error names the
// field that is invalid.
func Parse(raw []byte) (Settings, error) {
	var p parameters
	if err := json.Unmarshal(raw, &p); err != nil {
		return Settings{}, fmt.Errorf("settings: %w", err)
	}
	s := Settings{
		Dispatch:          p.dispatcher(),
		Zones:             p.Zones,
		Kinds:             p.Kinds,
		DrainGrace:        dispatch.Micros(p.Guarantees.DrainGrace),
		WorkerIdleTimeout: dispatch.Micros(p.Limits.ConnIdle),
	}
	for i, g := range p.Grades {
		class, err := p.class(i, &g)
		if err != nil {
			return Settings{}, err
		}
		s.Dispatch.Classes = append(s.Dispatch.Classes, class)
		s.Classes = append(s.Classes, g.Name)
	}
	for _, c := range p.Customers {
		s.Dispatch.Tenants = append(s.Dispatch.Tenants, dispatch.Tenant{Quota: c.Quota})
		s.Tenants = append(s.Tenants, c.Name)
	}
	return s, nil
}

// dispatcher is the dispatcher's part but for the classes and tenants.
func (p *parameters) dispatcher() dispatch.Settings {
	s := dispatch.Settings{
		Index:            p.Me,
		Dispatchers:      p.Balancers,
		Zone:             p.Locality,
		WeightByWork:     p.WeightBy == "work",
		OverQuotaWeight:  valueOr(p.OverQuotaWeight, 1),
		PollEndpoints:    p.Discovery == "on_request",
		PollInterval:     dispatch.Micros(p.Guarantees.PollInterval),
		Granularity:      dispatch.Micros(p.Granularity),
		SlowStart:        dispatch.Micros(p.Guarantees.SlowStart),
		SlowStartInitial: p.Guarantees.SlowStartInitial,
		OverloadFactor:   valueOr(p.Guarantees.OverloadFactor, 1),
		OverloadWindow:   dispatch.Micros(p.Guarantees.OverloadWindow),
		MaxAttempts:      p.Limits.AttemptsCap,
		CancelAllowed:    p.Limits.Cancel,
		HedgingAllowed:   p.Limits.MayDuplicate,
		GossipAllowed:    p.Limits.Peers,
		ConnectTimeout:   dispatch.Micros(p.Limits.ConnectTimeout),
		StartReported:    p.FamilyInfo.ReportsStart,
		ProgressInterval: dispatch.Micros(p.FamilyInfo.Progress),
		CrossZonePrice:   p.Prices.CrossZone,
		RetriesMarked:    p.Clients.MarksRetry,
	}
	if p.Limits.RetryAfter {
		s.MaxRetryAfter = dispatch.Micros(p.Limits.MaxRetryAfter)
	}
	s.LoadReports = p.Report.How != "off" && slices.Contains(p.Report.Fields, "x0") &&
		p.FamilyInfo.ReportX0 == "free slots"
	return s
}

// class is the class of a number.
func (p *parameters) class(number int, g *grade) (dispatch.Class, error) {
	effect, known := effectsByName[g.Semantics]
	if !known {
		return dispatch.Class{}, fmt.Errorf("settings: grades[%d].semantics: unknown value %q", number, g.Semantics)
	}
	scope, known := dedupScopes[g.DedupScope]
	if !known {
		return dispatch.Class{}, fmt.Errorf("settings: grades[%d].dedup_scope: unknown value %q", number,
			g.DedupScope)
	}
	class := dispatch.Class{
		LatencyObjective: dispatch.Micros(g.SLO),
		Deadline:         dispatch.Micros(g.Deadline),
		PriorityWeight:   g.Weight,
		LateWeight:       g.LateWeight,
		Effect:           effect,
		DedupScope:       scope,
		DedupWindow:      dispatch.Micros(g.MemorySpan),
		Stream:           g.Stream,
		Kind:             -1,
	}
	if number < len(p.FamilyInfo.ClassStretch) {
		class.ObjectiveStretch = p.FamilyInfo.ClassStretch[number]
	}
	class.ObjectiveStretch = valueOr(g.ObjectiveStretch, class.ObjectiveStretch)
	if number < len(p.FamilyInfo.ClassKind) {
		class.Kind = p.FamilyInfo.ClassKind[number]
	}
	return class, nil
}

func valueOr(value *float64, fallback float64) float64 {
	if value == nil {
		return fallback
	}
	return *value
}
