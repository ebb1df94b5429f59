package modelcheck

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// TestTraces replays traces of violations that were found and fixed, and checks that they no longer violate
// their property. The exception is the trace of knownViolationWorld, whose violation no scheduler can
// prevent.
func TestTraces(t *testing.T) {
	files, err := filepath.Glob("testdata/*.json")
	if err != nil || len(files) < 5 {
		t.Fatal(files, err)
	}
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			raw, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			trace, err := ReadTrace(raw)
			if err != nil {
				t.Fatal(err)
			}
			lines := 0
			result, err := trace.Replay(func(string) { lines++ })
			if err != nil {
				t.Fatal(err)
			}
			known := trace.World == knownViolationWorld.Name
			if violated := result.Violation != nil; violated != known || lines == 0 {
				t.Errorf(
					"replay: got violation %v, %d lines, divergence at step %d; want lines > 0, violation in \"hole\" only",
					result.Violation, lines, result.DivergedAt)
			}
		})
	}
}

// TestFoundTraceReplays checks that a search finds the violation of knownViolationWorld and that a replay of
// its trace finds the violation again.
func TestFoundTraceReplays(t *testing.T) {
	cfg := bounded(t, "hole", 1)
	r, err := Search(t.Context(), cfg, Options{})
	if err != nil || r.Violation == nil || r.Violation.Property != OrphansCancelled {
		t.Fatal(r, err)
	}
	trace := NewTrace(cfg, r.Path, r.Violation)
	result, err := trace.Replay(func(string) {})
	if err != nil || result.Violation == nil {
		t.Fatal(result, err)
	}
}

// TestInvalidTraces checks that ReadTrace rejects an invalid trace with an error whose text is one line and
// states the reason.
func TestInvalidTraces(t *testing.T) {
	const link = `{"format":1,"world":"link","property":`
	for text, want := range map[string]string{
		``:                         "not a trace: EOF",
		`[]`:                       "not a trace",
		`{"format":1} {}`:          "something follows",
		`{"format":9}`:             "format 9",
		`{"formt":1}`:              "unknown field",
		`{"format":1,"world":"x"}`: `unknown world "x"`,
		link + `"x"}`:              `unknown property "x"`,
		link + `"ends","steps":[{"do":"fly 0 0","words":""}]}`:    `step 1: "fly 0 0" is not a step`,
		link + `"ends","steps":[{"do":"tick 0 900","words":""}]}`: "is not a step",
		link + `"ends","steps":[{"do":"tick","words":""}]}`:       "is not a step",
	} {
		_, err := ReadTrace([]byte(text))
		if err == nil || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("trace %s: got error %v, want one line that contains %q", text, err, want)
		}
	}
}

// FuzzReadTrace checks that the replay of any trace that ReadTrace accepts returns no error and does not
// panic. Trace files are untrusted input.
func FuzzReadTrace(f *testing.F) {
	files, _ := filepath.Glob("testdata/*.json")
	for _, file := range files {
		raw, err := os.ReadFile(file)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(raw)
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		if trace, err := ReadTrace(raw); err == nil && len(trace.Steps) < 200 {
			if _, err := trace.Replay(func(string) {}); err != nil {
				t.Error(err)
			}
		}
	})
}
