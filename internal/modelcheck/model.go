package modelcheck

import (
	"fmt"

	"github.com/zeebo/xxh3"
)

// Model is a small world of another state machine than the scheduler's, explored in one
// goroutine: a desk's decisions, for instance. M is the type that has these methods.
type Model[M any] interface {
	// Steps are the names of what may happen now, in a fixed order; none: the world is over.
	Steps() []string
	// Step returns the world after the step of that number, and leaves this one as it is.
	Step(i int) M
	// AppendState appends a form that is the same for two worlds that act alike.
	AppendState(b []byte) []byte
	// Check tells what broke; nil: nothing did.
	Check() error
}

// Exploration is what Exhaust found.
type Exploration struct {
	States, Transitions int
	Depth               int
	Exhausted           bool     // all states were seen
	Violation           error    // the first thing that broke
	Path                []string // the shortest way there
}

// Exhaust sees all states of a model, the nearest first, up to a number of them.
func Exhaust[M Model[M]](root M, most int) Exploration {
	type place struct {
		world M
		from  int // index of the place before
		name  string
		depth int
	}
	places := []place{{world: root, from: -1}}
	seen := map[xxh3.Uint128]struct{}{xxh3.Hash128(root.AppendState(nil)): {}}
	var t Exploration
	var form []byte
	for at := 0; at < len(places) && len(places) <= most; at++ {
		here := places[at]
		t.Depth = max(t.Depth, here.depth)
		if t.Violation = here.world.Check(); t.Violation != nil {
			for i := at; places[i].from >= 0; i = places[i].from {
				t.Path = append([]string{places[i].name}, t.Path...)
			}
			t.States = at + 1
			return t
		}
		for i, name := range here.world.Steps() {
			next := here.world.Step(i)
			t.Transitions++
			form = next.AppendState(form[:0])
			h := xxh3.Hash128(form)
			if _, known := seen[h]; known {
				continue
			}
			seen[h] = struct{}{}
			places = append(places, place{next, at, name, here.depth + 1})
		}
		var none M
		places[at].world = none // only its name is needed from here on
	}
	t.States, t.Exhausted = len(places), len(places) <= most
	return t
}

func (t Exploration) String() string {
	return fmt.Sprintf("%d states, %d transitions, %d deep, exhausted %v", t.States, t.Transitions, t.Depth,
		t.Exhausted)
}
