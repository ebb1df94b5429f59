package scheduler

import (
	"slices"

	"dahliaford/internal/dispatch"
)

// reloadTimeout is how long after a new configuration the discovery that it names may take to answer
// before the known list counts as stale.
const reloadTimeout Micros = 4 * second

// handleEndpoints takes an update of the worker list.
func (s *Scheduler) handleEndpoints(e *EndpointsUpdated) {
	if e.FromPreviousWatch {
		s.applyDrains(e.List)
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

// reload goes over to the discovery that a new configuration names, at once and without a request of
// the dispatcher: the list counts as known only until shortly after, and the old watch ends. Another
// service may count its revisions otherwise, so the old revision means nothing to it. The list that
// is known holds until it answers.
func (s *Scheduler) reload(discovery string) {
	s.discoveryAddr, s.revision, s.watchOpen = discovery, 0, false
	s.epoch++
	validUntil := s.now + reloadTimeout
	s.emit(OpenWatch{Addr: s.discoveryAddr, Revision: s.revision, ValidUntil: validUntil})
	s.stepDispatcher(dispatch.Event{Kind: dispatch.EndpointsUpdated, Scope: dispatch.UpdateDrains,
		Age: s.ageIfValidUntil(validUntil)})
}

// ageIfValidUntil is how old the list has to be taken for, if it holds until a time.
func (s *Scheduler) ageIfValidUntil(validUntil Micros) Micros {
	return s.now - validUntil + s.settings.Dispatch.MaxStaleness
}

// applyDrains takes the workers that drain or are removed from an update of a discovery that is no
// longer the present one. All else that it says is ignored.
func (s *Scheduler) applyDrains(list WorkerList) {
	var entries []dispatch.WorkerEntry
	var changed []*worker
	for _, line := range list.Workers {
		w := s.workers[line.UID]
		if w == nil || line.Status == dispatch.Ready {
			continue
		}
		w.pendingUpdate = nil
		if w.drainingSince == 0 {
			w.Status, w.version = line.Status, version{epoch: -1} // comparable with none
			entries = append(entries, s.workerEntry(w))
			changed = append(changed, w)
		}
	}
	if len(entries) > 0 {
		s.recordTransitions(changed)
		s.stepDispatcher(dispatch.Event{Kind: dispatch.EndpointsUpdated, Scope: dispatch.UpdateDrains,
			Workers: entries})
	}
}

// applyUpdate takes an update of the present discovery, or the list that is known at a start. It
// holds all that there was to report by a time.
func (s *Scheduler) applyUpdate(list WorkerList, scope dispatch.UpdateScope, asOf Micros) {
	updateVersion := s.nextVersion(list)
	s.updateCount++
	entries := make([]dispatch.WorkerEntry, 0, len(list.Workers))
	changed := make([]*worker, 0, len(list.Workers)) // of a small update it stays on the stack
	for _, line := range list.Workers {
		w := s.workers[line.UID]
		if w == nil {
			w = &worker{Worker: line, version: updateVersion, number: s.assignNumber(line.UID)}
			s.workers[line.UID], s.byNumber[w.number] = w, w
		} else {
			s.mergeWorker(w, line, updateVersion)
		}
		w.lastUpdate = s.updateCount
		entries = append(entries, s.workerEntry(w)) // as it now is known
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

// nextVersion takes the revision of an update.
func (s *Scheduler) nextVersion(list WorkerList) version {
	if list.Complete && list.Revision < s.revision {
		s.epoch++ // discovery has restarted, or another one answers: its revisions begin anew
	}
	s.revision = max(s.revision, list.Revision)
	if list.Complete {
		s.revision = list.Revision
	}
	return version{s.epoch, list.Revision}
}

// implicitChanges changes the workers that an update concerns without naming them, and lists them by
// UID: a complete list lacks them, or they have a pending update and have been draining for so long
// that it counts.
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
