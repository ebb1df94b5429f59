// Package schema checks configuration files against a JSON Schema.
package schema

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"sync"

	"github.com/xeipuuv/gojsonschema"
)

// Checker compiles its schema at the first use. The library is chosen for what it costs a
// program that only links it: schedulers are started often, all at once, and one that compiles
// its own schemas at start took 5 ms more.
type Checker func() (*gojsonschema.Schema, error)

// New returns a checker against a schema.
func New(raw []byte) Checker {
	return sync.OnceValues(func() (*gojsonschema.Schema, error) {
		return gojsonschema.NewSchema(gojsonschema.NewBytesLoader(raw))
	})
}

// Check tells the fault of a file in one line, with the path of the field.
func (c Checker) Check(raw []byte) error {
	compiled, err := c()
	if err != nil {
		return fmt.Errorf("schema: %w", err)
	}
	if !json.Valid(raw) {
		var none any
		return fmt.Errorf("not JSON: %w", json.Unmarshal(raw, &none))
	}
	found, err := compiled.Validate(gojsonschema.NewBytesLoader(raw))
	switch {
	case err != nil:
		return err
	case !found.Valid():
		return fmt.Errorf("%s", firstFault(found.Errors()))
	}
	return nil
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
