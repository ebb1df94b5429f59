package dispatch

// Estimates of speed, from runs. Without cost hints no scale is known: the fleet's mean is 1. Nothing here
// decides.

// speedEstimate is recent work done and the time that it took.
type speedEstimate struct{ work, time float64 }

func (s *speedEstimate) add(work, time, keep float64) {
	s.work, s.time = s.work*keep+work, s.time*keep+time
}

// speed is work over time, 1 while nothing is known.
func (s *speedEstimate) speed() float64 {
	if s.time == 0 {
		return 1
	}
	return s.work / s.time
}

// fleetSpeed is the speed of a mean worker.
func (d *Dispatcher) fleetSpeed() float64 {
	if !d.hintsSeen {
		return 1
	}
	return d.fleetEstimate.speed()
}

// speed is the work that a slot of a worker does in a unit of time: its own recent runs, leaning on
// those of its kind, less what it lacks in slow start.
func (d *Dispatcher) speed(w *worker) float64 {
	if at := d.slowStartSince(w); at != 0 {
		return d.warmSpeed(w) * d.slowStartFraction(at)
	}
	return d.warmSpeed(w)
}

// warmSpeed is the speed that a worker has, or will have after its slow start.
func (d *Dispatcher) warmSpeed(w *worker) float64 {
	prior, unit := d.priorSpeed(w), max(d.slotTimes.value, 1)
	if d.hintsSeen {
		unit *= speedPriorRunsHinted
	} else {
		unit *= speedPriorRunsUnhinted
	}
	v := (w.speed.work + prior*unit) / (w.speed.time + unit)
	if !d.hintsSeen && d.fleetEstimate.work > 0 {
		// no hint gives the scale: the fleet's mean is 1, or it drifts
		v *= d.fleetEstimate.time / d.fleetEstimate.work
	}
	return v
}

// priorSpeed is the speed of a worker of which nothing is known.
func (d *Dispatcher) priorSpeed(w *worker) float64 {
	if k := d.kindOf(w); k.time > 0 {
		return k.speed()
	}
	return d.fleetEstimate.speed()
}

// typicalSpeed is the speed of a warm worker that is like most of its kind.
func (d *Dispatcher) typicalSpeed(w *worker) float64 {
	if !d.hintsSeen && d.fleetEstimate.work > 0 {
		return d.priorSpeed(w) * d.fleetEstimate.time / d.fleetEstimate.work
	}
	return d.priorSpeed(w)
}

// bestSpeed is the fastest that a job could still get, computed once an event.
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

// anyFastEnough reports whether bestSpeed is enough, where more is never worse. In a large subset the
// fastest worker of the last search is tried first: what is enough for it need not be searched.
func (d *Dispatcher) anyFastEnough(enough func(speed float64) bool) bool {
	w := d.fastestWorker
	if w != nil && d.cachedBestSpeed == 0 && d.largeSubset() && d.usable(w) && enough(d.speed(w)) {
		return true
	}
	return enough(d.bestSpeed())
}

// learnSpeed learns a worker's speed from the part of a run that has passed. Without hints only
// complete runs show it, against the class's mean.
func (d *Dispatcher) learnSpeed(a *attempt, done float64) {
	w, work, span := a.worker, a.job.work*(done-a.progress), float64(d.now-a.accountedUntil)
	if !a.job.hinted {
		if done < 1 {
			return
		}
		st := &d.classes[a.job.class]
		work = st.meanWork(float64(d.settings.Classes[a.job.class].LatencyObjective))
		span = min(float64(d.now-a.startedAt), 4*work/d.speed(w)) // a long job is not a slow worker
	}
	a.progress, a.accountedUntil = max(done, a.progress), d.now
	if work <= 0 || span <= 0 || d.slowStartSince(w) != 0 {
		return
	}
	w.speed.add(work, span, workerSampleDecay)
	d.kindOf(w).add(work, span, kindSampleDecay)
	d.fleetEstimate.add(work, span, fleetSampleDecay)
}

// learnRun takes run time, speed and, without hints, the class's work from a finished run.
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

// slowStartFraction is the fraction of its capacity that a worker in slow start has that started at a time.
func (d *Dispatcher) slowStartFraction(at Micros) float64 {
	s := &d.settings
	return s.SlowStartInitial + (1-s.SlowStartInitial)*max(0, float64(d.now-at))/float64(max(1, s.SlowStart))
}
