package node

import (
	"errors"
	"testing"
	"time"

	"dahliaford/internal/scheduler"
)

const testGrace = 500 * millisecond

// newWatchHarness returns a world whose discovery has sent r1 over a watch that is open.
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

// sendList has discovery send that r1 is ready, and waits until that is applied.
func (w *harness) sendList(t *testing.T) {
	t.Helper()
	n := w.node
	was := n.listAsOf()
	runScenario(t, w, `discovery send {"rev":5,"all":true,"targets":[`+
		workerLine("r1", w.peers["r1"].listener.Addr().String())+`]}/n`)
	if !eventually(func() bool { return n.listAsOf() != was }) {
		t.Fatal("the update is not applied")
	}
}

func (n *Node) listAsOf() (at scheduler.Micros) {
	n.onLoop(func() { at = n.freshness.asOf })
	return at
}

// waitValidFor waits until a node's list is valid for at most a limit from now on, and returns until when.
func (n *Node) waitValidFor(t *testing.T, limit scheduler.Micros) (until scheduler.Micros) {
	t.Helper()
	if !eventually(func() bool {
		now := n.now()
		n.freshness.mu.Lock()
		defer n.freshness.mu.Unlock()
		until = n.freshness.validUntil
		return until <= now+limit
	}) {
		t.Fatalf("it is valid for %d more", until-n.now())
	}
	return until
}

// Where lists are pushed, a change that the agent has is in force at once, with or without a watch. So once a
// watch is reset nothing is sent after the drain grace, until a new one has sent something.
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
		t.Errorf("the guard says %v", got)
	}
	w.node.onLoop(func() { // the module queues the job rather than have it turned back
		if k := w.node.sched.Stats(); k.Attempts != 0 || k.DispatcherJobs != 1 || len(w.node.attempts) != 0 {
			t.Errorf("queued %+v", k)
		}
	})
	w.sendList(t)
	runScenario(t, w, "r1 expect POST /post/7?a=b txn=a1 key=k body=work")
}

// Where lists are polled, without a watch a change is in force as long after it was made as the settings
// state for polls; the list is valid no longer than that, nor longer than 6 s.
func TestPolledListsExpireAfterTheConfiguredTime(t *testing.T) {
	for _, c := range [][2]scheduler.Micros{{2 * second, 2 * second}, {10 * second, 6 * second}} {
		pollInterval, want := c[0], c[1]
		w := newWatchHarness(t, false, pollInterval)
		asOf := w.node.listAsOf()
		runScenario(t, w, "discovery close reset\ndiscovery expect GET /catalog/members?watch=1&from=5")
		w.node.freshness.mu.Lock()
		if got := w.node.freshness.validUntil - asOf; got != want {
			t.Errorf("polled within %d: it is valid for %d, want %d", pollInterval, got, want)
		}
		w.node.freshness.mu.Unlock()
	}
}

// After a reload the new discovery is in force 4 s later. Nothing that the old one sends then makes up for
// its silence, however often the configuration is reloaded.
func TestUnansweredReloadLimitsValidity(t *testing.T) {
	w := newWatchHarness(t, false, 10*second)
	n := w.node
	n.onLoop(func() { n.receiveList(t, time.Hour) }) // whatever was received before
	runScenario(t, w, `
		node send reload discovery2
		discovery2 expect GET /catalog/members?watch=1&from=0
		discovery2 send head
		node send reload discovery2
		discovery2 expect GET /catalog/members?watch=1&from=0`)
	until := n.waitValidFor(t, 4*second)
	n.onLoop(func() { // an empty line of the address before, which arrives after the reload
		n.postPendingUpdate()
		n.applyUpdate(t, watchUpdate{watch: n.previousWatch, event: scheduler.EndpointsUpdated{AsOf: n.now()}})
	})
	if repeated := n.waitValidFor(t, 4*second); repeated > until {
		t.Errorf("it is valid until %d, not %d", repeated, until)
	}
	n.onLoop(func() { n.receiveList(t, 0) })
	if n.waitValidFor(t, 6*second) <= until {
		t.Error("the new address has sent a list, and that is not used")
	}
}

// The end of a watch that never sent anything does not limit the validity: nothing depended on it.
func TestSilentWatchDoesNotLimitValidity(t *testing.T) {
	guard := newFreshnessGuard(testGrace, 6*second)
	guard.listPushed, guard.postedUpdates = true, 1
	guard.countApplied(100 * second)
	if got := guard.watchClosed(0, false); got != 106*second {
		t.Errorf("valid until %d", got)
	}
	if got := guard.watchClosed(101*second, false); got != 101*second+testGrace {
		t.Errorf("valid until %d", got)
	}
}
