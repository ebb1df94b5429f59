package scheduler

import "dahliaford/internal/dispatch"

// attempt is one attempt of a request at a worker.
type attempt struct {
	id            AttemptID
	request       *request
	ordinal       int // the dispatcher's number of it, from 0 for each request
	worker        *worker
	addr          string // the worker's when the attempt was made
	deadline      Micros
	accepted      bool
	ended         bool
	mayHaveRun    bool   // by the outcome with which it ended
	deferredUntil Micros // not sent before an earlier attempt is cancelled, nor after this; 0: sent
}

// startAttempt makes the attempt that a Send of the dispatcher asks for. It is sent at once, or
// deferred while a worker may hold an earlier attempt of the request.
func (s *Scheduler) startAttempt(action *dispatch.Action) {
	r, w := s.byJob[action.Job], s.byNumber[action.Worker]
	if r == nil || w == nil || r.answered || r.hasLiveAttempt() {
		s.suppressAttempt(action, r == nil || r.answered)
		return
	}
	s.lastAttempt++
	a := &attempt{id: s.lastAttempt, request: r, ordinal: action.Attempt, worker: w, addr: w.Addr,
		deadline: r.deadline}
	if action.Deadline > 0 {
		a.deadline = min(a.deadline, action.Deadline)
	}
	r.attempts = append(r.attempts, a)
	s.byAttempt[a.id] = a
	s.addTimer(timer{at: a.deadline, kind: attemptDeadline, id: uint64(a.id)})
	writeDeadline := s.writeDeadline(a, action.SendBy)
	if s.hasOpenCancellation(r) {
		// A worker may hold an earlier attempt. Until it has acknowledged that this is cancelled,
		// another one would be a second copy.
		a.deferredUntil = writeDeadline
		s.addTimer(timer{at: writeDeadline, kind: deferralEnd, id: uint64(a.id)})
		return
	}
	s.send(a, writeDeadline)
}

// suppressAttempt reports a Send as not carried out. The dispatcher never asks for one of this kind.
// If it did, sending would break a rule.
func (s *Scheduler) suppressAttempt(action *dispatch.Action, answered bool) {
	s.queueDispatcherEvent(dispatch.Event{Kind: dispatch.AttemptEnded, Job: action.Job, Attempt: action.Attempt,
		Worker: action.Worker, Outcome: dispatch.NotSent, Final: answered})
	s.warn("send suppressed", "job", action.Job, "worker", action.Worker)
}

// writeDeadline is the time by which the last byte of an attempt must be out.
func (s *Scheduler) writeDeadline(a *attempt, sendBy Micros) Micros {
	by := s.now + s.settings.Dispatch.ConnectTimeout
	// A worker may start to drain the moment after this. A send counts from its first byte, so a
	// slow connect must not carry it past the drain grace.
	if s.settings.DrainGrace > 0 {
		by = min(by, s.now+s.settings.DrainGrace)
	}
	// A retry must come within its class's deduplication window, however late its connection comes up.
	return min(by, a.deadline, sendBy)
}

func (s *Scheduler) send(a *attempt, writeDeadline Micros) {
	s.emit(SendAttempt{Attempt: a.id, RequestID: a.request.id, WorkerUID: a.worker.UID, Addr: a.addr,
		WriteDeadline: writeDeadline, Deadline: a.deadline, Payload: a.request.payload})
}

func (s *Scheduler) acceptAttempt(id AttemptID) {
	if a := s.byAttempt[id]; a != nil {
		a.accepted = true
	}
}

// handleAttemptEnded ends an attempt by what its connection showed. After the worker has accepted
// it, only the worker's callback or the deadline ends it.
func (s *Scheduler) handleAttemptEnded(e *AttemptEnded) {
	a := s.byAttempt[e.Attempt]
	if a == nil || a.accepted {
		return
	}
	if e.Outcome == dispatch.Reset {
		// Its 202 may have crossed the connection's end: the worker may hold it.
		s.startCancellation(a)
	}
	s.endAttempt(a, e.Outcome, e.Report)
}

// rejectAttempt answers a request that no worker can use. Its id becomes free again: an impostor may
// have come before the client that the id belongs to. Where an earlier attempt may have run, Invalid
// would deny that, and a new request of the same id could run at a worker that does not know of the
// first run: the request fails, and its id stays in use.
func (s *Scheduler) rejectAttempt(id AttemptID) {
	a := s.byAttempt[id]
	if a == nil || a.accepted {
		return
	}
	if a.request.mayHaveRun() {
		s.answer(a.request, Answer{Verdict: Failed})
		s.endAttempt(a, dispatch.Cancelled, dispatch.Report{})
		return
	}
	s.answer(a.request, Answer{Verdict: Invalid, Body: []byte("the worker cannot use it")})
	s.endAttempt(a, dispatch.Cancelled, dispatch.Report{})
	s.usedIDs.remove(a.request.id)
}

// endAttempt closes an attempt and reports its outcome to the dispatcher.
func (s *Scheduler) endAttempt(a *attempt, outcome dispatch.Outcome, report dispatch.Report) {
	s.removeAttempt(a)
	a.mayHaveRun = outcome.MayHaveRun()
	if a.request.answered {
		s.removeRequest(a.request)
	}
	s.stepDispatcher(dispatch.Event{Kind: dispatch.AttemptEnded, Job: a.request.job, Attempt: a.ordinal,
		Worker: a.worker.number, Outcome: outcome, Final: a.request.answered, Report: report})
}

func (s *Scheduler) removeAttempt(a *attempt) {
	a.ended = true
	delete(s.byAttempt, a.id)
}

// expireAttempt cancels an attempt at its deadline.
func (s *Scheduler) expireAttempt(id AttemptID) {
	if a := s.byAttempt[id]; a != nil {
		s.cancelAttempt(a)
		s.endAttempt(a, dispatch.TimedOut, dispatch.Report{})
	}
}

// expireDeferral ends an attempt that has been deferred for as long as it may be.
func (s *Scheduler) expireDeferral(t timer) {
	if a := s.byAttempt[AttemptID(t.id)]; a != nil && a.deferredUntil == t.at {
		s.endAttempt(a, dispatch.NotSent, dispatch.Report{})
	}
}
