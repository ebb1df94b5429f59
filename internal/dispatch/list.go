package dispatch

import (
	"cmp"
	"slices"
)

// The worker list as an index: what it costs to keep goes by what changes, not by the size of the
// fleet. docs/design-list.md has the ways that were weighed. Nothing here decides.

// seat is where a worker stands in the list: what its order and its place hang on.
type seat struct {
	zone, kind int
	ready      bool
}

func seatOf(e *WorkerEntry) seat { return seat{e.Zone, e.Kind, e.Status == Ready} }

// bySeat orders workers by zone, kind and number, as of the last settle.
func bySeat(a, b *worker) int {
	return cmp.Or(cmp.Compare(a.seat.zone, b.seat.zone), cmp.Compare(a.seat.kind, b.seat.kind),
		cmp.Compare(a.entry.Worker, b.entry.Worker))
}

// with and cut put a worker into a list by seat, and take it out.
func with(list []*worker, w *worker) []*worker {
	i, _ := slices.BinarySearchFunc(list, w, bySeat)
	return slices.Insert(list, i, w)
}

func cut(list []*worker, w *worker) []*worker {
	if i, found := slices.BinarySearchFunc(list, w, bySeat); found {
		return slices.Delete(list, i, i+1)
	}
	return list
}

// reseat brings the order and the ranks in line with the entries of workers that a word named.
func (d *Dispatcher) reseat(named []*worker) {
	moved := named[:0]
	for _, w := range named {
		if (!w.listed || w.seat != seatOf(&w.entry)) && d.workers[w.entry.Worker] == w {
			d.placeOf(w) // who is ready no more keeps the place that it had
			moved = append(moved, w)
		}
	}
	for _, w := range moved {
		if w.among != nil {
			d.ready.Remove(w.among, uint32(w.entry.Worker))
			w.among, w.covered = nil, false
			d.outside = cut(d.outside, w)
			d.admit(w, false)
		}
		if s := seatOf(&w.entry); w.listed && (s.zone != w.seat.zone || s.kind != w.seat.kind) {
			d.order, w.listed = cut(d.order, w), false
		}
	}
	for _, w := range moved {
		w.seat = seatOf(&w.entry)
	}
	slices.SortFunc(moved, bySeat) // each goes behind the last: a first list is not moved about
	for _, w := range moved {
		if !w.listed {
			d.order, w.listed = with(d.order, w), true
		}
		if w.seat.ready && w.among == nil {
			covered := false
			w.among, covered = d.ready.Add(w.seat.zone, w.seat.kind, uint32(w.entry.Worker), w)
			w.placedAt = 0
			if d.claims(w) {
				d.outside = with(d.outside, w)
			}
			if covered {
				d.cover(w, true)
			}
		}
	}
}

// cover marks whether the interval has a worker. One that it lacks may be ours all the same while
// it is cold: settle looks at those that this dispatcher claims.
func (d *Dispatcher) cover(w *worker, in bool) {
	w.covered = in
	switch {
	case !d.claims(w):
		d.admit(w, in)
	case in:
		d.outside = cut(d.outside, w)
		d.admit(w, true)
	default:
		d.outside = with(d.outside, w)
	}
}

// admit takes a worker into this dispatcher's part, or out of it.
func (d *Dispatcher) admit(w *worker, in bool) {
	if w.ours == in {
		return
	}
	if w.ours = in; in {
		d.part = with(d.part, w)
	} else {
		d.part = cut(d.part, w)
	}
}

// placeOf is the place of a worker on the circle: by its rank while it is ready, else the last.
func (d *Dispatcher) placeOf(w *worker) float64 {
	if w.among != nil && w.placedAt != w.among.Generation() {
		w.place, w.placedAt = w.among.Position(uint32(w.entry.Worker)), w.among.Generation()
	}
	return w.place
}

// departed is a worker that the list has had gone since then, if it still has.
type departed struct {
	worker *worker
	since  Micros
}

// forget notes which of those that a word named are gone, and drops those that have long been so.
func (d *Dispatcher) forget(named []*worker) {
	for _, w := range named {
		if w.entry.Status != Removed {
			w.gone = 0
		} else if w.gone == 0 {
			w.gone = max(d.now, 1)
			d.gone = append(d.gone, departed{w, w.gone})
		}
	}
	long := d.set.RemovedRetention()
	if len(d.gone) == 0 || d.now-d.gone[0].since < long {
		return
	}
	kept := d.gone[:0]
	for i, g := range d.gone {
		w := g.worker
		if d.now-g.since < long {
			kept = append(kept, d.gone[i:]...)
			break
		}
		switch {
		case w.gone != g.since || d.workers[w.entry.Worker] != w: // it came back since, or is dropped
		case len(w.live) > 0 || w.touched:
			kept = append(kept, g)
		default:
			delete(d.workers, w.entry.Worker)
			d.order = cut(d.order, w)
		}
	}
	clear(d.gone[len(kept):])
	d.gone = kept
}
