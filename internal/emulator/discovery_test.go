package emulator

import (
	"strings"
	"testing"

	"dahliaford/internal/endpoints"
)

// Discovery answers a call that opens a watch with the changes of the worker list since the requested
// revision. The answer is the full list if the revision is unknown, or if a restart has erased the history of
// changes.
func TestChangesSinceRevision(t *testing.T) {
	f := newIdleFleet(t, shortRun("calm"))
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
		t.Fatalf("the worker list has revision %d after three published changes, want 4, as it starts at 1", rev)
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
			t.Errorf("the full worker list of discovery has %d workers, want %d", len(list.Workers), len(f.workers))
		}
		if got != want {
			t.Errorf("discovery lists the workers changed since revision %d as %q, want %q", rev, got, want)
		}
	}
	d.restart(second)
	f.runUntil(f.now + second)
	if !d.table.Since(4).Complete || d.table.Since(5).Complete {
		t.Error("after a restart, discovery has no full list for revision 4 or has one for 5; want one for 4 only")
	}
}

// Discovery processes one call at a time and refuses the calls that would wait longer than maxCallWait. A
// restart closes the open watches and drops the queued calls.
func TestCallsAreQueued(t *testing.T) {
	f := newIdleFleet(t, shortRun("calm"))
	d, n := f.discovery, f.nodes[0]
	const calls = 600
	var all []*watch
	for range calls {
		s := &watch{node: n, released: true}
		all = append(all, s)
		d.handleCall(s, 0)
	}
	timePerCall := callProcessingTime +
		Micros(float64(messageBytes(workerList(d.table.Full())))/listBytesPerMicro)
	fit := int(maxCallWait/timePerCall) + 1
	if got := d.fleet.tally.discovery; got.FullLists != fit || got.RefusedCalls != calls-fit {
		t.Errorf("discovery answered %d and refused %d of %d calls; want %d answered, which wait at most 2 s",
			got.FullLists, got.RefusedCalls, calls, fit)
	}
	f.runUntil(f.now + maxCallWait/2)
	if open := len(d.watches); open < fit/2-2 || open > fit/2+2 {
		t.Errorf("discovery has %d open watches after half of maxCallWait, want half of %d answered calls, +/- 2",
			open, fit)
	}
	d.restart(second)
	if len(d.watches)+len(d.queuedCalls) != 0 || all[0].connected {
		t.Error("discovery has open watches or queued calls after its restart, want none")
	}
	f.runUntil(f.now + 3*maxCallWait)
	if len(d.watches) != 0 {
		t.Error("discovery opens a watch after its restart for a call from before the restart, want no watch")
	}
}
