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

// Checker returns a compiled JSON Schema, which it compiles at the first call. This package uses the library
// gojsonschema because a program that only links this library spends no time on it at its start: schedulers
// are started often, many at the same time, and a library that compiles schemas of its own at program start
// made the start take 5 ms longer.
type Checker func() (*gojsonschema.Schema, error)

// New returns a checker for the schema whose JSON text is raw.
func New(raw []byte) Checker {
	return sync.OnceValues(func() (*gojsonschema.Schema, error) {
		return gojsonschema.NewSchema(gojsonschema.NewBytesLoader(raw))
	})
}

// Check checks the JSON text of a file against the schema. The error is one line that names one fault and the
// path of its field. If there are several faults, the error names the fault of the most deeply nested field.
func (c Checker) Check(raw []byte) error {
	compiled, err := c()
	if err != nil {
		return fmt.Errorf("schema: %w", err)
	}
	if !json.Valid(raw) {
		var ignored any
		// The error of Unmarshal names the place of the syntax error.
		return fmt.Errorf("not JSON: %w", json.Unmarshal(raw, &ignored))
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

// deepestFault returns the fault of the most deeply nested field: the faults of the enclosing objects only
// say that something within the objects is invalid. Of several faults at this depth it returns the first in
// alphabetical order.
func deepestFault(faults []gojsonschema.ResultError) gojsonschema.ResultError {
	return slices.MinFunc(faults, func(a, b gojsonschema.ResultError) int {
		return cmp.Or(cmp.Compare(depth(b), depth(a)), strings.Compare(a.String(), b.String()))
	})
}

// depth returns the nesting depth of the field that a fault is about.
func depth(fault gojsonschema.ResultError) int {
	if strings.HasPrefix(fault.Type(), "condition_") {
		return -1 // says only that a "then" or "else" of the schema failed; another fault says why
	}
	return strings.Count(fault.Context().String(), ".")
}

// describe returns the path of the field and the reason why its value is invalid.
func describe(fault gojsonschema.ResultError) string {
	path := strings.TrimPrefix(strings.TrimPrefix(fault.Context().String(), "(root)"), ".")
	if path == "" {
		path = "the file"
	}
	return path + ": " + fault.Description()
}
