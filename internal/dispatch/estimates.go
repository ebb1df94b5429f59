package dispatch

import (
	"math"
	"slices"

	"dahliaford/internal/subset"
)

// The estimates that the module decides by: speeds, run times, works and quotas,
// from what was seen. Nothing here decides.

func (d *Dispatcher) fleetSpeed() float64 {
	if !d.hints {
		return 1
	}
	return d.fleet.speed()
}

func (d *Dispatcher) warmSpeed(w *worker) float64 {
	prior, unit := d.prior(w), max(d.slots.value, 1)
	if d.hints {
		unit *= hintedPrior
	} else {
		unit *= blindPrior
	}
	v := (w.pace.work + prior*unit) / (w.pace.time + unit)
	if !d.hints && d.fleet.work > 0 {
		v *= d.fleet.time / d.fleet.work // no hint tells the scale: the fleet's mean is 1, or it would drift
	}
	return v
}

// prior is the speed of a worker of which nothing is known.
func (d *Dispatcher) prior(w *worker) float64 {
	if k := d.kind(w); k.time > 0 {
		return k.speed()
	}
	return d.fleet.speed()
}

// typical is the speed of a warm worker that is as most of its kind.
func (d *Dispatcher) typical(w *worker) float64 {
	if !d.hints && d.fleet.work > 0 {
		return d.prior(w) * d.fleet.time / d.fleet.work
	}
	return d.prior(w)
}

// bestSpeed is the fastest that a job could still get, reckoned once an event.
func (d *Dispatcher) bestSpeed() float64 {
	if d.best > 0 {
		return d.best
	}
	for _, w := range d.part {
		if d.usable(w) {
			if speed := d.speed(w); speed > d.best {
				d.best, d.fastest = speed, w
			}
		}
	}
	if d.best == 0 {
		d.best = d.fleetSpeed()
	}
	return d.best
}

// canAny tells whether bestSpeed is enough, where more is never worse. In a large part the
// fastest of the last look is asked first: what is enough for it need not be looked for.
func (d *Dispatcher) canAny(enough func(speed float64) bool) bool {
	if w := d.fastest; w != nil && d.best == 0 && d.large() && d.usable(w) && enough(d.speed(w)) {
		return true
	}
	return enough(d.bestSpeed())
}

// book learns a worker's speed from the part of a run that has passed. Without
// hints only whole runs tell, against the class's mean.
func (d *Dispatcher) book(a *attempt, done float64) {
	w, work, span := a.worker, a.job.work*(done-a.done), float64(d.now-a.noted)
	if !a.job.hinted {
		if done < 1 {
			return
		}
		st := &d.classes[a.job.class]
		work = st.mean(float64(d.set.Classes[a.job.class].LatencyObjective))
		span = min(float64(d.now-a.started), 4*work/d.speed(w)) // a long job is not a slow worker
	}
	a.done, a.noted = max(done, a.done), d.now
	if work <= 0 || span <= 0 || d.coldAt(w) != 0 {
		return
	}
	w.pace.add(work, span, keepOwn)
	d.kind(w).add(work, span, keepKind)
	d.fleet.add(work, span, keepFleet)
}

// learnRun takes run time, speed and, without hints, the class's work from a
// finished run.
func (d *Dispatcher) learnRun(a *attempt) {
	if a.started == 0 {
		a.started, a.noted = a.sent, a.sent
	}
	j, st := a.job, &d.classes[a.job.class]
	run := float64(d.now - a.started)
	st.runs.add(run)
	d.slots.add(run * j.slots)
	if !j.hinted && d.coldAt(a.worker) == 0 {
		st.seen(run * d.speed(a.worker))
	}
	d.book(a, 1)
}

// begunAt is when the client's first try of a job began. A repeat counts from there: what is
// missing of the deadline has passed already. A first try may bring less patience, too, and
// would seem lost as it comes; where clients mark their repeats, it can be told. A few
// dispatchers see overload themselves, and such a job is the first to turn away then.
func (d *Dispatcher) begunAt(j *job, repeat bool) Micros {
	if d.set.RetriesMarked && !repeat && d.blind() {
		return d.now
	}
	return j.giveUp - d.set.Classes[j.class].Deadline
}

// quota is this dispatcher's part of a tenant's quota, in jobs a second.
func (d *Dispatcher) quota(tenant int) float64 {
	if tenant >= len(d.set.Tenants) {
		return 0
	}
	return d.set.Tenants[tenant].Quota / float64(d.set.Dispatchers)
}

func (d *Dispatcher) burst(tenant int) float64 {
	return max(leastBurst, d.quota(tenant)*burstSeconds)
}

func (d *Dispatcher) warmth(at Micros) float64 {
	return d.set.SlowStartInitial + (1-d.set.SlowStartInitial)*max(0, float64(d.now-at))/float64(max(1, d.set.SlowStart))
}

func (d *Dispatcher) coldWork(j *job) float64 {
	work := j.work
	if !j.hinted {
		work = d.classes[j.class].mean(unseen * float64(d.set.Classes[j.class].LatencyObjective))
	}
	return work + float64(d.set.Granularity) // a handshake may come with it
}

// unseen is what a class is taken to need that nobody saw run, in its aims: cold workers teach
// nothing, and all would send there by the same guess.
const unseen = 2.0

// typicalWork is the work that a unit of what arrives here comes in: a few long jobs bring most
// of it. Before a class was seen to run, twice its aim stands for it.
func (d *Dispatcher) typicalWork() float64 {
	sum, squares := 0.0, 0.0
	for k := range d.classes {
		st := &d.classes[k]
		work := st.mean(unseen * float64(d.set.Classes[k].LatencyObjective))
		sum, squares = sum+(1+st.arrived)*work, squares+(1+st.arrived)*work*work
	}
	return squares / max(1, sum)
}

// underWay is the work of jobs that left for a worker and are not known to have begun:
// if it starts anew now, they come to it cold.
func (d *Dispatcher) underWay(w *worker) float64 {
	work := 0.0
	for _, a := range w.live {
		if a.started == 0 {
			work += d.coldWork(a.job)
		}
	}
	return work
}

// speed is the work that a slot of a worker does in a unit of time: its own
// recent runs, leaning on those of its kind.
func (d *Dispatcher) speed(w *worker) float64 {
	if at := d.coldAt(w); at != 0 {
		return d.warmSpeed(w) * d.warmth(at)
	}
	return d.warmSpeed(w)
}

// pace is recent work done and the time that it took.
type pace struct{ work, time float64 }

func (p *pace) add(work, time, keep float64) { p.work, p.time = p.work*keep+work, p.time*keep+time }

// speed is work over time, 1 while nothing is known.
func (p *pace) speed() float64 {
	if p.time == 0 {
		return 1
	}
	return p.work / p.time
}

type kind struct {
	pace
	most  float64 // most slots seen at work on one of its workers
	fits  [fitsKept + 1]fit
	top   int    // most slots at which a job was seen to begin or wait
	tried Micros // when more slots than its capacity were last tried
}

const fitsKept = 32 // slots told apart

// fit counts the jobs that began at once with so many slots taken, and that did not.
type fit struct{ prompt, late float64 }

func (f *fit) add(prompt bool, keep float64) {
	f.prompt *= keep
	f.late *= keep
	if prompt {
		f.prompt++
	} else {
		f.late++
	}
}

type classState struct {
	work, square, n float64 // decayed sums of works seen
	runs            quantiles
	arrived         float64
	target          Micros // T_k
	rate            float64
}

func (s *classState) seen(work float64) {
	s.work, s.square, s.n = s.work*keepWork+work, s.square*keepWork+work*work, s.n*keepWork+1
}

func (s *classState) mean(prior float64) float64 {
	return (s.work + 2*prior) / (s.n + 2)
}

// weighted is the mean work seen by a unit of work: worth goes with work, so
// long jobs decide what an unhinted job's aim is worth waiting for.
func (s *classState) weighted(prior float64) float64 {
	mean := s.mean(prior)
	if s.work == 0 {
		return mean
	}
	return min(s.square/s.work, 3*mean)
}

// quantiles keeps the latest run times and their upper quantile.
type quantiles struct {
	ring  [runsKept]float64
	n     int
	value float64
}

func (q *quantiles) add(v float64) {
	q.ring[q.n%runsKept] = v
	q.n++
	if q.n < runsFresh || q.n%runsFresh == 0 {
		sorted := q.ring
		part := sorted[:min(q.n, runsKept)]
		slices.Sort(part)
		q.value = part[int(quantile*float64(len(part)-1)+0.5)]
	}
}

// filled records slots of a worker seen at work together.
func (d *Dispatcher) filled(w *worker, slots float64) {
	k := d.kind(w)
	k.most = max(k.most, slots)
}

// kind is what is known of a worker's machine kind.
func (d *Dispatcher) kind(w *worker) *kind {
	if w.kind == nil {
		w.kind = d.kinds[w.entry.Kind]
	}
	if w.kind == nil {
		w.kind = &kind{}
		d.kinds[w.entry.Kind] = w.kind
	}
	return w.kind
}

const everyZone = -2 // no zone has this number

// slotsOf counts the slots that this dispatcher may fill on the workers of a zone. It is asked
// after 16 workers, 32 and so on, whether so many are enough, and may then stop.
func (d *Dispatcher) slotsOf(zone int, enough func(slots float64) bool) float64 {
	slots, ask := 0.0, 16
	for i, w := range d.part {
		if (zone == everyZone || w.entry.Zone == zone) && d.usable(w) {
			slots += d.room(w)
		}
		if i+1 == ask {
			if enough(slots) {
				return slots
			}
			ask *= 2
		}
	}
	return slots
}

// room is how many slots of a worker this dispatcher may fill, what others take
// left out.
func (d *Dispatcher) room(w *worker) float64 {
	others, _ := d.others(w)
	return max(d.capacity(w)-others, w.used)
}

// quiet is how long a worker with work may give no sign of life.
func (d *Dispatcher) quiet() Micros {
	if d.set.ProgressInterval == 0 {
		return Micros(quietRuns * max(d.slots.value, second/4))
	}
	return Micros(silence * float64(d.set.ProgressInterval))
}

// fit tells how jobs fared with n slots of a worker taken: its own, and as far as
// they do not tell those of its kind. A dispatcher of many sees each worker too
// seldom, and what peers have there is known too late to trust a single job.
func (d *Dispatcher) fit(w *worker, n int) fit {
	of := d.kind(w).fits[n]
	if seen := of.prompt + of.late; seen > kindFits {
		of.prompt, of.late = of.prompt*kindFits/seen, of.late*kindFits/seen
	}
	if w.fits != nil {
		of.prompt += w.fits[n].prompt
		of.late += w.fits[n].late
	}
	return of
}

// fitted records whether a job began at once with so many slots taken.
func (d *Dispatcher) fitted(a *attempt, prompt bool) {
	n := min(int(a.taken), fitsKept)
	k := d.kind(a.worker)
	k.top = max(k.top, n)
	k.fits[n].add(prompt, keepKind)
	if a.worker.fits == nil {
		a.worker.fits = new([fitsKept + 1]fit)
	}
	a.worker.fits[n].add(prompt, keepOwn)
	if prompt {
		k.most = d.capacity(a.worker)
	} else {
		k.tried = d.now
	}
}

// Of what is known of a worker's errors. A healthy one hardly ever fails a job.
const (
	keepErrors   = 0.6  // what an outcome leaves of those before it
	manyErrors   = 0.3  // errors a second that a report tells of, from which on it counts as one
	keepReported = 0.2  // like keepErrors, with such a report
	mostErrors   = 0.25 // the share from which on a worker is held to be failing jobs
	errorsSpan   = 3 * second
	blindErrors  = 9 * second // the same where each of many meets a worker seldom
)

// erred records an outcome: 1 an error, 0 none. Many blind ones meet a worker seldom; its
// report tells each of them what the others met there.
func (d *Dispatcher) erred(w *worker, one float64, r Report) {
	keep := keepErrors
	if d.blind() && r.Known && r.Errors > manyErrors {
		one, keep = 1, keepReported
	}
	w.errors, w.erredAt = d.errorShare(w)*keep+one*(1-keep), d.now
}

// errorShare is the recent share of errors. It wears off by itself, as a worker that is
// shunned tells nothing.
func (d *Dispatcher) errorShare(w *worker) float64 {
	return w.errors * math.Exp(-float64(d.now-w.erredAt)/d.errorsSpan())
}

func (d *Dispatcher) errorsSpan() float64 {
	if d.blind() {
		return blindErrors
	}
	return errorsSpan
}

// errs tells whether a worker is held to be failing jobs.
func (d *Dispatcher) errs(w *worker) bool { return w.errors > 0 && d.errorShare(w) > mostErrors }

// risky tells whether a job should not meet a worker that fails some: its class
// allows no second attempt after an error. What may be repeated still goes there, uses
// the slots and finds out whether the errors last, but not where many blind ones would
// each find out. When most workers err, there is nothing better to wait for.
func (d *Dispatcher) risky(j *job, w *worker) bool {
	if d.set.Classes[j.class].Effect != Unsafe && !d.blind() || !d.errs(w) {
		return false
	}
	if d.erring.turn != d.turns || !d.large() {
		d.erring.turn, d.erring.n = d.turns, 0
		for _, w := range d.part {
			if d.errs(w) {
				d.erring.n++
			}
		}
	}
	return d.erring.n <= halfFleet*float64(len(d.part))
}

// unhinted is the work that a job without a hint is reckoned with. Where many are blind that
// is less than the mean: most jobs are shorter, and lost sooner.
func (d *Dispatcher) unhinted(s *classState, prior float64) float64 {
	if d.blind() {
		return doubtful * s.mean(prior)
	}
	return s.weighted(prior)
}

// turn is a wait by chance before the list is asked for, so that not all ask at once: calls that
// wait too long there fail, and cost it as much. While what was heard last holds there is time
// until then, less what a call may take. Otherwise nothing can be sent, and it is short.
func (d *Dispatcher) turn() Micros {
	if !d.set.LargeFleet() || d.set.UnmeteredPolls {
		return 0
	}
	left := float64(d.listedAt + d.set.MaxStaleness - d.now - second)
	longest := max(left, min(callTime*float64(d.set.Dispatchers), float64(d.set.PollInterval)/5))
	return Micros(d.random.chance() * longest)
}

// nextCall is the wait from a call that failed, or a watch that ended, to the next call. The first one
// has the time for which what was heard last holds. While the service is down the next ones cost it
// nothing, and as it is back nobody waits there: what counts is how soon each calls then. Only after
// several failures in a row may it be that there are more calls than it can work through.
func (d *Dispatcher) nextCall() Micros {
	base := float64(second) / 2 * (1 + d.random.chance())
	switch {
	case d.set.UnmeteredPolls && d.askFails == 0:
		return d.set.Granularity
	case d.set.UnmeteredPolls:
		return Micros(base * 2 / 5)
	}
	if d.askFails == 0 {
		return Micros(min(base, float64(d.set.PollInterval)/3)) + d.turn()
	}
	longest := float64(d.set.PollInterval) / 5
	if d.set.LargeFleet() {
		longest = min(callTime*float64(d.set.Dispatchers), longest)
		base = d.random.chance() * longest
	}
	return Micros(min(base, longest) * min(math.Pow(callGrowth, float64(max(d.askFails-soonCalls, 0))), 2))
}

// outdated tells whether any worker may have been told to drain unheard (rule 3). What there
// is to tell counts as told ToldWithin later, so what was heard last holds so long, and the list
// that a start knew not at all. That a worker takes jobs proves nothing: one that drains may.
func (d *Dispatcher) outdated() bool {
	return d.set.PollEndpoints && d.set.MaxStaleness > 0 &&
		(d.listedAt == 0 || d.now-d.listedAt > d.set.MaxStaleness)
}

const (
	callTime   = 50 * second / 1000 // what a call costs the list's service, about
	soonCalls  = 3                  // failed ones in a row after which the wait grows
	callGrowth = 1.5                // by how much, each time, to twice its length at the most
)

// share is the part of a zone's workers that is a dispatcher's own.
func (d *Dispatcher) share(ready int) float64 {
	share, least := sharers, leastPart
	if d.blind() {
		share, least = blindSharers, blindPart
	}
	return max(share/float64(d.set.Dispatchers), least/max(1, float64(ready)))
}

// patience is how long a job may take to begin before it is held to wait.
func (d *Dispatcher) patience() Micros {
	if d.blind() {
		return blindTicks * d.set.Granularity
	}
	return ticksToStart * d.set.Granularity
}

// blind tells whether there are many dispatchers and none tells another anything: what
// they do together shows only in how long jobs wait.
func (d *Dispatcher) blind() bool { return !d.set.GossipAllowed && d.set.LargeFleet() }

// sharing is how many dispatchers share a worker.
func (d *Dispatcher) sharing() float64 { return d.reach * float64(d.set.Dispatchers) }

// covers tells whether a worker is in the part of the dispatcher at a place.
func (d *Dispatcher) covers(place float64, w *worker) bool {
	return d.gap(place, w) < d.reach
}

// gap is how far on the circle a worker comes behind a place.
func (d *Dispatcher) gap(place float64, w *worker) float64 {
	return subset.Distance(place, d.placeOf(w))
}

// MaxSlots is the most that a job can say it takes: far beyond any machine, and within
// what counts of slots can hold.
const MaxSlots = 1 << 20

// slotsFor is the slots that a job is taken to need: one at the least. What is no number
// counts as one: added to a worker's use, it could never be taken off again.
func slotsFor(said float64) float64 {
	if !(said >= 1) {
		return 1
	}
	return min(said, MaxSlots)
}

// waits is the mean of how long jobs waited at workers before they began. What was seen
// wears off, as others run there by and by.
type waits struct {
	sum, n float64
	at     Micros
}

func (s *waits) fade(now Micros, span float64) {
	keep := math.Exp(-float64(now-s.at) / span)
	s.sum, s.n, s.at = s.sum*keep, s.n*keep, now
}

func (s *waits) add(now Micros, span, wait float64) {
	s.fade(now, span)
	s.sum, s.n = s.sum+wait, s.n+1
}

// crowd is what is known of the waits at the workers of one kind in one zone: those that
// all dispatchers find alike, and crowd together.
type crowd struct {
	waits
	delay float64 // what they and the jobs that wait now come to
	turn  uint64  // the event in which that was reckoned
}

type crowdKey struct{ zone, kind int }

func (d *Dispatcher) crowd(w *worker) *crowd {
	if w.crowd == nil {
		key := crowdKey{w.entry.Zone, w.entry.Kind}
		if w.crowd = d.crowds[key]; w.crowd == nil {
			w.crowd = &crowd{}
			d.crowds[key] = w.crowd
		}
	}
	return w.crowd
}

// waited records how long a job waited at a worker. Only a blind one needs to know.
func (d *Dispatcher) waited(w *worker, wait float64) {
	if !d.blind() {
		return
	}
	w.wait.add(d.now, ownMemory*d.memory(), wait)
	d.crowd(w).add(d.now, crowdMemory*d.memory(), wait)
}

// Of what a wait at one worker tells of the others.
const (
	crowdMemory = 12.0 // for so many runs
	crowdWaits  = 0.5  // own waits that outweigh those of its crowd
	ownMemory   = 6.0  // like crowdMemory, for the worker itself: it is met seldom
)

func (d *Dispatcher) memory() float64 { return max(d.slots.value, second/4) }

// delay is how long a job would likely wait at a worker: as our last ones there did, and as
// far as they do not tell, as those at its crowd. One that waits now is on average half way.
func (d *Dispatcher) delay(w *worker) float64 {
	if !d.set.StartReported || !d.blind() {
		return 0
	}
	c := d.crowd(w)
	if c.turn != d.turns {
		c.turn = d.turns
		c.fade(d.now, crowdMemory*d.memory())
		sum, n := c.sum, c.n+1
		for _, a := range d.late() {
			if d.crowd(a.worker) == c && a.started == 0 && a.live {
				sum, n = sum+2*float64(d.now-a.sent), n+1
			}
		}
		c.delay = sum / n
	}
	if w.wait.n > 0 {
		w.wait.fade(d.now, ownMemory*d.memory())
	}
	return (w.wait.sum + c.delay*crowdWaits) / (w.wait.n + crowdWaits)
}

// In parts of a run: how far a choice goes by chance, and by the place on the circle.
const (
	straying = 0.25
	leaning  = 0.5
)

// stray is a part of a run by which the choice of a worker strays from the best one: all
// dispatchers see much the same, and would send there together.
func (d *Dispatcher) stray(w *worker) float64 {
	if !d.blind() {
		return 0
	}
	return (d.random.chance()*straying + d.gap(d.here, w)/d.reach*leaning) * d.memory()
}

// further is what a cost in another zone comes to here. Few dispatchers meet less when each
// keeps to its zone while that is in time.
func (d *Dispatcher) further(cost, left float64) float64 {
	if !d.blind() {
		return max(left, cost)
	}
	return cost + d.set.CrossZonePrice*left
}

// capacity is how many slots of a worker may be taken. Where starts are told, it
// is the largest number at which jobs begin at once rather than wait.
func (d *Dispatcher) capacity(w *worker) float64 {
	if !d.set.StartReported {
		return w.cap
	}
	k, best := d.kind(w), 0
	for n := k.top; n > 0 && best == 0; n-- {
		if of := d.fit(w, n); of.prompt > 0 && of.prompt >= of.late {
			best = n
		}
	}
	if best == k.top && best < fitsKept {
		best++ // nobody had to wait yet
	}
	return float64(max(best, 1))
}

// taken is the slots of a worker that are taken, by all that we know of.
func (d *Dispatcher) taken(w *worker) float64 {
	others, _ := d.others(w)
	return w.used + others
}

// atWork is the slots of a worker whose jobs run, by all that we know of.
func (d *Dispatcher) atWork(w *worker) float64 {
	_, others := d.others(w)
	return d.running(w) + others
}

// others is what the peers have at a worker. Old word is dropped: its sender
// may be gone.
func (d *Dispatcher) others(w *worker) (used, running float64) {
	for i := range w.peers {
		if p := &w.peers[i]; d.trusted(p) {
			used += float64(p.used)
			running += float64(p.used - min(p.used, p.waiting+d.travels(p)))
		}
	}
	return used, running
}

func (d *Dispatcher) trusted(p *peerUse) bool {
	return d.now-p.at < second+Micros(peerTrust*d.slots.value)
}

// queued tells whether a peer's job waits at a worker. Then it is full whatever our
// cap says; else each of ten dispatchers would try there.
func (d *Dispatcher) queued(w *worker) bool {
	for i := range w.peers {
		if p := &w.peers[i]; p.waits != 0 && d.trusted(p) {
			return d.set.StartReported
		}
	}
	return false
}

// coming tells whether a peer's job may not have begun at a worker yet.
func (d *Dispatcher) coming(w *worker) bool {
	for i := range w.peers {
		if d.travels(&w.peers[i]) > 0 {
			return d.set.StartReported
		}
	}
	return false
}

// travels is the slots of a peer's jobs that may not have begun yet.
func (d *Dispatcher) travels(p *peerUse) byte {
	if d.now-p.grew < ticksToTell*d.set.Granularity {
		return p.coming
	}
	return 0
}
