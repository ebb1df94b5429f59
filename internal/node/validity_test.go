package node

import (
	"errors"
	"testing"
	"time"

	"dahliaford/internal/scheduler"
)

const testGrace = 500 * millisecond

// newWatchedWorld is a world whose discovery has told of r1 over a watch that is open.
func newWatchedWorld(t *testing.T, pushed bool, pollInterval scheduler.Micros) *world {
	set := parsed(t)
	set.DrainGrace, set.Dispatch.PollEndpoints, set.Dispatch.PollInterval = testGrace, !pushed, pollInterval
	w := newWorldOf(t, set, 0, "r1")
	w.serve(t, "discovery2")
	play(t, w, `
		discovery expect GET /catalog/members?watch=1&from=4
		discovery send head`)
	w.sendList(t)
	return w
}

// sendList has discovery say that r1 is ready, and waits until that is taken in.
func (w *world) sendList(t *testing.T) {
	t.Helper()
	n := w.node
	was := n.listAsOf()
	play(t, w, `discovery send {"rev":5,"all":true,"targets":[`+
		workerLine("r1", w.peers["r1"].listener.Addr().String())+`]}/n`)
	if !eventually(func() bool { return n.listAsOf() != was }) {
		t.Fatal("the word is not taken in")
	}
}

func (n *Node) listAsOf() (at scheduler.Micros) {
	n.onLoop(func() { at = n.freshness.asOf })
	return at
}

// waitValidFor waits until what a node knows holds for so long at most, from now on.
func (n *Node) waitValidFor(t *testing.T, limit scheduler.Micros) (until scheduler.Micros) {
	t.Helper()
	if !eventually(func() bool {
		now := n.now()
		n.freshness.mu.Lock()
		defer n.freshness.mu.Unlock()
		until = n.freshness.validUntil
		return until <= now+limit
	}) {
		t.Fatalf("it holds for %d more", until-n.now())
	}
	return until
}

// Where lists are pushed, what the agent has counts as told at once, watch or none. So once a watch
// is reset nothing leaves later than the drain grace, until a new one has spoken.
func TestPushedListsExpireAfterTheGraceWithoutAWatch(t *testing.T) {
	w := newWatchedWorld(t, true, 10*second)
	play(t, w, "discovery close reset")
	until := w.node.waitValidFor(t, testGrace)
	for w.node.now() <= until {
		time.Sleep(time.Millisecond)
	}
	play(t, w, `
		c1 send job post a1 || work
		wait open 1
		discovery expect GET /catalog/members?watch=1&from=5
		discovery send head`)
	if got := w.node.freshness.allowSend("r1", w.node.now()); !errors.Is(got, errStale) {
		t.Errorf("the last look: %v", got)
	}
	w.node.onLoop(func() { // the module holds the job rather than have it turned back
		if k := w.node.sched.Stats(); k.Attempts != 0 || k.DispatcherJobs != 1 || len(w.node.attempts) != 0 {
			t.Errorf("kept %+v", k)
		}
	})
	w.sendList(t)
	play(t, w, "r1 expect POST /post/7?a=b txn=a1 key=k body=work")
}

// Where lists are asked for, a change counts as told so long after it was made as the settings give
// for asking, once there is no watch; what was heard holds no longer, nor longer than 6 s.
func TestPolledListsExpireAfterTheConfiguredTime(t *testing.T) {
	for _, c := range [][2]scheduler.Micros{{2 * second, 2 * second}, {10 * second, 6 * second}} {
		pollInterval, want := c[0], c[1]
		w := newWatchedWorld(t, false, pollInterval)
		asOf := w.node.listAsOf()
		play(t, w, "discovery close reset\ndiscovery expect GET /catalog/members?watch=1&from=5")
		w.node.freshness.mu.Lock()
		if got := w.node.freshness.validUntil - asOf; got != want {
			t.Errorf("asked for within %d: it holds for %d, want %d", pollInterval, got, want)
		}
		w.node.freshness.mu.Unlock()
	}
}

// After a reload the new discovery counts 4 s later, and nothing that the old one says then makes up
// for its silence, however often the configuration comes.
func TestUnansweredReloadLimitsValidity(t *testing.T) {
	w := newWatchedWorld(t, false, 10*second)
	n := w.node
	n.onLoop(func() { n.receiveList(t, time.Hour) }) // whatever was heard before
	play(t, w, `
		node send reload discovery2
		discovery2 expect GET /catalog/members?watch=1&from=0
		discovery2 send head
		node send reload discovery2
		discovery2 expect GET /catalog/members?watch=1&from=0`)
	until := n.waitValidFor(t, 4*second)
	n.onLoop(func() { // an empty line of the address before: its word comes after the reload
		n.postPendingUpdate()
		n.applyUpdate(t, watchUpdate{watch: n.previousWatch, event: scheduler.EndpointsUpdated{AsOf: n.now()}})
	})
	if repeated := n.waitValidFor(t, 4*second); repeated > until {
		t.Errorf("it holds until %d, not %d", repeated, until)
	}
	n.onLoop(func() { n.receiveList(t, 0) })
	if n.waitValidFor(t, 6*second) <= until {
		t.Error("the new address has spoken, and is not believed")
	}
}

// A watch that never spoke takes nothing away by its end: nothing hung on it.
func TestSilentWatchDoesNotLimitValidity(t *testing.T) {
	guard := newFreshnessGuard(testGrace, 6*second)
	guard.pushed, guard.posted = true, 1
	guard.countApplied(100 * second)
	if got := guard.watchClosed(0, false); got != 106*second {
		t.Errorf("holds until %d", got)
	}
	if got := guard.watchClosed(101*second, false); got != 101*second+testGrace {
		t.Errorf("holds until %d", got)
	}
}
