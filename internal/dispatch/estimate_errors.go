package dispatch

import "math"

// This file estimates what fraction of its jobs a worker fails. A healthy worker hardly ever fails a job.
// This file makes no dispatch decisions.

const (
	errorDecay = 0.6 // factor by which a new outcome multiplies the weight of a worker's earlier outcomes
	// reportedErrorRateLimit is an error rate in a worker's load report, in errors per second. An outcome whose
	// report has a higher rate counts as an error in a large fleet without gossip.
	reportedErrorRateLimit = 0.3
	reportedErrorDecay     = 0.2  // replaces errorDecay for a report with a rate above reportedErrorRateLimit
	errorRateLimit         = 0.25 // decayed fraction of errors above which a worker counts as failing jobs

	// Time in microseconds in which the error rate of a worker falls to 1/e while the dispatcher sees no outcome
	// of attempts at the worker. The time is longer in a large fleet without gossip, where a dispatcher seldom
	// sends to the same worker.
	errorDecayTime         = 3 * second
	errorDecayTimeNoGossip = 9 * second
)

// recordError adds an outcome to a worker's error rate: sample is 1 for an error, else 0. In a large fleet
// without gossip a dispatcher seldom sends to the same worker, so the error rate that the worker reports
// counts, too: the report includes the jobs of the other dispatchers.
func (d *Dispatcher) recordError(w *worker, sample float64, r Report) {
	keep := errorDecay
	if d.largeFleetWithoutGossip() && r.FreeKnown && r.Errors > reportedErrorRateLimit {
		sample, keep = 1, reportedErrorDecay
	}
	w.errorRate, w.errorRateAt = d.recentErrorRate(w)*keep+sample*(1-keep), d.now
}

// recentErrorRate returns a worker's decayed fraction of errors, 0 to 1, as of now. The error rate also
// decays with time, because a worker that is avoided has no outcomes that could lower the rate.
func (d *Dispatcher) recentErrorRate(w *worker) float64 {
	return w.errorRate * math.Exp(-float64(d.now-w.errorRateAt)/d.errorRateDecayTime())
}

// errorRateDecayTime returns the time in microseconds in which an error rate without outcomes falls to 1/e.
func (d *Dispatcher) errorRateDecayTime() float64 {
	if d.largeFleetWithoutGossip() {
		return errorDecayTimeNoGossip
	}
	return errorDecayTime
}

// failsJobs reports whether a worker counts as failing jobs: its recent error rate exceeds errorRateLimit.
func (d *Dispatcher) failsJobs(w *worker) bool {
	return w.errorRate > 0 && d.recentErrorRate(w) > errorRateLimit
}

// shouldAvoidFailing reports whether a job should avoid a worker that counts as failing jobs. A job whose
// class allows no second attempt after an error avoids such a worker. A job that may be repeated is still
// sent there: the job uses the worker's slots and shows whether the errors last. In a large fleet without
// gossip every job avoids such a worker, because otherwise each of the many dispatchers would have to see
// errors of its own jobs there. When most workers of the subset fail jobs, no job avoids them, because
// waiting would not lead to a better worker.
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
