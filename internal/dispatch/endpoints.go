package dispatch

// Endpoints: updates of the worker list, and requests for the list.

// watchRenewalIntervals is the time, in poll intervals, after which a subscription to the worker list that
// has delivered nothing is renewed.
const watchRenewalIntervals = 3.0

// onEndpointsUpdated applies an update of the worker list, or records that a request for the list failed.
func (d *Dispatcher) onEndpointsUpdated(e *Event) {
	// A failed call or an update from another source does not make the present worker list more current, and may
	// show that the list is older than assumed.
	if e.Scope >= UpdateFailed {
		d.endpointsAsOf = min(d.endpointsAsOf, d.now-e.Age)
	}
	if e.Scope == UpdateFailed {
		if d.settings.PollEndpoints {
			d.pollAt = d.now + d.pollBackoff()
			d.pollFailures++
			d.log("the worker list does not answer: the last one is used")
		}
		return
	}
	// A worker list that was stored before a restart does not count as current, because its age is unknown.
	if e.Scope < UpdateCached && d.settings.PollEndpoints {
		d.pollFailures, d.endpointsAsOf = 0, d.now-e.Age
		d.pollAt = d.now + Micros(watchRenewalIntervals*float64(d.settings.PollInterval))
	}
	updated, complete := d.updatedBuffer[:0], e.Scope == UpdateFull || e.Scope == UpdateCached
	d.updateCount++
	for _, entry := range e.Workers {
		w := d.workers[entry.Worker]
		if w == nil {
			w = &worker{slotLimit: 1, placementBias: d.random.uniform() * 0.05}
			d.workers[entry.Worker] = w
		}
		if entry.Started > w.entry.Started { // the worker has restarted, so earlier failures no longer count
			w.unreachable, w.consecutiveFailures, w.ejectedUntil = false, 0, 0
			w.slowStartBudgetAt, w.slowStartBudget = 0, -d.workInTransit(w)
		}
		w.entry, w.kind, w.group, w.lastUpdate = entry, nil, nil, d.updateCount
		updated = append(updated, w)
	}
	for i := 0; complete && i < len(d.ordered); i++ {
		if w := d.ordered[i]; w.lastUpdate != d.updateCount && w.entry.Status != Removed {
			w.entry.Status = Removed
			updated = append(updated, w)
		}
	}
	d.forgetRemoved(updated)
	d.updateSubset(updated)
	clear(updated)
	d.updatedBuffer = updated[:0]
	d.invalidateIndex()
}

// pollEndpoints requests a subscription to the worker list and sets the time at which the request is repeated
// if no answer has come, about half a poll interval later.
func (d *Dispatcher) pollEndpoints() {
	d.emit(Action{Kind: WatchEndpoints})
	d.pollAt = d.now + Micros(float64(d.settings.PollInterval)*(0.45+0.05*d.random.uniform()))
}
