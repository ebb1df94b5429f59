package modelcheck

import (
	"context"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"github.com/zeebo/xxh3"

	"dahliaford/internal/fingerprint"
)

// Options say how a world is searched.
type Options struct {
	Parallel int // goroutines; 0: one for each core
	// ReplayStates makes each state anew from the root, as the first version did. It is kept as
	// the yardstick for copied states, and must find the same number of them.
	ReplayStates bool
	// Progress is called now and then with the numbers so far; nil: nobody looks.
	Progress func(states, transitions int64)
}

// Result is what a search found.
type Result struct {
	World       string
	States      int64
	Transitions int64
	Depth       int  // of the longest path that was walked
	Exhausted   bool // all states within the world's bounds were seen
	Violation   *Violation
	Path        []Action // to the state that broke a property, made short
	Coverage    *Coverage
}

// node is a state's place in the search: how it was reached.
type node struct {
	from   *node
	action Action
	depth  int
}

func (n *node) path() []Action {
	p := make([]Action, n.depth)
	for ; n.from != nil; n = n.from {
		p[n.depth-1] = n.action
	}
	return p
}

type state struct {
	world *World // nil when states are replayed
	node  *node
}

const shards = 256

// visited are the states seen so far, by 128 bits of hash: at 10^8 states the chance that
// any two are mixed up is below 10^-22.
type visited [shards]struct {
	sync.Mutex
	seen map[xxh3.Uint128]struct{}
}

func (v *visited) add(h xxh3.Uint128) bool {
	s := &v[h.Lo%shards]
	s.Lock()
	defer s.Unlock()
	if _, known := s.seen[h]; known {
		return false
	}
	s.seen[h] = struct{}{}
	return true
}

type search struct {
	cfg     *Config
	opt     Options
	ctx     context.Context
	visited visited
	states  atomic.Int64
	steps   atomic.Int64
	depth   atomic.Int64

	mu      sync.Mutex
	more    sync.Cond
	pool    []state // what a worker without work may take
	hungry  atomic.Int32
	working int
	found   *Violation
	at      *node
	stopped atomic.Bool
}

// Search explores a world until all is seen, a property breaks, or the context ends.
func Search(ctx context.Context, cfg *Config, opt Options) (*Result, error) {
	root, err := newWorld(cfg)
	if err != nil {
		return nil, err
	}
	if opt.Parallel <= 0 {
		opt.Parallel = runtime.GOMAXPROCS(0)
	}
	s := &search{cfg: cfg, opt: opt, ctx: ctx, working: opt.Parallel}
	s.more.L = &s.mu
	for i := range s.visited {
		s.visited[i].seen = map[xxh3.Uint128]struct{}{}
	}
	s.visited.add(xxh3.Hash128(root.appendState(nil)))
	s.states.Add(1)
	s.pool = []state{{root, &node{}}}
	covers := make([]Coverage, opt.Parallel)
	var done sync.WaitGroup
	for i := range covers {
		done.Go(func() { s.work(&covers[i]) })
	}
	over := make(chan struct{})
	var watcher sync.WaitGroup
	watcher.Go(func() { s.watch(over) })
	done.Wait()
	close(over)
	watcher.Wait()
	r := &Result{World: cfg.Name, States: s.states.Load(), Transitions: s.steps.Load(),
		Depth: int(s.depth.Load()), Exhausted: !s.stopped.Load(), Coverage: &Coverage{}}
	for i := range covers {
		r.Coverage.add(&covers[i])
	}
	if s.found != nil {
		r.Path, r.Violation = shorten(cfg, s.at.path(), s.found)
	}
	return r, nil
}

// watch reports progress and stops the search when the context ends.
func (s *search) watch(over chan struct{}) {
	tick := time.NewTicker(500 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-over:
			return
		case <-s.ctx.Done():
			s.stop()
			return
		case <-tick.C:
			if s.opt.Progress != nil {
				s.opt.Progress(s.states.Load(), s.steps.Load())
			}
		}
	}
}

func (s *search) stop() {
	s.stopped.Store(true)
	s.mu.Lock()
	s.more.Broadcast()
	s.mu.Unlock()
}

// keepOwn is how many states a worker keeps to itself before it shares.
const keepOwn = 8

// work expands states, the latest first, until there are no more anywhere.
func (s *search) work(cover *Coverage) {
	var own []state
	var actions []Action
	var form []byte
	for {
		if len(own) == 0 {
			if own = s.take(own); own == nil {
				return
			}
		}
		if s.hungry.Load() > 0 && len(own) > keepOwn {
			half := len(own) / 2
			s.give(own[:half])
			own = append(own[:0], own[half:]...)
		}
		at := own[len(own)-1]
		own[len(own)-1] = state{}
		own = own[:len(own)-1]
		if s.stopped.Load() {
			continue // to the end of its own, and then out
		}
		w := s.state(at)
		w.cover = cover
		actions = w.enabled(actions[:0])
		for i, a := range actions {
			var next *World
			switch {
			case s.opt.ReplayStates:
				next = s.state(at)
			case i == len(actions)-1:
				next = w // nobody needs it any more
			default:
				next = w.clone()
			}
			next.cover = cover
			next.apply(a)
			s.steps.Add(1)
			place := &node{at.node, a, at.node.depth + 1}
			if next.broke != nil {
				s.report(next.broke, place)
				break
			}
			form = next.appendState(form[:0])
			if !s.visited.add(xxh3.Hash128(form)) {
				continue
			}
			s.states.Add(1)
			for d := s.depth.Load(); d < int64(place.depth) && !s.depth.CompareAndSwap(d, int64(place.depth)); {
				d = s.depth.Load()
			}
			if next.over() || next.exited {
				if broke := next.settle(); broke != nil {
					s.report(broke, place)
					break
				}
			}
			if s.opt.ReplayStates {
				next = nil
			}
			own = append(own, state{next, place})
		}
	}
}

// state gives a state to expand: itself, or made anew from the root.
func (s *search) state(at state) *World {
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

func (s *search) report(broke *Violation, at *node) {
	s.mu.Lock()
	if s.found == nil || at.depth < s.at.depth {
		s.found, s.at = broke, at
	}
	s.mu.Unlock()
	s.stop()
}

func (s *search) give(states []state) {
	s.mu.Lock()
	s.pool = append(s.pool, states...)
	s.more.Broadcast()
	s.mu.Unlock()
}

// take waits for states to expand; nil means that there are no more.
func (s *search) take(own []state) []state {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.working--
	s.hungry.Add(1)
	defer s.hungry.Add(-1)
	for len(s.pool) == 0 || s.stopped.Load() {
		if s.working == 0 || s.stopped.Load() {
			s.more.Broadcast()
			return nil
		}
		s.more.Wait()
	}
	s.working++
	n := max(1, len(s.pool)/s.opt.Parallel)
	own = append(own[:0], s.pool[len(s.pool)-n:]...)
	s.pool = s.pool[:len(s.pool)-n]
	return own
}

// shorten leaves out steps of a path as long as the same property breaks: first long
// stretches, then shorter ones, and at last pairs.
func shorten(cfg *Config, path []Action, broke *Violation) ([]Action, *Violation) {
	work := mostShortening
	try := func(left []Action) bool {
		if work <= 0 {
			return false
		}
		b, used := replay(cfg, left, nil)
		work -= used
		if b == nil || b.Property != broke.Property {
			return false
		}
		path, broke = left[:used], b
		return true
	}
	without := func(i, n int) []Action { return append(append([]Action(nil), path[:i]...), path[i+n:]...) }
	for n := len(path) / 2; n >= 1; n /= 2 {
		for i := len(path) - n; i >= 0; i -= n {
			if i = min(i, len(path)-n); i >= 0 {
				try(without(i, n))
			}
		}
	}
	for shorter := true; shorter; {
		shorter = false
	pairs:
		for i := len(path) - 1; i >= 0; i-- {
			if try(without(i, 1)) {
				shorter = true
				break
			}
			for j := i - 1; j >= max(0, i-mostApart); j-- {
				left := append(append([]Action(nil), path[:j]...), path[j+1:i]...)
				if try(append(left, path[i+1:]...)) {
					shorter = true
					break pairs
				}
			}
		}
	}
	return path, broke
}

const (
	mostShortening = 2_000_000 // steps that are replayed to shorten a path
	mostApart      = 40        // how far apart two steps may be that are left out together
)

// replay plays a path from the root. It tells what broke, and after how many steps; a
// step that is not enabled ends it.
func replay(cfg *Config, path []Action, notes *[]string) (*Violation, int) {
	w, err := newWorld(cfg)
	if err != nil {
		return nil, 0
	}
	w.notes = notes
	for n, a := range path {
		if !w.allows(a) {
			return nil, n
		}
		w.apply(a)
		if w.broke != nil {
			return w.broke, n + 1
		}
	}
	if w.over() || w.exited {
		return w.settle(), len(path)
	}
	return nil, len(path)
}

func (w *World) allows(a Action) bool {
	for _, e := range w.enabled(nil) {
		if e == a {
			return true
		}
	}
	return false
}

// appendState appends a form of a state that is the same for two that act alike.
func (w *World) appendState(b []byte) []byte {
	f := fingerprint.Buffer(b)
	f.Ints(int64(w.now), int64(w.wake), w.rev, int64(w.most), int64(w.caller), int64(w.stopAt))
	f = append(f, w.left[:]...)
	f.Ints(int64(w.heard), int64(w.until), int64(w.moved))
	f.Bools(w.breaks, w.watching, w.asked, w.stopped, w.exited, w.gaveUp)
	for i := range w.requests {
		q := &w.requests[i]
		f = append(f, byte(q.class), q.id, byte(q.state), byte(q.verdict), q.attempts, q.starts, q.ran, q.made,
			q.at, byte(q.stage))
		f.Ints(int64(q.caller), int64(q.deadline), int64(q.firstRan), int64(q.last), int64(q.gen),
			int64(q.lastBy))
		if q.state == gone { // later than the grace it is all the same
			f.Ints(int64(min(w.now-q.leftAt, leaveGrace+1)))
		}
	}
	for i := range w.workers {
		r := &w.workers[i]
		f.Bools(r.down, r.silent)
		f.Ints(int64(r.status), int64(r.begun), int64(r.known), int64(r.told), int64(len(r.fresh)))
		if w.cfg.Rules.LimitStaleness {
			f.Ints(int64(r.made))
		}
		for _, at := range r.fresh {
			f.Ints(int64(at))
		}
	}
	f.Ints(int64(len(w.routes)), int64(len(w.jobs)), int64(len(w.calls)), int64(len(w.withdraws)),
		int64(len(w.unsent)))
	for i := range w.routes {
		r := &w.routes[i]
		f = append(f, r.id, r.worker, byte(r.phase))
		f.Bools(r.cold, r.unheard, r.link.Busy, r.link.Written, r.link.Broken, r.link.Released)
		f.Ints(int64(r.attempt), int64(r.status), int64(r.writeBy), int64(r.sent))
	}
	for i := range w.jobs {
		j := &w.jobs[i]
		f = append(f, j.id, j.worker)
		f.Bools(j.running)
		f.Ints(int64(j.attempt), int64(j.sent))
	}
	for _, c := range w.calls {
		f = append(f, c.id, c.worker, byte(c.news))
	}
	for i := range w.withdraws {
		wd := &w.withdraws[i]
		f = append(f, wd.id, wd.worker, byte(wd.phase))
		f.Ints(int64(wd.attempt), int64(wd.deadline))
	}
	for _, attempt := range w.unsent {
		f.Ints(int64(attempt))
	}
	return w.s.AppendState(f)
}
