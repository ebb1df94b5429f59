package simfleet

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"sync"
	"time"

	"dahliaford/internal/endpoints"
	"dahliaford/internal/testcluster"
)

const (
	readyTimeout      = 20 * time.Second
	readyPollInterval = 5 * time.Millisecond
)

// startSchedulers starts all schedulers concurrently, waits until all are ready, and creates the clients.
func (r *run) startSchedulers(ctx context.Context, folder string, zones []string) error {
	r.processes = make([]*testcluster.Process, r.Schedulers)
	ready := make([]float64, r.Schedulers)
	errs := make([]error, r.Schedulers)
	before, err := r.snapshot()
	if err != nil {
		return err
	}
	var starts sync.WaitGroup
	for i := range r.processes {
		starts.Go(func() {
			startedAt := time.Now()
			errs[i] = r.startScheduler(ctx, i, folder, zones)
			ready[i] = time.Since(startedAt).Seconds()
		})
	}
	starts.Wait()
	if err := errors.Join(errs...); err != nil {
		return err
	}
	var addrs []string
	for i, p := range r.processes {
		addrs = append(addrs, p.Addr)
		r.workers.setScheduler(i, p.Addr)
	}
	r.clients = newClients(addrs, r.recordEvent, &r.jobTraffic)
	return r.waitUntilIdle(ctx, Event{Name: "start", Entries: r.Workers, RecoverySeconds: spread(ready)}, before)
}

// startScheduler starts the i-th scheduler and waits until it is ready. The indexes of the scheduler
// processes are spread evenly over the indexes of the fleet, and the processes over the zones.
func (r *run) startScheduler(ctx context.Context, i int, folder string, zones []string) error {
	startedAt := time.Now()
	p, err := testcluster.StartConfig(r.Program, folder, testcluster.Config{Name: "n" + strconv.Itoa(i),
		Listen: "127.0.0.1:0", Discovery: r.discovery.addr(i), Schedulers: r.fleetSize(),
		Index: i * r.fleetSize() / r.Schedulers, Zone: i % len(zones), Zones: zones,
		MemoryMB: schedulerMemoryMB, MaxSockets: schedulerSockets, KnownEndpoints: []endpoints.Endpoint{}})
	if err != nil {
		return err
	}
	r.processes[i] = p
	for !isReady(p.Addr) {
		if ctx.Err() != nil || time.Since(startedAt) > readyTimeout {
			return fmt.Errorf("scheduler %d is not ready: timed out or cancelled", i)
		}
		sleep(ctx, readyPollInterval)
	}
	return nil
}
