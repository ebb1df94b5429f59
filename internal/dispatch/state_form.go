package dispatch

import (
	"cmp"
	"maps"
	"slices"

	"dahliaford/internal/fingerprint"
)

// AppendState appends an encoding of the state between two events. A model checker treats two states with
// equal encodings as the same state, so the encoding has what later decisions depend on and omits caches.
func (d *Dispatcher) AppendState(b []byte) []byte {
	f := fingerprint.Buffer(b)
	d.appendAdmission(&f)
	d.appendEstimates(&f)
	for _, list := range [][]*worker{d.ordered, d.subset, d.busy, d.gossipQueue} {
		f.Ints(int64(len(list)))
		for _, w := range list {
			f.Ints(int64(w.entry.Worker))
		}
	}
	for _, w := range d.ordered {
		d.appendWorker(&f, w)
	}
	for _, id := range slices.Sorted(maps.Keys(d.jobs)) {
		appendJob(&f, d.jobs[id])
	}
	return f
}

// appendAdmission appends the counters, the admission state and the estimates of classes and flows.
func (d *Dispatcher) appendAdmission(f *fingerprint.Buffer) {
	f.Ints(int64(d.now), int64(d.startedAt), int64(d.random), int64(d.seq), int64(len(d.jobs)),
		int64(len(d.queue)))
	f.Ints(int64(d.level), int64(d.gappedRanks), int64(d.consecutiveSevere),
		int64(d.consecutiveOverload), int64(d.consecutiveNormal), int64(d.gappingSteppedAt),
		int64(d.gappingStepInterval), int64(d.rankCount), int64(d.parametersRefreshedAt),
		int64(d.parameterRefreshes), int64(d.timerDueAt), int64(d.timerToken), int64(d.pollAt),
		int64(d.pollFailures), int64(d.loggedAt), int64(d.endpointsAsOf))
	f.Floats(d.ringCoverage, d.position, d.meanJobValue, d.retryBudget,
		d.fleetEstimate.work, d.fleetEstimate.time)
	f.Bools(d.hintsSeen, d.panicMode)
	appendQuantileWindow(f, &d.slotTimes)
	f.Floats(d.quotaTokens...)
	for _, at := range d.quotaRefilledAt {
		f.Ints(int64(at))
	}
	for i := range d.classes {
		c := &d.classes[i]
		f.Floats(c.workSum, c.workSquareSum, c.workCount, c.arrivals, c.guaranteedRate)
		f.Ints(int64(c.waitTarget))
		appendQuantileWindow(f, &c.runTimes)
	}
	for i := range d.flows {
		f.Floats(d.flows[i].rate)
		f.Ints(d.flows[i].lastGappingInterval)
	}
}

// appendEstimates appends the ranks and the records of peers, of machine kinds and of groups (the workers of
// one machine kind in one zone).
func (d *Dispatcher) appendEstimates(f *fingerprint.Buffer) {
	for _, list := range [][]int{d.neighbours, d.ranks, d.classesByWaitTarget} {
		for _, n := range list {
			f.Ints(int64(n))
		}
	}
	for i := range d.peers {
		f.Floats(d.peers[i].position)
		f.Ints(int64(d.peers[i].zone), int64(d.peers[i].crossedZoneAt))
	}
	for _, n := range slices.Sorted(maps.Keys(d.kinds)) {
		k := d.kinds[n]
		f.Ints(int64(n), int64(k.maxSlotsTried), int64(k.capacityProbedAt))
		f.Floats(k.work, k.time, k.maxBusySlots)
		appendStartCounts(f, &k.startCountsBySlots)
	}
	for _, key := range slices.SortedFunc(maps.Keys(d.groups), compareGroupKeys) {
		g := d.groups[key]
		f.Ints(int64(key.zone), int64(key.kind), int64(g.decayedAt))
		f.Floats(g.sum, g.count)
	}
}

// compareGroupKeys orders the keys of worker groups by zone, then by machine kind.
func compareGroupKeys(a, b groupKey) int {
	return cmp.Or(cmp.Compare(a.zone, b.zone), cmp.Compare(a.kind, b.kind))
}

// appendWorker appends the record of a worker, and the attempts in flight at the worker, by job and number.
func (d *Dispatcher) appendWorker(f *fingerprint.Buffer, w *worker) {
	e := &w.entry
	f.Ints(int64(e.Zone), int64(e.Cell), int64(e.Kind), int64(e.Status), int64(e.Started))
	f.Ints(int64(w.unstartedAttempts), int64(w.slotLimitAt), int64(w.blockedUntil), int64(w.removedAt),
		int64(w.lastSeen), int64(w.suspectRetryAt), int64(w.consecutiveFailures), int64(w.errorRateAt),
		int64(w.ejectedUntil), int64(w.inferredStart), int64(w.slowStartBudgetAt),
		int64(w.lastGossiped.used), int64(w.lastGossiped.waiting), int64(len(w.attempts)))
	f.Floats(w.ownSlots, w.slotLimit, w.reportedSlots, w.speed.work, w.speed.time, w.errorRate,
		w.slowStartBudget, d.workerRingPosition(w), w.placementBias, w.startWait.sum, w.startWait.count)
	f.Ints(int64(w.startWait.decayedAt))
	f.Bools(w.suspect, w.unreachable, w.gossipQueued, w.kind != nil, w.startCountsBySlots != nil)
	if w.startCountsBySlots != nil {
		appendStartCounts(f, w.startCountsBySlots)
	}
	for i := range w.peerUses {
		p := &w.peerUses[i]
		f.Ints(int64(p.used), int64(p.waiting), int64(p.peer), int64(p.updatedAt), int64(p.increasedAt),
			int64(p.arrivingSlots), int64(p.waitingSince))
	}
	for _, a := range w.attempts {
		f.Ints(int64(a.job.id), int64(a.number))
	}
}

// appendJob appends the record of a job and of all its attempts.
func appendJob(f *fingerprint.Buffer, j *job) {
	f.Ints(int64(j.id), int64(j.class), int64(j.tenant), int64(j.deadline), int64(j.objective),
		int64(j.latestStart), int64(j.seq), int64(j.inFlight), int64(len(j.attempts)))
	f.Floats(j.work, j.slots)
	f.Bools(j.overQuota, j.queued, j.late, j.hinted, j.streaming, j.finished)
	for _, a := range j.attempts {
		f.Ints(int64(a.worker.entry.Worker), int64(a.number), int64(a.sentAt), int64(a.startedAt),
			int64(a.accountedUntil))
		f.Floats(a.progress, a.slotsAtSend)
		f.Bools(a.inFlight, a.mayHaveRun, a.handedBack, a.startOverdue)
	}
}

// appendStartCounts appends the start counts that are not zero, each after the number of slots in use to
// which the counts belong, and -1 at the end.
func appendStartCounts(f *fingerprint.Buffer, startCountsBySlots *[maxTrackedSlots + 1]startCounts) {
	for i := range startCountsBySlots {
		if startCountsBySlots[i] != (startCounts{}) {
			f.Ints(int64(i))
			f.Floats(startCountsBySlots[i].prompt, startCountsBySlots[i].delayed)
		}
	}
	f.Ints(-1)
}

// appendQuantileWindow appends the number of run times so far, their quantile and the latest run times.
func appendQuantileWindow(f *fingerprint.Buffer, q *quantileWindow) {
	f.Ints(int64(q.count))
	f.Floats(q.value)
	f.Floats(q.samples[:min(q.count, maxRunSamples)]...)
}
