package dispatch

import (
	"encoding/binary"
	"slices"
)

// Gossip: dispatchers that share a worker report to each other what they have there.

const (
	gossipMessageSize   = 7    // bytes: the sender's zone, worker, slots in use, slots of jobs that wait
	waitReportBatches   = 4    // batches until a job that has not begun is reported to wait
	maxGossipPeers      = 12.0 // dispatchers that a job is reported to: 1.5 * targetDispatchersPerWorker
	peerUseLifetimeRuns = 4.0  // upper run times for which a peer's report counts
)

// sendGossip reports to those who share a worker what changed in our use of it. Lost or late messages
// only make their view of free slots worse; no rule depends on it. Peers assume that a job has begun
// unless it is reported to wait: that saves a message.
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

// multicast sends a message to those who share a worker: those of its zone, those of other zones who
// send here, and all while they are few. One who comes from another zone and receives nothing takes
// every worker for free and fills it; when we cross, others of our zone likely do so, too.
func (d *Dispatcher) multicast(w *worker, message []byte) {
	sent, small := 0.0, d.dispatchersPerWorker() <= targetDispatchersPerWorker
	for i := range d.neighbours {
		p := d.neighbours[(i+max(d.settings.Index, 0))%len(d.neighbours)]
		peer := &d.peers[p]
		near := peer.zone == unknownZone || peer.zone == w.entry.Zone || w.entry.Zone != d.settings.Zone
		crosses := peer.crossedZoneAt != 0 && d.now-peer.crossedZoneAt < crossZoneGossipSeconds*second
		if p != d.settings.Index && (small || near || crosses) && d.covers(peer.position, w) {
			d.emit(Action{Kind: SendGossip, Peer: p, Message: message})
			if sent++; sent >= maxGossipPeers { // a fleet that shrinks has many to a worker
				return
			}
		}
	}
}

// onGossip takes a peer's report of its use of a worker.
func (d *Dispatcher) onGossip(e *Event) {
	m := e.Message
	if len(m) != gossipMessageSize || e.Peer < 0 || e.Peer >= d.settings.Dispatchers {
		return
	}
	peer := &d.peers[e.Peer]
	peer.zone = int(m[0])
	w := d.workers[WorkerID(binary.BigEndian.Uint32(m[1:]))]
	if w == nil {
		return // not on our list: a peer's report is not enough
	}
	if peer.zone != w.entry.Zone {
		peer.crossedZoneAt = d.now
	}
	d.recordPeerUse(w, e.Peer, slotUse{m[5], m[6]})
}

// recordPeerUse records what a peer has at a worker.
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
