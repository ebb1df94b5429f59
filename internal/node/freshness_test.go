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

// The freshness guard rejects attempts from the moment when discovery has written an update until the event
// loop has applied the update, while the update is in the socket, with the watch's reader and in the inbox.
func TestNoSendPastAnUnappliedUpdate(t *testing.T) {
	guard := newFreshnessGuard(500*millisecond, 6*second)
	clock := 100 * second
	ours, theirs := loopbackPair(t)
	reader, err := guard.newWatchReader(ours, func() scheduler.Micros { return clock })
	if err != nil {
		t.Fatal(err)
	}
	want := func(stage string, uid string, want error) {
		t.Helper()
		if got := guard.allowSend(uid, clock); !errors.Is(got, want) {
			t.Errorf("%s: allowSend returned %v, want %v", stage, got, want)
		}
	}
	buffer := make([]byte, 100)
	deliver := func(text string) {
		t.Helper()
		write(t, theirs, text)
		// The loop waits until the text has arrived over loopback, which makes allowSend return an error.
		for guard.allowSend("r1", clock) == nil {
			time.Sleep(time.Millisecond)
		}
	}
	want("no update received yet", "r1", errListStale)
	guard.countPosted(reader, clock)
	want("first update in the inbox", "r1", errListStale)
	guard.countApplied(clock)
	want("first update applied", "r1", nil)
	deliver("leaves r1\n")
	want("update in the socket", "r1", errUpdatePending)
	if n, err := reader.Read(buffer); err != nil || string(buffer[:n]) != "leaves r1\n" {
		t.Fatalf("the watch reader's first read returned %q and error %v, want the written line and no error",
			buffer[:n], err)
	}
	want("update with the reader", "r1", errUpdatePending)
	guard.countPosted(reader, clock)
	ours.SetReadDeadline(time.Now().Add(-time.Second))
	if _, err := reader.Read(buffer); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatalf("Read of an empty socket after its deadline returned error %v, want a deadline error", err)
	}
	want("update in the inbox", "r1", errUpdatePending)
	next := guard.nextChange()
	guard.setDraining("r1", true)
	guard.countApplied(clock)
	<-next
	want("applied", "r1", errWorkerDraining)
	want("applied", "r2", nil)
	guard.setDraining("r1", false)
	want("back", "r1", nil)
	if clock += 6*second + 1; !errors.Is(guard.allowSend("r1", clock), errListStale) {
		t.Error("maxStaleness after the last update of the worker list, allowSend did not return errListStale")
	}
	guard.countPosted(reader, clock)
	guard.countApplied(clock)
	want("another update applied", "r1", nil)
	guard.watchClosed(0, true)
	want("watch closed by an unreadable update", "r1", errListStale)
}

// The age of a worker list update counts from the earliest time at which discovery can have written the
// update, not from the time at which the update was read.
func TestUpdateAgeCountsFromTheEarliestWrite(t *testing.T) {
	guard := newFreshnessGuard(500*millisecond, 6*second)
	for name, c := range map[string]struct{ empty, read, want scheduler.Micros }{
		"read soon":             {100 * second, 100*second + 100*millisecond, 100*second + 100*millisecond},
		"capped by drain grace": {100 * second, 102 * second, 100*second + 250*millisecond},
	} {
		if got := guard.countPosted(&watchReader{lastEmptyAt: c.empty}, c.read); got != c.want {
			t.Errorf("%s: countPosted says that the update covers changes up to the time %d us, want %d us",
				name, got, c.want)
		}
	}
}

// A scheduler that sends no attempts still checks periodically whether its watch's socket is empty. Otherwise
// the guard would have to assume that discovery wrote the next update right after the last attempt. The check
// must not record an empty socket while an update is unread.
func TestIdleSchedulerObservesItsWatch(t *testing.T) {
	w := newWatchHarness(t, false, 10*second)
	n, reader := w.node, (*watchReader)(nil)
	n.freshness.mu.Lock()
	for only := range n.freshness.readers {
		reader = only
	}
	began := reader.lastEmptyAt
	n.freshness.mu.Unlock()
	if !eventually(func() bool { return reader.lastEmpty() >= began+2*second }) {
		t.Error("an idle node did not check its watch's socket again, 2 s or more later, within testTimeout")
	}
	guard := newFreshnessGuard(testGrace, 6*second)
	ours, theirs := loopbackPair(t)
	reader, err := guard.newWatchReader(ours, func() scheduler.Micros { return 100 * second })
	if err != nil {
		t.Fatal(err)
	}
	guard.checkReaders(101 * second)
	if got := guard.countPosted(reader, 102*second); got != 101*second+testGrace/2 {
		t.Errorf("the update covers changes up to the time %d us, want 101 s plus half of the drain grace", got)
	}
	write(t, theirs, "leaves r1\n")
	if !eventually(func() bool { return !reader.empty() }) {
		t.Fatal("the written line did not arrive at the watch's socket")
	}
	if guard.checkReaders(103 * second); reader.lastEmpty() != 101*second {
		t.Error("checkReaders at 103 s, update unread: got a new time of the last empty socket, want still 101 s")
	}
}

// While an attempt waits on its open connection, an update arrives which says that the attempt's worker
// drains. The attempt must be sent to the other worker, and the draining worker must not be ejected as if it
// had failed.
func TestAttemptInFlightAvoidsADrainingWorker(t *testing.T) {
	w := newHarness(t, 0, "r1", "r2")
	n := w.node
	n.onLoop(func() {
		n.postPendingUpdate()
	})
	runScenario(t, w, "c1 send job post a1 || work\nwait open 1")
	var first string
	for end := time.Now().Add(testTimeout); first == "" && time.Now().Before(end); {
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
	runScenario(t, w, other+" expect POST /post/7?a=b txn=a1 key=k body=work")
	received := w.peers[first].received
	if n := len(received); n > 1 || n == 1 && (<-received).text != "end" {
		t.Error("the draining worker received the attempt, want nothing but the end of the connection")
	}
}

// The event loop may apply an update before the watch's reader has called Read again. A writer that asks the
// guard between the two events has to wait. The guard must wake the writer when the reader finds the socket
// empty, and not only at the next update, which may arrive after the writer's time limit.
func TestWriterWakesOnceTheWatchIsDrained(t *testing.T) {
	guard := newFreshnessGuard(500*millisecond, 6*second)
	clock := 100 * second
	ours, theirs := loopbackPair(t)
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
	if got := guard.allowSend("r1", clock); !errors.Is(got, errUpdatePending) {
		t.Errorf("before the watch's reader reads again: allowSend returned %v, want errUpdatePending", got)
	}
	ours.SetReadDeadline(time.Now().Add(-time.Second))
	if _, err := reader.Read(make([]byte, 100)); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatalf("Read of an empty socket after its deadline returned error %v, want a deadline error", err)
	}
	if got := guard.allowSend("r1", clock); got != nil {
		t.Errorf("after the watch's reader found the socket empty: allowSend returned %v, want nil", got)
	}
	select {
	case <-next:
	default:
		t.Error("the channel of nextChange is open though the watch's socket is empty, want waiting writers woken")
	}
}

// A zone is removed by one update for each of its workers. While an update has arrived but is not applied,
// the freshness guard rejects attempts to all workers. The guard reports a worker as draining once that
// worker's update is applied. After the last update the remaining workers may get attempts.
func TestNoSendWhileZoneUpdatesAreApplied(t *testing.T) {
	const zone, rest = 514, 30
	w := newHarness(t, 0, "r1")
	n, now := w.node, w.node.now()
	all := make([]scheduler.Worker, zone+rest)
	for i := range all {
		all[i] = scheduler.Worker{UID: fmt.Sprint("z", i), Addr: fmt.Sprintf("127.0.0.9:%d", 1000+i),
			Zone: "north", Kind: "m1", Status: dispatch.Ready}
	}
	reader := &watchReader{lastEmptyAt: now}
	update := func(rev int64, complete bool, workers ...scheduler.Worker) watchUpdate {
		asOf := n.freshness.countPosted(reader, n.now())
		return watchUpdate{watch: n.watch, event: scheduler.EndpointsUpdated{AsOf: asOf,
			List: scheduler.WorkerList{Revision: rev, Complete: complete, Workers: workers}}}
	}
	n.onLoop(func() {
		n.freshness.mu.Lock()
		clear(n.freshness.readers) // Without watch readers only the updates of this test affect the guard.
		n.freshness.mu.Unlock()
		if err := n.onWatchUpdate(update(10, true, all...)); err != nil {
			t.Error(err)
			return
		}
		if err := n.freshness.allowSend("z0", n.now()); err != nil {
			t.Errorf("after the complete worker list was applied: allowSend returned %v, want nil", err)
		}
		updates := make([]watchUpdate, zone)
		for i := range updates {
			removed := all[i]
			removed.Status = dispatch.Removed
			updates[i] = update(11+int64(i), false, removed)
		}
		for i, m := range updates {
			for _, uid := range []string{all[i].UID, all[zone].UID} {
				if err := n.freshness.allowSend(uid, n.now()); !errors.Is(err, errUpdatePending) {
					t.Errorf("after %d of %d applied updates: allowSend for worker %s returned %v, want errUpdatePending",
						i, zone, uid, err)
					return
				}
			}
			if err := n.onWatchUpdate(m); err != nil {
				t.Error(err)
				return
			}
			if err := n.freshness.allowSend(all[i].UID, n.now()); !errors.Is(err, errWorkerDraining) {
				t.Errorf("after the removal of the worker %s: allowSend returned %v, want errWorkerDraining",
					all[i].UID, err)
				return
			}
		}
		if err := n.freshness.allowSend(all[zone].UID, n.now()); err != nil {
			t.Errorf("after all updates were applied: allowSend for a remaining worker returned %v, want nil", err)
		}
	})
}
