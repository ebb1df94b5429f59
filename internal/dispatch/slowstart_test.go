package dispatch

import (
	"fmt"
	"math"
	"strings"
	"testing"
)

// Workers in slow start, in sum: each dispatcher has a list of its own, learns of a start at a time of its
// own, and there is no gossip. What all send together is checked against the rule.

// deployment is a deployment: its settings, classes and machines.
type deployment struct {
	name            string
	configure       func(*Settings)
	meanWork        []float64 // mean work of each class
	classMix        []float64 // of the requests
	twoSlotFraction float64   // fraction of the requests that take two slots, beyond the first class
	hinted          bool
	cores           float64
	slots           float64 // at the least cores: with more, requests share them
}

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

func (s *deployment) meanRequestWork() (meanRequestWork float64) {
	for k, work := range s.meanWork {
		meanRequestWork += work * s.classMix[k]
	}
	return meanRequestWork
}

// rampCase is a simulation: who is there, what restarts, and what goes wrong meanwhile.
type rampCase struct {
	deployment         *deployment
	dispatchers        int
	statedDispatchers  int // as the settings say, in a table a multiple of those there are; 0: as many
	workers            int
	restarted          int     // the first ones of zone 0 of fleetList; 0: all of that zone, -1: all
	load               float64 // of the capacity of the warm fleet
	maxDelay           Micros  // the latest that a start is listed
	dispatcherRestarts float64 // fraction of the dispatchers that restart within the ramp
	secondStart        bool    // the workers start once more, 3 s later
	seed               uint64
}

// rampWorker is a worker as it is, not as a dispatcher sees it.
type rampWorker struct {
	entry     WorkerEntry
	restarted bool
	starts    []Micros
	busy      float64
	queue     []*rampRun
	sent      []rampSend
}

type rampRun struct {
	dispatcher int
	job        JobID
	attempt    int
	worker     *rampWorker
	work       float64
	slots      float64
	endsAt     Micros // 0: it waits
	ended      bool
}

type rampSend struct {
	at       Micros
	work     float64
	informed bool // of the start that is the latest by then
}

type rampJobSize struct {
	work, slots float64
}

// rampResult is what a simulation showed. Both fractions are of what the rule allows in a window.
type rampResult struct {
	informed    float64 // the most that those who knew of the start sent
	all         float64 // the most that all sent, where over two thirds came from those
	utilization float64 // of the capacity of the restarted workers, once all know of the start
	sends       int
}

const rampTick, rampWarmUp, rampLength = Micros(second / 50), Micros(3 * second), Micros(12 * second)

func (c *rampCase) String() string {
	restarted := fmt.Sprint(c.restarted, " of a zone")
	switch c.restarted {
	case 0:
		restarted = "a zone"
	case -1:
		restarted = "all"
	}
	return fmt.Sprintf("%s, %d dispatchers (%d said), %d workers, %s restarted, load %v, known within %v ms, "+
		"%v of the dispatchers restart, second start %v", c.deployment.name, c.dispatchers, c.statedDispatchers,
		c.workers, restarted, c.load, c.maxDelay/1000, c.dispatcherRestarts, c.secondStart)
}

func (s *deployment) slowStartFraction(set *Settings, since Micros) float64 {
	return min(1, set.SlowStartInitial+(1-set.SlowStartInitial)*float64(max(0, since))/float64(set.SlowStart))
}

// run runs a simulation.
func (c *rampCase) run(t *testing.T) rampResult {
	deployed, source := c.deployment, random(c.seed*7919)
	change := func(s *Settings) {
		largeFleetWithoutGossipSettings(s)
		deployed.configure(s)
		s.Dispatchers = max(c.statedDispatchers, 1)
		if c.statedDispatchers == 0 {
			s.Dispatchers = c.dispatchers
		}
		s.Tenants = nil
	}
	list := testFleet(c.workers)
	servers := map[WorkerID]*rampWorker{}
	var order []*rampWorker
	n := 0
	for _, e := range list {
		w := &rampWorker{entry: e}
		if c.restarted < 0 || e.Zone == 0 && (c.restarted == 0 || n < c.restarted) {
			w.restarted = true
			n++
		}
		servers[e.Worker], order = w, append(order, w)
	}
	// Lists are stale in ways of their own: some workers are missing, some are long removed.
	lists := make([][]WorkerEntry, c.dispatchers)
	for i := range lists {
		for _, e := range list {
			if servers[e.Worker].restarted || source.uniform() > 0.15 {
				lists[i] = append(lists[i], e)
			}
		}
		for range int(source.uniform() * 0.2 * float64(c.workers)) {
			lists[i] = append(lists[i], WorkerEntry{Worker: WorkerID(source.uniform() * (1 << 31)), Status: Ready,
				Zone: int(source.uniform() * 2), Kind: int(source.uniform() * 2)})
		}
	}
	harnesses := make([]*harness, c.dispatchers)
	updates, updateAt := make([]int, c.dispatchers), make([]Micros, c.dispatchers)
	restartAt, rate := make([]Micros, c.dispatchers), make([]float64, c.dispatchers)
	firstStart, sum := 100*second+rampWarmUp, 0.0
	for i := range harnesses {
		harnesses[i] = startDispatcher(t, c.dispatchers, i, lists[i], i%2, change)
		harnesses[i].d.settings.Dispatchers = max(1, harnesses[i].d.settings.Dispatchers)
		for _, e := range list {
			if harnesses[i].d.workers[e.Worker] != nil {
				harnesses[i].setSlots(e.Worker, int(deployed.slots))
			}
		}
		rate[i] = 1
		if source.uniform() < 0.15 {
			rate[i] = 5
		}
		sum += rate[i]
		updateAt[i] = firstStart + Micros(source.uniform()*float64(c.maxDelay))
		if source.uniform() < c.dispatcherRestarts {
			restartAt[i] = firstStart + Micros(source.uniform()*float64(rampLength-rampWarmUp))
		}
	}
	lastStart := firstStart
	// requests a second
	total := c.load * float64(c.workers) * deployed.cores / deployed.meanRequestWork() * second
	jobs := map[JobID]rampJobSize{}
	var runs []*rampRun
	seen := rampResult{}
	served, capacity := 0.0, 0.0
	var take func(i int, actions []Action, now Micros)
	end := func(r *rampRun, o Outcome, now Micros) {
		if r.ended {
			return
		}
		r.ended = true
		if r.endsAt != 0 {
			r.worker.busy -= r.slots
		}
		take(r.dispatcher, harnesses[r.dispatcher].feed(Event{Kind: AttemptEnded, Job: r.job,
			Attempt: r.attempt, Outcome: o, Final: o == OK}), now)
	}
	take = func(i int, actions []Action, now Micros) {
		for _, a := range actions {
			switch a.Kind {
			case Send:
				r := &rampRun{dispatcher: i, job: a.Job, attempt: a.Attempt, worker: servers[a.Worker],
					work: jobs[a.Job].work, slots: jobs[a.Job].slots}
				if w := r.worker; w == nil || w.restarted && now < lastStart && now >= lastStart-second {
					end(r, ConnectFailed, now) // it is removed, or on its way back
					continue
				} else if w.restarted && now >= firstStart {
					w.sent = append(w.sent, rampSend{now, r.work, updates[i] == len(w.starts)})
					seen.sends++
				}
				r.worker.queue = append(r.worker.queue, r)
				runs = append(runs, r)
			case Cancel:
				for _, r := range runs {
					if r.dispatcher == i && r.job == a.Job && r.attempt == a.Attempt {
						end(r, Cancelled, now)
					}
				}
			}
		}
	}
	update := func(i int, scope UpdateScope) {
		b := harnesses[i]
		for k := range lists[i] {
			if w := servers[lists[i][k].Worker]; w != nil && w.restarted {
				lists[i][k].Started = w.starts[len(w.starts)-1]
			}
		}
		updates[i]++
		take(i, b.feed(Event{Kind: EndpointsUpdated, Scope: scope, Workers: lists[i]}), b.now)
	}
	job := JobID(0)
	for now := Micros(100 * second); now < firstStart+rampLength-rampWarmUp; now += rampTick {
		if now == lastStart-second || now == lastStart { // down, and back
			for _, w := range order {
				if !w.restarted {
					continue
				}
				if now == lastStart {
					w.starts = append(w.starts, now)
				}
				for _, r := range runs {
					if r.worker == w {
						harnesses[r.dispatcher].now = max(harnesses[r.dispatcher].now, now)
						end(r, Reset, now)
					}
				}
				w.queue = nil
			}
			if now == lastStart && c.secondStart && lastStart == firstStart {
				lastStart = firstStart + 3*second + second
			}
		}
		if lastStart != firstStart && now == firstStart+3*second+second {
			for i := range updateAt { // all learn of the second start, too
				updateAt[i] = now + Micros(source.uniform()*float64(c.maxDelay))
			}
		}
		for i, b := range harnesses {
			if restartAt[i] != 0 && restartAt[i] <= now {
				restartAt[i] = 0
				for _, r := range runs {
					if r.dispatcher == i && !r.ended { // its connections close: what ran is abandoned
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
				update(i, UpdateFull)
			}
			take(i, b.advance(now-b.now), now)
			for more := rate[i] / sum * total * float64(rampTick) / second *
				trafficFactor(now-firstStart); more > 0; more-- {
				if source.uniform() >= more {
					continue
				}
				job++
				e := Event{Kind: JobArrived, Job: job, Slots: 1}
				for e.Class = 0; e.Class < 2 && source.uniform() >
					deployed.classMix[e.Class]/(1-sumBefore(deployed.classMix, e.Class)); {
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
				take(i, b.feed(e), now)
			}
		}
		for _, r := range runs {
			if !r.ended && r.endsAt != 0 && r.endsAt <= now {
				if r.worker.restarted && now >= firstStart+c.maxDelay {
					served += r.work
				}
				end(r, OK, now)
			}
		}
		for _, w := range order {
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
				take(r.dispatcher, harnesses[r.dispatcher].feed(Event{Kind: AttemptReported, Job: r.job,
					Attempt: r.attempt,
					Note:    NoteStarted}), now)
			}
		}
		on := runs[:0]
		for _, r := range runs {
			if !r.ended {
				on = append(on, r)
			}
		}
		runs = on
	}
	seen.utilization = served / max(1, capacity)
	for _, w := range order {
		c.checkWindows(w, &harnesses[0].d.settings, &seen)
	}
	return seen
}

// trafficFactor is how much of the mean traffic comes: half as much again for a while in the ramp.
func trafficFactor(since Micros) float64 {
	if since >= second && since < 4*second {
		return 1.5
	}
	return 1
}

func sumBefore(shares []float64, class int) (sum float64) {
	for _, share := range shares[:class] {
		sum += share
	}
	return sum
}

// checkWindows checks what a worker was sent against the rule, in each window from each start on.
func (c *rampCase) checkWindows(w *rampWorker, set *Settings, seen *rampResult) {
	for s, start := range w.starts {
		until := Micros(math.MaxInt64)
		if s+1 < len(w.starts) {
			until = w.starts[s+1]
		}
		for from, first := range w.sent {
			if first.at < start || first.at >= until || first.at-start >= set.SlowStart {
				continue
			}
			// The strictest reading: what it could do when the window began.
			n := c.deployment.slowStartFraction(set, first.at-start) * c.deployment.cores * set.OverloadFactor *
				float64(set.OverloadWindow) / c.deployment.meanRequestWork()
			limit := (n + 2*math.Sqrt(n) + 2) * c.deployment.meanRequestWork()
			sum, informed := 0.0, 0.0
			for _, sent := range w.sent[from:] {
				if sent.at-first.at >= set.OverloadWindow || sent.at >= until {
					break
				}
				if sum += sent.work; sent.informed {
					informed += sent.work
				}
				seen.informed = max(seen.informed, informed/limit)
				if 3*informed > 2*sum {
					seen.all = max(seen.all, sum/limit)
				}
			}
		}
	}
}

// runCases simulates each deployment at each size, and checks each simulation against the rule: at no moment
// have those who knew of the start sent more than it allows, nor all together where it is their doing.
func runCases(t *testing.T, deploymentNames string, seeds int, cases []rampCase, sizes ...[2]int) {
	for s := range allDeployments {
		if !strings.Contains(deploymentNames, allDeployments[s].name) {
			continue
		}
		for _, size := range sizes {
			site := &allDeployments[s]
			if site.slots > 10 && size != [2]int{30, 16} {
				continue // simulations of so many requests take long
			}
			t.Run(fmt.Sprint(site.name, "/", size[0], "/", size[1]), func(t *testing.T) {
				t.Parallel()
				for i := range seeds * len(cases) {
					c := cases[i%len(cases)]
					c.deployment, c.dispatchers, c.workers, c.seed = site, size[0], size[1], c.seed+uint64(i+1)
					c.statedDispatchers *= size[0]
					seen := c.run(t)
					if seen.informed > 1 || seen.all > 1 {
						t.Errorf("those who knew sent %.2f of the limit, all %.2f: %v",
							seen.informed, seen.all, &c)
					}
					if c.restarted < 0 && seen.utilization < 0.1 {
						t.Errorf("%.2f of a restarted fleet is used: %v", seen.utilization, &c)
					}
					t.Logf("informed %.2f, all %.2f, used %.2f, %d sends: %v",
						seen.informed, seen.all, seen.utilization, seen.sends, &c)
				}
			})
		}
	}
}

const mainDeployments, everyDeployment = "even steep big", "even steep big wide"

// One worker, some, a zone and the whole fleet restart, under uneven traffic and a burst.
func TestSlowStartWorkersKeepTheirLimitInSum(t *testing.T) {
	runCases(t, everyDeployment, 1, []rampCase{
		{restarted: 1, load: 0.7, maxDelay: 2 * second},
		{restarted: 3, load: 1.2, maxDelay: 2 * second, secondStart: true},
		{restarted: 0, load: 1.2, maxDelay: 6 * second, dispatcherRestarts: 0.3},
		// Twice as many dispatchers are stated as there are.
		{restarted: 0, load: 1.2, maxDelay: 2 * second, statedDispatchers: 2},
	}, [2]int{3, 10}, [2]int{9, 16}, [2]int{20, 16}, [2]int{30, 16}, [2]int{300, 24})
}

var fleetSizes = [][2]int{{3, 10}, {9, 16}, {20, 16}, {30, 16}, {30, 60}, {300, 100}}

// The whole fleet restarts and has too much to do: all of it waits for the budgets.
var fleetRestartCases = []rampCase{{restarted: -1, load: 1.2, maxDelay: 2 * second}}

func TestSlowStartFleetKeepsItsLimitInSum(t *testing.T) {
	runCases(t, mainDeployments, 2, fleetRestartCases, fleetSizes...)
}

// Where a few long requests bring most of the work, one too many is much.
func TestSlowStartFleetOfLongRequestsKeepsItsLimit(t *testing.T) {
	runCases(t, "wide", 2, fleetRestartCases, fleetSizes...)
}

// The same while three in ten dispatchers restart: their budgets begin anew.
var dispatcherRestartCases = []rampCase{
	{restarted: -1, load: 1.2, dispatcherRestarts: 0.3},
	{restarted: -1, load: 1.2, dispatcherRestarts: 0.3, seed: 12},
	{restarted: -1, load: 1.2, dispatcherRestarts: 0.3, seed: 21},
}

func TestSlowStartFleetKeepsItsLimitWhileDispatchersRestart(t *testing.T) {
	runCases(t, mainDeployments, 1, dispatcherRestartCases, fleetSizes...)
}

func TestSlowStartFleetOfLongRequestsKeepsItsLimitWhileDispatchersRestart(t *testing.T) {
	runCases(t, "wide", 1, dispatcherRestartCases, fleetSizes...)
}
