package dispatch

import "strconv"

// Outlier detection: a worker that fails jobs is ejected, which means that it gets no jobs for a time. A
// worker that has jobs and gives no sign of life is suspect and gets no new jobs until it gives a sign of
// life or is tried again with a single job.

const (
	maxConsecutiveFailures = 3 // number of consecutive failed or reset attempts after which a worker is ejected
	maxBackoffDoublings    = 5 // largest number of doublings of the time for which a worker is ejected

	// panicThreshold is the largest fraction of the subset's workers that may be outliers (suspect or ejected).
	// If more workers are outliers, the cause is assumed to be a fault of the network or of the reports and not
	// of the workers, and all workers are used.
	panicThreshold = 0.5

	// startReportTimeoutBatches is the time, in multiples of Settings.Granularity, after which the start report
	// of an attempt is overdue. Sending the job, a connection handshake and the report back fit into this time.
	startReportTimeoutBatches = 8
	// startReportTimeoutBatchesNoGossip replaces startReportTimeoutBatches in a large fleet without gossip.
	// There an overdue start counts as evidence that the job waits at the worker, so the time of a connection
	// handshake with a worker of another zone must not look like a wait.
	startReportTimeoutBatchesNoGossip = 32

	// silenceTimeoutProgressIntervals is the time without a sign of life, in progress intervals, after which a
	// worker with attempts in flight is suspect.
	silenceTimeoutProgressIntervals = 1.5
	// silenceTimeoutRuns replaces silenceTimeoutProgressIntervals where workers report no progress. The unit of
	// silenceTimeoutRuns is the upper quartile of run times.
	silenceTimeoutRuns = 4.0
)

// recordOutcome updates the state of a worker by the outcome of an attempt, and ejects a worker that cannot
// be reached or fails too often.
func (d *Dispatcher) recordOutcome(a *attempt, e *Event) {
	w := a.worker
	switch e.Outcome {
	case OK:
		if w.unreachable {
			// The worker was unreachable and now answers, so it has restarted, even if the worker list does not show a
			// restart.
			w.inferredStart, w.unreachable = d.now, false
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
		// A single failed connect may be a fault of the network, so only a further failure makes the worker
		// count as unreachable.
		w.unreachable = w.unreachable || w.consecutiveFailures > 0
		d.eject(w)
	case Failed, Reset:
		// A worker that fails jobs quickly always has free slots. If the error were not recorded, the worker would
		// attract more jobs.
		d.recordError(w, 1, e.Report)
		if w.consecutiveFailures++; w.consecutiveFailures >= maxConsecutiveFailures {
			w.consecutiveFailures--
			d.eject(w)
		}
	}
}

// eject keeps jobs away from a failing worker for a time that doubles with each consecutive failure, up to
// maxBackoffDoublings times, and varies at random by a quarter.
func (d *Dispatcher) eject(w *worker) {
	if d.now < w.ejectedUntil {
		return // the worker is ejected already, because another attempt failed earlier
	}
	w.consecutiveFailures++
	wait := max(d.settings.ConnectTimeout, second/4) << min(w.consecutiveFailures, maxBackoffDoublings)
	w.ejectedUntil = d.now + Micros(float64(wait)*(0.75+0.5*d.random.uniform()))
	d.markSuspect(w)
	w.slotLimit = 1
	d.log("worker " + strconv.Itoa(int(w.entry.Worker)) + " set aside: attempts fail")
}

// inspect finds conditions that no event reports: queued jobs near their deadline or too late for their
// objective, overdue starts and silent workers. It also updates panic mode and polls the worker list when
// due.
func (d *Dispatcher) inspect() {
	// Every queued job is checked. release stops after a few jobs that find no worker, and the jobs behind them
	// must still be answered in time.
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
	// A fault of the network or of the reports looks as if most workers failed at once. In that case panic mode
	// ignores the outliers.
	tooMany := float64(d.countOutliers()) > panicThreshold*float64(len(d.subset))
	if tooMany != d.panicMode {
		d.panicMode = tooMany
		if tooMany {
			d.log("panic mode: more than half of the workers are outliers; sending to all ready workers")
		}
	}
	if d.pollAt != 0 && d.now >= d.pollAt {
		d.pollEndpoints()
	}
}

// abandonLateStarts answers jobs that still wait at a worker when they can no longer meet their objective, if
// a late answer has no value and their attempts may be cancelled. Left in the worker's queue, these jobs
// would delay the jobs behind them.
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

// detectOverdueAndSilent marks the attempts at a worker whose start report is overdue, and makes the worker
// suspect if it has given no sign of life for maxSilence.
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
		// No job of this dispatcher is known to run at the worker. The jobs may wait there behind jobs of other
		// dispatchers, so the worker becomes suspect only after twice maxSilence.
		silence /= 2
	}
	if silence > maxSilence && !w.suspect {
		w.suspect = true
		d.markSuspect(w)
		w.suspectRetryAt = d.now + maxSilence
		d.log("worker " + strconv.Itoa(int(w.entry.Worker)) + " is suspect: no sign of life; no new jobs go there")
		d.hedge(w)
	}
}

// markAlive records a sign of life of the worker, after which the worker is not suspect.
func (w *worker) markAlive(now Micros) {
	w.lastSeen, w.suspect = now, false
}
