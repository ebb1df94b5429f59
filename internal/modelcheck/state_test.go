package modelcheck

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

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
			enabled := w.enabled(nil)
			if len(enabled) == 0 {
				break
			}
			a := enabled[pick(len(enabled))]
			c := w.clone()
			before := w.appendState(nil)
			if string(before) != string(c.appendState(nil)) {
				t.Fatal("a copy has another form than its original")
			}
			notes := take(c, a)
			if string(before) != string(w.appendState(nil)) {
				t.Fatalf("an action of the copy (%v) changed the original", a)
			}
			if diff := cmp.Diff(notes, take(w, a)); diff != "" {
				t.Fatalf("%v: copy and original differ: %s", a, diff)
			}
			if string(w.appendState(nil)) != string(c.appendState(nil)) {
				t.Fatalf("%v: copy and original end in other states", a)
			}
		}
	})
}
