package modelcheck

import (
	"context"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"github.com/zeebo/xxh3"
)

// Options say how a world is searched.
type Options struct {
	Parallel int // goroutines; 0: one for each core
	// ReplayStates makes each state anew from the root instead of copying it. It is slower, needs no copy
	// of the scheduler, and must find the same number of states: the yardstick for copies.
	ReplayStates bool
	// Progress is called about twice a second with the numbers until then; nil: nobody looks.
	Progress func(states, transitions int64)
}

// Result is what a search found.
type Result struct {
	World       string
	States      int64
	Transitions int64
	Depth       int        // of the longest path that was taken, in actions
	Exhausted   bool       // all states within the world's bounds were seen
	Violation   *Violation // nil: none was found
	Path        []Action   // to the state with the violation, shortened
	Coverage    *Coverage
}

// node is a state's place in the search: how it was reached.
type node struct {
	parent *node
	action Action
	depth  int
}

func (n *node) path() []Action {
	p := make([]Action, n.depth)
	for ; n.parent != nil; n = n.parent {
		p[n.depth-1] = n.action
	}
	return p
}

// state is a state to be expanded.
type state struct {
	world *World // nil when states are replayed
	node  *node
}

const visitedShards = 256

// visited is the set of the states seen, by 128 bits of hash: at 10^8 states the probability that any two
// are mixed up is below 10^-22. It is safe for concurrent use.
type visited [visitedShards]struct {
	sync.Mutex
	seen map[xxh3.Uint128]struct{}
}

func (v *visited) init() {
	for i := range v {
		v[i].seen = map[xxh3.Uint128]struct{}{}
	}
}

// add adds a state and reports whether it is new.
func (v *visited) add(h xxh3.Uint128) bool {
	s := &v[h.Lo%visitedShards]
	s.Lock()
	defer s.Unlock()
	if _, known := s.seen[h]; known {
		return false
	}
	s.seen[h] = struct{}{}
	return true
}

// search is a depth-first search by several workers, which share states when one has none.
type search struct {
	cfg     *Config
	opt     Options
	ctx     context.Context
	visited visited
	states  atomic.Int64
	actions atomic.Int64
	depth   atomic.Int64

	mu          sync.Mutex
	changed     sync.Cond // of what mu guards
	pool        []state   // what a worker without states may take
	idleWorkers atomic.Int32
	busyWorkers int
	violation   *Violation
	violationAt *node
	stopped     atomic.Bool
}

// Search explores a world until all states are seen, a property is violated, or the context ends.
func Search(ctx context.Context, cfg *Config, opt Options) (*Result, error) {
	root, err := newWorld(cfg)
	if err != nil {
		return nil, err
	}
	if opt.Parallel <= 0 {
		opt.Parallel = runtime.GOMAXPROCS(0)
	}
	s := &search{cfg: cfg, opt: opt, ctx: ctx, busyWorkers: opt.Parallel}
	s.changed.L = &s.mu
	s.visited.init()
	s.visited.add(xxh3.Hash128(root.appendState(nil)))
	s.states.Add(1)
	s.pool = []state{{root, &node{}}}
	coverages := make([]Coverage, opt.Parallel)
	s.run(coverages)
	r := &Result{World: cfg.Name, States: s.states.Load(), Transitions: s.actions.Load(),
		Depth: int(s.depth.Load()), Exhausted: !s.stopped.Load(), Coverage: &Coverage{}}
	for i := range coverages {
		r.Coverage.add(&coverages[i])
	}
	if s.violation != nil {
		r.Path, r.Violation = shorten(cfg, s.violationAt.path(), s.violation)
	}
	return r, nil
}

// run runs a worker for each coverage, and returns when all have ended.
func (s *search) run(coverages []Coverage) {
	var workers, monitor sync.WaitGroup
	for i := range coverages {
		workers.Go(func() { s.work(&coverages[i]) })
	}
	done := make(chan struct{})
	monitor.Go(func() { s.monitor(done) })
	workers.Wait()
	close(done)
	monitor.Wait()
}

const progressInterval = 500 * time.Millisecond

// monitor reports progress and stops the search when the context ends.
func (s *search) monitor(done chan struct{}) {
	ticker := time.NewTicker(progressInterval)
	defer ticker.Stop()
	for {
		select {
		case <-done:
			return
		case <-s.ctx.Done():
			s.stop()
			return
		case <-ticker.C:
			if s.opt.Progress != nil {
				s.opt.Progress(s.states.Load(), s.actions.Load())
			}
		}
	}
}

func (s *search) stop() {
	s.stopped.Store(true)
	s.mu.Lock()
	s.changed.Broadcast()
	s.mu.Unlock()
}

// sharingThreshold is how many states a worker keeps to itself before it shares.
const sharingThreshold = 8

// expander is a worker of a search: its own stack of states, and buffers.
type expander struct {
	*search
	coverage *Coverage
	stack    []state
	enabled  []Action
	form     []byte
}

// work expands states, the latest first, until there are no more anywhere.
func (s *search) work(coverage *Coverage) {
	e := &expander{search: s, coverage: coverage}
	for {
		if len(e.stack) == 0 {
			if e.stack = s.take(e.stack); e.stack == nil {
				return
			}
		}
		if s.idleWorkers.Load() > 0 && len(e.stack) > sharingThreshold {
			half := len(e.stack) / 2
			s.addToPool(e.stack[:half])
			e.stack = append(e.stack[:0], e.stack[half:]...)
		}
		last := len(e.stack) - 1
		at := e.stack[last]
		e.stack[last] = state{}
		e.stack = e.stack[:last]
		if !s.stopped.Load() { // else to the end of its stack, and then out
			e.expand(at)
		}
	}
}

// expand takes each action that a state allows, and puts the new states on the stack.
func (e *expander) expand(at state) {
	w := e.materialize(at)
	w.coverage = e.coverage
	e.enabled = w.enabled(e.enabled[:0])
	for i, a := range e.enabled {
		var next *World
		switch {
		case e.opt.ReplayStates:
			next = e.materialize(at)
		case i == len(e.enabled)-1:
			next = w // nobody needs it any more
		default:
			next = w.clone()
		}
		next.coverage = e.coverage
		next.apply(a)
		e.actions.Add(1)
		if !e.discover(next, &node{at.node, a, at.node.depth + 1}) {
			return
		}
	}
}

// discover checks a state and puts it on the stack if it is new. It reports whether the search goes on from
// the state before it.
func (e *expander) discover(w *World, place *node) bool {
	if w.violation != nil {
		e.report(w.violation, place)
		return false
	}
	e.form = w.appendState(e.form[:0])
	if !e.visited.add(xxh3.Hash128(e.form)) {
		return true
	}
	e.states.Add(1)
	e.raiseDepth(int64(place.depth))
	if w.allAnswered() || w.exited {
		if violation := w.settle(); violation != nil {
			e.report(violation, place)
			return false
		}
	}
	if e.opt.ReplayStates {
		w = nil
	}
	e.stack = append(e.stack, state{w, place})
	return true
}

func (s *search) raiseDepth(depth int64) {
	for d := s.depth.Load(); d < depth && !s.depth.CompareAndSwap(d, depth); {
		d = s.depth.Load()
	}
}

// materialize gives the world of a state to expand: its own, or made anew from the root.
func (s *search) materialize(at state) *World {
	if !s.opt.ReplayStates {
		return at.world
	}
	w, err := newWorld(s.cfg)
	if err != nil {
		panic(err) // it worked for the root
	}
	for _, a := range at.node.path() {
		w.apply(a)
	}
	return w
}

// report notes a violation, unless one was found on a shorter path, and stops the search.
func (s *search) report(violation *Violation, at *node) {
	s.mu.Lock()
	if s.violation == nil || at.depth < s.violationAt.depth {
		s.violation, s.violationAt = violation, at
	}
	s.mu.Unlock()
	s.stop()
}

func (s *search) addToPool(states []state) {
	s.mu.Lock()
	s.pool = append(s.pool, states...)
	s.changed.Broadcast()
	s.mu.Unlock()
}

// take waits for states to expand and puts them into buf; nil means that there are no more.
func (s *search) take(buf []state) []state {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.busyWorkers--
	s.idleWorkers.Add(1)
	defer s.idleWorkers.Add(-1)
	for len(s.pool) == 0 || s.stopped.Load() {
		if s.busyWorkers == 0 || s.stopped.Load() {
			s.changed.Broadcast()
			return nil
		}
		s.changed.Wait()
	}
	s.busyWorkers++
	n := max(1, len(s.pool)/s.opt.Parallel)
	buf = append(buf[:0], s.pool[len(s.pool)-n:]...)
	s.pool = s.pool[:len(s.pool)-n]
	return buf
}
