package desk

import (
	"bytes"
	_ "embed"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/santhosh-tekuri/jsonschema/v6"
	"golang.org/x/text/language"
	"golang.org/x/text/message"
)

// Schema is the JSON Schema of a desk's configuration file.
//
//go:embed schema.json
var Schema []byte

var compiled = sync.OnceValues(func() (*jsonschema.Schema, error) {
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(Schema))
	if err != nil {
		return nil, err
	}
	c := jsonschema.NewCompiler()
	if err := c.AddResource("desk.json", doc); err != nil {
		return nil, err
	}
	return c.Compile("desk.json")
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
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(raw))
	if err != nil {
		return Config{}, fmt.Errorf("desk: not JSON: %w", err)
	}
	if err := schema.Validate(doc); err != nil {
		return Config{}, fmt.Errorf("desk: %s", firstFault(err))
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

// firstFault is the first fault that a schema found, with the path of its field.
func firstFault(err error) string {
	var fault *jsonschema.ValidationError
	if !errors.As(err, &fault) {
		return err.Error()
	}
	for len(fault.Causes) > 0 {
		fault = fault.Causes[0]
	}
	where := strings.Join(fault.InstanceLocation, ".")
	if where == "" {
		where = "the file"
	}
	return where + ": " + fault.ErrorKind.LocalizedString(message.NewPrinter(language.English))
}
