package modelcheck

import (
	"context"
	"reflect"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestEnginesAgree checks that a search with copied states and one with states rebuilt by a replay find the
// same states, transitions and coverage. A difference means that Scheduler.Clone or World.clone is not exact.
func TestEnginesAgree(t *testing.T) {
	if raceEnabled {
		t.Skip("TestWorlds covers concurrent searches under the race detector")
	}
	for name, maxFaults := range map[string]uint8{"turned": 1, "leaves": 0, "asked": 0, "copies": 0} {
		t.Run(name, func(t *testing.T) {
			cfg := bounded(t, name, maxFaults)
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
					t.Error(diff)
				}
			}
		})
	}
}

// TestSearchStopsWithItsContext checks that a search with a cancelled context ends early without an error.
func TestSearchStopsWithItsContext(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	cfg := bounded(t, "attempt", 3)
	r, err := Search(ctx, cfg, Options{})
	if err != nil || r.Exhausted || r.Violation != nil {
		t.Errorf("search with a cancelled context: got %+v, error %v; want an incomplete search, no violation", r,
			err)
	}
	if diff := cmp.Diff(true, reflect.DeepEqual(cfg.Faults, bounded(t, "attempt", 3).Faults)); diff != "" {
		t.Error("got a changed fault budget in the configuration after the search, want it unchanged")
	}
}
