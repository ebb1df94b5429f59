package scheduler

import "dahliaford/internal/dispatch"

// handleCallback takes a worker's callback. It counts if it comes from the worker that has the
// latest attempt, or one that an open cancellation concerns; a late or repeated one has no effect.
func (s *Scheduler) handleCallback(e *Callback) {
	r := s.byID[e.RequestID]
	if r == nil || len(r.attempts) == 0 {
		return // late, or a repeat: its attempt is over
	}
	a := r.lastAttempt()
	if a.deferredUntil != 0 {
		s.handleEarlierCallback(r, e)
		return
	}
	if a.ended || a.worker.UID != e.WorkerUID {
		return
	}
	report := dispatch.Event{Kind: dispatch.AttemptReported, Job: r.job, Attempt: a.ordinal,
		Worker: a.worker.number, Note: dispatch.NoteStarted}
	switch e.Kind {
	case CallbackStarted:
		s.stepDispatcher(report)
	case CallbackRunning:
		report.Note, report.Value = dispatch.NoteProgress, e.Progress
		s.stepDispatcher(report)
	case CallbackDone:
		s.answer(r, Answer{Verdict: Served, Body: e.Result})
		s.endByCallback(a, dispatch.OK, e.Report)
	case CallbackFailed:
		s.endByCallback(a, dispatch.Failed, e.Report)
	case CallbackHandedBack:
		s.endByCallback(a, dispatch.HandedBack, e.Report)
	case CallbackAborted:
		s.endByCallback(a, dispatch.Reset, e.Report)
	}
}

// endByCallback closes an attempt by its worker's callback. Its connection may still wait for a
// response that never comes, or never ends, and from here on nothing times it.
func (s *Scheduler) endByCallback(a *attempt, outcome dispatch.Outcome, report dispatch.Report) {
	if !a.accepted {
		s.emit(CloseConnection{Attempt: a.id})
	}
	s.endAttempt(a, outcome, report)
}

// handleEarlierCallback takes the callback of an earlier attempt while the next one is deferred
// until that is cancelled. Its end is as good as an acknowledged cancellation, and its result as
// good as any.
func (s *Scheduler) handleEarlierCallback(r *request, e *Callback) {
	for _, a := range r.attempts {
		c := s.cancellations[a.id]
		if c == nil || a.worker.UID != e.WorkerUID || e.Kind == CallbackStarted || e.Kind == CallbackRunning {
			continue
		}
		if e.Kind == CallbackDone {
			s.answer(r, Answer{Verdict: Served, Body: e.Result})
		}
		if c.inFlight {
			s.emit(CloseConnection{Attempt: a.id}) // nothing times the cancellation's connection any more
		}
		s.handleAcknowledgement(c)
	}
}
