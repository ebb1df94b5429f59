package simfleet

import (
	"context"
	"fmt"
	"time"
)

const (
	outageDuration = 3 * time.Second // of discovery, and of a region
	// rolledWorkers workers of rolledFleet are restarted by a rolling restart, and as many in proportion
	// of another fleet.
	rolledWorkers = 410
	rolledFleet   = 7200
	drainDuration = 600 * time.Millisecond // of each worker in a rolling restart
)

// concurrentClients are the numbers of clients for which the job path is timed.
var concurrentClients = []int{1, 8, 32, 128}

// singleChanges changes one entry a second: a worker drains, and the next time it is back, just started.
func (r *run) singleChanges(ctx context.Context, span time.Duration) error {
	return r.measureWork(ctx, Event{Name: "one changed entry a second"}, func(e *Event) {
		worker, draining := 0, false
		tick := time.NewTicker(time.Second)
		defer tick.Stop()
		for deadline := time.Now().Add(span); time.Now().Before(deadline); {
			if draining = !draining; draining {
				worker = r.random.IntN(r.Workers)
				e.Updates += r.drainWorker(worker)
			} else {
				e.Updates += r.restoreWorkers([]int{worker}, singleLine)
			}
			e.Entries++
			select {
			case <-ctx.Done():
				return
			case <-tick.C:
			}
		}
		if draining {
			e.Updates += r.restoreWorkers([]int{worker}, singleLine)
			e.Entries++
		}
	})
}

// zoneOutage loses a zone and has it back just started, in each grouping, and then with both at once.
func (r *run) zoneOutage(ctx context.Context, _ time.Duration) error {
	first := r.random.IntN(r.Zones)
	zone := r.workersInZones(first, first+1)
	n := len(zone)
	for _, how := range []grouping{linePerEntry, singleLine} {
		err := r.measureChange(ctx, "zone lost, "+string(how), func() (lines, entries int) {
			return r.removeWorkers(zone, how), n
		})
		if err != nil {
			return err
		}
		err = r.measureChange(ctx, "zone back cold, "+string(how), func() (lines, entries int) {
			return r.restoreWorkers(zone, how), n
		})
		if err != nil {
			return err
		}
	}
	return r.measureChange(ctx, "zone lost and back cold, both ways at once", func() (lines, entries int) {
		lines = r.removeWorkers(zone, linePerEntry)
		lines += r.removeWorkers(zone, singleLine)
		lines += r.restoreWorkers(zone, linePerEntry)
		return lines, 3 * n
	})
}

// regionOutage loses a region for a while. Without another region there is nothing left to measure.
func (r *run) regionOutage(ctx context.Context, _ time.Duration) error {
	first := zonesPerRegion * r.random.IntN((r.Zones+zonesPerRegion-1)/zonesPerRegion)
	region := r.workersInZones(first, min(first+zonesPerRegion, r.Zones))
	n := len(region)
	if n == r.Workers {
		return nil
	}
	err := r.measureChange(ctx, "region cut off, a line each", func() (lines, entries int) {
		return r.removeWorkers(region, linePerEntry), n
	})
	if err != nil {
		return err
	}
	if !sleep(ctx, outageDuration) {
		return ctx.Err()
	}
	return r.measureChange(ctx, "region back, a line each", func() (lines, entries int) {
		return r.restoreWorkers(region, linePerEntry), n
	})
}

// discoveryRestart takes discovery down for a while. One entry changes meanwhile, and the history of changes
// is lost, so that all schedulers request the full list.
func (r *run) discoveryRestart(ctx context.Context, _ time.Duration) error {
	before, err := r.snapshot()
	if err != nil {
		return err
	}
	e := Event{Name: "discovery restarted", Entries: r.Workers}
	r.discovery.close()
	sleep(ctx, outageDuration)
	r.restoreWorkers([]int{r.random.IntN(r.Workers)}, singleLine)
	r.discovery.dropHistory()
	if err := r.discovery.open(); err != nil {
		return err
	}
	e.RecoverySeconds = r.awaitRecovery(ctx)
	deadline := time.Now().Add(readyTimeout)
	for {
		watching := r.discovery.watchesOpened.Load() - before.watches
		if watching >= int64(r.Schedulers) {
			return r.waitUntilIdle(ctx, e, before)
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("%d of %d schedulers watch again", watching, r.Schedulers)
		}
		if !sleep(ctx, pollInterval) {
			return ctx.Err()
		}
	}
}

// rollingRestart restarts 410 workers of 7,200, evenly over the span: each drains, and is back just started.
func (r *run) rollingRestart(ctx context.Context, span time.Duration) error {
	n := max(min(r.Workers*rolledWorkers/rolledFleet, r.Workers/2), 1)
	before, err := r.snapshot()
	if err != nil {
		return err
	}
	e := Event{Name: fmt.Sprintf("roll of %d", n)}
	maxDraining := int(drainDuration * time.Duration(n) / span)
	var draining []int
	for i, worker := range r.random.Perm(r.Workers)[:n] {
		if !sleep(ctx, time.Until(before.at.Add(span*time.Duration(i)/time.Duration(n)))) {
			return ctx.Err()
		}
		e.Updates += r.drainWorker(worker)
		draining = append(draining, worker)
		if len(draining) > maxDraining {
			e.Updates += r.restoreWorkers(draining[:1], singleLine)
			draining = draining[1:]
		}
	}
	sleep(ctx, drainDuration)
	e.Updates += r.restoreWorkers(draining, linePerEntry)
	e.Entries = e.Updates
	e.RecoverySeconds = r.awaitRecovery(ctx)
	return r.waitUntilIdle(ctx, e, before)
}

// jobPath times jobs of no run time with two callbacks each, at one scheduler while the others are idle.
func (r *run) jobPath(ctx context.Context, span time.Duration) error {
	for _, n := range concurrentClients {
		if err := r.jobPathOf(ctx, n, span/time.Duration(len(concurrentClients))); err != nil {
			return err
		}
	}
	return nil
}

// jobPathOf times the job path for a number of concurrent clients.
func (r *run) jobPathOf(ctx context.Context, n int, span time.Duration) error {
	before, err := r.processes[0].CPUTime()
	if err != nil {
		return err
	}
	e := Event{Name: fmt.Sprintf("jobs of 0 s, clients: %d", n), Clients: n}
	err = r.measureWork(ctx, e, func(*Event) {
		limited, cancel := context.WithTimeout(ctx, span)
		defer cancel()
		r.clients.saturate(limited, 0, n)
	})
	if err != nil {
		return err
	}
	after, err := r.processes[0].CPUTime()
	if err != nil {
		return err
	}
	if added := r.lastEvent(); added.Served > 0 {
		added.CPUPerJob = Microseconds(float64((after - before).Microseconds()) / float64(added.Jobs))
		r.logf("%26s %.0f us of processor a job, %d jobs", "", float64(added.CPUPerJob), added.Jobs)
	}
	return nil
}
