package dispatch

import "math"

// Subsetting: the choice of the workers that this dispatcher sends to.

const (
	// targetDispatchersPerWorker is the number of dispatchers that share a worker, as a target for each zone.
	targetDispatchersPerWorker = 8.0
	minSubsetSize              = 5.0 // least number of workers of each zone in a subset

	// maxSmallFleetDispatchers is the largest number of dispatchers of a small fleet. Up to this number, two
	// dispatchers send to one worker at the same time so seldom that they need no gossip.
	maxSmallFleetDispatchers = 8

	// crossZoneGossipSeconds is the time, in seconds, for which a dispatcher that has reported its use of a
	// worker in another zone than the dispatcher's receives gossip about workers of other zones.
	crossZoneGossipSeconds = 10

	// The following constants replace targetDispatchersPerWorker and minSubsetSize in a large fleet without
	// gossip. With fewer dispatchers for each worker, each dispatcher learns more of the worker's state from its
	// own jobs.
	targetDispatchersPerWorkerNoGossip = 4.0
	minSubsetSizeNoGossip              = 3.0
)

// updateSubset chooses this dispatcher's subset of the fleet after an update of the worker list. If each of
// hundreds of dispatchers used all workers, it would send to a given worker once in minutes, too seldom to
// know the worker's slots, speed or health, and gossip about each job to all peers would be more than the
// dispatchers can process. So dispatchers and workers have positions on a ring, and a dispatcher uses the
// workers in the interval that begins at its position, of all zones and kinds alike. In a small fleet the
// interval covers all workers. A worker in slow start is in the subset of its owner (the dispatcher that may
// send to the worker during the slow start) as well.
func (d *Dispatcher) updateSubset(updated []*worker) {
	d.reorder(updated)
	ringCoverage := min(1, float64(d.ring.Zones())*d.subsetFraction(d.ring.Len()))
	if ringCoverage != d.ringCoverage {
		d.ringCoverage, d.neighbours = ringCoverage, d.neighbours[:0]
		for p := range d.peers {
			if distance := math.Abs(d.peers[p].position - d.position); min(distance, 1-distance) < d.ringCoverage {
				d.neighbours = append(d.neighbours, p)
			}
		}
	}
	d.ring.Cover(d.position, d.ringCoverage, d.setCovered)
	for _, w := range d.ownedNotCovered {
		d.setInSubset(w, d.slowStartSince(w) != 0)
	}
}
