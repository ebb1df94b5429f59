package emulator

import (
	"testing"

	"dahliaford/internal/dispatch"
	"dahliaford/internal/endpoints"
	"dahliaford/internal/scheduler"
)

// A worker runs as many jobs as it has slots, queues some, and rejects the others. Its end kills them
// all, and it is listed again once it has started.
func TestWorkerAtCapacity(t *testing.T) {
	f := newIdleFleet(t, shortDay("calm"))
	w, n := f.workers[0], f.nodes[0]
	const jobs = 60 // of one slot: 14 run, 28 are queued
	for i := range jobs {
		req := &request{fleet: f, id: string(rune('A' + i)), number: i, outstanding: 1,
			job: &clientJob{slots: 1, work: float64(second)}}
		req.received()
		c := &conn{node: n, worker: w}
		c.Assign(scheduler.AttemptID(i+1), false)
		w.receive(c, req)
	}
	if w.usedSlots != 14 || len(w.queue) != 28 || f.tally.model.RejectedAtCapacity != jobs-42 {
		t.Errorf("%v run, %d queued, %d rejected", w.usedSlots, len(w.queue), f.tally.model.RejectedAtCapacity)
	}
	w.cancel("A")
	if w.usedSlots != 14 || len(w.queue) != 27 {
		t.Errorf("after a cancellation %v run and %d are queued", w.usedSlots, len(w.queue))
	}
	w.crash()
	f.runUntil(f.now + second)
	state := f.discovery.table.At(0).State
	if !w.idle() || state != endpoints.Removed || f.tally.model.KilledAttempts != 41 {
		t.Errorf("a dead worker has %d attempts and is listed as %s; %d killed", len(w.attempts), state,
			f.tally.model.KilledAttempts)
	}
	w.boot()
	f.runUntil(f.now + second)
	listed := workerList(f.discovery.table.Full()).Workers[0]
	if listed.UID != w.uid || listed.Status != dispatch.Ready || listed.Started != w.startedAt ||
		w.speedFraction() >= 1 {
		t.Errorf("after its start it is listed as %+v, with %v of its speed", listed, w.speedFraction())
	}
}
