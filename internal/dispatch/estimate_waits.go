package dispatch

import "math"

// Estimates of how long jobs wait at workers before they begin. Only a large fleet without gossip needs
// them. Nothing here decides.

const (
	groupWaitDecayRuns  = 12.0 // how long the waits of a group count, in runs
	groupWaitWeight     = 0.5  // own waits that outweigh those of its group
	workerWaitDecayRuns = 6.0  // like groupWaitDecayRuns, for the worker itself: it is met seldom
)

// How far a choice goes at random, and by the distance on the ring, in runs.
const (
	choiceJitterRuns   = 0.25
	choiceDistanceRuns = 0.5
)

// waitEstimate is the mean of how long jobs waited at workers before they began. What was seen fades, as
// others come to run there.
type waitEstimate struct {
	sum, count float64
	decayedAt  Micros
}

// group is what is known of the waits at the workers of one kind in one zone: those that all dispatchers
// find alike, and load together.
type group struct {
	waitEstimate
	expectedWait    float64 // what they and the jobs that wait now come to
	computedInEvent uint64  // the event in which that was computed
}

type groupKey struct{ zone, kind int }

// decay lowers the weight of what was seen to 1/e in a span.
func (s *waitEstimate) decay(now Micros, span float64) {
	keep := math.Exp(-float64(now-s.decayedAt) / span)
	s.sum, s.count, s.decayedAt = s.sum*keep, s.count*keep, now
}

func (s *waitEstimate) add(now Micros, span, wait float64) {
	s.decay(now, span)
	s.sum, s.count = s.sum+wait, s.count+1
}

// groupOf is what is known of a worker's group.
func (d *Dispatcher) groupOf(w *worker) *group {
	if w.group == nil {
		key := groupKey{w.entry.Zone, w.entry.Kind}
		if w.group = d.groups[key]; w.group == nil {
			w.group = &group{}
			d.groups[key] = w.group
		}
	}
	return w.group
}

// recordWait records how long a job waited at a worker.
func (d *Dispatcher) recordWait(w *worker, wait float64) {
	if !d.largeFleetWithoutGossip() {
		return
	}
	w.startWait.add(d.now, workerWaitDecayRuns*d.upperRunTime(), wait)
	d.groupOf(w).add(d.now, groupWaitDecayRuns*d.upperRunTime(), wait)
}

// expectedWait is how long a job would likely wait at a worker: as our last ones there did, and as far
// as they do not show it, as those of its group. One that waits now is on average half way.
func (d *Dispatcher) expectedWait(w *worker) float64 {
	if !d.settings.StartReported || !d.largeFleetWithoutGossip() {
		return 0
	}
	g := d.groupOf(w)
	if g.computedInEvent != d.eventCount {
		g.computedInEvent = d.eventCount
		g.decay(d.now, groupWaitDecayRuns*d.upperRunTime())
		sum, n := g.sum, g.count+1
		for _, a := range d.overdueAttempts() {
			if d.groupOf(a.worker) == g && a.startedAt == 0 && a.inFlight {
				sum, n = sum+2*float64(d.now-a.sentAt), n+1
			}
		}
		g.expectedWait = sum / n
	}
	if w.startWait.count > 0 {
		w.startWait.decay(d.now, workerWaitDecayRuns*d.upperRunTime())
	}
	return (w.startWait.sum + g.expectedWait*groupWaitWeight) / (w.startWait.count + groupWaitWeight)
}

// choiceJitter is a part of a run by which the choice of a worker departs from the best one: all
// dispatchers see much the same, and would send there together.
func (d *Dispatcher) choiceJitter(w *worker) float64 {
	if !d.largeFleetWithoutGossip() {
		return 0
	}
	return (d.random.uniform()*choiceJitterRuns +
		d.ringDistance(d.position, w)/d.ringCoverage*choiceDistanceRuns) * d.upperRunTime()
}

// crossZoneCost is what a cost in another zone comes to here. A small fleet collides less when each
// dispatcher stays in its zone while that is in time.
func (d *Dispatcher) crossZoneCost(cost, remaining float64) float64 {
	if !d.largeFleetWithoutGossip() {
		return max(remaining, cost)
	}
	return cost + d.settings.CrossZonePrice*remaining
}
