package scheduler

import "dahliaford/internal/dispatch"

// attempt is one attempt to run the job of a request at a worker.
type attempt struct {
	id         AttemptID
	request    *request
	ordinal    int // the number that the dispatcher gave the attempt, counted from 0 in each job
	worker     *worker
	addr       string // the address of the worker at the start of the attempt
	deadline   Micros
	accepted   bool // the worker has accepted the attempt
	ended      bool
	mayHaveRun bool // the attempt has ended with an outcome after which the job may have run
	// deferredUntil is the latest time at which a deferred attempt may still be sent; 0 if the attempt is
	// not deferred. An attempt is deferred until a worker acknowledges the cancellation of an earlier one.
	deferredUntil Micros
}

// startAttempt starts the attempt that a Send action of the dispatcher requests. The attempt is sent at
// once, or deferred while a worker may hold an earlier attempt of the same request.
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
	s.reserveID(r.id)
	s.addTimer(timer{at: a.deadline, kind: attemptDeadline, id: uint64(a.id)})
	writeDeadline := s.writeDeadline(a, action.SendBy)
	if s.hasOpenCancellation(r) {
		// A worker may hold an earlier attempt of the request. If the new attempt were sent before the
		// worker acknowledges the cancellation of the earlier one, the job could run twice at once.
		a.deferredUntil = writeDeadline
		s.addTimer(timer{at: writeDeadline, kind: deferralEnd, id: uint64(a.id)})
		return
	}
	s.send(a, writeDeadline)
}

// reserveID keeps the id of a request from being used again after the request. The id of a request that never
// has an attempt is not reserved: no worker knows it, and bad clients can have thousands of requests refused
// in a second.
func (s *Scheduler) reserveID(id string) {
	if s.usedIDs.add(s.now, id) {
		s.warn("too many request ids in use; forgetting the oldest early", "kept", s.usedIDs.size())
	}
}

// suppressAttempt reports to the dispatcher that a Send action was not carried out. A Send is suppressed if
// its request is answered or has an attempt that has not ended, or if its request or worker is unknown: a
// second attempt at the same time could run the job twice. A correct dispatcher never requests such a Send.
func (s *Scheduler) suppressAttempt(action *dispatch.Action, answered bool) {
	s.queueDispatcherEvent(dispatch.Event{Kind: dispatch.AttemptEnded, Job: action.Job, Attempt: action.Attempt,
		Worker: action.Worker, Outcome: dispatch.NotSent, Final: answered})
	s.warn("suppressed a send for an answered or unknown request, a live attempt or an unknown worker",
		"job", action.Job, "worker", action.Worker)
}

// writeDeadline returns the time by which the last byte of an attempt must be written to its connection.
func (s *Scheduler) writeDeadline(a *attempt, sendBy Micros) Micros {
	by := s.now + s.settings.Dispatch.ConnectTimeout
	// The worker may start to drain while the connection opens. The first byte of an attempt must be written
	// within the drain grace, counted from the start of the drain, so an attempt whose connection takes
	// longer than the drain grace to open is not sent.
	if s.settings.DrainGrace > 0 {
		by = min(by, s.now+s.settings.DrainGrace)
	}
	// A retry must be written before sendBy, even if its connection takes long to open: after sendBy the
	// deduplication window of the class ends, and workers no longer recognize the retry as a repetition.
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

// handleAttemptEnded ends an attempt with the outcome seen on its connection. An attempt that the worker
// has accepted is ended only by the worker's callback or by the deadline.
func (s *Scheduler) handleAttemptEnded(e *AttemptEnded) {
	a := s.byAttempt[e.Attempt]
	if a == nil || a.accepted {
		return
	}
	if e.Outcome == dispatch.Reset {
		// The worker may have accepted the attempt although its 202 response was lost with the connection. The
		// worker is therefore told to drop the job.
		s.startCancellation(a)
	}
	s.endAttempt(a, e.Outcome, e.Report)
}

// rejectAttempt answers a request whose attempt a worker has rejected as invalid. It also makes the request
// id usable again, because a client other than the owner of the id may have submitted the request.
//
// If an earlier attempt may have run, the answer is Failed instead of Invalid, as Invalid says that the job
// has not run. The id then stays in use: a new request with the same id could run at a worker that does not
// know of the earlier run.
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

// endAttempt ends an attempt and reports its outcome to the dispatcher.
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

// expireDeferral ends an attempt that still waits for the acknowledgement of an earlier attempt's
// cancellation at the latest time at which the waiting attempt may be sent.
func (s *Scheduler) expireDeferral(t timer) {
	if a := s.byAttempt[AttemptID(t.id)]; a != nil && a.deferredUntil == t.at {
		s.endAttempt(a, dispatch.NotSent, dispatch.Report{})
	}
}
