package modelcheck

import (
	"dahliaford/internal/scheduler"
)

const (
	// settlingDuration is the simulated time that settle, which continues a world to its end without further
	// faults, adds after the last answer. It exceeds every retention time of the scheduler and the time for
	// which the scheduler retries the cancellation of an attempt.
	settlingDuration = 20 * second
	// maxSettlingActions is the largest number of actions that settle performs. If actions are still possible
	// after that number, the simulated system violates the property Terminates.
	maxSettlingActions = 500
)

// shutdownLimit is the time after SIGTERM from which a stopping scheduler may exit with unacknowledged
// cancellations. The limit lies 300 ms before the earliest time at which the process may be killed, which is
// 700 ms after the longest deadline of a class.
const shutdownLimit = batchDeadline + 700*millisecond - 300*millisecond

// settle continues a copy of the world without further faults until no action is left: all messages in
// transit arrive, unreachable machines become reachable, time passes, and workers neither finish nor start
// jobs. It checks NothingLeaks, OrphansCancelled and Terminates on the way.
func (w *World) settle() *Violation {
	if w.violation != nil {
		return w.violation
	}
	c := w.clone()
	c.settling, c.coverage, c.settleUntil = true, &Coverage{}, c.now+settlingDuration
	if v := c.runWithoutFaults(); v != nil {
		return v
	}
	for i := range c.requests {
		if c.requests[i].state == open {
			c.violate(Terminates, "%s is open, and no further action can answer it", c.requestID(c.requests[i].id))
		}
	}
	c.checkOrphans()
	if c.exited {
		return c.violation
	}
	c.now = max(c.now, c.settleUntil)
	c.step(scheduler.EndpointsUpdated{}) // the update without changes that discovery sends every 2 s
	if remaining := c.sched.Stats(); remaining != (scheduler.Stats{}) {
		c.violate(NothingLeaks, "long after the last answer the scheduler keeps %+v", remaining)
	}
	return c.violation
}

// runWithoutFaults performs the actions of nextFaultFreeAction until none is left. It returns the first
// violation, or nil.
func (w *World) runWithoutFaults() *Violation {
	for range maxSettlingActions + 1 {
		if w.violation != nil {
			return w.violation
		}
		a, more := w.nextFaultFreeAction()
		if !more {
			return nil
		}
		w.apply(a)
	}
	w.violate(Terminates, "actions do not end: the limit of actions without faults is reached")
	return w.violation
}

// checkOrphans checks, after settle has performed all actions without faults, that no worker holds a job for
// which no client waits (property OrphansCancelled). Such jobs are allowed if the scheduler exited at
// shutdownLimit, before all cancellations were acknowledged, or if it exited and the settings of the world
// (simulated configuration) forbid cancelling.
func (w *World) checkOrphans() {
	if w.cancellationsAbandoned || w.exited && w.cfg.Overrides.CancelForbidden {
		return
	}
	for _, j := range w.jobs {
		w.violate(OrphansCancelled, "%s holds %s, for which no client waits, and never gets a cancellation",
			workerUID(j.worker), w.requestID(j.id))
	}
}

// nextFaultFreeAction returns the next action that settle performs, an action without a fault. more is false
// if no action is left.
func (w *World) nextFaultFreeAction() (a Action, more bool) {
	for i := range w.workers {
		if w.workers[i].unreachable {
			return Action{MachineReachable, uint8(i), 0}, true
		}
	}
	if w.watch.pending {
		return Action{Kind: AnswerWatch}, true
	}
	for i := range w.connections {
		for _, a := range w.actionsOnConnection(i, nil) {
			// Of the two variants of CloseArrives, settle performs closeAfterAccept, which leaves a job at the worker.
			if a.Kind != CloseArrives || a.Variant == closeAfterAccept {
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
