package dispatch

import (
	"slices"

	"dahliaford/internal/bucketqueue"
	"dahliaford/internal/subset"
)

// This file copies a dispatcher's state for a model checker, which compares two states by the encoding in
// state_form.go. This file makes no dispatch decisions, and the scheduler itself does not use this file.

// OpenJobs returns the number of jobs that have no final answer or have attempts in flight.
func (d *Dispatcher) OpenJobs() int { return len(d.jobs) }

// Clone copies the state between two events. The copy and the original share no memory that a later event
// changes.
func (d *Dispatcher) Clone() *Dispatcher {
	c := *d
	c.actions = nil
	c.cloneEstimates(d)
	c.cloneWorkers(d)
	c.cloneWorkerLists(d)
	c.cloneJobs(d)
	c.neighbours, c.peers = slices.Clone(d.neighbours), slices.Clone(d.peers)
	c.quotaTokens, c.quotaRefilledAt = slices.Clone(d.quotaTokens), slices.Clone(d.quotaRefilledAt)
	c.classes, c.flows = slices.Clone(d.classes), slices.Clone(d.flows)
	c.ranks, c.classesByWaitTarget = slices.Clone(d.ranks), slices.Clone(d.classesByWaitTarget)
	return &c
}

// cloneEstimates copies the estimates of machine kinds and of groups (the workers of one machine kind in one
// zone).
func (d *Dispatcher) cloneEstimates(from *Dispatcher) {
	d.kinds = make(map[int]*kind, len(from.kinds))
	for number, known := range from.kinds {
		copied := *known
		d.kinds[number] = &copied
	}
	d.groups = make(map[groupKey]*group, len(from.groups))
	for key, known := range from.groups {
		copied := *known
		d.groups[key] = &copied
	}
}

// cloneWorkers copies the workers without their attempts, which cloneJobs sets, and without their ring
// groups, which cloneWorkerLists sets.
func (d *Dispatcher) cloneWorkers(from *Dispatcher) {
	d.workers = make(map[WorkerID]*worker, len(from.workers))
	for id, w := range from.workers {
		copied := *w
		copied.group = nil // groupOf finds the worker's group (zone and kind) again when next needed
		copied.indexNode, copied.dirty = bucketqueue.Node[*worker]{}, false
		if w.kind != nil {
			copied.kind = d.kinds[w.entry.Kind]
		}
		if w.startCountsBySlots != nil {
			startCountsBySlots := *w.startCountsBySlots
			copied.startCountsBySlots = &startCountsBySlots
		}
		copied.peerUses, copied.attempts, copied.ringGroup = slices.Clone(w.peerUses), nil, nil
		d.workers[id] = &copied
	}
}

// cloneWorkerLists copies the lists of workers and the ring, and replaces each worker by its copy.
func (d *Dispatcher) cloneWorkerLists(from *Dispatcher) {
	workers := func(list []*worker) []*worker {
		copied := make([]*worker, len(list))
		for i, w := range list {
			copied[i] = d.workers[w.entry.Worker]
		}
		return copied
	}
	d.ordered, d.subset, d.ownedNotCovered = workers(from.ordered), workers(from.subset),
		workers(from.ownedNotCovered)
	d.busy, d.gossipQueue, d.suspects = workers(from.busy), workers(from.gossipQueue), workers(from.suspects)
	d.updatedBuffer, d.removed = nil, nil
	for _, r := range from.removed {
		w := d.workers[r.worker.entry.Worker]
		if w != nil && from.workers[w.entry.Worker] == r.worker {
			d.removed = append(d.removed, removedWorker{w, r.since})
		}
	}
	d.ring = from.ring.Clone(func(w *worker) *worker { return d.workers[w.entry.Worker] },
		func(w *worker, group *subset.Group[*worker]) { w.ringGroup = group })
	d.index, d.fastestWorker, d.sortedOverdueStarts = nil, nil, nil // these caches are rebuilt when next needed
	d.dedupGroups = [ScopeCell + 1]map[int][]*worker{}
}

// cloneJobs copies the jobs with their attempts, and the lists that refer to jobs or attempts.
func (d *Dispatcher) cloneJobs(from *Dispatcher) {
	d.jobs = make(map[JobID]*job, len(from.jobs))
	for id, j := range from.jobs {
		d.jobs[id] = d.cloneJob(j)
	}
	for id, w := range from.workers {
		for _, a := range w.attempts {
			d.workers[id].attempts = append(d.workers[id].attempts, d.jobs[a.job.id].attempts[a.number])
		}
	}
	d.overdueStarts = make([]*attempt, len(from.overdueStarts))
	for i, a := range from.overdueStarts {
		d.overdueStarts[i] = d.jobs[a.job.id].attempts[a.number]
	}
	d.queue = make([]*job, len(from.queue))
	for i, j := range from.queue {
		d.queue[i] = d.jobs[j.id]
	}
}

// cloneJob copies a job with its attempts, which refer to the cloned workers.
func (d *Dispatcher) cloneJob(from *job) *job {
	j := *from
	j.attempts = make([]*attempt, len(from.attempts))
	for i, a := range from.attempts {
		copied := *a
		copied.job, copied.worker = &j, d.workers[a.worker.entry.Worker]
		j.attempts[i] = &copied
	}
	return &j
}
