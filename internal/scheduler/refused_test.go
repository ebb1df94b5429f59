package scheduler

import (
	"fmt"
	"strings"
	"testing"

	"dahliaford/internal/dispatch"
)

// floodSize is the number of requests that the bad clients of these tests submit.
const floodSize = 100_000

// flood submits requests that end without an attempt, each with a new id and 50 us after the one before, and
// calls end after each of them.
func flood(w *harness, class string, timeout Micros, end func(caller CallerID)) {
	var effects []Effect
	for i := range floodSize {
		w.now += 50
		caller := CallerID(1000 + i)
		effects = w.scheduler.Step(w.now, Submitted{Caller: caller, RequestID: fmt.Sprint("flood", i), Class: class,
			Tenant: "sahel", Deadline: w.now + timeout}, effects[:0])
		end(caller)
	}
}

// endsWithoutAttempt are the ways in which a request can end before any attempt of it begins.
var endsWithoutAttempt = map[string]struct {
	timeout Micros
	end     func(w *harness, caller CallerID)
}{
	// A client that does not wait at all is answered at once.
	"refused at once": {0, func(*harness, CallerID) {}},
	"client disconnects": {20 * second, func(w *harness, caller CallerID) {
		w.scheduler.Step(w.now, ClientDisconnected{Caller: caller}, nil)
	}},
}

// Guards against a scheduler that exceeds its memory limit because bad clients have thousands of requests a
// second refused: nothing of a request may be kept once it has ended without an attempt. The records that
// once were kept are its id, until its deduplication window had ended, and the timer of its deadline.
func TestRequestsWithoutAnAttemptLeaveNoRecords(t *testing.T) {
	for _, class := range []string{"post", "batch"} {
		for name, way := range endsWithoutAttempt {
			t.Run(name+", "+class, func(t *testing.T) {
				w := newHarness(t)
				w.sendUpdate(0, dispatch.Draining, "r1") // Without a ready worker no attempt begins.
				flood(w, class, way.timeout, func(caller CallerID) { way.end(w, caller) })
				got := w.scheduler.Stats()
				if n := w.scheduler.Submitted(); n != floodSize {
					t.Fatalf("%d requests were submitted, want %d", n, floodSize)
				}
				if got.ReservedIDs != 0 || got.Timers > minTimerSweep || got.Callers != 0 || got.IDs != 0 ||
					got.Jobs != 0 || got.DispatcherJobs != 0 {
					t.Errorf("%d requests that ended without an attempt left %+v, want at most %d timers and nothing else",
						floodSize, got, minTimerSweep)
				}
				if all := len(w.scheduler.timers); all > 2*minTimerSweep {
					t.Errorf("there are %d timers with those of the dispatcher, want at most %d", all, 2*minTimerSweep)
				}
			})
		}
	}
}

// Guards against the loss of timers that are still needed when obsolete ones are dropped: a request that is
// open during a flood of refused ones is still answered at its deadline, and its attempt cancelled.
func TestOpenRequestKeepsItsTimersInAFlood(t *testing.T) {
	w := newHarness(t)
	w.runScript(t, `
		discovery send
		c1 send open batch sahel 20s
		r1 expect open payload written in 250ms done in 19.996s
		r1 send accepted open
		r1 send started open`)
	flood(w, "post", 0, func(CallerID) {})
	w.runScript(t, `
		wait 15500ms
		r1 expect cancel open
		c1 expect failed`)
}

// Guards against clients that send large jobs and leave, while their workers do not acknowledge: what a
// worker may still hold is recorded until its cancellation or its attempt ends, but without the body of the
// request.
func TestRequestOfADisconnectedClientKeepsNoPayload(t *testing.T) {
	for _, cancelAllowed := range []bool{true, false} {
		t.Run(fmt.Sprint("cancel allowed ", cancelAllowed), func(t *testing.T) {
			set := parseSettings(t, testSettings)
			set.Dispatch.CancelAllowed = cancelAllowed
			w := newHarnessWithSettings(t, set)
			w.runScript(t, `
				c1 send a1 batch sahel 20s
				r1 expect a1 payload written in 250ms done in 19.996s
				r1 send accepted a1`)
			a := w.scheduler.byAttempt[w.latestAttempt["a1"]]
			w.step(ClientDisconnected{Caller: a.request.caller})
			if open := w.scheduler.cancellations[a.id] != nil; open != cancelAllowed || a.ended != cancelAllowed {
				t.Fatalf("the attempt has ended %v, its cancellation is open %v; want %v", a.ended, open, cancelAllowed)
			}
			if a.request.payload != nil {
				t.Errorf("the request of a disconnected client keeps its payload %v, want none", a.request.payload)
			}
		})
	}
}

// Guards against clients that fill the scheduler's memory with long ids, or with more ids than any fleet
// uses: the set of used ids has a bound that depends on neither, and always has the latest ids.
func TestUsedIDsAreBounded(t *testing.T) {
	longID := strings.Repeat("x", 16<<10)
	var ids recentIDs
	dropped := 0
	for i := range 3 * maxGenerationIDs {
		if ids.add(Micros(i), fmt.Sprint(i)) {
			dropped++
		}
	}
	ids.add(0, longID)
	if got := ids.size(); got > 2*maxGenerationIDs {
		t.Errorf("the set has %d ids, want at most %d", got, 2*maxGenerationIDs)
	}
	if dropped != 1 {
		t.Errorf("%d calls of add reported dropped ids, want 1: only the third generation drops the first", dropped)
	}
	for i := 2*maxGenerationIDs + 1; i < 3*maxGenerationIDs; i++ {
		if !ids.has(fmt.Sprint(i)) {
			t.Fatalf("id %d of %d is forgotten, want the latest %d kept", i, 3*maxGenerationIDs, maxGenerationIDs)
		}
	}
	if !ids.has(longID) || ids.has(longID+"x") || ids.has("0") {
		t.Error("the set has to have the long id, and neither another long id nor the first id")
	}
	if ids.remove(longID); ids.has(longID) {
		t.Error("the set still has the id that was removed")
	}
}
