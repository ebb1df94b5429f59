package modelcheck

import (
	"context"
	"reflect"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// Copied states and states made anew from the root are the same: as many, met as often.
func TestEnginesAgree(t *testing.T) {
	if raceEnabled {
		t.Skip("one goroutine against another is what the worlds test")
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
