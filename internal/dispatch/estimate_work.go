package dispatch

import "slices"

// This file estimates the work and the run times of jobs by class. It makes no dispatch decisions.

// priorWorkObjectives is the mean work that is assumed of a class's jobs until runs show the work, in
// multiples of the class's latency objective. Too low a value would overload workers in slow start, because
// all dispatchers use the same value and their sends add up. Runs on such workers would not correct the
// value, as runs on workers in slow start do not count. Therefore the value is high.
const priorWorkObjectives = 2.0

// classState holds the estimates for a class. Work is in microseconds on a standard core.
type classState struct {
	// Decayed sums over the jobs whose work is known: the sum of the work, the sum of the squares of the work,
	// and the number of the jobs.
	workSum, workSquareSum, workCount float64
	runTimes                          quantileWindow // latest run times in microseconds
	arrivals                          float64        // decayed number of arrivals, see classMixDecay

	waitTarget Micros // longest wait that meets the latency objective (T_k in the published overload control)
	// guaranteedRate is the guaranteed rate of the class's jobs of all tenants together, in jobs per microsecond
	// (d in the published overload control).
	guaranteedRate float64
}

// addWork adds the work of a job to the decayed sums, in microseconds on a standard core.
func (s *classState) addWork(work float64) {
	s.workSum, s.workSquareSum = s.workSum*classWorkDecay+work, s.workSquareSum*classWorkDecay+work*work
	s.workCount = s.workCount*classWorkDecay + 1
}

// meanWork returns the mean work of the class's jobs. The parameter prior is the mean work that is assumed
// before any job is known, and has the weight of two jobs.
func (s *classState) meanWork(prior float64) float64 {
	return (s.workSum + 2*prior) / (s.workCount + 2)
}

// sizeBiasedWork returns the mean work of the class's jobs, weighted by their work, but at most three times
// meanWork. The result is used for the latency objective of a job without a hint: the value of a job grows
// with its work, so the objective should suit the long jobs.
func (s *classState) sizeBiasedWork(prior float64) float64 {
	mean := s.meanWork(prior)
	if s.workSum == 0 {
		return mean
	}
	return min(s.workSquareSum/s.workSum, 3*mean)
}

// unhintedWork returns the work that is assumed for a job without a hint. In a large fleet without gossip the
// assumption is less than the mean work, see unhintedWorkFraction.
func (d *Dispatcher) unhintedWork(s *classState, prior float64) float64 {
	if d.largeFleetWithoutGossip() {
		return unhintedWorkFraction * s.meanWork(prior)
	}
	return s.sizeBiasedWork(prior)
}

// slowStartCost returns the work, in microseconds on a standard core, that a job takes from the budget of a
// worker in slow start.
func (d *Dispatcher) slowStartCost(j *job) float64 {
	work := j.work
	if !j.hinted {
		objective := float64(d.settings.Classes[j.class].LatencyObjective)
		work = d.classes[j.class].meanWork(priorWorkObjectives * objective)
	}
	return work + float64(d.settings.Granularity) // the worker may also have to do a connection handshake
}

// sizeBiasedMeanWork returns the mean work of the arriving jobs of all classes, weighted by their work,
// because a few long jobs can bring most of the work. The prior work of a class is priorWorkObjectives times
// its latency objective.
func (d *Dispatcher) sizeBiasedMeanWork() float64 {
	sum, squares := 0.0, 0.0
	for k := range d.classes {
		st := &d.classes[k]
		work := st.meanWork(priorWorkObjectives * float64(d.settings.Classes[k].LatencyObjective))
		sum, squares = sum+(1+st.arrivals)*work, squares+(1+st.arrivals)*work*work
	}
	return squares / max(1, sum)
}

// workInTransit returns the sum of slowStartCost over this dispatcher's jobs that are in flight at a worker
// and not known to have started. If the worker has just restarted, these jobs reach the worker in slow start.
func (d *Dispatcher) workInTransit(w *worker) float64 {
	work := 0.0
	for _, a := range w.attempts {
		if a.startedAt == 0 {
			work += d.slowStartCost(a.job)
		}
	}
	return work
}

// quantileWindow keeps the latest maxRunSamples run times and their quantile runTimeQuantile.
type quantileWindow struct {
	samples [maxRunSamples]float64 // ring buffer of the latest run times
	count   int                    // number of run times so far, including those overwritten in samples
	value   float64                // quantile runTimeQuantile as last computed; 0 before the first run time
}

// add adds a run time. The quantile is computed anew with each of the first quantileInterval run times, and
// later with every quantileInterval-th run time.
func (q *quantileWindow) add(v float64) {
	q.samples[q.count%maxRunSamples] = v
	q.count++
	if q.count < quantileInterval || q.count%quantileInterval == 0 {
		sorted := q.samples
		window := sorted[:min(q.count, maxRunSamples)]
		slices.Sort(window)
		q.value = window[int(runTimeQuantile*float64(len(window)-1)+0.5)]
	}
}

// upperRunTime returns the upper quartile of run time times slots, in microseconds, but at least 0.25 s.
func (d *Dispatcher) upperRunTime() float64 { return max(d.slotTimes.value, second/4) }
