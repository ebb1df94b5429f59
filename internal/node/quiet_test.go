package node

import (
	"testing"
	"time"

	"dahliaford/internal/scheduler"
)

const graceOfTests = 500 * millisecond

// quietWorld is a world whose discovery has told of r1 over a watch that is open.
func quietWorld(t *testing.T, pushed bool, askWithin scheduler.Micros) *world {
	set := parsed(t)
	set.DrainGrace, set.Dispatch.PollEndpoints, set.Dispatch.PollInterval = graceOfTests, !pushed, askWithin
	w := newWorldOf(t, set, 0, "r1")
	w.serve(t, "discovery2")
	play(t, w, `
		discovery expect GET /catalog/members?watch=1&from=4
		discovery send head`)
	w.tells(t)
	return w
}

// tells has discovery say that r1 is ready, and waits until that is taken in.
func (w *world) tells(t *testing.T) {
	t.Helper()
	n := w.node
	was := n.heardAt()
	play(t, w, `discovery send {"rev":5,"all":true,"targets":[`+
		workerLine("r1", w.parties["r1"].listener.Addr().String())+`]}/n`)
	if !eventually(func() bool { return n.heardAt() != was }) {
		t.Fatal("the word is not taken in")
	}
}

func (n *Node) heardAt() (at scheduler.Micros) {
	n.do(func() { at = n.told.heard })
	return at
}

// holds waits until what a node knows holds for so long at most, from now on.
func (n *Node) holds(t *testing.T, most scheduler.Micros) (until scheduler.Micros) {
	t.Helper()
	if !eventually(func() bool {
		now := n.now()
		n.told.mu.Lock()
		defer n.told.mu.Unlock()
		until = n.told.until
		return until <= now+most
	}) {
		t.Fatalf("it holds for %d more", until-n.now())
	}
	return until
}

// Where lists are pushed, what the agent has counts as told at once, watch or none. So once a watch
// is reset nothing leaves later than the drain grace, until a new one has spoken.
func TestPushedListsHoldForTheGraceWithoutAWatch(t *testing.T) {
	w := quietWorld(t, true, 10*second)
	play(t, w, "discovery close reset")
	until := w.node.holds(t, graceOfTests)
	for w.node.now() <= until {
		time.Sleep(time.Millisecond)
	}
	play(t, w, `
		c1 send job post a1 || work
		wait open 1
		discovery expect GET /catalog/members?watch=1&from=5
		discovery send head`)
	if got := w.node.told.may("r1", w.node.now()); got != errUnheard {
		t.Errorf("the last look: %v", got)
	}
	w.node.do(func() { // the module holds the job rather than have it turned back
		if k := w.node.sched.Stats(); k.Attempts != 0 || k.DispatcherJobs != 1 || len(w.node.attempts) != 0 {
			t.Errorf("kept %+v", k)
		}
	})
	w.tells(t)
	play(t, w, "r1 expect POST /post/7?a=b txn=a1 key=k body=work")
}

// Where lists are asked for, a change counts as told so long after it was made as the settings give
// for asking, once there is no watch; what was heard holds no longer, nor longer than 6 s.
func TestAskedListsHoldForTheTimeOfTheSettings(t *testing.T) {
	for _, c := range [][2]scheduler.Micros{{2 * second, 2 * second}, {10 * second, 6 * second}} {
		ask, want := c[0], c[1]
		w := quietWorld(t, false, ask)
		heard := w.node.heardAt()
		play(t, w, "discovery close reset\ndiscovery expect GET /catalog/members?watch=1&from=5")
		w.node.told.mu.Lock()
		if got := w.node.told.until - heard; got != want {
			t.Errorf("asked for within %d: it holds for %d, want %d", ask, got, want)
		}
		w.node.told.mu.Unlock()
	}
}

// After a reload the new discovery counts 4 s later, and nothing that the old one says then makes up
// for its silence, however often the configuration comes.
func TestAReloadThatIsNotAnsweredEndsTheTrust(t *testing.T) {
	w := quietWorld(t, false, 10*second)
	n := w.node
	n.do(func() { n.knows(time.Hour) }) // whatever was heard before
	play(t, w, `
		node send reload discovery2
		discovery2 expect GET /catalog/members?watch=1&from=0
		discovery2 send head
		node send reload discovery2
		discovery2 expect GET /catalog/members?watch=1&from=0`)
	until := n.holds(t, 4*second)
	n.do(func() { // an empty line of the address before: its word comes after the reload
		n.wordIsPosted()
		n.watchSaid(listWord{watch: n.before, event: scheduler.EndpointsUpdated{AsOf: n.now()}})
	})
	if again := n.holds(t, 4*second); again > until {
		t.Errorf("it holds until %d, not %d", again, until)
	}
	n.do(func() { n.knows(0) })
	if n.holds(t, 6*second) <= until {
		t.Error("the new address has spoken, and is not believed")
	}
}

// A watch that never spoke takes nothing away by its end: nothing hung on it.
func TestAWatchThatNeverSpokeTakesNothingAway(t *testing.T) {
	told := newTold(graceOfTests, 6*second)
	told.pushed, told.posted = true, 1
	told.apply(100 * second)
	if got := told.lost(0, false); got != 106*second {
		t.Errorf("holds until %d", got)
	}
	if got := told.lost(101*second, false); got != 101*second+graceOfTests {
		t.Errorf("holds until %d", got)
	}
}
