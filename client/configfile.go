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

// configSchema validates configuration files against Schema.
var configSchema = schema.New(Schema)

// fileConfig is the JSON form of a configuration file.
type fileConfig struct {
	Schedulers  []string             `json:"schedulers"`
	Tenant      string               `json:"tenant"`
	Budget      *float64             `json:"budget"`
	Connections int                  `json:"connections"`
	Reconnects  float64              `json:"reconnects_per_s"`
	Classes     map[string]fileClass `json:"classes"`
}

// fileClass is the JSON form of a class in a configuration file.
type fileClass struct {
	DeadlineMs  int64  `json:"deadline_ms"`
	Effect      Effect `json:"effect"`
	WindowMs    int64  `json:"window_ms"`
	MaxAttempts int    `json:"tries"`
}

// ParseConfig parses the contents of a configuration file and validates them against Schema. The error is one
// line and names the invalid field by its path in the file.
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
			cfg.RetryBudget = -1 // 0 in the file means no retries, but 0 in Config means the default budget
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
