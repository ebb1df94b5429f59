package modelcheck

import (
	"context"
	"math/rand/v2"
)

// maxWalkActions is the largest number of actions in one random walk through the states of a world (simulated
// configuration).
const maxWalkActions = 4000

// RandomWalk takes random paths through the states of a world (simulated configuration), each from the
// initial state, until the context ends or a property is violated. The paths depend only on the seed.
func RandomWalk(ctx context.Context, cfg *Config, seed uint64, opt Options) (*Result, error) {
	r := &Result{World: cfg.Name, Coverage: &Coverage{}}
	random := rand.New(rand.NewPCG(seed, 0))
	for ctx.Err() == nil {
		w, err := newWorld(cfg)
		if err != nil {
			return nil, err
		}
		w.coverage = r.Coverage
		path, violation := walk(w, random.IntN)
		r.States += int64(len(path))
		r.Transitions += int64(len(path))
		r.Depth = max(r.Depth, len(path))
		if violation != nil {
			r.Path, r.Violation = shorten(cfg, path, violation)
			break
		}
		if opt.Progress != nil {
			opt.Progress(r.States, r.Transitions)
		}
	}
	return r, nil
}

// rareActions are the actions that are drawn with a reduced probability. With the probability of other
// actions, they would make up most of a walk.
var rareActions = map[ActionKind]bool{
	SubmitDuplicate:    true,
	ClientDisconnects:  true,
	RefuseConnection:   true,
	BreakConnection:    true,
	AbortJob:           true,
	DropCallback:       true,
	CancellationBreaks: true,
	ProcessCrashes:     true,
	MachineUnreachable: true,
	AnnounceDraining:   true,
	AnnounceRemoved:    true,
	CloseWatch:         true,
	RestartDiscovery:   true,
	ReloadConfig:       true,
	Terminate:          true,
	PanicModule:        true,
}

const (
	maxRedraws     = 3 // limit on further draws after rare actions that were not accepted
	rareActionOdds = 4 // a drawn rare action is accepted with the probability 1/rareActionOdds
	// A drawn action Terminate is accepted with the probability 1/terminateOdds, without a limit on redraws,
	// because Terminate ends the walk.
	terminateOdds = 2000
)

// walk performs actions that pick chooses until no action is enabled, and then calls settle, which continues
// the world without further faults, if all requests are answered or the scheduler has exited. pick returns a
// number from 0 to n-1. walk returns the path even if it found no violation.
func walk(w *World, pick func(n int) int) ([]Action, *Violation) {
	var path, enabled []Action
	for range maxWalkActions {
		enabled = w.enabled(enabled[:0])
		if len(enabled) == 0 {
			break
		}
		a := drawAction(enabled, pick)
		path = append(path, a)
		w.apply(a)
		if w.violation != nil {
			return path, w.violation
		}
	}
	if w.allAnswered() || w.exited {
		return path, w.settle()
	}
	return path, nil
}

// drawAction chooses one of the enabled actions. Rare actions are chosen with a reduced probability.
func drawAction(enabled []Action, pick func(n int) int) Action {
	a := enabled[pick(len(enabled))]
	for redraws := 0; redraws < maxRedraws && rareActions[a.Kind] && pick(rareActionOdds) > 0 ||
		a.Kind == Terminate && pick(terminateOdds) > 0; redraws++ {
		a = enabled[pick(len(enabled))]
	}
	return a
}
