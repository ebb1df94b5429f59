package modelcheck

import "slices"

const (
	maxShorteningActions = 2_000_000 // limit on the number of actions replayed to shorten one path
	maxPairDistance      = 40        // largest distance, in actions, of two actions that are removed together
)

// shortener removes actions from a path as long as the path still violates the same property.
type shortener struct {
	cfg       *Config
	path      []Action
	violation *Violation
	budget    int // number of actions that may still be replayed
}

// shorten returns a path that violates the same property as path and is not longer than path. It tries to
// remove long ranges of actions first, then shorter ranges, and finally single actions and pairs of actions.
func shorten(cfg *Config, path []Action, violation *Violation) ([]Action, *Violation) {
	s := &shortener{cfg, path, violation, maxShorteningActions}
	s.dropRanges()
	for s.dropPair() {
	}
	return s.path, s.violation
}

// keepIfViolating replays a path, keeps it if it violates the same property, and reports whether it does.
func (s *shortener) keepIfViolating(path []Action) bool {
	if s.budget <= 0 {
		return false
	}
	violation, taken := replay(s.cfg, path)
	s.budget -= taken
	if violation == nil || violation.Property != s.violation.Property {
		return false
	}
	s.path, s.violation = path[:taken], violation
	return true
}

// without returns the path without the actions with indexes i to j-1.
func (s *shortener) without(i, j int) []Action {
	return slices.Concat(s.path[:i], s.path[j:])
}

// dropRanges tries to remove ranges of actions, with lengths from half of the path down to 1.
func (s *shortener) dropRanges() {
	for n := len(s.path) / 2; n >= 1; n /= 2 {
		for i := len(s.path) - n; i >= 0; i -= n {
			if i = min(i, len(s.path)-n); i >= 0 {
				s.keepIfViolating(s.without(i, i+n))
			}
		}
	}
}

// dropPair removes one action, or two at most maxPairDistance apart, and reports whether the path still
// violates the property.
func (s *shortener) dropPair() bool {
	for i := len(s.path) - 1; i >= 0; i-- {
		if s.keepIfViolating(s.without(i, i+1)) {
			return true
		}
		for j := i - 1; j >= max(0, i-maxPairDistance); j-- {
			if s.keepIfViolating(slices.Concat(s.path[:j], s.path[j+1:i], s.path[i+1:])) {
				return true
			}
		}
	}
	return false
}

// replay performs the actions of a path from the initial state up to the first violation or the first action
// that is not enabled. It returns the violation, if there is one, and the number of actions performed.
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
