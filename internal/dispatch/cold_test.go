package dispatch

import (
	"fmt"
	"math"
	"strings"
	"testing"
)

// Cold workers in sum: each dispatcher has a list of its own, hears of a start at a time of its
// own, and nobody tells another anything. What all send together is held against the rule.

// coldSite is a deployment: its settings, classes and machines.
type coldSite struct {
	name   string
	set    func(*Settings)
	works  []float64 // mean work of each class
	shares []float64 // of the requests
	wide   float64   // share of the requests that take two slots, beyond the first class
	hinted bool
	cores  float64
	slots  float64 // at the least cores: with more, requests share them
}

var coldSites = []coldSite{
	{name: "even", works: []float64{400_000, 300_000, 600_000}, shares: []float64{0.5, 0.3, 0.2},
		cores: 2, slots: 2, set: func(s *Settings) {
			s.SlowStart, s.SlowStartInitial, s.OverloadFactor, s.OverloadWindow = 8.3*second, 0.3, 4, 2*second
		}},
	{name: "wide", works: []float64{400_000, 215_000, 2_600_000}, shares: []float64{0.35, 0.34, 0.31},
		cores: 4, slots: 5, wide: 0.4, set: func(s *Settings) {
			s.SlowStart, s.SlowStartInitial, s.OverloadFactor, s.OverloadWindow = 18*second, 0.13, 3, 3*second
			s.Classes[0].LatencyObjective, s.Classes[1].LatencyObjective, s.Classes[2].LatencyObjective = 300_000, 200_000, 1_200_000
			s.Classes[2].Deadline = 25 * second
		}},
	{name: "steep", works: []float64{100_000, 150_000, 1_500_000}, shares: []float64{0.5, 0.3, 0.2},
		hinted: true, cores: 4, slots: 4, set: func(s *Settings) {
			s.SlowStart, s.SlowStartInitial, s.OverloadFactor, s.OverloadWindow = 12*second, 0.13, 4, 2*second
		}},
	{name: "big", works: []float64{200_000, 150_000, 250_000}, shares: []float64{0.5, 0.3, 0.2},
		hinted: true, cores: 20, slots: 20, set: func(s *Settings) {
			s.SlowStart, s.SlowStartInitial, s.OverloadFactor, s.OverloadWindow = 8.3*second, 0.3, 4, 2*second
		}},
}

func (s *coldSite) mean() (mean float64) {
	for k, work := range s.works {
		mean += work * s.shares[k]
	}
	return mean
}

// coldCase is a play: who is there, what starts cold, and what goes wrong meanwhile.
type coldCase struct {
	site        *coldSite
	dispatchers int
	balancers   int // as the settings say; 0: as many as there are
	workers     int
	cold        int     // the first ones of zone 0 of fleetList; 0: all of that zone, -1: all
	load        float64 // of the capacity of the warm fleet
	late        Micros  // the latest that a start is told
	again       float64 // share of the dispatchers that restart within the ramp
	twice       bool    // the workers start once more, 3 s later
	seed        uint64
}

// coldServer is a worker as it is, not as anybody knows it.
type coldServer struct {
	entry  WorkerEntry
	cold   bool
	starts []Micros
	busy   float64
	queue  []*coldRun
	sent   []coldSend
}

type coldRun struct {
	by      int
	job     JobID
	attempt int
	at      *coldServer
	work    float64
	slots   float64
	ends    Micros // 0: it waits
	over    bool
}

type coldSend struct {
	at   Micros
	work float64
	told bool // of the start that is the latest by then
}

type coldJob struct {
	work, slots float64
}

// coldSeen is what a play showed. Both parts are of what the rule allows in a window.
type coldSeen struct {
	told  float64 // the most that those who had been told sent
	all   float64 // the most that all sent, where over two thirds came from those
	used  float64 // of the capacity of the cold workers, from the last word of the start on
	sends int
}

const coldTick, coldBefore, coldLength = Micros(second / 50), Micros(3 * second), Micros(12 * second)

func (c *coldCase) String() string {
	cold := fmt.Sprint(c.cold, " of a zone")
	switch c.cold {
	case 0:
		cold = "a zone"
	case -1:
		cold = "all"
	}
	return fmt.Sprintf("%s, %d dispatchers (%d said), %d workers, %s cold, load %v, told within %v ms, "+
		"%v restart, twice %v", c.site.name, c.dispatchers, c.balancers, c.workers, cold, c.load,
		c.late/1000, c.again, c.twice)
}

func (s *coldSite) warmth(set *Settings, since Micros) float64 {
	return min(1, set.SlowStartInitial+(1-set.SlowStartInitial)*float64(max(0, since))/float64(set.SlowStart))
}

// play runs a case.
func (c *coldCase) play(t *testing.T) coldSeen {
	site, chance := c.site, random(c.seed*7919)
	change := func(s *Settings) {
		blind(s)
		site.set(s)
		s.Dispatchers = max(c.balancers, 1)
		if c.balancers == 0 {
			s.Dispatchers = c.dispatchers
		}
		s.Tenants = nil
	}
	list := fleetList(c.workers)
	servers := map[WorkerID]*coldServer{}
	var order []*coldServer
	n := 0
	for _, e := range list {
		w := &coldServer{entry: e}
		if c.cold < 0 || e.Zone == 0 && (c.cold == 0 || n < c.cold) {
			w.cold = true
			n++
		}
		servers[e.Worker], order = w, append(order, w)
	}
	// Lists are stale in ways of their own: some workers are missing, some are long gone.
	lists := make([][]WorkerEntry, c.dispatchers)
	for i := range lists {
		for _, e := range list {
			if servers[e.Worker].cold || chance.chance() > 0.15 {
				lists[i] = append(lists[i], e)
			}
		}
		for range int(chance.chance() * 0.2 * float64(c.workers)) {
			lists[i] = append(lists[i], WorkerEntry{Worker: WorkerID(chance.chance() * (1 << 31)), Status: Ready,
				Zone: int(chance.chance() * 2), Kind: int(chance.chance() * 2)})
		}
	}
	all := make([]*bench, c.dispatchers)
	told, when := make([]int, c.dispatchers), make([]Micros, c.dispatchers)
	again, rate := make([]Micros, c.dispatchers), make([]float64, c.dispatchers)
	begin, sum := Micros(100*second+coldBefore), 0.0
	for i := range all {
		all[i] = member(t, c.dispatchers, i, lists[i], i%2, change)
		all[i].d.set.Dispatchers = max(1, all[i].d.set.Dispatchers)
		for _, e := range list {
			if all[i].d.workers[e.Worker] != nil {
				all[i].slots(e.Worker, int(site.slots))
			}
		}
		rate[i] = 1
		if chance.chance() < 0.15 {
			rate[i] = 5
		}
		sum += rate[i]
		when[i] = begin + Micros(chance.chance()*float64(c.late))
		if chance.chance() < c.again {
			again[i] = begin + Micros(chance.chance()*float64(coldLength-coldBefore))
		}
	}
	begun := begin
	total := c.load * float64(c.workers) * site.cores / site.mean() * second // requests a second
	jobs := map[JobID]coldJob{}
	var runs []*coldRun
	seen := coldSeen{}
	served, capacity := 0.0, 0.0
	var take func(i int, actions []Action, now Micros)
	end := func(r *coldRun, o Outcome, now Micros) {
		if r.over {
			return
		}
		r.over = true
		if r.ends != 0 {
			r.at.busy -= r.slots
		}
		take(r.by, all[r.by].do(Event{Kind: AttemptEnded, Job: r.job, Attempt: r.attempt, Outcome: o,
			Final: o == OK}), now)
	}
	take = func(i int, actions []Action, now Micros) {
		for _, a := range actions {
			switch a.Kind {
			case Send:
				r := &coldRun{by: i, job: a.Job, attempt: a.Attempt, at: servers[a.Worker],
					work: jobs[a.Job].work, slots: jobs[a.Job].slots}
				if w := r.at; w == nil || w.cold && now < begun && now >= begun-second {
					end(r, ConnectFailed, now) // it is gone, or on its way back
					continue
				} else if w.cold && now >= begin {
					w.sent = append(w.sent, coldSend{now, r.work, told[i] == len(w.starts)})
					seen.sends++
				}
				r.at.queue = append(r.at.queue, r)
				runs = append(runs, r)
			case Cancel:
				for _, r := range runs {
					if r.by == i && r.job == a.Job && r.attempt == a.Attempt {
						end(r, Cancelled, now)
					}
				}
			}
		}
	}
	hear := func(i int, scope UpdateScope) {
		b := all[i]
		for k := range lists[i] {
			if w := servers[lists[i][k].Worker]; w != nil && w.cold {
				lists[i][k].Started = w.starts[len(w.starts)-1]
			}
		}
		told[i]++
		take(i, b.do(Event{Kind: EndpointsUpdated, Scope: scope, Workers: lists[i]}), b.now)
	}
	job := JobID(0)
	for now := Micros(100 * second); now < begin+coldLength-coldBefore; now += coldTick {
		if now == begun-second || now == begun { // down, and back
			for _, w := range order {
				if !w.cold {
					continue
				}
				if now == begun {
					w.starts = append(w.starts, now)
				}
				for _, r := range runs {
					if r.at == w {
						all[r.by].now = max(all[r.by].now, now)
						end(r, Reset, now)
					}
				}
				w.queue = nil
			}
			if now == begun && c.twice && begun == begin {
				begun = begin + 3*second + second
			}
		}
		if begun != begin && now == begin+3*second+second {
			for i := range when { // all hear of the second start, too
				when[i] = now + Micros(chance.chance()*float64(c.late))
			}
		}
		for i, b := range all {
			if again[i] != 0 && again[i] <= now {
				again[i] = 0
				for _, r := range runs {
					if r.by == i && !r.over { // its connections close: what ran is given up
						r.over = true
						if r.ends != 0 {
							r.at.busy -= r.slots
						}
					}
				}
				b.now = now
				b.d, _ = New(b.d.set, uint64(i)+c.seed<<16)
				b.do(Event{Kind: Started})
				b.do(Event{Kind: EndpointsUpdated, Scope: UpdateCached, Workers: lists[i]})
			}
			if when[i] != 0 && when[i] <= now {
				when[i] = 0
				b.now = now
				hear(i, UpdateFull)
			}
			take(i, b.pass(now-b.now), now)
			for more := rate[i] / sum * total * float64(coldTick) / second * burst(now-begin); more > 0; more-- {
				if chance.chance() >= more {
					continue
				}
				job++
				e := Event{Kind: JobArrived, Job: job, Slots: 1}
				for e.Class = 0; e.Class < 2 && chance.chance() > site.shares[e.Class]/(1-before(site.shares, e.Class)); {
					e.Class++
				}
				if e.Class > 0 && chance.chance() < site.wide {
					e.Slots = 2
				}
				work := site.works[e.Class] * (0.4 + 1.2*chance.chance())
				if site.hinted {
					e.Work = Micros(work)
				}
				e.Patience = b.d.set.Classes[e.Class].Deadline
				jobs[job] = coldJob{work, e.Slots}
				take(i, b.do(e), now)
			}
		}
		for _, r := range runs {
			if !r.over && r.ends != 0 && r.ends <= now {
				if r.at.cold && now >= begin+c.late {
					served += r.work
				}
				end(r, OK, now)
			}
		}
		for _, w := range order {
			speed := 1.0
			if w.cold && len(w.starts) > 0 {
				speed = site.warmth(&all[0].d.set, now-w.starts[len(w.starts)-1])
				if now >= begin+c.late {
					capacity += speed * site.cores * float64(coldTick)
				}
			}
			for len(w.queue) > 0 && (w.queue[0].over || w.busy+w.queue[0].slots <= site.slots) {
				r := w.queue[0]
				if w.queue = w.queue[1:]; r.over {
					continue
				}
				w.busy += r.slots
				r.ends = now + Micros(r.work/speed*max(1, w.busy/site.cores))
				take(r.by, all[r.by].do(Event{Kind: AttemptReported, Job: r.job, Attempt: r.attempt,
					Note: NoteStarted}), now)
			}
		}
		on := runs[:0]
		for _, r := range runs {
			if !r.over {
				on = append(on, r)
			}
		}
		runs = on
	}
	seen.used = served / max(1, capacity)
	for _, w := range order {
		c.windows(w, &all[0].d.set, &seen)
	}
	return seen
}

// burst is how much of the mean traffic comes: half as much again for a while in the ramp.
func burst(since Micros) float64 {
	if since >= second && since < 4*second {
		return 1.5
	}
	return 1
}

func before(shares []float64, class int) (sum float64) {
	for _, share := range shares[:class] {
		sum += share
	}
	return sum
}

// windows holds what a worker was sent against the rule, in each window from each start on.
func (c *coldCase) windows(w *coldServer, set *Settings, seen *coldSeen) {
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
			n := c.site.warmth(set, first.at-start) * c.site.cores * set.OverloadFactor * float64(set.OverloadWindow) /
				c.site.mean()
			limit := (n + 2*math.Sqrt(n) + 2) * c.site.mean()
			all, told := 0.0, 0.0
			for _, one := range w.sent[from:] {
				if one.at-first.at >= set.OverloadWindow || one.at >= until {
					break
				}
				if all += one.work; one.told {
					told += one.work
				}
				seen.told = max(seen.told, told/limit)
				if 3*told > 2*all {
					seen.all = max(seen.all, all/limit)
				}
			}
		}
	}
}

// sums plays each deployment at each size, and holds every play against the rule: at no moment
// have those who had been told sent more than it allows, nor all together where it is their doing.
func sums(t *testing.T, sites string, seeds int, plays []coldCase, sizes ...[2]int) {
	for s := range coldSites {
		if !strings.Contains(sites, coldSites[s].name) {
			continue
		}
		for _, size := range sizes {
			site := &coldSites[s]
			if site.slots > 10 && size != [2]int{30, 16} {
				continue // plays of so many requests take long
			}
			t.Run(fmt.Sprint(site.name, "/", size[0], "/", size[1]), func(t *testing.T) {
				t.Parallel()
				for i := range seeds * len(plays) {
					c := plays[i%len(plays)]
					c.site, c.dispatchers, c.workers, c.seed = site, size[0], size[1], c.seed+uint64(i+1)
					c.balancers *= size[0]
					seen := c.play(t)
					if seen.told > 1 || seen.all > 1 {
						t.Errorf("told ones sent %.2f of the limit, all %.2f: %v", seen.told, seen.all, &c)
					}
					if c.cold < 0 && seen.used < 0.1 {
						t.Errorf("%.2f of a cold fleet is used: %v", seen.used, &c)
					}
					t.Logf("told %.2f, all %.2f, used %.2f, %d sends: %v", seen.told, seen.all, seen.used,
						seen.sends, &c)
				}
			})
		}
	}
}

const mostSites, allSites = "even steep big", "even steep big wide"

// One worker, some, a zone and the whole fleet come back cold, under uneven traffic and a burst.
func TestColdWorkersKeepTheirLimitInSum(t *testing.T) {
	sums(t, allSites, 1, []coldCase{
		{cold: 1, load: 0.7, late: 2 * second},
		{cold: 3, load: 1.2, late: 2 * second, twice: true},
		{cold: 0, load: 1.2, late: 6 * second, again: 0.3},
		{cold: 0, load: 1.2, late: 2 * second, balancers: 2}, // as many again are said as are there
	}, [2]int{3, 10}, [2]int{9, 16}, [2]int{20, 16}, [2]int{30, 16}, [2]int{300, 24})
}

var fleetSizes = [][2]int{{3, 10}, {9, 16}, {20, 16}, {30, 16}, {30, 60}, {300, 100}}

// The whole fleet comes back cold and has too much to do: all of it waits for the budgets.
var allCold = []coldCase{{cold: -1, load: 1.2, late: 2 * second}}

func TestColdFleetKeepsItsLimitInSum(t *testing.T) { sums(t, mostSites, 2, allCold, fleetSizes...) }

// Where a few long requests bring most of the work, one too many is much.
func TestColdFleetOfFewLongRequestsKeepsItsLimit(t *testing.T) {
	sums(t, "wide", 2, allCold, fleetSizes...)
}

// The same while three in ten dispatchers restart: their budgets begin anew.
var restarting = []coldCase{{cold: -1, load: 1.2, again: 0.3}, {cold: -1, load: 1.2, again: 0.3, seed: 12},
	{cold: -1, load: 1.2, again: 0.3, seed: 21}}

func TestColdFleetKeepsItsLimitWhileDispatchersRestart(t *testing.T) {
	sums(t, mostSites, 1, restarting, fleetSizes...)
}

func TestColdFleetOfFewLongRequestsKeepsItsLimitWhileDispatchersRestart(t *testing.T) {
	sums(t, "wide", 1, restarting, fleetSizes...)
}
