package dispatch

// Release: which queued job leaves next, and which is answered or put behind because its time is up.

const (
	maxPlacementMisses  = 8       // queued jobs tried past the first that finds no worker: bounds CPU per call
	feasibleRunFraction = 0.7     // of its expected run must still fit for a queued job: estimates are rough
	lateOffset          = 1 << 60 // added to the latest start of late jobs: after all that are on time
)

// release sends queued jobs, earliest latest start first, to workers with free slots, and answers those
// that can earn nothing more.
func (d *Dispatcher) release() {
	misses := 0
	for i := 0; i < len(d.queue) && misses <= maxPlacementMisses; {
		j := d.queue[i]
		if d.expire(j) {
			continue // it left the queue, or moved behind
		}
		w := d.selectWorker(j)
		if w == nil || !d.send(j, w) {
			misses++
			i++
		}
	}
}

// deadlineMargin is how long before the client gives up a queued job is answered.
func (d *Dispatcher) deadlineMargin() Micros {
	return 2*d.settings.Granularity + d.inspectionInterval()
}

// inspectionInterval is the time between inspections while jobs are queued.
func (d *Dispatcher) inspectionInterval() Micros { return 4 * d.settings.Granularity }

// expire deals with a queued job whose time is up or whose objective cannot be met. It reports whether
// the job left the queue or moved behind those on time.
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
		return true // its attempt goes on; a second one would come too late
	}
	// Late work may still earn, and estimates are rough: it waits behind, unless the fleet is overloaded.
	// Otherwise an early answer spares a late failure.
	if earns && d.level == levelNormal {
		j.late = true
		d.enqueue(j)
		return true
	}
	d.finish(j)
	return true
}

// feasible reports whether a fraction of a job's expected run, started now, ends by its objective.
func (d *Dispatcher) feasible(j *job, fraction float64) bool {
	return d.anyFastEnough(func(speed float64) bool {
		return float64(d.now)+fraction*j.work/speed <= float64(j.objective)
	})
}

// requiredRunFraction is the fraction of its expected run that must still be feasible for a queued job.
// Under overload slots are scarce and none goes to a job that will likely be late; but without a hint
// of its work nobody can know that.
func (d *Dispatcher) requiredRunFraction(j *job) float64 {
	if d.level > levelNormal && j.hinted {
		return 1
	}
	return feasibleRunFraction
}
