package dispatch

// Slow start: a worker that started a short time ago is sent no more than the slow-start rule (see rules.go)
// allows.

const (
	// slowStartBudgetFraction applies where a worker in slow start has a single owner (the only dispatcher that
	// may send to the worker). Within an overload window, the time over which the work sent to the worker is
	// limited, the owner may send this fraction of the work that the settings allow, as refill of its budget and
	// saved budget together. The fraction is below 1 because the worker's capacity and the work of jobs are
	// estimates.
	slowStartBudgetFraction = 0.65

	// slowStartBudgetFractionShared applies in a large fleet without gossip, where a worker in slow start has
	// several owners (dispatchers that may send to the worker). Within an overload window, the time
	// over which the work sent to the worker is limited, the budgets of all owners together are refilled by this
	// fraction of the work that the settings allow, and half as much may be saved in addition. The sum of refill
	// and saved budget is larger than for a single owner because the parts of some owners stay unused.
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

// slowStartAllows reports whether the slow-start rule (all dispatchers together do not send a worker in slow
// start more than its limit) allows a job to be sent to a worker. The budget of a worker in slow start is
// small compared with the work of a job, so an equal part for each dispatcher would never suffice for a job.
// Therefore all dispatchers compute one owner from the worker's number; the owner may use the whole budget,
// and no other dispatcher sends to the worker during its slow start. In a large fleet without gossip a single
// owner per worker would leave a restarted fleet idle. In such a fleet a worker has as many owners, among the
// dispatchers whose interval of the ring covers the worker, as can each have budget for one job.
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

// isSlowStartOwner reports whether this dispatcher is an owner of a worker in slow start, that is, one of the
// dispatchers that may send to the worker then. A dispatcher whose Index is not below Dispatchers owns no
// worker, because the other dispatchers do not count such a dispatcher when they divide the budget among the
// owners.
func (d *Dispatcher) isSlowStartOwner(w *worker) bool {
	if d.largeFleetWithoutGossip() && d.settings.Index < d.settings.Dispatchers {
		return d.ringDistance(d.position, w) < d.ringCoverage*d.slowStartOwnerCount(w)/d.dispatchersPerWorker()
	}
	return d.isOwnerByNumber(w)
}

// isOwnerByNumber reports whether this dispatcher is the owner of a worker by the worker's number, whatever
// the worker's position on the ring. The owner may send to the worker while the worker is in slow start. The
// result is false in a large fleet without gossip, where ownership depends on the ring position and the
// interval of an owner always covers the worker.
func (d *Dispatcher) isOwnerByNumber(w *worker) bool {
	source := random(w.entry.Worker)
	return !d.largeFleetWithoutGossip() &&
		int(source.uniform()*float64(d.settings.Dispatchers)) == d.settings.Index
}

// refillSlowStartBudget updates the budget of a worker in slow start to the present time and returns the
// limit up to which budget may be saved. The refill within one overload window and the saved budget (see
// slowStartRate) together stay below the work that the settings allow in an overload window, the time over
// which the work sent to the worker is limited. A job that costs more than the limit may be sent when the
// budget is full; the budget is negative afterwards and has to be refilled before the next job. Shortly after
// a start of this dispatcher the budget begins empty, because the dispatcher does not know the jobs that it
// sent before the start.
func (d *Dispatcher) refillSlowStartBudget(w *worker) float64 {
	windowBegan := d.slowStartFraction(d.slowStartSince(w) + d.settings.OverloadWindow)
	rate := d.slowStartRate(w) * windowBegan
	if w.unreachable {
		// Every dispatcher may try whether the worker is reachable again, so the rate is divided among all
		// dispatchers.
		rate /= 2 * float64(d.settings.Dispatchers)
	} else {
		rate /= d.slowStartOwnerCount(w)
	}
	limit := rate * float64(d.settings.OverloadWindow)
	if d.largeFleetWithoutGossip() {
		limit /= 2 // half of the limit is a reserve, because several owners may each exceed their budget by one job
	}
	if w.slowStartBudgetAt == 0 && d.now-d.startedAt >= d.settings.OverloadWindow {
		// Before the first refill, slowStartBudget is 0, or minus the work of the jobs that were on their way to
		// the worker when the worker list showed the worker's restart (workInTransit).
		w.slowStartBudget += limit
	} else {
		w.slowStartBudget = min(limit, w.slowStartBudget+rate*float64(d.now-max(w.slowStartBudgetAt, d.startedAt)))
	}
	w.slowStartBudgetAt = d.now
	return limit
}

// slowStartRate returns the work per unit of time that a worker of full capacity may be sent under the limits
// of slow start; refillSlowStartBudget multiplies the rate by the fraction of its full capacity that the
// worker has now. If a single dispatcher, the owner, may send to the worker, its rate is halved, because the
// saved budget of a whole overload window may come on top of the refill.
func (d *Dispatcher) slowStartRate(w *worker) float64 {
	budgetFraction := slowStartBudgetFraction / 2
	if d.largeFleetWithoutGossip() {
		budgetFraction = slowStartBudgetFractionShared
	}
	return budgetFraction * d.settings.OverloadFactor * max(1, d.kindOf(w).maxBusySlots) * d.warmSpeed(w)
}

// slowStartOwnerCount returns how many dispatchers are owners of a worker in slow start, that is, may send to
// it. Each owner has an equal part of the budget. In a large fleet without gossip there are as many owners as
// can each send one job of typical work within an overload window, in which the refill and the saved budget
// together are 1.5 times slowStartRate.
func (d *Dispatcher) slowStartOwnerCount(w *worker) float64 {
	if !d.largeFleetWithoutGossip() {
		return 1
	}
	allowance := 1.5 * d.slowStartRate(w) * d.settings.SlowStartInitial * float64(d.settings.OverloadWindow)
	return max(1, min(d.dispatchersPerWorker(), allowance/max(d.slotTimes.value, d.sizeBiasedMeanWork())))
}
