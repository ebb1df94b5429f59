package dispatch

import "math"

// Estimates of how often a worker fails jobs. A healthy one hardly ever does. Nothing here decides.

const (
	errorDecay             = 0.6  // what an outcome leaves of those before it
	reportedErrorRateLimit = 0.3  // errors a second in a report from which on it counts as an error
	reportedErrorDecay     = 0.2  // like errorDecay, with such a report
	errorRateLimit         = 0.25 // from which on a worker counts as failing jobs
	errorDecayTime         = 3 * second
	errorDecayTimeNoGossip = 9 * second // the same where each of many meets a worker seldom
)

// recordError records an outcome: 1 an error, 0 none. A large fleet without gossip meets a worker
// seldom; its report shows each dispatcher what the others met there.
func (d *Dispatcher) recordError(w *worker, sample float64, r Report) {
	keep := errorDecay
	if d.largeFleetWithoutGossip() && r.FreeKnown && r.Errors > reportedErrorRateLimit {
		sample, keep = 1, reportedErrorDecay
	}
	w.errorRate, w.errorRateAt = d.recentErrorRate(w)*keep+sample*(1-keep), d.now
}

// recentErrorRate is the recent rate of errors. It fades by itself, as a worker that is avoided shows
// nothing.
func (d *Dispatcher) recentErrorRate(w *worker) float64 {
	return w.errorRate * math.Exp(-float64(d.now-w.errorRateAt)/d.errorRateDecayTime())
}

// errorRateDecayTime is the time in which the error rate falls to 1/e, in microseconds.
func (d *Dispatcher) errorRateDecayTime() float64 {
	if d.largeFleetWithoutGossip() {
		return errorDecayTimeNoGossip
	}
	return errorDecayTime
}

// failsJobs reports whether a worker counts as failing jobs.
func (d *Dispatcher) failsJobs(w *worker) bool {
	return w.errorRate > 0 && d.recentErrorRate(w) > errorRateLimit
}

// shouldAvoidFailing reports whether a job should avoid a worker that fails some: its class allows no second
// attempt after an error. What may be repeated still goes there, uses the slots and finds out whether
// the errors last, but not in a large fleet without gossip, where each dispatcher would find out. When
// most workers fail jobs, there is nothing better to wait for.
func (d *Dispatcher) shouldAvoidFailing(j *job, w *worker) bool {
	if d.settings.Classes[j.class].Effect != Unsafe && !d.largeFleetWithoutGossip() || !d.failsJobs(w) {
		return false
	}
	if d.failingWorkers.event != d.eventCount || !d.largeSubset() {
		d.failingWorkers.event, d.failingWorkers.count = d.eventCount, 0
		for _, w := range d.subset {
			if d.failsJobs(w) {
				d.failingWorkers.count++
			}
		}
	}
	return d.failingWorkers.count <= panicThreshold*float64(len(d.subset))
}
