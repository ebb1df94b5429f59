package dispatch

import (
	"fmt"
	"slices"
)

// validate returns an error for settings out of range and replaces missing settings by their defaults.
func validate(s *Settings) error {
	switch {
	case s.Dispatchers < 0:
		return fmt.Errorf("dispatch: Dispatchers is negative: %d", s.Dispatchers)
	case len(s.Classes) == 0:
		return fmt.Errorf("dispatch: Classes is empty: at least one class is needed")
	case s.Granularity < 0:
		return fmt.Errorf("dispatch: Granularity is negative: %d", s.Granularity)
	case s.SlowStartInitial < 0 || s.SlowStartInitial > 1:
		return fmt.Errorf("dispatch: SlowStartInitial is not in the range 0 to 1: %v", s.SlowStartInitial)
	case s.OverloadFactor < 0 || s.SlowStart < 0 || s.OverloadWindow < 0:
		return fmt.Errorf("dispatch: SlowStart, OverloadWindow and OverloadFactor must not be negative")
	case s.MaxAttempts < 0:
		return fmt.Errorf("dispatch: MaxAttempts is negative: %d", s.MaxAttempts)
	}
	for i := range s.Classes {
		if err := validateClass(i, &s.Classes[i]); err != nil {
			return err
		}
		if s.Classes[i].LatencyObjective == 0 {
			s.Classes = slices.Clone(s.Classes)
			s.Classes[i].LatencyObjective = s.Classes[i].Deadline
		}
	}
	for i, t := range s.Tenants {
		if t.Quota < 0 {
			return fmt.Errorf("dispatch: Tenants[%d].Quota is negative", i)
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

// validateClass returns an error that names the class by its index if one of its settings is out of range.
func validateClass(i int, c *Class) error {
	switch {
	case c.Deadline <= 0:
		return fmt.Errorf("dispatch: Classes[%d].Deadline is not positive: %d", i, c.Deadline)
	case c.LatencyObjective < 0 || c.ObjectiveStretch < 0 || c.PriorityWeight < 0 || c.LateWeight < 0 ||
		c.DedupWindow < 0:
		return fmt.Errorf("dispatch: Classes[%d] has a negative setting: "+
			"LatencyObjective, ObjectiveStretch, PriorityWeight, LateWeight and DedupWindow must not be negative", i)
	case c.Effect > Unsafe || c.DedupScope > ScopeCell:
		return fmt.Errorf("dispatch: Classes[%d] has an unknown Effect or DedupScope", i)
	}
	return nil
}

// LargeFleet reports whether there are so many dispatchers (more than maxSmallFleetDispatchers) that each of
// them sends to a given worker only seldom and therefore learns little about the worker from its own jobs.
func (s *Settings) LargeFleet() bool { return s.Dispatchers > maxSmallFleetDispatchers }

// RemovedRetention returns how long the record of a removed worker is kept. If the worker is listed again
// within that time, its estimates still apply. The time is longer than any deadline, so that no open job has
// an attempt at the worker when its record is dropped. Dropping the records after that time bounds the memory
// use in a fleet whose workers are replaced again and again.
func (s *Settings) RemovedRetention() Micros {
	longest := Micros(600 * second)
	for i := range s.Classes {
		longest = max(longest, 2*s.Classes[i].Deadline)
	}
	return longest
}
