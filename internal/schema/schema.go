// Package schema checks configuration files against a JSON Schema.
package schema

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"

	"github.com/xeipuuv/gojsonschema"
)

// Checker compiles its schema at the first use. The library is chosen for what it costs a program that only
// links it: schedulers are started often, all at once, and one that compiles its own schemas at start took
// 5 ms more.
type Checker func() (*gojsonschema.Schema, error)

// New returns a checker against a schema.
func New(raw []byte) Checker {
	return sync.OnceValues(func() (*gojsonschema.Schema, error) {
		return gojsonschema.NewSchema(gojsonschema.NewBytesLoader(raw))
	})
}

// Check reports the first fault of a file in one line, with the path of the field.
func (c Checker) Check(raw []byte) error {
	compiled, err := c()
	if err != nil {
		return fmt.Errorf("schema: %w", err)
	}
	if !json.Valid(raw) {
		var ignored any
		return fmt.Errorf("not JSON: %w", json.Unmarshal(raw, &ignored)) // it says where
	}
	result, err := compiled.Validate(gojsonschema.NewBytesLoader(raw))
	switch {
	case err != nil:
		return err
	case !result.Valid():
		return errors.New(describe(deepestFault(result.Errors())))
	}
	return nil
}

// deepestFault returns the fault of the deepest field: those above it only say that something below them is
// invalid. Of several it returns the first by name.
func deepestFault(faults []gojsonschema.ResultError) gojsonschema.ResultError {
	return slices.MinFunc(faults, func(a, b gojsonschema.ResultError) int {
		return cmp.Or(cmp.Compare(depth(b), depth(a)), strings.Compare(a.String(), b.String()))
	})
}

func depth(fault gojsonschema.ResultError) int {
	if strings.HasPrefix(fault.Type(), "condition_") {
		return -1 // "if" held and "then" did not: another fault says why
	}
	return strings.Count(fault.Context().String(), ".")
}

// describe returns the path of the field and what is invalid about it.
func describe(fault gojsonschema.ResultError) string {
	path := strings.TrimPrefix(strings.TrimPrefix(fault.Context().String(), "(root)"), ".")
	if path == "" {
		path = "the file"
	}
	return path + ": " + fault.Description()
}
