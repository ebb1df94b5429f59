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

// From when on discovery has written a word until the loop has dealt with it, nothing leaves,
// wherever the word is: in the socket, with the reader, in the inbox.
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
	want("nothing heard yet", "r1", errStale)
	guard.countPosted(reader, clock)
	want("a first word in the inbox", "r1", errStale)
	guard.countApplied(clock)
	want("it holds", "r1", nil)
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
		t.Error("it holds for ever")
	}
	guard.countPosted(reader, clock)
	guard.countApplied(clock)
	want("heard again", "r1", nil)
	guard.watchClosed(0, true)
	want("a word that cannot be read", "r1", errStale)
}

// How old a word is counts from when it may have been written, not from when it was read.
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

// A scheduler that sends nothing looks at its watch now and then all the same, so a word that comes
// after a while is not taken for as old as the last leave of an attempt; but never past what lies unread.
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
		t.Error("nobody looks")
	}
	guard := newFreshnessGuard(testGrace, 6*second)
	ours, theirs := pair(t)
	reader, err := guard.newWatchReader(ours, func() scheduler.Micros { return 100 * second })
	if err != nil {
		t.Fatal(err)
	}
	guard.observeReaders(101 * second)
	if got := guard.countPosted(reader, 102*second); got != 101*second+testGrace/2 {
		t.Errorf("a word is taken for %d", got)
	}
	write(t, theirs, "leaves r1\n")
	if !eventually(func() bool { return !reader.empty() }) {
		t.Fatal("nothing comes")
	}
	if guard.observeReaders(103 * second); reader.lastEmpty() != 101*second {
		t.Error("what lies unread is looked past")
	}
}

// An attempt is on its way, connected and all, as the word comes that its worker leaves. It goes to
// the other one, and the worker is not set aside as if it had failed.
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
		n.applyUpdate(t, watchUpdate{watch: n.watch, event: scheduler.EndpointsUpdated{List: scheduler.WorkerList{Rev: 5,
			Workers: []scheduler.Worker{draining}}, AsOf: n.now() + 3600*second}})
	})
	play(t, w, other+" expect POST /post/7?a=b txn=a1 key=k body=work")
	received := w.peers[first].received
	if n := len(received); n > 1 || n == 1 && (<-received).text != "end" {
		t.Error("the leaving worker got the attempt")
	}
}

// A word is dealt with before its reader has looked for more. A writer that asks between the two waits,
// and is told when the reader has found nothing: no other word may come before its time is over.
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
		t.Errorf("nothing is left to read: %v", got)
	}
	select {
	case <-next:
	default:
		t.Error("who waits is not told")
	}
}

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
				if err := n.freshness.allowSend(uid, n.now()); !errors.Is(err, errUnapplied) {
					t.Errorf("%d of %d words are taken in, and for %s: %v", i, zone, uid, err)
					return
				}
			}
			if err := n.onWatchUpdate(m); err != nil {
				t.Error(err)
				return
			}
			if err := n.freshness.allowSend(all[i].UID, n.now()); !errors.Is(err, errDraining) {
				t.Errorf("%s has been told off: %v", all[i].UID, err)
				return
			}
		}
		if err := n.freshness.allowSend(all[zone].UID, n.now()); err != nil {
			t.Errorf("all words are taken in: %v", err)
		}
	})
}
