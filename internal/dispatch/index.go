package dispatch

import "dahliaford/internal/bucketqueue"

// The index of a large subset lets selectWorker examine a few workers for a job instead of all of them.
// placement.go computes the cost of a worker. docs/design-choice.md has the reasons for this design.

const (
	maxScannedSubset  = 64 // largest subset, in workers, that is scanned; below this size an index saves no time
	shortlistPerGroup = 8  // largest number of workers of one group (zone and kind) that are examined for a job
	// shortlistTotal is the number of workers of all groups (each of one zone and kind) together that are
	// examined for a job. The groups get equal parts of this number, but at least 2 and at most
	// shortlistPerGroup workers each.
	shortlistTotal  = 32
	reindexedPerJob = 8  // for each job, shortlist recomputes the index keys of the next 8 workers in rotation
	keysPerRun      = 16 // difference of the index keys of workers whose costs differ by one mean run time

	unusableWorkerKey = bucketqueue.Buckets - 1 // key of the workers that must not be given work
	fullWorkerKey     = bucketqueue.Buckets - 2 // key of the usable workers without a free slot
)

// index holds the workers of the subset by group (workers of one zone and kind). The workers of a group are
// sorted by the cost that a job of mean work had at each worker when indexKey was last computed.
type index struct {
	queues       []*groupQueue
	byGroup      map[groupKey]*groupQueue
	members      []*worker                    // subset for which the index was built
	meanWork     float64                      // moving mean of recent jobs' work, in standard-core microseconds
	stale        bool                         // the subset may have changed since the index was built
	version      uint64                       // number of times that the index was built
	nextMember   int                          // index in members of the last worker reindexed in rotation
	dirty        []*worker                    // workers that changed since their index key was computed
	nodeBuffer   []*bucketqueue.Node[*worker] // buffer of appendSmallest, reused to save allocations
	workerBuffer []*worker                    // the latest shortlist, whose memory the next one reuses
}

// groupQueue holds the workers of one group (one zone and kind) by index key.
type groupQueue struct {
	bucketqueue.Queue[*worker]
	key groupKey
}

// largeSubset reports whether the subset is too large to be scanned for every job.
func (d *Dispatcher) largeSubset() bool { return len(d.subset) > d.scanLimit }

// invalidateIndex discards the caches that depend on the worker list and marks the index as stale, after a
// change of the list.
func (d *Dispatcher) invalidateIndex() {
	d.fastestWorker, d.dedupGroups = nil, [ScopeCell + 1]map[int][]*worker{}
	if d.index != nil {
		d.index.stale = true
	}
}

// markDirty marks a worker whose index key may have changed, so that the key is computed again.
func (d *Dispatcher) markDirty(w *worker) {
	if x := d.index; x != nil && !w.dirty {
		w.dirty = true
		x.dirty = append(x.dirty, w)
	}
}

// currentIndex returns the index of a large subset, and first builds or updates the index if the subset may
// have changed.
func (d *Dispatcher) currentIndex() *index {
	if d.index == nil {
		d.index = &index{byGroup: map[groupKey]*groupQueue{}, stale: true, meanWork: d.upperRunTime()}
	}
	x := d.index
	if !x.stale {
		return x
	}
	x.stale = false
	x.version++
	for _, w := range d.subset {
		w.indexVersion = x.version
		key := groupKey{w.entry.Zone, w.entry.Kind}
		s := x.byGroup[key]
		if s == nil {
			s = &groupQueue{key: key}
			x.byGroup[key] = s
			x.queues = append(x.queues, s)
		}
		if w.indexNode.Queue() != &s.Queue {
			w.indexNode.Value = w
			s.Put(&w.indexNode, d.indexKey(w))
		}
	}
	for _, w := range x.members {
		if w.indexVersion != x.version {
			w.indexNode.Remove()
		}
	}
	x.members = append(x.members[:0], d.subset...)
	x.dropEmptyQueues()
	return x
}

// dropEmptyQueues removes the queues of groups (workers of one zone and kind) that have no worker in the
// subset any more.
func (x *index) dropEmptyQueues() {
	remaining := x.queues[:0]
	for _, s := range x.queues {
		if s.Len() == 0 {
			delete(x.byGroup, s.key)
		} else {
			remaining = append(remaining, s)
		}
	}
	clear(x.queues[len(remaining):])
	x.queues = remaining
}

// indexKey computes the index key of a worker: the cost of a job of mean work there, without the part of the
// cost that all workers of the same zone and kind share. The key only determines which workers selectWorker
// examines first.
func (d *Dispatcher) indexKey(w *worker) int {
	if !d.usable(w) || d.slowStartSince(w) != 0 && !w.unreachable && !d.isSlowStartOwner(w) {
		return unusableWorkerKey
	}
	inUse, limit := d.slotsInUse(w), d.capacity(w)
	if inUse+1 > limit {
		return fullWorkerKey
	}
	load := 1 + fullLoadCostRuns*inUse/max(1, limit) + w.placementBias
	runs := d.typicalSpeed(w) / d.speed(w) * load
	if d.largeFleetWithoutGossip() {
		// The cost includes an expected wait in microseconds here, so the run time is computed in microseconds,
		// too, and the sum is converted to multiples of upperRunTime.
		own := d.index.meanWork/d.speed(w)*load + d.expectedWait(w) - d.groupOf(w).expectedWait
		runs = own/d.upperRunTime() + d.ringDistance(d.position, w)/d.ringCoverage*choiceDistanceRuns
	}
	return int(min(max(runs*keysPerRun, 0), fullWorkerKey-1))
}

// reindex computes the key of an indexed worker again and moves the worker to the bucket of the new key.
func (x *index) reindex(d *Dispatcher, w *worker) {
	if s := w.indexNode.Queue(); s != nil {
		d.workersExamined++
		s.Put(&w.indexNode, d.indexKey(w))
	}
}

// shortlist returns the workers at which a job likely has the lowest placement cost: the first few workers in
// the queue of each group that may run the job. The function also updates the index keys of these workers.
func (d *Dispatcher) shortlist(j *job) []*worker {
	x := d.currentIndex()
	x.meanWork += (j.work - x.meanWork) / 32
	for _, w := range x.dirty {
		w.dirty = false
		x.reindex(d, w)
	}
	clear(x.dirty)
	x.dirty = x.dirty[:0]
	for range reindexedPerJob {
		x.nextMember = (x.nextMember + 1) % len(x.members)
		x.reindex(d, x.members[x.nextMember])
	}
	x.workerBuffer = x.workerBuffer[:0]
	kind := d.settings.Classes[j.class].Kind
	for _, s := range x.queues {
		if kind >= 0 && kind != s.key.kind {
			continue
		}
		// limit is the largest number of workers of this group (one zone and kind) in the shortlist. For groups of
		// other zones, and for all groups if CrossZonePrice is 0, an equal part of shortlistTotal may lower the
		// limit.
		limit := shortlistPerGroup
		if s.key.zone != d.settings.Zone || d.settings.CrossZonePrice == 0 {
			limit = max(2, min(shortlistPerGroup, shortlistTotal/len(x.queues)))
		}
		x.appendSmallest(d, s, limit)
	}
	return x.workerBuffer
}

// appendSmallest computes the keys of the workers with the smallest keys in a queue again, and appends these
// workers, up to a limit, to the shortlist.
func (x *index) appendSmallest(d *Dispatcher, s *groupQueue, limit int) {
	for range 3 { // after the key of a worker grew, another worker may be among those with the smallest keys
		moved := false
		x.nodeBuffer = s.Smallest(x.nodeBuffer[:0], limit, fullWorkerKey-1, uint(d.eventCount))
		for _, n := range x.nodeBuffer {
			key := n.Key()
			x.reindex(d, n.Value)
			moved = moved || n.Key() != key
		}
		if !moved {
			break
		}
	}
	for _, n := range x.nodeBuffer {
		x.workerBuffer = append(x.workerBuffer, n.Value)
	}
}
