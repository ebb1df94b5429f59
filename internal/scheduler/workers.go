package scheduler

import (
	"cmp"
	"hash/fnv"
	"slices"

	"dahliaford/internal/dispatch"
)

// worker is what is known of a worker.
type worker struct {
	Worker
	number        dispatch.WorkerID
	version       version // of the update that says so
	drainingSince Micros  // since when it is not ready; 0: it is ready
	removedSince  Micros  // since when it is removed; 0: it is not
	pendingUpdate *Worker // how an update describes it as ready that may be older than the one that drained it
	lastUpdate    uint64  // the number of the last update that named it
}

// removedWorker is a worker that was removed then, and may have come back.
type removedWorker struct {
	worker *worker
	since  Micros
}

// version says how new an update of discovery is. Versions of one epoch can be compared.
type version struct {
	epoch    int // changes with discovery's address, and when its revisions begin anew
	revision int64
}

// newer tells whether an update is known to be newer than another.
func (v version) newer(than version) bool { return v.epoch == than.epoch && v.revision > than.revision }

// nameIndex gives names their place in a list; unknown ones get places at its end.
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

// mergeWorker takes what an update says of a known worker, if it is newer than what is known. A
// worker that drains or is removed does not come back by an update that may be older than the one
// that said so: from an address that knows less than the one before, from a service that counts its
// revisions anew, or a change sent again. Its update stays pending. It comes back once it has started
// since, or the update is newer for certain, or has been there for so long that the drain would be
// known there.
func (s *Scheduler) mergeWorker(w *worker, listed Worker, updateVersion version) {
	ready := listed.Status == dispatch.Ready
	switch {
	case ready && w.version.newer(updateVersion):
	case ready && w.drainingSince != 0 && listed.Started <= w.Started && !updateVersion.newer(w.version) &&
		s.now-w.drainingSince < s.settings.Dispatch.MaxStaleness:
		if w.pendingUpdate == nil {
			s.pendingWorkers = append(s.pendingWorkers, w)
		}
		w.pendingUpdate = &listed
	default:
		w.Worker, w.version, w.pendingUpdate = listed, updateVersion, nil
	}
}

// workerEntry is a worker as the dispatcher knows it.
func (s *Scheduler) workerEntry(w *worker) dispatch.WorkerEntry {
	return dispatch.WorkerEntry{Worker: w.number, Zone: s.zones.indexOf(w.Zone), Cell: w.Cell,
		Kind: s.kinds.indexOf(w.Kind), Status: w.Status, Started: w.Started}
}

// recordTransitions notes since when workers that may have changed drain or are removed, emits the
// effects of that, and forgets those that have been removed for long.
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

// expiredWorkers takes those off the list of removed workers whose retention is over.
func (s *Scheduler) expiredWorkers() (expired []*worker) {
	retention := s.settings.Dispatch.RemovedRetention()
	n := 0
	for ; n < len(s.removedWorkers) && s.now-s.removedWorkers[n].since >= retention; n++ {
		if w := s.removedWorkers[n].worker; s.workers[w.UID] == w { // recordRemoval sees if it has been back since
			expired = append(expired, w)
		}
	}
	s.removedWorkers = slices.Delete(s.removedWorkers, 0, n)
	return expired
}

func (s *Scheduler) recordDrain(w *worker) {
	switch {
	case w.Status != dispatch.Ready && w.drainingSince == 0:
		w.drainingSince = max(s.now, 1) // 0 stands for ready
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
		w.removedSince = max(s.now, 1) // 0 stands for not removed
		s.removedWorkers = append(s.removedWorkers, removedWorker{w, w.removedSince})
	case s.now-w.removedSince >= s.settings.Dispatch.RemovedRetention():
		delete(s.workers, w.UID)
		delete(s.byNumber, w.number)
		s.emit(ResumeWorker{UID: w.UID})
	}
}

// assignNumber gives a worker its number from its UID. Schedulers that share no state must compute
// the same owner of a worker in slow start, and the dispatcher does so by number.
func (s *Scheduler) assignNumber(uid string) dispatch.WorkerID {
	sum := fnv.New32a()
	_, _ = sum.Write([]byte(uid)) // a hash never fails
	n := dispatch.WorkerID(sum.Sum32())
	for s.byNumber[n] != nil {
		n++
	}
	return n
}
