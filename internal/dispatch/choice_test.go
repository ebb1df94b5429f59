package dispatch

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// A simple world for the quality of choices: many blind dispatchers share workers that run what
// fits and queue the rest. It is compared with itself, once with the index and once with walks.
type fleetWorld struct {
	r       *rand.Rand
	now     Micros
	seq     int
	due     fleetQueue
	members []*Dispatcher
	workers map[WorkerID]*hollow
	jobs    map[JobID]*hollowJob
	began   []float64 // seconds from arrival to start
	early   int       // refused or failed
}

type hollow struct {
	slots, running, done int
	speed                float64
	queue                []*hollowRun
	busy                 float64 // seconds of its slots
}

type hollowRun struct {
	member  int
	job     JobID
	attempt int
	worker  WorkerID
	gone    bool // cancelled
	runs    bool
	began   Micros
}

type hollowJob struct {
	arrived Micros
	work    float64
	runs    []*hollowRun
}

type fleetEvent struct {
	at  Micros
	seq int
	do  func()
}

type fleetQueue []fleetEvent

func (q fleetQueue) Len() int { return len(q) }
func (q fleetQueue) Less(a, b int) bool {
	return q[a].at < q[b].at || q[a].at == q[b].at && q[a].seq < q[b].seq
}
func (q fleetQueue) Swap(a, b int) { q[a], q[b] = q[b], q[a] }
func (q *fleetQueue) Push(x any)   { *q = append(*q, x.(fleetEvent)) }
func (q *fleetQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func (f *fleetWorld) after(span Micros, do func()) {
	f.seq++
	heap.Push(&f.due, fleetEvent{f.now + span, f.seq, do})
}

const wire = second / 1000 // one way

func (f *fleetWorld) step(m int, e Event) {
	for _, a := range f.members[m].Step(f.now, &e, nil) {
		switch a.Kind {
		case Send:
			run := &hollowRun{member: m, job: a.Job, attempt: a.Attempt, worker: a.Worker}
			f.jobs[a.Job].runs = append(f.jobs[a.Job].runs, run)
			f.after(wire, func() {
				w := f.workers[run.worker]
				w.queue = append(w.queue, run)
				f.serve(w)
			})
		case Cancel:
			run := f.jobs[a.Job].runs[a.Attempt]
			f.after(wire, func() {
				if !run.gone {
					f.leave(run)
					f.after(wire, func() { f.end(run, Cancelled) })
				}
			})
		case Refuse, Fail:
			f.early++
		case SetTimer:
			f.after(a.Delay, func() { f.step(m, Event{Kind: TimerFired, Token: a.Token}) })
		}
	}
}

func (f *fleetWorld) end(run *hollowRun, o Outcome) {
	f.step(run.member, Event{Kind: AttemptEnded, Job: run.job, Attempt: run.attempt, Worker: run.worker,
		Outcome: o, Final: o == OK})
}

func (f *fleetWorld) leave(run *hollowRun) {
	w := f.workers[run.worker]
	run.gone = true
	if run.runs {
		w.running--
		w.busy += float64(f.now-run.began) / second
	}
	f.serve(w)
}

func (f *fleetWorld) serve(w *hollow) {
	for len(w.queue) > 0 && w.running < w.slots {
		run := w.queue[0]
		if w.queue = w.queue[1:]; run.gone {
			continue
		}
		w.running++
		run.runs, run.began = true, f.now
		j := f.jobs[run.job]
		f.began = append(f.began, float64(f.now-j.arrived)/second)
		f.after(wire, func() {
			f.step(run.member, Event{Kind: AttemptReported, Job: run.job, Attempt: run.attempt, Worker: run.worker,
				Note: NoteStarted})
		})
		f.after(Micros(j.work/w.speed), func() {
			if !run.gone {
				w.done++
				f.leave(run)
				f.after(wire, func() { f.end(run, OK) })
			}
		})
	}
}

// fleetResult is what came of a day.
type fleetResult struct {
	mean, p99 float64 // seconds to the start of an attempt
	early     float64 // share of jobs that were refused or failed
	spread    float64 // standard deviation of the workers' load, over its mean
	looked    float64 // workers looked at for a job
}

// add takes one of so many days into their mean.
func (r *fleetResult) add(day fleetResult, of float64) {
	r.mean, r.p99, r.early = r.mean+day.mean/of, r.p99+day.p99/of, r.early+day.early/of
	r.spread, r.looked = r.spread+day.spread/of, r.looked+day.looked/of
}

func (r fleetResult) String() string {
	return fmt.Sprintf(
		"to start %.4f s, 99%% %.3f s, not served %.4f, spread of load %.3f, looked at %.0f a job", r.mean,
		r.p99, r.early, r.spread, r.looked)
}

// fleetDay plays dispatchers that are given their list, workers with uneven speeds, and so many
// seconds of jobs that fill a part of all slots.
func fleetDay(t testing.TB, dispatchers, workers, zones int, load, uneven float64, walked int,
	seed int64) fleetResult {
	t.Helper()
	f := &fleetWorld{r: rand.New(rand.NewSource(seed)), now: 100 * second, workers: map[WorkerID]*hollow{},
		jobs: map[JobID]*hollowJob{}}
	list, capacity := make([]WorkerEntry, workers), 0.0
	for i := range list {
		id := WorkerID(f.r.Int31())
		list[i] = WorkerEntry{Worker: id, Status: Ready, Zone: i % zones, Kind: i / zones % 2, Cell: i / 8}
		w := &hollow{slots: 2 + 2*(i/zones%2), speed: math.Exp(f.r.NormFloat64() * uneven)}
		f.workers[id] = w
		capacity += float64(w.slots) * w.speed
	}
	for m := range dispatchers {
		s := testSettings()
		blind(&s)
		s.Dispatchers, s.Index, s.Zone, s.Tenants = dispatchers, m, m%zones, nil
		d, err := New(s, uint64(m))
		if err != nil {
			t.Fatal(err)
		}
		d.walked = walked
		f.members = append(f.members, d)
		f.step(m, Event{Kind: Started})
		f.step(m, Event{Kind: EndpointsUpdated, Scope: UpdateFull, Workers: list})
		for _, w := range d.order { // slots are known: what is compared is choice, not how soon these are learnt
			k, n := d.kind(w), f.workers[w.entry.Worker].slots
			k.top, k.tried, k.most = n+1, f.now, float64(n)
			k.fits[n].prompt, k.fits[n+1].late = 50, 50
		}
	}
	const mean = second
	length := Micros(min(8, 25_000/(capacity*load)) * second)
	next, total := JobID(0), 0
	var arrive func()
	arrive = func() {
		if f.now > 100*second+length {
			return
		}
		next++
		total++
		m := f.r.Intn(dispatchers)
		f.jobs[next] = &hollowJob{arrived: f.now, work: f.r.ExpFloat64() * mean}
		f.step(m, Event{Kind: JobArrived, Job: next, Class: 0, Slots: 1, Patience: 6 * second})
		f.after(Micros(f.r.ExpFloat64()*mean/(capacity*load)), arrive)
	}
	f.after(1, arrive)
	for len(f.due) > 0 && f.now < 100*second+length+10*second {
		e := heap.Pop(&f.due).(fleetEvent)
		f.now = e.at
		e.do()
	}
	slices.Sort(f.began)
	r := fleetResult{early: float64(f.early) / float64(total)}
	for _, s := range f.began {
		r.mean += s / float64(len(f.began))
	}
	r.p99 = f.began[len(f.began)*99/100]
	sum, square := 0.0, 0.0
	for _, w := range f.workers {
		share := w.busy / float64(w.slots)
		sum, square = sum+share, square+share*share
	}
	sum, square = sum/float64(workers), square/float64(workers)
	r.spread = math.Sqrt(square-sum*sum) / sum
	for _, d := range f.members {
		r.looked += float64(d.looked) / float64(total)
	}
	return r
}

const walkAll = 1 << 30

// BenchmarkChoice tells the quality of the index beside the full walk's; its time is of no matter.
func BenchmarkChoice(b *testing.B) {
	for _, size := range []struct {
		dispatchers, workers, zones int
		load, uneven                float64
	}{{30, 2400, 2, 0.6, 0}, {30, 2400, 2, 0.6, 0.5}, {30, 2400, 2, 0.9, 0.5}, {30, 2400, 14, 0.6, 0.5},
		{17, 7200, 2, 0.6, 0.5}, {17, 7200, 2, 0.9, 0.5}} {
		for _, way := range []string{"index", "walk"} {
			walked := smallPart
			if way == "walk" {
				walked = walkAll
			}
			b.Run(fmt.Sprintf("%d,%d,%d zones,load %v,uneven %v,%s", size.dispatchers, size.workers, size.zones,
				size.load, size.uneven, way), func(b *testing.B) {
				for range b.N {
					r := fleetDay(b, size.dispatchers, size.workers, size.zones, size.load, size.uneven, walked, 5)
					b.Log(r)
				}
			})
		}
	}
}

// The index is as good as the walk: jobs start as soon, and none is lost.
func TestIndexChoosesAsWellAsTheWalk(t *testing.T) {
	var walk, index fleetResult
	const seeds = 6 // one alone tells little
	for seed := range int64(seeds) {
		walk.add(fleetDay(t, 17, 400, 2, 0.7, 0.5, walkAll, seed), seeds)
		index.add(fleetDay(t, 17, 400, 2, 0.7, 0.5, smallPart, seed), seeds)
	}
	if index.mean > 1.15*walk.mean || index.early > walk.early+0.002 || index.spread > 1.1*walk.spread {
		t.Errorf("by the index: %v; by the walk: %v", index, walk)
	}
}

// The workers that are looked at for a job do not grow with the part.
func TestWorkersLookedAtDoNotGrow(t *testing.T) {
	looked := func(workers int) uint64 {
		b := member(t, 17, 0, fleetList(workers), 0, blind)
		if !b.d.large() {
			t.Fatalf("a part of %d is not large", len(b.d.part))
		}
		before := uint64(0)
		for i := range 120 {
			if i == 20 { // the index is made by then
				before = b.d.looked
			}
			b.serve(JobID(i), func(*worker) Micros { return second / 500 })
		}
		return (b.d.looked - before) / 100
	}
	small := looked(400)
	for _, workers := range []int{1600, 7200} {
		if n := looked(workers); n > small+small/4 {
			t.Errorf("%d workers are looked at for a job of %d, %d of 400", n, workers, small)
		}
	}
}

// walked is the walk of the whole part as it was before there was an index: what place must
// give for a small part, and tell of a large one whether there is any worker.
func (d *Dispatcher) walkedPlace(j *job) *worker {
	var near, far *worker
	nearCost, farCost := math.Inf(1), math.Inf(1)
	left := float64(j.aim - d.now)
	from := d.part
	if d.set.Classes[j.class].Effect == Keyed && len(j.attempts) > 0 {
		from = d.order
	}
	for _, w := range from {
		if !d.usable(w) {
			continue
		}
		taken, wait := d.taken(w), 0.0
		most := d.capacity(w)
		if over := taken + j.slots - most; over > 0 {
			if !d.growable(w) {
				continue
			}
			wait = d.slots.value * (1 + over/max(1, most))
		}
		if !d.fits(j, w) {
			continue
		}
		run, delay := j.work/d.speed(w), d.delay(w)
		earns := d.coldAt(w) != 0 && d.set.Classes[j.class].LateWeight > 0
		if !j.late && !earns && delay+d.grant(j)*run > left {
			continue
		}
		if w.fails > 0 {
			wait += float64(d.set.ConnectTimeout)
		}
		cost := wait + delay + run*(1+crowding*taken/max(1, most)+w.tilt) + d.stray(w)
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

// Whatever state the workers are in, the index gives one that will do whenever the walk finds
// any, and a small part gives the very worker that the walk gives.
func TestIndexFindsAWorkerWheneverTheWalkDoes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := testSettings()
		s.Dispatchers = rapid.SampledFrom([]int{2, 17}).Draw(t, "dispatchers")
		s.CrossZonePrice = rapid.SampledFrom([]float64{0, 0.05}).Draw(t, "price")
		s.Classes[1].DedupScope = DedupScope(rapid.IntRange(0, 2).Draw(t, "group"))
		s.Classes[2].Kind = rapid.IntRange(-1, 1).Draw(t, "kind")
		d, err := New(s, 1)
		if err != nil {
			t.Fatal(err)
		}
		now := Micros(100 * second)
		list := fleetList(rapid.IntRange(0, 160).Draw(t, "workers"))
		d.Step(now, &Event{Kind: EndpointsUpdated, Scope: UpdateFull, Workers: list}, nil)
		// Workers in a few states, most of them out of use.
		r := rand.New(rand.NewSource(rapid.Int64().Draw(t, "states")))
		out := rapid.SampledFrom([]float64{0, 0.5, 0.9, 0.99, 1}).Draw(t, "out of use")
		scramble := func() {
			for _, w := range d.order {
				w.blocked, w.downUntil, w.suspect, w.trial, w.unstarted, w.fails = 0, 0, false, 0, 0, 0
				w.used, w.errors, w.cold = float64(r.Intn(2)), 0, 0
				w.pace = pace{float64(r.Intn(20)) * second / 10, second}
				if r.Float64() >= out {
					continue
				}
				switch r.Intn(7) {
				case 0:
					w.blocked = now + second
				case 1:
					w.downUntil, w.fails = now+second, 1
				case 2:
					w.suspect, w.trial = true, now+second
				case 3:
					w.unstarted = 1
				case 4:
					w.used = 40
				case 5:
					w.cold, w.budgetAt, w.budget = now, now, 0
				case 6:
					w.pace = pace{1, 100 * second}
				}
			}
			for _, k := range d.kinds {
				k.tried = now // nothing is tried beyond what is known to fit
			}
		}
		for range 4 { // the index keeps what it knew of the states before
			scramble()
			j := &job{id: 7, class: r.Intn(3), aim: now + Micros(1+r.Intn(2*second)), giveUp: now + 8*second,
				work: second / 5, slots: float64(1 + r.Intn(2)), hinted: true, late: r.Intn(3) == 0}
			j.due = j.aim
			if len(d.order) > 0 && r.Intn(2) == 0 {
				j.attempts = append(j.attempts, &attempt{job: j, worker: d.order[r.Intn(len(d.order))], sent: now,
					ran: r.Intn(2) == 0})
			}
			d.now, d.best = now, 0
			d.turns++
			twin := d.Clone() // the walk uses up chance and budgets
			twin.now, twin.turns = now, d.turns
			of := *j
			of.attempts = nil
			for _, a := range j.attempts {
				copied := *a
				copied.job, copied.worker = &of, twin.workers[a.worker.entry.Worker]
				of.attempts = append(of.attempts, &copied)
			}
			want := twin.walkedPlace(&of)
			got := d.place(j)
			if (got == nil) != (want == nil) {
				t.Fatalf("%d workers: the index gives %v, the walk %v", len(d.part), got, want)
			}
			if got == nil {
				continue
			}
			if _, ok := d.cost(j, got, float64(j.aim-now)); !ok {
				t.Fatalf("worker %d will not do", got.entry.Worker)
			}
			if !d.large() && got.entry.Worker != want.entry.Worker {
				t.Fatalf("%d workers: worker %d, the walk gives %d", len(d.part), got.entry.Worker, want.entry.Worker)
			}
		}
	})
}

// large is a bench whose part is large, with the same slots known of all.
func large(t *testing.T, change func(*Settings)) *bench {
	t.Helper()
	s := testSettings()
	if change != nil {
		change(&s)
	}
	b := newBench(t, s, fleetList(200)...)
	for kind := range 2 {
		i := slices.IndexFunc(b.d.order, func(w *worker) bool { return w.entry.Kind == kind })
		b.slots(b.d.order[i].entry.Worker, 1)
	}
	if !b.d.large() {
		t.Fatal("the part is not large")
	}
	b.want(b.arrive(1000, 0), Send, 1) // the index is made
	return b
}

// only makes all workers but one useless, and passes a job.
func only(t *testing.T, b *bench, useless func(*worker), class int, free *worker) {
	t.Helper()
	for _, w := range b.d.order {
		if w != free {
			useless(w)
		}
	}
	sent := find(b.arrive(1, class), Send)
	switch {
	case free == nil && len(sent) > 0:
		t.Errorf("sent to %d", sent[0].Worker)
	case free != nil && (len(sent) != 1 || sent[0].Worker != free.entry.Worker):
		t.Errorf("sent as %v, and only %d will do", sent, free.entry.Worker)
	}
}

func TestIndexWhenHardlyAnyWorkerWillDo(t *testing.T) {
	later := Micros(200 * second)
	for name, useless := range map[string]func(*worker){
		"busy":      func(w *worker) { w.used = 1 },
		"beginning": func(w *worker) { w.unstarted = 1 },
		"set aside": func(w *worker) { w.downUntil, w.fails = later, 1 },
		"blocked":   func(w *worker) { w.blocked = later },
		"silent":    func(w *worker) { w.suspect, w.trial = true, later },
		"draining":  func(w *worker) { w.entry.Status = Draining },
		"cold":      func(w *worker) { w.cold, w.budgetAt, w.budget = 100*second, 100*second, -1e12 },
		"slow":      func(w *worker) { w.pace = pace{1, 1e12} }, // one alone still meets the aim
	} {
		t.Run(name, func(t *testing.T) {
			b := large(t, func(s *Settings) { s.Classes[0].LateWeight = 0 })
			only(t, b, useless, 0, b.d.order[137])
		})
		if name == "slow" {
			continue // a job whose aim is lost everywhere goes out late
		}
		t.Run(name+", all", func(t *testing.T) {
			b := large(t, func(s *Settings) { s.Classes[0].LateWeight = 0 })
			only(t, b, useless, 0, nil)
			w := b.d.order[55] // one that is of use again is found, whatever the index holds of it
			w.used, w.unstarted, w.downUntil, w.fails, w.blocked, w.suspect, w.cold = 0, 0, 0, 0, 0, false, 0
			w.entry.Status, w.pace = Ready, pace{}
			b.now += second / 100
			sent := find(b.arrive(2, 0), Send)
			if len(sent) == 0 || sent[0].Worker != w.entry.Worker {
				t.Errorf("sent as %v, and %d is of use again", sent, w.entry.Worker)
			}
		})
	}
}

func TestIndexWithAClassBoundToAKind(t *testing.T) {
	b := large(t, func(s *Settings) { s.Classes[2].Kind = 1 })
	i := slices.IndexFunc(b.d.order, func(w *worker) bool { return w.entry.Kind == 1 })
	only(t, b, func(w *worker) {
		if w.entry.Kind == 1 {
			w.used = 1
		}
	}, 2, b.d.order[i])
}

// A keyed job that may have run is repeated in its group, where only one worker is of use.
func TestIndexKeepsAKeyedRepeatInItsGroup(t *testing.T) {
	b := large(t, nil)
	first := b.d.workers[find(b.arrive(1, 1), Send)[0].Worker]
	var mates []*worker
	for _, w := range b.d.order {
		if w != first && w.entry.Cell == first.entry.Cell {
			mates = append(mates, w)
		}
	}
	for _, w := range mates[1:] {
		w.blocked = b.now + 10*second
	}
	before := b.d.looked
	sent := find(b.end(1, 0, Failed), Send)
	if len(sent) != 1 || sent[0].Worker != mates[0].entry.Worker {
		t.Errorf("repeated as %v, and only %d may", sent, mates[0].entry.Worker)
	}
	if n := b.d.looked - before; n > 16 {
		t.Errorf("%d workers were looked at for a group of 8", n)
	}
}

func TestIndexOfAPartThatEmptiesAndComesBack(t *testing.T) {
	b := large(t, nil)
	list := fleetList(200)
	b.do(Event{Kind: EndpointsUpdated, Scope: UpdateFull, Workers: nil})
	if sent := find(b.arrive(1, 0), Send); len(b.d.part) != 0 || len(sent) != 0 {
		t.Errorf("sent as %v, a part of %d", sent, len(b.d.part))
	}
	b.want(b.do(Event{Kind: EndpointsUpdated, Scope: UpdateDelta, Workers: list[7:8]}), Send, 1)
	b.now += second / 100
	b.do(Event{Kind: EndpointsUpdated, Scope: UpdateFull, Workers: list})
	sent := find(b.arrive(2, 0), Send)
	if len(sent) != 1 || sent[0].Worker == list[7].Worker {
		t.Errorf("sent as %v", sent)
	}
	for _, w := range b.d.part {
		if w.node.Queue() == nil {
			t.Fatalf("worker %d is in the part and not in the index", w.entry.Worker)
		}
	}
}

// When more than half of a large part looks ill, the evidence is not trusted.
func TestIndexOfAPartOfWhichMostLookIll(t *testing.T) {
	b := large(t, nil)
	for i, w := range b.d.order {
		if i%10 < 4 {
			w.suspect, w.trial = true, 300*second
			b.d.doubt(w)
		}
	}
	b.d.housekeep()
	if b.d.panicking || b.d.ill() != 80 {
		t.Errorf("%d of 200 look ill, and it panics: %v", b.d.ill(), b.d.panicking)
	}
	for _, w := range b.d.order {
		w.suspect, w.trial = true, 300*second
		b.d.doubt(w)
	}
	b.d.housekeep()
	if !b.d.panicking || b.d.ill() != 200 {
		t.Errorf("%d of 200 look ill, and it panics: %v", b.d.ill(), b.d.panicking)
	}
	b.now += second / 100
	b.want(b.arrive(1, 0), Send, 1)
	for _, w := range b.d.order {
		w.alive(b.now)
	}
	b.d.housekeep()
	if b.d.panicking || len(b.d.doubted) != 0 {
		t.Errorf("all are well, and %d are in doubt", len(b.d.doubted))
	}
}

// A worker that was never heard again is forgotten with the list, also among those that may be ill: a
// fleet that is renewed under new names would fill the books.
func TestTheIllThatAreGoneAreForgotten(t *testing.T) {
	b := newBench(t, testSettings(), ready(1, 0), ready(2, 0))
	w := b.d.workers[1]
	w.suspect = true
	b.d.doubt(w)
	if n := b.d.ill(); n != 1 {
		t.Fatalf("%d ill, want 1", n)
	}
	gone := ready(1, 0)
	gone.Status = Removed
	b.do(Event{Kind: EndpointsUpdated, Workers: []WorkerEntry{gone}})
	if n := b.d.ill(); n != 0 || len(b.d.doubted) != 1 {
		t.Errorf("gone: %d ill, %d doubted", n, len(b.d.doubted))
	}
	b.now += b.d.set.RemovedRetention()
	b.do(Event{Kind: EndpointsUpdated, Workers: []WorkerEntry{ready(2, 0)}})
	if n := b.d.ill(); n != 0 || len(b.d.doubted) != 0 {
		t.Errorf("forgotten: %d ill, %d doubted", n, len(b.d.doubted))
	}
}
