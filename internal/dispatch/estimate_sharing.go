package dispatch

import (
	"math"

	"dahliaford/internal/subset"
)

// This file computes how dispatchers share workers, and the time limits that depend on this sharing. It makes
// no dispatch decisions.

// subsetFraction returns the fraction of a zone's workers that a dispatcher's subset should have.
func (d *Dispatcher) subsetFraction(readyWorkers int) float64 {
	perWorker, minimum := targetDispatchersPerWorker, minSubsetSize
	if d.largeFleetWithoutGossip() {
		perWorker, minimum = targetDispatchersPerWorkerNoGossip, minSubsetSizeNoGossip
	}
	return max(perWorker/float64(d.settings.Dispatchers), minimum/max(1, float64(readyWorkers)))
}

// startReportTimeout returns how long after a send the dispatcher waits for the report that the job has
// started. After this time a job without the report counts as waiting at the worker.
func (d *Dispatcher) startReportTimeout() Micros {
	if d.largeFleetWithoutGossip() {
		return startReportTimeoutBatchesNoGossip * d.settings.Granularity
	}
	return startReportTimeoutBatches * d.settings.Granularity
}

// silenceTimeout returns the time without a sign of life after which a worker with jobs counts as suspect.
func (d *Dispatcher) silenceTimeout() Micros {
	if d.settings.ProgressInterval == 0 {
		return Micros(silenceTimeoutRuns * max(d.slotTimes.value, second/4))
	}
	return Micros(silenceTimeoutProgressIntervals * float64(d.settings.ProgressInterval))
}

// largeFleetWithoutGossip reports whether the fleet has more than maxSmallFleetDispatchers dispatchers and
// these may not gossip. A dispatcher of such a fleet can infer the load by the other dispatchers only from
// the time that its own jobs wait for their start.
func (d *Dispatcher) largeFleetWithoutGossip() bool {
	return !d.settings.GossipAllowed && d.settings.LargeFleet()
}

// dispatchersPerWorker returns the mean number of dispatchers that share a worker.
func (d *Dispatcher) dispatchersPerWorker() float64 {
	return d.ringCoverage * float64(d.settings.Dispatchers)
}

// covers reports whether a worker lies in the ring interval of the dispatcher whose position on the ring is
// given.
func (d *Dispatcher) covers(position float64, w *worker) bool {
	return d.ringDistance(position, w) < d.ringCoverage
}

// ringDistance returns the distance along the ring from a position forward to a worker, from 0 to 1.
func (d *Dispatcher) ringDistance(position float64, w *worker) float64 {
	return subset.Distance(position, d.workerRingPosition(w))
}

// dispatcherRingPosition returns the position of a dispatcher on the ring, from 0 to 1. Steps of the golden
// ratio spread any run of consecutive dispatcher numbers evenly over the ring, and also a run of every second
// number.
func dispatcherRingPosition(dispatcher int) float64 {
	_, position := math.Modf(math.Abs(float64(dispatcher)) * math.Phi)
	return position
}
