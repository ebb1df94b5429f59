package dispatch

import (
	"math"

	"dahliaford/internal/subset"
)

// How dispatchers share workers, and the limits that follow from it. Nothing here decides.

// subsetFraction is the part of a zone's workers that is a dispatcher's own.
func (d *Dispatcher) subsetFraction(readyWorkers int) float64 {
	perWorker, minimum := targetDispatchersPerWorker, minSubsetSize
	if d.largeFleetWithoutGossip() {
		perWorker, minimum = targetDispatchersPerWorkerNoGossip, minSubsetSizeNoGossip
	}
	return max(perWorker/float64(d.settings.Dispatchers), minimum/max(1, float64(readyWorkers)))
}

// startReportTimeout is how long a job may take to begin before it counts as waiting.
func (d *Dispatcher) startReportTimeout() Micros {
	if d.largeFleetWithoutGossip() {
		return startReportTimeoutBatchesNoGossip * d.settings.Granularity
	}
	return startReportTimeoutBatches * d.settings.Granularity
}

// silenceTimeout is how long a worker with work may give no sign of life.
func (d *Dispatcher) silenceTimeout() Micros {
	if d.settings.ProgressInterval == 0 {
		return Micros(silenceTimeoutRuns * max(d.slotTimes.value, second/4))
	}
	return Micros(silenceTimeoutProgressIntervals * float64(d.settings.ProgressInterval))
}

// largeFleetWithoutGossip reports whether the fleet is large and sends no gossip: what its dispatchers do
// together shows only in how long jobs wait.
func (d *Dispatcher) largeFleetWithoutGossip() bool {
	return !d.settings.GossipAllowed && d.settings.LargeFleet()
}

// dispatchersPerWorker is how many dispatchers share a worker.
func (d *Dispatcher) dispatchersPerWorker() float64 {
	return d.ringCoverage * float64(d.settings.Dispatchers)
}

// covers reports whether the interval of the dispatcher at a position has a worker.
func (d *Dispatcher) covers(position float64, w *worker) bool {
	return d.ringDistance(position, w) < d.ringCoverage
}

// ringDistance is how far on the ring a worker comes behind a position.
func (d *Dispatcher) ringDistance(position float64, w *worker) float64 {
	return subset.Distance(position, d.workerRingPosition(w))
}

// dispatcherRingPosition is the position of a dispatcher on the ring: steps of the golden section
// spread any run of numbers evenly, and every second one, too.
func dispatcherRingPosition(dispatcher int) float64 {
	_, position := math.Modf(math.Abs(float64(dispatcher)) * math.Phi)
	return position
}
