package scheduler

import "dahliaford/internal/dispatch"

// HasRequest reports whether a request with the id is open, or has an attempt that has not ended.
func (s *Scheduler) HasRequest(id string) bool { return s.byID[id] != nil }

// handleCallback handles a callback from a worker. A callback has an effect if its worker holds the live
// attempt of the request, or if the live attempt is deferred until workers acknowledge cancellations and the
// callback's worker may hold one of the earlier attempts being cancelled. All other callbacks, such as late
// or repeated ones, are ignored.
func (s *Scheduler) handleCallback(e *Callback) {
	r := s.byID[e.RequestID]
	if r == nil || len(r.attempts) == 0 {
		return // The callback is late or repeated: its attempt has ended.
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

// endByCallback ends an attempt whose worker has reported the end of the job. If the worker has not accepted
// the attempt, the connection on which the attempt was sent still waits for the worker's response.
// endByCallback closes that connection, because the response may never come or never end, and the timer that
// would close the connection later ends with the attempt.
func (s *Scheduler) endByCallback(a *attempt, outcome dispatch.Outcome, report dispatch.Report) {
	if !a.accepted {
		s.emit(CloseConnection{Attempt: a.id})
	}
	s.endAttempt(a, outcome, report)
}

// handleEarlierCallback handles a callback about an earlier attempt that is being cancelled while the
// latest attempt is deferred. A callback that reports the end of the job counts as acknowledgement of the
// cancellation, and the result in it answers the request.
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
			// The connection of the cancellation still waits for a response. The connection is closed here, because
			// the timer that would close it later ends with the cancellation.
			s.emit(CloseConnection{Attempt: a.id})
		}
		s.handleAcknowledgement(c)
	}
}
