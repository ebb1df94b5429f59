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

// Fleet is a group of schedulers that share no workers: a fake worker sends all its callbacks to a single
// address, so each scheduler has workers of its own.
type Fleet struct {
	deployments []*deployment
	jobPrefix   string

	mu              sync.Mutex
	jobByID         map[string]job  // job of each attempt that reached a worker, by the attempt's id
	ranAttempts     map[string]bool // attempts that may have run, by the attempt's id and the worker
	postReadingRuns map[string]int  // number of attempts at each post-reading that may have run, by job name
	// cellByKey holds, by idempotency key, the first worker that may have run a job with the key. Each worker is
	// the only worker of its cell. The value is "" once the key is counted in crossCell.
	cellByKey       map[string]string
	firstRuns       map[string]time.Time // time at which a job may first have run, by idempotency key
	duplicates      int                  // post-readings that may have run more than once
	crossCell       int                  // idempotency keys whose jobs may have run in more than one cell
	foreignAttempts int                  // attempts that may have run, of jobs whose name lacks jobPrefix
}

// job identifies a job that a client submitted. Retries by the client have other request ids, but the same
// job.
type job struct {
	name          string // body of a post-reading; idempotency key of any other job
	isPostReading bool
}

// FleetOptions are the parameters of StartFleet.
type FleetOptions struct {
	Program             string // path of the scheduler's executable
	Folder              string // folder for the configuration files
	Schedulers          int
	WorkersPerScheduler int // number of workers of each scheduler; each worker is the only one of its cell
	Seed                uint64
	// Faults makes the workers show every fault that the protocol allows; without Faults they run all jobs.
	Faults bool
}

// StartFleet starts the schedulers, each with its own discovery service and workers. After an error it stops
// what it has started.
func StartFleet(o FleetOptions) (f *Fleet, err error) {
	f = &Fleet{jobByID: map[string]job{}, ranAttempts: map[string]bool{}, postReadingRuns: map[string]int{},
		cellByKey: map[string]string{}, firstRuns: map[string]time.Time{},
		jobPrefix: strconv.FormatUint(rand.Uint64(), 36) + "/"}
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
			script: func(k int) scriptFor { return f.recordJobs(o.script(100*i + k)) }})
		if err != nil {
			return f, err
		}
		f.deployments = append(f.deployments, d)
	}
	if len(f.deployments) == 0 {
		return f, errors.New("fleet has no schedulers, want at least 1")
	}
	return f, nil
}

func (o *FleetOptions) script(worker int) scriptFor {
	if o.Faults {
		return faultyScript(o.Seed, worker)
	}
	return healthyScript(o.Seed, worker)
}

// recordJobs returns a function that records which job the id of an attempt belongs to and then returns the
// result of script.
func (f *Fleet) recordJobs(script scriptFor) scriptFor {
	return func(j fakes.Job) fakes.Script {
		submitted := job{name: j.Key}
		if strings.HasPrefix(j.Target, "/"+postReadingClass+"/") {
			submitted = job{name: string(j.Body), isPostReading: true}
		}
		f.mu.Lock()
		f.jobByID[j.ID] = submitted
		f.mu.Unlock()
		return script(j)
	}
}

// record counts the attempt of an event if the attempt may have run, and the jobs that may have run twice or
// in two cells. Each worker is the only worker of its cell, so the worker's UID, Event.Actor, stands for the
// cell.
func (f *Fleet) record(e history.Event) {
	mayHaveRun := e.Kind == history.Started || e.Kind == history.Ended && e.MayHaveRun
	if !mayHaveRun {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	attempt := e.ID + " " + e.Actor
	if f.ranAttempts[attempt] {
		return
	}
	f.ranAttempts[attempt] = true
	submitted := f.jobByID[e.ID]
	if !strings.HasPrefix(submitted.name, f.jobPrefix) {
		f.foreignAttempts++
		return
	}
	if submitted.isPostReading {
		f.postReadingRuns[submitted.name]++
		if f.postReadingRuns[submitted.name] == 2 {
			f.duplicates++
		}
		return
	}
	cell, known := f.cellByKey[submitted.name]
	if !known {
		f.cellByKey[submitted.name] = e.Actor
		f.firstRuns[submitted.name] = time.Now()
	} else if cell != e.Actor && cell != "" {
		f.crossCell++
		f.cellByKey[submitted.name] = ""
	}
}

// JobPrefix returns the prefix that a client has to give the names of this fleet's jobs: the body of a
// post-reading, the idempotency key of any other job. While a scheduler of this fleet is down, a scheduler of
// another test may take its port. The prefix keeps jobs of that test from being counted as duplicates of this
// fleet's jobs.
func (f *Fleet) JobPrefix() string { return f.jobPrefix }

// RunCounts counts attempts and jobs that the workers of a fleet may have run. A post-reading is a job of
// postReadingClass, which may run at most once.
type RunCounts struct {
	Foreign    int // attempts that may have run, of jobs whose name lacks the fleet's prefix
	Total      int // attempts that may have run, Foreign included
	Duplicates int // post-readings that may have run more than once
	CrossCell  int // idempotency keys whose jobs may have run in more than one cell
}

// RunCounts returns the counts since the start of the fleet.
func (f *Fleet) RunCounts() RunCounts {
	f.mu.Lock()
	defer f.mu.Unlock()
	return RunCounts{Foreign: f.foreignAttempts, Total: len(f.ranAttempts), Duplicates: f.duplicates,
		CrossCell: f.crossCell}
}

// PostReadingRuns returns the number of attempts at the post-reading with this body that may have run.
func (f *Fleet) PostReadingRuns(body string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.postReadingRuns[body]
}

// FirstRun returns the time at which a job with the idempotency key may first have run, and false if none may
// have run. The job was sent before that time.
func (f *Fleet) FirstRun(key string) (at time.Time, ran bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	at, ran = f.firstRuns[key]
	return at, ran
}

// Schedulers returns the addresses of the schedulers.
func (f *Fleet) Schedulers() []string {
	var addrs []string
	for _, d := range f.deployments {
		addrs = append(addrs, d.Addr)
	}
	return addrs
}

// Kill kills the process of the i-th scheduler.
func (f *Fleet) Kill(i int) { f.deployments[i].Kill() }

// Stop sends SIGTERM to the i-th scheduler and waits until the process has exited; it kills the process at
// the deadline.
func (f *Fleet) Stop(i int, deadline time.Time) error { return f.deployments[i].Stop(deadline) }

// Restart starts the i-th scheduler again at its previous address. Its process has to have exited.
func (f *Fleet) Restart(i int) error { return f.deployments[i].restart() }

// Close stops all schedulers, workers and discovery services of the fleet.
func (f *Fleet) Close() {
	for _, d := range f.deployments {
		d.close()
	}
}
