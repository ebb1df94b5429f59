package dispatch

import "slices"

// This file keeps the records of attempts. It makes no dispatch decisions.

// attempt returns the attempt in flight that an event names, or nil.
func (d *Dispatcher) attempt(e *Event) *attempt {
	j := d.jobs[e.Job]
	if j == nil || e.Attempt < 0 || e.Attempt >= len(j.attempts) || !j.attempts[e.Attempt].inFlight {
		return nil
	}
	return j.attempts[e.Attempt]
}

// detach ends an attempt in flight and removes it from the records of its worker and its job.
func (d *Dispatcher) detach(a *attempt) {
	a.inFlight = false
	a.job.inFlight--
	d.clearOverdue(a)
	w := a.worker
	w.ownSlots -= a.job.slots
	if a.startedAt == 0 {
		w.unstartedAttempts--
	}
	d.queueGossip(w)
	w.attempts = removeValue(w.attempts, a)
	if len(w.attempts) == 0 {
		d.busy = removeValue(d.busy, w)
	}
}

// removeValue removes the first element of a list that equals a value.
func removeValue[T comparable](list []T, value T) []T {
	if i := slices.Index(list, value); i >= 0 {
		return slices.Delete(list, i, i+1)
	}
	return list
}

// MayHaveRun reports whether a job may have run in an attempt that ended with this outcome.
func (o Outcome) MayHaveRun() bool {
	return o != AtCapacity && o != ConnectFailed && o != NotSent && o != HandedBack
}
