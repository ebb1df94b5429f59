package scheduler

import "dahliaford/internal/dispatch"

const (
	// cancellationTimeout is how long a worker may take to respond to a cancellation.
	cancellationTimeout Micros = second
	// cancellationBackoff is the wait before a failed cancellation is sent for the second time. The wait
	// doubles with each further failure, up to maxCancellationBackoff.
	cancellationBackoff    Micros = 250 * millisecond
	maxCancellationBackoff Micros = 2 * second
	// maxBackoffDoublings limits the shift that doubles the wait, to avoid an overflow. The wait reaches
	// maxCancellationBackoff with fewer doublings.
	maxBackoffDoublings = 6
	// cancellationLifetime is how long the cancellation of an attempt is retried once its request has been
	// answered. After that, the worker can still end the job at the deadline that was sent with the attempt.
	cancellationLifetime Micros = 15 * second
)

// cancellation is the cancellation of an attempt that a worker may hold. The cancellation is sent again until
// the worker acknowledges it, for two reasons: a job whose caller no longer waits occupies a slot of the
// worker, and a job that is retried must not run at two workers at once.
type cancellation struct {
	attempt  *attempt
	inFlight bool   // the cancellation has been sent and its result has not arrived
	timerAt  Micros // the time of the time-out if inFlight is set, otherwise the time of the next send
	sends    int    // how often the cancellation has been sent
	giveUpAt Micros // the time after which the cancellation is not sent again if its request is answered
}

// cancelAttempt cancels an attempt that has been sent. It closes the connection if the worker has not
// accepted the attempt, and always sends a cancellation to the worker: the worker may have accepted the
// attempt before it sees the connection closed, and then continues the job.
func (s *Scheduler) cancelAttempt(a *attempt) {
	if a.deferredUntil != 0 {
		return // A deferred attempt has not been sent.
	}
	if !a.accepted {
		s.emit(CloseConnection{Attempt: a.id})
	}
	s.startCancellation(a)
}

func (s *Scheduler) startCancellation(a *attempt) {
	c := &cancellation{attempt: a, giveUpAt: s.now + cancellationLifetime}
	s.cancellations[a.id] = c
	s.cancellationsByID[a.request.id]++
	s.sendCancellation(c)
}

func (s *Scheduler) removeCancellation(c *cancellation) {
	id := c.attempt.request.id
	delete(s.cancellations, c.attempt.id)
	s.cancellationsByID[id]--
	if s.cancellationsByID[id] == 0 {
		delete(s.cancellationsByID, id)
	}
}

func (s *Scheduler) sendCancellation(c *cancellation) {
	c.inFlight = true
	c.sends++
	s.setCancellationTimer(c, s.now+cancellationTimeout)
	s.emit(CancelAttempt{Attempt: c.attempt.id, RequestID: c.attempt.request.id, Addr: c.attempt.addr,
		Deadline: c.timerAt})
}

func (s *Scheduler) setCancellationTimer(c *cancellation, at Micros) {
	c.timerAt = at
	s.addTimer(timer{at: at, kind: cancellationTimer, id: uint64(c.attempt.id)})
}

// handleCancellationResult finishes a cancellation that the worker has acknowledged, and schedules the
// retry of a cancellation that has failed.
func (s *Scheduler) handleCancellationResult(e *CancellationResult) {
	c := s.cancellations[e.Attempt]
	switch {
	case c == nil || !c.inFlight:
	case e.Acknowledged:
		s.handleAcknowledgement(c)
	default:
		s.retryCancellation(c)
	}
}

// cancellationTimerFired times out a cancellation that is in flight, or sends a waiting cancellation again.
// A timer that a later one has replaced is ignored.
func (s *Scheduler) cancellationTimerFired(t timer) {
	c := s.cancellations[AttemptID(t.id)]
	switch {
	case c == nil || c.timerAt != t.at:
	case c.inFlight:
		s.emit(CloseConnection{Attempt: c.attempt.id}) // closes the connection of the cancellation
		s.retryCancellation(c)
	default:
		s.sendCancellation(c)
	}
}

// retryCancellation schedules the next send of a failed cancellation, or gives the cancellation up once its
// lifetime is over. A cancellation is not given up while its request has no answer: the next attempt of the
// request waits for the acknowledgement, and could otherwise run at the same time as the attempt being
// cancelled. The request is answered at its deadline at the latest.
func (s *Scheduler) retryCancellation(c *cancellation) {
	doublings := min(c.sends-1, maxBackoffDoublings)
	wait := min(cancellationBackoff<<doublings, maxCancellationBackoff)
	if c.attempt.request.answered && s.now+wait >= c.giveUpAt {
		s.warn("job cancellation failed: the worker may run the job though no caller waits for it",
			"txn", c.attempt.request.id, "worker", c.attempt.worker.UID)
		s.removeCancellation(c)
		return
	}
	c.inFlight = false
	s.setCancellationTimer(c, s.now+wait)
}

// handleAcknowledgement ends a cancellation that the worker has acknowledged. If the request has a deferred
// attempt and no other open cancellation, handleAcknowledgement sends the deferred attempt. It ends the
// deferred attempt without sending it if the attempt's latest send time has passed, the request has been
// answered, or the attempt's worker is no longer ready.
func (s *Scheduler) handleAcknowledgement(c *cancellation) {
	s.removeCancellation(c)
	r := c.attempt.request
	a := r.lastAttempt()
	if a.deferredUntil == 0 || s.hasOpenCancellation(r) {
		return
	}
	if r.answered || a.worker.Status != dispatch.Ready || s.now >= a.deferredUntil {
		s.endAttempt(a, dispatch.NotSent, dispatch.Report{})
		return
	}
	writeDeadline := a.deferredUntil
	a.deferredUntil = 0
	s.send(a, writeDeadline)
}

// hasOpenCancellation reports whether a cancellation of any attempt of the request is neither acknowledged
// nor given up, so that a worker may still hold the attempt.
func (s *Scheduler) hasOpenCancellation(r *request) bool {
	for _, a := range r.attempts {
		if s.cancellations[a.id] != nil {
			return true
		}
	}
	return false
}
