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

// maxHistory is the greatest number of events that are recorded for the check of the history.
const maxHistory = 2_000_000

// randomStream is the random number stream of a run. The number keeps the run's random numbers independent of
// those of other packages' generators with the same seed.
const randomStream = 28

// run is the state of a call of Run.
type run struct {
	Options
	log        io.Writer
	startedAt  time.Time
	report     Report
	discovery  *discovery
	workers    *workers
	clients    *clients
	processes  []*testcluster.Process // process of each scheduler; nil until the process has started
	jobTraffic traffic                // bytes on the connections of clients and workers
	random     *rand.Rand
	// maxBaseLoad and meanBaseLoad are the maximum and the mean over the schedulers of the fraction of a core
	// that a scheduler takes for the jobs at Options.Rate alone.
	maxBaseLoad, meanBaseLoad float64

	mu      sync.Mutex
	history []history.Event
}

// Run starts the schedulers, runs the fault scenario that Options.Day names, and returns the report. It
// writes its progress to log. Before it returns it stops all processes that it has started. If the context
// ends before the scenario is over, Run returns an error.
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
		Cores: runtime.NumCPU(), LoadAtStart: machineLoad()}
	err := r.execute(ctx)
	r.report.ElapsedSeconds = time.Since(r.startedAt).Seconds()
	return r.report, err
}

func (r *run) logf(format string, args ...any) {
	// A failed write of progress does not end the run.
	_, _ = fmt.Fprintf(r.log, "%6.1f s  %s\n", time.Since(r.startedAt).Seconds(), fmt.Sprintf(format, args...))
}

// recordEvent records an event that a client or worker has observed, for the check by package history.
func (r *run) recordEvent(e history.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.history) < maxHistory {
		r.history = append(r.history, e)
	}
}

// execute starts workers, discovery and schedulers, runs the fault scenario that Options.Day names, checks
// the history, and stops everything that it has started.
func (r *run) execute(ctx context.Context) (err error) {
	folder, err := os.MkdirTemp("", "simfleet")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(folder) }() // a temporary folder that is not removed does no harm
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

// zoneNames returns the names of the zones: region1a, region1b, region2a and so on.
func (r *run) zoneNames() []string {
	zones := make([]string, r.Zones)
	for i := range zones {
		zones[i] = fmt.Sprintf("region%d%c", i/zonesPerRegion+1, 'a'+i%zonesPerRegion)
	}
	return zones
}

func sleep(ctx context.Context, d time.Duration) bool { return testcluster.Sleep(ctx, d) }

// machineLoad returns the machine's load average over one minute. It returns 0 on an error, as the value is
// only shown in the report.
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

// ownPeakMemoryMB returns the peak resident memory of this process. It returns 0 on an error, as the value is
// only shown in the report.
func ownPeakMemoryMB() float64 {
	raw, err := os.ReadFile("/proc/self/status")
	if err != nil {
		return 0
	}
	return testcluster.PeakMemoryMB(string(raw))
}
