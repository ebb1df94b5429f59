package dispatch

// Release: which queued job is sent next, and which is answered or moved behind the others because it can no
// longer meet its objective or its deadline.

const (
	// maxPlacementMisses is the number of queued jobs for which release may find no worker, beyond the first
	// one, before it stops. It bounds the processor time of one call.
	maxPlacementMisses = 8

	// feasibleRunFraction is the fraction of a queued job's expected run time that must still fit before its
	// objective. It is below 1 because run times are rough estimates.
	feasibleRunFraction = 0.7

	// lateOffset is added to the latest start of late jobs, in microseconds, so that they sort behind all jobs
	// that can still meet their objective.
	lateOffset = 1 << 60
)

// release sends queued jobs to workers with free slots, in order of latest start, and lets expire answer or
// move behind the others those jobs that would be too late.
func (d *Dispatcher) release() {
	misses := 0
	for i := 0; i < len(d.queue) && misses <= maxPlacementMisses; {
		j := d.queue[i]
		if d.expire(j) {
			continue // the job left the queue or moved behind the jobs on time; i names the next job now
		}
		w := d.selectWorker(j)
		if w == nil || !d.send(j, w) {
			misses++
			i++
		}
	}
}

// deadlineMargin returns how long before the client's deadline a queued job is answered, in microseconds.
func (d *Dispatcher) deadlineMargin() Micros {
	return 2*d.settings.Granularity + d.inspectionInterval()
}

// inspectionInterval returns the time between two inspections while jobs are queued, in microseconds.
func (d *Dispatcher) inspectionInterval() Micros { return 4 * d.settings.Granularity }

// expire handles a queued job that is about to reach its deadline or can no longer meet its objective. It
// reports whether the job left the queue or moved behind the jobs that can meet theirs.
func (d *Dispatcher) expire(j *job) bool {
	if d.now >= j.deadline-d.deadlineMargin() {
		d.dequeue(j)
		if j.inFlight == 0 {
			d.finish(j)
		}
		return true
	}
	earns := d.now < j.objective || d.settings.Classes[j.class].LateWeight > 0
	if earns && (j.late && d.level == levelNormal ||
		!j.late && d.feasible(j, d.requiredRunFraction(j))) {
		return false
	}
	d.dequeue(j)
	if j.inFlight > 0 {
		return true // the job's attempt in flight continues; a second attempt would start too late
	}
	// A late answer may still earn weight, and the job may even be in time after all, since estimates are
	// rough. So the job waits behind the jobs on time, unless the fleet is overloaded. If a late answer earns
	// nothing or the fleet is overloaded, the client is better served by an early answer than a late failure.
	if earns && d.level == levelNormal {
		j.late = true
		d.enqueue(j)
		return true
	}
	d.finish(j)
	return true
}

// feasible reports whether the given fraction of a job's expected run time, on the fastest usable worker from
// now on, ends before the job's objective.
func (d *Dispatcher) feasible(j *job, fraction float64) bool {
	return d.anyFastEnough(func(speed float64) bool {
		return float64(d.now)+fraction*j.work/speed <= float64(j.objective)
	})
}

// requiredRunFraction returns the fraction of a queued job's expected run time that must still fit before
// its objective. Under overload it is the whole run, so that no scarce slot goes to a job that will likely be
// late. This stricter test needs a cost hint: without one the expected run time is too uncertain.
func (d *Dispatcher) requiredRunFraction(j *job) float64 {
	if d.level > levelNormal && j.hinted {
		return 1
	}
	return feasibleRunFraction
}
