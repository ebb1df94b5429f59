package emulator

import (
	"strings"
	"testing"

	"dahliaford/internal/endpoints"
)

// Discovery answers with what changed since a revision, or with the full list if it does not know.
func TestChangesSinceRevision(t *testing.T) {
	f := newIdleFleet(t, shortDay("calm"))
	d := f.discovery
	for _, i := range []int{4, 2, 4} {
		state := endpoints.Draining
		if d.table.At(i).State == state {
			state = endpoints.Ready
		}
		d.setState(f.workers[i], state)
		f.runUntil(f.now + batchInterval)
	}
	if rev := d.table.Revision(); rev != 4 {
		t.Fatalf("revision %d after three changes", rev)
	}
	for rev, want := range map[int64]string{0: "full", 1: "w2 w4", 2: "w2 w4", 3: "w4", 4: "", 9: "full"} {
		got := "full"
		if list := workerList(d.table.Since(rev)); !list.Complete {
			var names []string
			for _, w := range list.Workers {
				names = append(names, map[string]string{f.workers[2].uid: "w2", f.workers[4].uid: "w4"}[w.UID])
			}
			got = strings.Join(names, " ")
		} else if len(list.Workers) != len(f.workers) {
			t.Errorf("%d of %d workers in the full list", len(list.Workers), len(f.workers))
		}
		if got != want {
			t.Errorf("since %d: %q, want %q", rev, got, want)
		}
	}
	d.restart(second)
	f.runUntil(f.now + second)
	if !d.table.Since(4).Complete || d.table.Since(5).Complete {
		t.Error("after a restart it should know of no change before")
	}
}

// Calls are processed one after the other, and those that would wait too long are refused.
func TestCallsAreQueued(t *testing.T) {
	f := newIdleFleet(t, shortDay("calm"))
	d, n := f.discovery, f.nodes[0]
	const calls = 600
	var all []*watch
	for range calls {
		s := &watch{node: n, released: true}
		all = append(all, s)
		d.handleCall(s, 0)
	}
	timePerCall := callTime + Micros(float64(messageBytes(workerList(d.table.Full())))/bytesPerMicro)
	fit := int(maxCallWait/timePerCall) + 1
	if got := d.fleet.tally.discovery; got.FullLists != fit || got.RefusedCalls != calls-fit {
		t.Errorf("%d answered, %d refused of %d; want %d answered", got.FullLists, got.RefusedCalls, calls, fit)
	}
	f.runUntil(f.now + maxCallWait/2)
	if open := len(d.watches); open < fit/2-2 || open > fit/2+2 {
		t.Errorf("%d of %d open after half of the time", open, fit)
	}
	d.restart(second)
	if len(d.watches)+len(d.queuedCalls) != 0 || all[0].connected {
		t.Error("watches stay open over a restart")
	}
	f.runUntil(f.now + 3*maxCallWait)
	if len(d.watches) != 0 {
		t.Error("a call from before the restart is answered after it")
	}
}
