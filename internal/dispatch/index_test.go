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

// fleetSim is a discrete-event simulation that measures the quality of placement. Many dispatchers without
// gossip share workers, and each worker queues the attempts for which it has no free slot. Tests compare the
// result with the placement index to the result with full scans.
type fleetSim struct {
	r           *rand.Rand
	now         Micros
	seq         int // number of events scheduled so far, which orders events of the same time
	events      simQueue
	dispatchers []*Dispatcher
	workers     map[WorkerID]*simWorker
	jobs        map[JobID]*simJob
	began       []float64 // for each start of an attempt: seconds since the arrival of the job
	notServed   int       // number of jobs refused or failed
}

// simWorker is a simulated worker.
type simWorker struct {
	slots, running, done int // number of slots, of running attempts and of completed attempts
	speed                float64
	queue                []*simRun
	busy                 float64 // slot-seconds that attempts have used so far
}

// simRun is an attempt at a simulated worker.
type simRun struct {
	dispatcher int
	job        JobID
	attempt    int
	worker     WorkerID
	ended      bool // the attempt has completed or was cancelled
	started    bool
	began      Micros // time at which the attempt started
}

// simJob is a simulated job.
type simJob struct {
	arrived Micros
	work    float64
	runs    []*simRun // attempts, by number
}

// simEvent is a function that the simulation calls at a given time.
type simEvent struct {
	at  Micros
	seq int
	do  func()
}

// simQueue is a heap of events, ordered by time and then by sequence number.
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

// after schedules a call of the function do after the given span of simulated time.
func (f *fleetSim) after(span Micros, do func()) {
	f.seq++
	heap.Push(&f.events, simEvent{f.now + span, f.seq, do})
}

const oneWayDelay = second / 1000 // network delay between a dispatcher and a worker

// feed passes an event to dispatcher m and carries out the resulting actions.
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

// end passes the end of an attempt to the dispatcher that sent the attempt.
func (f *fleetSim) end(run *simRun, o Outcome) {
	f.feed(run.dispatcher, Event{Kind: AttemptEnded, Job: run.job, Attempt: run.attempt, Worker: run.worker,
		Outcome: o, Final: o == OK})
}

// endRun frees the slot of an attempt that completes or is cancelled, and starts the next attempt in the
// worker's queue.
func (f *fleetSim) endRun(run *simRun) {
	w := f.workers[run.worker]
	run.ended = true
	if run.started {
		w.running--
		w.busy += float64(f.now-run.began) / second
	}
	f.serve(w)
}

// serve starts queued attempts of a worker while it has free slots.
func (f *fleetSim) serve(w *simWorker) {
	for len(w.queue) > 0 && w.running < w.slots {
		run := w.queue[0]
		if w.queue = w.queue[1:]; run.ended {
			continue
		}
		w.running++
		run.started, run.began = true, f.now
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
	mean, p99 float64 // seconds from the arrival of a job to the start of an attempt
	notServed float64 // fraction of the jobs that were refused or failed
	spread    float64 // standard deviation of the workers' utilization, divided by the mean utilization
	examined  float64 // mean number of workers examined for a job
}

// add adds the result of one simulation to the mean over the given number of simulations.
func (r *fleetResult) add(result fleetResult, simulations float64) {
	r.mean, r.p99, r.notServed = r.mean+result.mean/simulations, r.p99+result.p99/simulations,
		r.notServed+result.notServed/simulations
	r.spread, r.examined = r.spread+result.spread/simulations, r.examined+result.examined/simulations
}

func (r fleetResult) String() string {
	return fmt.Sprintf(
		"wait to start: mean %.4f s, 99%% up to %.3f s; not served %.4f, load spread %.3f, workers examined %.0f",
		r.mean, r.p99, r.notServed, r.spread, r.examined)
}

// simulateFleet simulates dispatchers and workers for up to 8 s of arrivals. The load is a fraction of the
// fleet's capacity, speedSigma the standard deviation of the logarithm of the workers' speeds, and scanLimit
// the largest subset that a dispatcher scans instead of using its index.
func simulateFleet(t testing.TB, dispatchers, workers, zones int, load, speedSigma float64, scanLimit int,
	seed int64) fleetResult {
	t.Helper()
	f := &fleetSim{r: rand.New(rand.NewSource(seed)), now: 100 * second, workers: map[WorkerID]*simWorker{},
		jobs: map[JobID]*simJob{}}
	list, capacity := make([]WorkerEntry, workers), 0.0
	for i := range list {
		id := WorkerID(f.r.Int31())
		list[i] = WorkerEntry{Worker: id, Status: Ready, Zone: i % zones, Kind: i / zones % 2, Cell: i / 8}
		w := &simWorker{slots: 2 + 2*(i/zones%2), speed: math.Exp(f.r.NormFloat64() * speedSigma)}
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
		// The dispatchers know the number of slots of each worker in advance, as the tests compare methods of
		// placement and not what dispatchers learn.
		for _, w := range d.ordered {
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

const unlimitedScan = 1 << 30 // a scan limit, in workers, above the size of any subset

// BenchmarkChoice logs the quality of placement with the index and with full scans. The time that the
// benchmark reports has no meaning.
func BenchmarkChoice(b *testing.B) {
	for _, size := range []struct {
		dispatchers, workers, zones int
		load, speedSigma            float64
	}{{30, 2400, 2, 0.6, 0}, {30, 2400, 2, 0.6, 0.5}, {30, 2400, 2, 0.9, 0.5}, {30, 2400, 14, 0.6, 0.5},
		{17, 7200, 2, 0.6, 0.5}, {17, 7200, 2, 0.9, 0.5}} {
		for _, method := range []string{"index", "scan"} {
			scanLimit := maxScannedSubset
			if method == "scan" {
				scanLimit = unlimitedScan
			}
			b.Run(fmt.Sprintf("%d,%d,%d zones,load %v,uneven %v,%s", size.dispatchers, size.workers, size.zones,
				size.load, size.speedSigma, method), func(b *testing.B) {
				for range b.N {
					r := simulateFleet(b, size.dispatchers, size.workers, size.zones, size.load, size.speedSigma,
						scanLimit, 5)
					b.Log(r)
				}
			})
		}
	}
}

// When the dispatchers choose workers by the placement index, jobs start about as soon as with full scans,
// are served as often, and spread over the workers about as evenly.
func TestIndexChoosesAsWellAsTheScan(t *testing.T) {
	var scanned, index fleetResult
	const seeds = 6 // the result of a single seed varies too much
	for seed := range int64(seeds) {
		scanned.add(simulateFleet(t, 17, 400, 2, 0.7, 0.5, unlimitedScan, seed), seeds)
		index.add(simulateFleet(t, 17, 400, 2, 0.7, 0.5, maxScannedSubset, seed), seeds)
	}
	if index.mean > 1.15*scanned.mean || index.notServed > scanned.notServed+0.002 ||
		index.spread > 1.1*scanned.spread {
		t.Errorf("got by the placement index: %v; by full scans: %v; want about equal results", index, scanned)
	}
}

// The number of workers that are examined for a job does not grow with the subset.
func TestWorkersExaminedDoNotGrow(t *testing.T) {
	examined := func(workers int) uint64 {
		b := startDispatcher(t, 17, 0, testFleet(workers), 0, largeFleetWithoutGossipSettings)
		if !b.d.largeSubset() {
			t.Fatalf("got a subset of %d workers, which is scanned, want one large enough for the placement index",
				len(b.d.subset))
		}
		before := uint64(0)
		for i := range 120 {
			if i == 20 { // after 20 jobs the dispatcher has built the index
				before = b.d.workersExamined
			}
			b.serve(JobID(i), func(*worker) Micros { return second / 500 })
		}
		return (b.d.workersExamined - before) / 100
	}
	small := examined(400)
	for _, workers := range []int{1600, 7200} {
		if n := examined(workers); n > small+small/4 {
			t.Errorf("got %d workers examined per job in a fleet of %d, %d in a fleet of 400, want at most 1/4 more",
				n, workers, small)
		}
	}
}

// scanWorkers is the reference for selectWorker: scanWorkers scans the whole subset without an index. For a
// small subset selectWorker must choose the same worker. For a large subset selectWorker must find some
// worker whenever scanWorkers finds one.
func (d *Dispatcher) scanWorkers(j *job) *worker {
	var local, remote *worker
	localCost, remoteCost := math.Inf(1), math.Inf(1)
	remaining := float64(j.objective - d.now)
	candidates := d.subset
	if d.settings.Classes[j.class].Effect == Keyed && len(j.attempts) > 0 {
		candidates = d.ordered
	}
	for _, w := range candidates {
		if !d.usable(w) {
			continue
		}
		inUse, wait := d.slotsInUse(w), 0.0
		limit := d.capacity(w)
		if excess := inUse + j.slots - limit; excess > 0 {
			if !d.mayProbe(w) {
				continue
			}
			wait = d.slotTimes.value * (1 + excess/max(1, limit))
		}
		if !d.eligible(j, w) {
			continue
		}
		run, delay := j.work/d.speed(w), d.expectedWait(w)
		earnsLate := d.slowStartSince(w) != 0 && d.settings.Classes[j.class].LateWeight > 0
		if !j.late && !earnsLate && delay+d.requiredRunFraction(j)*run > remaining {
			continue
		}
		if w.consecutiveFailures > 0 {
			wait += float64(d.settings.ConnectTimeout)
		}
		cost := wait + delay + run*(1+fullLoadCostRuns*inUse/max(1, limit)+w.placementBias) + d.choiceJitter(w)
		if d.settings.CrossZonePrice == 0 || w.entry.Zone == d.settings.Zone {
			if cost < localCost {
				local, localCost = w, cost
			}
		} else if cost < remoteCost {
			remote, remoteCost = w, cost
		}
	}
	if remote == nil || local != nil && localCost <= d.crossZoneCost(remoteCost, remaining) {
		return local
	}
	if local == nil && !d.crossZoneJustified(j) {
		return nil
	}
	return remote
}

// In any state of the workers, the placement index gives an eligible worker whenever the scan of the whole
// subset finds one. In a small subset the dispatcher chooses the same worker as the scan.
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
		// The workers are in random states, and a random fraction of them is unusable.
		r := rand.New(rand.NewSource(rapid.Int64().Draw(t, "states")))
		unusableFraction := rapid.SampledFrom([]float64{0, 0.5, 0.9, 0.99, 1}).Draw(t, "unusable fraction")
		randomizeStates := func() {
			for _, w := range d.ordered {
				w.blockedUntil, w.ejectedUntil, w.consecutiveFailures = 0, 0, 0
				w.suspect, w.suspectRetryAt, w.unstartedAttempts = false, 0, 0
				w.ownSlots, w.errorRate, w.inferredStart = float64(r.Intn(2)), 0, 0
				w.speed = speedEstimate{float64(r.Intn(20)) * second / 10, second}
				if r.Float64() >= unusableFraction {
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
				k.capacityProbedAt = now // prevents probes, that is, jobs beyond a worker's known capacity
			}
		}
		for range 4 { // from the second round on, the index has keys of the workers' earlier states
			randomizeStates()
			j := &job{id: 7, class: r.Intn(3), objective: now + Micros(1+r.Intn(2*second)), deadline: now + 8*second,
				work: second / 5, slots: float64(1 + r.Intn(2)), hinted: true, late: r.Intn(3) == 0}
			j.latestStart = j.objective
			if len(d.ordered) > 0 && r.Intn(2) == 0 {
				j.attempts = append(j.attempts, &attempt{job: j, worker: d.ordered[r.Intn(len(d.ordered))], sentAt: now,
					mayHaveRun: r.Intn(2) == 0})
			}
			d.now, d.cachedBestSpeed = now, 0
			d.eventCount++
			twin := d.Clone() // for the scan, which draws random numbers and changes slow-start budgets
			twin.now, twin.eventCount = now, d.eventCount
			jobCopy := *j
			jobCopy.attempts = nil
			for _, a := range j.attempts {
				attemptCopy := *a
				attemptCopy.job, attemptCopy.worker = &jobCopy, twin.workers[a.worker.entry.Worker]
				jobCopy.attempts = append(jobCopy.attempts, &attemptCopy)
			}
			want := twin.scanWorkers(&jobCopy)
			got := d.selectWorker(j)
			if (got == nil) != (want == nil) {
				t.Fatalf("subset of %d workers: got %v by the index and %v by the scan, want both nil or both a worker",
					len(d.subset), got, want)
			}
			if got == nil {
				continue
			}
			if _, ok := d.placementCost(j, got, float64(j.objective-now)); !ok {
				t.Fatalf("got worker %d from the index, which is not eligible, want an eligible one", got.entry.Worker)
			}
			if !d.largeSubset() && got.entry.Worker != want.entry.Worker {
				t.Fatalf("small subset of %d workers: got worker %d, want worker %d, which the scan chooses",
					len(d.subset), got.entry.Worker, want.entry.Worker)
			}
		}
	})
}

// newLargeHarness returns a harness whose dispatcher uses the placement index, as it has a large subset, and
// assumes one slot for each worker.
func newLargeHarness(t *testing.T, configure func(*Settings)) *harness {
	t.Helper()
	s := testSettings()
	if configure != nil {
		configure(&s)
	}
	b := newHarness(t, s, testFleet(200)...)
	for kind := range 2 {
		i := slices.IndexFunc(b.d.ordered, func(w *worker) bool { return w.entry.Kind == kind })
		b.setSlots(b.d.ordered[i].entry.Worker, 1)
	}
	if !b.d.largeSubset() {
		t.Fatal("got a subset that the dispatcher scans, want one large enough for the placement index")
	}
	b.want(b.arrive(1000, 0), Send, 1) // the first job makes the dispatcher build the index
	return b
}

// checkSentToOnlyUsable makes all workers but one unusable, and checks that a job goes to that worker. If
// usable is nil, all workers become unusable, and the job must not be sent.
func checkSentToOnlyUsable(t *testing.T, b *harness, makeUnusable func(*worker), class int, usable *worker) {
	t.Helper()
	for _, w := range b.d.ordered {
		if w != usable {
			makeUnusable(w)
		}
	}
	sent := actionsOfKind(b.arrive(1, class), Send)
	switch {
	case usable == nil && len(sent) > 0:
		t.Errorf("no worker is usable: got a send to worker %d, want none", sent[0].Worker)
	case usable != nil && (len(sent) != 1 || sent[0].Worker != usable.entry.Worker):
		t.Errorf("got sends %v, want one send to worker %d, the only usable one", sent, usable.entry.Worker)
	}
}

func TestIndexWithOneOrNoUsableWorker(t *testing.T) {
	later := Micros(200 * second)
	for name, makeUnusable := range map[string]func(*worker){
		"busy":      func(w *worker) { w.ownSlots = 1 },
		"beginning": func(w *worker) { w.unstartedAttempts = 1 },
		"ejected":   func(w *worker) { w.ejectedUntil, w.consecutiveFailures = later, 1 },
		"blocked":   func(w *worker) { w.blockedUntil = later },
		"silent":    func(w *worker) { w.suspect, w.suspectRetryAt = true, later },
		"draining":  func(w *worker) { w.entry.Status = Draining },
		"in slow start": func(w *worker) {
			w.inferredStart, w.slowStartBudgetAt, w.slowStartBudget = 100*second, 100*second, -1e12
		},
		"slow": func(w *worker) { w.speed = speedEstimate{1, 1e12} }, // too slow to meet the job's objective
	} {
		t.Run(name, func(t *testing.T) {
			b := newLargeHarness(t, func(s *Settings) { s.Classes[0].LateWeight = 0 })
			checkSentToOnlyUsable(t, b, makeUnusable, 0, b.d.ordered[137])
		})
		if name == "slow" {
			continue // a job that cannot meet its objective on any worker is sent all the same
		}
		t.Run(name+", all workers", func(t *testing.T) {
			b := newLargeHarness(t, func(s *Settings) { s.Classes[0].LateWeight = 0 })
			checkSentToOnlyUsable(t, b, makeUnusable, 0, nil)
			// This worker becomes usable again and must be found, although the index has an old key of the worker.
			w := b.d.ordered[55]
			w.ownSlots, w.unstartedAttempts, w.ejectedUntil, w.consecutiveFailures = 0, 0, 0, 0
			w.blockedUntil, w.suspect, w.inferredStart = 0, false, 0
			w.entry.Status, w.speed = Ready, speedEstimate{}
			b.now += second / 100
			sent := actionsOfKind(b.arrive(2, 0), Send)
			if len(sent) == 0 || sent[0].Worker != w.entry.Worker {
				t.Errorf("got sends %v, want a send to worker %d, which is usable again", sent, w.entry.Worker)
			}
		})
	}
}

func TestIndexWithAClassBoundToAKind(t *testing.T) {
	b := newLargeHarness(t, func(s *Settings) { s.Classes[2].Kind = 1 })
	i := slices.IndexFunc(b.d.ordered, func(w *worker) bool { return w.entry.Kind == 1 })
	checkSentToOnlyUsable(t, b, func(w *worker) {
		if w.entry.Kind == 1 {
			w.ownSlots = 1
		}
	}, 2, b.d.ordered[i])
}

// A keyed job that may have run is repeated on the only usable worker of its deduplication group.
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
		t.Errorf("got sends of the repeat %v, want one to worker %d, the only usable one of the job's cell",
			sent, sameCell[0].entry.Worker)
	}
	if n := b.d.workersExamined - before; n > 16 {
		t.Errorf("got %d workers examined for a job bound to a cell of 8, want at most 16, twice the cell", n)
	}
}

func TestIndexOfASubsetThatIsEmptiedAndRefilled(t *testing.T) {
	b := newLargeHarness(t, nil)
	list := testFleet(200)
	b.feed(Event{Kind: EndpointsUpdated, Scope: UpdateFull, Workers: nil})
	if sent := actionsOfKind(b.arrive(1, 0), Send); len(b.d.subset) != 0 || len(sent) != 0 {
		t.Errorf("after an update with an empty worker list: got sends %v and a subset of %d workers, want none",
			sent, len(b.d.subset))
	}
	b.want(b.feed(Event{Kind: EndpointsUpdated, Scope: UpdateDelta, Workers: list[7:8]}), Send, 1)
	b.now += second / 100
	b.feed(Event{Kind: EndpointsUpdated, Scope: UpdateFull, Workers: list})
	sent := actionsOfKind(b.arrive(2, 0), Send)
	if len(sent) != 1 || sent[0].Worker == list[7].Worker {
		t.Errorf("all workers are listed again: got sends %v, want one send, to another worker than the busy one",
			sent)
	}
	for _, w := range b.d.subset {
		if w.indexNode.Queue() == nil {
			t.Fatalf("worker %d: got in the subset but not in the index, want in both", w.entry.Worker)
		}
	}
}

// When more than half of the workers of a large subset are outliers (suspect or ejected), the dispatcher
// enters panic mode and uses all workers, as the cause is more likely a fault of the network or of the
// reports.
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
		t.Errorf("got %d outliers (suspect or ejected) of 200 workers, panic mode = %v, want 80 and false",
			b.d.countOutliers(), b.d.panicMode)
	}
	for _, w := range b.d.ordered {
		w.suspect, w.suspectRetryAt = true, 300*second
		b.d.markSuspect(w)
	}
	b.d.inspect()
	if !b.d.panicMode || b.d.countOutliers() != 200 {
		t.Errorf("got %d outliers (suspect or ejected) of 200 workers, panic mode = %v, want 200 and true",
			b.d.countOutliers(), b.d.panicMode)
	}
	b.now += second / 100
	b.want(b.arrive(1, 0), Send, 1)
	for _, w := range b.d.ordered {
		w.markAlive(b.now)
	}
	b.d.inspect()
	if b.d.panicMode || len(b.d.suspects) != 0 {
		t.Errorf("all workers are alive: got panic mode or %d workers in the list of suspects, want neither",
			len(b.d.suspects))
	}
}

// A suspect worker that never answers again leaves the list of suspects when its record is dropped after the
// retention time. Otherwise the list would grow without bound in a fleet whose workers are replaced under new
// numbers.
func TestRemovedOutliersAreForgotten(t *testing.T) {
	b := newHarness(t, testSettings(), ready(1, 0), ready(2, 0))
	w := b.d.workers[1]
	w.suspect = true
	b.d.markSuspect(w)
	if n := b.d.countOutliers(); n != 1 {
		t.Fatalf("worker 1 is suspect: got %d outliers (suspect or ejected), want 1", n)
	}
	removed := ready(1, 0)
	removed.Status = Removed
	b.feed(Event{Kind: EndpointsUpdated, Workers: []WorkerEntry{removed}})
	if n := b.d.countOutliers(); n != 0 || len(b.d.suspects) != 1 {
		t.Errorf("removed worker whose record is kept: got %d outliers, %d in the list of suspects, want 0 and 1",
			n, len(b.d.suspects))
	}
	b.now += b.d.settings.RemovedRetention()
	b.feed(Event{Kind: EndpointsUpdated, Workers: []WorkerEntry{ready(2, 0)}})
	if n := b.d.countOutliers(); n != 0 || len(b.d.suspects) != 0 {
		t.Errorf("removed worker, retention time over: got %d outliers, %d in the list of suspects, want 0 and 0",
			n, len(b.d.suspects))
	}
}
