package dispatch

import "math"

// Placement: which worker a job goes to.

const (
	fullLoadCostRuns = 0.8 // cost of a fully busy worker, in runs: other dispatchers fill it unseen
	concurrentProbes = 2   // dispatchers that may probe a worker past its slot limit within one run
)

// selectWorker picks the worker for a queued job, or nil to hold it. A large subset is not scanned: the
// index names some that likely cost least. If none of them will do, the scan decides.
func (d *Dispatcher) selectWorker(j *job) *worker {
	from, free := d.candidates(j)
	own := free && len(from) == len(d.subset)
	if free && d.largeSubset() {
		if own && d.noCapacityEvent == d.eventCount {
			return nil // the scan for another job found no slot at all
		}
		if w := d.cheapest(j, d.shortlist(j)); w != nil {
			return w
		}
	}
	d.freeCapacitySeen = false
	w := d.cheapest(j, from)
	if w == nil && own && !d.freeCapacitySeen {
		d.noCapacityEvent = d.eventCount
	}
	return w
}

// cheapest takes the worker with the least cost, the run and the wait expected there. One of another
// zone is taken only when that justifies its price.
func (d *Dispatcher) cheapest(j *job, from []*worker) *worker {
	var near, far *worker
	nearCost, farCost := math.Inf(1), math.Inf(1)
	remaining := float64(j.objective - d.now)
	for _, w := range from {
		cost, ok := d.placementCost(j, w, remaining)
		if !ok {
			continue
		}
		if d.settings.CrossZonePrice == 0 || w.entry.Zone == d.settings.Zone {
			if cost < nearCost {
				near, nearCost = w, cost
			}
		} else if cost < farCost {
			far, farCost = w, cost
		}
	}
	if far == nil || near != nil && nearCost <= d.crossZoneCost(farCost, remaining) {
		return near
	}
	if near == nil && !d.crossZoneJustified(j) {
		return nil
	}
	return far
}

// placementCost is what a worker costs a job: the run and the wait expected there, in microseconds. It
// is false if the worker will not do.
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
	// The objective cannot be met there, but elsewhere: see expire. A worker in slow start may have the job
	// all the same where late answers earn, or a new fleet stands idle.
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

// crossZoneJustified weighs the price of leaving the zone against what waiting risks.
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

// eligible reports whether the class of a job and its earlier attempts allow a worker.
func (d *Dispatcher) eligible(j *job, w *worker) bool {
	if k := d.settings.Classes[j.class].Kind; k >= 0 && k != w.entry.Kind || d.shouldAvoidFailing(j, w) {
		return false
	}
	for _, a := range j.attempts {
		if a.worker == w && (a.inFlight || a.mayHaveRun || a.handedBack) {
			return false // another worker, if any: this one had its chance
		}
	}
	return d.attemptAllowed(j, w) && d.slowStartAllows(j, w)
}

// usable reports whether a worker may be given work at all.
func (d *Dispatcher) usable(w *worker) bool {
	if w.entry.Status != Ready || d.endpointsStale() || d.now < w.blockedUntil {
		return false
	}
	if d.settings.StartReported && w.unstartedAttempts > 0 || d.peerJobWaits(w) {
		return false // its last job has not begun: it is full, or down
	}
	if d.now < w.ejectedUntil || w.consecutiveFailures > 0 && len(w.attempts) > 0 {
		return d.panicMode
	}
	return d.panicMode || !w.suspect || d.now >= w.suspectRetryAt && len(w.attempts) == 0
}

// mayProbe reports whether one job beyond a worker's capacity may be tried. Each dispatcher that shares
// the worker probes alike, so the pause grows with their number.
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
