package dispatch

import "math"

// Subsetting: which workers this dispatcher sends to.

const (
	targetDispatchersPerWorker = 8.0 // dispatchers that share a worker of each zone, about
	minSubsetSize              = 5.0 // workers of each zone in a subset, at least
	maxSmallFleetDispatchers   = 8   // so many dispatchers meet seldom enough to need no gossip
	crossZoneGossipSeconds     = 10  // how long one that sent from another zone is sent gossip

	targetDispatchersPerWorkerNoGossip = 4.0 // own jobs show more where fewer dispatchers share a worker
	minSubsetSizeNoGossip              = 3.0
)

// updateSubset picks this dispatcher's subset of the fleet. Hundreds of dispatchers would each see a
// worker once in minutes: too seldom to know its slots, speed or health, and gossip to all peers for
// each job is more than all can take. So both have positions on a ring, and those that are near share
// workers, of all zones and kinds alike. In a small fleet each has all workers; a worker in slow start
// is in its owner's subset, too.
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
