package testcluster

import (
	"encoding/json"
	"os"
	"path/filepath"

	"dahliaford/internal/endpoints"
)

// Settings of all schedulers that this package starts. Jobs have deadlines of a few seconds, and the cells of
// workers drop repeated jobs.
const (
	defaultZone = "north"
	workerKind  = "m1" // hardware kind of all workers
	tenant      = "sahel"
	// postReadingClass is the class with the semantics at_most_once: no job of this class may run twice.
	// batchClass is the class whose jobs each cell of workers deduplicates by their idempotency key.
	postReadingClass = "post-reading"
	batchClass       = "district-batch"

	memoryMB   = 64
	maxSockets = 512
)

// Config holds the settings in which the schedulers of a test differ. All other settings are the same for all
// schedulers that this package starts.
type Config struct {
	Name, Listen, Discovery string   // Listen and Discovery are host:port
	Schedulers, Index       int      // number of schedulers of the fleet, and this scheduler's index from 0
	Zones                   []string // names of the zones; empty: the single zone "north"
	Zone                    int      // zone of this scheduler, as an index into Zones
	MemoryMB, MaxSockets    int
	KnownEndpoints          []endpoints.Endpoint // workers that the scheduler knows before discovery answers
}

// write writes the scheduler's configuration file into a folder and returns the path of the file.
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

// settings returns the "settings" object of the configuration file. Its times are in microseconds.
func (c *Config) settings() map[string]any {
	zones := c.Zones
	if len(zones) == 0 {
		zones = []string{defaultZone}
	}
	return map[string]any{
		"me": c.Index, "balancers": c.Schedulers, "locality": c.Zone, "azs": zones,
		"kinds":       []string{workerKind},
		"granularity": 2000, "discovery": "on_request", "worth_by": "request", "over_share_worth": 0.2,
		"grades": []map[string]any{
			{"name": postReadingClass, "slo": 1000000, "deadline": 2000000, "worth": 2, "late_worth": 0.5,
				"semantics": "at_most_once"},
			{"name": batchClass, "slo": 2000000, "deadline": 4000000, "worth": 3, "late_worth": 0.5,
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
