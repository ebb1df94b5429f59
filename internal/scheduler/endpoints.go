package scheduler

import (
	"slices"

	"dahliaford/internal/dispatch"
)

// reloadTimeout is how long the known worker list stays valid after a reload of the configuration if the
// newly configured discovery service does not answer.
const reloadTimeout Micros = 4 * second

// handleEndpoints applies an update of the worker list.
func (s *Scheduler) handleEndpoints(e *EndpointsUpdated) {
	if e.FromPreviousWatch {
		s.applyPreviousWatch(e.List)
		return
	}
	asOf := e.AsOf
	if asOf == 0 {
		asOf = s.now
	}
	s.watchOpen, s.listAsOf = true, asOf
	scope := dispatch.UpdateDelta
	if e.List.Complete {
		scope = dispatch.UpdateFull
	}
	s.applyUpdate(e.List, scope, asOf)
}

func (s *Scheduler) handleWatchClosed(e *WatchClosed) {
	s.watchOpen = false
	failed := dispatch.Event{Kind: dispatch.EndpointsUpdated, Scope: dispatch.UpdateFailed}
	if e.Unreadable || e.ValidUntil != 0 {
		failed.Age = s.ageIfValidUntil(e.ValidUntil)
	}
	s.stepDispatcher(failed)
}

// reload switches to the discovery service that a new configuration names. It opens a watch of the new
// service at once, without waiting for the dispatcher to request one, because the watch of the old service
// ends. The known worker list stays in use until the new service answers, for reloadTimeout at most. The
// known revision is dropped, as the new service may number its revisions differently.
func (s *Scheduler) reload(discovery string) {
	s.discoveryAddr, s.revision, s.watchOpen = discovery, 0, false
	s.epoch++
	validUntil := s.now + reloadTimeout
	s.emit(OpenWatch{Addr: s.discoveryAddr, Revision: s.revision, ValidUntil: validUntil})
	s.stepDispatcher(dispatch.Event{Kind: dispatch.EndpointsUpdated, Scope: dispatch.UpdateDrains,
		Age: s.ageIfValidUntil(validUntil)})
}

// ageIfValidUntil returns the age (time since discovery last confirmed the worker list) that the dispatcher
// has to assume so that the list becomes stale at the given time.
func (s *Scheduler) ageIfValidUntil(validUntil Micros) Micros {
	return s.now - validUntil + s.settings.Dispatch.MaxStaleness
}

// applyPreviousWatch applies an update of a watch that has been replaced. What discovery has written to such
// a watch has taken effect, so workers that drain or are removed by the update get no new attempts: those
// that the update lists as draining or removed, and those that are missing from a complete list. Workers that
// the update lists as ready are left as they are, as the watch may be outdated.
func (s *Scheduler) applyPreviousWatch(list WorkerList) {
	var changed []*worker
	s.updateCount++
	for _, listed := range list.Workers {
		w := s.workers[listed.UID]
		if w == nil {
			continue
		}
		w.lastUpdate = s.updateCount
		if listed.Status != dispatch.Ready && s.stopByPreviousWatch(w, listed.Status) {
			changed = append(changed, w)
		}
	}
	if list.Complete {
		changed = append(changed, s.removeMissing()...)
	}
	if len(changed) == 0 {
		return
	}
	entries := make([]dispatch.WorkerEntry, 0, len(changed))
	for _, w := range changed {
		entries = append(entries, s.workerEntry(w))
	}
	s.recordTransitions(changed)
	s.stepDispatcher(dispatch.Event{Kind: dispatch.EndpointsUpdated, Scope: dispatch.UpdateDrains,
		Workers: entries})
}

// removeMissing removes the workers that the present update, a complete list of a replaced watch, does not
// name. It returns the workers that were ready before, ordered by UID.
func (s *Scheduler) removeMissing() (changed []*worker) {
	for _, w := range s.workers {
		if w.lastUpdate != s.updateCount && s.stopByPreviousWatch(w, dispatch.Removed) {
			changed = append(changed, w)
		}
	}
	slices.SortFunc(changed, compareUID)
	return changed
}

// stopByPreviousWatch sets the status of a worker that a replaced watch reports as draining or removed, and
// reports whether the worker was ready before.
//
// If the present watch has listed the worker as ready, it is unknown which of the two reports is newer. The
// present one is then kept as pendingUpdate, as it would be if it had arrived last. A report of an earlier
// watch is dropped.
func (s *Scheduler) stopByPreviousWatch(w *worker, status dispatch.Status) (stopped bool) {
	if !s.watchOpen {
		w.pendingUpdate = nil
	}
	if w.Status != dispatch.Ready {
		return false
	}
	if s.watchOpen {
		s.setPendingUpdate(w, w.Worker)
	}
	// The revision of this update, which the replaced discovery service gave it, is not comparable with
	// revisions of the new service. No other version has the epoch -1, so no version counts as newer than this
	// one.
	w.Status, w.version = status, version{epoch: -1}
	return true
}

// applyUpdate applies an update of the current discovery service, or the cached list at the start. With the
// update, the worker list is complete up to the time asOf.
func (s *Scheduler) applyUpdate(list WorkerList, scope dispatch.UpdateScope, asOf Micros) {
	updateVersion := s.nextVersion(list)
	s.updateCount++
	entries := make([]dispatch.WorkerEntry, 0, len(list.Workers))
	changed := make([]*worker, 0, len(list.Workers)) // the array stays on the stack if the update is short
	for _, listed := range list.Workers {
		w := s.workers[listed.UID]
		if w == nil {
			w = &worker{Worker: listed, version: updateVersion, number: s.assignNumber(listed.UID)}
			s.workers[listed.UID], s.byNumber[w.number] = w, w
		} else {
			s.mergeWorker(w, listed, updateVersion)
		}
		w.lastUpdate = s.updateCount
		// The entry for the dispatcher has the state after the merge, which may differ from the listed entry.
		entries = append(entries, s.workerEntry(w))
		changed = append(changed, w)
	}
	for _, w := range s.implicitChanges(list.Complete, updateVersion) {
		entries = append(entries, s.workerEntry(w))
		changed = append(changed, w)
	}
	s.recordTransitions(changed)
	s.stepDispatcher(dispatch.Event{Kind: dispatch.EndpointsUpdated, Scope: scope, Age: s.now - asOf,
		Workers: entries})
}

// nextVersion records the revision of a worker list update and returns the update's version, which is the
// revision with the epoch, a counter that rises whenever discovery may begin to number its revisions anew.
func (s *Scheduler) nextVersion(list WorkerList) version {
	if list.Complete && list.Revision < s.revision {
		// The discovery service has restarted or been replaced, and counts its revisions from the beginning.
		s.epoch++
	}
	s.revision = max(s.revision, list.Revision)
	if list.Complete {
		s.revision = list.Revision
	}
	return version{s.epoch, list.Revision}
}

// implicitChanges changes the state of workers that the update does not name, and returns the changed workers
// ordered by UID. There are two cases. Workers that are missing from a complete list are removed. Workers
// that have been draining or removed for MaxStaleness and have a pendingUpdate, an entry that lists them as
// ready, become ready: within MaxStaleness every discovery service reports a drain or removal, and such a
// report would have deleted the pendingUpdate.
func (s *Scheduler) implicitChanges(complete bool, updateVersion version) (changed []*worker) {
	if complete {
		for _, w := range s.workers {
			if w.lastUpdate != s.updateCount && (w.Status != dispatch.Removed || w.pendingUpdate != nil) {
				w.Status, w.version, w.pendingUpdate = dispatch.Removed, updateVersion, nil
				changed = append(changed, w)
			}
		}
	}
	s.pendingWorkers = slices.DeleteFunc(s.pendingWorkers, func(w *worker) bool {
		if w.pendingUpdate == nil || s.workers[w.UID] != w {
			return true
		}
		if s.now-w.drainingSince < s.settings.Dispatch.MaxStaleness {
			return false
		}
		w.Worker, w.pendingUpdate = *w.pendingUpdate, nil
		changed = append(changed, w)
		return true
	})
	slices.SortFunc(changed, compareUID)
	return changed
}
