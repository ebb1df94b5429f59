package node

import (
	"errors"
	"fmt"
	"os"
	"testing"
	"time"

	"dahliaford/internal/dispatch"
	"dahliaford/internal/scheduler"
)

// From when discovery has written an update until the loop has applied it nothing is sent, wherever the
// update is: in the socket, with the reader, or in the inbox.
func TestNoSendPastAnUnappliedUpdate(t *testing.T) {
	guard := newFreshnessGuard(500*millisecond, 6*second)
	clock := 100 * second
	ours, theirs := pair(t)
	reader, err := guard.newWatchReader(ours, func() scheduler.Micros { return clock })
	if err != nil {
		t.Fatal(err)
	}
	want := func(stage string, uid string, want error) {
		t.Helper()
		if got := guard.allowSend(uid, clock); !errors.Is(got, want) {
			t.Errorf("%s: %v, want %v", stage, got, want)
		}
	}
	buffer := make([]byte, 100)
	deliver := func(text string) {
		t.Helper()
		write(t, theirs, text)
		for guard.allowSend("r1", clock) == nil { // loopback takes a moment
			time.Sleep(time.Millisecond)
		}
	}
	want("nothing received yet", "r1", errStale)
	guard.countPosted(reader, clock)
	want("a first update in the inbox", "r1", errStale)
	guard.countApplied(clock)
	want("it is valid", "r1", nil)
	deliver("leaves r1\n")
	want("in the socket", "r1", errUnapplied)
	if n, err := reader.Read(buffer); err != nil || string(buffer[:n]) != "leaves r1\n" {
		t.Fatalf("read %q, %v", buffer[:n], err)
	}
	want("with the reader", "r1", errUnapplied)
	guard.countPosted(reader, clock)
	ours.SetReadDeadline(time.Now().Add(-time.Second))
	if _, err := reader.Read(buffer); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatalf("read more: %v", err)
	}
	want("in the inbox", "r1", errUnapplied)
	next := guard.nextChange()
	guard.setDraining("r1", true)
	guard.countApplied(clock)
	<-next
	want("applied", "r1", errDraining)
	want("applied", "r2", nil)
	guard.setDraining("r1", false)
	want("back", "r1", nil)
	if clock += 6*second + 1; !errors.Is(guard.allowSend("r1", clock), errStale) {
		t.Error("the list is valid for ever")
	}
	guard.countPosted(reader, clock)
	guard.countApplied(clock)
	want("received again", "r1", nil)
	guard.watchClosed(0, true)
	want("an update that cannot be read", "r1", errStale)
}

// The age of an update counts from when it may have been written, not from when it was read.
func TestUpdateAgeCountsFromTheEarliestWrite(t *testing.T) {
	guard := newFreshnessGuard(500*millisecond, 6*second)
	for name, c := range map[string]struct{ empty, read, want scheduler.Micros }{
		"read soon":               {100 * second, 100*second + 100*millisecond, 100*second + 100*millisecond},
		"half of the grace later": {100 * second, 102 * second, 100*second + 250*millisecond},
	} {
		if got := guard.countPosted(&watchReader{emptyAt: c.empty}, c.read); got != c.want {
			t.Errorf("%s: %d, want %d", name, got, c.want)
		}
	}
}

// A scheduler that sends nothing still observes its watch now and then, so that an update that arrives after
// a while is not taken for as old as the last send. An update that is unread is never skipped by that.
func TestIdleSchedulerObservesItsWatch(t *testing.T) {
	w := newWatchedWorld(t, false, 10*second)
	n, reader := w.node, (*watchReader)(nil)
	n.freshness.mu.Lock()
	for only := range n.freshness.readers {
		reader = only
	}
	began := reader.emptyAt
	n.freshness.mu.Unlock()
	if !eventually(func() bool { return reader.lastEmpty() >= began+2*second }) {
		t.Error("the watch is not observed")
	}
	guard := newFreshnessGuard(testGrace, 6*second)
	ours, theirs := pair(t)
	reader, err := guard.newWatchReader(ours, func() scheduler.Micros { return 100 * second })
	if err != nil {
		t.Fatal(err)
	}
	guard.observeReaders(101 * second)
	if got := guard.countPosted(reader, 102*second); got != 101*second+testGrace/2 {
		t.Errorf("the update counts from %d", got)
	}
	write(t, theirs, "leaves r1\n")
	if !eventually(func() bool { return !reader.empty() }) {
		t.Fatal("nothing arrives")
	}
	if guard.observeReaders(103 * second); reader.lastEmpty() != 101*second {
		t.Error("an unread update is skipped")
	}
}

// An attempt is in flight, with its connection up, as the update arrives that its worker drains. The attempt
// goes to the other worker, and the first one is not ejected as if it had failed.
func TestAttemptInFlightAvoidsADrainingWorker(t *testing.T) {
	w := newWorld(t, 0, "r1", "r2")
	n := w.node
	n.onLoop(func() {
		n.postPendingUpdate()
	})
	play(t, w, "c1 send job post a1 || work\nwait open 1")
	var first string
	for end := time.Now().Add(patience); first == "" && time.Now().Before(end); {
		n.onLoop(func() {
			for _, c := range n.attempts {
				first = map[string]string{w.peers["r1"].listener.Addr().String(): "r1",
					w.peers["r2"].listener.Addr().String(): "r2"}[c.addr]
			}
		})
	}
	other := map[string]string{"r1": "r2", "r2": "r1"}[first]
	n.onLoop(func() {
		draining := scheduler.Worker{UID: first, Addr: w.peers[first].listener.Addr().String(), Zone: "north",
			Kind: "m1", Status: dispatch.Draining}
		list := scheduler.WorkerList{Revision: 5, Workers: []scheduler.Worker{draining}}
		n.applyUpdate(t, watchUpdate{watch: n.watch,
			event: scheduler.EndpointsUpdated{List: list, AsOf: n.now() + 3600*second}})
	})
	play(t, w, other+" expect POST /post/7?a=b txn=a1 key=k body=work")
	received := w.peers[first].received
	if n := len(received); n > 1 || n == 1 && (<-received).text != "end" {
		t.Error("the draining worker got the attempt")
	}
}

// An update is applied before its reader has read again. A writer that asks between the two waits, and is
// woken when the reader has found nothing: another update may not arrive before the writer's time is over.
func TestWriterWakesOnceTheWatchIsDrained(t *testing.T) {
	guard := newFreshnessGuard(500*millisecond, 6*second)
	clock := 100 * second
	ours, theirs := pair(t)
	reader, err := guard.newWatchReader(ours, func() scheduler.Micros { return clock })
	if err != nil {
		t.Fatal(err)
	}
	write(t, theirs, "word\n")
	if _, err := reader.Read(make([]byte, 100)); err != nil {
		t.Fatal(err)
	}
	guard.countPosted(reader, clock)
	guard.countApplied(clock)
	next := guard.nextChange()
	if got := guard.allowSend("r1", clock); !errors.Is(got, errUnapplied) {
		t.Errorf("with the reader: %v", got)
	}
	ours.SetReadDeadline(time.Now().Add(-time.Second))
	if _, err := reader.Read(make([]byte, 100)); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatalf("read more: %v", err)
	}
	if got := guard.allowSend("r1", clock); got != nil {
		t.Errorf("the watch is drained: %v", got)
	}
	select {
	case <-next:
	default:
		t.Error("the writer that waits is not woken")
	}
}

// While the updates of a zone that is removed are applied, nothing is sent to any worker; the guard takes a
// worker for draining once its update is applied; and once all are applied the others may get attempts.
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
		asOf := n.freshness.countPosted(reader, n.now())
		return watchUpdate{watch: n.watch, event: scheduler.EndpointsUpdated{AsOf: asOf,
			List: scheduler.WorkerList{Revision: rev, Complete: complete, Workers: workers}}}
	}
	n.onLoop(func() {
		n.freshness.mu.Lock()
		clear(n.freshness.readers) // no updates but these
		n.freshness.mu.Unlock()
		if err := n.onWatchUpdate(update(10, true, all...)); err != nil {
			t.Error(err)
			return
		}
		if err := n.freshness.allowSend("z0", n.now()); err != nil {
			t.Errorf("the complete list is applied: %v", err)
		}
		updates := make([]watchUpdate, zone)
		for i := range updates {
			removed := all[i]
			removed.Status = dispatch.Removed
			updates[i] = update(11+int64(i), false, removed)
		}
		for i, m := range updates {
			for _, uid := range []string{all[i].UID, all[zone].UID} {
				if err := n.freshness.allowSend(uid, n.now()); !errors.Is(err, errUnapplied) {
					t.Errorf("%d of %d updates are applied, and for %s: %v", i, zone, uid, err)
					return
				}
			}
			if err := n.onWatchUpdate(m); err != nil {
				t.Error(err)
				return
			}
			if err := n.freshness.allowSend(all[i].UID, n.now()); !errors.Is(err, errDraining) {
				t.Errorf("%s is removed: %v", all[i].UID, err)
				return
			}
		}
		if err := n.freshness.allowSend(all[zone].UID, n.now()); err != nil {
			t.Errorf("all updates are applied: %v", err)
		}
	})
}
