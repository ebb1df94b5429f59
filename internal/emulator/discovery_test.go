package emulator

import (
	"strings"
	"testing"

	"dahliaford/internal/endpoints"
)

// Discovery answers a call with the changes since the requested revision. It answers with the full list if
// the revision is unknown, or if a restart has erased the history of changes.
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
		t.Fatalf("the revision after three changes is %d, want 4", rev)
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
			t.Errorf("the full list has %d workers, want %d", len(list.Workers), len(f.workers))
		}
		if got != want {
			t.Errorf("changes since revision %d: got %q, want %q", rev, got, want)
		}
	}
	d.restart(second)
	f.runUntil(f.now + second)
	if !d.table.Since(4).Complete || d.table.Since(5).Complete {
		t.Error("after a restart, got changes since revision 4 or a full list since 5; want the reverse")
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
		t.Errorf("%d calls answered, %d refused of %d calls; want %d answered and the others refused",
			got.FullLists, got.RefusedCalls, calls, fit)
	}
	f.runUntil(f.now + maxCallWait/2)
	if open := len(d.watches); open < fit/2-2 || open > fit/2+2 {
		t.Errorf("%d watches open of %d answered calls after half of the longest wait, want about half", open, fit)
	}
	d.restart(second)
	if len(d.watches)+len(d.queuedCalls) != 0 || all[0].connected {
		t.Error("watches are open or calls are queued after a restart of discovery, want none")
	}
	f.runUntil(f.now + 3*maxCallWait)
	if len(d.watches) != 0 {
		t.Error("discovery answers a call from before its restart after the restart, want no answer")
	}
}
