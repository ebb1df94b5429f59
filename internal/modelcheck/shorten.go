package modelcheck

import "slices"

const (
	maxShorteningActions = 2_000_000 // actions that are replayed to shorten a path
	maxPairDistance      = 40        // how far apart two actions may be that are left out together
)

// shortener leaves actions out of a path as long as the same property is violated.
type shortener struct {
	cfg       *Config
	path      []Action
	violation *Violation
	budget    int // actions that may still be replayed
}

// shorten returns a shorter path to a violation of the same property: it leaves out first long stretches,
// then shorter ones, and at last pairs.
func shorten(cfg *Config, path []Action, violation *Violation) ([]Action, *Violation) {
	s := &shortener{cfg, path, violation, maxShorteningActions}
	s.dropStretches()
	for s.dropPair() {
	}
	return s.path, s.violation
}

// accept replays a path and keeps it if it violates the same property.
func (s *shortener) accept(path []Action) bool {
	if s.budget <= 0 {
		return false
	}
	violation, used := replay(s.cfg, path)
	s.budget -= used
	if violation == nil || violation.Property != s.violation.Property {
		return false
	}
	s.path, s.violation = path[:used], violation
	return true
}

// without is the path with the actions from i to j left out.
func (s *shortener) without(i, j int) []Action {
	return slices.Concat(s.path[:i], s.path[j:])
}

func (s *shortener) dropStretches() {
	for n := len(s.path) / 2; n >= 1; n /= 2 {
		for i := len(s.path) - n; i >= 0; i -= n {
			if i = min(i, len(s.path)-n); i >= 0 {
				s.accept(s.without(i, i+n))
			}
		}
	}
}

// dropPair leaves out one action, or two that are not far apart, and reports whether it could.
func (s *shortener) dropPair() bool {
	for i := len(s.path) - 1; i >= 0; i-- {
		if s.accept(s.without(i, i+1)) {
			return true
		}
		for j := i - 1; j >= max(0, i-maxPairDistance); j-- {
			if s.accept(slices.Concat(s.path[:j], s.path[j+1:i], s.path[i+1:])) {
				return true
			}
		}
	}
	return false
}

// replay takes the actions of a path from the root. It returns the violation, if there is one, and after
// how many actions; an action that is not enabled ends it.
func replay(cfg *Config, path []Action) (*Violation, int) {
	w, err := newWorld(cfg)
	if err != nil {
		return nil, 0
	}
	for n, a := range path {
		if !w.allows(a) {
			return nil, n
		}
		w.apply(a)
		if w.violation != nil {
			return w.violation, n + 1
		}
	}
	if w.allAnswered() || w.exited {
		return w.settle(), len(path)
	}
	return nil, len(path)
}
