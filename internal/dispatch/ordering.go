package dispatch

import (
	"cmp"
	"slices"
)

// The worker list as an index: what it costs to maintain goes by what changes, not by the size of the
// fleet. docs/design-list.md has the ways that were weighed. Nothing here decides.

// sortKey is where a worker stands in the list: its order and its position on the ring depend on it.
type sortKey struct {
	zone, kind int
	ready      bool
}

func sortKeyOf(e *WorkerEntry) sortKey { return sortKey{e.Zone, e.Kind, e.Status == Ready} }

// compareWorkers orders workers by zone, kind and number, as of the last updateSubset.
func compareWorkers(a, b *worker) int {
	return cmp.Or(cmp.Compare(a.sortKey.zone, b.sortKey.zone), cmp.Compare(a.sortKey.kind, b.sortKey.kind),
		cmp.Compare(a.entry.Worker, b.entry.Worker))
}

// insertSorted puts a worker into a list by sort key.
func insertSorted(list []*worker, w *worker) []*worker {
	i, _ := slices.BinarySearchFunc(list, w, compareWorkers)
	return slices.Insert(list, i, w)
}

// removeSorted takes a worker out of a list by sort key.
func removeSorted(list []*worker, w *worker) []*worker {
	if i, found := slices.BinarySearchFunc(list, w, compareWorkers); found {
		return slices.Delete(list, i, i+1)
	}
	return list
}

// reorder brings the order and the ring in line with the entries of workers that an update named.
func (d *Dispatcher) reorder(updated []*worker) {
	moved := updated[:0]
	for _, w := range updated {
		if (!w.inOrder || w.sortKey != sortKeyOf(&w.entry)) && d.workers[w.entry.Worker] == w {
			d.workerRingPosition(w) // who is ready no more keeps the position that it had
			moved = append(moved, w)
		}
	}
	for _, w := range moved {
		if w.ringGroup != nil {
			d.ring.Remove(w.ringGroup, uint32(w.entry.Worker))
			w.ringGroup, w.covered = nil, false
			d.ownedNotCovered = removeSorted(d.ownedNotCovered, w)
			d.setInSubset(w, false)
		}
		if s := sortKeyOf(&w.entry); w.inOrder && (s.zone != w.sortKey.zone || s.kind != w.sortKey.kind) {
			d.ordered, w.inOrder = removeSorted(d.ordered, w), false
		}
	}
	for _, w := range moved {
		w.sortKey = sortKeyOf(&w.entry)
	}
	slices.SortFunc(moved, compareWorkers) // each goes behind the last: a first list is not moved about
	for _, w := range moved {
		if !w.inOrder {
			d.ordered, w.inOrder = insertSorted(d.ordered, w), true
		}
		if w.sortKey.ready && w.ringGroup == nil {
			covered := false
			w.ringGroup, covered = d.ring.Add(w.sortKey.zone, w.sortKey.kind, uint32(w.entry.Worker), w)
			w.ringVersion = 0
			if d.isOwnerByNumber(w) {
				d.ownedNotCovered = insertSorted(d.ownedNotCovered, w)
			}
			if covered {
				d.setCovered(w, true)
			}
		}
	}
}

// setCovered marks whether the interval has a worker. One that it lacks may be in the subset all the
// same while it is in slow start: updateSubset looks at those that this dispatcher owns by number.
func (d *Dispatcher) setCovered(w *worker, in bool) {
	w.covered = in
	switch {
	case !d.isOwnerByNumber(w):
		d.setInSubset(w, in)
	case in:
		d.ownedNotCovered = removeSorted(d.ownedNotCovered, w)
		d.setInSubset(w, true)
	default:
		d.ownedNotCovered = insertSorted(d.ownedNotCovered, w)
	}
}

// setInSubset takes a worker into this dispatcher's subset, or out of it.
func (d *Dispatcher) setInSubset(w *worker, in bool) {
	if w.inSubset == in {
		return
	}
	if w.inSubset = in; in {
		d.subset = insertSorted(d.subset, w)
	} else {
		d.subset = removeSorted(d.subset, w)
	}
}

// workerRingPosition is the position of a worker on the ring: by its rank while it is ready, else its last.
func (d *Dispatcher) workerRingPosition(w *worker) float64 {
	if w.ringGroup != nil && w.ringVersion != w.ringGroup.Generation() {
		w.ringPosition, w.ringVersion = w.ringGroup.Position(uint32(w.entry.Worker)), w.ringGroup.Generation()
	}
	return w.ringPosition
}

// removedWorker is a worker that the list has had removed since then, if it still has.
type removedWorker struct {
	worker *worker
	since  Micros
}

// forgetRemoved notes which of those that an update named are removed, and drops those that have long
// been so.
func (d *Dispatcher) forgetRemoved(updated []*worker) {
	for _, w := range updated {
		if w.entry.Status != Removed {
			w.removedAt = 0
		} else if w.removedAt == 0 {
			w.removedAt = max(d.now, 1)
			d.removed = append(d.removed, removedWorker{w, w.removedAt})
		}
	}
	retention := d.settings.RemovedRetention()
	if len(d.removed) == 0 || d.now-d.removed[0].since < retention {
		return
	}
	remaining := d.removed[:0]
	for i, g := range d.removed {
		w := g.worker
		if d.now-g.since < retention {
			remaining = append(remaining, d.removed[i:]...)
			break
		}
		switch {
		case w.removedAt != g.since || d.workers[w.entry.Worker] != w: // it came back since, or is dropped
		case len(w.attempts) > 0 || w.gossipQueued:
			remaining = append(remaining, g)
		default:
			delete(d.workers, w.entry.Worker)
			d.ordered = removeSorted(d.ordered, w)
		}
	}
	clear(d.removed[len(remaining):])
	d.removed = remaining
}
