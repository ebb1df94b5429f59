package dispatch

// This file derives the peers' use of a worker from their gossip, and this dispatcher's use of a worker that
// has to be reported to the peers. It makes no dispatch decisions.

// peerSlots returns the number of slots that the peers' jobs use at a worker, and the number of those slots
// whose jobs run. Reports that are too old do not count, because their senders may have stopped.
func (d *Dispatcher) peerSlots(w *worker) (used, running float64) {
	for i := range w.peerUses {
		if p := &w.peerUses[i]; d.peerUseFresh(p) {
			used += float64(p.used)
			running += float64(p.used - min(p.used, p.waiting+d.peerArrivingSlots(p)))
		}
	}
	return used, running
}

// peerUseFresh reports whether a peer's report is recent enough to count.
func (d *Dispatcher) peerUseFresh(p *peerUse) bool {
	return d.now-p.updatedAt < second+Micros(peerUseLifetimeRuns*d.slotTimes.value)
}

// peerJobWaits reports whether a peer's job waits at a worker for its start. Such a worker has no free slot,
// even if the known capacity is larger than the use. Without this check every dispatcher that shares the
// worker would send a job there to find out whether a slot is free.
func (d *Dispatcher) peerJobWaits(w *worker) bool {
	for i := range w.peerUses {
		if p := &w.peerUses[i]; p.waitingSince != 0 && d.peerUseFresh(p) {
			return d.settings.StartReported
		}
	}
	return false
}

// peerJobArriving reports whether a peer sent a job to a worker so recently that the job may not have
// started.
func (d *Dispatcher) peerJobArriving(w *worker) bool {
	for i := range w.peerUses {
		if d.peerArrivingSlots(&w.peerUses[i]) > 0 {
			return d.settings.StartReported
		}
	}
	return false
}

// peerArrivingSlots returns the number of slots by which a peer's use of a worker grew so recently that the
// jobs in these slots may not have started.
func (d *Dispatcher) peerArrivingSlots(p *peerUse) byte {
	if d.now-p.increasedAt < waitReportBatches*d.settings.Granularity {
		return p.arrivingSlots
	}
	return 0
}

// queueGossip records that this dispatcher's use of a worker changed: the worker's index key is computed
// again and, where gossip is allowed, the use is reported to the peers.
func (d *Dispatcher) queueGossip(w *worker) {
	d.markDirty(w)
	if d.settings.GossipAllowed && d.settings.Dispatchers > 1 && !w.gossipQueued {
		w.gossipQueued = true
		d.gossipQueue = append(d.gossipQueue, w)
	}
}

// ownWaitingSlots returns the number of slots of this dispatcher's jobs that wait at a worker for their
// start, and whether this dispatcher sent jobs there so recently that their start may not have been reported.
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
