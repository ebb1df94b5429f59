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

// The drill of the client library has 200 clients of each of three kinds, each kind with six schedulers of
// its own, of which all but two go away and come back while the clients work; and clients of the library once
// more with a fleet whose workers misbehave in every way that they may.
const (
	clientCount         = 200
	clientSchedulers    = 6
	remainingSchedulers = 2
	workersPerScheduler = 12
	jobsPerClient       = 4. // a second
	returnGrace         = 50 * time.Millisecond
	stopTimeout         = 10 * time.Second // of a scheduler that shuts down in order
	// timelineMargin is how much longer than the drill its timelines are, for the jobs that are open at its
	// end.
	timelineMargin = 10 * time.Second
	firstBackoff   = 50 * time.Millisecond
)

// removeAndRestore stops schedulers within a sixth of the span (10 s of a minute), every other one without
// notice, and starts them again after a while. It does nothing more once the context has ended.
func removeAndRestore(ctx context.Context, f *testcluster.Fleet, span time.Duration) error {
	sleep := func(d time.Duration) bool { return testcluster.Sleep(ctx, d) }
	const removed = clientSchedulers - remainingSchedulers
	step := span / 6 / removed
	if !sleep(span / 4) {
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
	if !sleep(span / 6) {
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

// clientRuns are the runs of a drill, all at the same time.
type clientRuns struct {
	library   *clientRun
	immediate *clientRun // retries without a wait
	backoff   *clientRun // retries with a backoff
	faults    *clientRun // the library, with faulty workers
}

// all is the runs in the order of the report.
func (r *clientRuns) all() []*clientRun {
	return []*clientRun{r.library, r.immediate, r.backoff, r.faults}
}

func (r *clientRuns) close() {
	for _, run := range r.all() {
		if run != nil {
			run.close()
		}
	}
}

// startClientRuns starts the fleets and the clients, each fleet with a folder of its own.
func startClientRuns(bin, folder string, span time.Duration, seed uint64) (runs *clientRuns, err error) {
	runs = &clientRuns{}
	defer func() {
		if err != nil {
			runs.close()
		}
	}()
	for i, kind := range []struct {
		run        **clientRun
		name       string
		faults     bool
		useClients func(*clientRun) error
	}{
		{&runs.library, "library", false, func(r *clientRun) error { return r.useLibrary(seed) }},
		{&runs.immediate, "at once", false, func(r *clientRun) error { r.useRetryingClients(0); return nil }},
		{&runs.backoff, "backoff", false, func(r *clientRun) error {
			r.useRetryingClients(firstBackoff)
			return nil
		}},
		{&runs.faults, "library, faults", true, func(r *clientRun) error { return r.useLibrary(seed) }},
	} {
		own := filepath.Join(folder, fmt.Sprint(i))
		if err := os.Mkdir(own, 0o777); err != nil {
			return runs, err
		}
		fleet, err := testcluster.StartFleet(testcluster.FleetOptions{Program: bin, Folder: own,
			Schedulers: clientSchedulers, WorkersPerScheduler: workersPerScheduler, Seed: seed,
			Faults: kind.faults})
		if err != nil {
			return runs, fmt.Errorf("start the fleet of %q: %w", kind.name, err)
		}
		*kind.run = newClientRun(kind.name, fleet, span+timelineMargin)
		if err := kind.useClients(*kind.run); err != nil {
			return runs, fmt.Errorf("start the clients of %q: %w", kind.name, err)
		}
	}
	return runs, nil
}

// clientDrill runs the drill. It ends before its span does: jobs have 4 s to end.
func clientDrill(bin, folder string, span time.Duration, seed uint64,
	progress progressFunc) (*report, error) {
	runs, err := startClientRuns(bin, folder, span, seed)
	if err != nil {
		return nil, err
	}
	defer runs.close()
	progress("%d clients of each kind submit jobs for %v; %d of %d schedulers go away and come back",
		clientCount, span.Round(time.Second), clientSchedulers-remainingSchedulers, clientSchedulers)
	ctx, cancel := context.WithTimeout(context.Background(), span)
	defer cancel()
	startedAt := time.Now()
	var all sync.WaitGroup
	errs := make([]error, len(runs.all()))
	for i, r := range runs.all() {
		r.dials.startedAt, r.served.startedAt = startedAt, startedAt
		all.Go(func() { r.submitJobs(ctx, seed) })
		all.Go(func() { errs[i] = removeAndRestore(ctx, r.fleet, span) })
	}
	all.Wait()
	if err := errors.Join(errs...); err != nil {
		return nil, err
	}
	return runs.report(), nil
}
