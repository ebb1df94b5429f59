package emulator

import (
	"context"
	"testing"
	"time"
)

// shortRun returns the options of a run of the given fault scenario (day) with a small fleet and a load of
// 12 s.
func shortRun(day string) Options {
	return Options{Workers: 200, Schedulers: 20, Rate: 80, Duration: 12 * time.Second, MeanRunTime: time.Second,
		Day: day, Seed: 1}
}

func mustRun(t *testing.T, opt Options) *Report {
	t.Helper()
	r, err := Run(context.Background(), opt)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// newIdleFleet returns a fleet at the start of its load with an empty event queue. Only events that the test
// causes will happen.
func newIdleFleet(t *testing.T, opt Options) *fleet {
	t.Helper()
	f, err := newFleet(opt)
	if err != nil {
		t.Fatal(err)
	}
	f.events, f.now = eventQueue{}, f.atFraction(0)
	return f
}

// runUntil runs all events that are due until the given time, and sets the clock to this time.
func (f *fleet) runUntil(at Micros) {
	for len(f.events.heap) > 0 && f.events.heap[0].at <= at {
		e, _ := f.events.pop()
		f.now = e.at
		e.action()
	}
	f.now = at
}
