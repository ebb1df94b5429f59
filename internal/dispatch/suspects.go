package dispatch

import "slices"

// Bookkeeping of outlier detection. Nothing here decides.

// markSuspect takes note of a worker that may be an outlier.
func (d *Dispatcher) markSuspect(w *worker) {
	if !w.inSuspects {
		w.inSuspects = true
		d.suspects = append(d.suspects, w)
	}
}

// countOutliers counts the workers of the subset that are suspect or ejected, and forgets who is
// neither, or no longer known.
func (d *Dispatcher) countOutliers() (n int) {
	d.suspects = slices.DeleteFunc(d.suspects, func(w *worker) bool {
		w.inSuspects = (w.suspect || d.now < w.ejectedUntil) && d.workers[w.entry.Worker] == w
		if w.inSuspects && w.inSubset {
			n++
		}
		return !w.inSuspects
	})
	return n
}

// overdueAttempts are the attempts whose start is overdue, in the order of the busy workers.
func (d *Dispatcher) overdueAttempts() []*attempt {
	if d.largeSubset() || len(d.overdueStarts) < 2 {
		return d.overdueStarts
	}
	if d.sortedOverdueStartsEvent != d.eventCount {
		d.sortedOverdueStartsEvent, d.sortedOverdueStarts = d.eventCount, d.sortedOverdueStarts[:0]
		for _, w := range d.busy {
			for _, a := range w.attempts {
				if a.startOverdue && a.startedAt == 0 {
					d.sortedOverdueStarts = append(d.sortedOverdueStarts, a)
				}
			}
		}
	}
	return d.sortedOverdueStarts
}

// clearOverdue takes note that an attempt began or ended.
func (d *Dispatcher) clearOverdue(a *attempt) {
	if a.startOverdue {
		d.overdueStarts = removeValue(d.overdueStarts, a)
	}
}
