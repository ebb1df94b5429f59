package simfleet

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"runtime"
	"sync"
	"time"

	"dahliaford/internal/history"
	"dahliaford/internal/testcluster"
)

// maxHistory bounds the events that are recorded for the check of the rules.
const maxHistory = 2_000_000

// randomStream separates the random numbers of a run from those of other packages with the same seed.
const randomStream = 28

// run is one run.
type run struct {
	Options
	log        io.Writer
	startedAt  time.Time
	report     Report
	discovery  *discovery
	workers    *workers
	clients    *clients
	processes  []*testcluster.Process // by scheduler; nil until it has started
	jobTraffic traffic                // of clients and workers
	random     *rand.Rand
	// maxBaseLoad and meanBaseLoad are the shares of a core that schedulers take for the jobs at the
	// rate alone: of the busiest one, and on average.
	maxBaseLoad, meanBaseLoad float64

	mu      sync.Mutex
	history []history.Event
}

// Run runs a day. It ends by itself, and stops the processes that it started, also when the context ends it
// early: then with an error. Progress goes to log.
func Run(ctx context.Context, o Options, log io.Writer) (Report, error) {
	if err := o.Validate(); err != nil {
		return Report{}, err
	}
	if err := o.checkProgram(); err != nil {
		return Report{}, err
	}
	r := &run{Options: o, log: log, startedAt: time.Now(), random: rand.New(rand.NewPCG(o.Seed, randomStream))}
	r.report = Report{Schedulers: o.Schedulers, Fleet: o.fleetSize(), Workers: o.Workers, Zones: o.Zones,
		Rate: o.Rate, DurationSeconds: o.Duration.Seconds(), Seed: o.Seed, Day: o.Day,
		Cores: runtime.NumCPU(), Load: machineLoad()}
	err := r.execute(ctx)
	r.report.ElapsedSeconds = time.Since(r.startedAt).Seconds()
	return r.report, err
}

func (r *run) logf(format string, args ...any) {
	// A run is not given up because its progress cannot be written.
	_, _ = fmt.Fprintf(r.log, "%6.1f s  %s\n", time.Since(r.startedAt).Seconds(), fmt.Sprintf(format, args...))
}

// recordEvent takes what clients and workers saw, for the check of the rules.
func (r *run) recordEvent(e history.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.history) < maxHistory {
		r.history = append(r.history, e)
	}
}

// execute starts everything, runs the day and stops everything.
func (r *run) execute(ctx context.Context) (err error) {
	folder, err := os.MkdirTemp("", "simfleet")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(folder) }() // a temporary folder that stays does no harm
	if r.workers, err = newWorkers(r.Workers, r.Schedulers, r.recordEvent, &r.jobTraffic); err != nil {
		return err
	}
	defer r.workers.close()
	zones := r.zoneNames()
	entries := r.workers.endpoints(zones)
	if r.discovery, err = newDiscovery(r.Schedulers, entries); err != nil {
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

// zoneNames are region1a, region1b, region2a and so on.
func (r *run) zoneNames() []string {
	zones := make([]string, r.Zones)
	for i := range zones {
		zones[i] = fmt.Sprintf("region%d%c", i/zonesPerRegion+1, 'a'+i%zonesPerRegion)
	}
	return zones
}

func sleep(ctx context.Context, d time.Duration) bool { return testcluster.Sleep(ctx, d) }

// machineLoad is the load average over one minute; 0 if it cannot be read, which only the report shows.
func machineLoad() (load float64) {
	raw, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return 0
	}
	if _, err := fmt.Sscan(string(raw), &load); err != nil {
		return 0
	}
	return load
}

// ownPeakMemoryMB is the peak resident memory of this process; 0 if it cannot be read, which only the
// report shows.
func ownPeakMemoryMB() float64 {
	raw, err := os.ReadFile("/proc/self/status")
	if err != nil {
		return 0
	}
	return testcluster.PeakMemoryMB(string(raw))
}
