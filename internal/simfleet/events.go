package simfleet

import (
	"context"
	"fmt"
	"time"
)

const (
	outageDuration = 3 * time.Second // duration of an outage of discovery or of a region
	// A rolling restart restarts rollingRestartWorkers (410) of each rollingRestartFleet (7200) workers.
	rollingRestartWorkers = 410
	rollingRestartFleet   = 7200
	drainDuration         = 600 * time.Millisecond // time for which a worker drains in a rolling restart
)

// concurrentClients are the numbers of concurrent clients with which the job path, the handling of a job from
// the client's request to its answer, is measured.
var concurrentClients = []int{1, 8, 32, 128}

// singleChanges publishes one changed entry each second: alternately a random worker that drains, and the
// same worker as ready and just started.
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

// zoneOutage removes all workers of a random zone and restores them as just started: once with a line of the
// watch for each entry, once with all entries in a single line, and a third time with both kinds of updates
// in quick succession.
func (r *run) zoneOutage(ctx context.Context, _ time.Duration) error {
	first := r.random.IntN(r.Zones)
	zone := r.workersInZones(first, first+1)
	n := len(zone)
	for _, grouping := range []lineGrouping{linePerEntry, singleLine} {
		err := r.measureChange(ctx, "zone lost, "+string(grouping), func() (lines, entries int) {
			return r.removeWorkers(zone, grouping), n
		})
		if err != nil {
			return err
		}
		err = r.measureChange(ctx, "zone back cold, "+string(grouping), func() (lines, entries int) {
			return r.restoreWorkers(zone, grouping), n
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

// regionOutage removes all workers of a random region for outageDuration and then restores them. It does
// nothing if the fleet has a single region, as no worker would remain.
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

// discoveryRestart takes discovery down for outageDuration. Meanwhile one entry changes and the kept changes
// are discarded, so that all schedulers request the full list when discovery is up again.
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
			return fmt.Errorf("after the restart of discovery only %d of %d schedulers opened a watch", watching,
				r.Schedulers)
		}
		if !sleep(ctx, pollInterval) {
			return ctx.Err()
		}
	}
}

// rollingRestart restarts a fraction of the workers (rollingRestartWorkers of rollingRestartFleet; at least
// one, at most half), at equal intervals over the duration span. Each worker drains for drainDuration and is
// then published as ready and just started.
func (r *run) rollingRestart(ctx context.Context, span time.Duration) error {
	n := max(min(r.Workers*rollingRestartWorkers/rollingRestartFleet, r.Workers/2), 1)
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

// measureJobPath measures the job path, which is the handling of a job from the client's request to its
// answer, at one scheduler while the others are idle, for each number in concurrentClients. The jobs take no
// run time and have two callbacks.
func (r *run) measureJobPath(ctx context.Context, span time.Duration) error {
	for _, n := range concurrentClients {
		if err := r.measureJobPathWith(ctx, n, span/time.Duration(len(concurrentClients))); err != nil {
			return err
		}
	}
	return nil
}

// measureJobPathWith measures the CPU time that one scheduler takes for each job with n concurrent clients.
func (r *run) measureJobPathWith(ctx context.Context, n int, span time.Duration) error {
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
		r.logf("%26s %.0f us of CPU time per job, %d jobs", "", float64(added.CPUPerJob), added.Jobs)
	}
	return nil
}
