package scheduler

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"dahliaford/internal/dispatch"
)

// newFleet starts a scheduler of a fleet.
func newFleet(t testing.TB, schedulers, workers int) *Scheduler {
	t.Helper()
	return newFleetInZones(t, schedulers, workers, 1)
}

// runJobs passes n jobs through, each with all its events.
func runJobs(t testing.TB, s *Scheduler, n int) {
	now, out := s.now, []Effect(nil)
	for range n {
		now += second / 4
		id := fmt.Sprint("a", now)
		out = s.Step(now, Submitted{Caller: CallerID(now), RequestID: id, Class: "post", Tenant: "sahel",
			Deadline: now + 5*second}, out[:0])
		i := slices.IndexFunc(out, func(e Effect) bool { _, is := e.(SendAttempt); return is })
		if i < 0 {
			t.Fatalf("%s is not sent: %v", id, out)
		}
		r := out[i].(SendAttempt)
		s.Step(now+1000, AttemptAccepted{Attempt: r.Attempt}, nil)
		s.Step(now+2000, Callback{RequestID: id, WorkerUID: r.WorkerUID, Kind: CallbackStarted}, nil)
		s.Step(now+100_000, TimerFired{}, nil)
		s.Step(now+200_000, Callback{RequestID: id, WorkerUID: r.WorkerUID, Kind: CallbackDone}, nil)
	}
}

// The cost of a job does not grow with the fleet: one scheduler of 80 has only its subset of it.
func TestJobCostIndependentOfFleetSize(t *testing.T) {
	elapsed := func(schedulers, workers int) time.Duration {
		fastest := time.Hour
		for range 7 { // the minimum is what the work takes, whatever else the machine does
			s := newFleet(t, schedulers, workers)
			began := time.Now()
			runJobs(t, s, 400)
			fastest = min(fastest, time.Since(began))
		}
		return fastest
	}
	small := elapsed(3, 10)
	for _, size := range [][2]int{{80, 60}, {300, 200}} {
		if large := elapsed(size[0], size[1]); large > 4*small {
			t.Errorf("400 jobs take %v of one of 3 with 10 workers, and %v of one of %d with %d", small, large,
				size[0], size[1])
		}
	}
}

// A fleet whose workers are replaced does not grow the records: those that were removed long ago are
// forgotten, and one that comes back is as new.
func TestRemovedWorkersAreForgotten(t *testing.T) {
	s := newFleet(t, 80, 10)
	for i := range 200 { // one is replaced a minute
		old, next := testWorker(fmt.Sprintf("r%d", i), dispatch.Removed),
			testWorker(fmt.Sprintf("r%d", i+10), dispatch.Ready)
		change := WorkerList{Revision: int64(i + 2), Workers: []Worker{old, next}}
		s.Step(s.now+60*second, EndpointsUpdated{List: change}, nil)
	}
	if n := len(s.workers); n > 25 || n < 10 || len(s.byNumber) != n {
		t.Errorf("%d workers and %d numbers are recorded, 10 are in the list", n, len(s.byNumber))
	}
	before := len(s.workers)
	returned := WorkerList{Revision: 999, Workers: []Worker{testWorker("r0", dispatch.Ready)}}
	s.Step(s.now+second, EndpointsUpdated{List: returned}, nil)
	if r := s.workers["r0"]; r == nil || r.Status != dispatch.Ready || len(s.workers) != before+1 {
		t.Errorf("one that came back is %+v", r)
	}
	runJobs(t, s, 10)
}
