package dispatch

import (
	"cmp"
	"math"
	"slices"

	"dahliaford/internal/bucketqueue"
	"dahliaford/internal/subset"
)

// The records that the module keeps, and their bookkeeping. Nothing here decides.

// Dispatcher makes the decisions of one dispatcher.
type Dispatcher struct {
	set     Settings
	now     Micros
	born    Micros
	out     []Action
	random  random
	seq     uint64
	jobs    map[JobID]*job
	held    []*job // on time by due, then the late by give-up
	workers map[WorkerID]*worker
	order   []*worker // by seat, those that are gone among them
	part    []*worker // those that are this dispatcher's own, by seat, see settle
	ready   subset.Ring[*worker]
	outside []*worker  // ready ones that it claims and the interval lacks, by seat
	gone    []departed // in order of time
	named   []*worker  // by the present word: kept for its memory
	lists   uint64     // words of the list so far
	busy    []*worker  // those with live attempts
	touched []*worker  // those of which peers may have to be told
	reach   float64    // the part of the circle that a dispatcher covers
	near    []int      // peers whose parts touch this one
	here    float64    // its place on the circle
	peers   []peer     // the dispatchers, by number
	classes []classState
	kinds   map[int]*kind
	crowds  map[crowdKey]*crowd
	slots   quantiles // run time x slots of all jobs
	fleet   pace
	best    float64 // fastest speed in this event; 0: not reckoned yet
	fastest *worker // that had it when last reckoned
	worth   float64 // mean worth of a job
	hints   bool    // jobs come with cost hints
	tokens  []float64
	tokenAt []Micros
	retries float64

	level, gapped               int
	severeRow, overRow, passRow int
	stepAt                      Micros
	climb                       Micros // X: how long the ladder stays on a step
	flows                       []flow // (tenant, class, over)
	ranks                       []int  // (class, over): 0 is shed first
	levels                      int
	refreshed                   Micros
	refreshes                   int
	byTarget                    []int // classes by T_k
	wake                        Micros
	token                       uint64
	askAt                       Micros
	askFails                    int
	listedAt                    Micros // when discovery last said what there is, or nothing new; 0: never
	logged                      Micros
	panicking                   bool

	turns    uint64 // events so far: marks what holds for one of them
	walked   int    // workers up to which a part is walked: smallPart
	index    *index // of a large part; nil: not needed yet
	looked   uint64 // workers looked at for jobs
	roomy    bool   // one of those looked at has room for one more slot
	nowhere  uint64 // the event in which none of the part has
	groups   [ScopeCell + 1]map[int][]*worker
	doubted  []*worker  // those that may be suspect or set aside
	overdue  []*attempt // live, not begun
	lateNow  []*attempt // the same in order, in the event lateTurn
	lateTurn uint64
	erring   struct { // workers of the part that fail jobs, in an event
		turn uint64
		n    float64
	}
}

// New returns a dispatcher with the given settings. The seed decides all that
// is left to chance.
func New(s Settings, seed uint64) (*Dispatcher, error) {
	if err := check(&s); err != nil {
		return nil, err
	}
	n := max(1, len(s.Tenants))
	d := &Dispatcher{set: s, random: random(seed), jobs: map[JobID]*job{}, workers: map[WorkerID]*worker{},
		classes: make([]classState, len(s.Classes)), kinds: map[int]*kind{}, crowds: map[crowdKey]*crowd{},
		tokens: make([]float64, n), tokenAt: make([]Micros, n), retries: retryBurst, walked: smallPart,
		flows: make([]flow, n*len(s.Classes)*2), ranks: make([]int, len(s.Classes)*2)}
	for i := range d.tokens {
		d.tokens[i] = d.burst(i)
	}
	d.here = circle(s.Index)
	d.peers = make([]peer, s.Dispatchers)
	for i := range d.peers {
		d.peers[i].place = circle(i)
		d.peers[i].zone = unknown
	}
	for i := range d.flows {
		d.flows[i].interval = -1
	}
	d.climb = d.set.Classes[0].LatencyObjective
	for k := range d.classes {
		d.climb = min(d.climb, d.set.Classes[k].LatencyObjective)
		d.byTarget = append(d.byTarget, k)
	}
	return d, nil
}

type attempt struct {
	job     *job
	worker  *worker
	n       int
	sent    Micros
	started Micros // 0: not known to have started
	noted   Micros // up to when its run was booked
	done    float64
	live    bool
	ran     bool    // it may have run
	back    bool    // its worker handed it back, and may say so again: of a next one there, it would seem
	taken   float64 // slots of its worker taken, with its own, as known when it left
	overdue bool    // its start notice did not come in time
}

type job struct {
	id            JobID
	class, tenant int
	over          bool   // beyond its tenant's share
	giveUp        Micros // the client abandons this try
	aim           Micros // full worth until then
	due           Micros // latest start to meet the aim: the order of release
	seq           uint64
	work          float64 // expected, in micros on a standard core
	slots         float64
	attempts      []*attempt
	live          int
	held, late    bool
	hinted        bool // the client told the work
	streaming     bool
	finished      bool
}

type worker struct {
	entry     WorkerEntry
	kind      *kind // of its machine; nil: not looked up yet
	live      []*attempt
	used      float64 // slots of own live attempts
	unstarted int
	cap       float64            // slots this dispatcher may fill
	capAt     Micros             // when something last spoke against a larger cap
	slots     float64            // slots that its reports add up to; 0: not known
	blocked   Micros             // nothing before this: it said full
	fits      *[fitsKept + 1]fit // nil: no job of ours told yet
	pace      pace
	wait      waits
	crowd     *crowd // of its zone and kind; nil: not looked up yet
	sign      Micros // last sign of life
	suspect   bool
	trial     Micros  // when a suspect may be tried again
	gone      Micros  // since when the list has it gone; 0: it has not
	fails     int     // failures in a row
	errors    float64 // recent share of errors, when erredAt
	erredAt   Micros
	lost      bool // the last try could not connect: cold when it is back
	downUntil Micros
	cold      Micros                 // start of its warming, as far as known; 0: warm
	budget    float64                // work that may go there now, while it is cold
	budgetAt  Micros                 // when that was so; 0: never reckoned
	peers     []peerUse              // what other dispatchers say that they have there
	told      use                    // what they were told last
	touched   bool                   // they may have to be told something
	seat      seat                   // as of the last settle
	listed    bool                   // in the order
	covered   bool                   // by the interval of the circle that is this dispatcher's
	ours      bool                   // in its part
	list      uint64                 // the last word that named it
	place     float64                // on the circle, see placeOf
	placedAt  uint64                 // the shifts of those it is among when that was reckoned; 0: never
	among     *subset.Group[*worker] // the ready ones of its zone and kind; nil: it is not ready
	tilt      float64                // small own preference, so that dispatchers spread
	node      bucketqueue.Node[*worker]
	listing   uint64 // the index's last look at the part that had it
	stirred   bool   // the index has it to reckon anew
	doubted   bool   // it is among those that may be ill
}

// use is what a dispatcher has at a worker: slots taken and slots of jobs that wait.
type use struct{ used, waiting byte }

// peerUse is what a peer said of its use of a worker.
type peerUse struct {
	use
	peer   int
	at     Micros
	grew   Micros // when its last job left for the worker
	coming byte   // slots that came then
	waits  Micros // since when one of its jobs there waits; 0: none does
}

// peer is what is known of another dispatcher.
type peer struct {
	place   float64 // on the circle, see settle
	zone    int     // unknown until it says so
	visited Micros  // when it last sent to a worker of another zone
}

const unknown = -1 // zone of a peer that has not told it

type flow struct { // one tenant's jobs of one class, within or beyond its share
	rate     float64 // d, jobs a second
	interval int64   // the last gapping interval that passed a job
}

// random is a source drawn from a seed (splitmix64).
type random uint64

// chance returns a number in [0, 1).
func (r *random) chance() float64 {
	*r += 0x9e3779b97f4a7c15
	z := uint64(*r)
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return float64((z^z>>31)>>11) / (1 << 53)
}

// compare orders held jobs: by due time, then by arrival.
func compare(a, b *job) int {
	return cmp.Or(cmp.Compare(a.due, b.due), cmp.Compare(a.seq, b.seq))
}

// drop takes a job out of the held ones.
func (d *Dispatcher) drop(j *job) {
	if !j.held {
		return
	}
	i, found := slices.BinarySearchFunc(d.held, j, compare)
	if found {
		d.held = slices.Delete(d.held, i, i+1)
	}
	j.held = false
}

// attempt finds the live attempt that an event is about, or nil.
func (d *Dispatcher) attempt(e *Event) *attempt {
	j := d.jobs[e.Job]
	if j == nil || e.Attempt < 0 || e.Attempt >= len(j.attempts) || !j.attempts[e.Attempt].live {
		return nil
	}
	return j.attempts[e.Attempt]
}

// running is the slots of own jobs that are known to run at a worker.
func (d *Dispatcher) running(w *worker) float64 {
	n := 0.0
	for _, a := range w.live {
		if a.started != 0 {
			n += a.job.slots
		}
	}
	return n
}

// leave takes an attempt off its worker.
func (d *Dispatcher) leave(a *attempt) {
	a.live = false
	a.job.live--
	d.notOverdue(a)
	w := a.worker
	w.used -= a.job.slots
	if a.started == 0 {
		w.unstarted--
	}
	d.touch(w)
	w.live = without(w.live, a)
	if len(w.live) == 0 {
		d.busy = without(d.busy, w)
	}
}

// without takes one out of a list.
func without[T comparable](list []T, one T) []T {
	if i := slices.Index(list, one); i >= 0 {
		return slices.Delete(list, i, i+1)
	}
	return list
}

// inRow counts how often something has been so without a break.
func inRow(n int, so bool) int {
	if so {
		return n + 1
	}
	return 0
}

// dueWithin is N(t): held jobs that are due within t, those that are late already
// among them.
func (d *Dispatcher) dueWithin(t Micros) int {
	return d.dueBefore(d.now+t+1) + len(d.held) - d.dueBefore(behind)
}

// dueBefore counts the held jobs at the front that are due before a time.
func (d *Dispatcher) dueBefore(limit Micros) int {
	n, _ := slices.BinarySearchFunc(d.held, limit, func(j *job, limit Micros) int {
		return cmp.Compare(j.due, limit)
	})
	return n
}

func (d *Dispatcher) emit(a Action) { d.out = append(d.out, a) }

func (d *Dispatcher) log(text string) {
	if d.logged == 0 || d.now-d.logged >= logEvery {
		d.logged = d.now
		d.emit(Action{Kind: Log, Text: text})
	}
}

// hold puts a job among the held ones: on time by due, late ones behind.
func (d *Dispatcher) hold(j *job) {
	j.due = j.aim - Micros(j.work/d.fleetSpeed())
	if j.late {
		j.due = j.giveUp + behind
	}
	i, _ := slices.BinarySearchFunc(d.held, j, compare)
	d.held = slices.Insert(d.held, i, j)
	j.held = true
}

// arm sets the timer for the next look: soon while jobs are held, rarely while
// some are out.
func (d *Dispatcher) arm() {
	next := Micros(math.MaxInt64)
	if d.askAt != 0 {
		next = d.askAt
	}
	if len(d.held) > 0 {
		next = min(next, d.now+d.beat())
	} else if len(d.jobs) > 0 {
		next = min(next, d.now+max(second/8, d.beat()))
	}
	if len(d.touched) > 0 {
		next = min(next, d.now+ticksToTell*d.set.Granularity)
	}
	if next == math.MaxInt64 || d.wake != 0 && d.wake <= next {
		return
	}
	d.wake = next
	d.token++
	d.emit(Action{Kind: SetTimer, Delay: max(next-d.now, 0), Token: d.token})
}

// touch marks a worker of which peers may have to be told.
func (d *Dispatcher) touch(w *worker) {
	d.stir(w)
	if d.set.GossipAllowed && d.set.Dispatchers > 1 && !w.touched {
		w.touched = true
		d.touched = append(d.touched, w)
	}
}

// waiting is the slots of own jobs that wait at a worker, and whether others of
// ours may be about to begin.
func (d *Dispatcher) waiting(w *worker) (slots float64, coming bool) {
	for _, a := range w.live {
		if d.set.StartReported && a.started == 0 {
			if d.now-a.sent < ticksToTell*d.set.Granularity {
				coming = true
			} else {
				slots += a.job.slots
			}
		}
	}
	return slots, coming
}

// circle is the place of a dispatcher on the circle: steps of the golden section
// spread any run of numbers evenly, and every second one, too.
func circle(balancer int) float64 {
	_, place := math.Modf(math.Abs(float64(balancer)) * math.Phi)
	return place
}

// anyAllowed tells whether rule 2 leaves a job any worker at all.
func (d *Dispatcher) anyAllowed(j *job) bool {
	from := d.order
	keyed := d.set.Classes[j.class].Effect == Keyed
	if keyed {
		from, _ = d.candidates(j)
	}
	for _, w := range from {
		if w.entry.Status == Ready {
			if allowed := d.mayRepeat(j, w); allowed || !keyed {
				return allowed // only a group makes a difference between workers
			}
		}
	}
	return false
}

// mayHaveRun tells what an outcome leaves open.
func mayHaveRun(o Outcome) bool {
	return o != AtCapacity && o != ConnectFailed && o != NotSent && o != HandedBack
}
