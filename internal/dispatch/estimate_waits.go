package dispatch

import "math"

// This file estimates how long jobs wait at workers before they start. Only a large fleet without gossip uses
// these estimates, because its dispatchers do not see each other's jobs. This file makes no dispatch
// decisions.

const (
	// groupWaitDecayRuns is the time, in multiples of upperRunTime, in which the weight of the waits in a group
	// (the workers of one machine kind in one zone) decays to 1/e.
	groupWaitDecayRuns = 12.0
	// groupWaitWeight is the weight of the expected wait in a worker's group (the workers of the same machine
	// kind in the same zone) relative to one wait at the worker itself.
	groupWaitWeight = 0.5
	// workerWaitDecayRuns is the time, in multiples of upperRunTime, in which the weight of the waits at one
	// worker decays to 1/e.
	workerWaitDecayRuns = 6.0
)

// Additions to the placement cost of a worker, in multiples of upperRunTime, that make dispatchers choose
// different workers.
const (
	// choiceJitterRuns is the largest random addition to the cost, in multiples of upperRunTime.
	choiceJitterRuns = 0.25
	// choiceDistanceRuns is the addition for a worker at the far end of the dispatcher's ring interval, in
	// multiples of upperRunTime.
	choiceDistanceRuns = 0.5
)

// waitEstimate is the mean time that jobs waited at workers before they started. Earlier waits lose weight
// with time, because the load that other dispatchers put on the workers changes.
type waitEstimate struct {
	sum, count float64 // decayed sum of the waits in microseconds, and decayed number of the waits
	decayedAt  Micros  // time as of which the sum and the number are decayed
}

// group holds the estimate of the waits at the workers of one machine kind in one zone. All dispatchers rate
// the workers of a group alike, so they load these workers together.
type group struct {
	waitEstimate
	expectedWait    float64 // mean wait in microseconds, which includes jobs whose start is overdue now
	computedInEvent uint64  // value of Dispatcher.eventCount when expectedWait was computed
}

// groupKey identifies a group: the workers of one machine kind in one zone.
type groupKey struct{ zone, kind int }

// decay multiplies the weight of the earlier waits by 1/e for each span of time that has passed since the
// last call. The span is in microseconds.
func (s *waitEstimate) decay(now Micros, span float64) {
	keep := math.Exp(-float64(now-s.decayedAt) / span)
	s.sum, s.count, s.decayedAt = s.sum*keep, s.count*keep, now
}

// add decays the earlier waits and then adds a wait in microseconds.
func (s *waitEstimate) add(now Micros, span, wait float64) {
	s.decay(now, span)
	s.sum, s.count = s.sum+wait, s.count+1
}

// groupOf returns the group of a worker: the workers of the same machine kind in the same zone. It creates
// the group if there is none.
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

// recordWait adds the time in microseconds that a job waited at a worker to the estimate for this worker and
// to the estimate for the worker's group, which is the workers of the same machine kind in the same zone.
func (d *Dispatcher) recordWait(w *worker, wait float64) {
	if !d.largeFleetWithoutGossip() {
		return
	}
	w.startWait.add(d.now, workerWaitDecayRuns*d.upperRunTime(), wait)
	d.groupOf(w).add(d.now, groupWaitDecayRuns*d.upperRunTime(), wait)
}

// expectedWait returns the expected time in microseconds that a job would wait at a worker before its start:
// the mean of the recent waits of this dispatcher's jobs at the worker and of the expected wait of the
// worker's group (same machine kind, same zone), which has the weight groupWaitWeight. A job that still waits
// counts in the group's expected wait with twice its wait so far, because on average half of the job's wait
// has passed.
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

// choiceJitter returns an addition, in microseconds, to the placement cost of a worker: a random part and a
// part that grows with the distance on the ring from this dispatcher to the worker. Without this addition all
// dispatchers, which have similar estimates, would send to the same workers at the same time.
func (d *Dispatcher) choiceJitter(w *worker) float64 {
	if !d.largeFleetWithoutGossip() {
		return 0
	}
	return (d.random.uniform()*choiceJitterRuns +
		d.ringDistance(d.position, w)/d.ringCoverage*choiceDistanceRuns) * d.upperRunTime()
}

// crossZoneCost returns the cost, in microseconds, at which a worker of another zone is compared with a
// worker of this dispatcher's zone. In a large fleet without gossip the result is the placement cost plus a
// price in proportion to the time that remains until the job's objective. In other fleets the result is at
// least the remaining time, so that a dispatcher sends to its own zone while a worker of that zone can meet
// the objective: dispatchers of different zones then send to the same worker at the same time less often.
func (d *Dispatcher) crossZoneCost(cost, remaining float64) float64 {
	if !d.largeFleetWithoutGossip() {
		return max(remaining, cost)
	}
	return cost + d.settings.CrossZonePrice*remaining
}
