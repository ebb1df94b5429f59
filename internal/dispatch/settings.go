package dispatch

import (
	"fmt"
	"slices"
)

// check refuses settings that make no sense and fills in safe defaults.
func check(s *Settings) error {
	switch {
	case s.Dispatchers < 0:
		return fmt.Errorf("dahliaford: Balancers is negative: %d", s.Dispatchers)
	case len(s.Classes) == 0:
		return fmt.Errorf("dahliaford: Classes is empty")
	case s.Granularity < 0:
		return fmt.Errorf("dahliaford: Granularity is negative: %d", s.Granularity)
	case s.SlowStartInitial < 0 || s.SlowStartInitial > 1:
		return fmt.Errorf("dahliaford: ColdFrom is not within 0 and 1: %v", s.SlowStartInitial)
	case s.OverloadFactor < 0 || s.SlowStart < 0 || s.OverloadWindow < 0:
		return fmt.Errorf("dahliaford: Cold, Fall or OverloadFactor is negative")
	case s.MaxAttempts < 0:
		return fmt.Errorf("dahliaford: MaxAttempts is negative: %d", s.MaxAttempts)
	}
	for i, c := range s.Classes {
		switch {
		case c.Deadline <= 0:
			return fmt.Errorf("dahliaford: Classes[%d].Deadline is not positive: %d", i, c.Deadline)
		case c.LatencyObjective < 0 || c.ObjectiveStretch < 0 || c.PriorityWeight < 0 || c.LateWeight < 0 || c.DedupWindow < 0:
			return fmt.Errorf("dahliaford: Classes[%d] has a negative Aim, Stretch, Worth, LateWorth or Window", i)
		case c.Effect > Unsafe || c.DedupScope > ScopeCell:
			return fmt.Errorf("dahliaford: Classes[%d] has an unknown Effect or Group", i)
		}
		if c.LatencyObjective == 0 {
			s.Classes = slices.Clone(s.Classes)
			s.Classes[i].LatencyObjective = c.Deadline
		}
	}
	for i, t := range s.Tenants {
		if t.Quota < 0 {
			return fmt.Errorf("dahliaford: Tenants[%d] has a negative Quota", i)
		}
	}
	s.Dispatchers = max(1, s.Dispatchers)
	s.MaxAttempts = max(1, s.MaxAttempts)
	s.Granularity = max(s.Granularity, 1000)
	if s.PollInterval <= 0 {
		s.PollInterval = 10 * second
	}
	return nil
}

// LargeFleet tells whether there are so many dispatchers that each meets a worker seldom.
func (s *Settings) LargeFleet() bool { return s.Dispatchers > few }

// RemovedRetention is how long a worker that is gone stays in the books: it may come back, and what was
// learned of it holds. No open job has an attempt there by then. A fleet that is replaced for
// years must not fill them.
func (s *Settings) RemovedRetention() Micros {
	long := Micros(600 * second)
	for i := range s.Classes {
		long = max(long, 2*s.Classes[i].Deadline)
	}
	return long
}
