package dispatch

import (
	"cmp"
	"slices"
)

// This file keeps the worker list sorted. The cost of an update grows with the number of changed workers,
// not with the size of the fleet. docs/design-list.md compares the alternatives. This file makes no dispatch
// decisions.

// sortKey has the parts of a worker's entry that determine its order in the list and its place on the ring.
type sortKey struct {
	zone, kind int
	ready      bool
}

// sortKeyOf returns the sort key of an entry.
func sortKeyOf(e *WorkerEntry) sortKey { return sortKey{e.Zone, e.Kind, e.Status == Ready} }

// compareWorkers orders workers by zone, kind and number, with zone and kind as of the last updateSubset.
func compareWorkers(a, b *worker) int {
	return cmp.Or(cmp.Compare(a.sortKey.zone, b.sortKey.zone), cmp.Compare(a.sortKey.kind, b.sortKey.kind),
		cmp.Compare(a.entry.Worker, b.entry.Worker))
}

// insertSorted inserts a worker into a list that is sorted by compareWorkers.
func insertSorted(list []*worker, w *worker) []*worker {
	i, _ := slices.BinarySearchFunc(list, w, compareWorkers)
	return slices.Insert(list, i, w)
}

// removeSorted removes a worker from a list that is sorted by compareWorkers.
func removeSorted(list []*worker, w *worker) []*worker {
	if i, found := slices.BinarySearchFunc(list, w, compareWorkers); found {
		return slices.Delete(list, i, i+1)
	}
	return list
}

// reorder updates the sorted lists, the ring and the subset for the workers that an update named.
func (d *Dispatcher) reorder(updated []*worker) {
	moved := updated[:0]
	for _, w := range updated {
		if (!w.inOrder || w.sortKey != sortKeyOf(&w.entry)) && d.workers[w.entry.Worker] == w {
			d.workerRingPosition(w) // stores the ring position, which a worker keeps when it is no longer ready
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
	// In sorted order, the insertions of the first worker list append to d.ordered instead of moving its
	// entries.
	slices.SortFunc(moved, compareWorkers)
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

// setCovered records whether this dispatcher's interval of the ring covers a worker, and updates the subset.
// A worker outside the interval that this dispatcher owns by number (see isOwnerByNumber) goes to
// ownedNotCovered instead: updateSubset keeps such a worker in the subset while the worker is in slow start.
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

// setInSubset adds a worker to this dispatcher's subset, or removes the worker from the subset.
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

// workerRingPosition returns a worker's position on the ring, from 0 to 1. A ready worker has a position by
// its rank among the ready workers of its zone and kind; another worker keeps its last position.
func (d *Dispatcher) workerRingPosition(w *worker) float64 {
	if w.ringGroup != nil && w.ringVersion != w.ringGroup.Generation() {
		w.ringPosition, w.ringVersion = w.ringGroup.Position(uint32(w.entry.Worker)), w.ringGroup.Generation()
	}
	return w.ringPosition
}

// removedWorker records when the worker list first showed a worker as removed. The record is void if the
// worker was listed again since then.
type removedWorker struct {
	worker *worker
	since  Micros // time when the worker list first showed the worker as removed
}

// forgetRemoved records which workers of an update are removed, and deletes the workers that have been
// removed for longer than RemovedRetention.
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
		// An entry whose worker was listed again or deleted is dropped. A worker with attempts in flight or with
		// gossip to send keeps its entry and its record.
		switch {
		case w.removedAt != g.since || d.workers[w.entry.Worker] != w:
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
