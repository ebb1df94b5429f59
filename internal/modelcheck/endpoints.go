package modelcheck

import (
	"dahliaford/internal/dispatch"
	"dahliaford/internal/scheduler"
)

// watchState is the scheduler's watch of the worker list, and how long the list can be relied on.
type watchState struct {
	open     bool // discovery sends changes at once
	pending  bool // a watch has been opened, and not been answered yet
	revision int64

	// With Rules.LimitStaleness only:

	lastContact Micros // the last message of discovery
	validUntil  Micros // the list may be relied on until then
	reloadedAt  Micros // a new configuration came then, whose discovery has not answered; 0: it has
}

// watchActions lists what can happen to the watch of the worker list.
func (w *World) watchActions(out []Action) []Action {
	mayClose := w.mayInject(FaultWatchClosed)
	if w.watch.pending {
		out = append(out, Action{Kind: AnswerWatch})
		if mayClose {
			out = append(out, Action{Kind: RestartDiscovery})
		}
	}
	if mayClose {
		out = append(out, Action{Kind: CloseWatch})
	}
	return out
}

func (w *World) answerWatch(Action) {
	w.watch.pending, w.watch.open = false, true
	w.listDelivered()
	w.step(scheduler.EndpointsUpdated{List: w.workerList(true)})
}

func (w *World) restartDiscovery(a Action) {
	w.spendFault(FaultWatchClosed)
	w.watch.revision = 1
	w.answerWatch(a)
}

// closeWatch models what the node does when a watch ends (see the freshness guard of package node), which
// cannot run here because it is on sockets: it says until when the list may be relied on.
func (w *World) closeWatch(Action) {
	w.spendFault(FaultWatchClosed)
	if w.watch.open { // else nothing depended on it
		limit := w.watch.lastContact + w.cfg.Rules.pollInterval()
		if w.cfg.Rules.EndpointsPushed {
			limit = w.now + drainGrace
		}
		w.watch.validUntil = min(w.watch.validUntil, limit)
	}
	w.watch.open = false
	w.step(scheduler.WatchClosed{ValidUntil: w.watch.validUntil})
}

// openWatch models that the scheduler opens a watch. validUntil is 0 unless a new configuration was loaded.
func (w *World) openWatch(validUntil Micros) {
	w.watch.pending, w.watch.open = true, false
	if validUntil != 0 && w.cfg.Rules.LimitStaleness {
		w.watch.reloadedAt, w.watch.validUntil = w.now, min(w.watch.validUntil, validUntil)
	}
}

// listDelivered notes that the scheduler has the present list.
func (w *World) listDelivered() {
	if w.cfg.Rules.LimitStaleness {
		w.watch.lastContact, w.watch.validUntil, w.watch.reloadedAt = w.now, w.now+maxStaleness, 0
	}
	for i := range w.workers {
		r := &w.workers[i]
		r.knownStart = r.startedAt
		switch {
		case r.status == dispatch.Ready:
			r.leavingNotifiedAt = 0
		case r.leavingNotifiedAt == 0:
			r.leavingNotifiedAt = w.now
		}
	}
}

// publish makes a new revision of the list after a change of a worker, and delivers it if it is watched.
func (w *World) publish(worker uint8) {
	r := &w.workers[worker]
	switch {
	case r.status == dispatch.Ready:
		r.leavingChangedAt = 0
	case r.leavingChangedAt == 0:
		r.leavingChangedAt = w.now
		if w.watch.reloadedAt != 0 { // what the discovery of a new configuration says counts only then
			r.leavingChangedAt = max(w.now, w.watch.reloadedAt+reloadGrace)
		}
	}
	w.watch.revision++
	if w.watch.open {
		w.listDelivered()
		w.step(scheduler.EndpointsUpdated{List: w.workerList(false, worker)})
	}
}

// workerList is the whole list without removed workers, or the entries of some workers.
func (w *World) workerList(complete bool, changed ...uint8) scheduler.WorkerList {
	list := scheduler.WorkerList{Revision: w.watch.revision, Complete: complete}
	if complete {
		for i := range w.workers {
			if w.workers[i].status != dispatch.Removed {
				list.Workers = append(list.Workers, w.workerEntry(uint8(i)))
			}
		}
	}
	for _, worker := range changed {
		list.Workers = append(list.Workers, w.workerEntry(worker))
	}
	return list
}

func (w *World) workerEntry(worker uint8) scheduler.Worker {
	r := &w.workers[worker]
	uid := workerUID(worker)
	return scheduler.Worker{UID: uid, Addr: uid, Zone: "north", Kind: "m1", Cell: w.cfg.Racks[worker],
		Status: r.status, Started: r.startedAt}
}

// blocksSend models the node's last check before the first byte of an attempt is written (the freshness
// guard of package node).
func (w *World) blocksSend(to *worker) bool {
	return w.listStale() || w.cfg.Rules.LimitStaleness && to.leavingNotifiedAt != 0
}

// listStale reports whether the list may no longer be relied on.
func (w *World) listStale() bool { return w.cfg.Rules.LimitStaleness && w.now > w.watch.validUntil }

// leavingSince is the time from which the scheduler counts as notified that a worker drains or is gone; 0:
// it does not.
func (w *World) leavingSince(r *worker) Micros {
	since := r.leavingNotifiedAt
	if r.leavingChangedAt == 0 || !w.cfg.Rules.LimitStaleness {
		return since
	}
	counts := r.leavingChangedAt + maxStaleness
	switch {
	case w.cfg.Rules.EndpointsPushed: // what the agent has counts at once
		counts = r.leavingChangedAt
	case !w.watch.open:
		counts = min(counts, r.leavingChangedAt+w.cfg.Rules.pollInterval())
	}
	if since == 0 || counts < since {
		since = counts
	}
	if since > w.now {
		return 0
	}
	return since
}
