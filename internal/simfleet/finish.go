package simfleet

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"sync"
	"time"

	"dahliaford/internal/history"
)

const (
	// cancellationGrace is the wait, after all clients have their answers, for cancellation requests that are
	// still on their way to workers.
	cancellationGrace = time.Second
	stopTimeout       = 10 * time.Second

	// Limits that the recorded events must keep. They follow from the settings that package testcluster writes.
	dedupWindow = 10 * time.Second
	drainGrace  = 550 * time.Millisecond // drain_grace (500 ms) plus 50 ms for the scheduler's reaction
	maxAttempts = 4
	orphanLimit = 3 * time.Second // longest time that a worker may hold a job that its scheduler has given up
	// timingSlack is the tolerance that the check adds to its time limits, for delays on a busy machine.
	timingSlack = 1500 * time.Millisecond
)

// finish waits for outstanding cancellations, fills in the totals of the report, stops the schedulers and
// checks the recorded history. After a violation or an error it writes the schedulers' logs to the log of the
// run.
func (r *run) finish(ctx context.Context) error {
	if !sleep(ctx, cancellationGrace) {
		return ctx.Err()
	}
	if err := r.reportTotals(); err != nil {
		return err
	}
	err := errors.Join(r.stopSchedulers(), r.checkRules())
	if len(r.report.Violations) > 0 || err != nil {
		for i, p := range r.processes {
			for _, line := range p.Log() {
				r.logf("scheduler %d: %s", i, line)
			}
		}
	}
	r.processes = nil
	return err
}

// reportTotals fills in the totals of the run in the report.
func (r *run) reportTotals() error {
	var cpu, ticks, memory []float64
	for _, p := range r.processes {
		cpuTime, err := p.CPUTime()
		if err != nil {
			return err
		}
		cpuTicks, err := p.CPUTicks()
		if err != nil {
			return err
		}
		use, err := p.Usage()
		if err != nil {
			return err
		}
		cpu, ticks = append(cpu, cpuTime.Seconds()), append(ticks, cpuTicks.Seconds())
		memory = append(memory, use.PeakMemoryMB)
	}
	report := &r.report
	report.CPUSeconds, report.CPUTickSeconds = spread(cpu), spread(ticks)
	report.PeakMemoryMB, report.HarnessMB = spread(memory), ownPeakMemoryMB()
	c := r.clients
	report.Jobs, report.Served = int(c.jobs.Load()), int(c.served.Load())
	report.Refused, report.Failed = int(c.refused.Load()), int(c.failed.Load())
	report.Skipped, report.Errors = int(c.skipped.Load()), c.errors
	return nil
}

func (r *run) stopSchedulers() error {
	var all sync.WaitGroup
	errs := make([]error, len(r.processes))
	for i, p := range r.processes {
		all.Go(func() {
			if err := p.Stop(time.Now().Add(stopTimeout)); err != nil {
				errs[i] = fmt.Errorf("stop scheduler %d: %w", i, err)
			}
		})
	}
	all.Wait()
	return errors.Join(errs...)
}

// checkRules checks the events that clients and workers have recorded, and adds the violations to the report.
func (r *run) checkRules() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	rules := history.Rules{RackOf: map[string]string{}, Window: dedupWindow, DrainGrace: drainGrace,
		MaxAttempts: maxAttempts, Slack: timingSlack, OrphanLimit: orphanLimit}
	for i, uid := range r.workers.uids {
		rules.RackOf[uid] = strconv.Itoa(i / workersPerCell)
	}
	r.report.CheckedEvents = len(r.history)
	for _, f := range history.Check(rules, r.history) {
		r.report.Violations = append(r.report.Violations, f.String())
	}
	if len(r.history) == maxHistory {
		return fmt.Errorf("history reached its limit of %d events; later events were not checked", maxHistory)
	}
	return nil
}
