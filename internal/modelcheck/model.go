package modelcheck

import (
	"fmt"
	"slices"

	"github.com/zeebo/xxh3"
)

// Model is a small simulated environment around a state machine other than the scheduler, for example the
// retry decisions of a client. Exhaust explores it in one goroutine. M is the type that implements the
// methods.
type Model[M any] interface {
	// Steps returns the names of the steps (transitions) that are possible in this state, in a fixed order. A
	// final state has none.
	Steps() []string
	// Step returns the state to which the step with index i in the result of Steps leads. It does not change the
	// receiver.
	Step(i int) M
	// AppendState appends an encoding of the state to b. States that behave alike have equal encodings, and
	// all other states have different ones.
	AppendState(b []byte) []byte
	// Check returns an error that names the property that the state violates, or nil if it violates none.
	Check() error
}

// Exploration is the result of Exhaust.
type Exploration struct {
	States, Transitions int
	Depth               int      // number of steps from the initial state to the state farthest from it
	Exhausted           bool     // whether no state was left out because of maxStates
	Violation           error    // the first violation found; nil if there is none
	Path                []string // names of the steps on a shortest path to Violation
}

// modelState is a state of a model, and the step that led to the state.
type modelState[M any] struct {
	world  M
	parent int // index of the preceding state; -1 for the initial state
	step   string
	depth  int
}

// Exhaust visits the states of a model breadth first until all states are visited, the Check of a state
// returns an error, or more than maxStates states are found.
func Exhaust[M Model[M]](root M, maxStates int) Exploration {
	states := []modelState[M]{{world: root, parent: -1}}
	seen := map[xxh3.Uint128]struct{}{xxh3.Hash128(root.AppendState(nil)): {}}
	var result Exploration
	var encoded []byte
	for at := 0; at < len(states) && len(states) <= maxStates; at++ {
		current := states[at]
		result.Depth = max(result.Depth, current.depth)
		if result.Violation = current.world.Check(); result.Violation != nil {
			result.Path = pathTo(states, at)
			result.States = at + 1
			return result
		}
		for i, step := range current.world.Steps() {
			next := current.world.Step(i)
			result.Transitions++
			encoded = next.AppendState(encoded[:0])
			h := xxh3.Hash128(encoded)
			if _, known := seen[h]; known {
				continue
			}
			seen[h] = struct{}{}
			states = append(states, modelState[M]{next, at, step, current.depth + 1})
		}
		var zero M
		states[at].world = zero // releases the memory of the expanded state; pathTo needs only parent and step
	}
	result.States, result.Exhausted = len(states), len(states) <= maxStates
	return result
}

// pathTo lists the steps from the initial state to the state with index at in states.
func pathTo[M any](states []modelState[M], at int) []string {
	var path []string
	for ; states[at].parent >= 0; at = states[at].parent {
		path = append(path, states[at].step)
	}
	slices.Reverse(path)
	return path
}

// String returns the numbers of states and transitions, the depth and Exhausted as one line for test logs.
func (e Exploration) String() string {
	return fmt.Sprintf("%d states, %d transitions, depth %d steps, all states visited: %v", e.States,
		e.Transitions, e.Depth, e.Exhausted)
}
