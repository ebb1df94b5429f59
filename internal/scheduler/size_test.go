package scheduler

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"dahliaford/internal/dispatch"
)

// fleetOf starts a scheduler of a fleet.
func fleetOf(t testing.TB, schedulers, workers int) *Scheduler {
	t.Helper()
	return zonesOf(t, schedulers, workers, 1)
}

// jobs passes so many jobs through, each with all its events.
func jobs(t testing.TB, s *Scheduler, n int) {
	now, out := s.now, []Effect(nil)
	for range n {
		now += second / 4
		id := fmt.Sprint("a", now)
		out = s.Step(now, Submitted{Caller: CallerID(now), ID: id, Class: "post", Tenant: "sahel",
			Deadline: now + 5*second}, out[:0])
		i := slices.IndexFunc(out, func(e Effect) bool { _, is := e.(SendAttempt); return is })
		if i < 0 {
			t.Fatalf("%s is not sent: %v", id, out)
		}
		r := out[i].(SendAttempt)
		s.Step(now+1000, AttemptAccepted{Attempt: r.Attempt}, nil)
		s.Step(now+2000, Callback{ID: id, From: r.UID, Kind: CallbackStarted}, nil)
		s.Step(now+100_000, TimerFired{}, nil)
		s.Step(now+200_000, Callback{ID: id, From: r.UID, Kind: CallbackDone}, nil)
	}
}

// The cost of a job does not grow with the fleet: a scheduler of 80 has its part of it.
func TestCostOfAJobAtSize(t *testing.T) {
	took := func(schedulers, workers int) time.Duration {
		least := time.Hour
		for range 7 { // the least is what the work takes, whatever else the machine does
			s := fleetOf(t, schedulers, workers)
			began := time.Now()
			jobs(t, s, 400)
			least = min(least, time.Since(began))
		}
		return least
	}
	small := took(3, 10)
	for _, size := range [][2]int{{80, 60}, {300, 200}} {
		if large := took(size[0], size[1]); large > 4*small {
			t.Errorf("400 jobs take %v of one of 3 with 10 workers, and %v of one of %d with %d", small, large,
				size[0], size[1])
		}
	}
}

// A fleet whose workers are replaced for good does not fill the books: those that went long
// ago are forgotten, and one that comes back is as new.
func TestWorkersThatWentAreForgotten(t *testing.T) {
	s := fleetOf(t, 80, 10)
	for i := range 200 { // one is replaced a minute
		old, next := line(fmt.Sprintf("r%d", i), dispatch.Removed), line(fmt.Sprintf("r%d", i+10), dispatch.Ready)
		s.Step(s.now+60*second, EndpointsUpdated{List: WorkerList{Rev: int64(i + 2), Workers: []Worker{old, next}}}, nil)
	}
	if n := len(s.workers); n > 25 || n < 10 || len(s.byNumber) != n {
		t.Errorf("%d workers and %d numbers in the books, 10 in the list", n, len(s.byNumber))
	}
	before := len(s.workers)
	left := WorkerList{Rev: 999, Workers: []Worker{line("r0", dispatch.Ready)}}
	s.Step(s.now+second, EndpointsUpdated{List: left}, nil)
	if r := s.workers["r0"]; r == nil || r.Status != dispatch.Ready || len(s.workers) != before+1 {
		t.Errorf("one that came back is %+v", r)
	}
	jobs(t, s, 10)
}
