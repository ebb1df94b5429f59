package dispatch

// The workers that a job may go to, as far as deduplication groups bind it. Nothing here decides.

// bindingAttempt is the first attempt that may have run, to whose group rule 2 may bind the job, or nil.
func (j *job) bindingAttempt() *attempt {
	for _, a := range j.attempts {
		if a.inFlight || a.mayHaveRun {
			return a
		}
	}
	return nil
}

// candidates are the workers among which rule 2 and the subset leave a choice: those of the subset, and
// for a keyed retry those of its group, which may have no worker in the subset. It also reports
// whether no group binds it.
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
	if d.dedupGroups[c.DedupScope] == nil { // in the order of the list, which breaks ties
		groups := map[int][]*worker{}
		for _, w := range d.ordered {
			groups[groupOf(&w.entry)] = append(groups[groupOf(&w.entry)], w)
		}
		d.dedupGroups[c.DedupScope] = groups
	}
	return d.dedupGroups[c.DedupScope][groupOf(&a.worker.entry)], false
}

// anyWorkerAllowed reports whether rule 2 leaves a job any worker at all.
func (d *Dispatcher) anyWorkerAllowed(j *job) bool {
	from := d.ordered
	keyed := d.settings.Classes[j.class].Effect == Keyed
	if keyed {
		from, _ = d.candidates(j)
	}
	for _, w := range from {
		if w.entry.Status == Ready {
			if allowed := d.attemptAllowed(j, w); allowed || !keyed {
				return allowed // only a group makes a difference between workers
			}
		}
	}
	return false
}
