package testcluster

import (
	"encoding/json"
	"os"
	"path/filepath"

	"dahliaford/internal/endpoints"
)

// The settings that all schedulers of this package get: deadlines of seconds, and cells that drop repeats.
const (
	defaultZone = "north"
	kind        = "m1" // of all machines
	tenant      = "sahel"
	// postReading is the class of which nothing may run twice, batch the class that a cell deduplicates by
	// key.
	postReading = "post-reading"
	batch       = "district-batch"

	memoryMB   = 64
	maxSockets = 512
)

// Config is what differs between the configurations of schedulers.
type Config struct {
	Name, Listen, Discovery string   // Listen and Discovery are host:port
	Schedulers, Index       int      // how many there are, and which of them it is, from 0
	Zones                   []string // none: north
	Zone                    int      // of the scheduler, an index of Zones
	MemoryMB, MaxSockets    int
	KnownEndpoints          []endpoints.Endpoint // the list that it starts with
}

// write writes the scheduler's configuration into a folder and returns its path.
func (c *Config) write(folder string) (path string, err error) {
	raw, err := json.Marshal(map[string]any{"name": c.Name, "listen": c.Listen, "discovery": c.Discovery,
		"seed":     "1d",
		"limits":   map[string]any{"cores": 1, "memory_mb": c.MemoryMB, "sockets": c.MaxSockets},
		"known":    map[string]any{"rev": 0, "all": true, "targets": c.KnownEndpoints},
		"settings": c.settings()})
	if err != nil {
		return "", err
	}
	path = filepath.Join(folder, c.Name+".json")
	return path, os.WriteFile(path, raw, 0o666)
}

// settings are the settings of the deployment. Times are in microseconds.
func (c *Config) settings() map[string]any {
	zones := c.Zones
	if len(zones) == 0 {
		zones = []string{defaultZone}
	}
	return map[string]any{
		"me": c.Index, "balancers": c.Schedulers, "locality": c.Zone, "azs": zones,
		"kinds":       []string{kind},
		"granularity": 2000, "discovery": "on_request", "worth_by": "request", "over_share_worth": 0.2,
		"grades": []map[string]any{
			{"name": postReading, "slo": 1000000, "deadline": 2000000, "worth": 2, "late_worth": 0.5,
				"semantics": "at_most_once"},
			{"name": batch, "slo": 2000000, "deadline": 4000000, "worth": 3, "late_worth": 0.5,
				"semantics": "deduplicated", "dedup_scope": "cell", "memory_span": 10000000}},
		"customers": []map[string]any{{"name": tenant, "quota_per_s": 0}},
		"family_info": map[string]any{"class_kind": []int{-1, -1}, "class_stretch": []float64{2, 2},
			"tells_start": true},
		"guarantees": map[string]any{"ask_within": 10000000, "cold": 2000000, "cold_from": 0.3,
			"drain_grace": 500000,
			"fall":        500000, "overload_factor": 4},
		"limits": map[string]any{"attempts_cap": 4, "cancel": true, "conn_idle": 60000000,
			"connect_timeout": 250000,
			"max_retry_after": 2000000, "retry_after": true},
		"prices": map[string]any{"cross_zone": 0}, "report": map[string]any{"how": "off"},
	}
}
