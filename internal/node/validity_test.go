package node

import (
	"errors"
	"testing"
	"time"

	"dahliaford/internal/scheduler"
)

const testGrace = 500 * millisecond

// newWatchHarness returns a harness whose discovery service has sent the worker r1 over an open watch.
func newWatchHarness(t *testing.T, pushed bool, pollInterval scheduler.Micros) *harness {
	set := parseTestSettings(t)
	set.DrainGrace, set.Dispatch.PollEndpoints, set.Dispatch.PollInterval = testGrace, !pushed, pollInterval
	w := newHarnessWithSettings(t, set, 0, "r1")
	w.serve(t, "discovery2")
	runScenario(t, w, `
		discovery expect GET /catalog/members?watch=1&from=4
		discovery send head`)
	w.sendList(t)
	return w
}

// sendList makes the discovery service send a complete list with r1 ready, and waits until the node has
// applied the list.
func (w *harness) sendList(t *testing.T) {
	t.Helper()
	n := w.node
	was := n.listAsOf()
	runScenario(t, w, `discovery send {"rev":5,"all":true,"targets":[`+
		workerLine("r1", w.peers["r1"].listener.Addr().String())+`]}/n`)
	if !eventually(func() bool { return n.listAsOf() != was }) {
		t.Fatal("the node did not apply the list within testTimeout")
	}
}

func (n *Node) listAsOf() (at scheduler.Micros) {
	n.onLoop(func() { at = n.freshness.asOf })
	return at
}

// waitValidFor waits until the node's worker list is valid for at most limit from now on, and returns the
// time at which the validity ends.
func (n *Node) waitValidFor(t *testing.T, limit scheduler.Micros) (until scheduler.Micros) {
	t.Helper()
	if !eventually(func() bool {
		now := n.now()
		n.freshness.mu.Lock()
		defer n.freshness.mu.Unlock()
		until = n.freshness.validUntil
		return until <= now+limit
	}) {
		t.Fatalf("after testTimeout the worker list is still valid for %d us, want at most the limit of the test",
			until-n.now())
	}
	return until
}

// Where a discovery agent on the machine pushes worker lists, a change takes effect when the agent receives
// the change, even if the node has no watch. So after a watch is reset, the node sends attempts for at most
// the drain grace, until a new watch has sent a list.
func TestPushedListsExpireAfterTheGraceWithoutAWatch(t *testing.T) {
	w := newWatchHarness(t, true, 10*second)
	runScenario(t, w, "discovery close reset")
	until := w.node.waitValidFor(t, testGrace)
	for w.node.now() <= until {
		time.Sleep(time.Millisecond)
	}
	runScenario(t, w, `
		c1 send job post a1 || work
		wait open 1
		discovery expect GET /catalog/members?watch=1&from=5
		discovery send head`)
	if got := w.node.freshness.allowSend("r1", w.node.now()); !errors.Is(got, errListStale) {
		t.Errorf("later than the drain grace after the watch was reset, allowSend returned %v, want errListStale",
			got)
	}
	// The decision module must queue the job, and not start attempts that the guard rejects.
	w.node.onLoop(func() {
		if k := w.node.sched.Stats(); k.Attempts != 0 || k.DispatcherJobs != 1 || len(w.node.attempts) != 0 {
			t.Errorf("worker list stale: the scheduler state is %+v, want one queued job and no attempt", k)
		}
	})
	w.sendList(t)
	runScenario(t, w, "r1 expect POST /post/7?a=b txn=a1 key=k body=work")
}

// Where worker lists are polled and no watch is open, a change takes effect after the poll interval of the
// settings. So after a watch is reset the worker list is valid for the poll interval, but for at most
// MaxStaleness, which is 6 s.
func TestPolledListsExpireAfterTheConfiguredTime(t *testing.T) {
	for _, c := range [][2]scheduler.Micros{{2 * second, 2 * second}, {10 * second, 6 * second}} {
		pollInterval, want := c[0], c[1]
		w := newWatchHarness(t, false, pollInterval)
		asOf := w.node.listAsOf()
		runScenario(t, w, "discovery close reset\ndiscovery expect GET /catalog/members?watch=1&from=5")
		w.node.freshness.mu.Lock()
		if got := w.node.freshness.validUntil - asOf; got != want {
			t.Errorf("poll interval %d us: after its last update the worker list is valid for %d us, want %d us",
				pollInterval, got, want)
		}
		w.node.freshness.mu.Unlock()
	}
}

// Changes at the discovery service that a reload names take effect 4 s after the reload. If the new service
// does not respond, the worker list must expire within those 4 s. Neither lines from the old service nor
// further reloads may extend the validity.
func TestUnansweredReloadLimitsValidity(t *testing.T) {
	w := newWatchHarness(t, false, 10*second)
	n := w.node
	// Before the reload the worker list is valid for over an hour.
	n.onLoop(func() { n.receiveList(t, time.Hour) })
	runScenario(t, w, `
		node send reload discovery2
		discovery2 expect GET /catalog/members?watch=1&from=0
		discovery2 send head
		node send reload discovery2
		discovery2 expect GET /catalog/members?watch=1&from=0`)
	until := n.waitValidFor(t, 4*second)
	// After the reload an empty line, which confirms the list, arrives from the old discovery service.
	n.onLoop(func() {
		n.postPendingUpdate()
		n.applyUpdate(t, watchUpdate{watch: n.previousWatch, event: scheduler.EndpointsUpdated{AsOf: n.now()}})
	})
	if repeated := n.waitValidFor(t, 4*second); repeated > until {
		t.Errorf("after a line of the old service the worker list is valid until time %d us, want at most %d us",
			repeated, until)
	}
	n.onLoop(func() { n.receiveList(t, 0) })
	if n.waitValidFor(t, 6*second) <= until {
		t.Error("a list from the new service did not extend the worker list's validity past the reload's limit")
	}
}

// The end of a watch that never sent anything does not limit the validity of the worker list, because the
// list did not come over that watch.
func TestSilentWatchDoesNotLimitValidity(t *testing.T) {
	guard := newFreshnessGuard(testGrace, 6*second)
	guard.listPushed, guard.postedUpdates = true, 1
	guard.countApplied(100 * second)
	if got := guard.watchClosed(0, false); got != 106*second {
		t.Errorf("a watch that sent nothing closed: worker list valid until %d us, want 106 s as before", got)
	}
	if got := guard.watchClosed(101*second, false); got != 101*second+testGrace {
		t.Errorf("watch closed, socket last empty at 101 s: list valid until %d us, want 101 s + drain grace", got)
	}
}
