package testcluster

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"time"

	"dahliaford/internal/endpoints"
	"dahliaford/internal/fakes"
	"dahliaford/internal/history"
)

// Fleet is several schedulers, each with workers of its own, as callbacks go to whoever sent the job.
type Fleet struct {
	deployments []*deployment
	prefix      string

	mu           sync.Mutex
	jobByID      map[string]job    // of each id that came to a worker
	ran          map[string]bool   // by id and worker: an attempt that may have run
	postReadings map[string]int    // by name: how often it may have run
	cellByKey    map[string]string // where the key first ran; "" once it is counted in crossCell
	duplicates   int
	crossCell    int
	foreign      int // attempts at jobs that are not of this fleet's clients
}

// job is what a client submitted, whatever ids its attempts have.
type job struct {
	name          string // the body of a post-reading, the key of another
	isPostReading bool
}

// FleetOptions says how a fleet is started.
type FleetOptions struct {
	Program             string // path of the scheduler's program
	Folder              string // for the configurations
	Schedulers          int
	WorkersPerScheduler int // each is a cell of its own
	Seed                uint64
	// Faults lets the workers misbehave in every way that the protocol allows; without, they run jobs.
	Faults bool
}

// StartFleet starts a fleet.
func StartFleet(o FleetOptions) (f *Fleet, err error) {
	f = &Fleet{jobByID: map[string]job{}, ran: map[string]bool{}, postReadings: map[string]int{},
		cellByKey: map[string]string{}, prefix: strconv.FormatUint(rand.Uint64(), 36) + "/"}
	defer func() {
		if err != nil {
			f.Close()
		}
	}()
	for i := range o.Schedulers {
		var workers []endpoints.Endpoint
		for k := range o.WorkersPerScheduler {
			workers = append(workers, endpoints.Endpoint{UID: fmt.Sprintf("s-%d-%d", i, k), Cell: k})
		}
		d, err := startDeployment(deploymentOptions{program: o.Program, folder: o.Folder,
			name: fmt.Sprint("n", i), endpoints: workers, recorder: f.record,
			script: func(k int) scriptFor { return f.noteJobs(o.script(100*i + k)) }})
		if err != nil {
			return f, err
		}
		f.deployments = append(f.deployments, d)
	}
	if len(f.deployments) == 0 {
		return f, errors.New("a fleet without schedulers")
	}
	return f, nil
}

func (o *FleetOptions) script(worker int) scriptFor {
	if o.Faults {
		return faultyScript(o.Seed, worker)
	}
	return healthyScript(o.Seed, worker)
}

// noteJobs notes which job an id belongs to before the script runs it.
func (f *Fleet) noteJobs(script scriptFor) scriptFor {
	return func(j fakes.Job) fakes.Script {
		of := job{name: j.Key}
		if strings.HasPrefix(j.Target, "/"+postReading+"/") {
			of = job{name: string(j.Body), isPostReading: true}
		}
		f.mu.Lock()
		f.jobByID[j.ID] = of
		f.mu.Unlock()
		return script(j)
	}
}

// record counts what may have run. A worker is a cell of its own.
func (f *Fleet) record(e history.Event) {
	mayHaveRun := e.Kind == history.Started || e.Kind == history.Ended && e.MayHaveRun
	if !mayHaveRun {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	attempt := e.ID + " " + e.Actor
	if f.ran[attempt] {
		return
	}
	f.ran[attempt] = true
	of := f.jobByID[e.ID]
	if !strings.HasPrefix(of.name, f.prefix) {
		f.foreign++
		return
	}
	if of.isPostReading {
		f.postReadings[of.name]++
		if f.postReadings[of.name] == 2 {
			f.duplicates++
		}
		return
	}
	cell, known := f.cellByKey[of.name]
	if !known {
		f.cellByKey[of.name] = e.Actor
	} else if cell != e.Actor && cell != "" {
		f.crossCell++
		f.cellByKey[of.name] = ""
	}
}

// JobPrefix begins the names of this fleet's jobs: the body of a post-reading, the key of another. While a
// scheduler is away its port may be taken by a foreign one, whose jobs must not be counted as duplicates of
// this fleet's.
func (f *Fleet) JobPrefix() string { return f.prefix }

// RunCounts counts what the workers of a fleet saw.
type RunCounts struct {
	Foreign    int // attempts at jobs without the fleet's prefix
	Total      int // attempts that may have run
	Duplicates int // post-readings that may have run more than once
	CrossCell  int // keys that may have run in more than one cell
}

// RunCounts returns the counts up to now.
func (f *Fleet) RunCounts() RunCounts {
	f.mu.Lock()
	defer f.mu.Unlock()
	return RunCounts{Foreign: f.foreign, Total: len(f.ran), Duplicates: f.duplicates, CrossCell: f.crossCell}
}

// RunsOf is how many attempts at a post-reading with this body may have run.
func (f *Fleet) RunsOf(body string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.postReadings[body]
}

// Schedulers are the addresses of the schedulers.
func (f *Fleet) Schedulers() []string {
	var addrs []string
	for _, d := range f.deployments {
		addrs = append(addrs, d.Addr)
	}
	return addrs
}

// Kill kills the i-th scheduler.
func (f *Fleet) Kill(i int) { f.deployments[i].Kill() }

// Stop asks the i-th scheduler to shut down in order, and waits for that until a deadline.
func (f *Fleet) Stop(i int, deadline time.Time) error { return f.deployments[i].Stop(deadline) }

// Restart starts the i-th scheduler, which has exited, at the address that it had.
func (f *Fleet) Restart(i int) error { return f.deployments[i].restart() }

// Close stops everything.
func (f *Fleet) Close() {
	for _, d := range f.deployments {
		d.close()
	}
}
