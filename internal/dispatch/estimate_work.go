package dispatch

import "slices"

// Estimates of work and run times, by class. Nothing here decides.

// priorWorkObjectives is the work assumed of a class that nobody saw run, in its latency objectives:
// workers in slow start show nothing, and all dispatchers would send there by the same guess.
const priorWorkObjectives = 2.0

// classState is what is known of a class.
type classState struct {
	workSum, workSquareSum, workCount float64 // decayed sums of works seen
	runTimes                          quantileWindow
	arrivals                          float64 // decayed count of arrivals
	waitTarget                        Micros  // T_k
	guaranteedRate                    float64 // jobs a microsecond
}

// addWork adds the work of a job to the decayed sums.
func (s *classState) addWork(work float64) {
	s.workSum, s.workSquareSum = s.workSum*classWorkDecay+work, s.workSquareSum*classWorkDecay+work*work
	s.workCount = s.workCount*classWorkDecay + 1
}

// meanWork is the mean work seen, with a prior that weighs as much as two jobs.
func (s *classState) meanWork(prior float64) float64 {
	return (s.workSum + 2*prior) / (s.workCount + 2)
}

// sizeBiasedWork is the mean work seen, weighted by work: value goes with work, so long jobs decide how
// long the objective of an unhinted job is.
func (s *classState) sizeBiasedWork(prior float64) float64 {
	mean := s.meanWork(prior)
	if s.workSum == 0 {
		return mean
	}
	return min(s.workSquareSum/s.workSum, 3*mean)
}

// unhintedWork is the work that a job without a hint is assumed to need. In a large fleet without
// gossip that is less than the mean: most jobs are shorter, and sooner too late.
func (d *Dispatcher) unhintedWork(s *classState, prior float64) float64 {
	if d.largeFleetWithoutGossip() {
		return unhintedWorkFraction * s.meanWork(prior)
	}
	return s.sizeBiasedWork(prior)
}

// slowStartCost is what a job takes of the budget of a worker in slow start.
func (d *Dispatcher) slowStartCost(j *job) float64 {
	work := j.work
	if !j.hinted {
		objective := float64(d.settings.Classes[j.class].LatencyObjective)
		work = d.classes[j.class].meanWork(priorWorkObjectives * objective)
	}
	return work + float64(d.settings.Granularity) // a handshake may come with it
}

// sizeBiasedMeanWork is the mean size of the jobs that arrive here, weighted by their work: a few long jobs
// bring most of it. Before a class was seen to run, twice its objective stands for its work.
func (d *Dispatcher) sizeBiasedMeanWork() float64 {
	sum, squares := 0.0, 0.0
	for k := range d.classes {
		st := &d.classes[k]
		work := st.meanWork(priorWorkObjectives * float64(d.settings.Classes[k].LatencyObjective))
		sum, squares = sum+(1+st.arrivals)*work, squares+(1+st.arrivals)*work*work
	}
	return squares / max(1, sum)
}

// workInTransit is the work of jobs that left for a worker and are not known to have begun: if it
// restarts now, they reach it in slow start.
func (d *Dispatcher) workInTransit(w *worker) float64 {
	work := 0.0
	for _, a := range w.attempts {
		if a.startedAt == 0 {
			work += d.slowStartCost(a.job)
		}
	}
	return work
}

// quantileWindow keeps the latest run times and their upper quantile.
type quantileWindow struct {
	samples [maxRunSamples]float64 // a ring buffer
	count   int                    // samples so far
	value   float64                // the quantile
}

// add takes a run time. The quantile is computed with every quantileInterval-th one.
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

// upperRunTime is the length of a run, a quarter second at least.
func (d *Dispatcher) upperRunTime() float64 { return max(d.slotTimes.value, second/4) }
