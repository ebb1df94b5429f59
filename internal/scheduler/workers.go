package scheduler

import (
	"cmp"
	"hash/fnv"
	"slices"

	"dahliaford/internal/dispatch"
)

// worker is the record of a listed worker.
type worker struct {
	Worker
	number        dispatch.WorkerID
	version       version // the version (epoch and revision) of the update that set the embedded Worker
	drainingSince Micros  // the time since which the worker has not been ready; 0: it is ready
	removedSince  Micros  // the time since which the worker has been removed; 0: it is not removed
	// pendingUpdate is an update that lists the worker as ready and may be older than the update that
	// drained or removed it; nil if there is none.
	pendingUpdate *Worker
	lastUpdate    uint64 // the value of updateCount at the last update that named the worker
}

// removedWorker records the removal of a worker. The worker may have been added again since.
type removedWorker struct {
	worker *worker
	since  Micros
}

// version orders the updates of the worker list: it is the revision number that discovery gave an update,
// with an epoch. A new epoch begins whenever discovery may number its revisions anew. Only versions of the
// same epoch can be compared.
type version struct {
	epoch    int // incremented when the discovery address changes or the revisions of discovery restart
	revision int64
}

// newer reports whether an update of version v is certain to be newer than another update.
func (v version) newer(than version) bool { return v.epoch == than.epoch && v.revision > than.revision }

// nameIndex maps names to their positions in a list. A name that is not in the list is appended to it.
type nameIndex []string

func (n *nameIndex) indexOf(name string) int {
	i := slices.Index(*n, name)
	if i < 0 {
		i = len(*n)
		*n = append(*n, name)
	}
	return i
}

func compareUID(a, b *worker) int { return cmp.Compare(a.UID, b.UID) }

// mergeWorker applies the entry of an update to a known worker, unless the known state is newer.
//
// An entry that lists a draining or removed worker as ready may be older than the drain or removal: it may
// come from a discovery service that lags behind the one used before, from a service that has restarted its
// revisions, or from a repeated update. Such an entry is kept as pendingUpdate and not applied. The worker
// becomes ready again if it has restarted since, if the update is certain to be newer, or when MaxStaleness
// has passed since the drain or removal, as every discovery service reports a change within that time.
func (s *Scheduler) mergeWorker(w *worker, listed Worker, updateVersion version) {
	ready := listed.Status == dispatch.Ready
	switch {
	case ready && w.version.newer(updateVersion):
	case ready && w.drainingSince != 0 && listed.Started <= w.Started && !updateVersion.newer(w.version) &&
		s.now-w.drainingSince < s.settings.Dispatch.MaxStaleness:
		s.setPendingUpdate(w, listed)
	default:
		w.Worker, w.version, w.pendingUpdate = listed, updateVersion, nil
	}
}

// setPendingUpdate keeps an update that lists a worker as ready, to be applied once MaxStaleness has passed
// since the worker's drain or removal.
func (s *Scheduler) setPendingUpdate(w *worker, ready Worker) {
	if w.pendingUpdate == nil {
		s.pendingWorkers = append(s.pendingWorkers, w)
	}
	w.pendingUpdate = &ready
}

// workerEntry returns a worker in the form that the dispatcher uses.
func (s *Scheduler) workerEntry(w *worker) dispatch.WorkerEntry {
	return dispatch.WorkerEntry{Worker: w.number, Zone: s.zones.indexOf(w.Zone), Cell: w.Cell,
		Kind: s.kinds.indexOf(w.Kind), Status: w.Status, Started: w.Started}
}

// recordTransitions records the time at which any of the changed workers began to drain, was removed or
// became ready again, and emits StopUsingWorker and ResumeWorker. It also deletes the records of workers
// whose retention time after their removal has passed.
func (s *Scheduler) recordTransitions(changed []*worker) {
	changed = slices.DeleteFunc(changed, func(w *worker) bool {
		return (w.Status == dispatch.Ready) == (w.drainingSince == 0) &&
			(w.Status == dispatch.Removed) == (w.removedSince != 0)
	})
	changed = append(changed, s.expiredWorkers()...)
	slices.SortFunc(changed, compareUID)
	for _, w := range slices.Compact(changed) {
		s.recordDrain(w)
		s.recordRemoval(w)
	}
}

// expiredWorkers removes the entries from removedWorkers whose retention time after the removal is over, and
// returns their workers. A returned worker may have been added again since, which recordRemoval checks.
func (s *Scheduler) expiredWorkers() (expired []*worker) {
	retention := s.settings.Dispatch.RemovedRetention()
	n := 0
	for ; n < len(s.removedWorkers) && s.now-s.removedWorkers[n].since >= retention; n++ {
		if w := s.removedWorkers[n].worker; s.workers[w.UID] == w {
			expired = append(expired, w)
		}
	}
	s.removedWorkers = slices.Delete(s.removedWorkers, 0, n)
	return expired
}

func (s *Scheduler) recordDrain(w *worker) {
	switch {
	case w.Status != dispatch.Ready && w.drainingSince == 0:
		w.drainingSince = max(s.now, 1) // at least 1, as 0 means that the worker is ready
		s.emit(StopUsingWorker{UID: w.UID, Addr: w.Addr})
	case w.Status == dispatch.Ready && w.drainingSince != 0:
		w.drainingSince = 0
		s.emit(ResumeWorker{UID: w.UID})
	}
}

func (s *Scheduler) recordRemoval(w *worker) {
	switch {
	case w.Status != dispatch.Removed:
		w.removedSince = 0
	case w.removedSince == 0:
		w.removedSince = max(s.now, 1) // at least 1, as 0 means that the worker is not removed
		s.removedWorkers = append(s.removedWorkers, removedWorker{w, w.removedSince})
	case s.now-w.removedSince >= s.settings.Dispatch.RemovedRetention():
		delete(s.workers, w.UID)
		delete(s.byNumber, w.number)
		s.emit(ResumeWorker{UID: w.UID})
	}
}

// assignNumber derives the number of a worker from its UID. From the number, the dispatcher computes which
// dispatchers may send to a worker in slow start. All dispatchers must reach the same result although their
// schedulers share no state.
func (s *Scheduler) assignNumber(uid string) dispatch.WorkerID {
	sum := fnv.New32a()
	_, _ = sum.Write([]byte(uid)) // Write of a hash never returns an error.
	n := dispatch.WorkerID(sum.Sum32())
	for s.byNumber[n] != nil {
		n++
	}
	return n
}
