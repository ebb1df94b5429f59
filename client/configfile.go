package client

import (
	_ "embed"
	"encoding/json"
	"fmt"
	"time"

	"dahliaford/internal/schema"
)

// Schema is the JSON Schema of a desk's configuration file.
//
//go:embed schema.json
var Schema []byte

var checker = schema.New(Schema)

// file is a configuration as it stands in the file.
type file struct {
	Schedulers  []string `json:"schedulers"`
	Tenant      string   `json:"tenant"`
	Budget      *float64 `json:"budget"`
	Connections int      `json:"connections"`
	Reconnects  float64  `json:"reconnects_per_s"`
	Classes     map[string]struct {
		DeadlineMs  int64  `json:"deadline_ms"`
		Effect      Effect `json:"effect"`
		WindowMs    int64  `json:"window_ms"`
		MaxAttempts int    `json:"tries"`
	} `json:"classes"`
}

// ParseConfig reads a configuration file, as Schema describes it. The error is one line and
// names the field by its path.
func ParseConfig(raw []byte) (Config, error) {
	if err := checker.Check(raw); err != nil {
		return Config{}, fmt.Errorf("client: %w", err)
	}
	var f file
	if err := json.Unmarshal(raw, &f); err != nil {
		return Config{}, fmt.Errorf("client: %w", err)
	}
	cfg := Config{Schedulers: f.Schedulers, Tenant: f.Tenant, MaxConnections: f.Connections,
		ConnectRate: f.Reconnects,
		Classes:     map[string]Class{}}
	if f.Budget != nil {
		if cfg.RetryBudget = *f.Budget; cfg.RetryBudget == 0 {
			cfg.RetryBudget = -1 // none, and not the default
		}
	}
	for name, c := range f.Classes {
		cfg.Classes[name] = Class{Deadline: time.Duration(c.DeadlineMs) * time.Millisecond, Effect: c.Effect,
			Window: time.Duration(c.WindowMs) * time.Millisecond, MaxAttempts: c.MaxAttempts}
	}
	return cfg, nil
}
