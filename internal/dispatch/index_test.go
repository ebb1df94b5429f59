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

// fleetSim measures the quality of placement: many dispatchers without gossip share workers that run
// what fits and queue the rest. It is compared with itself, once with the index and once with scans.
type fleetSim struct {
	r           *rand.Rand
	now         Micros
	seq         int
	events      simQueue
	dispatchers []*Dispatcher
	workers     map[WorkerID]*simWorker
	jobs        map[JobID]*simJob
	began       []float64 // seconds from arrival to start
	notServed   int       // refused or failed
}

type simWorker struct {
	slots, running, done int
	speed                float64
	queue                []*simRun
	busy                 float64 // seconds of its slots
}

type simRun struct {
	dispatcher int
	job        JobID
	attempt    int
	worker     WorkerID
	ended      bool // cancelled
	runs       bool
	began      Micros
}

type simJob struct {
	arrived Micros
	work    float64
	runs    []*simRun
}

type simEvent struct {
	at  Micros
	seq int
	do  func()
}

type simQueue []simEvent

func (q simQueue) Len() int { return len(q) }
func (q simQueue) Less(a, b int) bool {
	return q[a].at < q[b].at || q[a].at == q[b].at && q[a].seq < q[b].seq
}
func (q simQueue) Swap(a, b int) { q[a], q[b] = q[b], q[a] }
func (q *simQueue) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *simQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func (f *fleetSim) after(span Micros, do func()) {
	f.seq++
	heap.Push(&f.events, simEvent{f.now + span, f.seq, do})
}

const oneWayDelay = second / 1000 // one way

func (f *fleetSim) feed(m int, e Event) {
	for _, a := range f.dispatchers[m].Step(f.now, &e, nil) {
		switch a.Kind {
		case Send:
			run := &simRun{dispatcher: m, job: a.Job, attempt: a.Attempt, worker: a.Worker}
			f.jobs[a.Job].runs = append(f.jobs[a.Job].runs, run)
			f.after(oneWayDelay, func() {
				w := f.workers[run.worker]
				w.queue = append(w.queue, run)
				f.serve(w)
			})
		case Cancel:
			run := f.jobs[a.Job].runs[a.Attempt]
			f.after(oneWayDelay, func() {
				if !run.ended {
					f.endRun(run)
					f.after(oneWayDelay, func() { f.end(run, Cancelled) })
				}
			})
		case Refuse, Fail:
			f.notServed++
		case SetTimer:
			f.after(a.Delay, func() { f.feed(m, Event{Kind: TimerFired, Token: a.Token}) })
		}
	}
}

func (f *fleetSim) end(run *simRun, o Outcome) {
	f.feed(run.dispatcher, Event{Kind: AttemptEnded, Job: run.job, Attempt: run.attempt, Worker: run.worker,
		Outcome: o, Final: o == OK})
}

func (f *fleetSim) endRun(run *simRun) {
	w := f.workers[run.worker]
	run.ended = true
	if run.runs {
		w.running--
		w.busy += float64(f.now-run.began) / second
	}
	f.serve(w)
}

func (f *fleetSim) serve(w *simWorker) {
	for len(w.queue) > 0 && w.running < w.slots {
		run := w.queue[0]
		if w.queue = w.queue[1:]; run.ended {
			continue
		}
		w.running++
		run.runs, run.began = true, f.now
		j := f.jobs[run.job]
		f.began = append(f.began, float64(f.now-j.arrived)/second)
		f.after(oneWayDelay, func() {
			f.feed(run.dispatcher, Event{Kind: AttemptReported, Job: run.job, Attempt: run.attempt, Worker: run.worker,
				Note: NoteStarted})
		})
		f.after(Micros(j.work/w.speed), func() {
			if !run.ended {
				w.done++
				f.endRun(run)
				f.after(oneWayDelay, func() { f.end(run, OK) })
			}
		})
	}
}

// fleetResult is the result of a simulation.
type fleetResult struct {
	mean, p99 float64 // seconds to the start of an attempt
	notServed float64 // fraction of jobs that were refused or failed
	spread    float64 // standard deviation of the workers' load, over its mean
	examined  float64 // workers examined for a job
}

// add takes one of so many simulations into their mean.
func (r *fleetResult) add(result fleetResult, simulations float64) {
	r.mean, r.p99, r.notServed = r.mean+result.mean/simulations, r.p99+result.p99/simulations,
		r.notServed+result.notServed/simulations
	r.spread, r.examined = r.spread+result.spread/simulations, r.examined+result.examined/simulations
}

func (r fleetResult) String() string {
	return fmt.Sprintf(
		"to start %.4f s, 99%% %.3f s, not served %.4f, spread of load %.3f, %.0f workers examined for a job",
		r.mean, r.p99, r.notServed, r.spread, r.examined)
}

// simulateFleet runs dispatchers that are given their list, workers with uneven speeds, and some
// seconds of jobs that fill a part of all slots.
func simulateFleet(t testing.TB, dispatchers, workers, zones int, load, uneven float64, scanLimit int,
	seed int64) fleetResult {
	t.Helper()
	f := &fleetSim{r: rand.New(rand.NewSource(seed)), now: 100 * second, workers: map[WorkerID]*simWorker{},
		jobs: map[JobID]*simJob{}}
	list, capacity := make([]WorkerEntry, workers), 0.0
	for i := range list {
		id := WorkerID(f.r.Int31())
		list[i] = WorkerEntry{Worker: id, Status: Ready, Zone: i % zones, Kind: i / zones % 2, Cell: i / 8}
		w := &simWorker{slots: 2 + 2*(i/zones%2), speed: math.Exp(f.r.NormFloat64() * uneven)}
		f.workers[id] = w
		capacity += float64(w.slots) * w.speed
	}
	for m := range dispatchers {
		s := testSettings()
		largeFleetWithoutGossipSettings(&s)
		s.Dispatchers, s.Index, s.Zone, s.Tenants = dispatchers, m, m%zones, nil
		d, err := New(s, uint64(m))
		if err != nil {
			t.Fatal(err)
		}
		d.scanLimit = scanLimit
		f.dispatchers = append(f.dispatchers, d)
		f.feed(m, Event{Kind: Started})
		f.feed(m, Event{Kind: EndpointsUpdated, Scope: UpdateFull, Workers: list})
		for _, w := range d.ordered { // slots are known: placement is compared, not how soon they are learnt
			k, n := d.kindOf(w), f.workers[w.entry.Worker].slots
			k.maxSlotsTried, k.capacityProbedAt, k.maxBusySlots = n+1, f.now, float64(n)
			k.startCountsBySlots[n].prompt, k.startCountsBySlots[n+1].delayed = 50, 50
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
		f.jobs[next] = &simJob{arrived: f.now, work: f.r.ExpFloat64() * mean}
		f.feed(m, Event{Kind: JobArrived, Job: next, Class: 0, Slots: 1, ClientTimeout: 6 * second})
		f.after(Micros(f.r.ExpFloat64()*mean/(capacity*load)), arrive)
	}
	f.after(1, arrive)
	for len(f.events) > 0 && f.now < 100*second+length+10*second {
		e := heap.Pop(&f.events).(simEvent)
		f.now = e.at
		e.do()
	}
	slices.Sort(f.began)
	r := fleetResult{notServed: float64(f.notServed) / float64(total)}
	for _, s := range f.began {
		r.mean += s / float64(len(f.began))
	}
	r.p99 = f.began[len(f.began)*99/100]
	sum, square := 0.0, 0.0
	for _, w := range f.workers {
		utilization := w.busy / float64(w.slots)
		sum, square = sum+utilization, square+utilization*utilization
	}
	sum, square = sum/float64(workers), square/float64(workers)
	r.spread = math.Sqrt(square-sum*sum) / sum
	for _, d := range f.dispatchers {
		r.examined += float64(d.workersExamined) / float64(total)
	}
	return r
}

const scanAll = 1 << 30

// BenchmarkChoice reports the quality of the index beside that of full scans; its time does not matter.
func BenchmarkChoice(b *testing.B) {
	for _, size := range []struct {
		dispatchers, workers, zones int
		load, uneven                float64
	}{{30, 2400, 2, 0.6, 0}, {30, 2400, 2, 0.6, 0.5}, {30, 2400, 2, 0.9, 0.5}, {30, 2400, 14, 0.6, 0.5},
		{17, 7200, 2, 0.6, 0.5}, {17, 7200, 2, 0.9, 0.5}} {
		for _, way := range []string{"index", "scan"} {
			scanLimit := maxScannedSubset
			if way == "scan" {
				scanLimit = scanAll
			}
			b.Run(fmt.Sprintf("%d,%d,%d zones,load %v,uneven %v,%s", size.dispatchers, size.workers, size.zones,
				size.load, size.uneven, way), func(b *testing.B) {
				for range b.N {
					r := simulateFleet(b, size.dispatchers, size.workers, size.zones, size.load, size.uneven, scanLimit, 5)
					b.Log(r)
				}
			})
		}
	}
}

// The index is as good as the scan: jobs start as soon, and all are served.
func TestIndexChoosesAsWellAsTheScan(t *testing.T) {
	var scanned, index fleetResult
	const seeds = 6 // one alone shows little
	for seed := range int64(seeds) {
		scanned.add(simulateFleet(t, 17, 400, 2, 0.7, 0.5, scanAll, seed), seeds)
		index.add(simulateFleet(t, 17, 400, 2, 0.7, 0.5, maxScannedSubset, seed), seeds)
	}
	if index.mean > 1.15*scanned.mean || index.notServed > scanned.notServed+0.002 ||
		index.spread > 1.1*scanned.spread {
		t.Errorf("by the index: %v; by the scan: %v", index, scanned)
	}
}

// The number of workers that are examined for a job does not grow with the subset.
func TestWorkersExaminedDoNotGrow(t *testing.T) {
	examined := func(workers int) uint64 {
		b := startDispatcher(t, 17, 0, testFleet(workers), 0, largeFleetWithoutGossipSettings)
		if !b.d.largeSubset() {
			t.Fatalf("a subset of %d is not large", len(b.d.subset))
		}
		before := uint64(0)
		for i := range 120 {
			if i == 20 { // the index is made by then
				before = b.d.workersExamined
			}
			b.serve(JobID(i), func(*worker) Micros { return second / 500 })
		}
		return (b.d.workersExamined - before) / 100
	}
	small := examined(400)
	for _, workers := range []int{1600, 7200} {
		if n := examined(workers); n > small+small/4 {
			t.Errorf("%d workers are examined for a job of %d, %d of 400", n, workers, small)
		}
	}
}

// scanWorkers is the scan of the whole subset as it was before there was an index: selectWorker must
// give the same worker for a small subset, and any worker for a large one whenever the scan finds one.
func (d *Dispatcher) scanWorkers(j *job) *worker {
	var near, far *worker
	nearCost, farCost := math.Inf(1), math.Inf(1)
	remaining := float64(j.objective - d.now)
	from := d.subset
	if d.settings.Classes[j.class].Effect == Keyed && len(j.attempts) > 0 {
		from = d.ordered
	}
	for _, w := range from {
		if !d.usable(w) {
			continue
		}
		taken, wait := d.slotsInUse(w), 0.0
		limit := d.capacity(w)
		if over := taken + j.slots - limit; over > 0 {
			if !d.mayProbe(w) {
				continue
			}
			wait = d.slotTimes.value * (1 + over/max(1, limit))
		}
		if !d.eligible(j, w) {
			continue
		}
		run, delay := j.work/d.speed(w), d.expectedWait(w)
		earns := d.slowStartSince(w) != 0 && d.settings.Classes[j.class].LateWeight > 0
		if !j.late && !earns && delay+d.requiredRunFraction(j)*run > remaining {
			continue
		}
		if w.consecutiveFailures > 0 {
			wait += float64(d.settings.ConnectTimeout)
		}
		cost := wait + delay + run*(1+fullLoadCostRuns*taken/max(1, limit)+w.placementBias) + d.choiceJitter(w)
		if d.settings.CrossZonePrice == 0 || w.entry.Zone == d.settings.Zone {
			if cost < nearCost {
				near, nearCost = w, cost
			}
		} else if cost < farCost {
			far, farCost = w, cost
		}
	}
	if far == nil || near != nil && nearCost <= d.crossZoneCost(farCost, remaining) {
		return near
	}
	if near == nil && !d.crossZoneJustified(j) {
		return nil
	}
	return far
}

// Whatever state the workers are in, the index gives one that will do whenever the scan finds
// any, and a small subset gives the very worker that the scan gives.
func TestIndexFindsAWorkerWheneverTheScanDoes(t *testing.T) {
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
		list := testFleet(rapid.IntRange(0, 160).Draw(t, "workers"))
		d.Step(now, &Event{Kind: EndpointsUpdated, Scope: UpdateFull, Workers: list}, nil)
		// Workers in a few states, most of them out of use.
		r := rand.New(rand.NewSource(rapid.Int64().Draw(t, "states")))
		out := rapid.SampledFrom([]float64{0, 0.5, 0.9, 0.99, 1}).Draw(t, "out of use")
		scramble := func() {
			for _, w := range d.ordered {
				w.blockedUntil, w.ejectedUntil, w.consecutiveFailures = 0, 0, 0
				w.suspect, w.suspectRetryAt, w.unstartedAttempts = false, 0, 0
				w.ownSlots, w.errorRate, w.inferredStart = float64(r.Intn(2)), 0, 0
				w.speed = speedEstimate{float64(r.Intn(20)) * second / 10, second}
				if r.Float64() >= out {
					continue
				}
				switch r.Intn(7) {
				case 0:
					w.blockedUntil = now + second
				case 1:
					w.ejectedUntil, w.consecutiveFailures = now+second, 1
				case 2:
					w.suspect, w.suspectRetryAt = true, now+second
				case 3:
					w.unstartedAttempts = 1
				case 4:
					w.ownSlots = 40
				case 5:
					w.inferredStart, w.slowStartBudgetAt, w.slowStartBudget = now, now, 0
				case 6:
					w.speed = speedEstimate{1, 100 * second}
				}
			}
			for _, k := range d.kinds {
				k.capacityProbedAt = now // nothing is tried past what is known to fit
			}
		}
		for range 4 { // the index keeps what it knew of the earlier states
			scramble()
			j := &job{id: 7, class: r.Intn(3), objective: now + Micros(1+r.Intn(2*second)), deadline: now + 8*second,
				work: second / 5, slots: float64(1 + r.Intn(2)), hinted: true, late: r.Intn(3) == 0}
			j.latestStart = j.objective
			if len(d.ordered) > 0 && r.Intn(2) == 0 {
				j.attempts = append(j.attempts, &attempt{job: j, worker: d.ordered[r.Intn(len(d.ordered))], sentAt: now,
					mayHaveRun: r.Intn(2) == 0})
			}
			d.now, d.cachedBestSpeed = now, 0
			d.eventCount++
			twin := d.Clone() // the scan draws random numbers and uses up budgets
			twin.now, twin.eventCount = now, d.eventCount
			of := *j
			of.attempts = nil
			for _, a := range j.attempts {
				copied := *a
				copied.job, copied.worker = &of, twin.workers[a.worker.entry.Worker]
				of.attempts = append(of.attempts, &copied)
			}
			want := twin.scanWorkers(&of)
			got := d.selectWorker(j)
			if (got == nil) != (want == nil) {
				t.Fatalf("%d workers: the index gives %v, the scan %v", len(d.subset), got, want)
			}
			if got == nil {
				continue
			}
			if _, ok := d.placementCost(j, got, float64(j.objective-now)); !ok {
				t.Fatalf("worker %d will not do", got.entry.Worker)
			}
			if !d.largeSubset() && got.entry.Worker != want.entry.Worker {
				t.Fatalf("%d workers: worker %d, the scan gives %d", len(d.subset), got.entry.Worker, want.entry.Worker)
			}
		}
	})
}

// newLargeHarness is a harness whose subset is large, with the same slots known of all.
func newLargeHarness(t *testing.T, change func(*Settings)) *harness {
	t.Helper()
	s := testSettings()
	if change != nil {
		change(&s)
	}
	b := newHarness(t, s, testFleet(200)...)
	for kind := range 2 {
		i := slices.IndexFunc(b.d.ordered, func(w *worker) bool { return w.entry.Kind == kind })
		b.setSlots(b.d.ordered[i].entry.Worker, 1)
	}
	if !b.d.largeSubset() {
		t.Fatal("the subset is not large")
	}
	b.want(b.arrive(1000, 0), Send, 1) // the index is made
	return b
}

// checkOnlyChoice makes all workers but one unusable, and passes a job.
func checkOnlyChoice(t *testing.T, b *harness, useless func(*worker), class int, free *worker) {
	t.Helper()
	for _, w := range b.d.ordered {
		if w != free {
			useless(w)
		}
	}
	sent := actionsOfKind(b.arrive(1, class), Send)
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
		"busy":      func(w *worker) { w.ownSlots = 1 },
		"beginning": func(w *worker) { w.unstartedAttempts = 1 },
		"ejected":   func(w *worker) { w.ejectedUntil, w.consecutiveFailures = later, 1 },
		"blocked":   func(w *worker) { w.blockedUntil = later },
		"silent":    func(w *worker) { w.suspect, w.suspectRetryAt = true, later },
		"draining":  func(w *worker) { w.entry.Status = Draining },
		"in slow start": func(w *worker) {
			w.inferredStart, w.slowStartBudgetAt, w.slowStartBudget = 100*second, 100*second, -1e12
		},
		"slow": func(w *worker) { w.speed = speedEstimate{1, 1e12} }, // one alone still meets the objective
	} {
		t.Run(name, func(t *testing.T) {
			b := newLargeHarness(t, func(s *Settings) { s.Classes[0].LateWeight = 0 })
			checkOnlyChoice(t, b, useless, 0, b.d.ordered[137])
		})
		if name == "slow" {
			continue // a job that cannot meet its objective anywhere is sent late
		}
		t.Run(name+", all", func(t *testing.T) {
			b := newLargeHarness(t, func(s *Settings) { s.Classes[0].LateWeight = 0 })
			checkOnlyChoice(t, b, useless, 0, nil)
			w := b.d.ordered[55] // one that is usable again is found, whatever the index has of it
			w.ownSlots, w.unstartedAttempts, w.ejectedUntil, w.consecutiveFailures = 0, 0, 0, 0
			w.blockedUntil, w.suspect, w.inferredStart = 0, false, 0
			w.entry.Status, w.speed = Ready, speedEstimate{}
			b.now += second / 100
			sent := actionsOfKind(b.arrive(2, 0), Send)
			if len(sent) == 0 || sent[0].Worker != w.entry.Worker {
				t.Errorf("sent as %v, and %d is usable again", sent, w.entry.Worker)
			}
		})
	}
}

func TestIndexWithAClassBoundToAKind(t *testing.T) {
	b := newLargeHarness(t, func(s *Settings) { s.Classes[2].Kind = 1 })
	i := slices.IndexFunc(b.d.ordered, func(w *worker) bool { return w.entry.Kind == 1 })
	checkOnlyChoice(t, b, func(w *worker) {
		if w.entry.Kind == 1 {
			w.ownSlots = 1
		}
	}, 2, b.d.ordered[i])
}

// A keyed job that may have run is repeated in its group, where only one worker is usable.
func TestIndexKeepsAKeyedRepeatInItsGroup(t *testing.T) {
	b := newLargeHarness(t, nil)
	first := b.d.workers[actionsOfKind(b.arrive(1, 1), Send)[0].Worker]
	var sameCell []*worker
	for _, w := range b.d.ordered {
		if w != first && w.entry.Cell == first.entry.Cell {
			sameCell = append(sameCell, w)
		}
	}
	for _, w := range sameCell[1:] {
		w.blockedUntil = b.now + 10*second
	}
	before := b.d.workersExamined
	sent := actionsOfKind(b.end(1, 0, Failed), Send)
	if len(sent) != 1 || sent[0].Worker != sameCell[0].entry.Worker {
		t.Errorf("repeated as %v, and only %d may", sent, sameCell[0].entry.Worker)
	}
	if n := b.d.workersExamined - before; n > 16 {
		t.Errorf("%d workers were examined for a group of 8", n)
	}
}

func TestIndexOfASubsetThatEmptiesAndComesBack(t *testing.T) {
	b := newLargeHarness(t, nil)
	list := testFleet(200)
	b.feed(Event{Kind: EndpointsUpdated, Scope: UpdateFull, Workers: nil})
	if sent := actionsOfKind(b.arrive(1, 0), Send); len(b.d.subset) != 0 || len(sent) != 0 {
		t.Errorf("sent as %v, a subset of %d", sent, len(b.d.subset))
	}
	b.want(b.feed(Event{Kind: EndpointsUpdated, Scope: UpdateDelta, Workers: list[7:8]}), Send, 1)
	b.now += second / 100
	b.feed(Event{Kind: EndpointsUpdated, Scope: UpdateFull, Workers: list})
	sent := actionsOfKind(b.arrive(2, 0), Send)
	if len(sent) != 1 || sent[0].Worker == list[7].Worker {
		t.Errorf("sent as %v", sent)
	}
	for _, w := range b.d.subset {
		if w.indexNode.Queue() == nil {
			t.Fatalf("worker %d is in the subset and not in the index", w.entry.Worker)
		}
	}
}

// When more than half of a large subset are outliers, the evidence is not trusted.
func TestIndexOfASubsetOfOutliers(t *testing.T) {
	b := newLargeHarness(t, nil)
	for i, w := range b.d.ordered {
		if i%10 < 4 {
			w.suspect, w.suspectRetryAt = true, 300*second
			b.d.markSuspect(w)
		}
	}
	b.d.inspect()
	if b.d.panicMode || b.d.countOutliers() != 80 {
		t.Errorf("%d of 200 are outliers, panic mode %v", b.d.countOutliers(), b.d.panicMode)
	}
	for _, w := range b.d.ordered {
		w.suspect, w.suspectRetryAt = true, 300*second
		b.d.markSuspect(w)
	}
	b.d.inspect()
	if !b.d.panicMode || b.d.countOutliers() != 200 {
		t.Errorf("%d of 200 are outliers, panic mode %v", b.d.countOutliers(), b.d.panicMode)
	}
	b.now += second / 100
	b.want(b.arrive(1, 0), Send, 1)
	for _, w := range b.d.ordered {
		w.markAlive(b.now)
	}
	b.d.inspect()
	if b.d.panicMode || len(b.d.suspects) != 0 {
		t.Errorf("all are well, and %d are suspects", len(b.d.suspects))
	}
}

// A worker that never answered again is forgotten with the list, also among the suspects: a fleet that
// is renewed under new names would fill the memory.
func TestRemovedOutliersAreForgotten(t *testing.T) {
	b := newHarness(t, testSettings(), ready(1, 0), ready(2, 0))
	w := b.d.workers[1]
	w.suspect = true
	b.d.markSuspect(w)
	if n := b.d.countOutliers(); n != 1 {
		t.Fatalf("%d outliers, want 1", n)
	}
	removed := ready(1, 0)
	removed.Status = Removed
	b.feed(Event{Kind: EndpointsUpdated, Workers: []WorkerEntry{removed}})
	if n := b.d.countOutliers(); n != 0 || len(b.d.suspects) != 1 {
		t.Errorf("removed: %d outliers, %d suspects", n, len(b.d.suspects))
	}
	b.now += b.d.settings.RemovedRetention()
	b.feed(Event{Kind: EndpointsUpdated, Workers: []WorkerEntry{ready(2, 0)}})
	if n := b.d.countOutliers(); n != 0 || len(b.d.suspects) != 0 {
		t.Errorf("forgotten: %d outliers, %d suspects", n, len(b.d.suspects))
	}
}
