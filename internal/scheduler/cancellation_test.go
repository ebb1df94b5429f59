package scheduler

import (
	"strings"
	"testing"

	"dahliaford/internal/dispatch"
)

// newHarnessWithCancellation returns a harness with a batch request whose first attempt is being cancelled
// and may be held by worker r1. The latency objective of the class is long enough for the request to wait for
// the acknowledgement of the cancellation.
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

// Guards against a retry that is sent while a worker may still hold the first attempt, whose connection broke
// before the 202. The worker is unreachable and cannot acknowledge the cancellation. When the cancellation
// was given up after cancellationLifetime (15 s), before the request's deadline (20 s), the deferred retry
// went to a second worker, and the job could run twice at once.
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

// A deferred retry of a request is sent as soon as the worker acknowledges the cancellation of the first
// attempt, even if the acknowledgement takes longer than cancellationLifetime.
func TestRetryGoesOnOnceTheCancellationIsAcknowledged(t *testing.T) {
	w := newHarnessWithCancellation(t)
	w.runScript(t, `
		wait 17s
		r1 send acknowledged a1`)
	w.sendUpdate(0, dispatch.Ready, "r2")
	w.runScript(t, `r2 expect a1 payload written in 250ms done in 2.996s`)
}
