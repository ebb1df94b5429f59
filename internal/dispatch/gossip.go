package dispatch

import (
	"encoding/binary"
	"slices"
)

// Gossip: dispatchers that share a worker report to each other how many of the worker's slots they use.

const (
	// gossipMessageSize is the length of a message in bytes: the sender's zone (1), the worker (4), slots in use
	// (1) and slots of jobs that wait at the worker (1).
	gossipMessageSize = 7

	// waitReportBatches is the time, in multiples of Settings.Granularity, after which a job that was sent and
	// whose start is not known is reported to peers as waiting.
	waitReportBatches = 4

	// maxGossipPeers is the largest number of dispatchers to which a change in the use of a worker is reported,
	// 1.5 times targetDispatchersPerWorker.
	maxGossipPeers = 12.0

	// peerUseLifetimeRuns is the time, in upper quartiles of run times, that is added to 1 s to give the time
	// for which a peer's report of its use of a worker counts.
	peerUseLifetimeRuns = 4.0
)

// sendGossip reports changes in this dispatcher's use of workers to the peers that share them. Lost or late
// messages only make the peers' estimates of free slots worse; no safety rule depends on gossip. Peers assume
// that a job has begun unless it is reported as waiting, which saves a message for most jobs.
func (d *Dispatcher) sendGossip() {
	later := d.gossipQueue[:0]
	for _, w := range d.gossipQueue {
		waiting, arriving := d.ownWaitingSlots(w)
		if w.gossipQueued = arriving; arriving {
			later = append(later, w)
		}
		use := slotUse{byte(min(w.ownSlots, 255)), byte(min(waiting, 255))}
		if use == w.lastGossiped {
			continue
		}
		w.lastGossiped = use
		message := binary.BigEndian.AppendUint32([]byte{byte(d.settings.Zone)}, uint32(w.entry.Worker))
		d.multicast(w, append(message, use.used, use.waiting))
	}
	d.gossipQueue = later
}

// multicast sends a message about a worker to peers whose ring intervals cover the worker. If few dispatchers
// share a worker, or if the worker is in another zone than this dispatcher, all these peers get the message:
// other dispatchers of this dispatcher's zone likely send to that zone as well. Otherwise the message goes to
// peers of the worker's zone, to peers whose zone is unknown, and to peers that have recently sent jobs to
// another zone than their own. A peer of another zone that received no gossip would assume that all workers
// of this dispatcher's zone are free, and fill them.
func (d *Dispatcher) multicast(w *worker, message []byte) {
	sent, small := 0.0, d.dispatchersPerWorker() <= targetDispatchersPerWorker
	for i := range d.neighbours {
		p := d.neighbours[(i+max(d.settings.Index, 0))%len(d.neighbours)]
		peer := &d.peers[p]
		near := peer.zone == unknownZone || peer.zone == w.entry.Zone || w.entry.Zone != d.settings.Zone
		crosses := peer.crossedZoneAt != 0 && d.now-peer.crossedZoneAt < crossZoneGossipSeconds*second
		if p != d.settings.Index && (small || near || crosses) && d.covers(peer.position, w) {
			d.emit(Action{Kind: SendGossip, Peer: p, Message: message})
			// The limit matters in a fleet whose number of workers has fallen, where many dispatchers share a
			// worker.
			if sent++; sent >= maxGossipPeers {
				return
			}
		}
	}
}

// onGossip handles a gossip message, in which a peer reports how many slots of a worker the peer uses.
func (d *Dispatcher) onGossip(e *Event) {
	m := e.Message
	if len(m) != gossipMessageSize || e.Peer < 0 || e.Peer >= d.settings.Dispatchers {
		return
	}
	peer := &d.peers[e.Peer]
	peer.zone = int(m[0])
	w := d.workers[WorkerID(binary.BigEndian.Uint32(m[1:]))]
	if w == nil {
		return // the worker is not on this dispatcher's list, and a peer's report does not add the worker
	}
	if peer.zone != w.entry.Zone {
		peer.crossedZoneAt = d.now
	}
	d.recordPeerUse(w, e.Peer, slotUse{m[5], m[6]})
}

// recordPeerUse records how many slots of a worker a peer uses, and how many of these slots belong to jobs
// that wait for their start. It drops the record of a peer that uses no slot and, when a record for a new
// peer is added, the records that peerUseFresh does not accept any more.
func (d *Dispatcher) recordPeerUse(w *worker, peer int, u slotUse) {
	i := slices.IndexFunc(w.peerUses, func(p peerUse) bool { return p.peer == peer })
	if i < 0 {
		if u.used == 0 {
			return
		}
		w.peerUses = slices.DeleteFunc(w.peerUses, func(p peerUse) bool { return !d.peerUseFresh(&p) })
		i = len(w.peerUses)
		w.peerUses = append(w.peerUses, peerUse{peer: peer})
	}
	p := &w.peerUses[i]
	switch {
	case u.waiting == 0:
		p.waitingSince = 0
	case p.waitingSince == 0:
		p.waitingSince = d.now
	}
	if u.used > p.used {
		p.arrivingSlots, p.increasedAt = u.used-p.used, d.now
	}
	p.slotUse, p.updatedAt = u, d.now
	if u.used == 0 {
		w.peerUses = slices.Delete(w.peerUses, i, i+1)
	}
}
