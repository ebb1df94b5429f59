package modelcheck

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// TestCopiesActAlike checks that a copy of a World, a state of the simulated system, behaves like its
// original and that actions of one do not change the other. A field that clone shares by mistake would
// corrupt a search.
func TestCopiesActAlike(t *testing.T) {
	worlds := []*Config{LargeWorld()}
	for _, c := range Worlds() {
		if c.Overrides != (Overrides{}) {
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
			enabled := w.enabled(nil)
			if len(enabled) == 0 {
				break
			}
			a := enabled[pick(len(enabled))]
			c := w.clone()
			before := w.appendState(nil)
			if string(before) != string(c.appendState(nil)) {
				t.Fatal("got different encodings of a cloned World and its original, want equal encodings")
			}
			notes := take(c, a)
			if string(before) != string(w.appendState(nil)) {
				t.Fatalf("action %v on the clone changed the state of the original world, want it unchanged", a)
			}
			if diff := cmp.Diff(notes, take(w, a)); diff != "" {
				t.Fatalf("action %v: want equal effects in a cloned World and its original, got -clone +original:\n%s",
					a, diff)
			}
			if string(w.appendState(nil)) != string(c.appendState(nil)) {
				t.Fatalf("action %v: a cloned world and its original end in different states, want equal states", a)
			}
		}
	})
}
