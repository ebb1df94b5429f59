package dispatch

import "math"

// Placement: which worker a job goes to.

const (
	// fullLoadCostRuns is the placement cost, in expected run times of the job, that a worker with all slots in
	// use has in addition; a worker with a part of its slots in use has a proportional part of this addition.
	// The reason is that other dispatchers may fill a busy worker before the job arrives there.
	fullLoadCostRuns = 0.8

	// concurrentProbes is the approximate number of dispatchers that may send one worker a job beyond its known
	// capacity within one run time, see mayProbe.
	concurrentProbes = 2
)

// selectWorker returns the worker for a queued job, or nil if the job has to stay in the queue. In a large
// subset it first tries the workers that the index lists as likely cheapest, and scans all candidates only if
// none of those workers is suitable.
func (d *Dispatcher) selectWorker(j *job) *worker {
	from, unbound := d.candidates(j)
	wholeSubset := unbound && len(from) == len(d.subset)
	if unbound && d.largeSubset() {
		if wholeSubset && d.noCapacityEvent == d.eventCount {
			return nil // a scan for another job in the same event found no free slot in the whole subset
		}
		if w := d.cheapest(j, d.shortlist(j)); w != nil {
			return w
		}
	}
	d.freeCapacitySeen = false
	w := d.cheapest(j, from)
	if w == nil && wholeSubset && !d.freeCapacitySeen {
		d.noCapacityEvent = d.eventCount
	}
	return w
}

// cheapest returns the worker with the lowest placement cost. It prefers workers of this dispatcher's zone
// and takes a worker of another zone only if the lower cost justifies the cross-zone price.
func (d *Dispatcher) cheapest(j *job, from []*worker) *worker {
	var local, remote *worker
	localCost, remoteCost := math.Inf(1), math.Inf(1)
	remaining := float64(j.objective - d.now)
	for _, w := range from {
		cost, ok := d.placementCost(j, w, remaining)
		if !ok {
			continue
		}
		if d.settings.CrossZonePrice == 0 || w.entry.Zone == d.settings.Zone {
			if cost < localCost {
				local, localCost = w, cost
			}
		} else if cost < remoteCost {
			remote, remoteCost = w, cost
		}
	}
	if remote == nil || local != nil && localCost <= d.crossZoneCost(remoteCost, remaining) {
		return local
	}
	if local == nil && !d.crossZoneJustified(j) {
		return nil
	}
	return remote
}

// placementCost returns the cost of placing a job at a worker: the expected wait and run time there, in
// microseconds, with additions for load, failures and random spread. The parameter remaining is the time
// until the job's latency objective. The second result is false if the worker is not suitable for the job.
func (d *Dispatcher) placementCost(j *job, w *worker, remaining float64) (float64, bool) {
	d.workersExamined++
	if !d.usable(w) {
		return 0, false
	}
	inUse, wait := d.slotsInUse(w), 0.0
	limit := d.capacity(w)
	d.freeCapacitySeen = d.freeCapacitySeen || inUse+1 <= limit || d.mayProbe(w)
	if over := inUse + j.slots - limit; over > 0 {
		if !d.mayProbe(w) {
			return 0, false
		}
		wait = d.slotTimes.value * (1 + over/max(1, limit))
	}
	if !d.eligible(j, w) {
		return 0, false
	}
	run, queueing := j.work/d.speed(w), d.expectedWait(w)
	// A job that is not late can still meet its objective at some worker, as expire has found. So the job is not
	// sent to a worker where it would miss the objective, and waits instead. A worker in slow start is an
	// exception if a late answer has a value (LateWeight is above 0). Otherwise a new fleet, in which all
	// workers are in slow start, would stay idle.
	earns := d.slowStartSince(w) != 0 && d.settings.Classes[j.class].LateWeight > 0
	if !j.late && !earns && queueing+d.requiredRunFraction(j)*run > remaining {
		return 0, false
	}
	if w.consecutiveFailures > 0 {
		wait += float64(d.settings.ConnectTimeout)
	}
	return wait + queueing + run*(1+fullLoadCostRuns*inUse/max(1, limit)+w.placementBias) +
		d.choiceJitter(w), true
}

// crossZoneJustified reports whether a job may be sent to another zone instead of waiting for a worker of
// this dispatcher's zone. Waiting costs the value that the job loses if it misses its objective, times the
// risk of a miss. The risk is the expected time until a slot in this dispatcher's zone becomes free, as a
// fraction of the time until the job's latest start, and at most 1. An attempt in another zone costs
// CrossZonePrice, in multiples of the mean job's value. The result is true if waiting costs more.
func (d *Dispatcher) crossZoneJustified(j *job) bool {
	justified := func(local float64) bool {
		risk := 1.0
		if local > 0 && j.latestStart > d.now {
			risk = min(1, d.ringCoverage*d.slotTimes.value/local/float64(j.latestStart-d.now))
		}
		return risk*d.value(j)*(1-d.settings.Classes[j.class].LateWeight) >
			d.settings.CrossZonePrice*d.meanJobValue
	}
	return justified(d.usableSlots(d.settings.Zone, func(local float64) bool { return !justified(local) }))
}

// eligible reports whether a worker may run a job according to the job's class, the job's earlier attempts,
// the error rate of the worker, and the safety rules about repetition and slow start (see rules.go).
func (d *Dispatcher) eligible(j *job, w *worker) bool {
	if k := d.settings.Classes[j.class].Kind; k >= 0 && k != w.entry.Kind || d.shouldAvoidFailing(j, w) {
		return false
	}
	for _, a := range j.attempts {
		if a.worker == w && (a.inFlight || a.mayHaveRun || a.handedBack) {
			// The worker still has the job, may have run the job, or returned the job. After a return the worker
			// may report the return again, which would look like the end of a new attempt at the worker.
			return false
		}
	}
	return d.attemptAllowed(j, w) && d.slowStartAllows(j, w)
}

// usable reports whether any job may be sent to a worker now: the worker is ready, the worker list is
// current, and the worker is not at capacity, ejected or suspect. In panic mode ejected and suspect workers
// are usable, too.
func (d *Dispatcher) usable(w *worker) bool {
	if w.entry.Status != Ready || d.endpointsStale() || d.now < w.blockedUntil {
		return false
	}
	if d.settings.StartReported && w.unstartedAttempts > 0 || d.peerJobWaits(w) {
		return false // a job that was sent to the worker has not started, so no slot is free or the worker is down
	}
	if d.now < w.ejectedUntil || w.consecutiveFailures > 0 && len(w.attempts) > 0 {
		return d.panicMode
	}
	return d.panicMode || !w.suspect || d.now >= w.suspectRetryAt && len(w.attempts) == 0
}

// mayProbe reports whether one job beyond a worker's known capacity may be sent there, to find out whether
// the capacity is larger. All dispatchers that share the worker probe in this way, so the pause between the
// probes of one dispatcher grows with the number of dispatchers that share the worker.
func (d *Dispatcher) mayProbe(w *worker) bool {
	if d.peerJobWaits(w) || d.peerJobArriving(w) {
		return false
	}
	pause, at := max(d.slotTimes.value, float64(d.settings.Classes[0].LatencyObjective)), w.slotLimitAt
	if d.settings.StartReported {
		at = d.kindOf(w).capacityProbedAt
	}
	return float64(d.now-at) > pause*max(1, d.dispatchersPerWorker()/concurrentProbes)
}
