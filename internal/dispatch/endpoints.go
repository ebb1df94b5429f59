package dispatch

// Endpoints: updates of the worker list, and polls for it.

const watchRenewalIntervals = 3.0 // poll intervals after which a silent subscription is renewed

// onEndpointsUpdated takes an update of the worker list, or notes that none came.
func (d *Dispatcher) onEndpointsUpdated(e *Event) {
	if e.Scope >= UpdateFailed { // nothing new, and perhaps less to rely on
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
	if e.Scope < UpdateCached && d.settings.PollEndpoints { // what a start knew may be of any age
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
		if entry.Started > w.entry.Started { // known to be back: no need to find out
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

// pollEndpoints subscribes to the list, and again if no answer comes.
func (d *Dispatcher) pollEndpoints() {
	d.emit(Action{Kind: WatchEndpoints})
	d.pollAt = d.now + Micros(float64(d.settings.PollInterval)*(0.45+0.05*d.random.uniform()))
}
