package scheduler

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"dahliaford/internal/dispatch"
	"dahliaford/internal/scenario"
)

// sendUpdate sends a worker list update that lists workers of one cell, all with one status.
func (w *harness) sendUpdate(cell int, status dispatch.Status, uids ...string) {
	list := WorkerList{Revision: w.scheduler.revision + 1}
	for _, uid := range uids {
		entry := testWorker(uid, status)
		entry.Cell = cell
		list.Workers = append(list.Workers, entry)
	}
	w.step(EndpointsUpdated{List: list})
}

// runScript runs a scenario script against the harness.
func (w *harness) runScript(t *testing.T, script string) {
	t.Helper()
	scenario.Run(t, w, script, func(want, got string) string { return cmp.Diff(want, got) })
}

// Guards against a job that runs twice because its id becomes usable too early. The first attempt of a batch
// request starts and is aborted, so the job may have run. The second attempt, in the same cell, is rejected
// with 400. If rejectAttempt then frees the id and answers Invalid, the client may submit the request again
// with that id, and the job runs in another cell, whose workers do not know of the first run.
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

// Guards against a job that runs twice because its id becomes usable before the deduplication window (30 s)
// ends. A batch request is served in one cell, which then drains. When ids were kept only for the longest
// deadline of any class (20 s), the request could be submitted again with its id 20.4 s after it was served,
// and the job ran again in another cell, whose workers do not know of the first run.
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
