package simfleet

import (
	"context"
	"sync"
	"time"

	"dahliaford/internal/endpoints"
	"dahliaford/internal/history"
)

// zonesPerRegion is the number of consecutive zones that form a region.
const zonesPerRegion = 2

// step runs one or more events of a day, the fault scenario of a run. A timed step lasts for the duration
// span; any other step ignores span and ends when its work is done.
type step func(ctx context.Context, span time.Duration) error

// schedule is the sequence of steps of a day, the fault scenario of a run.
type schedule struct {
	steps          []step
	measureJobPath bool // whether the last step is the timed step measureJobPath, which measures CPU time
	timedSteps     int  // number of timed steps, including measureJobPath
}

func (r *run) schedule() schedule {
	switch r.Day {
	case dayZone:
		return schedule{steps: []step{r.measureBaseline, r.zoneOutage}, timedSteps: 1}
	case dayRegion:
		return schedule{steps: []step{r.measureBaseline, r.regionOutage}, timedSteps: 1}
	case dayRoll:
		return schedule{steps: []step{r.measureBaseline, r.rollingRestart}, timedSteps: 2}
	case dayDiscovery:
		return schedule{steps: []step{r.measureBaseline, r.discoveryRestart}, timedSteps: 1}
	case dayStorm:
		return schedule{steps: []step{r.measureBaseline, r.singleChanges, r.zoneOutage, r.regionOutage,
			r.discoveryRestart, r.rollingRestart}, measureJobPath: true, timedSteps: 4}
	default: // r.Day is dayCalm, as Validate rejects names that are not in Days
		return schedule{steps: []step{r.measureBaseline, r.singleChanges}, measureJobPath: true, timedSteps: 3}
	}
}

// runDay runs the steps of the day, the fault scenario in Options.Day, one after another, while clients
// submit jobs at Options.Rate. It stops these clients before it measures the job path, the handling of a job
// from the request to the answer.
func (r *run) runDay(ctx context.Context) error {
	load, stopLoad := context.WithCancel(ctx)
	var loading sync.WaitGroup
	loading.Go(func() { r.clients.submitAtRate(load, r.Rate, r.Seed) })
	defer loading.Wait()
	defer stopLoad()
	day := r.schedule()
	span := r.Duration / time.Duration(day.timedSteps)
	for _, run := range day.steps {
		if err := run(ctx, span); err != nil {
			return err
		}
	}
	if !day.measureJobPath {
		return nil
	}
	stopLoad()
	loading.Wait()
	r.maxBaseLoad, r.meanBaseLoad = 0, 0 // the clients that submit jobs at Options.Rate have stopped
	return r.measureJobPath(ctx, span)
}

// measureBaseline measures the CPU use of the schedulers while they only serve the jobs at Options.Rate.
func (r *run) measureBaseline(ctx context.Context, span time.Duration) error {
	err := r.measureWork(ctx, Event{Name: "jobs at the rate alone"}, func(*Event) { sleep(ctx, span) })
	if err != nil {
		return err
	}
	e := r.lastEvent()
	r.maxBaseLoad, r.meanBaseLoad = e.CPUSeconds.Max/e.Window, e.CoreFraction
	return nil
}

// workersInZones returns the workers of the zones whose index is at least from and below to.
func (r *run) workersInZones(from, to int) (workers []int) {
	for i := range r.Workers {
		if zone := i * r.Zones / r.Workers; zone >= from && zone < to {
			workers = append(workers, i)
		}
	}
	return workers
}

// removeWorkers powers off the machines of workers and publishes the workers as removed. It returns the
// number of lines that discovery sends on each watch.
func (r *run) removeWorkers(workers []int, grouping lineGrouping) int {
	r.workers.powerOff(workers)
	return r.publish(workers, history.EndpointChanged, grouping, func(e *endpoints.Endpoint) {
		e.State = endpoints.Removed
	})
}

// restoreWorkers powers on the machines of workers and publishes the workers as ready and just started, so
// that schedulers put them in slow start. It returns the number of lines that discovery sends on each watch.
func (r *run) restoreWorkers(workers []int, grouping lineGrouping) int {
	r.workers.powerOn(workers)
	now := time.Now().UnixMilli()
	return r.publish(workers, history.WorkerReady, grouping, func(e *endpoints.Endpoint) {
		e.State, e.BootMs = endpoints.Ready, now
	})
}

// drainWorker publishes a worker as draining. It returns the number of lines that discovery sends on each
// watch.
func (r *run) drainWorker(worker int) int {
	return r.publish([]int{worker}, history.EndpointChanged, singleLine, func(e *endpoints.Endpoint) {
		e.State = endpoints.Draining
	})
}

// publish changes the entries of workers and returns the number of lines that discovery sends on each watch.
// It records an event of the given kind for each worker before discovery sends the change, so that in the
// checked history no scheduler reacts to a change before it is recorded.
func (r *run) publish(workers []int, kind history.Kind, grouping lineGrouping,
	change func(*endpoints.Endpoint)) int {
	for _, worker := range workers {
		r.recordEvent(history.Event{At: time.Now(), Kind: kind, Actor: r.workers.uids[worker]})
	}
	return r.discovery.publish(workers, change, grouping)
}
