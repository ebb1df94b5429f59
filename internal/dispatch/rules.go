package dispatch

// The safety rules, by the names that comments of this package use:
//
//   - single-answer rule: each request gets one final answer, in time;
//   - repetition rule: an attempt that may have run is repeated only as the job's class allows;
//   - drain rule: no new attempt goes to a worker that drains, is removed or is missing from a complete list;
//   - slow-start rule: all dispatchers together do not send a worker in slow start more than its limit.
//
// The functions below check these rules for every attempt and every final answer that leaves the module,
// even if an earlier decision has checked them already.

// send is the only function that sends an attempt. It reports whether the attempt was sent. It sends nothing
// for a finished job or a job past its deadline (single-answer rule), nothing that could make an effect
// happen twice (repetition rule), nothing to a worker that is not ready or while the worker list is stale
// (drain rule), and nothing that exceeds the budget of a worker in slow start (slow-start rule).
func (d *Dispatcher) send(j *job, w *worker) bool {
	if j.finished || j.streaming || d.now >= j.deadline-d.deadlineMargin() ||
		len(j.attempts) >= d.settings.MaxAttempts {
		return false
	}
	sendBy := d.latestSend(j, w)
	if d.now >= sendBy || w.entry.Status != Ready || d.endpointsStale() {
		return false
	}
	if !d.slowStartAllows(j, w) {
		return false
	}
	d.dequeue(j)
	a := &attempt{job: j, worker: w, number: len(j.attempts), sentAt: d.now, inFlight: true}
	j.attempts = append(j.attempts, a)
	j.inFlight++
	if w.attempts = append(w.attempts, a); len(w.attempts) == 1 {
		d.busy = append(d.busy, w)
	}
	d.queueGossip(w)
	w.ownSlots += j.slots
	w.unstartedAttempts++
	if a.slotsAtSend = d.slotsInUse(w); a.slotsAtSend > d.capacity(w) {
		w.slotLimit, w.slotLimitAt = a.slotsAtSend, d.now
		d.kindOf(w).capacityProbedAt = d.now
	}
	if d.slowStartSince(w) != 0 {
		w.slowStartBudget -= d.slowStartCost(j)
	}
	// The attempt's deadline is before the client's, so that the client still gets an answer in time if the
	// attempt times out.
	end := j.deadline - 2*d.settings.Granularity
	d.emit(Action{Kind: Send, Job: j.id, Attempt: a.number, Worker: w.entry.Worker,
		Deadline: end, SendBy: sendBy})
	return true
}

// latestSend returns the time before which the repetition rule (an attempt that may have run is repeated only
// as the job's class allows) permits an attempt of a job to be sent to a worker. The result is 0 if the rule
// forbids the attempt.
func (d *Dispatcher) latestSend(j *job, w *worker) Micros {
	if j.inFlight > 0 && !d.settings.HedgingAllowed {
		return 0
	}
	sendBy, c := j.deadline, &d.settings.Classes[j.class]
	for _, a := range j.attempts {
		if !a.inFlight && !a.mayHaveRun || c.Effect == Safe {
			continue // the attempt provably never ran, or the class allows any repetition
		}
		if c.Effect == Unsafe || !sameDedupGroup(c.DedupScope, &a.worker.entry, &w.entry) {
			return 0
		}
		sendBy = min(sendBy, a.sentAt+c.DedupWindow-d.deadlineMargin())
	}
	return sendBy
}

// attemptAllowed reports whether latestSend, and so the repetition rule, allows an attempt of a job at a
// worker now.
func (d *Dispatcher) attemptAllowed(j *job, w *worker) bool { return d.now < d.latestSend(j, w) }

// finish is the only function that gives a job a final answer that no worker reported. It gives one answer
// for each job (single-answer rule). It refuses a job, which invites the client to retry, only if a retry by
// the client would not break the repetition rule, see refusalAllowed; otherwise it fails the job.
func (d *Dispatcher) finish(j *job) {
	if j.finished {
		return
	}
	if d.refusalAllowed(j) {
		wait, earnsNothing := Micros(0), d.now >= j.objective && d.settings.Classes[j.class].LateWeight == 0
		if earnsNothing || d.level > levelNormal && (j.overQuota || !d.feasible(j, 1)) {
			// A prompt retry by the client would most likely be too late as well and would take capacity from
			// other jobs.
			wait = d.settings.MaxRetryAfter
		}
		d.emit(Action{Kind: Refuse, Job: j.id, Delay: wait})
	} else {
		d.emit(Action{Kind: Fail, Job: j.id})
	}
	d.closeJob(j)
}

// refusalAllowed reports whether the repetition rule (an attempt that may have run is repeated only as the
// job's class allows) still holds if the client retries a job after a refusal. The retry may reach any
// worker, so an attempt that may have run must be repeatable at every worker.
func (d *Dispatcher) refusalAllowed(j *job) bool {
	c := &d.settings.Classes[j.class]
	if c.Effect == Safe || c.Effect == Keyed && c.DedupScope == ScopeAll {
		return true
	}
	for _, a := range j.attempts {
		if a.inFlight || a.mayHaveRun {
			return false
		}
	}
	return true
}

// closeJob marks a job as finished and deletes its record if no attempt is in flight. It cancels the attempts
// in flight if the settings allow cancellation and the answer does not stream.
func (d *Dispatcher) closeJob(j *job) {
	j.finished = true
	d.dequeue(j)
	if j.inFlight == 0 {
		delete(d.jobs, j.id)
		return
	}
	if d.settings.CancelAllowed && !j.streaming {
		for _, a := range j.attempts {
			if a.inFlight {
				d.emit(Action{Kind: Cancel, Job: j.id, Attempt: a.number})
			}
		}
	}
}

// sameDedupGroup reports whether two workers are in one deduplication group under the given scope, that is,
// whether each of them drops a keyed job that the other has already received.
func sameDedupGroup(g DedupScope, a, b *WorkerEntry) bool {
	switch g {
	case ScopeAll:
		return true
	case ScopeZone:
		return a.Zone == b.Zone
	}
	return a.Cell == b.Cell
}
