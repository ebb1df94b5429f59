package dispatch

import "slices"

// This file keeps the records of outlier detection. It makes no dispatch decisions.

// markSuspect adds a worker to the list of workers that may be outliers (suspect or ejected).
func (d *Dispatcher) markSuspect(w *worker) {
	if !w.inSuspects {
		w.inSuspects = true
		d.suspects = append(d.suspects, w)
	}
}

// countOutliers counts the workers of the subset that are suspect or ejected. It also drops workers that are
// neither, or no longer known, from the list of suspects.
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

// overdueAttempts returns the attempts whose start report is overdue. Unless the subset is large, the
// attempts are in the order of their workers in workerState.busy.
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

// clearOverdue removes an attempt that started or ended from the list of overdue starts.
func (d *Dispatcher) clearOverdue(a *attempt) {
	if a.startOverdue {
		d.overdueStarts = removeValue(d.overdueStarts, a)
	}
}
