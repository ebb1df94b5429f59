package dispatch

import (
	"slices"

	"dahliaford/internal/bucketqueue"
)

// The index of a large part: which workers place weighs for a job, and what it need not walk
// for. What a worker costs is for dispatcher.go to say. docs/design-choice.md has the causes.

const (
	smallPart      = 64 // workers up to which the part is walked: that costs no more than the index
	shortlisted    = 8  // workers of a crowd that are weighed for a job
	shortlistedAll = 32 // the same of all crowds together, two of each at the least
	renewed        = 8  // workers whose place in the index is reckoned anew for a job, in turn
	perRun         = 16 // keys to the length of a mean run
	shutKey        = bucketqueue.Buckets - 1
	fullKey        = bucketqueue.Buckets - 2
)

// index holds the part by crowd, in order of what a mean job would cost there when last reckoned.
type index struct {
	crowds  []*shelf
	byCrowd map[crowdKey]*shelf
	members []*worker // the part that it was made for
	work    float64   // of late jobs, the mean
	stale   bool      // the part may have changed
	listing uint64    // counts the changes
	next    int       // the member that is reckoned anew next
	stirred []*worker // those to which something happened
	nodes   []*bucketqueue.Node[*worker]
	workers []*worker
}

type shelf struct {
	bucketqueue.Queue[*worker]
	key crowdKey
}

// large tells whether the part is too large to be walked for every job.
func (d *Dispatcher) large() bool { return len(d.part) > d.walked }

// moved takes note that the list has changed.
func (d *Dispatcher) moved() {
	d.fastest, d.groups = nil, [ScopeCell + 1]map[int][]*worker{}
	if d.index != nil {
		d.index.stale = true
	}
}

// stir takes note that something happened to a worker.
func (d *Dispatcher) stir(w *worker) {
	if x := d.index; x != nil && !w.stirred {
		w.stirred = true
		x.stirred = append(x.stirred, w)
	}
}

// indexed returns the index of a large part as it is now.
func (d *Dispatcher) indexed() *index {
	if d.index == nil {
		d.index = &index{byCrowd: map[crowdKey]*shelf{}, stale: true, work: d.memory()}
	}
	x := d.index
	if !x.stale {
		return x
	}
	x.stale = false
	x.listing++
	for _, w := range d.part {
		w.listing = x.listing
		key := crowdKey{w.entry.Zone, w.entry.Kind}
		s := x.byCrowd[key]
		if s == nil {
			s = &shelf{key: key}
			x.byCrowd[key] = s
			x.crowds = append(x.crowds, s)
		}
		if w.node.Queue() != &s.Queue {
			w.node.Value = w
			s.Put(&w.node, d.keyOf(w))
		}
	}
	for _, w := range x.members {
		if w.listing != x.listing {
			w.node.Remove()
		}
	}
	x.members = append(x.members[:0], d.part...)
	left := x.crowds[:0]
	for _, s := range x.crowds {
		if s.Len() == 0 {
			delete(x.byCrowd, s.key)
		} else {
			left = append(left, s)
		}
	}
	clear(x.crowds[len(left):])
	x.crowds = left
	return x
}

// keyOf is the key of a worker: what a mean job would cost there, less what its whole crowd has
// in common. It decides nothing but whom place looks at first.
func (d *Dispatcher) keyOf(w *worker) int {
	if !d.usable(w) || d.coldAt(w) != 0 && !w.lost && !d.owns(w) {
		return shutKey
	}
	taken, most := d.taken(w), d.capacity(w)
	if taken+1 > most {
		return fullKey
	}
	load := 1 + crowding*taken/max(1, most) + w.tilt
	runs := d.typical(w) / d.speed(w) * load
	if d.blind() { // against waits and distance it matters how long a run is
		own := d.index.work/d.speed(w)*load + d.delay(w) - d.crowd(w).delay
		runs = own/d.memory() + d.gap(d.here, w)/d.reach*leaning
	}
	return int(min(max(runs*perRun, 0), fullKey-1))
}

// renew puts a member where it belongs by now.
func (x *index) renew(d *Dispatcher, w *worker) {
	if s := w.node.Queue(); s != nil {
		d.looked++
		s.Put(&w.node, d.keyOf(w))
	}
}

// shortlist lists some workers that likely cost a job least: a few of each crowd that may run it,
// the first of its queue. Old keys are put right as they come up.
func (d *Dispatcher) shortlist(j *job) []*worker {
	x := d.indexed()
	x.work += (j.work - x.work) / 32
	for _, w := range x.stirred {
		w.stirred = false
		x.renew(d, w)
	}
	clear(x.stirred)
	x.stirred = x.stirred[:0]
	for range renewed {
		x.next = (x.next + 1) % len(x.members)
		x.renew(d, x.members[x.next])
	}
	x.workers = x.workers[:0]
	kind := d.set.Classes[j.class].Kind
	for _, s := range x.crowds {
		if kind >= 0 && kind != s.key.kind {
			continue
		}
		most := shortlisted // of the own zone, where the others cost more
		if s.key.zone != d.set.Zone || d.set.CrossZonePrice == 0 {
			most = max(2, min(shortlisted, shortlistedAll/len(x.crowds)))
		}
		for range 3 { // those that were put right may make room for better ones
			moved := false
			x.nodes = s.Smallest(x.nodes[:0], most, fullKey-1, uint(d.turns))
			for _, n := range x.nodes {
				key := n.Key()
				x.renew(d, n.Value)
				moved = moved || n.Key() != key
			}
			if !moved {
				break
			}
		}
		for _, n := range x.nodes {
			x.workers = append(x.workers, n.Value)
		}
	}
	return x.workers
}

// bound tells whether an attempt may have run, so that rule 2 may ask for its group.
func (j *job) bound() *attempt {
	for _, a := range j.attempts {
		if a.live || a.ran {
			return a
		}
	}
	return nil
}

// candidates are the workers among which rule 2 and the part leave a choice: those of the part,
// and for a keyed repeat those of its group, which may have no worker in the part. It also tells
// whether no group binds it.
func (d *Dispatcher) candidates(j *job) (from []*worker, free bool) {
	c := &d.set.Classes[j.class]
	if c.Effect != Keyed || len(j.attempts) == 0 {
		return d.part, true
	}
	a := j.bound()
	if a == nil || c.DedupScope == ScopeAll {
		return d.order, true
	}
	of := func(e *WorkerEntry) int {
		if c.DedupScope == ScopeZone {
			return e.Zone
		}
		return e.Cell
	}
	if d.groups[c.DedupScope] == nil { // in the order of the list, which breaks ties
		groups := map[int][]*worker{}
		for _, w := range d.order {
			groups[of(&w.entry)] = append(groups[of(&w.entry)], w)
		}
		d.groups[c.DedupScope] = groups
	}
	return d.groups[c.DedupScope][of(&a.worker.entry)], false
}

// doubt takes note of a worker that may be ill.
func (d *Dispatcher) doubt(w *worker) {
	if !w.doubted {
		w.doubted = true
		d.doubted = append(d.doubted, w)
	}
}

// ill counts the workers of the part that are suspect or set aside, and forgets who is neither, or
// no longer in the books.
func (d *Dispatcher) ill() (n int) {
	d.doubted = slices.DeleteFunc(d.doubted, func(w *worker) bool {
		w.doubted = (w.suspect || d.now < w.downUntil) && d.workers[w.entry.Worker] == w
		if w.doubted && w.ours {
			n++
		}
		return !w.doubted
	})
	return n
}

// late are the attempts whose start is overdue, in the order of the busy workers.
func (d *Dispatcher) late() []*attempt {
	if d.large() || len(d.overdue) < 2 {
		return d.overdue
	}
	if d.lateTurn != d.turns {
		d.lateTurn, d.lateNow = d.turns, d.lateNow[:0]
		for _, w := range d.busy {
			for _, a := range w.live {
				if a.overdue && a.started == 0 {
					d.lateNow = append(d.lateNow, a)
				}
			}
		}
	}
	return d.lateNow
}

// notOverdue takes note that an attempt began or ended.
func (d *Dispatcher) notOverdue(a *attempt) {
	if a.overdue {
		d.overdue = without(d.overdue, a)
	}
}
