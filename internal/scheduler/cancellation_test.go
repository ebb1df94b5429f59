package scheduler

import (
	"strings"
	"testing"

	"dahliaford/internal/dispatch"
)

// newHarnessWithCancellation has a batch whose worker may hold it and has been sent a cancellation. The class
// has time enough for the batch to wait for that.
func newHarnessWithCancellation(t *testing.T) *harness {
	t.Helper()
	const longObjective = `"slo":19500000`
	w := newHarnessWithSettings(t, parseSettings(t,
		strings.Replace(testSettings, `"slo":500000`, longObjective, 1)))
	w.sendUpdate(0, dispatch.Ready, "r1")
	w.runScript(t, `
		c1 send a1 batch sahel 20s
		r1 expect a1 payload written in 250ms done in 19.996s
		r1 close a1
		r1 expect cancel a1`)
	return w
}

// The connection of a batch's first attempt breaks before its 202, and its worker's machine is cut off: it
// may hold the job, and its cancellation is not acknowledged. A retry waits for that. 15 s later the
// cancellation was given up, and with it the wait: at 16 s the job was sent to a second worker of the cell
// while the first, back by then, could still run it, a second copy of a job that may be repeated only after
// the first copy has ended or been given up.
//
// cancellationLifetime was the same for all, and the deadline of that class is 20 s. The log line "job
// cancellation failed: its worker may run it for no caller" came 15 s after the break though the caller
// waited, and behind it "SendAttempt a1 to r2".
func TestRetryWaitsForAnAcknowledgedCancellationUntilTheDeadline(t *testing.T) {
	for _, outage := range []string{"1s", "14s", "16s", "18s"} {
		t.Run(outage, func(t *testing.T) {
			w := newHarnessWithCancellation(t)
			w.runScript(t, "wait "+outage)
			w.sendUpdate(0, dispatch.Ready, "r2")
			w.runScript(t, `
				wait 1s
				r2 expect nothing
				wait 30s
				c1 expect failed
				r2 expect nothing
				log expect job cancellation failed: the worker may run the job though no caller waits for it
				log expect nothing`)
		})
	}
}

// Once its worker has acknowledged the cancellation, the job goes on, however late that is.
func TestRetryGoesOnOnceTheCancellationIsAcknowledged(t *testing.T) {
	w := newHarnessWithCancellation(t)
	w.runScript(t, `
		wait 17s
		r1 send acknowledged a1`)
	w.sendUpdate(0, dispatch.Ready, "r2")
	w.runScript(t, `r2 expect a1 payload written in 250ms done in 2.996s`)
}
