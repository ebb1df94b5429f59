package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"

	"dahliaford/internal/testcluster"
)

// The desk drill runs five groups of clients at the same time: clients of the library, plain clients that
// retry at once, plain clients that retry with a backoff, clients of the library whose workers inject faults,
// and clients of the library that wait for their connections. Each group has its own fleet of six schedulers,
// of which four stop and restart during the drill.
const (
	clientCount         = 200 // clients in each group but the last
	clientSchedulers    = 6   // schedulers in the fleet of each group
	remainingSchedulers = 2   // schedulers of a fleet that run throughout the desk drill
	workersPerScheduler = 12
	jobsPerClient       = 4. // jobs per second that each client submits
	// returnGrace is how long after the deadline of a job the client library may return the job's verdict.
	returnGrace = 50 * time.Millisecond
	stopTimeout = 10 * time.Second // longest time for the orderly shutdown of a scheduler
	// timelineMargin is the time that timelines cover after the last submission. Jobs that are open at the last
	// submission end within the margin.
	timelineMargin = 10 * time.Second
	firstBackoff   = 50 * time.Millisecond // longest wait of a plain client before the first retry of a job
)

// stopAndRestart stops all but remainingSchedulers of a fleet, one after another, and later restarts them. It
// begins after a quarter of the duration, and spreads the stops over a sixth of the duration (10 s of a
// minute). It kills every second scheduler and lets the others shut down in an orderly way. After another
// sixth of the duration it restarts the schedulers at the same pace. stopAndRestart returns early when the
// context ends.
func stopAndRestart(ctx context.Context, f *testcluster.Fleet, duration time.Duration) error {
	sleep := func(d time.Duration) bool { return testcluster.Sleep(ctx, d) }
	const removed = clientSchedulers - remainingSchedulers
	step := duration / 6 / removed
	if !sleep(duration / 4) {
		return nil
	}
	for i := range removed {
		if i%2 == 0 {
			f.Kill(i)
		} else if err := f.Stop(i, time.Now().Add(stopTimeout)); err != nil {
			return fmt.Errorf("stop scheduler %d: %w", i, err)
		}
		if !sleep(step) {
			return nil
		}
	}
	if !sleep(duration / 6) {
		return nil
	}
	for i := range removed {
		if err := f.Restart(i); err != nil {
			return fmt.Errorf("restart scheduler %d: %w", i, err)
		}
		if !sleep(step) {
			return nil
		}
	}
	return nil
}

// clientRuns are the concurrent runs of a desk drill, which compares the client library with plain clients,
// one for each group of clients.
type clientRuns struct {
	library   *clientRun // clients of the library
	immediate *clientRun // plain clients that retry without a wait
	backoff   *clientRun // plain clients that retry with a backoff
	faults    *clientRun // clients of the library, with workers that inject faults
	// connections is the run of clients of the library that have one connection to each scheduler and may repeat
	// jobs within a window.
	connections *clientRun
}

// all returns the runs of the desk drill in the order of the rows of the report.
func (r *clientRuns) all() []*clientRun {
	return []*clientRun{r.library, r.immediate, r.backoff, r.faults, r.connections}
}

// close closes the clients and the fleets of the runs that were started.
func (r *clientRuns) close() {
	for _, run := range r.all() {
		if run != nil {
			run.close()
		}
	}
}

// startClientRuns starts the fleets and creates the clients of all runs. Each fleet has its own subfolder of
// the given folder.
func startClientRuns(program, folder string, duration time.Duration,
	seed uint64) (runs *clientRuns, err error) {
	runs = &clientRuns{}
	defer func() {
		if err != nil {
			runs.close()
		}
	}()
	useLibrary := func(r *clientRun) error { return r.useLibrary(r.fleet.Schedulers(), seed) }
	for i, kind := range []struct {
		run        **clientRun
		name       string
		load       clientLoad
		faults     bool
		useClients func(*clientRun) error
	}{
		{&runs.library, "library", manyClients, false, useLibrary},
		{&runs.immediate, "at once", manyClients, false, func(r *clientRun) error {
			r.useRetryingClients(0)
			return nil
		}},
		{&runs.backoff, "backoff", manyClients, false, func(r *clientRun) error {
			r.useRetryingClients(firstBackoff)
			return nil
		}},
		{&runs.faults, "library, faults", manyClients, true, useLibrary},
		{&runs.connections, "library, few connections", fewConnections, false, func(r *clientRun) error {
			addrs, err := r.recordWrites()
			if err != nil {
				return err
			}
			return r.useLibrary(addrs, seed)
		}},
	} {
		fleetFolder := filepath.Join(folder, fmt.Sprint(i))
		if err := os.Mkdir(fleetFolder, 0o777); err != nil {
			return runs, err
		}
		fleet, err := testcluster.StartFleet(testcluster.FleetOptions{Program: program, Folder: fleetFolder,
			Schedulers: clientSchedulers, WorkersPerScheduler: workersPerScheduler, Seed: seed,
			Faults: kind.faults})
		if err != nil {
			return runs, fmt.Errorf("start the schedulers and workers of the run %q: %w", kind.name, err)
		}
		*kind.run = newClientRun(kind.name, kind.load, fleet, duration+timelineMargin)
		if err := kind.useClients(*kind.run); err != nil {
			return runs, fmt.Errorf("start the clients of the run %q: %w", kind.name, err)
		}
	}
	return runs, nil
}

// runClientDrill runs the desk drill, which compares the client library with plain clients. It submits jobs
// for the given duration and then waits for the open jobs, whose deadlines are at most 4 s away.
func runClientDrill(program, folder string, duration time.Duration, seed uint64,
	progress progressFunc) (*report, error) {
	runs, err := startClientRuns(program, folder, duration, seed)
	if err != nil {
		return nil, err
	}
	defer runs.close()
	progress("%d clients of each kind, %d of the last, submit jobs for %v; %d of %d schedulers stop and restart",
		clientCount, fewConnections.clients, duration.Round(time.Second),
		clientSchedulers-remainingSchedulers, clientSchedulers)
	ctx, cancel := context.WithTimeout(context.Background(), duration)
	defer cancel()
	startedAt := time.Now()
	var all sync.WaitGroup
	errs := make([]error, len(runs.all()))
	for i, r := range runs.all() {
		r.dials.startedAt, r.served.startedAt = startedAt, startedAt
		all.Go(func() { r.submitJobs(ctx, seed) })
		all.Go(func() { errs[i] = stopAndRestart(ctx, r.fleet, duration) })
	}
	all.Wait()
	if err := errors.Join(errs...); err != nil {
		return nil, err
	}
	return runs.report(), nil
}
