package scheduler

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"dahliaford/internal/dispatch"
)

// newFleet starts one scheduler of a fleet in one zone.
func newFleet(t testing.TB, schedulers, workers int) *Scheduler {
	t.Helper()
	return newFleetInZones(t, schedulers, workers, 1)
}

// runJobs runs n jobs through the scheduler, one after the other, each from submission to result.
func runJobs(t testing.TB, s *Scheduler, n int) {
	now, out := s.now, []Effect(nil)
	for range n {
		now += second / 4
		id := fmt.Sprint("a", now)
		out = s.Step(now, Submitted{Caller: CallerID(now), RequestID: id, Class: "post", Tenant: "sahel",
			Deadline: now + 5*second}, out[:0])
		i := slices.IndexFunc(out, func(e Effect) bool { _, is := e.(SendAttempt); return is })
		if i < 0 {
			t.Fatalf("request %s: got effects %v, want a SendAttempt", id, out)
		}
		r := out[i].(SendAttempt)
		s.Step(now+1000, AttemptAccepted{Attempt: r.Attempt}, nil)
		s.Step(now+2000, Callback{RequestID: id, WorkerUID: r.WorkerUID, Kind: CallbackStarted}, nil)
		s.Step(now+100_000, TimerFired{}, nil)
		s.Step(now+200_000, Callback{RequestID: id, WorkerUID: r.WorkerUID, Kind: CallbackDone}, nil)
	}
}

// The processing of a job by the scheduler must not take longer in a fleet with more workers, because a
// scheduler of a large fleet only uses a subset of the workers.
func TestJobCostIndependentOfFleetSize(t *testing.T) {
	elapsed := func(schedulers, workers int) time.Duration {
		fastest := time.Hour
		for range 7 { // the minimum of several runs is least affected by other load on the machine
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
			t.Errorf(
				"time of 400 jobs: got %v (3 schedulers, 10 workers) and %v (%d schedulers, %d workers), want at most x4",
				small, large, size[0], size[1])
		}
	}
}

// The number of worker records must not grow while the workers of a fleet are replaced: the record of a
// removed worker is deleted after its retention time. A worker that is listed again later gets a new record.
func TestRemovedWorkersAreForgotten(t *testing.T) {
	s := newFleet(t, 80, 10)
	for i := range 200 { // One worker is replaced per minute.
		old, next := testWorker(fmt.Sprintf("r%d", i), dispatch.Removed),
			testWorker(fmt.Sprintf("r%d", i+10), dispatch.Ready)
		change := WorkerList{Revision: int64(i + 2), Workers: []Worker{old, next}}
		s.Step(s.now+60*second, EndpointsUpdated{List: change}, nil)
	}
	if n := len(s.workers); n > 25 || n < 10 || len(s.byNumber) != n {
		t.Errorf("fleet of 10, one replaced per minute: got %d worker records and %d numbers, want equal, 10 to 25",
			n, len(s.byNumber))
	}
	before := len(s.workers)
	returned := WorkerList{Revision: 999, Workers: []Worker{testWorker("r0", dispatch.Ready)}}
	s.Step(s.now+second, EndpointsUpdated{List: returned}, nil)
	if r := s.workers["r0"]; r == nil || r.Status != dispatch.Ready || len(s.workers) != before+1 {
		t.Errorf("worker r0 listed again: got record %+v, want a new record with status ready", r)
	}
	runJobs(t, s, 10)
}
