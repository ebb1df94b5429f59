package dispatch

// The rules: what leaves the module is checked here again, whatever was decided before.

// send is the only way to a worker. It guards that nothing is sent for a finished job or one past its
// deadline (rule 1), that no effect can happen twice (rule 2), that drains are observed (rule 3) and
// that no worker in slow start is overloaded (rule 4).
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
	// The attempt ends before the client gives up, so its time-out can still be answered in time.
	end := j.deadline - 2*d.settings.Granularity
	d.emit(Action{Kind: Send, Job: j.id, Attempt: a.number, Worker: w.entry.Worker,
		Deadline: end, SendBy: sendBy})
	return true
}

// latestSend is rule 2 for sends: until when an attempt may leave for a worker; 0: it may not.
func (d *Dispatcher) latestSend(j *job, w *worker) Micros {
	if j.inFlight > 0 && !d.settings.HedgingAllowed {
		return 0
	}
	sendBy, c := j.deadline, &d.settings.Classes[j.class]
	for _, a := range j.attempts {
		if !a.inFlight && !a.mayHaveRun || c.Effect == Safe {
			continue // it provably never ran, or may run again
		}
		if c.Effect == Unsafe || !sameDedupGroup(c.DedupScope, &a.worker.entry, &w.entry) {
			return 0
		}
		sendBy = min(sendBy, a.sentAt+c.DedupWindow-d.deadlineMargin())
	}
	return sendBy
}

// attemptAllowed reports whether rule 2 allows an attempt at a worker now.
func (d *Dispatcher) attemptAllowed(j *job, w *worker) bool { return d.now < d.latestSend(j, w) }

// finish is the only way to a final answer of our own: one for each job (rule 1), and a refusal only
// where trying again is harmless (rule 2).
func (d *Dispatcher) finish(j *job) {
	if j.finished {
		return
	}
	if d.refusalAllowed(j) {
		wait, earnsNothing := Micros(0), d.now >= j.objective && d.settings.Classes[j.class].LateWeight == 0
		if earnsNothing || d.level > levelNormal && (j.overQuota || !d.feasible(j, 1)) {
			wait = d.settings.MaxRetryAfter // a retry now helps nobody; others may yet be in time
		}
		d.emit(Action{Kind: Refuse, Job: j.id, Delay: wait})
	} else {
		d.emit(Action{Kind: Fail, Job: j.id})
	}
	d.closeJob(j)
}

// refusalAllowed reports whether a client that tries a job again after a refusal does no harm.
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

// closeJob ends a job that has its answer. Attempts still in flight are cancelled.
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

// sameDedupGroup reports whether two workers drop each other's repeats.
func sameDedupGroup(g DedupScope, a, b *WorkerEntry) bool {
	switch g {
	case ScopeAll:
		return true
	case ScopeZone:
		return a.Zone == b.Zone
	}
	return a.Cell == b.Cell
}
