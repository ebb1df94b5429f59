package dispatch

import (
	"cmp"
	"slices"
)

// This file has the queue of jobs that wait for a worker. It makes no dispatch decisions.

// compareJobs orders queued jobs by latest start, then by arrival.
func compareJobs(a, b *job) int {
	return cmp.Or(cmp.Compare(a.latestStart, b.latestStart), cmp.Compare(a.seq, b.seq))
}

// enqueue inserts a job into the queue. Jobs that can meet their objective are ordered by latest start, and
// behind these jobs the late jobs are ordered by deadline.
func (d *Dispatcher) enqueue(j *job) {
	j.latestStart = j.objective - Micros(j.work/d.fleetSpeed())
	if j.late {
		j.latestStart = j.deadline + lateOffset
	}
	i, _ := slices.BinarySearchFunc(d.queue, j, compareJobs)
	d.queue = slices.Insert(d.queue, i, j)
	j.queued = true
}

// dequeue removes a job from the queue if the job is queued.
func (d *Dispatcher) dequeue(j *job) {
	if !j.queued {
		return
	}
	i, found := slices.BinarySearchFunc(d.queue, j, compareJobs)
	if found {
		d.queue = slices.Delete(d.queue, i, i+1)
	}
	j.queued = false
}

// queuedWithin counts the queued jobs whose latest start is at most t from now, and all late jobs. The
// published overload control calls this number N(t).
func (d *Dispatcher) queuedWithin(t Micros) int {
	return d.queuedBefore(d.now+t+1) + len(d.queue) - d.queuedBefore(lateOffset)
}

// queuedBefore counts the queued jobs whose latest start is before a time.
func (d *Dispatcher) queuedBefore(limit Micros) int {
	n, _ := slices.BinarySearchFunc(d.queue, limit, func(j *job, limit Micros) int {
		return cmp.Compare(j.latestStart, limit)
	})
	return n
}

// countConsecutive returns the next value of a count of consecutive events for which a condition holds.
func countConsecutive(n int, holds bool) int {
	if holds {
		return n + 1
	}
	return 0
}
