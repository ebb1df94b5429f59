package client

import (
	_ "embed"
	"encoding/json"
	"fmt"
	"time"

	"dahliaford/internal/schema"
)

// Schema is the JSON Schema of a client's configuration file.
//
//go:embed schema.json
var Schema []byte

var configSchema = schema.New(Schema)

// fileConfig is the configuration in the form that the file has.
type fileConfig struct {
	Schedulers  []string             `json:"schedulers"`
	Tenant      string               `json:"tenant"`
	Budget      *float64             `json:"budget"`
	Connections int                  `json:"connections"`
	Reconnects  float64              `json:"reconnects_per_s"`
	Classes     map[string]fileClass `json:"classes"`
}

type fileClass struct {
	DeadlineMs  int64  `json:"deadline_ms"`
	Effect      Effect `json:"effect"`
	WindowMs    int64  `json:"window_ms"`
	MaxAttempts int    `json:"tries"`
}

// ParseConfig reads a configuration file, as Schema describes it. The error is one line and names the field
// by its path in the file.
func ParseConfig(raw []byte) (Config, error) {
	if err := configSchema.Check(raw); err != nil {
		return Config{}, fmt.Errorf("client: %w", err)
	}
	var file fileConfig
	if err := json.Unmarshal(raw, &file); err != nil {
		return Config{}, fmt.Errorf("client: %w", err)
	}
	cfg := Config{
		Schedulers:     file.Schedulers,
		Tenant:         file.Tenant,
		MaxConnections: file.Connections,
		ConnectRate:    file.Reconnects,
		Classes:        map[string]Class{},
	}
	if file.Budget != nil {
		cfg.RetryBudget = *file.Budget
		if cfg.RetryBudget == 0 {
			cfg.RetryBudget = -1 // the file says none, where 0 in Config means the default
		}
	}
	for name, class := range file.Classes {
		cfg.Classes[name] = Class{
			Deadline:    time.Duration(class.DeadlineMs) * time.Millisecond,
			Effect:      class.Effect,
			Window:      time.Duration(class.WindowMs) * time.Millisecond,
			MaxAttempts: class.MaxAttempts,
		}
	}
	return cfg, nil
}
