// Package settings parses the settings object that every scheduler instance gets at its start, both in the
// simulator's host (package wire) and in the scheduler that serves on sockets.
package settings

import (
	"encoding/json"
	"fmt"
	"slices"

	"dahliaford/internal/dispatch"
)

// Settings is the content of the settings object. The dispatcher refers to classes, tenants, zones and
// machine kinds by number, and the program around the dispatcher receives their names.
type Settings struct {
	Dispatch dispatch.Settings
	Classes  []string // names of the classes, by number
	Tenants  []string // names of the tenants, by number
	Zones    []string // names of the zones, by number
	Kinds    []string // names of the machine kinds, by number

	// DrainGrace is the time after the start of a worker's drain within which a send to the worker must
	// begin; 0 means no limit.
	DrainGrace dispatch.Micros

	WorkerIdleTimeout dispatch.Micros // time after which a worker closes an idle connection
}

// parameters is the settings object on the wire. All times are in microseconds. A pointer marks an optional
// field whose default is not zero. The fields of dispatch.Settings and dispatch.Class explain the values.
type parameters struct {
	Zones           []string          `json:"azs"`
	Kinds           []string          `json:"kinds"`
	DispatcherCount int               `json:"balancers"`
	DispatcherIndex int               `json:"me"`
	ZoneIndex       int               `json:"locality"`
	Granularity     int64             `json:"granularity"`
	Discovery       string            `json:"discovery"`
	WeightBy        string            `json:"worth_by"`
	OverQuotaWeight *float64          `json:"over_share_worth"`
	ClassList       []classParameters `json:"grades"`
	TenantList      []struct {
		Name  string  `json:"name"`
		Quota float64 `json:"quota_per_s"`
	} `json:"customers"`
	Clients struct {
		MarksRetry bool `json:"marks_retry"`
	} `json:"clients"`
	FleetInfo struct { // properties of the workers; each list has one element per class number
		ClassKind       []int     `json:"class_kind"`
		ClassStretch    []float64 `json:"class_stretch"`
		ProgressPeriod  int64     `json:"progress"`
		ReportsStart    bool      `json:"tells_start"`
		ReportX0Meaning string    `json:"report_x0"`
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
		AttemptLimit   int   `json:"attempts_cap"`
		Cancellation   bool  `json:"cancel"`
		IdleTimeout    int64 `json:"conn_idle"`
		ConnectTimeout int64 `json:"connect_timeout"`
		MaxRetryAfter  int64 `json:"max_retry_after"`
		Hedging        bool  `json:"may_duplicate"`
		Gossip         bool  `json:"peers"`
		RetryAfter     bool  `json:"retry_after"`
	} `json:"limits"`
	Prices struct {
		CrossZone float64 `json:"cross_zone"`
	} `json:"prices"`
	Report struct {
		Fields []string `json:"fields"`
		Mode   string   `json:"how"`
	} `json:"report"`
}

// classParameters is the settings of a class of jobs on the wire.
type classParameters struct {
	Name              string   `json:"name"`
	Objective         int64    `json:"slo"`
	ObjectiveStretch  *float64 `json:"aim_stretch"`
	Deadline          int64    `json:"deadline"`
	Weight            float64  `json:"worth"`
	LateWeight        float64  `json:"late_worth"`
	EffectName        string   `json:"semantics"`
	DedupScope        string   `json:"dedup_scope"`
	DedupWindowLength int64    `json:"memory_span"`
	Stream            bool     `json:"stream"`
}

// effectsByName has, for each value of the field semantics, the Effect of a class: whether a job of the class
// may be attempted again once an attempt may have run.
var effectsByName = map[string]dispatch.Effect{
	"idempotent": dispatch.Safe, "deduplicated": dispatch.Keyed, "at_most_once": dispatch.Unsafe,
}

// dedupScopes has, for each value of the field dedup_scope, which workers deduplicate jobs together. The
// default is the narrowest scope, a cell.
var dedupScopes = map[string]dispatch.DedupScope{
	"all": dispatch.ScopeAll, "zone": dispatch.ScopeZone,
	"cell": dispatch.ScopeCell, "": dispatch.ScopeCell,
}

// Parse parses the settings object. An absent field gets the default that permits and guarantees least: for
// example, no cancellation, and deduplication within a cell only. The error names the invalid field.
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
		WorkerIdleTimeout: dispatch.Micros(p.Limits.IdleTimeout),
	}
	for i, g := range p.ClassList {
		class, err := p.class(i, &g)
		if err != nil {
			return Settings{}, err
		}
		s.Dispatch.Classes = append(s.Dispatch.Classes, class)
		s.Classes = append(s.Classes, g.Name)
	}
	for _, c := range p.TenantList {
		s.Dispatch.Tenants = append(s.Dispatch.Tenants, dispatch.Tenant{Quota: c.Quota})
		s.Tenants = append(s.Tenants, c.Name)
	}
	return s, nil
}

// dispatcher returns the settings of the dispatcher without the classes and tenants.
func (p *parameters) dispatcher() dispatch.Settings {
	s := dispatch.Settings{
		Index:            p.DispatcherIndex,
		Dispatchers:      p.DispatcherCount,
		Zone:             p.ZoneIndex,
		WeightByWork:     p.WeightBy == "work",
		OverQuotaWeight:  valueOr(p.OverQuotaWeight, 1),
		PollEndpoints:    p.Discovery == "on_request",
		PollInterval:     dispatch.Micros(p.Guarantees.PollInterval),
		Granularity:      dispatch.Micros(p.Granularity),
		SlowStart:        dispatch.Micros(p.Guarantees.SlowStart),
		SlowStartInitial: p.Guarantees.SlowStartInitial,
		OverloadFactor:   valueOr(p.Guarantees.OverloadFactor, 1),
		OverloadWindow:   dispatch.Micros(p.Guarantees.OverloadWindow),
		MaxAttempts:      p.Limits.AttemptLimit,
		CancelAllowed:    p.Limits.Cancellation,
		HedgingAllowed:   p.Limits.Hedging,
		GossipAllowed:    p.Limits.Gossip,
		ConnectTimeout:   dispatch.Micros(p.Limits.ConnectTimeout),
		StartReported:    p.FleetInfo.ReportsStart,
		ProgressInterval: dispatch.Micros(p.FleetInfo.ProgressPeriod),
		CrossZonePrice:   p.Prices.CrossZone,
		RetriesMarked:    p.Clients.MarksRetry,
	}
	if p.Limits.RetryAfter {
		s.MaxRetryAfter = dispatch.Micros(p.Limits.MaxRetryAfter)
	}
	s.LoadReports = p.Report.Mode != "off" && slices.Contains(p.Report.Fields, "x0") &&
		p.FleetInfo.ReportX0Meaning == "free slots"
	return s
}

// class returns the settings of the class with the given number. If a field has an unknown value, the error
// names the field.
func (p *parameters) class(number int, g *classParameters) (dispatch.Class, error) {
	effect, known := effectsByName[g.EffectName]
	if !known {
		return dispatch.Class{}, fmt.Errorf("settings: grades[%d].semantics: unknown value %q of a class", number,
			g.EffectName)
	}
	scope, known := dedupScopes[g.DedupScope]
	if !known {
		return dispatch.Class{}, fmt.Errorf("settings: grades[%d].dedup_scope: unknown value %q of a class", number,
			g.DedupScope)
	}
	class := dispatch.Class{
		LatencyObjective: dispatch.Micros(g.Objective),
		Deadline:         dispatch.Micros(g.Deadline),
		PriorityWeight:   g.Weight,
		LateWeight:       g.LateWeight,
		Effect:           effect,
		DedupScope:       scope,
		DedupWindow:      dispatch.Micros(g.DedupWindowLength),
		Stream:           g.Stream,
		Kind:             -1,
	}
	if number < len(p.FleetInfo.ClassStretch) {
		class.ObjectiveStretch = p.FleetInfo.ClassStretch[number]
	}
	class.ObjectiveStretch = valueOr(g.ObjectiveStretch, class.ObjectiveStretch)
	if number < len(p.FleetInfo.ClassKind) {
		class.Kind = p.FleetInfo.ClassKind[number]
	}
	return class, nil
}

// valueOr returns the value of an optional field, or the fallback if the field is absent.
func valueOr(value *float64, fallback float64) float64 {
	if value == nil {
		return fallback
	}
	return *value
}
