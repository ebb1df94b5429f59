package dispatch

import (
	"math"

	"dahliaford/internal/subset"
)

// How dispatchers share workers, and the limits that follow from it. Nothing here decides.

// subsetFraction is the part of a zone's workers that is a dispatcher's own.
func (d *Dispatcher) subsetFraction(readyWorkers int) float64 {
	sharing, minimum := targetSharing, minSubsetSize
	if d.withoutGossip() {
		sharing, minimum = targetSharingNoGossip, minSubsetSizeNoGossip
	}
	return max(sharing/float64(d.settings.Dispatchers), minimum/max(1, float64(readyWorkers)))
}

// startPatience is how long a job may take to begin before it counts as waiting.
func (d *Dispatcher) startPatience() Micros {
	if d.withoutGossip() {
		return startNoticeBatchesNoGossip * d.settings.Granularity
	}
	return startNoticeBatches * d.settings.Granularity
}

// silenceLimit is how long a worker with work may give no sign of life.
func (d *Dispatcher) silenceLimit() Micros {
	if d.settings.ProgressInterval == 0 {
		return Micros(silentRuns * max(d.slotTimes.value, second/4))
	}
	return Micros(silentProgressIntervals * float64(d.settings.ProgressInterval))
}

// withoutGossip reports whether the fleet is large and sends no gossip: what its dispatchers do
// together shows only in how long jobs wait.
func (d *Dispatcher) withoutGossip() bool {
	return !d.settings.GossipAllowed && d.settings.LargeFleet()
}

// sharing is how many dispatchers share a worker.
func (d *Dispatcher) sharing() float64 { return d.reach * float64(d.settings.Dispatchers) }

// covers reports whether the interval of the dispatcher at a position has a worker.
func (d *Dispatcher) covers(position float64, w *worker) bool {
	return d.distanceFrom(position, w) < d.reach
}

// distanceFrom is how far on the ring a worker comes behind a position.
func (d *Dispatcher) distanceFrom(position float64, w *worker) float64 {
	return subset.Distance(position, d.ringPositionOf(w))
}

// ringPosition is the position of a dispatcher on the ring: steps of the golden section spread any run
// of numbers evenly, and every second one, too.
func ringPosition(dispatcher int) float64 {
	_, position := math.Modf(math.Abs(float64(dispatcher)) * math.Phi)
	return position
}
