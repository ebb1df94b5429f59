package scheduler

import (
	"slices"
	"testing"

	"dahliaford/internal/dispatch"
)

// A draining or removed worker must not become ready through an update that may be older than the update that
// drained or removed the worker, until MaxStaleness has passed.
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
	previousList := EndpointsUpdated{List: WorkerList{50, true, []Worker{other}}, FromPreviousWatch: true}
	for name, c := range map[string]struct {
		events []Event
		ready  bool // whether worker r1 is ready right after the events
		later  bool // whether worker r1 is ready once MaxStaleness has passed
	}{
		"a newer change":        {[]Event{drained, update(10, false, ready)}, true, true},
		"a newer complete list": {[]Event{drained, update(10, true, ready)}, true, true},
		"the worker has restarted": {[]Event{drained, reloaded,
			update(3, true, restarted)}, true, true},
		"an older change":                        {[]Event{drained, update(8, false, ready)}, false, false},
		"a change with the same revision":        {[]Event{drained, update(9, false, ready)}, false, true},
		"a service that restarted its revisions": {[]Event{drained, update(3, true, ready)}, false, true},
		"a new discovery that misses the drain": {[]Event{drained, reloaded,
			update(12, true, ready)}, false, true},
		"a new discovery that misses the removal": {[]Event{update(9, false, removed), reloaded,
			update(12, true, ready)}, false, true},
		"removed by a complete list, and listed by a new discovery": {[]Event{update(9, true, other), reloaded,
			update(12, true, ready)}, false, true},
		"a drain from the previous discovery": {[]Event{reloaded, previous, update(12, true, ready)}, false, true},
		"removed, pending, and removed again": {[]Event{update(9, false, removed), reloaded,
			update(12, true, ready, other), update(13, true, other)}, false, false},
		"pending, and drained by the previous discovery": {[]Event{drained, reloaded, update(3, true, ready),
			reloaded, previous}, false, false},
		"missing from the previous discovery's list, and listed by the new one": {[]Event{reloaded,
			previousList, update(12, true, ready, other)}, false, true},
		"the same in the other order": {[]Event{reloaded, update(12, true, ready, other),
			previousList}, false, true},
		"the same twice": {[]Event{reloaded, update(12, true, ready, other), previousList,
			previousList}, false, true},
		"drained by the previous discovery after the new one's list": {[]Event{reloaded,
			update(12, true, ready, other), previous}, false, true},
		"missing from the previous discovery's list, and from the new one's": {[]Event{reloaded, previousList,
			update(12, true, other)}, false, false},
		"missing from the previous discovery's list, and restarted": {[]Event{reloaded, previousList,
			update(12, true, restarted, other)}, true, true},
		"an older drain after a newer ready": {[]Event{update(9, false, ready),
			update(8, false, draining)}, false, false},
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
			}{{"right after the events", c.ready}, {"after MaxStaleness", c.later}} {
				if got := w.scheduler.workers["r1"].Status == dispatch.Ready; got != at.want {
					t.Errorf("case worker r1 %s: got ready = %v, want %v", at.when, got, at.want)
				}
				w.now += 6 * second
				w.step(EndpointsUpdated{})
			}
		})
	}
}

// The worker list is only as recent as the AsOf time of its last update, even if sockets and queues delay the
// update on its way to the reducer. The dispatcher decides by the time since then, the age of the list,
// whether to poll discovery.
func TestDelayedUpdateKeepsItsAge(t *testing.T) {
	w := newHarness(t)
	w.step(EndpointsUpdated{AsOf: w.now - second})
	if w.scheduler.listAsOf != w.now-second {
		t.Errorf("after an update delayed by 1 s: worker list is complete up to time %d us, want %d us",
			w.scheduler.listAsOf, w.now-second)
	}
	w.now += second
	w.step(EndpointsUpdated{})
	if w.scheduler.listAsOf != w.now {
		t.Errorf("after an update without AsOf: worker list is complete up to time %d us, want the clock, %d us",
			w.scheduler.listAsOf, w.now)
	}
}

// Two workers may share an address after a worker is replaced in place. Each is added and removed by its own
// UID: removing the first must not affect the second.
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
			t.Errorf("case complete list = %v (else a delta) removes r1: got effects %+v, want a9 sent to r2",
				complete, got)
		}
		status1, status2 := w.scheduler.workers["r1"].Status, w.scheduler.workers["r2"].Status
		if status1 != dispatch.Removed || status2 != dispatch.Ready {
			t.Errorf("case complete list = %v (else a delta) removes r1: got status %d, r2 %d, want removed, ready",
				complete, status1, status2)
		}
	}
}
