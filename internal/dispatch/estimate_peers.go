package dispatch

// What peers have at a worker, by their gossip, and what there is to report to them. Nothing here decides.

// peerSlots is what the peers have at a worker. Old reports are dropped: their senders may be gone.
func (d *Dispatcher) peerSlots(w *worker) (used, running float64) {
	for i := range w.peerUses {
		if p := &w.peerUses[i]; d.peerUseFresh(p) {
			used += float64(p.used)
			running += float64(p.used - min(p.used, p.waiting+d.peerArrivingSlots(p)))
		}
	}
	return used, running
}

// peerUseFresh reports whether a peer's report still counts.
func (d *Dispatcher) peerUseFresh(p *peerUse) bool {
	return d.now-p.updatedAt < second+Micros(peerUseLifetimeRuns*d.slotTimes.value)
}

// peerJobWaits reports whether a peer's job waits at a worker. Then it is full whatever our slot limit
// says; else each of ten dispatchers would try there.
func (d *Dispatcher) peerJobWaits(w *worker) bool {
	for i := range w.peerUses {
		if p := &w.peerUses[i]; p.waitingSince != 0 && d.peerUseFresh(p) {
			return d.settings.StartReported
		}
	}
	return false
}

// peerJobArriving reports whether a peer's job may not have begun at a worker yet.
func (d *Dispatcher) peerJobArriving(w *worker) bool {
	for i := range w.peerUses {
		if d.peerArrivingSlots(&w.peerUses[i]) > 0 {
			return d.settings.StartReported
		}
	}
	return false
}

// peerArrivingSlots is the slots of a peer's jobs that may not have begun yet.
func (d *Dispatcher) peerArrivingSlots(p *peerUse) byte {
	if d.now-p.increasedAt < waitReportBatches*d.settings.Granularity {
		return p.arrivingSlots
	}
	return 0
}

// queueGossip marks a worker whose use may have to be reported to peers.
func (d *Dispatcher) queueGossip(w *worker) {
	d.markDirty(w)
	if d.settings.GossipAllowed && d.settings.Dispatchers > 1 && !w.gossipQueued {
		w.gossipQueued = true
		d.gossipQueue = append(d.gossipQueue, w)
	}
}

// ownWaitingSlots is the slots of own jobs that wait at a worker, and whether others of ours may still be on
// their way.
func (d *Dispatcher) ownWaitingSlots(w *worker) (slots float64, arriving bool) {
	for _, a := range w.attempts {
		if d.settings.StartReported && a.startedAt == 0 {
			if d.now-a.sentAt < waitReportBatches*d.settings.Granularity {
				arriving = true
			} else {
				slots += a.job.slots
			}
		}
	}
	return slots, arriving
}
