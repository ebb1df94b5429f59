package modelcheck

import (
	"dahliaford/internal/scheduler"
)

const (
	// settleDuration is how long a world settles after the last answer: longer than anything is kept, and
	// than a worker that may hold a given-up attempt is sent its cancellation.
	settleDuration = 20 * second
	// maxSettleActions bounds settling in actions; more is a violation of Terminates.
	maxSettleActions = 500
)

// shutdownLimit is how long after SIGTERM, and no sooner, a program may exit with a cancellation that is
// not acknowledged: it has to exit before the kill, which comes 0.7 s after the longest deadline at the
// earliest.
const shutdownLimit = deadlineOfBatch + 700*millisecond - 300*millisecond

// settle plays a fair end on a copy: no further fault, all that is on its way arrives, no worker ends a job
// by itself, and time passes. It checks NothingLeaks, OrphansCancelled and Terminates.
func (w *World) settle() *Violation {
	if w.violation != nil {
		return w.violation
	}
	c := w.clone()
	c.settling, c.coverage, c.settleUntil = true, &Coverage{}, c.now+settleDuration
	if v := c.playFairEnd(); v != nil {
		return v
	}
	for i := range c.requests {
		if c.requests[i].state == open {
			c.violate(Terminates, "%s is open, and nothing more happens", c.requestID(c.requests[i].id))
		}
	}
	c.checkOrphans()
	if c.exited {
		return c.violation
	}
	c.now = max(c.now, c.settleUntil)
	c.step(scheduler.EndpointsUpdated{}) // a heartbeat, as one comes every 2 s
	if remaining := c.sched.Stats(); remaining != (scheduler.Stats{}) {
		c.violate(NothingLeaks, "long after the last answer the scheduler keeps %+v", remaining)
	}
	return c.violation
}

// playFairEnd takes fair actions until there are none, and returns the violation that it meets.
func (w *World) playFairEnd() *Violation {
	for range maxSettleActions + 1 {
		if w.violation != nil {
			return w.violation
		}
		a, more := w.fairAction()
		if !more {
			return nil
		}
		w.apply(a)
	}
	w.violate(Terminates, "it does not come to rest")
	return w.violation
}

// checkOrphans checks OrphansCancelled at the end of settling. A program that exited is excused for a worker
// that it could not reach in the time that it has for its end, and where cancelling is forbidden.
func (w *World) checkOrphans() {
	if w.cancellationsAbandoned || w.exited && w.cfg.Rules.CancelForbidden {
		return
	}
	for _, j := range w.jobs {
		w.violate(OrphansCancelled, "%s holds %s, which nobody waits for, and never gets a cancellation",
			workerUID(j.worker), w.requestID(j.id))
	}
}

// fairAction picks the action that a fair world takes next, without faults; more is false at rest.
func (w *World) fairAction() (a Action, more bool) {
	for i := range w.workers {
		if w.workers[i].unreachable {
			return Action{MachineReachable, uint8(i), 0}, true
		}
	}
	if w.watch.pending {
		return Action{Kind: AnswerWatch}, true
	}
	for i := range w.connections {
		for _, a := range w.actionsOf(i, nil) {
			if a.Kind != CloseArrives || a.Variant == closeAfterAccept { // the worse end of a close
				return a, true
			}
		}
	}
	if len(w.callbacks) > 0 {
		return Action{Kind: DeliverCallback}, true
	}
	if len(w.cancellations) > 0 {
		if w.cancellations[0].answered {
			return Action{Kind: CancellationAnswered}, true
		}
		return Action{Kind: CancellationArrives}, true
	}
	if w.exited || w.timerAt == 0 || w.allAnswered() && w.timerAt > w.settleUntil {
		return Action{}, false
	}
	return Action{Kind: AdvanceTime}, true
}
