package dispatch

import "math"

// Attempts: what their reports and ends lead to.

// onAttemptReported takes note of a running attempt's start or progress.
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

// recordAttemptStarted records that an attempt runs, and what that shows of the worker's slots.
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

// onAttemptEnded learns from the outcome of an attempt, and ends or retries its job.
func (d *Dispatcher) onAttemptEnded(e *Event) {
	a := d.attempt(e)
	if a == nil {
		return
	}
	j, w := a.job, a.worker
	turnedAway := e.Outcome == AtCapacity || e.Outcome == HandedBack
	if a.startOverdue && a.startedAt == 0 && !turnedAway {
		d.recordWait(w, 2*float64(d.now-a.sentAt)) // it was given up half way, on average
	}
	d.detach(a)
	d.recordOutcome(a, e)
	if !turnedAway { // it is surer than a report that promises slots
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

// learnLoadReport learns free slots from a load report. It lacks attempts younger than a report can be.
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
	// Free slots and jobs there add up to the slots while none waits. Beyond that, what waits counts
	// against us: else a queue of our own would pass for slots, and the limit would never come down.
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
