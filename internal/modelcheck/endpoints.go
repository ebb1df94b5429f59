package modelcheck

import (
	"dahliaford/internal/dispatch"
	"dahliaford/internal/scheduler"
)

// watchState is the state of the scheduler's watch of the worker list and the validity of that list.
type watchState struct {
	open     bool // the watch is established: discovery sends each change at once
	pending  bool // the scheduler has opened a watch that discovery has not answered yet
	revision int64

	// The following fields are used only with Overrides.LimitStaleness.

	lastContact Micros // time of the last message from discovery
	validUntil  Micros // time at which the list expires
	reloadedAt  Micros // time of a reload after which discovery has not answered yet; 0 if there is none
}

// watchActions appends the enabled actions of the watch of the worker list.
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
	w.recordListDelivery()
	w.step(scheduler.EndpointsUpdated{List: w.workerList(true)})
}

func (w *World) restartDiscovery(a Action) {
	w.spendFault(FaultWatchClosed)
	w.watch.revision = 1
	w.answerWatch(a)
}

// closeWatch closes the watch and notifies the scheduler of the time at which its list expires. It models the
// freshness guard of package node, which computes that time but needs sockets and therefore cannot run here.
func (w *World) closeWatch(Action) {
	w.spendFault(FaultWatchClosed)
	if w.watch.open { // if no watch is established, its close does not shorten the validity of the list
		limit := w.watch.lastContact + w.cfg.Overrides.pollInterval()
		if w.cfg.Overrides.EndpointsPushed {
			limit = w.now + drainGrace
		}
		w.watch.validUntil = min(w.watch.validUntil, limit)
	}
	w.watch.open = false
	w.step(scheduler.WatchClosed{ValidUntil: w.watch.validUntil})
}

// openWatch models the opening of a watch by the scheduler. After a reload, validUntil is the time at which
// the present list expires; otherwise it is 0.
func (w *World) openWatch(validUntil Micros) {
	w.watch.pending, w.watch.open = true, false
	if validUntil != 0 && w.cfg.Overrides.LimitStaleness {
		w.watch.reloadedAt, w.watch.validUntil = w.now, min(w.watch.validUntil, validUntil)
	}
}

// recordListDelivery records that the scheduler has received the present worker list.
func (w *World) recordListDelivery() {
	if w.cfg.Overrides.LimitStaleness {
		w.watch.lastContact, w.watch.validUntil, w.watch.reloadedAt = w.now, w.now+maxStaleness, 0
	}
	for i := range w.workers {
		r := &w.workers[i]
		r.knownStartedAt = r.startedAt
		switch {
		case r.status == dispatch.Ready:
			r.leavingNotifiedAt = 0
		case r.leavingNotifiedAt == 0:
			r.leavingNotifiedAt = w.now
		}
	}
}

// publish creates a new revision of the worker list after a change of a worker, and delivers the change if
// the scheduler's watch is open.
func (w *World) publish(worker uint8) {
	r := &w.workers[worker]
	switch {
	case r.status == dispatch.Ready:
		r.leavingChangedAt = 0
	case r.leavingChangedAt == 0:
		r.leavingChangedAt = w.now
		// After a reload of the configuration, the scheduler counts as notified of a change by the newly configured
		// discovery only after reloadGrace.
		if w.watch.reloadedAt != 0 {
			r.leavingChangedAt = max(w.now, w.watch.reloadedAt+reloadGrace)
		}
	}
	w.watch.revision++
	if w.watch.open {
		w.recordListDelivery()
		w.step(scheduler.EndpointsUpdated{List: w.workerList(false, worker)})
	}
}

// workerList returns the complete list without removed workers, or the entries of the changed workers only.
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

// blocksSend reports whether the freshness guard of package node rejects an attempt immediately before its
// first byte is written: the list has expired, or discovery lists the worker as draining or removed.
func (w *World) blocksSend(to *worker) bool {
	return w.listStale() || w.cfg.Overrides.LimitStaleness && to.leavingNotifiedAt != 0
}

// listStale reports whether the validity of the scheduler's worker list has expired.
func (w *World) listStale() bool { return w.cfg.Overrides.LimitStaleness && w.now > w.watch.validUntil }

// leavingSince returns the time at which the scheduler counts as notified that a worker drains or is removed,
// or 0 if the scheduler does not count as notified yet. With LimitStaleness, the scheduler counts as notified
// of a change even if the notice is not delivered: at once with pushed lists, after the poll interval without
// a watch, and otherwise after maxStaleness.
func (w *World) leavingSince(r *worker) Micros {
	since := r.leavingNotifiedAt
	if r.leavingChangedAt == 0 || !w.cfg.Overrides.LimitStaleness {
		return since
	}
	counts := r.leavingChangedAt + maxStaleness
	switch {
	case w.cfg.Overrides.EndpointsPushed: // with pushed lists the scheduler counts as notified at once
		counts = r.leavingChangedAt
	case !w.watch.open:
		counts = min(counts, r.leavingChangedAt+w.cfg.Overrides.pollInterval())
	}
	if since == 0 || counts < since {
		since = counts
	}
	if since > w.now {
		return 0
	}
	return since
}
