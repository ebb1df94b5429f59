package scheduler

import (
	"slices"
	"testing"

	"dahliaford/internal/dispatch"
)

// A worker that was told to leave does not come back by a word that may be older than that one.
func TestNoOlderWordBringsALeavingWorkerBack(t *testing.T) {
	ready, leaves := line("r1", dispatch.Ready), line("r1", dispatch.Draining)
	gone := line("r1", dispatch.Removed)
	restarted, other := ready, line("r2", dispatch.Ready)
	restarted.Started = 5 * second
	word := func(rev int64, all bool, r ...Worker) Event { return EndpointsUpdated{List: WorkerList{rev, all, r}} }
	moved, left := Reloaded{Discovery: "d2"}, word(9, false, leaves)
	old := EndpointsUpdated{List: WorkerList{9, false, []Worker{leaves}}, FromPreviousWatch: true}
	for name, c := range map[string]struct {
		words []Event
		back  bool // at once
		later bool // once its leave would be known there, too
	}{
		"a newer change":             {[]Event{left, word(10, false, ready)}, true, true},
		"a newer whole list":         {[]Event{left, word(10, true, ready)}, true, true},
		"it has started since":       {[]Event{left, moved, word(3, true, restarted)}, true, true},
		"an older change":            {[]Event{left, word(8, false, ready)}, false, false},
		"the same said again":        {[]Event{left, word(9, false, ready)}, false, true},
		"a service that counts anew": {[]Event{left, word(3, true, ready)}, false, true},
		"an address knows less":      {[]Event{left, moved, word(12, true, ready)}, false, true},
		"one that is gone, likewise": {[]Event{word(9, false, gone), moved, word(12, true, ready)}, false, true},
		"missing, and back":          {[]Event{word(9, true, other), moved, word(12, true, ready)}, false, true},
		"the one before knows more":  {[]Event{moved, old, word(12, true, ready)}, false, true},
		"gone, offered, and gone again": {[]Event{word(9, false, gone), moved, word(12, true, ready, other),
			word(13, true, other)}, false, false},
		"offered, and told off there": {[]Event{left, moved, word(3, true, ready), moved, old}, false,
			false},
		"a leave that comes late": {[]Event{word(9, false, ready), word(8, false, leaves)}, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t)
			w.s.set.Dispatch.MaxStaleness = 6 * second
			w.step(word(7, true, ready, other))
			for _, e := range c.words {
				w.now += second / 10
				w.step(e)
			}
			for _, at := range []struct {
				when string
				want bool
			}{{"at once", c.back}, {"after a while", c.later}} {
				if got := w.s.workers["r1"].Status == dispatch.Ready; got != at.want {
					t.Errorf("back %s: %v, want %v", at.when, got, at.want)
				}
				w.now += 6 * second
				w.step(EndpointsUpdated{})
			}
		})
	}
}

// A word that comes late through sockets and inboxes is as old as it is, also for the module
// that asks whether the list is alive.
func TestAnOldWordDoesNotPassForNew(t *testing.T) {
	w := newWorld(t)
	w.step(EndpointsUpdated{AsOf: w.now - second})
	if w.s.knownAt != w.now-second {
		t.Errorf("known at %d, want %d", w.s.knownAt, w.now-second)
	}
	w.now += second
	w.step(EndpointsUpdated{})
	if w.s.knownAt != w.now {
		t.Errorf("known at %d, want %d", w.s.knownAt, w.now)
	}
}

// Two workers of one address, as after a replacement in place: each comes and goes by its own name.
func TestTwoWorkersOfOneAddress(t *testing.T) {
	for _, whole := range []bool{false, true} {
		w := newWorld(t)
		r1, r2 := line("r1", dispatch.Ready), line("r2", dispatch.Ready)
		r2.Addr = r1.Addr
		w.step(EndpointsUpdated{List: WorkerList{2, true, []Worker{r1, r2}}})
		if r1.Status = dispatch.Removed; whole {
			w.now += second
			w.step(EndpointsUpdated{List: WorkerList{3, true, []Worker{r2}}})
		} else {
			w.now += second
			w.step(EndpointsUpdated{List: WorkerList{3, false, []Worker{r1}}})
		}
		got := w.s.Step(w.now, Submitted{Caller: 9, ID: "a9", Class: "post", Tenant: "sahel",
			Deadline: w.now + 5*second}, nil)
		i := slices.IndexFunc(got, func(e Effect) bool { _, is := e.(SendAttempt); return is })
		if i < 0 || got[i].(SendAttempt).UID != "r2" || got[i].(SendAttempt).Addr != r2.Addr {
			t.Errorf("by a whole list %v: %+v, want a9 sent to r2", whole, got)
		}
		one, two := w.s.workers["r1"].Status, w.s.workers["r2"].Status
		if one != dispatch.Removed || two != dispatch.Ready {
			t.Errorf("by a whole list %v: r1 is %d, r2 is %d", whole, one, two)
		}
	}
}
