package modelcheck

import (
	"encoding/json"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// readFormatFile returns a file of testdata/format. These files were written by an earlier version of the
// package, with other Go identifiers. They fix the format of trace files, which must stay readable.
func readFormatFile(t *testing.T, name string) []byte {
	t.Helper()
	raw, err := os.ReadFile(filepath.Join("testdata", "format", name))
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

// TestTextualNamesUnchanged checks the names of actions, faults, worlds (simulated configurations) and
// properties, which are part of trace files or of the command line.
func TestTextualNamesUnchanged(t *testing.T) {
	type names struct{ Actions, Faults, Worlds, Properties []string }
	var want, got names
	if err := json.Unmarshal(readFormatFile(t, "names.json"), &want); err != nil {
		t.Fatal(err)
	}
	for k := range actionKinds {
		got.Actions = append(got.Actions, k.String())
	}
	for f := range faults {
		got.Faults = append(got.Faults, f.String())
	}
	for _, c := range slices.Concat(Worlds(), WalkedWorlds()) {
		got.Worlds = append(got.Worlds, c.Name)
	}
	for _, p := range Properties() {
		got.Properties = append(got.Properties, p.String())
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

// TestTraceFormatUnchanged checks that stored traces with every kind of action can be read, replayed
// completely and written again with the same JSON keys and the same actions.
func TestTraceFormatUnchanged(t *testing.T) {
	met := map[ActionKind]bool{}
	for _, name := range []string{"walk-large.json", "walk-large-leaves.json", "walk-large-pushed.json"} {
		raw := readFormatFile(t, name)
		trace, err := ReadTrace(raw)
		if err != nil {
			t.Fatal(name, err)
		}
		path, err := trace.path()
		if err != nil {
			t.Fatal(name, err)
		}
		for _, a := range path {
			met[a.Kind] = true
		}
		result, err := trace.Replay(func(string) {})
		if err != nil || result.DivergedAt != 0 || result.Violation != nil {
			t.Errorf("%s: replay got result %+v, error %v; want all steps taken and no violation", name, result, err)
		}
		cfg, err := trace.config()
		if err != nil {
			t.Fatal(name, err)
		}
		written, err := json.Marshal(NewTrace(cfg, path, &Violation{Terminates, trace.Text}))
		if err != nil {
			t.Fatal(name, err)
		}
		if diff := cmp.Diff(traceKeys(t, raw), traceKeys(t, written)); diff != "" {
			t.Errorf("%s: keys and values changed by reading and writing the trace, -want +got:\n%s", name, diff)
		}
	}
	for k := range actionKinds {
		if !met[k] {
			t.Errorf("action %v: got no stored trace that contains the action, want one", k)
		}
	}
}

// traceKeys returns the paths of all JSON keys of a trace with their values. It omits the values of the
// descriptions for readers.
func traceKeys(t *testing.T, raw []byte) []string {
	t.Helper()
	var keys []string
	var walk func(at string, v any)
	walk = func(at string, v any) {
		switch v := v.(type) {
		case map[string]any:
			for key, below := range v {
				walk(at+"."+key, below)
			}
		case []any:
			for _, below := range v {
				walk(at+"[]", below)
			}
		default:
			if strings.HasSuffix(at, ".words") || strings.HasSuffix(at, ".then[]") {
				v = "" // the wording of descriptions is not part of the trace format
			}
			line, err := json.Marshal(v)
			if err != nil {
				t.Fatal(err)
			}
			keys = append(keys, at+" "+string(line))
		}
	}
	var v any
	if err := json.Unmarshal(raw, &v); err != nil {
		t.Fatal(err)
	}
	walk("", v)
	slices.Sort(keys)
	return keys
}
