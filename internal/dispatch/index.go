package dispatch

import "dahliaford/internal/bucketqueue"

// The index of a large subset: which workers selectWorker weighs for a job, and what it need not scan for.
// What a worker costs is for placement.go to say. docs/design-choice.md has the reasons.

const (
	maxScannedSubset  = 64 // workers up to which the subset is scanned: that costs no more than the index
	shortlistPerGroup = 8  // workers of a group that are weighed for a job
	shortlistTotal    = 32 // the same of all groups together, two of each at least
	reindexedPerJob   = 8  // workers whose key is recomputed for a job, in turn
	keysPerRun        = 16 // keys to the length of a mean run
	unusableWorkerKey = bucketqueue.Buckets - 1
	fullWorkerKey     = bucketqueue.Buckets - 2
)

// index holds the subset by group, in order of what a mean job would cost there when last computed.
type index struct {
	queues       []*groupQueue
	byGroup      map[groupKey]*groupQueue
	members      []*worker // the subset that it was made for
	meanWork     float64   // of recent jobs
	stale        bool      // the subset may have changed
	version      uint64    // counts the changes
	nextMember   int       // whose key is recomputed next
	dirty        []*worker // those to which something happened
	nodeBuffer   []*bucketqueue.Node[*worker]
	workerBuffer []*worker
}

// groupQueue is the members of one group, by index key.
type groupQueue struct {
	bucketqueue.Queue[*worker]
	key groupKey
}

// largeSubset reports whether the subset is too large to be scanned for every job.
func (d *Dispatcher) largeSubset() bool { return len(d.subset) > d.scanLimit }

// invalidateIndex takes note that the list has changed.
func (d *Dispatcher) invalidateIndex() {
	d.fastestWorker, d.dedupGroups = nil, [ScopeCell + 1]map[int][]*worker{}
	if d.index != nil {
		d.index.stale = true
	}
}

// markDirty takes note that something happened to a worker.
func (d *Dispatcher) markDirty(w *worker) {
	if x := d.index; x != nil && !w.dirty {
		w.dirty = true
		x.dirty = append(x.dirty, w)
	}
}

// currentIndex returns the index of a large subset as it is now.
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

// indexKey is the key of a worker: what a mean job would cost there, less what its whole group has in
// common. It decides nothing but which workers selectWorker examines first.
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
	if d.largeFleetWithoutGossip() { // against waits and distance it matters how long a run is
		own := d.index.meanWork/d.speed(w)*load + d.expectedWait(w) - d.groupOf(w).expectedWait
		runs = own/d.upperRunTime() + d.ringDistance(d.position, w)/d.ringCoverage*choiceDistanceRuns
	}
	return int(min(max(runs*keysPerRun, 0), fullWorkerKey-1))
}

// reindex puts a member where it belongs by now.
func (x *index) reindex(d *Dispatcher, w *worker) {
	if s := w.indexNode.Queue(); s != nil {
		d.workersExamined++
		s.Put(&w.indexNode, d.indexKey(w))
	}
}

// shortlist lists some workers that likely cost a job least: a few of each group that may run it, the
// first of its queue. Old keys are corrected as they come up.
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
		limit := shortlistPerGroup // of the own zone, where the others cost more
		if s.key.zone != d.settings.Zone || d.settings.CrossZonePrice == 0 {
			limit = max(2, min(shortlistPerGroup, shortlistTotal/len(x.queues)))
		}
		x.appendSmallest(d, s, limit)
	}
	return x.workerBuffer
}

// appendSmallest appends to the workers that are listed the first of a queue, up to a limit, and corrects
// their keys.
func (x *index) appendSmallest(d *Dispatcher, s *groupQueue, limit int) {
	for range 3 { // those that were corrected may make room for better ones
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
