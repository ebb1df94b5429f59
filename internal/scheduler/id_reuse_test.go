package scheduler

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"dahliaford/internal/dispatch"
	"dahliaford/internal/scenario"
)

// sendUpdate lists workers of a cell with a status.
func (w *harness) sendUpdate(cell int, status dispatch.Status, uids ...string) {
	list := WorkerList{Revision: w.scheduler.revision + 1}
	for _, uid := range uids {
		entry := testWorker(uid, status)
		entry.Cell = cell
		list.Workers = append(list.Workers, entry)
	}
	w.step(EndpointsUpdated{List: list})
}

// runScript runs a script of a scenario.
func (w *harness) runScript(t *testing.T, script string) {
	t.Helper()
	scenario.Run(t, w, script, func(want, got string) string { return cmp.Diff(want, got) })
}

// A batch was sent to a worker, began, and was aborted: it may have run, and only the workers of the same
// cell drop a repeat of it. Its next attempt, in that cell, got 400. The client was answered 400, which says
// that the job never ran, and its id became free at once. Submitted again under that id, the job was a new
// one to the dispatcher: once the first cell drained it ran in the other one, which knows nothing of the
// first run.
//
// rejectAttempt took the id off usedIDs without a look at the attempts before the rejected one. The effects
// seen, every time: "Answer invalid" in place of failed, and "SendAttempt a1 to r3" in place of a conflict.
func TestIDStaysInUseAfterARejectionBehindAnAttemptThatMayHaveRun(t *testing.T) {
	w := newHarness(t)
	w.sendUpdate(0, dispatch.Ready, "r1")
	w.runScript(t, `
		c1 send a1 batch sahel 20s
		r1 expect a1 payload written in 250ms done in 19.996s
		r1 send accepted a1
		r1 send started a1`)
	w.sendUpdate(0, dispatch.Ready, "r2")
	w.runScript(t, `
		r1 send aborted a1
		r2 expect a1 payload written in 250ms done in 19.996s
		r2 send rejected a1
		c1 expect failed`)
	w.sendUpdate(1, dispatch.Ready, "r3")
	w.sendUpdate(0, dispatch.Draining, "r1", "r2")
	w.runScript(t, `
		c2 send a1 batch sahel 20s
		c2 expect conflict that id has been used
		r3 expect nothing`)
}

// A batch was served 20.4 s ago by a cell whose workers drop a repeat of it for 30 s. Its id was free again,
// as ids were kept for the longest deadline of any class, 20 s, and not for the window: submitted again
// under its id while that cell drained, it ran a second time, in the other cell.
//
// Step dropped the id at the second rotation of usedIDs, whose period was maxDeadline alone. The effect
// seen, every time: "SendAttempt a1 to r2" where a conflict is due until 30 s after the first attempt was
// sent.
func TestIDStaysInUseUntilItsDedupWindowIsOver(t *testing.T) {
	for _, delay := range []string{"1ms", "20400ms", "29900ms"} {
		t.Run(delay, func(t *testing.T) {
			w := newHarness(t)
			w.sendUpdate(0, dispatch.Ready, "r1")
			w.runScript(t, `
				wait 19900ms
				discovery send
				c1 send a1 batch sahel 20s
				r1 expect a1 payload written in 250ms done in 19.996s
				r1 send accepted a1
				r1 send done a1
				c1 expect served result
				wait 110ms
				discovery send
				wait `+delay)
			w.sendUpdate(1, dispatch.Ready, "r2")
			w.sendUpdate(0, dispatch.Draining, "r1")
			w.runScript(t, `
				c2 send a1 batch sahel 20s
				c2 expect conflict that id has been used
				r2 expect nothing`)
		})
	}
}
