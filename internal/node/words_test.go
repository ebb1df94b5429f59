package node

import (
	"fmt"
	"testing"

	"dahliaford/internal/dispatch"
	"dahliaford/internal/scheduler"
)

// While the words of a zone that goes are taken in, nothing leaves for any worker, one that has been
// told off stays so for the last look, and once all are taken in the others may have their attempts.
func TestNothingLeavesWhileAZonesWordsAreTakenIn(t *testing.T) {
	const zone, rest = 514, 30
	w := newWorld(t, 0, "r1")
	n, now := w.node, w.node.now()
	all := make([]scheduler.Worker, zone+rest)
	for i := range all {
		all[i] = scheduler.Worker{UID: fmt.Sprint("z", i), Addr: fmt.Sprintf("127.0.0.9:%d", 1000+i),
			Zone: "north", Kind: "m1", Status: dispatch.Ready}
	}
	tap := &tap{emptyAt: now}
	word := func(rev int64, whole bool, workers ...scheduler.Worker) listWord {
		return listWord{watch: n.watch, event: scheduler.EndpointsUpdated{AsOf: n.told.post(tap, n.now()),
			List: scheduler.WorkerList{Rev: rev, Complete: whole, Workers: workers}}}
	}
	n.do(func() {
		n.told.mu.Lock()
		clear(n.told.taps) // no words but these
		n.told.mu.Unlock()
		if err := n.watchSaid(word(10, true, all...)); err != nil {
			t.Error(err)
			return
		}
		if err := n.told.may("z0", n.now()); err != nil {
			t.Errorf("the whole list is taken in: %v", err)
		}
		words := make([]listWord, zone)
		for i := range words {
			gone := all[i]
			gone.Status = dispatch.Removed
			words[i] = word(11+int64(i), false, gone)
		}
		for i, m := range words {
			for _, uid := range []string{all[i].UID, all[zone].UID} {
				if err := n.told.may(uid, n.now()); err != errUnread {
					t.Errorf("%d of %d words are taken in, and for %s: %v", i, zone, uid, err)
					return
				}
			}
			if err := n.watchSaid(m); err != nil {
				t.Error(err)
				return
			}
			if err := n.told.may(all[i].UID, n.now()); err != errLeaves {
				t.Errorf("%s has been told off: %v", all[i].UID, err)
				return
			}
		}
		if err := n.told.may(all[zone].UID, n.now()); err != nil {
			t.Errorf("all words are taken in: %v", err)
		}
	})
}
