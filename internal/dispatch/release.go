package dispatch

// Release: which queued job is sent next, and which is answered or moved behind the others because it can no
// longer meet its objective or its deadline.

const (
	// maxPlacementMisses is the largest number of queued jobs without a suitable worker that release skips in
	// one call; release stops after one more such job. The limit bounds the processor time of the call.
	maxPlacementMisses = 8

	// feasibleRunFraction is the fraction of a queued job's expected run time that must still fit before its
	// objective. The fraction is below 1 because run times are rough estimates.
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
			continue // the job left the queue or moved behind the jobs on time, so queue[i] is the next job now
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

// inspectionInterval returns the time in microseconds between two calls of inspect while jobs are queued.
// inspect finds what no event reports, such as queued jobs near their deadline and silent workers.
func (d *Dispatcher) inspectionInterval() Micros { return 4 * d.settings.Granularity }

// expire handles a queued job that is about to reach its deadline or can no longer meet its objective. The
// result reports whether the job left the queue or moved behind the jobs that can meet their objective.
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
	// A late answer may still have a value, and since estimates are rough, the job may even meet its objective
	// after all. So the job waits behind the jobs on time, unless the fleet is overloaded. If a late answer
	// has no value or the fleet is overloaded, an early refusal or failure serves the client better than a late
	// one.
	if earns && d.level == levelNormal {
		j.late = true
		d.enqueue(j)
		return true
	}
	d.finish(j)
	return true
}

// feasible reports whether the given fraction of a job's expected run time still fits before the job's
// latency objective, if the job starts now on the fastest usable worker.
func (d *Dispatcher) feasible(j *job, fraction float64) bool {
	return d.anyFastEnough(func(speed float64) bool {
		return float64(d.now)+fraction*j.work/speed <= float64(j.objective)
	})
}

// requiredRunFraction returns the fraction of a queued job's expected run time that must still fit before the
// job's latency objective. Under overload the result for a job with a cost hint is the whole run, so that no
// scarce slot goes to a job that will likely be late. Without a cost hint the expected run time is too
// uncertain for this stricter test.
func (d *Dispatcher) requiredRunFraction(j *job) float64 {
	if d.level > levelNormal && j.hinted {
		return 1
	}
	return feasibleRunFraction
}
