package dispatch

// This file estimates the speeds of workers from the runs of jobs. A speed is work on a standard core per
// unit of time on one slot. Without hints of the jobs' work the scale of speeds is unknown, so the mean speed
// of the fleet counts as 1. This file makes no dispatch decisions.

// speedEstimate has the decayed sums of the work done in recent runs and of the time that these runs took,
// both in microseconds.
type speedEstimate struct{ work, time float64 }

// add multiplies the earlier sums by the factor keep, and then adds the work and the time of a run.
func (s *speedEstimate) add(work, time, keep float64) {
	s.work, s.time = s.work*keep+work, s.time*keep+time
}

// speed returns the estimated speed, work divided by time, or 1 before the first run.
func (s *speedEstimate) speed() float64 {
	if s.time == 0 {
		return 1
	}
	return s.work / s.time
}

// fleetSpeed returns the mean speed of the fleet's workers.
func (d *Dispatcher) fleetSpeed() float64 {
	if !d.hintsSeen {
		return 1
	}
	return d.fleetEstimate.speed()
}

// speed returns the expected speed of a worker now: its warmSpeed, reduced by slowStartFraction while the
// worker is in slow start.
func (d *Dispatcher) speed(w *worker) float64 {
	if at := d.slowStartSince(w); at != 0 {
		return d.warmSpeed(w) * d.slowStartFraction(at)
	}
	return d.warmSpeed(w)
}

// warmSpeed returns the speed that a worker has outside slow start. The estimate combines the recent runs of
// jobs at the worker with priorSpeed, which has the weight of speedPriorRunsHinted or speedPriorRunsUnhinted
// upper quartiles of run times.
func (d *Dispatcher) warmSpeed(w *worker) float64 {
	prior, unit := d.priorSpeed(w), max(d.slotTimes.value, 1)
	if d.hintsSeen {
		unit *= speedPriorRunsHinted
	} else {
		unit *= speedPriorRunsUnhinted
	}
	v := (w.speed.work + prior*unit) / (w.speed.time + unit)
	if !d.hintsSeen && d.fleetEstimate.work > 0 {
		// Dividing by the fleet's mean speed keeps the mean at 1. Otherwise the scale of speeds would drift, as
		// jobs have no hints of their work.
		v *= d.fleetEstimate.time / d.fleetEstimate.work
	}
	return v
}

// priorSpeed returns the speed assumed of a worker that has run no job yet: the speed of its machine kind, or
// of the fleet while no worker of the kind has run a job.
func (d *Dispatcher) priorSpeed(w *worker) float64 {
	if k := d.kindOf(w); k.time > 0 {
		return k.speed()
	}
	return d.fleetEstimate.speed()
}

// typicalSpeed returns the speed that an average worker of the given worker's machine kind has outside slow
// start.
func (d *Dispatcher) typicalSpeed(w *worker) float64 {
	if !d.hintsSeen && d.fleetEstimate.work > 0 {
		return d.priorSpeed(w) * d.fleetEstimate.time / d.fleetEstimate.work
	}
	return d.priorSpeed(w)
}

// bestSpeed returns the speed of the fastest usable worker of the subset, or the fleet's speed if no worker
// is usable. The result is computed once for each event.
func (d *Dispatcher) bestSpeed() float64 {
	if d.cachedBestSpeed > 0 {
		return d.cachedBestSpeed
	}
	for _, w := range d.subset {
		if d.usable(w) {
			if speed := d.speed(w); speed > d.cachedBestSpeed {
				d.cachedBestSpeed, d.fastestWorker = speed, w
			}
		}
	}
	if d.cachedBestSpeed == 0 {
		d.cachedBestSpeed = d.fleetSpeed()
	}
	return d.cachedBestSpeed
}

// anyFastEnough reports whether the predicate enough holds for bestSpeed. If the predicate holds for a speed,
// it must hold for every higher speed. In a large subset the fastest worker of the last search is tried
// first: if its speed is enough, no new search is needed.
func (d *Dispatcher) anyFastEnough(enough func(speed float64) bool) bool {
	w := d.fastestWorker
	if w != nil && d.cachedBestSpeed == 0 && d.largeSubset() && d.usable(w) && enough(d.speed(w)) {
		return true
	}
	return enough(d.bestSpeed())
}

// learnSpeed updates the speed estimates of an attempt's worker, its machine kind and the fleet, by the part
// of the run that these estimates do not include yet. The parameter done is the fraction of the work that is
// done, 0 to 1. The work of a job without a hint counts as its class's mean work, and only a complete run of
// such a job is used. Runs on a worker in slow start are not used.
func (d *Dispatcher) learnSpeed(a *attempt, done float64) {
	w, work, span := a.worker, a.job.work*(done-a.progress), float64(d.now-a.accountedUntil)
	if !a.job.hinted {
		if done < 1 {
			return
		}
		st := &d.classes[a.job.class]
		work = st.meanWork(float64(d.settings.Classes[a.job.class].LatencyObjective))
		// The limit of four expected run times keeps a job with more work than its class's mean from making its
		// worker seem slow.
		span = min(float64(d.now-a.startedAt), 4*work/d.speed(w))
	}
	a.progress, a.accountedUntil = max(done, a.progress), d.now
	if work <= 0 || span <= 0 || d.slowStartSince(w) != 0 {
		return
	}
	w.speed.add(work, span, workerSampleDecay)
	d.kindOf(w).add(work, span, kindSampleDecay)
	d.fleetEstimate.add(work, span, fleetSampleDecay)
}

// learnRun updates the estimates from a finished run: the run times of the job's class, the slot times, the
// speeds and, for a job without a hint, the work of the class.
func (d *Dispatcher) learnRun(a *attempt) {
	if a.startedAt == 0 {
		a.startedAt, a.accountedUntil = a.sentAt, a.sentAt
	}
	j, st := a.job, &d.classes[a.job.class]
	run := float64(d.now - a.startedAt)
	st.runTimes.add(run)
	d.slotTimes.add(run * j.slots)
	if !j.hinted && d.slowStartSince(a.worker) == 0 {
		st.addWork(run * d.speed(a.worker))
	}
	d.learnSpeed(a, 1)
}

// slowStartFraction returns the fraction of its full capacity that a worker in slow start has now if it
// started at the given time. The fraction grows linearly from SlowStartInitial to 1 within SlowStart.
func (d *Dispatcher) slowStartFraction(at Micros) float64 {
	s := &d.settings
	return s.SlowStartInitial + (1-s.SlowStartInitial)*max(0, float64(d.now-at))/float64(max(1, s.SlowStart))
}
