package dispatch

import (
	"fmt"
	"math"
	"strings"
	"testing"
)

// The tests in this file simulate many dispatchers without gossip whose workers restart. Each dispatcher has
// its own worker list, and the lists show a restart at different times. The tests check the slow-start limit:
// all dispatchers together must not send a worker in slow start more work within an overload window than that
// worker's limit. The overload window is the time over which that work is limited.

// deployment describes a deployment: its settings, classes and machines.
type deployment struct {
	name            string
	configure       func(*Settings)
	meanWork        []float64 // mean work of each class, in core-microseconds
	classMix        []float64 // fraction of the requests that belong to each class
	twoSlotFraction float64   // fraction of the requests of classes 1 and 2 that take two slots
	hinted          bool      // requests carry cost hints
	cores           float64   // cores of a worker
	slots           float64   // slots of a worker, at least as many as cores; requests share the cores
}

// allDeployments has the simulated deployments: "even" has classes of similar work, "wide" has long requests
// without cost hints that make up most of the work, "steep" has such requests with cost hints, and "big" has
// workers with 20 cores.
var allDeployments = []deployment{
	{name: "even", meanWork: []float64{400_000, 300_000, 600_000}, classMix: []float64{0.5, 0.3, 0.2},
		cores: 2, slots: 2, configure: func(s *Settings) {
			s.SlowStart, s.SlowStartInitial, s.OverloadFactor, s.OverloadWindow = 8.3*second, 0.3, 4, 2*second
		}},
	{name: "wide", meanWork: []float64{400_000, 215_000, 2_600_000}, classMix: []float64{0.35, 0.34, 0.31},
		cores: 4, slots: 5, twoSlotFraction: 0.4, configure: func(s *Settings) {
			s.SlowStart, s.SlowStartInitial, s.OverloadFactor, s.OverloadWindow = 18*second, 0.13, 3, 3*second
			for class, objective := range []Micros{300_000, 200_000, 1_200_000} {
				s.Classes[class].LatencyObjective = objective
			}
			s.Classes[2].Deadline = 25 * second
		}},
	{name: "steep", meanWork: []float64{100_000, 150_000, 1_500_000}, classMix: []float64{0.5, 0.3, 0.2},
		hinted: true, cores: 4, slots: 4, configure: func(s *Settings) {
			s.SlowStart, s.SlowStartInitial, s.OverloadFactor, s.OverloadWindow = 12*second, 0.13, 4, 2*second
		}},
	{name: "big", meanWork: []float64{200_000, 150_000, 250_000}, classMix: []float64{0.5, 0.3, 0.2},
		hinted: true, cores: 20, slots: 20, configure: func(s *Settings) {
			s.SlowStart, s.SlowStartInitial, s.OverloadFactor, s.OverloadWindow = 8.3*second, 0.3, 4, 2*second
		}},
}

// meanRequestWork returns the mean work of a request over all classes.
func (s *deployment) meanRequestWork() (meanRequestWork float64) {
	for k, work := range s.meanWork {
		meanRequestWork += work * s.classMix[k]
	}
	return meanRequestWork
}

// rampCase describes a simulation: the size of the fleet, the workers and dispatchers that restart, and the
// load.
type rampCase struct {
	deployment  *deployment
	dispatchers int
	// statedDispatchers is the number of dispatchers that the settings state; 0 means the actual number. In the
	// tables for runCases the field is a multiple of the actual number.
	statedDispatchers  int
	workers            int
	restarted          int     // workers of zone 0 that restart; 0 means all of zone 0, -1 the whole fleet
	load               float64 // offered work as a fraction of the capacity of the warm fleet
	maxDelay           Micros  // longest time from a worker's restart until all dispatchers list the restart
	dispatcherRestarts float64 // fraction of the dispatchers that restart during the simulation
	secondStart        bool    // the workers stop again 3 s after the first restart, and start 1 s later
	seed               uint64
}

// rampWorker is the actual state of a worker, which no dispatcher sees directly.
type rampWorker struct {
	entry     WorkerEntry
	restarted bool       // the worker restarts in this simulation
	starts    []Micros   // times at which the worker started again
	busy      float64    // slots in use
	queue     []*rampRun // attempts that wait for a slot
	sent      []rampSend // attempts sent to the worker since the first restart
}

// rampRun is an attempt at a simulated worker.
type rampRun struct {
	dispatcher int
	job        JobID
	attempt    int
	worker     *rampWorker
	work       float64
	slots      float64
	endsAt     Micros // time at which the attempt will end; 0 while the attempt waits for a slot
	ended      bool
}

// rampSend records an attempt that a dispatcher sent to a restarted worker.
type rampSend struct {
	at       Micros
	work     float64
	informed bool // the dispatcher's list showed the worker's latest restart at the time of the send
}

// rampJobSize has the work of a request, in core-microseconds, and the number of slots that the request
// takes.
type rampJobSize struct {
	work, slots float64
}

// rampResult is the result of a simulation. The fields informed and total are maxima over all workers and
// overload windows (times over which the work sent to a worker in slow start is limited), as fractions of the
// slow-start limit.
type rampResult struct {
	informed float64 // work sent by the dispatchers whose list shows the worker's restart
	// total is the work sent by all dispatchers, taken only from overload windows (times over which that work is
	// limited) in which more than two thirds of the work came from dispatchers whose list shows the worker's
	// restart.
	total       float64
	utilization float64 // used fraction of the restarted workers' capacity, from maxDelay after the restart on
	sends       int     // attempts sent to restarted workers
}

// rampTick is the step of the simulated clock, rampWarmUp the time before the first restart, and rampLength
// the simulated time in all.
const rampTick, rampWarmUp, rampLength = Micros(second / 50), Micros(3 * second), Micros(12 * second)

func (c *rampCase) String() string {
	restarted := fmt.Sprint(c.restarted, " workers of zone 0")
	switch c.restarted {
	case 0:
		restarted = "all of zone 0"
	case -1:
		restarted = "all"
	}
	return fmt.Sprintf(
		"%s, %d dispatchers (%d stated, 0 means all), %d workers, %s restarted, load %v, lists updated in %v ms, "+
			"fraction %v of dispatchers restarts, second restart %v", c.deployment.name, c.dispatchers,
		c.statedDispatchers, c.workers, restarted, c.load, c.maxDelay/1000, c.dispatcherRestarts, c.secondStart)
}

// slowStartFraction returns the fraction of its capacity that a worker has at the given time since its start.
func (s *deployment) slowStartFraction(settings *Settings, since Micros) float64 {
	return min(1, settings.SlowStartInitial+
		(1-settings.SlowStartInitial)*float64(max(0, since))/float64(settings.SlowStart))
}

// run simulates the case and returns the result of the simulation.
func (c *rampCase) run(t *testing.T) rampResult {
	deployed, source := c.deployment, random(c.seed*7919)
	applySettings := func(s *Settings) {
		largeFleetWithoutGossipSettings(s)
		deployed.configure(s)
		s.Dispatchers = max(c.statedDispatchers, 1)
		if c.statedDispatchers == 0 {
			s.Dispatchers = c.dispatchers
		}
		s.Tenants = nil
	}
	list := testFleet(c.workers)
	workersByID := map[WorkerID]*rampWorker{}
	var allWorkers []*rampWorker
	restartedCount := 0
	for _, e := range list {
		w := &rampWorker{entry: e}
		if c.restarted < 0 || e.Zone == 0 && (c.restarted == 0 || restartedCount < c.restarted) {
			w.restarted = true
			restartedCount++
		}
		workersByID[e.Worker], allWorkers = w, append(allWorkers, w)
	}
	// Each dispatcher's worker list is stale in a different way: some workers are missing, and some listed
	// workers no longer exist.
	lists := make([][]WorkerEntry, c.dispatchers)
	for i := range lists {
		for _, e := range list {
			if workersByID[e.Worker].restarted || source.uniform() > 0.15 {
				lists[i] = append(lists[i], e)
			}
		}
		for range int(source.uniform() * 0.2 * float64(c.workers)) {
			lists[i] = append(lists[i], WorkerEntry{Worker: WorkerID(source.uniform() * (1 << 31)), Status: Ready,
				Zone: int(source.uniform() * 2), Kind: int(source.uniform() * 2)})
		}
	}
	harnesses := make([]*harness, c.dispatchers)
	updateCount, updateAt := make([]int, c.dispatchers), make([]Micros, c.dispatchers)
	restartAt, relativeRate := make([]Micros, c.dispatchers), make([]float64, c.dispatchers)
	firstStart, rateSum := 100*second+rampWarmUp, 0.0
	for i := range harnesses {
		harnesses[i] = startDispatcher(t, c.dispatchers, i, lists[i], i%2, applySettings)
		harnesses[i].d.settings.Dispatchers = max(1, harnesses[i].d.settings.Dispatchers)
		for _, e := range list {
			if harnesses[i].d.workers[e.Worker] != nil {
				harnesses[i].setSlots(e.Worker, int(deployed.slots))
			}
		}
		relativeRate[i] = 1
		if source.uniform() < 0.15 {
			relativeRate[i] = 5
		}
		rateSum += relativeRate[i]
		updateAt[i] = firstStart + Micros(source.uniform()*float64(c.maxDelay))
		if source.uniform() < c.dispatcherRestarts {
			restartAt[i] = firstStart + Micros(source.uniform()*float64(rampLength-rampWarmUp))
		}
	}
	lastStart := firstStart
	// totalRate is the arrival rate at all dispatchers together, in requests a second.
	totalRate := c.load * float64(c.workers) * deployed.cores / deployed.meanRequestWork() * second
	jobs := map[JobID]rampJobSize{}
	var runs []*rampRun
	result := rampResult{}
	served, capacity := 0.0, 0.0
	var handleActions func(i int, actions []Action, now Micros)
	endRun := func(r *rampRun, o Outcome, now Micros) {
		if r.ended {
			return
		}
		r.ended = true
		if r.endsAt != 0 {
			r.worker.busy -= r.slots
		}
		handleActions(r.dispatcher, harnesses[r.dispatcher].feed(Event{Kind: AttemptEnded, Job: r.job,
			Attempt: r.attempt, Outcome: o, Final: o == OK}), now)
	}
	handleActions = func(i int, actions []Action, now Micros) {
		for _, a := range actions {
			switch a.Kind {
			case Send:
				r := &rampRun{dispatcher: i, job: a.Job, attempt: a.Attempt, worker: workersByID[a.Worker],
					work: jobs[a.Job].work, slots: jobs[a.Job].slots}
				if w := r.worker; w == nil || w.restarted && now < lastStart && now >= lastStart-second {
					endRun(r, ConnectFailed, now) // the worker does not exist, or is restarting
					continue
				} else if w.restarted && now >= firstStart {
					w.sent = append(w.sent, rampSend{now, r.work, updateCount[i] == len(w.starts)})
					result.sends++
				}
				r.worker.queue = append(r.worker.queue, r)
				runs = append(runs, r)
			case Cancel:
				for _, r := range runs {
					if r.dispatcher == i && r.job == a.Job && r.attempt == a.Attempt {
						endRun(r, Cancelled, now)
					}
				}
			}
		}
	}
	deliverUpdate := func(i int, scope UpdateScope) {
		b := harnesses[i]
		for k := range lists[i] {
			if w := workersByID[lists[i][k].Worker]; w != nil && w.restarted {
				lists[i][k].Started = w.starts[len(w.starts)-1]
			}
		}
		updateCount[i]++
		handleActions(i, b.feed(Event{Kind: EndpointsUpdated, Scope: scope, Workers: lists[i]}), b.now)
	}
	job := JobID(0)
	for now := Micros(100 * second); now < firstStart+rampLength-rampWarmUp; now += rampTick {
		if now == lastStart-second || now == lastStart { // the restarting workers stop, and start 1 s later
			for _, w := range allWorkers {
				if !w.restarted {
					continue
				}
				if now == lastStart {
					w.starts = append(w.starts, now)
				}
				for _, r := range runs {
					if r.worker == w {
						harnesses[r.dispatcher].now = max(harnesses[r.dispatcher].now, now)
						endRun(r, Reset, now)
					}
				}
				w.queue = nil
			}
			if now == lastStart && c.secondStart && lastStart == firstStart {
				lastStart = firstStart + 3*second + second
			}
		}
		if lastStart != firstStart && now == firstStart+3*second+second {
			for i := range updateAt { // every dispatcher gets an update with the second restart
				updateAt[i] = now + Micros(source.uniform()*float64(c.maxDelay))
			}
		}
		for i, b := range harnesses {
			if restartAt[i] != 0 && restartAt[i] <= now {
				restartAt[i] = 0
				for _, r := range runs {
					// The connections of the restarting dispatcher close, and the workers abandon that dispatcher's
					// attempts.
					if r.dispatcher == i && !r.ended {
						r.ended = true
						if r.endsAt != 0 {
							r.worker.busy -= r.slots
						}
					}
				}
				b.now = now
				b.d, _ = New(b.d.settings, uint64(i)+c.seed<<16)
				b.feed(Event{Kind: Started})
				b.feed(Event{Kind: EndpointsUpdated, Scope: UpdateCached, Workers: lists[i]})
			}
			if updateAt[i] != 0 && updateAt[i] <= now {
				updateAt[i] = 0
				b.now = now
				deliverUpdate(i, UpdateFull)
			}
			handleActions(i, b.advance(now-b.now), now)
			for expected := relativeRate[i] / rateSum * totalRate * float64(rampTick) / second *
				trafficFactor(now-firstStart); expected > 0; expected-- {
				if source.uniform() >= expected {
					continue
				}
				job++
				e := Event{Kind: JobArrived, Job: job, Slots: 1}
				for e.Class = 0; e.Class < 2 && source.uniform() >
					deployed.classMix[e.Class]/(1-sumOfEarlierClasses(deployed.classMix, e.Class)); {
					e.Class++
				}
				if e.Class > 0 && source.uniform() < deployed.twoSlotFraction {
					e.Slots = 2
				}
				work := deployed.meanWork[e.Class] * (0.4 + 1.2*source.uniform())
				if deployed.hinted {
					e.Work = Micros(work)
				}
				e.ClientTimeout = b.d.settings.Classes[e.Class].Deadline
				jobs[job] = rampJobSize{work, e.Slots}
				handleActions(i, b.feed(e), now)
			}
		}
		for _, r := range runs {
			if !r.ended && r.endsAt != 0 && r.endsAt <= now {
				if r.worker.restarted && now >= firstStart+c.maxDelay {
					served += r.work
				}
				endRun(r, OK, now)
			}
		}
		for _, w := range allWorkers {
			speed := 1.0
			if w.restarted && len(w.starts) > 0 {
				speed = deployed.slowStartFraction(&harnesses[0].d.settings, now-w.starts[len(w.starts)-1])
				if now >= firstStart+c.maxDelay {
					capacity += speed * deployed.cores * float64(rampTick)
				}
			}
			for len(w.queue) > 0 && (w.queue[0].ended || w.busy+w.queue[0].slots <= deployed.slots) {
				r := w.queue[0]
				if w.queue = w.queue[1:]; r.ended {
					continue
				}
				w.busy += r.slots
				r.endsAt = now + Micros(r.work/speed*max(1, w.busy/deployed.cores))
				handleActions(r.dispatcher, harnesses[r.dispatcher].feed(Event{Kind: AttemptReported, Job: r.job,
					Attempt: r.attempt,
					Note:    NoteStarted}), now)
			}
		}
		active := runs[:0]
		for _, r := range runs {
			if !r.ended {
				active = append(active, r)
			}
		}
		runs = active
	}
	result.utilization = served / max(1, capacity)
	for _, w := range allWorkers {
		c.checkWindows(w, &harnesses[0].d.settings, &result)
	}
	return result
}

// trafficFactor returns the arrival rate at a time after the first restart of workers, as a multiple of the
// usual rate: 1.5 from 1 s to 4 s after the restart, and 1 otherwise.
func trafficFactor(since Micros) float64 {
	if since >= second && since < 4*second {
		return 1.5
	}
	return 1
}

// sumOfEarlierClasses returns the sum of the shares of the classes before the given class.
func sumOfEarlierClasses(shares []float64, class int) (sum float64) {
	for _, share := range shares[:class] {
		sum += share
	}
	return sum
}

// checkWindows compares the work sent to a worker with the slow-start limit, in each overload window that
// begins with an attempt sent during slow start, and records the largest fractions of the limit in the
// result. An overload window is the time over which the work sent to a worker in slow start is limited.
func (c *rampCase) checkWindows(w *rampWorker, settings *Settings, result *rampResult) {
	for s, start := range w.starts {
		nextStart := Micros(math.MaxInt64)
		if s+1 < len(w.starts) {
			nextStart = w.starts[s+1]
		}
		for from, first := range w.sent {
			if first.at < start || first.at >= nextStart || first.at-start >= settings.SlowStart {
				continue
			}
			// The limit is based on the worker's capacity at the beginning of the overload window, the time over
			// which the work sent to the worker is limited. This is the strictest interpretation, as the capacity
			// grows during the window.
			meanRequests := c.deployment.slowStartFraction(settings, first.at-start) * c.deployment.cores *
				settings.OverloadFactor * float64(settings.OverloadWindow) / c.deployment.meanRequestWork()
			limit := (meanRequests + 2*math.Sqrt(meanRequests) + 2) * c.deployment.meanRequestWork()
			sum, informed := 0.0, 0.0
			for _, sent := range w.sent[from:] {
				if sent.at-first.at >= settings.OverloadWindow || sent.at >= nextStart {
					break
				}
				if sum += sent.work; sent.informed {
					informed += sent.work
				}
				result.informed = max(result.informed, informed/limit)
				if 3*informed > 2*sum {
					result.total = max(result.total, sum/limit)
				}
			}
		}
	}
}

// runCases simulates each named deployment at each size, a pair of the numbers of dispatchers and workers,
// and checks the slow-start limit of each worker. An overload window is the time over which the work sent to
// a worker in slow start is limited. In no overload window may the dispatchers whose lists show the worker's
// restart send more than the limit. In overload windows in which over two thirds of the work comes from these
// dispatchers, all dispatchers together may not exceed the limit, either.
func runCases(t *testing.T, deploymentNames string, seeds int, cases []rampCase, sizes ...[2]int) {
	for s := range allDeployments {
		if !strings.Contains(deploymentNames, allDeployments[s].name) {
			continue
		}
		for _, size := range sizes {
			deployed := &allDeployments[s]
			if deployed.slots > 10 && size != [2]int{30, 16} {
				continue // simulations of workers with more than 10 slots take long
			}
			t.Run(fmt.Sprint(deployed.name, "/", size[0], "/", size[1]), func(t *testing.T) {
				t.Parallel()
				for i := range seeds * len(cases) {
					c := cases[i%len(cases)]
					c.deployment, c.dispatchers, c.workers, c.seed = deployed, size[0], size[1], c.seed+uint64(i+1)
					c.statedDispatchers *= size[0]
					result := c.run(t)
					if result.informed > 1 || result.total > 1 {
						t.Errorf(
							"slow-start limit: dispatchers that list the restart sent %.2f of it, all %.2f, want at most 1: %v",
							result.informed, result.total, &c)
					}
					if c.restarted < 0 && result.utilization < 0.1 {
						t.Errorf("restarted workers used %.2f of their capacity, want at least 0.1: %v", result.utilization, &c)
					}
					t.Logf(
						"dispatchers that list the restart sent %.2f of the limit, all %.2f; capacity used %.2f, %d sends: %v",
						result.informed, result.total, result.utilization, result.sends, &c)
				}
			})
		}
	}
}

// deploymentsWithoutWide and everyDeployment list the names of deployments that runCases simulates.
const deploymentsWithoutWide, everyDeployment = "even steep big", "even steep big wide"

// One worker, three workers and a whole zone restart, while traffic is uneven over the dispatchers and has a
// burst. All dispatchers together must keep the slow-start limit.
func TestSlowStartWorkersKeepTheirLimitInSum(t *testing.T) {
	runCases(t, everyDeployment, 1, []rampCase{
		{restarted: 1, load: 0.7, maxDelay: 2 * second},
		{restarted: 3, load: 1.2, maxDelay: 2 * second, secondStart: true},
		{restarted: 0, load: 1.2, maxDelay: 6 * second, dispatcherRestarts: 0.3},
		// The settings state twice as many dispatchers as exist.
		{restarted: 0, load: 1.2, maxDelay: 2 * second, statedDispatchers: 2},
	}, [2]int{3, 10}, [2]int{9, 16}, [2]int{20, 16}, [2]int{30, 16}, [2]int{300, 24})
}

// fleetSizes has pairs of the numbers of dispatchers and workers.
var fleetSizes = [][2]int{{3, 10}, {9, 16}, {20, 16}, {30, 16}, {30, 60}, {300, 100}}

// fleetRestartCases restarts the whole fleet under a load of 1.2 times its warm capacity, so that all
// requests wait for slow-start budgets.
var fleetRestartCases = []rampCase{{restarted: -1, load: 1.2, maxDelay: 2 * second}}

func TestSlowStartFleetKeepsItsLimitInSum(t *testing.T) {
	runCases(t, deploymentsWithoutWide, 2, fleetRestartCases, fleetSizes...)
}

// In the deployment named wide, a few long requests make up most of the work, so a single request beyond the
// slow-start limit of a worker is a large part of the limit.
func TestSlowStartFleetOfLongRequestsKeepsItsLimit(t *testing.T) {
	runCases(t, "wide", 2, fleetRestartCases, fleetSizes...)
}

// dispatcherRestartCases restarts all workers under the load of fleetRestartCases, and a fraction of 0.3 of
// the dispatchers restarts, too. A restarted dispatcher does not know how much it sent to workers in slow
// start before, so its slow-start budgets begin anew.
var dispatcherRestartCases = []rampCase{
	{restarted: -1, load: 1.2, dispatcherRestarts: 0.3},
	{restarted: -1, load: 1.2, dispatcherRestarts: 0.3, seed: 12},
	{restarted: -1, load: 1.2, dispatcherRestarts: 0.3, seed: 21},
}

func TestSlowStartFleetKeepsItsLimitWhileDispatchersRestart(t *testing.T) {
	runCases(t, deploymentsWithoutWide, 1, dispatcherRestartCases, fleetSizes...)
}

func TestSlowStartFleetOfLongRequestsKeepsItsLimitWhileDispatchersRestart(t *testing.T) {
	runCases(t, "wide", 1, dispatcherRestartCases, fleetSizes...)
}
