package modelcheck

import (
	"context"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"github.com/zeebo/xxh3"
)

// Options configures a search or a random walk.
type Options struct {
	Parallel int // number of searching goroutines; 0 means GOMAXPROCS
	// ReplayStates makes the search rebuild each state by a replay of the actions from the initial state instead
	// of copying it. A replay is slower but does not depend on Scheduler.Clone. Searches with replayed and with
	// copied states must find the same number of states, which checks that copies are exact.
	ReplayStates bool
	// Progress, if not nil, receives the number of states and transitions so far: every progressInterval in a
	// search, after every walk in RandomWalk.
	Progress func(states, transitions int64)
}

// Result is the result of a search or a random walk.
type Result struct {
	World       string
	States      int64
	Transitions int64
	Depth       int        // length of the longest path, in actions
	Exhausted   bool       // whether all reachable states of the world were visited
	Violation   *Violation // nil if no property was violated
	Path        []Action   // shortened path from the initial state to the violation
	Coverage    *Coverage
}

// node is one element of a linked list of actions, the path to a state: the last action on the path, and the
// node of the path before that action.
type node struct {
	parent *node
	action Action
	depth  int
}

// path returns the actions on the path from the initial state to the node's state.
func (n *node) path() []Action {
	p := make([]Action, n.depth)
	for ; n.parent != nil; n = n.parent {
		p[n.depth-1] = n.action
	}
	return p
}

// state is a state whose successors are not visited yet.
type state struct {
	world *World // stored copy of the state; nil if a replay of the path rebuilds the state
	node  *node
}

// visitedShards is the number of separately locked parts of the set of visited states.
const visitedShards = 256

// visited is the set of visited states, identified by a 128-bit hash. With 10^8 states, the probability that
// any two states have equal hashes is below 10^-22. The set is safe for concurrent use.
type visited [visitedShards]struct {
	sync.Mutex
	seen map[xxh3.Uint128]struct{}
}

func (v *visited) init() {
	for i := range v {
		v[i].seen = map[xxh3.Uint128]struct{}{}
	}
}

// add adds the hash of a state and reports whether it was absent.
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

// search is a depth-first search by several goroutines. A goroutine shares its unexpanded states with idle
// goroutines.
type search struct {
	cfg     *Config
	opt     Options
	ctx     context.Context
	visited visited
	states  atomic.Int64
	actions atomic.Int64
	depth   atomic.Int64

	mu             sync.Mutex
	changed        sync.Cond // signals a change of pool, busyGoroutines or stopped
	pool           []state   // states that idle goroutines may take
	idleGoroutines atomic.Int32
	busyGoroutines int
	violation      *Violation
	violationAt    *node
	stopped        atomic.Bool
}

// Search explores a world (simulated configuration) until it has visited all states, a property is violated,
// or the context ends.
func Search(ctx context.Context, cfg *Config, opt Options) (*Result, error) {
	root, err := newWorld(cfg)
	if err != nil {
		return nil, err
	}
	if opt.Parallel <= 0 {
		opt.Parallel = runtime.GOMAXPROCS(0)
	}
	s := &search{cfg: cfg, opt: opt, ctx: ctx, busyGoroutines: opt.Parallel}
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

// run starts one searching goroutine for each element of coverages and waits until all have ended.
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

// monitor calls Options.Progress regularly, and stops the search when the context ends.
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

// stop makes all searching goroutines end without expanding further states.
func (s *search) stop() {
	s.stopped.Store(true)
	s.mu.Lock()
	s.changed.Broadcast()
	s.mu.Unlock()
}

// ownStackStates is the number of states on the stack of a searching goroutine up to which the goroutine does
// not share states with idle goroutines.
const ownStackStates = 8

// expander is one searching goroutine with its own stack of states and reusable buffers.
type expander struct {
	*search
	coverage *Coverage
	stack    []state
	enabled  []Action
	encoded  []byte
}

// work expands states, the most recent first, until all goroutines run out of states or the search stops.
func (s *search) work(coverage *Coverage) {
	e := &expander{search: s, coverage: coverage}
	for {
		if len(e.stack) == 0 {
			if e.stack = s.takeFromPool(e.stack); e.stack == nil {
				return
			}
		}
		if s.idleGoroutines.Load() > 0 && len(e.stack) > ownStackStates {
			half := len(e.stack) / 2
			s.addToPool(e.stack[:half])
			e.stack = append(e.stack[:0], e.stack[half:]...)
		}
		last := len(e.stack) - 1
		at := e.stack[last]
		e.stack[last] = state{}
		e.stack = e.stack[:last]
		if !s.stopped.Load() { // a stopped search only empties the stack and then ends
			e.expand(at)
		}
	}
}

// expand performs each action that is enabled in a state, and pushes the new states on the stack.
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
			next = w // the last action of a state needs no copy of w, which is not used afterwards
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

// discover checks the properties of a state and pushes the state on the stack if no goroutine has visited it
// yet. It returns false if a property is violated, so that the expansion of the preceding state ends.
func (e *expander) discover(w *World, at *node) bool {
	if w.violation != nil {
		e.report(w.violation, at)
		return false
	}
	e.encoded = w.appendState(e.encoded[:0])
	if !e.visited.add(xxh3.Hash128(e.encoded)) {
		return true
	}
	e.states.Add(1)
	e.raiseDepth(int64(at.depth))
	if w.allAnswered() || w.exited {
		if violation := w.settle(); violation != nil {
			e.report(violation, at)
			return false
		}
	}
	if e.opt.ReplayStates {
		w = nil
	}
	e.stack = append(e.stack, state{w, at})
	return true
}

// raiseDepth raises the recorded length of the longest path to depth, if depth is larger.
func (s *search) raiseDepth(depth int64) {
	for d := s.depth.Load(); d < depth && !s.depth.CompareAndSwap(d, depth); {
		d = s.depth.Load()
	}
}

// materialize returns the World value of a state: the stored copy, or a World that is rebuilt by a replay of
// the actions from the initial state.
func (s *search) materialize(at state) *World {
	if !s.opt.ReplayStates {
		return at.world
	}
	w, err := newWorld(s.cfg)
	if err != nil {
		panic(err) // cannot occur: Search has called newWorld with the same configuration without an error
	}
	for _, a := range at.node.path() {
		w.apply(a)
	}
	return w
}

// report stops the search and records a violation, unless the path of an already recorded violation is not
// longer.
func (s *search) report(violation *Violation, at *node) {
	s.mu.Lock()
	if s.violation == nil || at.depth < s.violationAt.depth {
		s.violation, s.violationAt = violation, at
	}
	s.mu.Unlock()
	s.stop()
}

// addToPool offers states to idle goroutines.
func (s *search) addToPool(states []state) {
	s.mu.Lock()
	s.pool = append(s.pool, states...)
	s.changed.Broadcast()
	s.mu.Unlock()
}

// takeFromPool waits for states in the pool and moves a share of them into buf. It returns nil if no
// goroutine has states left or the search has stopped.
func (s *search) takeFromPool(buf []state) []state {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.busyGoroutines--
	s.idleGoroutines.Add(1)
	defer s.idleGoroutines.Add(-1)
	for len(s.pool) == 0 || s.stopped.Load() {
		if s.busyGoroutines == 0 || s.stopped.Load() {
			s.changed.Broadcast()
			return nil
		}
		s.changed.Wait()
	}
	s.busyGoroutines++
	n := max(1, len(s.pool)/s.opt.Parallel)
	buf = append(buf[:0], s.pool[len(s.pool)-n:]...)
	s.pool = s.pool[:len(s.pool)-n]
	return buf
}
