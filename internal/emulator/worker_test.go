package emulator

import (
	"testing"

	"dahliaford/internal/dispatch"
	"dahliaford/internal/endpoints"
	"dahliaford/internal/scheduler"
)

// A worker runs as many attempts as fit into its slots, queues attempts up to the capacity of its queue, and
// rejects further attempts. The end of the worker's process kills all attempts and removes the worker from
// the worker list. After a restart the worker is listed again.
func TestWorkerAtCapacity(t *testing.T) {
	f := newIdleFleet(t, shortRun("calm"))
	w, n := f.workers[0], f.nodes[0]
	const jobs = 60 // each job takes one slot; 14 jobs run and 28 are queued
	for i := range jobs {
		req := &request{fleet: f, id: string(rune('A' + i)), number: i, outstanding: 1,
			job: &clientJob{slots: 1, work: float64(second)}}
		req.recordReceipt()
		c := &conn{node: n, worker: w}
		c.Assign(scheduler.AttemptID(i+1), false)
		w.receive(c, req)
	}
	if w.usedSlots != 14 || len(w.queue) != 28 || f.tally.model.RejectedAtCapacity != jobs-42 {
		t.Errorf("the worker has %v used slots, %d queued and %d rejected attempts of 60; want 14, 28 and 18",
			w.usedSlots, len(w.queue), f.tally.model.RejectedAtCapacity)
	}
	w.cancel("A")
	if w.usedSlots != 14 || len(w.queue) != 27 {
		t.Errorf("after a cancellation the worker has %v used slots and %d queued attempts, want 14 and 27",
			w.usedSlots, len(w.queue))
	}
	w.crash()
	f.runUntil(f.now + second)
	state := f.discovery.table.At(0).State
	if !w.idle() || state != endpoints.Removed || f.tally.model.KilledAttempts != 41 {
		t.Errorf("a crashed worker has %d attempts, is listed as %s, and lost %d attempts; want 0, removed and 41",
			len(w.attempts), state, f.tally.model.KilledAttempts)
	}
	w.boot()
	f.runUntil(f.now + second)
	listed := workerList(f.discovery.table.Full()).Workers[0]
	if listed.UID != w.uid || listed.Status != dispatch.Ready || listed.Started != w.startedAt ||
		w.speedFraction() >= 1 {
		t.Errorf("after a restart the worker is listed as %+v and has %v of its full speed; want ready and below 1",
			listed, w.speedFraction())
	}
}
