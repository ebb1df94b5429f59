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
	readyTimeout      = 20 * time.Second
	pollInterval      = 50 * time.Millisecond
	idlePolls         = 6 // polls in a row in which all idle end an event's window
	idleCPU           = 2 * time.Millisecond
	stopTimeout       = 10 * time.Second
	outageDuration    = 3 * time.Second // of discovery; a region is cut off for as long
	cancellationGrace = time.Second     // for what is still to be withdrawn when all clients have their answers

	rolledWorkers = 410 // workers of a roll, of a fleet of rollOf
	rolledFleet   = 7200
	drainDuration = 600 * time.Millisecond
	// slack is what a busy machine may add to the times of the rules.
	slack = 1500 * time.Millisecond
	// maxHistory bounds what is kept for the rules.
	maxHistory = 2_000_000
)

var pathClients = []int{1, 8, 32, 128}

// run is one run.
type run struct {
	Options
	log        io.Writer
	startedAt  time.Time
	report     Report
	discovery  *discovery
	workers    *workers
	clients    *clients
	processes  []*testcluster.Process
	jobTraffic traffic // of clients and workers
	random     *rand.Rand
	// Of a core, what a scheduler takes with the jobs alone: the most of them, and the mean.
	maxBaseShare, meanBaseShare float64

	mu      sync.Mutex
	history []history.Event
}

func sleep(ctx context.Context, d time.Duration) bool { return testcluster.Sleep(ctx, d) }

// Run runs a day. It ends by itself, and ends the processes that it started, also when the context
// ends it early: then with an error.
func Run(ctx context.Context, o Options, log io.Writer) (Report, error) {
	if err := o.Validate(); err != nil {
		return Report{}, err
	}
	if err := o.checkProgram(); err != nil {
		return Report{}, err
	}
	r := &run{Options: o, log: log, startedAt: time.Now(), random: rand.New(rand.NewPCG(o.Seed, 28))}
	r.report = Report{Schedulers: o.Schedulers, Fleet: o.fleetSize(), Workers: o.Workers, Zones: o.Zones,
		Rate: o.Rate, For: o.Duration.Seconds(), Seed: o.Seed, Day: o.Day, Cores: cores(), Load: machineLoad()}
	err := r.execute(ctx)
	r.report.ElapsedSeconds = time.Since(r.startedAt).Seconds()
	return r.report, err
}

func (r *run) logf(format string, args ...any) {
	fmt.Fprintf(r.log, "%6.1f s  %s\n", time.Since(r.startedAt).Seconds(), fmt.Sprintf(format, args...))
}

func (r *run) recordEvent(e history.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.history) < maxHistory {
		r.history = append(r.history, e)
	}
}

// execute starts all, lets the day happen and ends all.
func (r *run) execute(ctx context.Context) (err error) {
	folder, err := os.MkdirTemp("", "hollow")
	if err != nil {
		return err
	}
	defer os.RemoveAll(folder)
	if r.workers, err = newWorkers(r.Workers, r.Schedulers, r.recordEvent, &r.jobTraffic); err != nil {
		return err
	}
	defer r.workers.close()
	zones := make([]string, r.Zones)
	for i := range zones {
		zones[i] = fmt.Sprintf("region%d%c", i/2+1, 'a'+i%2)
	}
	if r.discovery, err = newDiscovery(r.Schedulers, r.workers.endpoints(zones)); err != nil {
		return err
	}
	defer r.discovery.close()
	defer func() {
		for _, p := range r.processes {
			if p != nil {
				p.Kill()
			}
		}
	}()
	if err := r.startSchedulers(ctx, folder, zones); err != nil {
		return err
	}
	defer r.clients.close()
	if err := r.runDay(ctx); err != nil {
		return err
	}
	return r.finish(ctx)
}

// startSchedulers starts all schedulers at once.
func (r *run) startSchedulers(ctx context.Context, folder string, zones []string) error {
	r.processes = make([]*testcluster.Process, r.Schedulers)
	ready := make([]float64, r.Schedulers)
	errs := make([]error, r.Schedulers)
	m := r.snapshot()
	var starts sync.WaitGroup
	for i := range r.processes {
		starts.Go(func() {
			began := time.Now()
			p, err := testcluster.StartConfig(r.Program, folder, testcluster.Config{Name: "n" + strconv.Itoa(i),
				Listen: "127.0.0.1:0", Discovery: r.discovery.addr(i), Schedulers: r.fleetSize(),
				// The real ones are spread over the fleet's numbers, and over the zones.
				Index: i * r.fleetSize() / r.Schedulers, Zone: i % len(zones), Zones: zones,
				MemoryMB: schedulerMemoryMB, MaxSockets: schedulerSockets, KnownEndpoints: []fakes.Endpoint{}})
			if errs[i] = err; err != nil {
				return
			}
			r.processes[i] = p
			for !isReady(p.Addr) {
				if ctx.Err() != nil || time.Since(began) > readyTimeout {
					errs[i] = fmt.Errorf("scheduler %d is not ready", i)
					return
				}
				sleep(ctx, 5*time.Millisecond)
			}
			ready[i] = time.Since(began).Seconds()
		})
	}
	starts.Wait()
	if err := errors.Join(errs...); err != nil {
		return err
	}
	var addrs []string
	for i, p := range r.processes {
		addrs = append(addrs, p.Addr)
		r.workers.mu.Lock()
		r.workers.addrs[i] = p.Addr
		r.workers.mu.Unlock()
	}
	r.clients = newClients(addrs, r.recordEvent, &r.jobTraffic)
	e := Event{Name: "start", Entries: r.Workers, RecoverySeconds: spread(ready)}
	return r.waitUntilIdle(ctx, &e, m)
}

// snapshot is a point in time, with the accounts as they stood.
type snapshot struct {
	at                 time.Time
	cpu                []time.Duration
	listIn, listOut    []int64 // of the list, by scheduler
	jobIn, jobOut      int64
	fullLists, watches int64
	ended, served      int64
}

func (r *run) snapshot() (m snapshot) {
	m.at = time.Now()
	m.cpu, _ = r.cpuTimes()
	m.listIn, m.listOut = make([]int64, r.Schedulers), make([]int64, r.Schedulers)
	for i := range m.listIn {
		m.listIn[i], m.listOut[i] = r.discovery.traffic[i].in.Load(), r.discovery.traffic[i].out.Load()
	}
	m.jobIn, m.jobOut = r.jobTraffic.in.Load(), r.jobTraffic.out.Load()
	m.fullLists, m.watches = r.discovery.fullLists.Load(), r.discovery.watchesOpened.Load()
	if c := r.clients; c != nil {
		m.ended, m.served = c.served.Load()+c.refused.Load()+c.failed.Load(), c.served.Load()
	}
	return m
}

// cpuTimes is the processor time of each scheduler.
func (r *run) cpuTimes() (took []time.Duration, err error) {
	took = make([]time.Duration, r.Schedulers)
	for i, p := range r.processes {
		if p == nil {
			continue // not started yet
		}
		if took[i], err = p.CPUTime(); err != nil {
			return took, fmt.Errorf("scheduler %d has ended: %w", i, err)
		}
	}
	return took, nil
}

// waitUntilIdle waits until all schedulers idle again, but for the jobs at the rate, and books the event.
func (r *run) waitUntilIdle(ctx context.Context, e *Event, m snapshot) error {
	idle := 0
	allowed := idleCPU + time.Duration(1.5*r.maxBaseShare*float64(pollInterval))
	end := time.Now().Add(settleTimeout)
	before, err := r.cpuTimes()
	for idle < idlePolls && time.Now().Before(end) {
		if err != nil {
			return err
		}
		if !sleep(ctx, pollInterval) {
			return ctx.Err()
		}
		var now []time.Duration
		now, err = r.cpuTimes()
		idle++
		for i := range now {
			if now[i]-before[i] > allowed {
				idle = 0
			}
		}
		before = now
	}
	e.Settled = idle >= idlePolls
	return r.addEvent(e, m)
}

// addEvent fills in what an event took since a mark, and keeps it.
func (r *run) addEvent(e *Event, m snapshot) error {
	now := r.snapshot()
	if _, err := r.cpuTimes(); err != nil {
		return err
	}
	e.Window = now.at.Sub(m.at).Seconds()
	took, in, out := make([]float64, r.Schedulers), make([]float64, r.Schedulers), make([]float64, r.Schedulers)
	for i := range took {
		took[i] = (now.cpu[i] - m.cpu[i]).Seconds()
		in[i], out[i] = float64(now.listIn[i]-m.listIn[i]), float64(now.listOut[i]-m.listOut[i])
	}
	e.CPUSeconds, e.ListBytes, e.RequestBytes = spread(took), spread(in), spread(out)
	e.CoreShare = e.CPUSeconds.Mean / e.Window
	e.NetCPUSeconds = e.CPUSeconds.Mean - r.meanBaseShare*e.Window
	e.FullLists, e.Watches = int(now.fullLists-m.fullLists), int(now.watches-m.watches)
	e.Jobs, e.Served = int(now.ended-m.ended), int(now.served-m.served)
	e.JobBytesIn, e.JobBytesOut = now.jobIn-m.jobIn, now.jobOut-m.jobOut
	for _, p := range r.processes {
		use, err := p.Usage()
		if err != nil {
			return err
		}
		e.PeakMemoryMB = max(e.PeakMemoryMB, use.PeakMemoryMB)
		r.report.MaxDescriptors = max(r.report.MaxDescriptors, use.Descriptors)
		r.report.MaxThreads = max(r.report.MaxThreads, use.Threads)
	}
	r.report.Events = append(r.report.Events, *e)
	r.logf("%-26s %6.3f s of processor each (%.3f to %.3f) in %.1f s, %.1f MB at most, %.0f bytes of list each",
		e.Name, e.CPUSeconds.Mean, e.CPUSeconds.Min, e.CPUSeconds.Max, e.Window, e.PeakMemoryMB, e.ListBytes.Mean)
	return nil
}

// awaitRecovery hands a job in at each scheduler until it serves one.
func (r *run) awaitRecovery(ctx context.Context) Spread {
	took := make([]float64, r.Schedulers)
	began := time.Now()
	var all sync.WaitGroup
	for k := range took {
		all.Go(func() {
			for !r.clients.submit(k, "probe", 0) && time.Since(began) < settleTimeout && ctx.Err() == nil {
				sleep(ctx, 20*time.Millisecond)
			}
			took[k] = time.Since(began).Seconds()
		})
	}
	all.Wait()
	return spread(took)
}

// measureChange is an event that ends when the schedulers idle again: what discovery tells at once.
func (r *run) measureChange(ctx context.Context, name string, tell func() (words, entries int)) error {
	m := r.snapshot()
	e := Event{Name: name}
	e.Updates, e.Entries = tell()
	e.RecoverySeconds = r.awaitRecovery(ctx)
	return r.waitUntilIdle(ctx, &e, m)
}

// measureWork is an event that lasts as long as its work.
func (r *run) measureWork(ctx context.Context, e Event, work func(*Event)) error {
	m := r.snapshot()
	work(&e)
	if ctx.Err() != nil {
		return ctx.Err()
	}
	e.Settled = true
	return r.addEvent(&e, m)
}

// workersInZones are the workers of the zones from one to before another.
func (r *run) workersInZones(from, to int) (places []int) {
	for i := range r.Workers {
		if z := i * r.Zones / r.Workers; z >= from && z < to {
			places = append(places, i)
		}
	}
	return places
}

// removeWorkers and back tell of workers that were lost and have been started anew, cold.
func (r *run) removeWorkers(places []int, one bool) int {
	r.workers.powerOff(places)
	return r.setState(places, "gone", 0, history.EndpointChanged, one)
}

func (r *run) restoreWorkers(places []int, one bool) int {
	r.workers.powerOn(places)
	return r.setState(places, "ready", time.Now().UnixMilli(), history.WorkerReady, one)
}

func (r *run) setState(places []int, state string, boot int64, kind history.Kind, one bool) int {
	for _, p := range places {
		r.recordEvent(history.Event{At: time.Now(), Kind: kind, Actor: r.workers.uids[p]})
	}
	return r.discovery.publish(places, func(l *fakes.Endpoint) {
		if l.State = state; boot != 0 {
			l.BootMs = boot
		}
	}, one)
}

// runDay lets the events of the day happen, one after another.
func (r *run) runDay(ctx context.Context) error {
	jobs, stop := context.WithCancel(ctx)
	var pace sync.WaitGroup
	pace.Go(func() { r.clients.submitAtRate(jobs, r.Rate, r.Seed) })
	defer pace.Wait()
	defer stop()
	timed := map[string]int{"calm": 3, "roll": 2, "storm": 4}[r.Day] // spells
	span := r.Duration / time.Duration(max(timed, 1))
	type step func(context.Context, time.Duration) error
	steps := map[string][]step{
		"calm":      {r.measureBaseline, r.singleChanges},
		"zone":      {r.measureBaseline, r.zoneOutage},
		"region":    {r.measureBaseline, r.regionOutage},
		"roll":      {r.measureBaseline, r.rollingRestart},
		"discovery": {r.measureBaseline, r.discoveryRestart},
		"storm": {r.measureBaseline, r.singleChanges, r.zoneOutage, r.regionOutage, r.discoveryRestart,
			r.rollingRestart},
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
	r.maxBaseShare, r.meanBaseShare = 0, 0 // no jobs at the rate any more
	return r.jobPath(ctx, span)
}

// measureBaseline is what the jobs take alone.
func (r *run) measureBaseline(ctx context.Context, span time.Duration) error {
	err := r.measureWork(ctx, Event{Name: "jobs at the rate alone"}, func(*Event) { sleep(ctx, span) })
	if err == nil {
		e := &r.report.Events[len(r.report.Events)-1]
		r.maxBaseShare, r.meanBaseShare = e.CPUSeconds.Max/e.Window, e.CoreShare
	}
	return err
}

// singleChanges tells of one entry a second: a worker drains, and the next time it is back, started anew.
func (r *run) singleChanges(ctx context.Context, span time.Duration) error {
	return r.measureWork(ctx, Event{Name: "one changed entry a second"}, func(e *Event) {
		place, drains := 0, false
		tick := time.NewTicker(time.Second)
		defer tick.Stop()
		for end := time.Now().Add(span); time.Now().Before(end); {
			if drains = !drains; drains {
				place = r.random.IntN(r.Workers)
				e.Updates += r.setState([]int{place}, "draining", 0, history.EndpointChanged, true)
			} else {
				e.Updates += r.restoreWorkers([]int{place}, true)
			}
			e.Entries++
			select {
			case <-ctx.Done():
				return
			case <-tick.C:
			}
		}
		if drains {
			e.Updates += r.restoreWorkers([]int{place}, true)
			e.Entries++
		}
	})
}

// zoneOutage loses a zone and has it back cold, told in every way.
func (r *run) zoneOutage(ctx context.Context, _ time.Duration) error {
	z := r.random.IntN(r.Zones)
	zone := r.workersInZones(z, z+1)
	n := len(zone)
	for _, one := range []bool{false, true} {
		how := "a line each"
		if one {
			how = "in one line"
		}
		if err := r.measureChange(ctx, "zone lost, "+how, func() (int, int) {
			return r.removeWorkers(zone, one),
				n
		}); err != nil {
			return err
		}
		err := r.measureChange(ctx, "zone back cold, "+how, func() (int, int) {
			return r.restoreWorkers(zone,
				one), n
		})
		if err != nil {
			return err
		}
	}
	return r.measureChange(ctx, "zone lost and back cold, both ways at once", func() (int, int) {
		return r.removeWorkers(zone, false) + r.removeWorkers(zone, true) + r.restoreWorkers(zone, false), 3 * n
	})
}

// regionOutage cuts a region off, which is two zones, and has it back.
func (r *run) regionOutage(ctx context.Context, _ time.Duration) error {
	first := 2 * r.random.IntN((r.Zones+1)/2)
	region := r.workersInZones(first, min(first+2, r.Zones))
	n := len(region)
	if n == r.Workers {
		return nil // there is nothing left to look at
	}
	if err := r.measureChange(ctx, "region cut off, a line each", func() (int, int) {
		return r.removeWorkers(region, false), n
	}); err != nil {
		return err
	}
	if !sleep(ctx, outageDuration) {
		return ctx.Err()
	}
	return r.measureChange(ctx, "region back, a line each", func() (int, int) {
		return r.restoreWorkers(region,
			false), n
	})
}

// discoveryRestart takes discovery down for a while. One entry changes meanwhile, and what had changed since
// which version is forgotten, so all ask for the whole list.
func (r *run) discoveryRestart(ctx context.Context, _ time.Duration) error {
	m := r.snapshot()
	e := Event{Name: "discovery restarted", Entries: r.Workers}
	r.discovery.close()
	sleep(ctx, outageDuration)
	r.restoreWorkers([]int{r.random.IntN(r.Workers)}, true)
	r.discovery.dropHistory()
	if err := r.discovery.open(); err != nil {
		return err
	}
	e.RecoverySeconds = r.awaitRecovery(ctx)
	for end := time.Now().Add(readyTimeout); r.discovery.watchesOpened.Load()-m.watches < int64(r.Schedulers); {
		if time.Now().After(end) {
			return fmt.Errorf("%d of %d schedulers watch again", r.discovery.watchesOpened.Load()-m.watches,
				r.Schedulers)
		}
		if !sleep(ctx, pollInterval) {
			return ctx.Err()
		}
	}
	return r.waitUntilIdle(ctx, &e, m)
}

// rollingRestart restarts 410 workers of 7,200, evenly over the span: each drains, and is back cold.
func (r *run) rollingRestart(ctx context.Context, span time.Duration) error {
	n := max(min(r.Workers*rolledWorkers/rolledFleet, r.Workers/2), 1)
	m, e := r.snapshot(), Event{Name: fmt.Sprintf("roll of %d", n)}
	var drained []int
	for i, place := range r.random.Perm(r.Workers)[:n] {
		if !sleep(ctx, time.Until(m.at.Add(span*time.Duration(i)/time.Duration(n)))) {
			return ctx.Err()
		}
		e.Updates += r.setState([]int{place}, "draining", 0, history.EndpointChanged, true)
		drained = append(drained, place)
		if late := int(drainDuration * time.Duration(n) / span); len(drained) > late {
			e.Updates += r.restoreWorkers(drained[:1], true)
			drained = drained[1:]
		}
	}
	sleep(ctx, drainDuration)
	e.Updates += r.restoreWorkers(drained, false)
	e.Entries = e.Updates
	e.RecoverySeconds = r.awaitRecovery(ctx)
	return r.waitUntilIdle(ctx, &e, m)
}

// jobPath times jobs of no length with two callbacks each, at one scheduler while the others idle.
func (r *run) jobPath(ctx context.Context, span time.Duration) error {
	for _, n := range pathClients {
		before, err := r.processes[0].CPUTime()
		if err != nil {
			return err
		}
		err = r.measureWork(ctx, Event{Name: fmt.Sprintf("jobs of 0 s, clients: %d", n), Clients: n}, func(*Event) {
			until, stop := context.WithTimeout(ctx, span/time.Duration(len(pathClients)))
			defer stop()
			r.clients.saturate(until, 0, n)
		})
		if err != nil {
			return err
		}
		after, err := r.processes[0].CPUTime()
		if err != nil {
			return err
		}
		e := &r.report.Events[len(r.report.Events)-1]
		if e.Served > 0 {
			e.CPUPerJob = Microseconds(float64((after - before).Microseconds()) / float64(e.Jobs))
			r.logf("%26s %.0f us of processor a job, %d jobs", "", float64(e.CPUPerJob), e.Jobs)
		}
	}
	return nil
}

// finish waits for what is still out, reads the last accounts, ends the schedulers and checks the rules.
func (r *run) finish(ctx context.Context) error {
	if !sleep(ctx, cancellationGrace) {
		return ctx.Err()
	}
	var took, ticks, memory []float64
	for _, p := range r.processes {
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
		spread(memory), ownPeakMemoryMB()
	c := r.clients
	rep.Jobs, rep.Served, rep.Refused = int(c.jobs.Load()), int(c.served.Load()), int(c.refused.Load())
	rep.Failed, rep.Skipped, rep.Errors = int(c.failed.Load()), int(c.skipped.Load()), c.errors
	var ends sync.WaitGroup
	errs := make([]error, len(r.processes))
	for i, p := range r.processes {
		ends.Go(func() { errs[i] = p.Stop(time.Now().Add(stopTimeout)) })
	}
	ends.Wait()
	err := errors.Join(append(errs, r.checkRules())...)
	if len(rep.Violations) > 0 || err != nil {
		for i, p := range r.processes {
			for _, line := range p.Log() {
				r.logf("scheduler %d: %s", i, line)
			}
		}
	}
	r.processes = nil
	return err
}

// checkRules holds what clients and workers saw against the rules.
func (r *run) checkRules() error {
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
	if len(r.history) == maxHistory {
		return fmt.Errorf("over %d events: the rest was not checked", maxHistory)
	}
	return nil
}

// ownPeakMemoryMB is the most memory that this process has taken.
func ownPeakMemoryMB() (mb float64) {
	raw, err := os.ReadFile("/proc/self/status")
	if err == nil {
		mb = testcluster.PeakMemoryMB(string(raw))
	}
	return mb
}
