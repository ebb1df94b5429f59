package simfleet

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"time"

	"dahliaford/internal/fakes"
	"dahliaford/internal/history"
	"dahliaford/internal/testcluster"
)

const (
	readyWithin = 20 * time.Second
	pollEvery   = 50 * time.Millisecond
	idleFor     = 6 // polls in a row in which all idle end an event's window
	idleTakes   = 2 * time.Millisecond
	endWithin   = 10 * time.Second
	downFor     = 3 * time.Second // of discovery; a region is cut off for as long
	lastWords   = time.Second     // for what is still to be withdrawn when all clients have their answers

	rolled     = 410 // workers of a roll, of a fleet of rollOf
	rollOf     = 7200
	drainedFor = 600 * time.Millisecond
	// slack is what a busy machine may add to the times of the rules.
	slack = 1500 * time.Millisecond
	// mostHistory bounds what is kept for the rules.
	mostHistory = 2_000_000
)

var pathClients = []int{1, 8, 32, 128}

// run is one run.
type run struct {
	Options
	log     io.Writer
	began   time.Time
	report  Report
	list    *discovery
	workers *workers
	clients *clients
	all     []*testcluster.Process
	jobs    traffic // of clients and workers
	random  *rand.Rand
	// Of a core, what a scheduler takes with the jobs alone: the most of them, and the mean.
	base, meanBase float64

	mu      sync.Mutex
	history []history.Event
}

func rest(ctx context.Context, d time.Duration) bool { return testcluster.Sleep(ctx, d) }

// Run runs a day. It ends by itself, and ends the processes that it started, also when the context
// ends it early: then with an error.
func Run(ctx context.Context, o Options, log io.Writer) (Report, error) {
	if err := o.Validate(); err != nil {
		return Report{}, err
	}
	if err := o.there(); err != nil {
		return Report{}, err
	}
	r := &run{Options: o, log: log, began: time.Now(), random: rand.New(rand.NewPCG(o.Seed, 28))}
	r.report = Report{Schedulers: o.Schedulers, Fleet: o.fleet(), Workers: o.Workers, Zones: o.Zones,
		Rate: o.Rate, For: o.Duration.Seconds(), Seed: o.Seed, Day: o.Day, Cores: cores(), Load: machineLoad()}
	err := r.live(ctx)
	r.report.ElapsedSeconds = time.Since(r.began).Seconds()
	return r.report, err
}

func (r *run) say(format string, args ...any) {
	fmt.Fprintf(r.log, "%6.1f s  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

func (r *run) saw(e history.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.history) < mostHistory {
		r.history = append(r.history, e)
	}
}

// live starts all, lets the day happen and ends all.
func (r *run) live(ctx context.Context) (err error) {
	folder, err := os.MkdirTemp("", "hollow")
	if err != nil {
		return err
	}
	defer os.RemoveAll(folder)
	if r.workers, err = newWorkers(r.Workers, r.Schedulers, r.saw, &r.jobs); err != nil {
		return err
	}
	defer r.workers.close()
	zones := make([]string, r.Zones)
	for i := range zones {
		zones[i] = fmt.Sprintf("region%d%c", i/2+1, 'a'+i%2)
	}
	if r.list, err = newDiscovery(r.Schedulers, r.workers.entries(zones)); err != nil {
		return err
	}
	defer r.list.close()
	defer func() {
		for _, p := range r.all {
			if p != nil {
				p.Kill()
			}
		}
	}()
	if err := r.start(ctx, folder, zones); err != nil {
		return err
	}
	defer r.clients.close()
	if err := r.day(ctx); err != nil {
		return err
	}
	return r.end(ctx)
}

// start starts all schedulers at once.
func (r *run) start(ctx context.Context, folder string, zones []string) error {
	r.all = make([]*testcluster.Process, r.Schedulers)
	ready := make([]float64, r.Schedulers)
	errs := make([]error, r.Schedulers)
	m := r.mark()
	var starts sync.WaitGroup
	for i := range r.all {
		starts.Go(func() {
			began := time.Now()
			p, err := testcluster.StartConfig(r.Program, folder, testcluster.Config{Name: "n" + strconv.Itoa(i),
				Listen: "127.0.0.1:0", Discovery: r.list.addr(i), Schedulers: r.fleet(),
				// The real ones are spread over the fleet's numbers, and over the zones.
				Index: i * r.fleet() / r.Schedulers, Zone: i % len(zones), Zones: zones,
				MemoryMB: memoryMB, MaxSockets: sockets, KnownEndpoints: []fakes.Endpoint{}})
			if errs[i] = err; err != nil {
				return
			}
			r.all[i] = p
			for !health(p.Addr) {
				if ctx.Err() != nil || time.Since(began) > readyWithin {
					errs[i] = fmt.Errorf("scheduler %d is not ready", i)
					return
				}
				rest(ctx, 5*time.Millisecond)
			}
			ready[i] = time.Since(began).Seconds()
		})
	}
	starts.Wait()
	if err := errors.Join(errs...); err != nil {
		return err
	}
	var addrs []string
	for i, p := range r.all {
		addrs = append(addrs, p.Addr)
		r.workers.mu.Lock()
		r.workers.addrs[i] = p.Addr
		r.workers.mu.Unlock()
	}
	r.clients = newClients(addrs, r.saw, &r.jobs)
	e := Event{Name: "start", Entries: r.Workers, RecoverySeconds: spread(ready)}
	return r.settle(ctx, &e, m)
}

// mark is a point in time, with the accounts as they stood.
type mark struct {
	at             time.Time
	took           []time.Duration
	in, out        []int64 // of the list, by scheduler
	jobIn, jobOut  int64
	wholes, opened int64
	jobs, served   int64
}

func (r *run) mark() (m mark) {
	m.at = time.Now()
	m.took, _ = r.took()
	m.in, m.out = make([]int64, r.Schedulers), make([]int64, r.Schedulers)
	for i := range m.in {
		m.in[i], m.out[i] = r.list.traffic[i].in.Load(), r.list.traffic[i].out.Load()
	}
	m.jobIn, m.jobOut = r.jobs.in.Load(), r.jobs.out.Load()
	m.wholes, m.opened = r.list.wholes.Load(), r.list.opened.Load()
	if c := r.clients; c != nil {
		m.jobs, m.served = c.served.Load()+c.refused.Load()+c.failed.Load(), c.served.Load()
	}
	return m
}

// took is the processor time of each scheduler.
func (r *run) took() (took []time.Duration, err error) {
	took = make([]time.Duration, r.Schedulers)
	for i, p := range r.all {
		if p == nil {
			continue // not started yet
		}
		if took[i], err = p.CPUTime(); err != nil {
			return took, fmt.Errorf("scheduler %d has ended: %w", i, err)
		}
	}
	return took, nil
}

// settle waits until all schedulers idle again, but for the jobs at the rate, and books the event.
func (r *run) settle(ctx context.Context, e *Event, m mark) error {
	idle := 0
	allowed := idleTakes + time.Duration(1.5*r.base*float64(pollEvery))
	end := time.Now().Add(settleWithin)
	before, err := r.took()
	for idle < idleFor && time.Now().Before(end) {
		if err != nil {
			return err
		}
		if !rest(ctx, pollEvery) {
			return ctx.Err()
		}
		var now []time.Duration
		now, err = r.took()
		idle++
		for i := range now {
			if now[i]-before[i] > allowed {
				idle = 0
			}
		}
		before = now
	}
	e.Settled = idle >= idleFor
	return r.book(e, m)
}

// book fills in what an event took since a mark, and keeps it.
func (r *run) book(e *Event, m mark) error {
	now := r.mark()
	if _, err := r.took(); err != nil {
		return err
	}
	e.Window = now.at.Sub(m.at).Seconds()
	took, in, out := make([]float64, r.Schedulers), make([]float64, r.Schedulers), make([]float64, r.Schedulers)
	for i := range took {
		took[i] = (now.took[i] - m.took[i]).Seconds()
		in[i], out[i] = float64(now.in[i]-m.in[i]), float64(now.out[i]-m.out[i])
	}
	e.CPUSeconds, e.ListBytes, e.RequestBytes = spread(took), spread(in), spread(out)
	e.CoreShare = e.CPUSeconds.Mean / e.Window
	e.NetCPUSeconds = e.CPUSeconds.Mean - r.meanBase*e.Window
	e.FullLists, e.Watches = int(now.wholes-m.wholes), int(now.opened-m.opened)
	e.Jobs, e.Served = int(now.jobs-m.jobs), int(now.served-m.served)
	e.JobBytesIn, e.JobBytesOut = now.jobIn-m.jobIn, now.jobOut-m.jobOut
	for _, p := range r.all {
		use, err := p.Usage()
		if err != nil {
			return err
		}
		e.PeakMemoryMB = max(e.PeakMemoryMB, use.PeakMemoryMB)
		r.report.MaxDescriptors = max(r.report.MaxDescriptors, use.Descriptors)
		r.report.MaxThreads = max(r.report.MaxThreads, use.Threads)
	}
	r.report.Events = append(r.report.Events, *e)
	r.say("%-26s %6.3f s of processor each (%.3f to %.3f) in %.1f s, %.1f MB at most, %.0f bytes of list each",
		e.Name, e.CPUSeconds.Mean, e.CPUSeconds.Min, e.CPUSeconds.Max, e.Window, e.PeakMemoryMB, e.ListBytes.Mean)
	return nil
}

// resume hands a job in at each scheduler until it serves one.
func (r *run) resume(ctx context.Context) Spread {
	took := make([]float64, r.Schedulers)
	began := time.Now()
	var all sync.WaitGroup
	for k := range took {
		all.Go(func() {
			for !r.clients.submit(k, "probe", 0) && time.Since(began) < settleWithin && ctx.Err() == nil {
				rest(ctx, 20*time.Millisecond)
			}
			took[k] = time.Since(began).Seconds()
		})
	}
	all.Wait()
	return spread(took)
}

// told is an event that ends when the schedulers idle again: what discovery tells at once.
func (r *run) told(ctx context.Context, name string, tell func() (words, entries int)) error {
	m := r.mark()
	e := Event{Name: name}
	e.Updates, e.Entries = tell()
	e.RecoverySeconds = r.resume(ctx)
	return r.settle(ctx, &e, m)
}

// spell is an event that lasts as long as its work.
func (r *run) spell(ctx context.Context, e Event, work func(*Event)) error {
	m := r.mark()
	work(&e)
	if ctx.Err() != nil {
		return ctx.Err()
	}
	e.Settled = true
	return r.book(&e, m)
}

// places are the workers of the zones from one to before another.
func (r *run) places(from, to int) (places []int) {
	for i := range r.Workers {
		if z := i * r.Zones / r.Workers; z >= from && z < to {
			places = append(places, i)
		}
	}
	return places
}

// gone and back tell of workers that were lost and have been started anew, cold.
func (r *run) gone(places []int, one bool) int {
	r.workers.lose(places)
	return r.state(places, "gone", 0, history.EndpointChanged, one)
}

func (r *run) back(places []int, one bool) int {
	r.workers.back(places)
	return r.state(places, "ready", time.Now().UnixMilli(), history.WorkerReady, one)
}

func (r *run) state(places []int, state string, boot int64, kind history.Kind, one bool) int {
	for _, p := range places {
		r.saw(history.Event{At: time.Now(), Kind: kind, Actor: r.workers.uids[p]})
	}
	return r.list.tell(places, func(l *fakes.Endpoint) {
		if l.State = state; boot != 0 {
			l.BootMs = boot
		}
	}, one)
}

// day lets the events of the day happen, one after another.
func (r *run) day(ctx context.Context) error {
	jobs, stop := context.WithCancel(ctx)
	var pace sync.WaitGroup
	pace.Go(func() { r.clients.pace(jobs, r.Rate, r.Seed) })
	defer pace.Wait()
	defer stop()
	timed := map[string]int{"calm": 3, "roll": 2, "storm": 4}[r.Day] // spells
	span := r.Duration / time.Duration(max(timed, 1))
	type step func(context.Context, time.Duration) error
	steps := map[string][]step{
		"calm":      {r.steady, r.changes},
		"zone":      {r.steady, r.zone},
		"region":    {r.steady, r.region},
		"roll":      {r.steady, r.roll},
		"discovery": {r.steady, r.restart},
		"storm":     {r.steady, r.changes, r.zone, r.region, r.restart, r.roll},
	}[r.Day]
	for _, does := range steps {
		if err := does(ctx, span); err != nil {
			return err
		}
	}
	if r.Day != "calm" && r.Day != "storm" {
		return nil
	}
	stop()
	pace.Wait()
	r.base, r.meanBase = 0, 0 // no jobs at the rate any more
	return r.path(ctx, span)
}

// steady is what the jobs take alone.
func (r *run) steady(ctx context.Context, span time.Duration) error {
	err := r.spell(ctx, Event{Name: "jobs at the rate alone"}, func(*Event) { rest(ctx, span) })
	if err == nil {
		e := &r.report.Events[len(r.report.Events)-1]
		r.base, r.meanBase = e.CPUSeconds.Max/e.Window, e.CoreShare
	}
	return err
}

// changes tells of one entry a second: a worker drains, and the next time it is back, started anew.
func (r *run) changes(ctx context.Context, span time.Duration) error {
	return r.spell(ctx, Event{Name: "one changed entry a second"}, func(e *Event) {
		place, drains := 0, false
		tick := time.NewTicker(time.Second)
		defer tick.Stop()
		for end := time.Now().Add(span); time.Now().Before(end); {
			if drains = !drains; drains {
				place = r.random.IntN(r.Workers)
				e.Updates += r.state([]int{place}, "draining", 0, history.EndpointChanged, true)
			} else {
				e.Updates += r.back([]int{place}, true)
			}
			e.Entries++
			select {
			case <-ctx.Done():
				return
			case <-tick.C:
			}
		}
		if drains {
			e.Updates += r.back([]int{place}, true)
			e.Entries++
		}
	})
}

// zone loses a zone and has it back cold, told in every way.
func (r *run) zone(ctx context.Context, _ time.Duration) error {
	z := r.random.IntN(r.Zones)
	zone := r.places(z, z+1)
	n := len(zone)
	for _, one := range []bool{false, true} {
		how := "a line each"
		if one {
			how = "in one line"
		}
		if err := r.told(ctx, "zone lost, "+how, func() (int, int) { return r.gone(zone, one), n }); err != nil {
			return err
		}
		err := r.told(ctx, "zone back cold, "+how, func() (int, int) { return r.back(zone, one), n })
		if err != nil {
			return err
		}
	}
	return r.told(ctx, "zone lost and back cold, both ways at once", func() (int, int) {
		return r.gone(zone, false) + r.gone(zone, true) + r.back(zone, false), 3 * n
	})
}

// region cuts a region off, which is two zones, and has it back.
func (r *run) region(ctx context.Context, _ time.Duration) error {
	first := 2 * r.random.IntN((r.Zones+1)/2)
	region := r.places(first, min(first+2, r.Zones))
	n := len(region)
	if n == r.Workers {
		return nil // there is nothing left to look at
	}
	if err := r.told(ctx, "region cut off, a line each", func() (int, int) {
		return r.gone(region, false), n
	}); err != nil {
		return err
	}
	if !rest(ctx, downFor) {
		return ctx.Err()
	}
	return r.told(ctx, "region back, a line each", func() (int, int) { return r.back(region, false), n })
}

// restart takes discovery down for a while. One entry changes meanwhile, and what had changed since
// which version is forgotten, so all ask for the whole list.
func (r *run) restart(ctx context.Context, _ time.Duration) error {
	m := r.mark()
	e := Event{Name: "discovery restarted", Entries: r.Workers}
	r.list.close()
	rest(ctx, downFor)
	r.back([]int{r.random.IntN(r.Workers)}, true)
	r.list.forget()
	if err := r.list.open(); err != nil {
		return err
	}
	e.RecoverySeconds = r.resume(ctx)
	for end := time.Now().Add(readyWithin); r.list.opened.Load()-m.opened < int64(r.Schedulers); {
		if time.Now().After(end) {
			return fmt.Errorf("%d of %d schedulers watch again", r.list.opened.Load()-m.opened, r.Schedulers)
		}
		if !rest(ctx, pollEvery) {
			return ctx.Err()
		}
	}
	return r.settle(ctx, &e, m)
}

// roll restarts 410 workers of 7,200, evenly over the span: each drains, and is back cold.
func (r *run) roll(ctx context.Context, span time.Duration) error {
	n := max(min(r.Workers*rolled/rollOf, r.Workers/2), 1)
	m, e := r.mark(), Event{Name: fmt.Sprintf("roll of %d", n)}
	var drained []int
	for i, place := range r.random.Perm(r.Workers)[:n] {
		if !rest(ctx, time.Until(m.at.Add(span*time.Duration(i)/time.Duration(n)))) {
			return ctx.Err()
		}
		e.Updates += r.state([]int{place}, "draining", 0, history.EndpointChanged, true)
		drained = append(drained, place)
		if late := int(drainedFor * time.Duration(n) / span); len(drained) > late {
			e.Updates += r.back(drained[:1], true)
			drained = drained[1:]
		}
	}
	rest(ctx, drainedFor)
	e.Updates += r.back(drained, false)
	e.Entries = e.Updates
	e.RecoverySeconds = r.resume(ctx)
	return r.settle(ctx, &e, m)
}

// path times jobs of no length with two callbacks each, at one scheduler while the others idle.
func (r *run) path(ctx context.Context, span time.Duration) error {
	for _, n := range pathClients {
		before, err := r.all[0].CPUTime()
		if err != nil {
			return err
		}
		err = r.spell(ctx, Event{Name: fmt.Sprintf("jobs of 0 s, clients: %d", n), Clients: n}, func(*Event) {
			until, stop := context.WithTimeout(ctx, span/time.Duration(len(pathClients)))
			defer stop()
			r.clients.busy(until, 0, n)
		})
		if err != nil {
			return err
		}
		after, err := r.all[0].CPUTime()
		if err != nil {
			return err
		}
		e := &r.report.Events[len(r.report.Events)-1]
		if e.Served > 0 {
			e.CPUPerJob = Microseconds(float64((after - before).Microseconds()) / float64(e.Jobs))
			r.say("%26s %.0f us of processor a job, %d jobs", "", float64(e.CPUPerJob), e.Jobs)
		}
	}
	return nil
}

// end waits for what is still out, reads the last accounts, ends the schedulers and checks the rules.
func (r *run) end(ctx context.Context) error {
	if !rest(ctx, lastWords) {
		return ctx.Err()
	}
	var took, ticks, memory []float64
	for _, p := range r.all {
		t, err := p.CPUTime()
		if err != nil {
			return err
		}
		s, err := p.CPUTicks()
		if err != nil {
			return err
		}
		use, err := p.Usage()
		if err != nil {
			return err
		}
		took, ticks, memory = append(took, t.Seconds()), append(ticks, s.Seconds()), append(memory,
			use.PeakMemoryMB)
	}
	rep := &r.report
	rep.CPUSeconds, rep.CPUTickSeconds, rep.PeakMemoryMB, rep.HarnessMB = spread(took), spread(ticks),
		spread(memory), ownMB()
	c := r.clients
	rep.Jobs, rep.Served, rep.Refused = int(c.jobs.Load()), int(c.served.Load()), int(c.refused.Load())
	rep.Failed, rep.Skipped, rep.Errors = int(c.failed.Load()), int(c.skipped.Load()), c.errors
	var ends sync.WaitGroup
	errs := make([]error, len(r.all))
	for i, p := range r.all {
		ends.Go(func() { errs[i] = p.Stop(time.Now().Add(endWithin)) })
	}
	ends.Wait()
	err := errors.Join(append(errs, r.check())...)
	if len(rep.Violations) > 0 || err != nil {
		for i, p := range r.all {
			for _, line := range p.Log() {
				r.say("scheduler %d: %s", i, line)
			}
		}
	}
	r.all = nil
	return err
}

// check holds what clients and workers saw against the rules.
func (r *run) check() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	rules := history.Rules{RackOf: map[string]string{}, Window: 10 * time.Second,
		DrainGrace: 550 * time.Millisecond, MaxAttempts: 4, Slack: slack, OrphanLimit: 3 * time.Second}
	for i, uid := range r.workers.uids {
		rules.RackOf[uid] = strconv.Itoa(i / 8)
	}
	r.report.CheckedEvents = len(r.history)
	for _, f := range history.Check(rules, r.history) {
		r.report.Violations = append(r.report.Violations, f.String())
	}
	if len(r.history) == mostHistory {
		return fmt.Errorf("over %d events: the rest was not checked", mostHistory)
	}
	return nil
}

// ownMB is the most memory that this process has taken.
func ownMB() (mb float64) {
	raw, err := os.ReadFile("/proc/self/status")
	if err == nil {
		mb = testcluster.PeakMemoryMB(string(raw))
	}
	return mb
}
