package simfleet

import (
	"context"
	"fmt"
	"sync"
	"time"
)

const (
	pollInterval = 50 * time.Millisecond
	idlePolls    = 6 // number of consecutive polls with all schedulers idle that end an event's window
	// A scheduler counts as idle in a poll interval if it takes at most maxIdleCPU of CPU time, plus
	// baseLoadMargin times the CPU time that the jobs at Options.Rate take on average; the factor allows for the
	// variation of the arrivals of these jobs.
	maxIdleCPU     = 2 * time.Millisecond
	baseLoadMargin = 1.5
	// settleTimeout is the longest wait for the schedulers to be idle, or to serve a probe.
	settleTimeout = 30 * time.Second
	probeDelay    = 20 * time.Millisecond // pause of the probe jobs to a scheduler after an unserved probe
)

// snapshot holds the values of all counters of a run at one time.
type snapshot struct {
	at                        time.Time
	cpu                       []time.Duration // CPU time of each scheduler
	listBytesIn, listBytesOut []int64         // bytes that each scheduler received from and sent to discovery
	jobBytesIn, jobBytesOut   int64           // bytes from and to clients and workers, sum of the schedulers
	fullLists, watches        int64
	jobsEnded, jobsServed     int64
}

// snapshot reads all counters of the run. It returns an error if a scheduler process has exited.
func (r *run) snapshot() (s snapshot, err error) {
	s.at = time.Now()
	if s.cpu, err = r.cpuTimes(); err != nil {
		return s, err
	}
	s.listBytesIn, s.listBytesOut = make([]int64, r.Schedulers), make([]int64, r.Schedulers)
	for i := range s.listBytesIn {
		s.listBytesIn[i], s.listBytesOut[i] = r.discovery.traffic[i].in.Load(), r.discovery.traffic[i].out.Load()
	}
	s.jobBytesIn, s.jobBytesOut = r.jobTraffic.in.Load(), r.jobTraffic.out.Load()
	s.fullLists, s.watches = r.discovery.fullLists.Load(), r.discovery.watchesOpened.Load()
	if c := r.clients; c != nil {
		s.jobsServed = c.served.Load()
		s.jobsEnded = s.jobsServed + c.refused.Load() + c.failed.Load()
	}
	return s, nil
}

// cpuTimes returns the CPU time of each scheduler; 0 for a scheduler that has not started.
func (r *run) cpuTimes() (times []time.Duration, err error) {
	times = make([]time.Duration, r.Schedulers)
	for i, p := range r.processes {
		if p == nil {
			continue
		}
		if times[i], err = p.CPUTime(); err != nil {
			return times, fmt.Errorf("read the CPU time of scheduler %d, which may have exited: %w", i, err)
		}
	}
	return times, nil
}

// waitUntilIdle waits until all schedulers are idle except for the jobs at Options.Rate, or until
// settleTimeout, and then adds the event to the report.
func (r *run) waitUntilIdle(ctx context.Context, e Event, since snapshot) error {
	allowed := maxIdleCPU + time.Duration(baseLoadMargin*r.maxBaseLoad*float64(pollInterval))
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

// addEvent adds an event to the report, with the difference between the present counters and a snapshot.
func (r *run) addEvent(e Event, since snapshot) error {
	now, err := r.snapshot()
	if err != nil {
		return err
	}
	e.Window = now.at.Sub(since.at).Seconds()
	cpu, in, out := make([]float64, r.Schedulers), make([]float64, r.Schedulers), make([]float64, r.Schedulers)
	for i := range cpu {
		cpu[i] = (now.cpu[i] - since.cpu[i]).Seconds()
		in[i] = float64(now.listBytesIn[i] - since.listBytesIn[i])
		out[i] = float64(now.listBytesOut[i] - since.listBytesOut[i])
	}
	e.CPUSeconds, e.ListBytes, e.RequestBytes = spread(cpu), spread(in), spread(out)
	e.CoreFraction = e.CPUSeconds.Mean / e.Window
	e.NetCPUSeconds = e.CPUSeconds.Mean - r.meanBaseLoad*e.Window
	e.FullLists, e.Watches = int(now.fullLists-since.fullLists), int(now.watches-since.watches)
	e.Jobs, e.Served = int(now.jobsEnded-since.jobsEnded), int(now.jobsServed-since.jobsServed)
	e.JobBytesIn, e.JobBytesOut = now.jobBytesIn-since.jobBytesIn, now.jobBytesOut-since.jobBytesOut
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
	r.logf("%-26s CPU time per scheduler %6.3f s (%.3f to %.3f) in %.1f s, peak of %.1f MB, %.0f bytes of list",
		e.Name, e.CPUSeconds.Mean, e.CPUSeconds.Min, e.CPUSeconds.Max, e.Window, e.PeakMemoryMB, e.ListBytes.Mean)
	return nil
}

// lastEvent returns the event that was added to the report last.
func (r *run) lastEvent() *Event { return &r.report.Events[len(r.report.Events)-1] }

// awaitRecovery submits probe jobs to each scheduler until the scheduler has served a probe. It returns the
// spread of the times until the first served probe, in seconds.
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

// measureChange measures an event that changes the list of workers. The event ends when the schedulers are
// idle again. change makes the change and returns the number of lines that discovery sends on each watch, and
// the number of entries in all these lines.
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

// measureWork measures an event that lasts until work returns.
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
