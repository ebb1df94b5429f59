package simfleet

import (
	"context"
	"fmt"
	"sync"
	"time"
)

const (
	pollInterval = 50 * time.Millisecond
	idlePolls    = 6 // polls in a row in which all schedulers were idle end an event's window
	// idleCPU is the processor time within a poll up to which a scheduler counts as idle; loadMargin is
	// by how much it may exceed what the jobs at the rate take, as their arrivals vary.
	idleCPU    = 2 * time.Millisecond
	loadMargin = 1.5
	// settleTimeout is the longest that schedulers are waited for, to be idle or to serve a job.
	settleTimeout = 30 * time.Second
	probeDelay    = 20 * time.Millisecond // until the next probe of a scheduler that does not serve
)

// snapshot has the counters at one time.
type snapshot struct {
	at                    time.Time
	cpu                   []time.Duration // by scheduler
	listIn, listOut       []int64         // bytes of discovery's connections, by scheduler
	jobIn, jobOut         int64
	fullLists, watches    int64
	jobsEnded, jobsServed int64
}

// snapshot reads the counters. It fails if a scheduler has exited.
func (r *run) snapshot() (s snapshot, err error) {
	s.at = time.Now()
	if s.cpu, err = r.cpuTimes(); err != nil {
		return s, err
	}
	s.listIn, s.listOut = make([]int64, r.Schedulers), make([]int64, r.Schedulers)
	for i := range s.listIn {
		s.listIn[i], s.listOut[i] = r.discovery.traffic[i].in.Load(), r.discovery.traffic[i].out.Load()
	}
	s.jobIn, s.jobOut = r.jobTraffic.in.Load(), r.jobTraffic.out.Load()
	s.fullLists, s.watches = r.discovery.fullLists.Load(), r.discovery.watchesOpened.Load()
	if c := r.clients; c != nil {
		s.jobsServed = c.served.Load()
		s.jobsEnded = s.jobsServed + c.refused.Load() + c.failed.Load()
	}
	return s, nil
}

// cpuTimes is the processor time of each scheduler, 0 of one that has not started.
func (r *run) cpuTimes() (times []time.Duration, err error) {
	times = make([]time.Duration, r.Schedulers)
	for i, p := range r.processes {
		if p == nil {
			continue
		}
		if times[i], err = p.CPUTime(); err != nil {
			return times, fmt.Errorf("scheduler %d has ended: %w", i, err)
		}
	}
	return times, nil
}

// waitUntilIdle waits until all schedulers are idle again, but for the jobs at the rate, and adds the event
// to the report.
func (r *run) waitUntilIdle(ctx context.Context, e Event, since snapshot) error {
	allowed := idleCPU + time.Duration(loadMargin*r.maxBaseLoad*float64(pollInterval))
	deadline := time.Now().Add(settleTimeout)
	before, err := r.cpuTimes()
	if err != nil {
		return err
	}
	idle := 0
	for idle < idlePolls && time.Now().Before(deadline) {
		if !sleep(ctx, pollInterval) {
			return ctx.Err()
		}
		now, err := r.cpuTimes()
		if err != nil {
			return err
		}
		idle++
		for i := range now {
			if now[i]-before[i] > allowed {
				idle = 0
			}
		}
		before = now
	}
	e.Settled = idle >= idlePolls
	return r.addEvent(e, since)
}

// addEvent adds an event to the report, with what it cost since a snapshot.
func (r *run) addEvent(e Event, since snapshot) error {
	now, err := r.snapshot()
	if err != nil {
		return err
	}
	e.Window = now.at.Sub(since.at).Seconds()
	cpu, in, out := make([]float64, r.Schedulers), make([]float64, r.Schedulers), make([]float64, r.Schedulers)
	for i := range cpu {
		cpu[i] = (now.cpu[i] - since.cpu[i]).Seconds()
		in[i] = float64(now.listIn[i] - since.listIn[i])
		out[i] = float64(now.listOut[i] - since.listOut[i])
	}
	e.CPUSeconds, e.ListBytes, e.RequestBytes = spread(cpu), spread(in), spread(out)
	e.CoreFraction = e.CPUSeconds.Mean / e.Window
	e.NetCPUSeconds = e.CPUSeconds.Mean - r.meanBaseLoad*e.Window
	e.FullLists, e.Watches = int(now.fullLists-since.fullLists), int(now.watches-since.watches)
	e.Jobs, e.Served = int(now.jobsEnded-since.jobsEnded), int(now.jobsServed-since.jobsServed)
	e.JobBytesIn, e.JobBytesOut = now.jobIn-since.jobIn, now.jobOut-since.jobOut
	for _, p := range r.processes {
		use, err := p.Usage()
		if err != nil {
			return err
		}
		e.PeakMemoryMB = max(e.PeakMemoryMB, use.PeakMemoryMB)
		r.report.MaxDescriptors = max(r.report.MaxDescriptors, use.Descriptors)
		r.report.MaxThreads = max(r.report.MaxThreads, use.Threads)
	}
	r.report.Events = append(r.report.Events, e)
	r.logf("%-26s %6.3f s of processor each (%.3f to %.3f) in %.1f s, %.1f MB at most, %.0f bytes of list each",
		e.Name, e.CPUSeconds.Mean, e.CPUSeconds.Min, e.CPUSeconds.Max, e.Window, e.PeakMemoryMB, e.ListBytes.Mean)
	return nil
}

// lastEvent is the event that was added last.
func (r *run) lastEvent() *Event { return &r.report.Events[len(r.report.Events)-1] }

// awaitRecovery submits jobs to each scheduler until it serves one, and returns the seconds that took.
func (r *run) awaitRecovery(ctx context.Context) Spread {
	took := make([]float64, r.Schedulers)
	startedAt := time.Now()
	var all sync.WaitGroup
	for scheduler := range took {
		all.Go(func() {
			for !r.clients.submit(scheduler, purposeProbe, 0) &&
				time.Since(startedAt) < settleTimeout && ctx.Err() == nil {
				sleep(ctx, probeDelay)
			}
			took[scheduler] = time.Since(startedAt).Seconds()
		})
	}
	all.Wait()
	return spread(took)
}

// measureChange measures a change of the list. The event ends when the schedulers are idle again. change
// returns the number of lines that discovery sent, with how many entries.
func (r *run) measureChange(ctx context.Context, name string, change func() (lines, entries int)) error {
	before, err := r.snapshot()
	if err != nil {
		return err
	}
	e := Event{Name: name}
	e.Updates, e.Entries = change()
	e.RecoverySeconds = r.awaitRecovery(ctx)
	return r.waitUntilIdle(ctx, e, before)
}

// measureWork measures an event that lasts as long as its work.
func (r *run) measureWork(ctx context.Context, e Event, work func(*Event)) error {
	before, err := r.snapshot()
	if err != nil {
		return err
	}
	work(&e)
	if ctx.Err() != nil {
		return ctx.Err()
	}
	e.Settled = true
	return r.addEvent(e, before)
}
