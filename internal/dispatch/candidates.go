package dispatch

// This file finds the workers to which deduplication groups restrict a job. It makes no dispatch decisions.

// bindingAttempt returns the job's first attempt that is in flight or may have run, or nil. An attempt that
// may have run is repeated only as the job's class allows, so a keyed job may be bound to the deduplication
// group of the returned attempt.
func (j *job) bindingAttempt() *attempt {
	for _, a := range j.attempts {
		if a.inFlight || a.mayHaveRun {
			return a
		}
	}
	return nil
}

// candidates returns the workers among which a job's worker is chosen: the subset, or for the retry of a
// keyed job all workers of its deduplication group, because the subset may have no worker of that group. The
// result free is false only if an earlier attempt binds the job to the deduplication group of one zone or
// cell.
func (d *Dispatcher) candidates(j *job) (from []*worker, free bool) {
	c := &d.settings.Classes[j.class]
	if c.Effect != Keyed || len(j.attempts) == 0 {
		return d.subset, true
	}
	a := j.bindingAttempt()
	if a == nil || c.DedupScope == ScopeAll {
		return d.ordered, true
	}
	groupOf := func(e *WorkerEntry) int {
		if c.DedupScope == ScopeZone {
			return e.Zone
		}
		return e.Cell
	}
	if d.dedupGroups[c.DedupScope] == nil {
		// The workers of each deduplication group keep the order of d.ordered, which decides between workers of
		// equal placement cost.
		groups := map[int][]*worker{}
		for _, w := range d.ordered {
			groups[groupOf(&w.entry)] = append(groups[groupOf(&w.entry)], w)
		}
		d.dedupGroups[c.DedupScope] = groups
	}
	return d.dedupGroups[c.DedupScope][groupOf(&a.worker.entry)], false
}

// anyWorkerAllowed reports whether any ready worker may be sent a further attempt of a job: an attempt that
// may have run is repeated only as the job's class allows.
func (d *Dispatcher) anyWorkerAllowed(j *job) bool {
	from := d.ordered
	keyed := d.settings.Classes[j.class].Effect == Keyed
	if keyed {
		from, _ = d.candidates(j)
	}
	for _, w := range from {
		if w.entry.Status == Ready {
			if allowed := d.attemptAllowed(j, w); allowed || !keyed {
				return allowed // unless the job is keyed, attemptAllowed has the same result for every worker
			}
		}
	}
	return false
}
