package dispatch

import "math"

// Attempts: how the dispatcher handles reports about attempts and their ends.

// onAttemptReported handles a worker's report that an attempt has started, has made progress, or is alive.
func (d *Dispatcher) onAttemptReported(e *Event) {
	a := d.attempt(e)
	if a == nil {
		return
	}
	a.worker.markAlive(d.now)
	switch e.Note {
	case NoteStarted:
		d.recordAttemptStarted(a, d.now)
	case NoteProgress:
		d.recordAttemptStarted(a, a.sentAt)
		d.learnSpeed(a, e.Value)
	}
}

// recordAttemptStarted records the time at which an attempt began to run, and updates the estimates of the
// worker's slots and waits. It ignores a second start report of the attempt.
func (d *Dispatcher) recordAttemptStarted(a *attempt, at Micros) {
	if a.startedAt != 0 {
		return
	}
	w := a.worker
	d.clearOverdue(a)
	a.startedAt, a.accountedUntil = at, at
	w.unstartedAttempts--
	d.queueGossip(w)
	if !d.settings.StartReported {
		d.recordBusySlots(w, d.knownRunningSlots(w))
	} else {
		d.recordWait(w, float64(at-a.sentAt))
		if !a.startOverdue {
			d.recordStartPromptness(a, true)
		}
	}
}

// onAttemptEnded updates the estimates by the outcome of an attempt, and closes or retries its job.
func (d *Dispatcher) onAttemptEnded(e *Event) {
	a := d.attempt(e)
	if a == nil {
		return
	}
	j, w := a.job, a.worker
	turnedAway := e.Outcome == AtCapacity || e.Outcome == HandedBack
	if a.startOverdue && a.startedAt == 0 && !turnedAway {
		// The attempt ended before the job started, so the full wait for the start is unknown. On average an
		// attempt ends after half of this wait, so twice the time since the send is recorded as the wait.
		d.recordWait(w, 2*float64(d.now-a.sentAt))
	}
	d.detach(a)
	d.recordOutcome(a, e)
	if !turnedAway { // a rejection because no slot is free is more reliable than a report of free slots
		d.learnLoadReport(w, e.Report, j.slots)
	}
	a.mayHaveRun, a.handedBack = e.Outcome.MayHaveRun(), e.Outcome == HandedBack
	switch {
	case !j.finished && (e.Final || e.Outcome == OK):
		d.closeJob(j)
	case j.inFlight > 0:
	case j.finished:
		delete(d.jobs, j.id)
	default:
		d.retry(j, e.Outcome)
	}
	d.updateOverloadLevel()
}

// learnLoadReport updates the slot limit of a worker from a load report at the end of an attempt; leaving is
// the number of slots of that attempt, which the report still counts as in use. The report may be up to a
// quarter of a second old, so attempts that were sent within the last quarter of a second are assumed to be
// missing from the report.
func (d *Dispatcher) learnLoadReport(w *worker, r Report, leaving float64) {
	if !r.FreeKnown || d.settings.StartReported {
		return
	}
	seen := leaving
	for _, a := range w.attempts {
		if d.now-a.sentAt > second/4 {
			seen += a.job.slots
		}
	}
	// While no job waits at the worker, the worker's free slots and the jobs in flight add up to its number of
	// slots, of which reportedSlots is the running mean. Without a free slot, jobs in flight beyond that number
	// wait at the worker and are subtracted from slotLimit. Otherwise waiting jobs of this dispatcher would
	// count as slots, and slotLimit would never fall.
	free, blend := math.Round(max(r.Free, 0)), 1-workerSampleDecay
	if w.reportedSlots == 0 {
		blend = 1
	}
	switch {
	case free > 0 && r.Outstanding >= 0:
		w.reportedSlots += (r.Free + r.Outstanding - w.reportedSlots) * blend
		d.recordBusySlots(w, math.Round(w.reportedSlots))
	case free == 0 && r.Outstanding >= 0 && w.reportedSlots > 0:
		free = min(0, math.Round(w.reportedSlots-r.Outstanding))
	}
	w.slotLimit = max(0, seen+free)
	w.slotLimitAt = d.now
}
