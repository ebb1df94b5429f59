package dispatch

import "strconv"

// Outlier detection: workers that fail jobs are ejected for a while, silent ones get nothing more.

const (
	maxConsecutiveFailures = 3   // errors in a row from a worker, while others serve, that eject it
	maxBackoffDoublings    = 5   // of the wait before an ejected worker is tried again
	panicThreshold         = 0.5 // more outliers in the subset: the evidence is at fault, not the fleet

	startReportTimeoutBatches         = 8   // until a start report is overdue: send, handshake, report back
	startReportTimeoutBatchesNoGossip = 32  // the same without gossip: a crossing and a handshake are no wait
	silenceTimeoutProgressIntervals   = 1.5 // progress intervals without a sign of life: the worker is suspect
	silenceTimeoutRuns                = 4.0 // the same in upper run times, where workers report no progress
)

// recordOutcome learns from an outcome about the worker, and ejects one that fails too often.
func (d *Dispatcher) recordOutcome(a *attempt, e *Event) {
	w := a.worker
	switch e.Outcome {
	case OK:
		if w.unreachable {
			w.inferredStart, w.unreachable = d.now, false // it answers, so it has restarted, listed or not
		}
		w.consecutiveFailures = 0
		d.recordError(w, 0, e.Report)
		w.markAlive(d.now)
		d.learnRun(a)
	case AtCapacity, HandedBack:
		w.slotLimit, w.slotLimitAt = max(1, d.slotsInUse(w)), d.now
		w.blockedUntil = d.now + max(d.inspectionInterval(), Micros(d.slotTimes.value/4))
		w.markAlive(d.now)
	case ConnectFailed:
		w.unreachable = w.unreachable || w.consecutiveFailures > 0 // one may be an accident on the way
		d.eject(w)
	case Failed, Reset:
		// Quick errors empty a worker and would draw more work to it.
		d.recordError(w, 1, e.Report)
		if w.consecutiveFailures++; w.consecutiveFailures >= maxConsecutiveFailures {
			w.consecutiveFailures--
			d.eject(w)
		}
	}
}

// eject gives a failing worker nothing for a while that doubles with each failure.
func (d *Dispatcher) eject(w *worker) {
	if d.now < w.ejectedUntil {
		return // the same failure, seen by another attempt
	}
	w.consecutiveFailures++
	wait := max(d.settings.ConnectTimeout, second/4) << min(w.consecutiveFailures, maxBackoffDoublings)
	w.ejectedUntil = d.now + Micros(float64(wait)*(0.75+0.5*d.random.uniform()))
	d.markSuspect(w)
	w.slotLimit = 1
	d.log("worker " + strconv.Itoa(int(w.entry.Worker)) + " set aside: attempts fail")
}

// inspect looks for what no event reports: jobs whose time is up, overdue starts and silent workers.
func (d *Dispatcher) inspect() {
	// Every queued job is checked: release stops at the first few that find no worker, and a job behind
	// them must still be answered in time.
	for i := 0; i < len(d.queue); {
		if !d.expire(d.queue[i]) {
			i++
		}
	}
	startTimeout := d.startReportTimeout()
	maxSilence := d.silenceTimeout()
	for _, w := range d.busy {
		d.abandonLateStarts(w)
		if w.entry.Status == Ready {
			d.detectOverdueAndSilent(w, startTimeout, maxSilence)
		}
	}
	// A fault of the network or of the reports looks like a whole fleet that fails at once: then none counts.
	tooMany := float64(d.countOutliers()) > panicThreshold*float64(len(d.subset))
	if tooMany != d.panicMode {
		d.panicMode = tooMany
		if tooMany {
			d.log("over half of the workers are outliers: the evidence is not trusted, all are used")
		}
	}
	if d.pollAt != 0 && d.now >= d.pollAt {
		d.pollEndpoints()
	}
}

// abandonLateStarts answers jobs that still wait at a worker when their objective can no longer be met.
// In its queue they would take the time of those behind them and earn nothing.
func (d *Dispatcher) abandonLateStarts(w *worker) {
	for _, a := range w.attempts {
		j := a.job
		waits := a.startOverdue && a.startedAt == 0 && !j.finished && j.inFlight == 1
		earnsLate := d.settings.Classes[j.class].LateWeight != 0
		if waits && d.settings.CancelAllowed && !earnsLate && !d.feasible(j, feasibleRunFraction) {
			d.finish(j)
		}
	}
}

// detectOverdueAndSilent marks overdue starts at a worker, and a worker without a sign of life as suspect.
func (d *Dispatcher) detectOverdueAndSilent(w *worker, startTimeout, maxSilence Micros) {
	running, oldest := d.ownRunningSlots(w), d.now
	for _, a := range w.attempts {
		oldest = min(oldest, a.sentAt)
		if d.settings.StartReported && a.startedAt == 0 && !a.startOverdue && d.now-a.sentAt > startTimeout {
			a.startOverdue = true
			d.overdueStarts = append(d.overdueStarts, a)
			d.recordStartPromptness(a, false)
		}
	}
	silence := d.now - max(w.lastSeen, oldest)
	if running == 0 {
		silence /= 2 // it may wait behind the jobs of others
	}
	if silence > maxSilence && !w.suspect {
		w.suspect = true
		d.markSuspect(w)
		w.suspectRetryAt = d.now + maxSilence
		d.log("worker " + strconv.Itoa(int(w.entry.Worker)) + " is silent: nothing more goes there")
		d.hedge(w)
	}
}

// markAlive records a sign of life, which ends any suspicion.
func (w *worker) markAlive(now Micros) {
	w.lastSeen, w.suspect = now, false
}
