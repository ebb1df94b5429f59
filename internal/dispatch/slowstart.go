package dispatch

// Slow start: a worker that started a short time ago is sent no more than the slow-start rule (see rules.go)
// allows.

const (
	// slowStartBudgetFraction is the fraction of the work that the settings allow per overload window that a
	// single owner may send, as refill and saved budget together. It is below 1 because the worker's capacity
	// and the work of jobs are estimates.
	slowStartBudgetFraction = 0.65

	// slowStartBudgetFractionShared is the fraction of the work that the settings allow per overload window by
	// which the budgets of all owners together are refilled in a large fleet without gossip. Half as much may be
	// saved in addition. The sum is larger than for a single owner because the parts of some owners stay unused.
	slowStartBudgetFractionShared = 0.6
)

// slowStartSince returns the time at which a worker in slow start started, or 0 if the worker is not in slow
// start. An unreachable worker counts as starting now.
func (d *Dispatcher) slowStartSince(w *worker) Micros {
	if w.unreachable {
		return d.now
	}
	at := max(w.inferredStart, w.entry.Started)
	if at != 0 && d.now-at >= d.settings.SlowStart {
		return 0
	}
	return at
}

// slowStartAllows reports whether the slow-start rule allows a job at a worker. The budget of a worker in
// slow start is small compared with the work of a job, so an equal part for each dispatcher would never
// suffice for a job. Therefore all dispatchers compute one owner from the worker's number; the owner may use
// the whole budget, and no other dispatcher sends to the worker during its slow start. In a large fleet
// without gossip a single owner per worker would leave a restarted fleet idle. There, a worker has as many
// owners, among the dispatchers that cover it on the ring, as can each have budget for one job.
func (d *Dispatcher) slowStartAllows(j *job, w *worker) bool {
	if d.slowStartSince(w) == 0 {
		return true
	}
	if !w.unreachable && !d.isSlowStartOwner(w) {
		return false
	}
	limit := d.refillSlowStartBudget(w)
	return w.slowStartBudget >= min(d.slowStartCost(j), limit)
}

// isSlowStartOwner reports whether this dispatcher owns a worker in slow start and may send to it. A
// dispatcher whose Index is not below Dispatchers owns no worker, as it would be an owner that the others do
// not count.
func (d *Dispatcher) isSlowStartOwner(w *worker) bool {
	if d.largeFleetWithoutGossip() && d.settings.Index < d.settings.Dispatchers {
		return d.ringDistance(d.position, w) < d.ringCoverage*d.slowStartOwnerCount(w)/d.dispatchersPerWorker()
	}
	return d.isOwnerByNumber(w)
}

// isOwnerByNumber reports whether this dispatcher owns a worker by the worker's number, whatever its position
// on the ring. It is false in a large fleet without gossip, where ownership depends on the ring position and
// an owner always covers the worker.
func (d *Dispatcher) isOwnerByNumber(w *worker) bool {
	source := random(w.entry.Worker)
	return !d.largeFleetWithoutGossip() &&
		int(source.uniform()*float64(d.settings.Dispatchers)) == d.settings.Index
}

// refillSlowStartBudget updates the budget of a worker in slow start to the present time and returns the
// limit up to which budget may be saved. The refill within one overload window and the saved budget (see
// slowStartRate) together stay below the work that the settings allow in a window. A job that costs more than
// the limit may be sent when the budget is full; the budget is negative afterwards and has to be refilled
// before the next job. Shortly after a start of this dispatcher the budget begins empty, because the jobs
// that it sent before the start are unknown.
func (d *Dispatcher) refillSlowStartBudget(w *worker) float64 {
	windowBegan := d.slowStartFraction(d.slowStartSince(w) + d.settings.OverloadWindow)
	rate := d.slowStartRate(w) * windowBegan
	if w.unreachable {
		// Every dispatcher may try whether the worker is reachable again, so each has a part of the rate.
		rate /= 2 * float64(d.settings.Dispatchers)
	} else {
		rate /= d.slowStartOwnerCount(w)
	}
	limit := rate * float64(d.settings.OverloadWindow)
	if d.largeFleetWithoutGossip() {
		limit /= 2 // the other half is a reserve, because several owners may each send one job too many
	}
	if w.slowStartBudgetAt == 0 && d.now-d.startedAt >= d.settings.OverloadWindow {
		// Before its first refill the budget is minus the work that was in transit when the worker's start was
		// listed, or 0.
		w.slowStartBudget += limit
	} else {
		w.slowStartBudget = min(limit, w.slowStartBudget+rate*float64(d.now-max(w.slowStartBudgetAt, d.startedAt)))
	}
	w.slowStartBudgetAt = d.now
	return limit
}

// slowStartRate returns the work that a worker of full capacity may be sent per unit of time under the limits
// of slow start; refillSlowStartBudget multiplies it by the fraction of its capacity that the worker has. The
// rate of a single owner is halved, because saved budget of a whole window may come on top of the refill.
func (d *Dispatcher) slowStartRate(w *worker) float64 {
	budgetFraction := slowStartBudgetFraction / 2
	if d.largeFleetWithoutGossip() {
		budgetFraction = slowStartBudgetFractionShared
	}
	return budgetFraction * d.settings.OverloadFactor * max(1, d.kindOf(w).maxBusySlots) * d.warmSpeed(w)
}

// slowStartOwnerCount returns how many dispatchers own a worker in slow start. Each owner has an equal part
// of the budget. In a large fleet without gossip there are as many owners as can each send one job of typical
// work within an overload window; the refill and the saved budget of a window are 1.5 times slowStartRate.
func (d *Dispatcher) slowStartOwnerCount(w *worker) float64 {
	if !d.largeFleetWithoutGossip() {
		return 1
	}
	allowance := 1.5 * d.slowStartRate(w) * d.settings.SlowStartInitial * float64(d.settings.OverloadWindow)
	return max(1, min(d.dispatchersPerWorker(), allowance/max(d.slotTimes.value, d.sizeBiasedMeanWork())))
}
