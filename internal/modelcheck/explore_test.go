package modelcheck

import (
	"context"
	"math/rand/v2"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"dahliaford/internal/modelcheck/mutants"
)

// bounded is a world with fewer faults, so that CI can see it to its end.
func bounded(t *testing.T, name string, most uint8) *Config {
	t.Helper()
	cfg, err := WorldByName(name)
	if err != nil {
		t.Fatal(err)
	}
	cfg.MaxFaults = most
	return cfg
}

// The part of the worlds that CI explores, to the end: with so many faults at most. Of those of other
// settings it leaves out what costs most and is seen under the usual ones.
func TestWorlds(t *testing.T) {
	all := &Coverage{}
	for _, part := range []struct {
		name    string
		most    uint8
		without []Fault
	}{
		{"attempt", 2, nil}, {"keyed", 1, nil}, {"link", 1, nil}, {"list", 1, nil}, {"crash", 1, nil},
		{"late", 1, nil}, {"drains", 1, nil}, {"turned", 5, nil},
		{"forbidden", 1, []Fault{FaultProcessCrash}}, {"leaves", 2, []Fault{FaultDuplicateID, FaultJobHandedBack}},
		{"pushed", 1, []Fault{FaultConnectionBroken, FaultEndpointStatus}}, {"asked", 1, []Fault{FaultConnectionBroken, FaultEndpointStatus}},
		{"copies", 1, []Fault{FaultConnectionBroken}}, {"two", 2, nil},
	} {
		if raceOn && part.name != "late" {
			continue
		}
		t.Run(part.name, func(t *testing.T) {
			cfg := bounded(t, part.name, part.most)
			for _, f := range part.without {
				cfg.Faults[f] = 0
			}
			r, err := Search(t.Context(), cfg, Options{})
			if err != nil {
				t.Fatal(err)
			}
			if r.Violation != nil {
				t.Fatalf("%v\n%s", r.Violation, account(cfg, r))
			}
			if !r.Exhausted {
				t.Errorf("not explored to the end: %+v", r)
			}
			t.Logf("%d states, %d transitions, %d deep", r.States, r.Transitions, r.Depth)
			all.add(r.Coverage)
		})
	}
	if missed := all.Uncovered(); !raceOn && len(missed) > 0 {
		t.Logf("not met with so few faults: %s", strings.Join(missed, "; "))
	}
}

func account(cfg *Config, r *Result) string {
	var lines []string
	for _, s := range NewTrace(cfg, r.Path, r.Violation).Steps {
		lines = append(lines, s.Action+"\t"+s.Description)
		for _, then := range s.Effects {
			lines = append(lines, "\t\t-> "+then)
		}
	}
	return strings.Join(lines, "\n")
}

// Copied states and states made anew from the root are the same: as many, met as often.
func TestEnginesAgree(t *testing.T) {
	if raceOn {
		t.Skip("one goroutine against another is what the worlds test")
	}
	for name, most := range map[string]uint8{"turned": 1, "leaves": 0, "asked": 0, "copies": 0} {
		cfg := bounded(t, name, most)
		var got [][]any
		for _, opt := range []Options{{}, {Parallel: 1}, {Parallel: 2, ReplayStates: true}} {
			r, err := Search(t.Context(), cfg, opt)
			if err != nil {
				t.Fatal(err)
			}
			got = append(got, []any{r.States, r.Transitions, r.Exhausted, r.Violation == nil, *r.Coverage})
		}
		for _, g := range got[1:] {
			if diff := cmp.Diff(got[0], g); diff != "" {
				t.Errorf("%s: %s", name, diff)
			}
		}
	}
}

// A copy acts as its original, and neither sees what the other does.
func TestCopiesActAlike(t *testing.T) {
	worlds := []*Config{LargeWorld()}
	for _, c := range Worlds() {
		if c.Rules != (Rules{}) {
			worlds = append(worlds, c)
		}
	}
	rapid.Check(t, func(t *rapid.T) {
		copied := *rapid.SampledFrom(worlds).Draw(t, "world")
		w, err := newWorld(&copied)
		if err != nil {
			t.Fatal(err)
		}
		pick := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "step") }
		take := func(w *World, a Action) []string {
			var notes []string
			w.notes = &notes
			w.apply(a)
			return notes
		}
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			steps := w.enabled(nil)
			if len(steps) == 0 {
				break
			}
			a := steps[pick(len(steps))]
			c := w.clone()
			before := w.appendState(nil)
			if string(before) != string(c.appendState(nil)) {
				t.Fatal("a copy has another form than its original")
			}
			did := take(c, a)
			if string(before) != string(w.appendState(nil)) {
				t.Fatalf("a step of the copy (%v) changed the original", a)
			}
			if diff := cmp.Diff(did, take(w, a)); diff != "" {
				t.Fatalf("%v: copy and original differ: %s", a, diff)
			}
			if string(w.appendState(nil)) != string(c.appendState(nil)) {
				t.Fatalf("%v: copy and original end in other states", a)
			}
		}
	})
}

// A deep walk of a large world keeps the properties. What fails shrinks.
func TestWalk(t *testing.T) {
	steps, deepest := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		cfg := LargeWorld()
		w, err := newWorld(cfg)
		if err != nil {
			t.Fatal(err)
		}
		// A seed for every few steps: dropping some of them shrinks a walk.
		seeds := rapid.SliceOfN(rapid.Uint64(), 1, 60).Draw(t, "seeds")
		drawn, random := 0, rand.New(rand.NewPCG(seeds[0], 0))
		path, broke := walk(w, func(n int) int {
			if drawn++; drawn%30 == 0 {
				random = rand.New(rand.NewPCG(seeds[drawn/30%len(seeds)], uint64(drawn)))
			}
			return random.IntN(n)
		})
		steps += len(path)
		deepest = max(deepest, len(path))
		if broke != nil {
			path, broke = shorten(cfg, path, broke)
			t.Fatalf("%v\n%s", broke, account(cfg, &Result{Path: path, Violation: broke}))
		}
	})
	t.Logf("%d steps, at most %d in a walk", steps, deepest)
}

// What was found stays found: no trace breaks its property any more, but for the hole that
// no scheduler can close.
func TestTraces(t *testing.T) {
	files, err := filepath.Glob("testdata/*.json")
	if err != nil || len(files) < 5 {
		t.Fatal(files, err)
	}
	for _, file := range files {
		raw, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		trace, err := ReadTrace(raw)
		if err != nil {
			t.Fatal(file, err)
		}
		lines := 0
		v, err := trace.Replay(func(string) { lines++ })
		if err != nil {
			t.Fatal(file, err)
		}
		open := trace.World == "hole"
		if broke := v.Violation != nil; broke != open || lines == 0 {
			t.Errorf("%s: broken %v after %d lines, diverged at %d", file, v.Violation, lines, v.DivergedAt)
		}
	}
}

// The explorer finds the hole, and its trace can be read, replayed and written again.
func TestFoundTraceReplays(t *testing.T) {
	cfg := bounded(t, "hole", 1)
	r, err := Search(t.Context(), cfg, Options{})
	if err != nil || r.Violation == nil || r.Violation.Property != OrphansCancelled {
		t.Fatal(r, err)
	}
	trace := NewTrace(cfg, r.Path, r.Violation)
	v, err := trace.Replay(func(string) {})
	if err != nil || v.Violation == nil {
		t.Fatal(v, err)
	}
}

func TestBadTraces(t *testing.T) {
	const link = `{"format":1,"world":"link","property":`
	for text, want := range map[string]string{
		``:                         "not a trace: EOF",
		`[]`:                       "not a trace",
		`{"format":1} {}`:          "something follows",
		`{"format":9}`:             "format 9",
		`{"formt":1}`:              "unknown field",
		`{"format":1,"world":"x"}`: `unknown world "x"`,
		link + `"x"}`:              `unknown property "x"`,
		link + `"ends","steps":[{"do":"fly 0 0","words":""}]}`:    `step 1: "fly 0 0" is no step`,
		link + `"ends","steps":[{"do":"tick 0 900","words":""}]}`: "is no step",
		link + `"ends","steps":[{"do":"tick","words":""}]}`:       "is no step",
	} {
		_, err := ReadTrace([]byte(text))
		if err == nil || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v, want one line with %q", text, err, want)
		}
	}
}

// A trace may come from anywhere: none breaks the replay down.
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

// Each planted fault still finds the text that it changes; the drill finds the faults.
func TestPlantedTexts(t *testing.T) {
	root, err := filepath.Abs("../..")
	if err != nil {
		t.Fatal(err)
	}
	names := map[string]bool{}
	for _, f := range mutants.All() {
		if _, err := f.Overlay(root, t.TempDir()); err != nil {
			t.Error(err)
		}
		if _, err := WorldByName(f.World); err != nil {
			t.Error(err)
		}
		for _, want := range strings.Fields(f.Violates) {
			known := false
			for _, p := range Properties() {
				known = known || p.String() == want
			}
			if !known {
				t.Errorf("%s: unknown property %q", f.Name, want)
			}
		}
		if names[f.Name] {
			t.Errorf("two faults are named %s", f.Name)
		}
		names[f.Name] = true
	}
}

// What a world says of its settings is what the program gets.
func TestRulesReachTheSettings(t *testing.T) {
	type got struct {
		cancel, copies                 bool
		most                           int
		ask, told, progress, connected Micros
	}
	for name, want := range map[string]got{
		"attempt":   {true, false, 4, defaultPollInterval, 0, 0, connectTimeout},
		"forbidden": {false, false, 4, defaultPollInterval, 0, 0, connectTimeout},
		"leaves":    {false, false, 4, defaultPollInterval, maxStaleness, 0, connectTimeout},
		"pushed":    {true, false, 4, defaultPollInterval, maxStaleness, 0, connectTimeout},
		"asked":     {true, false, 4, 400 * millisecond, maxStaleness, 0, connectTimeout},
		"copies":    {true, true, 4, defaultPollInterval, 0, 100 * millisecond, connectTimeout},
		"two":       {true, false, 2, defaultPollInterval, 0, 0, connectTimeout},
	} {
		cfg := bounded(t, name, 0)
		if err := cfg.prepare(); err != nil {
			t.Fatal(err)
		}
		s := &cfg.settings.Dispatch
		if is := (got{s.CancelAllowed, s.HedgingAllowed, s.MaxAttempts, s.PollInterval, s.MaxStaleness, s.ProgressInterval,
			s.ConnectTimeout}); is != want || !s.PollEndpoints {
			t.Errorf("%s: %+v, want %+v", name, is, want)
		}
	}
}

func TestSearchStopsWithItsContext(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	cfg := bounded(t, "attempt", 3)
	r, err := Search(ctx, cfg, Options{})
	if err != nil || r.Exhausted || r.Violation != nil {
		t.Errorf("%+v, %v", r, err)
	}
	if diff := cmp.Diff(true, reflect.DeepEqual(cfg.Faults, bounded(t, "attempt", 3).Faults)); diff != "" {
		t.Error("a search changed its configuration")
	}
}
