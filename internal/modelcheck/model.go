package modelcheck

import (
	"fmt"
	"slices"

	"github.com/zeebo/xxh3"
)

// Model is a small world of another state machine than the scheduler's, explored in one goroutine: the
// decisions of a client, for instance. M is the type that has these methods.
type Model[M any] interface {
	// Steps are the names of what may happen now, in a fixed order; none: the world is over.
	Steps() []string
	// Step returns the world after the step of that number, and leaves this one as it is.
	Step(i int) M
	// AppendState appends a form that is the same for two worlds that act alike.
	AppendState(b []byte) []byte
	// Check says which rule is violated; nil: none is.
	Check() error
}

// Exploration is what Exhaust found.
type Exploration struct {
	States, Transitions int
	Depth               int      // of the state that is farthest from the root, in steps
	Exhausted           bool     // all states were seen
	Violation           error    // the first one
	Path                []string // the shortest path to it
}

// place is a state of a model and how it was reached.
type place[M any] struct {
	world  M
	parent int // index of the place before; -1 for the root
	step   string
	depth  int
}

// Exhaust sees all states of a model, breadth first, up to maxStates of them.
func Exhaust[M Model[M]](root M, maxStates int) Exploration {
	places := []place[M]{{world: root, parent: -1}}
	seen := map[xxh3.Uint128]struct{}{xxh3.Hash128(root.AppendState(nil)): {}}
	var result Exploration
	var form []byte
	for at := 0; at < len(places) && len(places) <= maxStates; at++ {
		here := places[at]
		result.Depth = max(result.Depth, here.depth)
		if result.Violation = here.world.Check(); result.Violation != nil {
			result.Path = pathTo(places, at)
			result.States = at + 1
			return result
		}
		for i, step := range here.world.Steps() {
			next := here.world.Step(i)
			result.Transitions++
			form = next.AppendState(form[:0])
			h := xxh3.Hash128(form)
			if _, known := seen[h]; known {
				continue
			}
			seen[h] = struct{}{}
			places = append(places, place[M]{next, at, step, here.depth + 1})
		}
		var none M
		places[at].world = none // only its step is needed from here on
	}
	result.States, result.Exhausted = len(places), len(places) <= maxStates
	return result
}

// pathTo lists the steps from the root to a place.
func pathTo[M any](places []place[M], at int) []string {
	var path []string
	for ; places[at].parent >= 0; at = places[at].parent {
		path = append(path, places[at].step)
	}
	slices.Reverse(path)
	return path
}

// String returns the numbers, for logs of tests.
func (e Exploration) String() string {
	return fmt.Sprintf("%d states, %d transitions, %d deep, exhausted %v", e.States, e.Transitions, e.Depth,
		e.Exhausted)
}
