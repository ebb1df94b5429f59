package scheduler

import (
	"maps"
	"slices"

	"dahliaford/internal/dispatch"
	"dahliaford/internal/fingerprint"
)

// What a checker needs of the reducer: to copy a state, to compare two, to break the
// module down, and to see what is kept. The programs that serve use none of it.

// Clone copies the state between two events.
func (s *Scheduler) Clone() *Scheduler {
	c := *s
	c.out, c.feedback = nil, nil
	if s.module != nil {
		c.module = s.module.Clone()
	}
	c.workers = make(map[string]*worker, len(s.workers))
	c.byNumber = make(map[dispatch.WorkerID]*worker, len(s.byNumber))
	for uid, r := range s.workers {
		copied := *r
		c.workers[uid], c.byNumber[r.number] = &copied, &copied
	}
	c.offered, c.departed = nil, nil
	for _, r := range s.offered {
		if s.workers[r.UID] == r {
			c.offered = append(c.offered, c.workers[r.UID])
		}
	}
	for _, went := range s.departed {
		if r := went.worker; s.workers[r.UID] == r {
			c.departed = append(c.departed, departed{c.workers[r.UID], went.since})
		}
	}
	c.byCaller = make(map[CallerID]*request, len(s.byCaller))
	c.byID = make(map[string]*request, len(s.byID))
	c.byJob = make(map[dispatch.JobID]*request, len(s.byJob))
	c.byAttempt = make(map[AttemptID]*attempt, len(s.byAttempt))
	type pair struct{ was, is *request }
	var copies []pair // few: a map would cost more than it saves
	of := func(t *request) *request {
		for _, p := range copies {
			if p.was == t {
				return p.is
			}
		}
		copied := *t
		n := &copied
		copies = append(copies, pair{t, n})
		n.attempts = make([]*attempt, len(t.attempts))
		for i, k := range t.attempts {
			copied := *k
			copied.of, copied.worker = n, c.byNumber[k.worker.number]
			n.attempts[i] = &copied
		}
		return n
	}
	for job, t := range s.byJob {
		c.byJob[job] = of(t)
	}
	for caller, t := range s.byCaller {
		c.byCaller[caller] = of(t)
	}
	for id, t := range s.byID {
		c.byID[id] = of(t)
	}
	for n, k := range s.byAttempt {
		c.byAttempt[n] = of(k.of).attempts[slices.Index(k.of.attempts, k)]
	}
	c.recalls = make(map[AttemptID]*recall, len(s.recalls))
	for n, r := range s.recalls {
		copied := *r
		copied.attempt = of(r.attempt.of).attempts[slices.Index(r.attempt.of.attempts, r.attempt)]
		c.recalls[n] = &copied
	}
	c.recalled = maps.Clone(s.recalled)
	c.used.now, c.used.before = maps.Clone(s.used.now), maps.Clone(s.used.before)
	c.zones, c.kinds = slices.Clip(s.zones), slices.Clip(s.kinds)
	c.due = slices.Clone(s.due)
	return &c
}

// AppendState appends a form of the state between two events that is the same for two
// states if they act alike from here on. Payloads are left out.
func (s *Scheduler) AppendState(b []byte) []byte {
	f := fingerprint.Buffer(b)
	f.Ints(int64(s.now), int64(s.lastJob), int64(s.lastAttempt), s.rev, int64(s.count), int64(s.knownAt),
		int64(s.wake), int64(s.stopAt), int64(s.endBy),
		int64(s.longest),
		int64(s.used.since), int64(len(s.byCaller)), int64(len(s.byID)),
		int64(len(s.byAttempt)), int64(len(s.byJob)))
	f.Bools(s.watching, s.stopped, s.module == nil)
	f.Text(s.discovery)
	for _, t := range sorted(s.byJob) {
		f.Ints(int64(t.caller), int64(t.job), int64(t.deadline), int64(len(t.attempts)))
		f.Text(t.id)
		f.Bools(t.answered, s.byCaller[t.caller] == t, s.byID[t.id] == t)
		for _, k := range t.attempts {
			f.Ints(int64(k.number), int64(k.ordinal), int64(k.worker.number), int64(k.deadline))
			f.Ints(int64(k.parked))
			f.Text(k.addr)
			f.Bools(k.accepted, k.ended)
		}
	}
	for _, c := range sorted(s.recalls) {
		f.Ints(int64(c.attempt.number), int64(c.at), int64(c.tries), int64(c.until))
		f.Text(c.attempt.of.id)
		f.Text(c.attempt.addr)
		f.Bools(c.trying, s.byJob[c.attempt.of.job] != nil)
	}
	for _, set := range []map[string]bool{s.used.now, s.used.before} {
		ids := slices.Sorted(maps.Keys(set))
		f.Ints(int64(len(ids)))
		for _, id := range ids {
			f.Text(id)
		}
	}
	for _, r := range sorted(s.workers) {
		f.Ints(int64(r.number), int64(r.Cell), int64(r.Status), int64(r.Started))
		f.Text(r.UID)
		f.Text(r.Addr)
		f.Text(r.Zone)
		f.Text(r.Kind)
		f.Ints(int64(r.at.count), r.at.rev, int64(r.left), int64(r.gone))
		if f.Bools(r.offer != nil); r.offer != nil {
			f.Ints(int64(r.offer.Cell), int64(r.offer.Status), int64(r.offer.Started))
			f.Text(r.offer.Addr)
		}
	}
	dues := slices.Clone(s.due)
	slices.SortFunc(dues, func(a, b due) int {
		return int(slices.Compare([]int64{int64(a.at), int64(a.token), int64(a.attempt), int64(a.caller),
			int64(a.recall)},
			[]int64{int64(b.at), int64(b.token), int64(b.attempt), int64(b.caller), int64(b.recall)}))
	})
	for _, d := range dues {
		f.Ints(int64(d.at), int64(d.token), int64(d.attempt), int64(d.caller), int64(d.recall))
		f.Bools(d.timer, d.parked)
	}
	for _, name := range append(slices.Clone(s.zones), s.kinds...) {
		f.Text(name)
	}
	if s.module != nil {
		return s.module.AppendState(f)
	}
	return f
}

// InjectFault makes the module break down at the next event that it gets.
func (s *Scheduler) InjectFault() { s.module = nil }

// Stats counts what is held on behalf of requests, now or in the past.
type Stats struct {
	Callers, IDs, Jobs, Attempts int // of requests and attempts
	Cancellations                int // withdrawals that are still to be heard
	ReservedIDs                  int // ids that may not come again
	Timers                       int // things to come due other than the module's timers
	DispatcherJobs               int
}

// Stats tells what is held after all that has come due is dealt with.
func (s *Scheduler) Stats() Stats {
	k := Stats{Callers: len(s.byCaller), IDs: len(s.byID), Jobs: len(s.byJob), Attempts: len(s.byAttempt),
		Cancellations: len(s.recalls),
		ReservedIDs:   len(s.used.now) + len(s.used.before)}
	if s.module != nil {
		k.DispatcherJobs = s.module.Open()
	}
	for _, d := range s.due {
		if !d.timer {
			k.Timers++
		}
	}
	return k
}
