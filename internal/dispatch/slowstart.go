package dispatch

import "math"

// Slow start (rule 4): a worker that started a short time ago gets only what it can take.

const (
	slowStartUse       = 0.65 // of a worker's budget in slow start: its capacity and the works are guesses
	slowStartUseShared = 0.6  // of the same where several own it: parts of it lie idle

	sharedOwners   = 8    // dispatchers that own a worker in slow start in a large fleet without gossip
	leaseUse       = 0.46 // of what a window allows: it meets two leases at most, and estimates differ
	shortJobsShare = 0.25 // of a lease's budget, in equal parts for all owners
	leaseTurn      = 3    // owners by which the turns move from one lease to the next
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
// it for each dispatcher would fit none: all compute the same owners from the worker's number, who may
// use all of it, and nobody else sends there until it is warm.
func (d *Dispatcher) slowStartAllows(j *job, w *worker) bool {
	switch {
	case d.slowStartSince(w) == 0:
		return true
	case !w.unreachable && !d.slowStartOwner(w):
		return false
	case !w.unreachable && d.takesTurns(w):
		return d.leaseAllows(d.slowStartCost(j), w)
	}
	limit := d.refillSlowStartBudget(w)
	return w.slowStartBudget >= min(d.slowStartCost(j), limit)
}

// slowStartOwners is how many dispatchers own a worker in slow start. In a large fleet without gossip one
// would leave a restarted fleet idle.
func (d *Dispatcher) slowStartOwners() int {
	if d.withoutGossip() {
		return sharedOwners
	}
	return 1
}

// slowStartOwner reports whether this dispatcher may send to a worker in slow start. One whose number is
// beyond those that the settings state would share the part of another.
func (d *Dispatcher) slowStartOwner(w *worker) bool {
	return d.settings.Index < d.settings.Dispatchers && d.ownerRank(w) < d.slowStartOwners()
}

// ownerRank is this dispatcher's place among all, from the first owner of a worker on. It follows from
// their numbers alone: lists that differ and restarts leave it as it is.
func (d *Dispatcher) ownerRank(w *worker) int {
	source, n := random(w.entry.Worker), d.settings.Dispatchers
	first := int(source.uniform() * float64(n))
	return (d.settings.Index - first + n) % n
}

// refillSlowStartBudget brings the budget of a worker in slow start up to date and returns its limit.
// What flows in within a window and what may be saved up for it are together less than it allows. A job
// that is larger than the limit may leave when the budget is full, and is paid for before the next. After
// a start of our own the budget begins empty: what we sent before is unknown.
func (d *Dispatcher) refillSlowStartBudget(w *worker) float64 {
	window := float64(d.settings.OverloadWindow)
	rate, saved := slowStartUse/2, 1.0
	if d.withoutGossip() {
		rate, saved = slowStartUseShared, 0.5 // leaves room for a job too many from some
	}
	senders := d.slowStartOwners()
	if w.unreachable {
		senders = 2 * d.settings.Dispatchers // anyone may find out whether it is back
	}
	rate *= d.windowWork(w, d.warmSpeed(w), d.slowStartSince(w)+d.settings.OverloadWindow) / max(1, window)
	rate /= float64(senders)
	limit := rate * window * saved
	if w.slowStartBudgetAt == 0 && d.now-d.startedAt >= d.settings.OverloadWindow {
		w.slowStartBudget += limit // less what was in transit when its start was listed
	} else {
		w.slowStartBudget = min(limit, w.slowStartBudget+rate*float64(d.now-max(w.slowStartBudgetAt, d.startedAt)))
	}
	w.slowStartBudgetAt = d.now
	return limit
}

// windowWork is the work that a worker of a speed may be sent within an overload window by the capacity
// that it had a window ago, if it started at a time.
func (d *Dispatcher) windowWork(w *worker, speed float64, at Micros) float64 {
	capacity := max(1, d.kindOf(w).maxSlotsSeen) * speed * d.slowStartFraction(at)
	return d.settings.OverloadFactor * capacity * float64(d.settings.OverloadWindow)
}

// takesTurns reports whether the owners of a worker take turns: a job too many from each of them would be
// more than the 2 root of N requests by which N, what it may be sent within a window, may be exceeded.
func (d *Dispatcher) takesTurns(w *worker) bool {
	mean, before := d.meanWork(), d.slowStartSince(w)+d.settings.OverloadWindow
	n := d.windowWork(w, min(d.warmSpeed(w), d.fleetSpeed()), before) / mean
	excess := float64(d.slowStartOwners()) * d.typicalWork() / mean
	return d.slowStartOwners() > 1 && n > 0 && slowStartUseShared*n+excess > n+2*math.Sqrt(n)
}

// leaseAllows reports whether a job may go to a worker in slow start whose owners take turns. Its slow
// start is divided into leases of an overload window each, whose budgets are not carried over. A part is
// for jobs that fit into an equal part for each owner. The rest is for the holders, as many of the first
// in turn as have a typical job's worth each; the first alone may send one that is larger. What a
// dispatcher sent in a lease before it started is unknown, so it waits for the next one.
func (d *Dispatcher) leaseAllows(cost float64, w *worker) bool {
	since, window, owners := d.slowStartSince(w), d.settings.OverloadWindow, d.slowStartOwners()
	lease := int(max(0, d.now-since) / window)
	began := since + Micros(lease)*window
	if w.slowStartBudgetAt < began && w.slowStartBudgetAt != 0 {
		w.slowStartBudget = 0 // else what was in transit when its start was listed counts
	}
	w.slowStartBudget, w.slowStartBudgetAt = min(w.slowStartBudget, 0), max(w.slowStartBudgetAt, began)
	if began < d.startedAt {
		return false
	}
	spent, mean := cost-w.slowStartBudget, d.meanWork()
	n := d.windowWork(w, min(d.warmSpeed(w), d.fleetSpeed()), since+window+d.now-began) / mean
	budget := leaseUse * (n + 2*math.Sqrt(n)) * mean
	if lease == 0 { // others send, too, who do not know of the start
		return spent <= budget/2/float64(owners)
	}
	part, rest := budget*shortJobsShare/float64(owners), budget*(1-shortJobsShare)
	turn := (d.ownerRank(w) + (owners-leaseTurn)*lease) % owners
	if holders := max(1, min(int(rest/d.typicalWork()), owners)); turn < holders {
		part += rest / float64(holders)
	}
	return spent <= part || turn == 0 && w.slowStartBudget == 0
}
