package scheduler

import (
	"maps"
	"slices"

	"dahliaford/internal/dispatch"
)

// Clone, AppendState, InjectPanic, Submitted and Stats serve a model checker and tests: they copy a state,
// encode a state for comparison, make the dispatcher panic, and count requests and the records in a state.
// The production programs use none of them.

// Clone returns a copy of the scheduler's state. It must not be called during Step. The copy shares the
// payloads of requests with the original.
func (s *Scheduler) Clone() *Scheduler {
	copied := *s
	copied.effects, copied.dispatcherEvents = nil, nil
	if s.dispatcher != nil {
		copied.dispatcher = s.dispatcher.Clone()
	}
	c := cloner{from: s, to: &copied}
	c.cloneWorkers()
	c.cloneRequests()
	copied.cancellationsByID = maps.Clone(s.cancellationsByID)
	copied.usedIDs.current = maps.Clone(s.usedIDs.current)
	copied.usedIDs.previous = maps.Clone(s.usedIDs.previous)
	copied.zones, copied.kinds = slices.Clip(s.zones), slices.Clip(s.kinds)
	copied.timers = slices.Clone(s.timers)
	return &copied
}

// cloner copies the workers, requests, attempts and cancellations of a scheduler, and points the copies at
// each other as the originals do.
type cloner struct {
	from, to *Scheduler
	requests []requestCopy // requests is a slice because a linear search in few requests is faster than a map
}

type requestCopy struct{ original, copied *request }

func (c *cloner) cloneWorkers() {
	from, to := c.from, c.to
	to.workers = make(map[string]*worker, len(from.workers))
	to.byNumber = make(map[dispatch.WorkerID]*worker, len(from.byNumber))
	for uid, w := range from.workers {
		copied := *w
		to.workers[uid], to.byNumber[w.number] = &copied, &copied
	}
	to.pendingWorkers, to.removedWorkers = nil, nil
	for _, w := range from.pendingWorkers {
		if from.workers[w.UID] == w {
			to.pendingWorkers = append(to.pendingWorkers, to.workers[w.UID])
		}
	}
	for _, removed := range from.removedWorkers {
		if w := removed.worker; from.workers[w.UID] == w {
			to.removedWorkers = append(to.removedWorkers, removedWorker{to.workers[w.UID], removed.since})
		}
	}
}

func (c *cloner) cloneRequests() {
	from, to := c.from, c.to
	to.byCaller = make(map[CallerID]*request, len(from.byCaller))
	to.byID = make(map[string]*request, len(from.byID))
	to.byJob = make(map[dispatch.JobID]*request, len(from.byJob))
	to.byAttempt = make(map[AttemptID]*attempt, len(from.byAttempt))
	to.cancellations = make(map[AttemptID]*cancellation, len(from.cancellations))
	for job, r := range from.byJob {
		to.byJob[job] = c.request(r)
	}
	for caller, r := range from.byCaller {
		to.byCaller[caller] = c.request(r)
	}
	for id, r := range from.byID {
		to.byID[id] = c.request(r)
	}
	for id, a := range from.byAttempt {
		to.byAttempt[id] = c.attempt(a)
	}
	for id, original := range from.cancellations {
		copied := *original
		copied.attempt = c.attempt(original.attempt)
		to.cancellations[id] = &copied
	}
}

// request returns the copy of a request, and creates the copy at the first call.
func (c *cloner) request(r *request) *request {
	for _, known := range c.requests {
		if known.original == r {
			return known.copied
		}
	}
	copied := *r
	c.requests = append(c.requests, requestCopy{r, &copied})
	copied.attempts = make([]*attempt, len(r.attempts))
	for i, a := range r.attempts {
		copiedAttempt := *a
		copiedAttempt.request, copiedAttempt.worker = &copied, c.to.byNumber[a.worker.number]
		copied.attempts[i] = &copiedAttempt
	}
	return &copied
}

// attempt returns the copy of an attempt.
func (c *cloner) attempt(a *attempt) *attempt {
	return c.request(a.request).attempts[slices.Index(a.request.attempts, a)]
}

// InjectPanic makes the scheduler panic at the next event that it passes to its dispatcher.
func (s *Scheduler) InjectPanic() { s.dispatcher = nil }

// Stats holds the numbers of records that a scheduler keeps for open and answered requests.
type Stats struct {
	Callers, IDs, Jobs, Attempts int // sizes of the indexes of requests and of live attempts
	Cancellations                int // cancellations that are neither acknowledged nor given up
	ReservedIDs                  int // request ids that are reserved because they were used recently
	Timers                       int // timers in the heap, without those that the dispatcher has set
	DispatcherJobs               int // jobs that the dispatcher keeps
}

// Submitted returns the number of requests that the scheduler has accepted since its start.
func (s *Scheduler) Submitted() int { return int(s.lastJob) }

// Stats counts the records that the scheduler keeps after the last event.
func (s *Scheduler) Stats() Stats {
	stats := Stats{
		Callers:       len(s.byCaller),
		IDs:           len(s.byID),
		Jobs:          len(s.byJob),
		Attempts:      len(s.byAttempt),
		Cancellations: len(s.cancellations),
		ReservedIDs:   s.usedIDs.size(),
	}
	if s.dispatcher != nil {
		stats.DispatcherJobs = s.dispatcher.OpenJobs()
	}
	for _, t := range s.timers {
		if t.kind != dispatcherTimer {
			stats.Timers++
		}
	}
	return stats
}
