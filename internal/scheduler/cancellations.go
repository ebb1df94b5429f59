package scheduler

import "dahliaford/internal/dispatch"

const (
	// cancellationTimeout is how long a worker may take to respond to a cancellation.
	cancellationTimeout Micros = second
	// cancellationBackoff is the first wait before a cancellation that failed is sent again; it
	// doubles, up to maxCancellationBackoff.
	cancellationBackoff    Micros = 250 * millisecond
	maxCancellationBackoff Micros = 2 * second
	// maxBackoffDoublings keeps the shift in bounds; the maximum is reached before it.
	maxBackoffDoublings = 6
	// cancellationLifetime is how long a cancellation is retried whose request is answered. After it,
	// the worker still has what came with the attempt: how long anybody would wait.
	cancellationLifetime Micros = 15 * second
)

// cancellation is the cancellation of an attempt that its worker may hold. It is retried until the
// worker has acknowledged it, as a job that nobody waits for takes a slot, and one that may be
// repeated must not run at two workers at once.
type cancellation struct {
	attempt  *attempt
	inFlight bool   // sent, and its result is awaited
	timerAt  Micros // when what is in flight times out, or the next send begins
	sends    int
	giveUpAt Micros
}

// cancelAttempt gives up an attempt: it closes its connection if the worker has not accepted it, and
// notifies the worker in any case. The worker's 202 may cross the end of the connection, and then
// that alone cancels nothing.
func (s *Scheduler) cancelAttempt(a *attempt) {
	if a.deferredUntil != 0 {
		return // it was never sent
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

// handleCancellationResult takes the result of a cancellation that was sent.
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

// cancellationTimerFired ends what is in flight of a cancellation, or begins the next send. A timer
// that has been replaced by a later one has no effect.
func (s *Scheduler) cancellationTimerFired(t timer) {
	c := s.cancellations[AttemptID(t.id)]
	switch {
	case c == nil || c.timerAt != t.at:
	case c.inFlight:
		s.emit(CloseConnection{Attempt: c.attempt.id}) // the cancellation's own connection
		s.retryCancellation(c)
	default:
		s.sendCancellation(c)
	}
}

// retryCancellation sends a cancellation again after a wait, or gives it up. While its request is open it is
// never given up: the request's next attempt waits for it, and would be a second copy of the first without.
// The request's deadline ends that.
func (s *Scheduler) retryCancellation(c *cancellation) {
	doublings := min(c.sends-1, maxBackoffDoublings)
	wait := min(cancellationBackoff<<doublings, maxCancellationBackoff)
	if c.attempt.request.answered && s.now+wait >= c.giveUpAt {
		s.warn("job cancellation failed: its worker may run it for no caller", "txn", c.attempt.request.id,
			"worker", c.attempt.worker.UID)
		s.removeCancellation(c)
		return
	}
	c.inFlight = false
	s.setCancellationTimer(c, s.now+wait)
}

// handleAcknowledgement ends a cancellation. An attempt that was deferred until then is sent, if it still may be.
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

// hasOpenCancellation tells whether a worker may still hold an earlier attempt of a request.
func (s *Scheduler) hasOpenCancellation(r *request) bool {
	for _, a := range r.attempts {
		if s.cancellations[a.id] != nil {
			return true
		}
	}
	return false
}
