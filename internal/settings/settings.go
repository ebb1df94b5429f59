// Package settings reads the settings object that every instance starts with, for
// the adapter and for the scheduler on sockets alike.
package settings

import (
	"encoding/json"
	"fmt"
	"slices"

	"dahliaford/internal/dispatch"
)

// Settings is what the object says: to the decision module, and to the program
// that meets names instead of numbers.
type Settings struct {
	Dispatch          dispatch.Settings
	Classes           []string // names, by number
	Tenants           []string
	Zones             []string
	Kinds             []string
	DrainGrace        dispatch.Micros // sends to a worker told to drain must have begun by then
	WorkerIdleTimeout dispatch.Micros // a worker's machine closes a connection that has idled so long
}

// object is the settings object. Pointers mark what is optional and has a default
// other than zero.
type object struct {
	Zones       []string `json:"azs"`
	Kinds       []string `json:"kinds"`
	Balancers   int      `json:"balancers"`
	Me          int      `json:"me"`
	Locality    int      `json:"locality"`
	Granularity int64    `json:"granularity"`
	Discovery   string   `json:"discovery"`
	WorthBy     string   `json:"worth_by"`
	OverShare   *float64 `json:"over_share_worth"`
	Grades      []struct {
		Name       string   `json:"name"`
		SLO        int64    `json:"slo"`
		AimStretch *float64 `json:"aim_stretch"`
		Deadline   int64    `json:"deadline"`
		Worth      float64  `json:"worth"`
		LateWorth  float64  `json:"late_worth"`
		Semantics  string   `json:"semantics"`
		DedupScope string   `json:"dedup_scope"`
		MemorySpan int64    `json:"memory_span"`
		Stream     bool     `json:"stream"`
	} `json:"grades"`
	Customers []struct {
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
		TellsStart   bool      `json:"tells_start"`
		ReportX0     string    `json:"report_x0"`
	} `json:"family_info"`
	Guarantees struct {
		AskWithin      int64    `json:"ask_within"`
		Cold           int64    `json:"cold"`
		ColdFrom       float64  `json:"cold_from"`
		DrainGrace     int64    `json:"drain_grace"`
		Fall           int64    `json:"fall"`
		OverloadFactor *float64 `json:"overload_factor"`
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

var effects = map[string]dispatch.Effect{
	"idempotent": dispatch.Safe, "deduplicated": dispatch.Keyed, "at_most_once": dispatch.Unsafe,
}

var groups = map[string]dispatch.DedupScope{
	"all": dispatch.ScopeAll, "zone": dispatch.ScopeZone,
	"cell": dispatch.ScopeCell, "": dispatch.ScopeCell,
}

// Parse reads the settings object. What is absent gets the value that promises
// least.
func Parse(raw []byte) (Settings, error) {
	var p object
	if err := json.Unmarshal(raw, &p); err != nil {
		return Settings{}, fmt.Errorf("settings: %w", err)
	}
	all := Settings{Zones: p.Zones, Kinds: p.Kinds,
		DrainGrace: dispatch.Micros(p.Guarantees.DrainGrace), WorkerIdleTimeout: dispatch.Micros(p.Limits.ConnIdle)}
	s := dispatch.Settings{
		Index: p.Me, Dispatchers: p.Balancers, Zone: p.Locality, WeightByWork: p.WorthBy == "work",
		OverQuotaWeight: orElse(p.OverShare, 1),
		PollEndpoints:   p.Discovery == "on_request", PollInterval: dispatch.Micros(p.Guarantees.AskWithin),
		Granularity:      dispatch.Micros(p.Granularity),
		SlowStart:        dispatch.Micros(p.Guarantees.Cold),
		SlowStartInitial: p.Guarantees.ColdFrom, OverloadFactor: orElse(p.Guarantees.OverloadFactor, 1),
		OverloadWindow: dispatch.Micros(p.Guarantees.Fall), MaxAttempts: p.Limits.AttemptsCap,
		CancelAllowed: p.Limits.Cancel, HedgingAllowed: p.Limits.MayDuplicate,
		GossipAllowed: p.Limits.Peers, ConnectTimeout: dispatch.Micros(p.Limits.ConnectTimeout),
		StartReported: p.FamilyInfo.TellsStart, ProgressInterval: dispatch.Micros(p.FamilyInfo.Progress),
		CrossZonePrice: p.Prices.CrossZone, RetriesMarked: p.Clients.MarksRetry,
	}
	if p.Limits.RetryAfter {
		s.MaxRetryAfter = dispatch.Micros(p.Limits.MaxRetryAfter)
	}
	s.LoadReports = p.Report.How != "off" && slices.Contains(p.Report.Fields, "x0") &&
		p.FamilyInfo.ReportX0 == "free slots"
	for i, g := range p.Grades {
		effect, known := effects[g.Semantics]
		if !known {
			return all, fmt.Errorf("settings: grades[%d].semantics: unknown value %q", i, g.Semantics)
		}
		group, known := groups[g.DedupScope]
		if !known {
			return all, fmt.Errorf("settings: grades[%d].dedup_scope: unknown value %q", i, g.DedupScope)
		}
		c := dispatch.Class{LatencyObjective: dispatch.Micros(g.SLO), Deadline: dispatch.Micros(g.Deadline),
			PriorityWeight: g.Worth, LateWeight: g.LateWorth, Effect: effect, DedupScope: group,
			DedupWindow: dispatch.Micros(g.MemorySpan), Stream: g.Stream, Kind: -1}
		if i < len(p.FamilyInfo.ClassStretch) {
			c.ObjectiveStretch = p.FamilyInfo.ClassStretch[i]
		}
		c.ObjectiveStretch = orElse(g.AimStretch, c.ObjectiveStretch)
		if i < len(p.FamilyInfo.ClassKind) {
			c.Kind = p.FamilyInfo.ClassKind[i]
		}
		s.Classes = append(s.Classes, c)
		all.Classes = append(all.Classes, g.Name)
	}
	for _, c := range p.Customers {
		s.Tenants = append(s.Tenants, dispatch.Tenant{Quota: c.Quota})
		all.Tenants = append(all.Tenants, c.Name)
	}
	all.Dispatch = s
	return all, nil
}

func orElse(v *float64, otherwise float64) float64 {
	if v == nil {
		return otherwise
	}
	return *v
}
