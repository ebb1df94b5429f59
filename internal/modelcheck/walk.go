package modelcheck

import (
	"context"
	"math/rand/v2"
)

// maxWalkActions is the longest that one walk goes on.
const maxWalkActions = 4000

// RandomWalk takes random paths through a world, each from the root, until the context ends or a property
// is violated. The same seed takes the same paths.
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

// rareActions are the actions that would dominate a walk if they were as likely as the others.
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
	maxRedraws    = 3    // a rare action is drawn anew so often
	rareOdds      = 4    // with 1 in rareOdds it is taken as drawn
	terminateOdds = 2000 // the same of Terminate, which ends a walk: drawn anew without a limit
)

// walk takes actions that pick chooses, up to the world's end, and then settles. pick returns a number from
// 0 to n-1. The path is returned with a violation and without.
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

func drawAction(enabled []Action, pick func(n int) int) Action {
	a := enabled[pick(len(enabled))]
	for redraws := 0; redraws < maxRedraws && rareActions[a.Kind] && pick(rareOdds) > 0 ||
		a.Kind == Terminate && pick(terminateOdds) > 0; redraws++ {
		a = enabled[pick(len(enabled))]
	}
	return a
}
