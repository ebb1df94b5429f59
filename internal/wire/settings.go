package wire

import (
	"encoding/json"
	"fmt"
	"slices"

	"rosehub"
)

// params is the settings object of an enlist event. Pointers mark what is
// optional and has a default other than zero.
type params struct {
	Balancers   int      `json:"balancers"`
	Me          int      `json:"me"`
	Locality    int      `json:"locality"`
	Granularity int64    `json:"granularity"`
	Discovery   string   `json:"discovery"`
	WorthBy     string   `json:"worth_by"`
	OverShare   *float64 `json:"over_share_worth"`
	Grades      []struct {
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
		Quota float64 `json:"quota_per_s"`
	} `json:"customers"`
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
		Fall           int64    `json:"fall"`
		OverloadFactor *float64 `json:"overload_factor"`
	} `json:"guarantees"`
	Limits struct {
		AttemptsCap    int   `json:"attempts_cap"`
		Cancel         bool  `json:"cancel"`
		ConnectTimeout int64 `json:"connect_timeout"`
		MaxRetryAfter  int64 `json:"max_retry_after"`
		MayDuplicate   bool  `json:"may_duplicate"`
		Peers          bool  `json:"peers"`
		Probes         bool  `json:"probes"`
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

var effects = map[string]rosehub.Effect{
	"idempotent": rosehub.Safe, "deduplicated": rosehub.Keyed, "at_most_once": rosehub.Unsafe,
}

var groups = map[string]rosehub.Group{
	"all": rosehub.GroupAll, "zone": rosehub.GroupZone, "cell": rosehub.GroupCell, "": rosehub.GroupCell,
}

// parseSettings reads the settings object. What is absent gets the value that
// promises least.
func parseSettings(raw []byte) (rosehub.Settings, error) {
	var p params
	if err := json.Unmarshal(raw, &p); err != nil {
		return rosehub.Settings{}, fmt.Errorf("settings: %w", err)
	}
	s := rosehub.Settings{
		Me: p.Me, Balancers: p.Balancers, Zone: p.Locality, WorthByWork: p.WorthBy == "work",
		OverShareWorth: orElse(p.OverShare, 1),
		AskForList:     p.Discovery == "on_request", AskWithin: rosehub.Micros(p.Guarantees.AskWithin),
		Granularity: rosehub.Micros(p.Granularity),
		Cold:        rosehub.Micros(p.Guarantees.Cold),
		ColdFrom:    p.Guarantees.ColdFrom, OverloadFactor: orElse(p.Guarantees.OverloadFactor, 1),
		Fall: rosehub.Micros(p.Guarantees.Fall), MaxAttempts: p.Limits.AttemptsCap,
		MayCancel: p.Limits.Cancel, MayDuplicate: p.Limits.MayDuplicate, MayProbe: p.Limits.Probes,
		MayTellPeers: p.Limits.Peers, ConnectTimeout: rosehub.Micros(p.Limits.ConnectTimeout),
		TellsStart: p.FamilyInfo.TellsStart, Progress: rosehub.Micros(p.FamilyInfo.Progress),
		CrossZonePrice: p.Prices.CrossZone,
	}
	if p.Limits.RetryAfter {
		s.MaxRetryAfter = rosehub.Micros(p.Limits.MaxRetryAfter)
	}
	s.Reports = p.Report.How != "off" && slices.Contains(p.Report.Fields, "x0") &&
		p.FamilyInfo.ReportX0 == "free slots"
	for i, g := range p.Grades {
		effect, known := effects[g.Semantics]
		if !known {
			return s, fmt.Errorf("settings: grades[%d].semantics: unknown value %q", i, g.Semantics)
		}
		group, known := groups[g.DedupScope]
		if !known {
			return s, fmt.Errorf("settings: grades[%d].dedup_scope: unknown value %q", i, g.DedupScope)
		}
		c := rosehub.Class{Aim: rosehub.Micros(g.SLO), Deadline: rosehub.Micros(g.Deadline), Worth: g.Worth,
			LateWorth: g.LateWorth, Effect: effect, Group: group, Window: rosehub.Micros(g.MemorySpan),
			Stream: g.Stream, Kind: -1}
		if i < len(p.FamilyInfo.ClassStretch) {
			c.Stretch = p.FamilyInfo.ClassStretch[i]
		}
		c.Stretch = orElse(g.AimStretch, c.Stretch)
		if i < len(p.FamilyInfo.ClassKind) {
			c.Kind = p.FamilyInfo.ClassKind[i]
		}
		s.Classes = append(s.Classes, c)
	}
	for _, c := range p.Customers {
		s.Tenants = append(s.Tenants, rosehub.Tenant{Quota: c.Quota})
	}
	return s, nil
}

func orElse(v *float64, otherwise float64) float64 {
	if v == nil {
		return otherwise
	}
	return *v
}
