package dispatch

import (
	"cmp"
	"maps"
	"slices"

	"dahliaford/internal/bucketqueue"
	"dahliaford/internal/fingerprint"
	"dahliaford/internal/subset"
)

// What a checker needs of the module: to copy a state and to compare two. Nothing here
// decides, and the programs that serve use none of it.

// Open is the number of jobs that the module keeps.
func (d *Dispatcher) Open() int { return len(d.jobs) }

// Clone copies the state between two events.
func (d *Dispatcher) Clone() *Dispatcher {
	c := *d
	c.out = nil
	c.kinds = make(map[int]*kind, len(d.kinds))
	for n, k := range d.kinds {
		copied := *k
		c.kinds[n] = &copied
	}
	c.crowds = make(map[crowdKey]*crowd, len(d.crowds))
	for key, known := range d.crowds {
		copied := *known
		c.crowds[key] = &copied
	}
	c.workers = make(map[WorkerID]*worker, len(d.workers))
	for id, w := range d.workers {
		copied := *w
		n := &copied
		n.crowd = nil // looked up anew
		n.node, n.stirred = bucketqueue.Node[*worker]{}, false
		if w.kind != nil {
			n.kind = c.kinds[w.entry.Kind]
		}
		if w.fits != nil {
			fits := *w.fits
			n.fits = &fits
		}
		n.peers, n.live, n.among = slices.Clone(w.peers), nil, nil
		c.workers[id] = n
	}
	workers := func(list []*worker) []*worker {
		copied := make([]*worker, len(list))
		for i, w := range list {
			copied[i] = c.workers[w.entry.Worker]
		}
		return copied
	}
	c.order, c.part, c.busy, c.touched = workers(d.order), workers(d.part), workers(d.busy), workers(d.touched)
	c.outside, c.named, c.gone = workers(d.outside), nil, nil
	for _, g := range d.gone {
		if n := c.workers[g.worker.entry.Worker]; n != nil && d.workers[n.entry.Worker] == g.worker {
			c.gone = append(c.gone, departed{n, g.since})
		}
	}
	c.ready = d.ready.Clone(func(w *worker) *worker { return c.workers[w.entry.Worker] },
		func(w *worker, among *subset.Group[*worker]) { w.among = among })
	c.doubted = workers(d.doubted)
	c.index, c.fastest, c.groups, c.lateNow = nil, nil, [ScopeCell + 1]map[int][]*worker{}, nil // made anew
	c.jobs = make(map[JobID]*job, len(d.jobs))
	for id, j := range d.jobs {
		copied := *j
		n := &copied
		n.attempts = make([]*attempt, len(j.attempts))
		for i, a := range j.attempts {
			copied := *a
			copied.job, copied.worker = n, c.workers[a.worker.entry.Worker]
			n.attempts[i] = &copied
		}
		c.jobs[id] = n
	}
	for id, w := range d.workers {
		for _, a := range w.live {
			c.workers[id].live = append(c.workers[id].live, c.jobs[a.job.id].attempts[a.n])
		}
	}
	c.overdue = make([]*attempt, len(d.overdue))
	for i, a := range d.overdue {
		c.overdue[i] = c.jobs[a.job.id].attempts[a.n]
	}
	c.held = make([]*job, len(d.held))
	for i, j := range d.held {
		c.held[i] = c.jobs[j.id]
	}
	c.near, c.peers, c.classes = slices.Clone(d.near), slices.Clone(d.peers), slices.Clone(d.classes)
	c.tokens, c.tokenAt, c.flows = slices.Clone(d.tokens), slices.Clone(d.tokenAt), slices.Clone(d.flows)
	c.ranks, c.byTarget = slices.Clone(d.ranks), slices.Clone(d.byTarget)
	return &c
}

// AppendState appends a form of the state between two events that is the same for two
// states if they act alike from here on.
func (d *Dispatcher) AppendState(b []byte) []byte {
	f := fingerprint.Buffer(b)
	fits := func(of *[fitsKept + 1]fit) {
		for i := range of {
			if of[i] != (fit{}) {
				f.Ints(int64(i))
				f.Floats(of[i].prompt, of[i].late)
			}
		}
		f.Ints(-1)
	}
	runs := func(q *quantiles) {
		f.Ints(int64(q.n))
		f.Floats(q.value)
		f.Floats(q.ring[:min(q.n, runsKept)]...)
	}
	f.Ints(int64(d.now), int64(d.born), int64(d.random), int64(d.seq), int64(len(d.jobs)), int64(len(d.held)))
	f.Ints(int64(d.level), int64(d.gapped), int64(d.severeRow), int64(d.overRow), int64(d.passRow),
		int64(d.stepAt),
		int64(d.climb), int64(d.levels), int64(d.refreshed), int64(d.refreshes), int64(d.wake), int64(d.token),
		int64(d.askAt), int64(d.askFails), int64(d.logged), int64(d.listedAt))
	f.Floats(d.reach, d.here, d.worth, d.retries, d.fleet.work, d.fleet.time)
	f.Bools(d.hints, d.panicking)
	runs(&d.slots)
	f.Floats(d.tokens...)
	for _, at := range d.tokenAt {
		f.Ints(int64(at))
	}
	for i := range d.classes {
		c := &d.classes[i]
		f.Floats(c.work, c.square, c.n, c.arrived, c.rate)
		f.Ints(int64(c.target))
		runs(&c.runs)
	}
	for i := range d.flows {
		f.Floats(d.flows[i].rate)
		f.Ints(d.flows[i].interval)
	}
	for _, list := range [][]int{d.near, d.ranks, d.byTarget} {
		for _, n := range list {
			f.Ints(int64(n))
		}
	}
	for i := range d.peers {
		f.Floats(d.peers[i].place)
		f.Ints(int64(d.peers[i].zone), int64(d.peers[i].visited))
	}
	for _, n := range slices.Sorted(maps.Keys(d.kinds)) {
		k := d.kinds[n]
		f.Ints(int64(n), int64(k.top), int64(k.tried))
		f.Floats(k.work, k.time, k.most)
		fits(&k.fits)
	}
	for _, key := range slices.SortedFunc(maps.Keys(d.crowds), func(a, b crowdKey) int {
		return cmp.Or(cmp.Compare(a.zone, b.zone), cmp.Compare(a.kind, b.kind))
	}) {
		c := d.crowds[key]
		f.Ints(int64(key.zone), int64(key.kind), int64(c.at))
		f.Floats(c.sum, c.n)
	}
	for _, list := range [][]*worker{d.order, d.part, d.busy, d.touched} {
		f.Ints(int64(len(list)))
		for _, w := range list {
			f.Ints(int64(w.entry.Worker))
		}
	}
	for _, w := range d.order {
		e := &w.entry
		f.Ints(int64(e.Zone), int64(e.Cell), int64(e.Kind), int64(e.Status), int64(e.Started))
		f.Ints(int64(w.unstarted), int64(w.capAt), int64(w.blocked), int64(w.gone),
			int64(w.sign),
			int64(w.trial), int64(w.fails), int64(w.erredAt), int64(w.downUntil), int64(w.cold), int64(w.budgetAt),
			int64(w.told.used), int64(w.told.waiting), int64(len(w.live)))
		f.Floats(w.used, w.cap, w.slots, w.pace.work, w.pace.time, w.errors, w.budget, d.placeOf(w), w.tilt,
			w.wait.sum, w.wait.n)
		f.Ints(int64(w.wait.at))
		f.Bools(w.suspect, w.lost, w.touched, w.kind != nil, w.fits != nil)
		if w.fits != nil {
			fits(w.fits)
		}
		for i := range w.peers {
			p := &w.peers[i]
			f.Ints(int64(p.used), int64(p.waiting), int64(p.peer), int64(p.at), int64(p.grew), int64(p.coming),
				int64(p.waits))
		}
		for _, a := range w.live {
			f.Ints(int64(a.job.id), int64(a.n))
		}
	}
	for _, id := range slices.Sorted(maps.Keys(d.jobs)) {
		j := d.jobs[id]
		f.Ints(int64(id), int64(j.class), int64(j.tenant), int64(j.giveUp), int64(j.aim), int64(j.due), int64(j.seq),
			int64(j.live), int64(len(j.attempts)))
		f.Floats(j.work, j.slots)
		f.Bools(j.over, j.held, j.late, j.hinted, j.streaming, j.finished)
		for _, a := range j.attempts {
			f.Ints(int64(a.worker.entry.Worker), int64(a.n), int64(a.sent), int64(a.started), int64(a.noted))
			f.Floats(a.done, a.taken)
			f.Bools(a.live, a.ran, a.back, a.overdue)
		}
	}
	return f
}
