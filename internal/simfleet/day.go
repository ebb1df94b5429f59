package simfleet

import (
	"context"
	"sync"
	"time"

	"dahliaford/internal/endpoints"
	"dahliaford/internal/history"
)

// zonesPerRegion zones in a row are a region.
const zonesPerRegion = 2

// step is one event of a day or several. A timed one takes the span; the others end by themselves.
type step func(ctx context.Context, span time.Duration) error

// schedule is what happens on a day.
type schedule struct {
	steps   []step
	jobPath bool // at the end the job path is timed, which is a timed step, too
	timed   int  // number of timed steps
}

func (r *run) schedule() schedule {
	switch r.Day {
	case dayZone:
		return schedule{steps: []step{r.measureBaseline, r.zoneOutage}, timed: 1}
	case dayRegion:
		return schedule{steps: []step{r.measureBaseline, r.regionOutage}, timed: 1}
	case dayRoll:
		return schedule{steps: []step{r.measureBaseline, r.rollingRestart}, timed: 2}
	case dayDiscovery:
		return schedule{steps: []step{r.measureBaseline, r.discoveryRestart}, timed: 1}
	case dayStorm:
		return schedule{steps: []step{r.measureBaseline, r.singleChanges, r.zoneOutage, r.regionOutage,
			r.discoveryRestart, r.rollingRestart}, jobPath: true, timed: 4}
	default: // dayCalm
		return schedule{steps: []step{r.measureBaseline, r.singleChanges}, jobPath: true, timed: 3}
	}
}

// runDay runs the events of the day, one after another, with jobs at the rate beside them.
func (r *run) runDay(ctx context.Context) error {
	load, stopLoad := context.WithCancel(ctx)
	var loading sync.WaitGroup
	loading.Go(func() { r.clients.submitAtRate(load, r.Rate, r.Seed) })
	defer loading.Wait()
	defer stopLoad()
	day := r.schedule()
	span := r.Duration / time.Duration(day.timed)
	for _, run := range day.steps {
		if err := run(ctx, span); err != nil {
			return err
		}
	}
	if !day.jobPath {
		return nil
	}
	stopLoad()
	loading.Wait()
	r.maxBaseLoad, r.meanBaseLoad = 0, 0 // there are no jobs at the rate any more
	return r.jobPath(ctx, span)
}

// measureBaseline measures what the jobs at the rate take alone.
func (r *run) measureBaseline(ctx context.Context, span time.Duration) error {
	err := r.measureWork(ctx, Event{Name: "jobs at the rate alone"}, func(*Event) { sleep(ctx, span) })
	if err != nil {
		return err
	}
	e := r.lastEvent()
	r.maxBaseLoad, r.meanBaseLoad = e.CPUSeconds.Max/e.Window, e.CoreFraction
	return nil
}

// workersInZones are the workers of the zones from one to before another.
func (r *run) workersInZones(from, to int) (workers []int) {
	for i := range r.Workers {
		if zone := i * r.Zones / r.Workers; zone >= from && zone < to {
			workers = append(workers, i)
		}
	}
	return workers
}

// removeWorkers turns workers off and takes them off the list. It returns the number of lines sent.
func (r *run) removeWorkers(workers []int, how grouping) int {
	r.workers.powerOff(workers)
	return r.publish(workers, history.EndpointChanged, how, func(e *endpoints.Endpoint) {
		e.State = endpoints.Removed
	})
}

// restoreWorkers lists workers as ready and just started, so that they are in slow start. It returns the
// number of lines sent.
func (r *run) restoreWorkers(workers []int, how grouping) int {
	r.workers.powerOn(workers)
	now := time.Now().UnixMilli()
	return r.publish(workers, history.WorkerReady, how, func(e *endpoints.Endpoint) {
		e.State, e.BootMs = endpoints.Ready, now
	})
}

// drainWorker lists a worker as draining. It returns the number of lines sent.
func (r *run) drainWorker(worker int) int {
	return r.publish([]int{worker}, history.EndpointChanged, singleLine, func(e *endpoints.Endpoint) {
		e.State = endpoints.Draining
	})
}

// publish records a change for the check of the rules before discovery sends it.
func (r *run) publish(workers []int, kind history.Kind, how grouping, change func(*endpoints.Endpoint)) int {
	for _, worker := range workers {
		r.recordEvent(history.Event{At: time.Now(), Kind: kind, Actor: r.workers.uids[worker]})
	}
	return r.discovery.publish(workers, change, how)
}
