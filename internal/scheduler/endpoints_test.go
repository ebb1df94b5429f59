package scheduler

import (
	"slices"
	"testing"

	"dahliaford/internal/dispatch"
)

// A worker that drains does not become ready again by an update that may be older than the one that
// drained it.
func TestStaleUpdateDoesNotRestoreDrainingWorker(t *testing.T) {
	ready, draining := testWorker("r1", dispatch.Ready), testWorker("r1", dispatch.Draining)
	removed := testWorker("r1", dispatch.Removed)
	restarted, other := ready, testWorker("r2", dispatch.Ready)
	restarted.Started = 5 * second
	update := func(rev int64, complete bool, workers ...Worker) Event {
		return EndpointsUpdated{List: WorkerList{rev, complete, workers}}
	}
	reloaded, drained := Reloaded{Discovery: "d2"}, update(9, false, draining)
	previous := EndpointsUpdated{List: WorkerList{9, false, []Worker{draining}}, FromPreviousWatch: true}
	for name, c := range map[string]struct {
		events []Event
		ready  bool // at once
		later  bool // once its drain would be known there, too
	}{
		"a newer change":        {[]Event{drained, update(10, false, ready)}, true, true},
		"a newer complete list": {[]Event{drained, update(10, true, ready)}, true, true},
		"it has started since": {[]Event{drained, reloaded,
			update(3, true, restarted)}, true, true},
		"an older change":                          {[]Event{drained, update(8, false, ready)}, false, false},
		"the same sent again":                      {[]Event{drained, update(9, false, ready)}, false, true},
		"a service that counts its revisions anew": {[]Event{drained, update(3, true, ready)}, false, true},
		"an address knows less": {[]Event{drained, reloaded,
			update(12, true, ready)}, false, true},
		"a removed one, likewise": {[]Event{update(9, false, removed), reloaded,
			update(12, true, ready)}, false, true},
		"missing, and back": {[]Event{update(9, true, other), reloaded,
			update(12, true, ready)}, false, true},
		"the previous address knows more": {[]Event{reloaded, previous, update(12, true, ready)}, false, true},
		"removed, pending, and removed again": {[]Event{update(9, false, removed), reloaded,
			update(12, true, ready, other), update(13, true, other)}, false, false},
		"pending, and drained there": {[]Event{drained, reloaded, update(3, true, ready), reloaded,
			previous}, false, false},
		"a drain that comes late": {[]Event{update(9, false, ready), update(8, false, draining)}, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			w := newHarness(t)
			w.scheduler.settings.Dispatch.MaxStaleness = 6 * second
			w.step(update(7, true, ready, other))
			for _, e := range c.events {
				w.now += second / 10
				w.step(e)
			}
			for _, at := range []struct {
				when string
				want bool
			}{{"at once", c.ready}, {"after a while", c.later}} {
				if got := w.scheduler.workers["r1"].Status == dispatch.Ready; got != at.want {
					t.Errorf("ready %s: %v, want %v", at.when, got, at.want)
				}
				w.now += 6 * second
				w.step(EndpointsUpdated{})
			}
		})
	}
}

// An update that is delayed by sockets and queues keeps its age, also for the dispatcher that polls
// whether the watch is alive.
func TestDelayedUpdateKeepsItsAge(t *testing.T) {
	w := newHarness(t)
	w.step(EndpointsUpdated{AsOf: w.now - second})
	if w.scheduler.listAsOf != w.now-second {
		t.Errorf("list as of %d, want %d", w.scheduler.listAsOf, w.now-second)
	}
	w.now += second
	w.step(EndpointsUpdated{})
	if w.scheduler.listAsOf != w.now {
		t.Errorf("list as of %d, want %d", w.scheduler.listAsOf, w.now)
	}
}

// Two workers at one address, as after a replacement in place: each is added and removed by its own UID.
func TestTwoWorkersAtOneAddress(t *testing.T) {
	for _, complete := range []bool{false, true} {
		w := newHarness(t)
		r1, r2 := testWorker("r1", dispatch.Ready), testWorker("r2", dispatch.Ready)
		r2.Addr = r1.Addr
		w.step(EndpointsUpdated{List: WorkerList{2, true, []Worker{r1, r2}}})
		if r1.Status = dispatch.Removed; complete {
			w.now += second
			w.step(EndpointsUpdated{List: WorkerList{3, true, []Worker{r2}}})
		} else {
			w.now += second
			w.step(EndpointsUpdated{List: WorkerList{3, false, []Worker{r1}}})
		}
		got := w.scheduler.Step(w.now, Submitted{Caller: 9, RequestID: "a9", Class: "post", Tenant: "sahel",
			Deadline: w.now + 5*second}, nil)
		i := slices.IndexFunc(got, func(e Effect) bool { _, is := e.(SendAttempt); return is })
		if i < 0 || got[i].(SendAttempt).WorkerUID != "r2" || got[i].(SendAttempt).Addr != r2.Addr {
			t.Errorf("by a complete list %v: %+v, want a9 sent to r2", complete, got)
		}
		status1, status2 := w.scheduler.workers["r1"].Status, w.scheduler.workers["r2"].Status
		if status1 != dispatch.Removed || status2 != dispatch.Ready {
			t.Errorf("by a complete list %v: r1 is %d, r2 is %d", complete, status1, status2)
		}
	}
}
