package dispatch

// Slow start (rule 4): a worker that started a short time ago gets only what it can take.

const (
	slowStartBudgetFraction       = 0.65 // of a worker's slow-start budget: capacity and works are guesses
	slowStartBudgetFractionShared = 0.6  // of the same rate where many share it: parts of it lie idle
)

// slowStartSince is when a worker in slow start started, 0 if it is warm.
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

// slowStartAllows is rule 4. The budget of a worker in slow start is small against a job, and a part of
// it for each dispatcher would fit none: all compute the same owner from the worker's number, who may
// use all of it, and nobody else sends there until it is warm. In a large fleet without gossip one
// owner would leave a restarted fleet idle: there, so many of those that cover the worker own it as
// have a job's worth of budget each.
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

// isSlowStartOwner reports whether this dispatcher may send to a worker in slow start. One whose number is
// beyond those that the settings state would be an owner too many.
func (d *Dispatcher) isSlowStartOwner(w *worker) bool {
	if d.largeFleetWithoutGossip() && d.settings.Index < d.settings.Dispatchers {
		return d.ringDistance(d.position, w) < d.ringCoverage*d.slowStartOwnerCount(w)/d.dispatchersPerWorker()
	}
	return d.isOwnerByNumber(w)
}

// isOwnerByNumber reports whether this dispatcher owns a worker by its number alone, wherever that stands
// on the ring. A large fleet without gossip goes by the position instead: who owns it there covers it.
func (d *Dispatcher) isOwnerByNumber(w *worker) bool {
	source := random(w.entry.Worker)
	return !d.largeFleetWithoutGossip() &&
		int(source.uniform()*float64(d.settings.Dispatchers)) == d.settings.Index
}

// refillSlowStartBudget brings the budget of a worker in slow start up to date and returns its limit.
// What flows in within a window and what may be saved up for it (see slowStartRate) are together less
// than it allows. A job that is larger than the limit may leave when the budget is full, and is paid for
// before the next. After a start of our own the budget begins empty: what we sent before is unknown.
func (d *Dispatcher) refillSlowStartBudget(w *worker) float64 {
	windowBegan := d.slowStartFraction(d.slowStartSince(w) + d.settings.OverloadWindow)
	rate := d.slowStartRate(w) * windowBegan
	if w.unreachable {
		rate /= 2 * float64(d.settings.Dispatchers) // anyone may find out whether it is back
	} else {
		rate /= d.slowStartOwnerCount(w)
	}
	limit := rate * float64(d.settings.OverloadWindow)
	if d.largeFleetWithoutGossip() {
		limit /= 2 // leaves room for a job too many from some
	}
	if w.slowStartBudgetAt == 0 && d.now-d.startedAt >= d.settings.OverloadWindow {
		w.slowStartBudget += limit // less what was in transit when its start was listed
	} else {
		w.slowStartBudget = min(limit, w.slowStartBudget+rate*float64(d.now-max(w.slowStartBudgetAt, d.startedAt)))
	}
	w.slowStartBudgetAt = d.now
	return limit
}

// slowStartRate is the work that a worker may be sent in a unit of time per fraction of its capacity.
func (d *Dispatcher) slowStartRate(w *worker) float64 {
	budgetFraction := slowStartBudgetFraction / 2
	if d.largeFleetWithoutGossip() {
		budgetFraction = slowStartBudgetFractionShared
	}
	return budgetFraction * d.settings.OverloadFactor * max(1, d.kindOf(w).maxBusySlots) * d.warmSpeed(w)
}

// slowStartOwnerCount is how many dispatchers own a worker in slow start, each an equal part of its budget.
func (d *Dispatcher) slowStartOwnerCount(w *worker) float64 {
	if !d.largeFleetWithoutGossip() {
		return 1
	}
	allowance := 1.5 * d.slowStartRate(w) * d.settings.SlowStartInitial * float64(d.settings.OverloadWindow)
	return max(1, min(d.dispatchersPerWorker(), allowance/max(d.slotTimes.value, d.sizeBiasedMeanWork())))
}
