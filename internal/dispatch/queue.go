package dispatch

import (
	"cmp"
	"slices"
)

// The queue of jobs that wait for a worker. Nothing here decides.

// compareJobs orders queued jobs: by latest start, then by arrival.
func compareJobs(a, b *job) int {
	return cmp.Or(cmp.Compare(a.latestStart, b.latestStart), cmp.Compare(a.seq, b.seq))
}

// enqueue puts a job into the queue: on time by latest start, late ones behind.
func (d *Dispatcher) enqueue(j *job) {
	j.latestStart = j.objective - Micros(j.work/d.fleetSpeed())
	if j.late {
		j.latestStart = j.deadline + lateOffset
	}
	i, _ := slices.BinarySearchFunc(d.queue, j, compareJobs)
	d.queue = slices.Insert(d.queue, i, j)
	j.queued = true
}

// dequeue takes a job out of the queue.
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

// queuedWithin is the paper's N(t): queued jobs whose latest start is within t, late ones among them.
func (d *Dispatcher) queuedWithin(t Micros) int {
	return d.queuedBefore(d.now+t+1) + len(d.queue) - d.queuedBefore(lateOffset)
}

// queuedBefore counts the queued jobs at the front whose latest start is before a time.
func (d *Dispatcher) queuedBefore(limit Micros) int {
	n, _ := slices.BinarySearchFunc(d.queue, limit, func(j *job, limit Micros) int {
		return cmp.Compare(j.latestStart, limit)
	})
	return n
}

// countConsecutive counts how often in a row something has been true.
func countConsecutive(n int, holds bool) int {
	if holds {
		return n + 1
	}
	return 0
}
