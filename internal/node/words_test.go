package node

import (
	"fmt"
	"testing"

	"dahliaford/internal/dispatch"
	"dahliaford/internal/scheduler"
)

// While the words of a zone that goes are taken in, nothing leaves for any worker, one that has been
// told off stays so for the last look, and once all are taken in the others may have their attempts.
func TestNoSendWhileZoneUpdatesAreApplied(t *testing.T) {
	const zone, rest = 514, 30
	w := newWorld(t, 0, "r1")
	n, now := w.node, w.node.now()
	all := make([]scheduler.Worker, zone+rest)
	for i := range all {
		all[i] = scheduler.Worker{UID: fmt.Sprint("z", i), Addr: fmt.Sprintf("127.0.0.9:%d", 1000+i),
			Zone: "north", Kind: "m1", Status: dispatch.Ready}
	}
	reader := &watchReader{emptyAt: now}
	update := func(rev int64, complete bool, workers ...scheduler.Worker) watchUpdate {
		return watchUpdate{watch: n.watch, event: scheduler.EndpointsUpdated{AsOf: n.freshness.countPosted(reader, n.now()),
			List: scheduler.WorkerList{Rev: rev, Complete: complete, Workers: workers}}}
	}
	n.onLoop(func() {
		n.freshness.mu.Lock()
		clear(n.freshness.readers) // no words but these
		n.freshness.mu.Unlock()
		if err := n.onWatchUpdate(update(10, true, all...)); err != nil {
			t.Error(err)
			return
		}
		if err := n.freshness.allowSend("z0", n.now()); err != nil {
			t.Errorf("the whole list is taken in: %v", err)
		}
		updates := make([]watchUpdate, zone)
		for i := range updates {
			removed := all[i]
			removed.Status = dispatch.Removed
			updates[i] = update(11+int64(i), false, removed)
		}
		for i, m := range updates {
			for _, uid := range []string{all[i].UID, all[zone].UID} {
				if err := n.freshness.allowSend(uid, n.now()); err != errUnapplied {
					t.Errorf("%d of %d words are taken in, and for %s: %v", i, zone, uid, err)
					return
				}
			}
			if err := n.onWatchUpdate(m); err != nil {
				t.Error(err)
				return
			}
			if err := n.freshness.allowSend(all[i].UID, n.now()); err != errDraining {
				t.Errorf("%s has been told off: %v", all[i].UID, err)
				return
			}
		}
		if err := n.freshness.allowSend(all[zone].UID, n.now()); err != nil {
			t.Errorf("all words are taken in: %v", err)
		}
	})
}
