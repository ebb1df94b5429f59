package modelcheck

import (
	"context"
	"math/rand/v2"
)

// LargeWorld is a world that is too large to be explored to its end: it is walked at random.
func LargeWorld() *Config {
	c := world("large", "six requests, four workers, all faults many times; walked at random, not to its end",
		250, []Class{Post, Batch, Batch, Post, Batch, Post}, []int{0, 0, 1, 1}, nil)
	for f := range faults {
		c.Faults[f] = 200
	}
	c.Faults[FaultDuplicateID], c.Faults[FaultShutdown], c.Faults[FaultModulePanic] = 2, 1, 5
	c.AnswerOvertakesWrite, c.RenewRequests = true, true
	return c
}

// mostWalk is the longest that one walk goes on, in steps.
const mostWalk = 4000

// RandomWalk walks a world from its root at random, again and again, until the context ends or
// a property breaks. The same seed takes the same walks.
func RandomWalk(ctx context.Context, cfg *Config, seed uint64, opt Options) (*Result, error) {
	r := &Result{World: cfg.Name, Coverage: &Coverage{}}
	random := rand.New(rand.NewPCG(seed, 0))
	for ctx.Err() == nil {
		w, err := newWorld(cfg)
		if err != nil {
			return nil, err
		}
		w.cover = r.Coverage
		var path []Action
		broke := walk(w, func(n int) int { return random.IntN(n) }, &path)
		r.States += int64(len(path))
		r.Transitions += int64(len(path))
		r.Depth = max(r.Depth, len(path))
		if broke != nil {
			r.Path, r.Violation = shorten(cfg, path, broke)
			break
		}
		if opt.Progress != nil {
			opt.Progress(r.States, r.Transitions)
		}
	}
	return r, nil
}

// rare are the steps that would rule a walk if they were as likely as the others.
var rare = map[ActionKind]bool{Terminate: true, PanicModule: true, AnnounceDraining: true, AnnounceRemoved: true,
	MachineUnreachable: true,
	ProcessCrashes:     true, CloseWatch: true, RestartDiscovery: true, ReloadConfig: true,
	ClientDisconnects: true, DropCallback: true,
	AbortJob: true, SubmitDuplicate: true, BreakConnection: true, RefuseConnection: true, CancellationBreaks: true}

// walk takes steps that pick chooses, up to the world's end, and then the fair end.
func walk(w *World, pick func(n int) int, path *[]Action) *Violation {
	var steps []Action
	for range mostWalk {
		steps = w.enabled(steps[:0])
		if len(steps) == 0 {
			break
		}
		a := steps[pick(len(steps))]
		for again := 0; again < 3 && rare[a.Kind] && pick(4) > 0 || a.Kind == Terminate && pick(2000) > 0; again++ {
			a = steps[pick(len(steps))]
		}
		*path = append(*path, a)
		w.apply(a)
		if w.broke != nil {
			return w.broke
		}
	}
	if w.over() || w.exited {
		return w.settle()
	}
	return nil
}
