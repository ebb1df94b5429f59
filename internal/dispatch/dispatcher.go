package dispatch

// The decision module. Its interface, all types, events and actions, is api.go;
// state.go has the records that it keeps, estimates.go the estimates.
//
// A Dispatcher holds jobs in deadline order, tests the paper's conditions (4)
// and (6), gaps tenants when they fail and releases jobs to workers with free
// slots. docs/design.md says what departs from the paper, when and why.

import (
	"encoding/binary"
	"math"
	"slices"
	"strconv"
)

// Constants. Each is a ratio to a setting or to something measured, where it can be.
const (
	margin       = 0.9  // f of the paper: the margin on the right side of (4) and (6)
	detections   = 5    // consecutive verdicts before the level changes (the paper's)
	quantile     = 0.75 // of recent run times, for x (the paper's upper quartile)
	runsKept     = 64   // run times remembered for the quantile
	runsFresh    = 16   // run times between two computations of the quantile
	burstSeconds = 2.0  // how much of its quota a tenant may save up, in seconds
	leastBurst   = 2.0  // the least that it may save up, in jobs: many dispatchers split a small share too fine
	lookAhead    = 8    // held jobs tried past the first that finds no place: bounds CPU a call

	ticksToStart = 8     // batches until a start notice is overdue: one to send, a handshake, one back
	silence      = 1.5   // progress intervals without a sign that make a worker suspect
	quietRuns    = 4.0   // the same in upper run times, where workers tell no progress
	halfFleet    = 0.5   // more of the fleet than this judged ill: the evidence is at fault, not the fleet
	failLimit    = 3     // errors in a row from a worker, while others serve, that set it aside
	backoffMost  = 5     // doublings of the wait before a lost worker is tried again
	retryRatio   = 0.2   // further attempts earned by each first one
	kindFits     = 4.0   // own jobs that outweigh what is known of a worker's kind
	retryBurst   = 20    // further attempts saved up at most
	hopeful      = 0.7   // part of its expected run that a held job is granted: estimates are rough
	crowding     = 0.8   // cost of a fully busy worker, as a part of the run: others fill it unseen
	coldSlack    = 0.65  // part of a cold worker's budget that is used: its capacity and the works are guesses
	coldShared   = 0.6   // the rate of the same that is used where many share it: parts of it lie idle
	hintedPrior  = 2.0   // mean runs that a worker's own speed must outweigh, with cost hints
	blindPrior   = 8.0   // the same without hints: single runs tell little
	keepOwn      = 0.9   // what a new run leaves of the weight of a worker's earlier ones
	keepKind     = 0.99  // the same for its kind
	keepFleet    = 0.995 // and for the fleet
	keepWork     = 0.98  // what a new job leaves of the weight of its class's earlier ones
	keepMix      = 0.96  // what a second leaves of the counts for the class mix
	renewAfter   = 3.0   // in AskWithin: a silent subscription is renewed
	peerTrust    = 4.0   // upper run times that a peer's word counts
	visit        = 10    // seconds that one who came from another zone is told
	peerMessage  = 7     // bytes: the sender's zone, worker, slots taken, slots of jobs that wait
	ticksToTell  = 4     // batches until a job that has not begun is said to wait
	sharers      = 8.0   // dispatchers that share a worker of each zone, about
	tellMost     = 12.0  // dispatchers that are told of a job, at the most: half as many again as sharers
	leastPart    = 5.0   // workers in that part, at the least
	few          = 8     // dispatchers that meet seldom enough to need no word of each other
	blindSharers = 4.0   // like sharers, where nobody tells: own jobs show more where fewer share
	blindPart    = 3.0   // like leastPart
	blindTicks   = 32    // like ticksToStart: a crossing and a handshake are no wait
	doubtful     = 0.7   // of the mean work: what many blind ones reckon with
	triersAtOnce = 2     // dispatchers that may try past a worker's cap within one run
	logEvery     = 5_000_000
	second       = 1_000_000
	behind       = 1 << 60 // added to the due time of late jobs: after all that are on time
)

// Step takes one event at its time and appends the actions that it calls for.
func (d *Dispatcher) Step(now Micros, e *Event, out []Action) []Action {
	d.now, d.out, d.best = now, out, 0
	d.turns++
	switch e.Kind {
	case Started:
		d.born = now
		if d.set.PollEndpoints {
			if d.askAt = d.now + d.turn(); d.askAt == d.now {
				d.ask()
			}
		}
	case JobArrived:
		d.arrive(e)
	case AttemptEnded:
		d.ended(e)
	case AttemptReported:
		d.note(e)
	case StreamStarted:
		if a := d.attempt(e); a != nil {
			a.job.streaming = true
			a.worker.alive(d.now)
		}
	case ClientDisconnected:
		if j := d.jobs[e.Job]; j != nil && !j.finished {
			d.close(j)
		}
	case EndpointsUpdated:
		d.listed(e)
	case TimerFired:
		if e.Token != d.token {
			return d.out
		}
		d.wake = 0
		d.housekeep()
	case GossipReceived:
		d.hear(e)
	}
	d.release()
	d.tell()
	d.arm()
	return d.out
}

// ---- Arrivals and the gate

func (d *Dispatcher) arrive(e *Event) {
	if _, known := d.jobs[e.Job]; known {
		return
	}
	d.seq++
	j := &job{id: e.Job, class: e.Class, tenant: e.Tenant, seq: d.seq, slots: slotsFor(e.Slots)}
	if j.class < 0 || j.class >= len(d.classes) {
		j.class = 0
	}
	if j.tenant < 0 || j.tenant >= len(d.tokens) {
		j.tenant = 0
	}
	c, st := &d.set.Classes[j.class], &d.classes[j.class]
	patience := min(max(e.Patience, 0), c.Deadline) // none left is legal: answered at once
	j.giveUp = d.now + patience
	j.work = float64(e.Work)
	if j.hinted = e.Work > 0; j.hinted {
		d.hints = true
		st.seen(j.work)
	} else {
		j.work = d.unhinted(st, float64(c.LatencyObjective))
	}
	begun := d.begunAt(j, e.Retry)
	j.aim = min(begun+c.LatencyObjective+Micros(c.ObjectiveStretch*j.work), j.giveUp)
	d.jobs[j.id] = j
	d.retries = min(d.retries+retryRatio, retryBurst)
	st.arrived++
	j.over = d.beyondShare(j.tenant, begun < d.now-d.set.Granularity)
	d.worth += (d.value(j) - d.worth) / math.Min(float64(d.seq), 200)
	d.hold(j)
	d.control()
	if !d.admits(j) {
		d.drop(j)
		d.finish(j, true)
	}
}

func (d *Dispatcher) beyondShare(tenant int, repeat bool) bool {
	q := d.quota(tenant)
	if q == 0 {
		return false
	}
	d.tokens[tenant] = min(d.tokens[tenant]+q*float64(d.now-d.tokenAt[tenant])/second, d.burst(tenant))
	d.tokenAt[tenant] = d.now
	if d.tokens[tenant] < 1 {
		return true
	}
	if !repeat {
		d.tokens[tenant]--
	}
	return false
}

// value is what a timely answer earns.
func (d *Dispatcher) value(j *job) float64 {
	v := d.set.Classes[j.class].PriorityWeight
	if d.set.WeightByWork {
		v *= j.work
	}
	if j.over {
		v *= d.set.OverQuotaWeight
	}
	return v
}

// admits is the gate: call gapping on the priorities that the ladder has
// reached. An interval passes its first job.
func (d *Dispatcher) admits(j *job) bool {
	d.ladder()
	over := 0
	if j.over {
		over = 1
	}
	if d.gapped <= d.ranks[j.class*2+over] {
		return true
	}
	f := &d.flows[(j.tenant*len(d.classes)+j.class)*2+over]
	if f.rate <= 0 {
		return false
	}
	if i := int64(float64(d.now) * f.rate / second); i != f.interval {
		f.interval = i
		return true
	}
	return false
}

// ladder moves the gate: level 1 gaps one priority more every X, level 2 gaps
// all, level 0 lifts one every X, highest first.
func (d *Dispatcher) ladder() {
	for x := d.climb; d.now >= d.stepAt+x; {
		switch {
		case d.level == 1 && d.gapped < d.levels:
			d.gapped++
		case d.level == 0 && d.gapped > 0:
			d.gapped--
		default:
			d.stepAt = d.now
			return
		}
		d.stepAt += x
	}
}

// ---- Controller

// control tests (4) and (6) at an arrival or a departure and changes the level
// after enough verdicts in a row.
func (d *Dispatcher) control() {
	if d.now-d.refreshed >= second {
		d.refresh()
	}
	verdict := d.verdict()
	d.passRow = inRow(d.passRow, verdict == 0)
	d.overRow = inRow(d.overRow, verdict > 0)
	d.severeRow = inRow(d.severeRow, verdict == 2)
	level := d.level
	switch {
	case d.severeRow >= detections:
		level = 2
	case d.overRow >= detections && d.severeRow == 0:
		level = 1
	case d.passRow >= detections:
		level = 0
	}
	if level != d.level {
		d.ladder()
		d.setLevel(level)
	}
}

func (d *Dispatcher) setLevel(level int) {
	switch level {
	case 1:
		d.gapped = max(d.gapped, 1)
	case 2:
		d.gapped = d.levels
		d.log("severe overload: all tenants gapped, held " + strconv.Itoa(len(d.held)))
	}
	d.level, d.stepAt = level, d.now
}

// verdict is 0 if (4) and (6) hold with the margin, 1 if only without, else 2.
func (d *Dispatcher) verdict() int {
	if len(d.held) == 0 {
		return 0
	}
	worst := d.worst(d.x())
	switch {
	case worst < margin:
		return 0
	case worst < 1:
		return 1
	}
	return 2
}

// worst is the largest left side of (4) and (6) over its right side.
func (d *Dispatcher) worst(x float64) float64 {
	worst := 0.0
	for a, k := range d.byTarget {
		tk := d.classes[k].target
		before := d.later(a, tk)
		worst = max(worst, (float64(d.dueWithin(tk))+before)*x/float64(tk))
		for b := a + 1; b < len(d.byTarget); b++ {
			ti := d.classes[d.byTarget[b]].target
			n := float64(d.dueWithin(ti) - d.dueWithin(ti-tk))
			for c := 0; c < b; c++ {
				st := &d.classes[d.byTarget[c]]
				if c < a {
					n += st.rate * float64(st.target)
				} else {
					n += st.rate * float64(min(tk, ti-st.target))
				}
			}
			worst = max(worst, (n+before)*x/float64(tk))
		}
	}
	return worst
}

// later is (4)'s second term: guaranteed jobs of tighter classes yet to come.
func (d *Dispatcher) later(a int, tk Micros) float64 {
	n := 0.0
	for _, k := range d.byTarget[:a] {
		n += d.classes[k].rate * float64(tk-d.classes[k].target)
	}
	return n
}

// x is the time in which the slots of this dispatcher clear one job, as far as verdict needs
// to know it: with fewer slots it is longer, so none are counted past those that pass.
func (d *Dispatcher) x() float64 {
	x := func(slots float64) float64 { return d.slots.value / max(1, slots) }
	return x(d.slotsOf(everyZone, func(slots float64) bool { return d.worst(x(slots)) < margin }))
}

// refresh computes what changes slowly: T_k, priorities and guaranteed rates.
func (d *Dispatcher) refresh() {
	d.refreshed = d.now
	d.refreshes++
	fleet := d.fleetSpeed()
	arrived := 0.0
	for k := range d.classes {
		c, st := &d.set.Classes[k], &d.classes[k]
		work := st.mean(float64(c.LatencyObjective))
		if !d.hints {
			work = st.weighted(float64(c.LatencyObjective))
		}
		run := work / fleet
		if d.hints && st.runs.n > 0 {
			run = st.runs.value
		}
		aim := min(c.LatencyObjective+Micros(c.ObjectiveStretch*work), c.Deadline)
		st.target = max(aim-Micros(run), c.LatencyObjective/4, d.set.Granularity)
		arrived += st.arrived
	}
	slices.SortStableFunc(d.byTarget, func(a, b int) int {
		return int(d.classes[a].target - d.classes[b].target)
	})
	d.rank()
	d.guarantee(max(arrived, 1))
	for k := range d.classes {
		d.classes[k].arrived *= keepMix
	}
}

// rank orders (class, within or beyond share) by worth for a unit of work: the
// paper's utility (2).
func (d *Dispatcher) rank() {
	utility := make([]float64, len(d.ranks))
	for k := range d.classes {
		c := &d.set.Classes[k]
		u := c.PriorityWeight
		if !d.set.WeightByWork {
			u /= max(1, d.classes[k].mean(float64(c.LatencyObjective)))
		}
		utility[k*2], utility[k*2+1] = u, u*d.set.OverQuotaWeight
	}
	distinct := slices.Clone(utility)
	slices.Sort(distinct)
	distinct = slices.Compact(distinct)
	for i, u := range utility {
		d.ranks[i], _ = slices.BinarySearch(distinct, u)
	}
	d.levels = len(distinct)
}

// guarantee sets d for each flow: its quota by the class mix, cut from the
// least worth up until the fleet can carry the sum, (1) of the paper.
func (d *Dispatcher) guarantee(arrived float64) {
	room := 0.0 // slot-seconds a second that this dispatcher's part of the fleet gives
	for _, w := range d.part {
		room += max(1, d.kind(w).most)
	}
	room *= margin / max(1, d.sharing())
	nc := len(d.classes)
	for k := range d.classes {
		d.classes[k].rate = 0
	}
	spend := func(t, k int, rate float64) {
		cost := d.classes[k].mean(float64(d.set.Classes[k].LatencyObjective)) / d.fleetSpeed() / second
		rate = min(rate, room/cost)
		room -= rate * cost
		d.flows[(t*nc+k)*2].rate += rate
		d.classes[k].rate += rate / second
	}
	full := func(t, k int) float64 {
		if t < len(d.set.Tenants) && d.set.Tenants[t].Quota > 0 {
			return d.quota(t) * d.classes[k].arrived / arrived
		}
		return room // no quota: what the fleet can carry
	}
	for i := range d.flows {
		d.flows[i].rate = 0
	}
	for r := d.levels - 1; r >= 0; r-- {
		for k := range d.classes {
			if d.ranks[k*2] != r {
				continue
			}
			for t := range d.tokens {
				spend(t, k, full(t, k))
			}
		}
	}
	// (4) and (6) reckon with no more than arrives: what nobody sends takes no room.
	seconds := (1 - math.Pow(keepMix, float64(d.refreshes))) / (1 - keepMix)
	for k := range d.classes {
		st := &d.classes[k]
		st.rate = min(st.rate, st.arrived/max(1, seconds)/second)
	}
}

// ---- Selector

// release sends held jobs, earliest due first, to workers with free slots, and
// answers those that can earn nothing more.
func (d *Dispatcher) release() {
	misses := 0
	for i := 0; i < len(d.held) && misses <= lookAhead; {
		j := d.held[i]
		if d.expired(j) {
			continue // it left the held ones, or went behind
		}
		w := d.place(j)
		if w == nil || !d.send(j, w) {
			misses++
			i++
		}
	}
}

// guard is how long before the client gives up a held job is answered.
func (d *Dispatcher) guard() Micros { return 2*d.set.Granularity + d.beat() }

// beat is the time between looks while jobs are held.
func (d *Dispatcher) beat() Micros { return 4 * d.set.Granularity }

// expired deals with a held job whose time is up or whose aim is lost.
func (d *Dispatcher) expired(j *job) bool {
	if d.now >= j.giveUp-d.guard() {
		d.drop(j)
		if j.live == 0 {
			d.finish(j, true)
		}
		return true
	}
	earns := d.now < j.aim || d.set.Classes[j.class].LateWeight > 0
	if earns && (j.late && d.level == 0 || !j.late && d.inTime(j, d.grant(j))) {
		return false
	}
	d.drop(j)
	if j.live > 0 {
		return true // its attempt goes on; a copy would come too late
	}
	// Late work may still earn, and estimates are rough: it waits behind, unless
	// the fleet is overloaded. Otherwise an early answer spares a late failure.
	if earns && d.level == 0 {
		j.late = true
		d.hold(j)
		return true
	}
	d.finish(j, true)
	return true
}

// inTime tells whether a part of a job's expected run, started now, fits its aim.
func (d *Dispatcher) inTime(j *job, part float64) bool {
	return d.canAny(func(speed float64) bool { return float64(d.now)+part*j.work/speed <= float64(j.aim) })
}

// grant is the part of its expected run that a held job must still have. Under
// overload slots are scarce and none goes to a job that will likely be late; but
// without a hint of its work nobody can tell that.
func (d *Dispatcher) grant(j *job) float64 {
	if d.level > 0 && j.hinted {
		return 1
	}
	return hopeful
}

// place picks the worker for a held job, or nil to hold it. A large part is not walked: the
// index names some that likely cost least. If none of them will do, the walk has the last word.
func (d *Dispatcher) place(j *job) *worker {
	from, free := d.candidates(j)
	own := free && len(from) == len(d.part)
	if free && d.large() {
		if own && d.nowhere == d.turns {
			return nil // the walk for another job found no slot at all
		}
		if w := d.pick(j, d.shortlist(j)); w != nil {
			return w
		}
	}
	d.roomy = false
	w := d.pick(j, from)
	if w == nil && own && !d.roomy {
		d.nowhere = d.turns
	}
	return w
}

// pick takes the one with the least cost, the run and the wait expected there. One of another
// zone is taken only when that pays.
func (d *Dispatcher) pick(j *job, from []*worker) *worker {
	var near, far *worker
	nearCost, farCost := math.Inf(1), math.Inf(1)
	left := float64(j.aim - d.now)
	for _, w := range from {
		cost, ok := d.cost(j, w, left)
		if !ok {
			continue
		}
		if d.set.CrossZonePrice == 0 || w.entry.Zone == d.set.Zone {
			if cost < nearCost {
				near, nearCost = w, cost
			}
		} else if cost < farCost {
			far, farCost = w, cost
		}
	}
	if far == nil || near != nil && nearCost <= d.further(farCost, left) {
		return near
	}
	if near == nil && !d.crossPays(j) {
		return nil
	}
	return far
}

// cost is what a worker costs a job, the run and the wait expected there; false if it will not do.
func (d *Dispatcher) cost(j *job, w *worker, left float64) (float64, bool) {
	d.looked++
	if !d.usable(w) {
		return 0, false
	}
	taken, wait := d.taken(w), 0.0
	most := d.capacity(w)
	d.roomy = d.roomy || taken+1 <= most || d.growable(w)
	if over := taken + j.slots - most; over > 0 {
		if !d.growable(w) {
			return 0, false
		}
		wait = d.slots.value * (1 + over/max(1, most))
	}
	if !d.fits(j, w) {
		return 0, false
	}
	run, delay := j.work/d.speed(w), d.delay(w)
	// The aim is lost there but not everywhere: see expired. A cold worker may
	// have it all the same where late answers earn, or a new fleet stands idle.
	earns := d.coldAt(w) != 0 && d.set.Classes[j.class].LateWeight > 0
	if !j.late && !earns && delay+d.grant(j)*run > left {
		return 0, false
	}
	if w.fails > 0 {
		wait += float64(d.set.ConnectTimeout)
	}
	return wait + delay + run*(1+crowding*taken/max(1, most)+w.tilt) + d.stray(w), true
}

// crossPays weighs the price of leaving the zone against what waiting risks.
func (d *Dispatcher) crossPays(j *job) bool {
	pays := func(local float64) bool {
		risk := 1.0
		if local > 0 && j.due > d.now {
			risk = min(1, d.reach*d.slots.value/local/float64(j.due-d.now))
		}
		return risk*d.value(j)*(1-d.set.Classes[j.class].LateWeight) > d.set.CrossZonePrice*d.worth
	}
	return pays(d.slotsOf(d.set.Zone, func(local float64) bool { return !pays(local) }))
}

// fits tells whether the class of a job and its earlier attempts allow a worker.
func (d *Dispatcher) fits(j *job, w *worker) bool {
	if k := d.set.Classes[j.class].Kind; k >= 0 && k != w.entry.Kind || d.risky(j, w) {
		return false
	}
	for _, a := range j.attempts {
		if a.worker == w && (a.live || a.ran || a.back) {
			return false // another worker, if any: this one had its chance
		}
	}
	return d.mayRepeat(j, w) && d.coldAllows(j, w)
}

// ---- Sending and finishing: the rules

// send is the only way to a worker. It guards that nothing is sent for a
// finished or outlived job (rule 1), that no effect can happen twice (rule 2),
// that drains are kept (rule 3) and that no cold worker is pushed over (rule 4).
func (d *Dispatcher) send(j *job, w *worker) bool {
	if j.finished || j.streaming || d.now >= j.giveUp-d.guard() || len(j.attempts) >= d.set.MaxAttempts {
		return false
	}
	by := d.repeatBy(j, w)
	if d.now >= by || w.entry.Status != Ready || d.outdated() {
		return false
	}
	if !d.coldAllows(j, w) {
		return false
	}
	d.drop(j)
	a := &attempt{job: j, worker: w, n: len(j.attempts), sent: d.now, live: true}
	j.attempts = append(j.attempts, a)
	j.live++
	if w.live = append(w.live, a); len(w.live) == 1 {
		d.busy = append(d.busy, w)
	}
	d.touch(w)
	w.used += j.slots
	w.unstarted++
	if a.taken = d.taken(w); a.taken > d.capacity(w) {
		w.cap, w.capAt = a.taken, d.now
		d.kind(w).tried = d.now
	}
	if d.coldAt(w) != 0 {
		w.budget -= d.coldWork(j)
	}
	// The attempt ends before the client gives up, so its time-out can still be
	// answered in time.
	end := j.giveUp - 2*d.set.Granularity
	d.emit(Action{Kind: Send, Job: j.id, Attempt: a.n, Worker: w.entry.Worker, Deadline: end, SendBy: by})
	return true
}

// repeatBy is rule 2 for sends: until when an attempt may leave for a worker; 0: it may not.
func (d *Dispatcher) repeatBy(j *job, w *worker) Micros {
	if j.live > 0 && !d.set.HedgingAllowed {
		return 0
	}
	by, c := j.giveUp, &d.set.Classes[j.class]
	for _, a := range j.attempts {
		if !a.live && !a.ran || c.Effect == Safe {
			continue // it provably never ran, or may run again
		}
		if c.Effect == Unsafe || !sameGroup(c.DedupScope, &a.worker.entry, &w.entry) {
			return 0
		}
		by = min(by, a.sent+c.DedupWindow-d.guard())
	}
	return by
}

func (d *Dispatcher) mayRepeat(j *job, w *worker) bool { return d.now < d.repeatBy(j, w) }

// finish is the only way to a final answer of our own: one for each job (rule
// 1), and a refusal only where trying again is harmless (rule 2).
func (d *Dispatcher) finish(j *job, refuse bool) {
	if j.finished {
		return
	}
	if refuse && d.mayRefuse(j) {
		wait, lost := Micros(0), d.now >= j.aim && d.set.Classes[j.class].LateWeight == 0
		if lost || d.level > 0 && (j.over || !d.inTime(j, 1)) {
			wait = d.set.MaxRetryAfter // a repeat now helps nobody; others may yet be in time
		}
		d.emit(Action{Kind: Refuse, Job: j.id, Delay: wait})
	} else {
		d.emit(Action{Kind: Fail, Job: j.id})
	}
	d.close(j)
}

func (d *Dispatcher) mayRefuse(j *job) bool {
	c := &d.set.Classes[j.class]
	if c.Effect == Safe || c.Effect == Keyed && c.DedupScope == ScopeAll {
		return true
	}
	for _, a := range j.attempts {
		if a.live || a.ran {
			return false
		}
	}
	return true
}

// close ends a job that has its answer. Attempts still out are cancelled.
func (d *Dispatcher) close(j *job) {
	j.finished = true
	d.drop(j)
	if j.live == 0 {
		delete(d.jobs, j.id)
		return
	}
	if d.set.CancelAllowed && !j.streaming {
		for _, a := range j.attempts {
			if a.live {
				d.emit(Action{Kind: Cancel, Job: j.id, Attempt: a.n})
			}
		}
	}
}

// ---- Attempts

func (d *Dispatcher) note(e *Event) {
	a := d.attempt(e)
	if a == nil {
		return
	}
	a.worker.alive(d.now)
	switch e.Note {
	case NoteStarted:
		d.begun(a, d.now)
	case NoteProgress:
		d.begun(a, a.sent)
		d.book(a, e.Value)
	}
}

// begun records that an attempt runs, and what that tells of the worker's slots.
func (d *Dispatcher) begun(a *attempt, at Micros) {
	if a.started != 0 {
		return
	}
	w := a.worker
	d.notOverdue(a)
	a.started, a.noted = at, at
	w.unstarted--
	d.touch(w)
	if !d.set.StartReported {
		d.filled(w, d.atWork(w))
	} else {
		d.waited(w, float64(at-a.sent))
		if !a.overdue {
			d.fitted(a, true)
		}
	}
}

func (d *Dispatcher) ended(e *Event) {
	a := d.attempt(e)
	if a == nil {
		return
	}
	j, w := a.job, a.worker
	turnedAway := e.Outcome == AtCapacity || e.Outcome == HandedBack
	if a.overdue && a.started == 0 && !turnedAway {
		d.waited(w, 2*float64(d.now-a.sent)) // it was given up half way, on average
	}
	d.leave(a)
	d.judge(a, e)
	if !turnedAway { // 'full' is surer than a report that promises slots
		d.report(w, e.Report, j.slots)
	}
	a.ran, a.back = mayHaveRun(e.Outcome), e.Outcome == HandedBack
	switch {
	case !j.finished && (e.Final || e.Outcome == OK):
		d.close(j)
	case j.live > 0:
	case j.finished:
		delete(d.jobs, j.id)
	default:
		d.again(j, e.Outcome)
	}
	d.control()
}

// again gives a job without live attempts another one, if its class, its time
// and the retry budget allow, or its final answer. A refused connect takes
// nothing from the budget: its worker is set aside, which bounds them, and when
// half a fleet is cut off at once they would use the budget up.
func (d *Dispatcher) again(j *job, o Outcome) {
	if j.held {
		return
	}
	if o == ConnectFailed {
		d.retries++
	}
	if d.retries >= 1 && d.now < j.giveUp-d.guard() && len(j.attempts) < d.set.MaxAttempts && d.anyAllowed(j) {
		d.retries--
		d.hold(j)
		return
	}
	d.finish(j, true)
}

// judge draws from an outcome what it tells of the worker.
func (d *Dispatcher) judge(a *attempt, e *Event) {
	w := a.worker
	switch e.Outcome {
	case OK:
		if w.lost {
			w.cold, w.lost = d.now, false // back, so it started anew: cold before the list says so
		}
		w.fails = 0
		d.erred(w, 0, e.Report)
		w.alive(d.now)
		d.learnRun(a)
	case AtCapacity, HandedBack:
		w.cap, w.capAt = max(1, d.taken(w)), d.now
		w.blocked = d.now + max(d.beat(), Micros(d.slots.value/4))
		w.alive(d.now)
	case ConnectFailed:
		w.lost = w.lost || w.fails > 0 // one alone may be an accident on the way
		d.setAside(w)
	case Failed, Reset:
		// Quick errors empty a worker and would draw more work to it.
		d.erred(w, 1, e.Report)
		if w.fails++; w.fails >= failLimit {
			w.fails--
			d.setAside(w)
		}
	}
}

// setAside keeps a worker that failed out for a while that doubles.
func (d *Dispatcher) setAside(w *worker) {
	if d.now < w.downUntil {
		return // the same failure, seen by another attempt
	}
	w.fails++
	wait := max(d.set.ConnectTimeout, second/4) << min(w.fails, backoffMost)
	w.downUntil = d.now + Micros(float64(wait)*(0.75+0.5*d.random.chance()))
	d.doubt(w)
	w.cap = 1
	d.log("worker " + strconv.Itoa(int(w.entry.Worker)) + " set aside: attempts fail")
}

// report learns free slots from a load report. Attempts younger than a report
// can be are not in it.
func (d *Dispatcher) report(w *worker, r Report, leaving float64) {
	if !r.Known || d.set.StartReported {
		return
	}
	seen := leaving
	for _, a := range w.live {
		if d.now-a.sent > second/4 {
			seen += a.job.slots
		}
	}
	// Free slots and jobs there add up to the slots while none waits. Beyond
	// that, what waits counts against us: else a queue of our own would pass for
	// slots, and the cap would never come down.
	free, blend := math.Round(max(r.Free, 0)), 1-keepOwn
	if w.slots == 0 {
		blend = 1
	}
	switch {
	case free > 0 && r.Outstanding >= 0:
		w.slots += (r.Free + r.Outstanding - w.slots) * blend
		d.filled(w, math.Round(w.slots))
	case free == 0 && r.Outstanding >= 0 && w.slots > 0:
		free = min(0, math.Round(w.slots-r.Outstanding))
	}
	w.cap = max(0, seen+free)
	w.capAt = d.now
}

// ---- Workers

// usable tells whether a worker may be given work at all.
func (d *Dispatcher) usable(w *worker) bool {
	if w.entry.Status != Ready || d.outdated() || d.now < w.blocked {
		return false
	}
	if d.set.StartReported && w.unstarted > 0 || d.queued(w) {
		return false // its last job has not begun: it is full, or gone
	}
	if d.now < w.downUntil || w.fails > 0 && len(w.live) > 0 {
		return d.panicking
	}
	return d.panicking || !w.suspect || d.now >= w.trial && len(w.live) == 0
}

// growable tells whether one job beyond a worker's capacity may be tried. Each that
// shares the worker tries alike, so the pause grows with their number.
func (d *Dispatcher) growable(w *worker) bool {
	if d.queued(w) || d.coming(w) {
		return false
	}
	pause, at := max(d.slots.value, float64(d.set.Classes[0].LatencyObjective)), w.capAt
	if d.set.StartReported {
		at = d.kind(w).tried
	}
	return float64(d.now-at) > pause*max(1, d.sharing()/triersAtOnce)
}

// coldAt is the start of a worker's warming, 0 if it is warm.
func (d *Dispatcher) coldAt(w *worker) Micros {
	if w.lost {
		return d.now
	}
	at := max(w.cold, w.entry.Started)
	if at != 0 && d.now-at >= d.set.SlowStart {
		return 0
	}
	return at
}

// coldAllows is rule 4. The budget of a cold worker is small against a job, and
// a part for each dispatcher would fit none: all reckon the same owner from the
// worker's number, who may use it whole, and nobody else sends there until it is
// warm. Where many are blind, one would leave a cold fleet idle: there, so many of
// those that cover it own it as have a job's worth of budget each.
func (d *Dispatcher) coldAllows(j *job, w *worker) bool {
	if d.coldAt(w) == 0 {
		return true
	}
	if !w.lost && !d.owns(w) {
		return false
	}
	most := d.coldBudget(w)
	return w.budget >= min(d.coldWork(j), most)
}

// owns tells whether this dispatcher may send to a worker while it is cold.
func (d *Dispatcher) owns(w *worker) bool {
	if d.blind() {
		return d.gap(d.here, w) < d.reach*d.owners(w)/d.sharing()
	}
	return d.claims(w)
}

// claims tells whether this dispatcher is the owner of a worker by its number alone, wherever that
// stands. Many blind ones go by the place instead: who owns it there covers it.
func (d *Dispatcher) claims(w *worker) bool {
	source := random(w.entry.Worker)
	return !d.blind() && int(source.chance()*float64(d.set.Dispatchers)) == d.set.Index
}

// coldBudget brings the budget of a cold worker up to date and returns its most.
// What flows in within a window and what may be saved up for it (see coldRate) are
// together less than it allows. A job that is larger than the whole may
// leave when it is full, and is paid for before the next. After a start of our
// own it begins empty: what we sent before is unknown.
func (d *Dispatcher) coldBudget(w *worker) float64 {
	warmth := d.warmth(d.coldAt(w) + d.set.OverloadWindow) // as it was when the window began
	rate := d.coldRate(w) * warmth
	if w.lost {
		rate /= 2 * float64(d.set.Dispatchers) // anyone may find out whether it is back
	} else {
		rate /= d.owners(w)
	}
	most := rate * float64(d.set.OverloadWindow)
	if d.blind() {
		most /= 2 // leaves room for a job too many from some
	}
	if w.budgetAt == 0 && d.now-d.born >= d.set.OverloadWindow {
		w.budget += most // less what was under way there when its start was told
	} else {
		w.budget = min(most, w.budget+rate*float64(d.now-max(w.budgetAt, d.born)))
	}
	w.budgetAt = d.now
	return most
}

// coldRate is the work that a worker may be sent in a unit of time per share of its capacity.
func (d *Dispatcher) coldRate(w *worker) float64 {
	slack := coldSlack / 2
	if d.blind() {
		slack = coldShared
	}
	return slack * d.set.OverloadFactor * max(1, d.kind(w).most) * d.warmSpeed(w)
}

// owners is how many dispatchers own a cold worker, with an equal part of its budget each.
func (d *Dispatcher) owners(w *worker) float64 {
	if !d.blind() {
		return 1
	}
	whole := 1.5 * d.coldRate(w) * d.set.SlowStartInitial * float64(d.set.OverloadWindow)
	return max(1, min(d.sharing(), whole/max(d.slots.value, d.typicalWork())))
}

// housekeep looks at what no event tells: overdue starts and silent workers.
func (d *Dispatcher) housekeep() {
	// Every held job is looked at: release stops at the first few without a place,
	// and a job behind them must still be answered in time.
	for i := 0; i < len(d.held); {
		if !d.expired(d.held[i]) {
			i++
		}
	}
	patience := d.patience()
	limit := d.quiet()
	for _, w := range d.busy {
		d.giveUpLost(w)
		if w.entry.Status == Ready {
			d.watch(w, patience, limit)
		}
	}
	// A fault of the network or of the reports looks like a fleet that fell ill
	// at once. Then nobody is judged.
	if panicking := float64(d.ill()) > halfFleet*float64(len(d.part)); panicking != d.panicking {
		d.panicking = panicking
		if panicking {
			d.log("most workers look ill: the evidence is not trusted, all are used")
		}
	}
	if d.askAt != 0 && d.now >= d.askAt {
		d.ask()
	}
}

// giveUpLost answers jobs that still wait at a worker when their aim is lost. In its
// queue they would take the time of those behind them and earn nothing.
func (d *Dispatcher) giveUpLost(w *worker) {
	for _, a := range w.live {
		j := a.job
		waits := a.overdue && a.started == 0 && !j.finished && j.live == 1
		if waits && d.set.CancelAllowed && d.set.Classes[j.class].LateWeight == 0 && !d.inTime(j, hopeful) {
			d.finish(j, true)
		}
	}
}

func (d *Dispatcher) watch(w *worker, patience, limit Micros) {
	running, oldest := d.running(w), d.now
	for _, a := range w.live {
		oldest = min(oldest, a.sent)
		if d.set.StartReported && a.started == 0 && !a.overdue && d.now-a.sent > patience {
			a.overdue = true
			d.overdue = append(d.overdue, a)
			d.fitted(a, false)
		}
	}
	quiet := d.now - max(w.sign, oldest)
	if running == 0 {
		quiet /= 2 // it may wait behind the jobs of others
	}
	if quiet > limit && !w.suspect {
		w.suspect = true
		d.doubt(w)
		w.trial = d.now + limit
		d.log("worker " + strconv.Itoa(int(w.entry.Worker)) + " is silent: nothing more goes there")
		d.copies(w)
	}
}

// copies holds the repeatable jobs of a silent worker for a second attempt.
func (d *Dispatcher) copies(w *worker) {
	if !d.set.HedgingAllowed {
		return
	}
	for _, a := range w.live {
		j := a.job
		if !j.finished && !j.held && j.live == 1 && d.retries >= 1 && d.set.Classes[j.class].Effect != Unsafe &&
			len(j.attempts) < d.set.MaxAttempts {
			d.retries--
			d.hold(j)
		}
	}
}

// ---- The worker list

func (d *Dispatcher) listed(e *Event) {
	if e.Scope >= UpdateFailed { // nothing new, and perhaps less to rely on
		d.listedAt = min(d.listedAt, d.now-e.Age)
	}
	if e.Scope == UpdateFailed {
		if d.set.PollEndpoints {
			d.askAt = d.now + d.nextCall()
			d.askFails++
			d.log("the worker list does not answer: the last one is used")
		}
		return
	}
	if e.Scope < UpdateCached && d.set.PollEndpoints { // what a start knew may be of any age
		d.askFails, d.listedAt = 0, d.now-e.Age
		d.askAt = d.now + Micros(renewAfter*float64(d.set.PollInterval))
	}
	named, whole := d.named[:0], e.Scope == UpdateFull || e.Scope == UpdateCached
	d.lists++
	for _, entry := range e.Workers {
		w := d.workers[entry.Worker]
		if w == nil {
			w = &worker{cap: 1, tilt: d.random.chance() * 0.05}
			d.workers[entry.Worker] = w
		}
		if entry.Started > w.entry.Started { // known to be back: no need to find out
			w.lost, w.fails, w.downUntil, w.budgetAt, w.budget = false, 0, 0, 0, -d.underWay(w)
		}
		w.entry, w.kind, w.crowd, w.list = entry, nil, nil, d.lists
		named = append(named, w)
	}
	for i := 0; whole && i < len(d.order); i++ {
		if w := d.order[i]; w.list != d.lists && w.entry.Status != Removed {
			w.entry.Status = Removed
			named = append(named, w)
		}
	}
	d.forget(named)
	d.settle(named)
	clear(named)
	d.named = named[:0]
	d.moved()
}

// settle picks the part of the fleet that is this dispatcher's own. Hundreds of
// dispatchers would each see a worker once in minutes: too seldom to know its slots,
// speed or health, and a word to all peers for each job is more than all can take.
// So both stand on a circle, and those that are near share workers, of all zones and
// kinds alike. A few have the whole fleet; a cold worker is in its owner's part, too.
func (d *Dispatcher) settle(named []*worker) {
	d.reseat(named)
	reach := min(1, float64(d.ready.Zones())*d.share(d.ready.Len()))
	if reach != d.reach {
		d.reach, d.near = reach, d.near[:0]
		for p := range d.peers {
			if gap := math.Abs(d.peers[p].place - d.here); min(gap, 1-gap) < d.reach {
				d.near = append(d.near, p)
			}
		}
	}
	d.ready.Cover(d.here, d.reach, d.cover)
	for _, w := range d.outside {
		d.admit(w, d.coldAt(w) != 0)
	}
}

// ask subscribes to the list, and asks again if no answer comes.
func (d *Dispatcher) ask() {
	d.emit(Action{Kind: WatchEndpoints})
	d.askAt = d.now + Micros(float64(d.set.PollInterval)*(0.45+0.05*d.random.chance()))
}

// ---- Peers

// tell sends those who share a worker what changed in our use of it. Lost or
// late messages only make their view of free slots worse; no rule leans on it.
// Peers take a job to have begun unless it is said to wait: that saves a message.
func (d *Dispatcher) tell() {
	later := d.touched[:0]
	for _, w := range d.touched {
		waiting, coming := d.waiting(w)
		if w.touched = coming; coming {
			later = append(later, w)
		}
		use := use{byte(min(w.used, 255)), byte(min(waiting, 255))}
		if use == w.told {
			continue
		}
		w.told = use
		message := binary.BigEndian.AppendUint32([]byte{byte(d.set.Zone)}, uint32(w.entry.Worker))
		d.spread(w, append(message, use.used, use.waiting))
	}
	d.touched = later
}

// spread sends a message to those who share a worker: those of its zone, those of
// other zones who send here, and all while they are few. One who comes from another
// zone and hears nothing takes every worker for free and fills it; when we cross,
// others of our zone likely do so, too.
func (d *Dispatcher) spread(w *worker, message []byte) {
	told, few := 0.0, d.sharing() <= sharers
	for i := range d.near {
		p := d.near[(i+max(d.set.Index, 0))%len(d.near)]
		o := &d.peers[p]
		here := o.zone == unknown || o.zone == w.entry.Zone || w.entry.Zone != d.set.Zone
		visits := o.visited != 0 && d.now-o.visited < visit*second
		if p != d.set.Index && (few || here || visits) && d.covers(o.place, w) {
			d.emit(Action{Kind: SendGossip, Peer: p, Message: message})
			if told++; told >= tellMost { // a fleet that shrinks has many to a worker
				return
			}
		}
	}
}

func (d *Dispatcher) hear(e *Event) {
	m := e.Message
	if len(m) != peerMessage || e.Peer < 0 || e.Peer >= d.set.Dispatchers {
		return
	}
	peer := &d.peers[e.Peer]
	peer.zone = int(m[0])
	w := d.workers[WorkerID(binary.BigEndian.Uint32(m[1:]))]
	if w == nil {
		return // not on our list: a peer's word is not enough
	}
	if peer.zone != w.entry.Zone {
		peer.visited = d.now
	}
	d.heard(w, e.Peer, use{m[5], m[6]})
}

// heard records what a peer says that it has at a worker.
func (d *Dispatcher) heard(w *worker, peer int, u use) {
	i := slices.IndexFunc(w.peers, func(p peerUse) bool { return p.peer == peer })
	if i < 0 {
		if u.used == 0 {
			return
		}
		w.peers = slices.DeleteFunc(w.peers, func(p peerUse) bool { return !d.trusted(&p) })
		i = len(w.peers)
		w.peers = append(w.peers, peerUse{peer: peer})
	}
	p := &w.peers[i]
	switch {
	case u.waiting == 0:
		p.waits = 0
	case p.waits == 0:
		p.waits = d.now
	}
	if u.used > p.used {
		p.coming, p.grew = u.used-p.used, d.now
	}
	p.use, p.at = u, d.now
	if u.used == 0 {
		w.peers = slices.Delete(w.peers, i, i+1)
	}
}

// alive records a sign of life, which heals any suspicion.
func (w *worker) alive(now Micros) {
	w.sign, w.suspect = now, false
}

// sameGroup tells whether two workers drop each other's repeats.
func sameGroup(g DedupScope, a, b *WorkerEntry) bool {
	switch g {
	case ScopeAll:
		return true
	case ScopeZone:
		return a.Zone == b.Zone
	}
	return a.Cell == b.Cell
}
