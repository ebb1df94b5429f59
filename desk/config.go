package desk

import (
	"cmp"
	_ "embed"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/xeipuuv/gojsonschema"
)

// Schema is the JSON Schema of a desk's configuration file.
//
//go:embed schema.json
var Schema []byte

// The library is chosen for what it costs a program that only links it: schedulers are
// started often, all at once, and one that compiles its own schemas at start took 5 ms more.
var compiled = sync.OnceValues(func() (*gojsonschema.Schema, error) {
	return gojsonschema.NewSchema(gojsonschema.NewBytesLoader(Schema))
})

// file is a configuration as it stands in the file.
type file struct {
	Schedulers  []string `json:"schedulers"`
	Tenant      string   `json:"tenant"`
	Budget      *float64 `json:"budget"`
	Connections int      `json:"connections"`
	Reconnects  float64  `json:"reconnects_per_s"`
	Classes     map[string]struct {
		DeadlineMs int64  `json:"deadline_ms"`
		Effect     Effect `json:"effect"`
		WindowMs   int64  `json:"window_ms"`
		Tries      int    `json:"tries"`
	} `json:"classes"`
}

// ParseConfig reads a configuration file, as Schema describes it. The error is one line and
// names the field by its path.
func ParseConfig(raw []byte) (Config, error) {
	schema, err := compiled()
	if err != nil {
		return Config{}, fmt.Errorf("desk: schema: %w", err)
	}
	if !json.Valid(raw) {
		var none any
		return Config{}, fmt.Errorf("desk: not JSON: %w", json.Unmarshal(raw, &none))
	}
	check, err := schema.Validate(gojsonschema.NewBytesLoader(raw))
	switch {
	case err != nil:
		return Config{}, fmt.Errorf("desk: %w", err)
	case !check.Valid():
		return Config{}, fmt.Errorf("desk: %s", firstFault(check.Errors()))
	}
	var f file
	if err := json.Unmarshal(raw, &f); err != nil {
		return Config{}, fmt.Errorf("desk: %w", err)
	}
	cfg := Config{Schedulers: f.Schedulers, Tenant: f.Tenant, Connections: f.Connections,
		Reconnects: f.Reconnects,
		Classes:    map[string]Class{}}
	if f.Budget != nil {
		if cfg.Budget = *f.Budget; cfg.Budget == 0 {
			cfg.Budget = -1 // none, and not the default
		}
	}
	for name, c := range f.Classes {
		cfg.Classes[name] = Class{Deadline: time.Duration(c.DeadlineMs) * time.Millisecond, Effect: c.Effect,
			Window: time.Duration(c.WindowMs) * time.Millisecond, Tries: c.Tries}
	}
	return cfg, nil
}

// firstFault is the fault that lies deepest, with the path of its field: those above it
// only say that something below them is wrong. Of several the first by name is told.
func firstFault(faults []gojsonschema.ResultError) string {
	depth := func(f gojsonschema.ResultError) int {
		if strings.HasPrefix(f.Type(), "condition_") {
			return -1 // "if" held and "then" did not: another fault says why
		}
		return strings.Count(f.Context().String(), ".")
	}
	fault := slices.MinFunc(faults, func(a, b gojsonschema.ResultError) int {
		return cmp.Or(cmp.Compare(depth(b), depth(a)), strings.Compare(a.String(), b.String()))
	})
	where := strings.TrimPrefix(strings.TrimPrefix(fault.Context().String(), "(root)"), ".")
	if where == "" {
		where = "the file"
	}
	return where + ": " + fault.Description()
}
