package scheduler

import (
	"fmt"
	"slices"

	"dahliaford/internal/dispatch"
)

// request is the record of a submitted request. It is kept until the request has been answered and all its
// attempts have ended.
type request struct {
	caller   CallerID
	id       string
	job      dispatch.JobID
	deadline Micros
	payload  any // the payload of the next attempt; nil once the request has been answered
	answered bool
	attempts []*attempt // all attempts, the oldest first; only the last may be live
}

// lastAttempt returns the latest attempt, or nil if the request has had none.
func (r *request) lastAttempt() *attempt {
	if len(r.attempts) == 0 {
		return nil
	}
	return r.attempts[len(r.attempts)-1]
}

// hasLiveAttempt reports whether the request has an attempt that has not ended.
func (r *request) hasLiveAttempt() bool {
	last := r.lastAttempt()
	return last != nil && !last.ended
}

// mayHaveRun reports whether the job may have run in an attempt that has ended.
func (r *request) mayHaveRun() bool {
	return slices.ContainsFunc(r.attempts, func(a *attempt) bool { return a.mayHaveRun })
}

func (s *Scheduler) submit(e *Submitted) {
	class := slices.Index(s.settings.Classes, e.Class)
	tenant := slices.Index(s.settings.Tenants, e.Tenant)
	if len(s.settings.Tenants) == 0 {
		tenant = 0
	}
	if verdict, reason := s.checkSubmission(e, class, tenant); reason != "" {
		s.emit(Answer{Caller: e.Caller, Verdict: verdict, Body: []byte(reason), FinalForConnection: s.stopping()})
		s.warn("submission not taken", "txn", e.RequestID, "why", reason)
		return
	}
	if s.stopping() {
		s.emit(Answer{Caller: e.Caller, Verdict: Refused, FinalForConnection: true})
		return
	}
	s.lastJob++
	// The deadline that the client requests is limited by the deadline of the job's class, for two reasons: the
	// dispatcher abandons the job at the deadline of the class, and no record of a request may be kept
	// indefinitely.
	r := &request{
		caller:   e.Caller,
		id:       e.RequestID,
		job:      s.lastJob,
		payload:  e.Payload,
		deadline: min(e.Deadline, s.now+s.settings.Dispatch.Classes[class].Deadline),
	}
	s.byCaller[r.caller], s.byID[r.id], s.byJob[r.job] = r, r, r
	s.addTimer(timer{at: r.deadline, kind: requestDeadline, id: uint64(r.caller)})
	s.stepDispatcher(dispatch.Event{Kind: dispatch.JobArrived, Job: r.job, Class: class, Tenant: tenant,
		ClientTimeout: max(e.Deadline-s.now, 0), Slots: e.Slots, Retry: e.Retry})
}

// checkSubmission returns the verdict and the reason with which a submission is rejected. The reason is the
// body of the answer to the client; it is empty if the submission is accepted. Class and tenant are indexes
// into the lists of the settings, or negative if the name is unknown.
func (s *Scheduler) checkSubmission(e *Submitted, class, tenant int) (verdict Verdict, reason string) {
	switch {
	case class < 0:
		return Invalid, fmt.Sprintf("unknown class %q", e.Class)
	case tenant < 0:
		return Invalid, fmt.Sprintf("unknown tenant %q", e.Tenant)
	case e.RequestID == "":
		return Invalid, "no request id"
	case s.byID[e.RequestID] != nil:
		// Callbacks identify a request only by its id. The callbacks of two open requests with the same id
		// could not be told apart.
		return Conflict, "a request of that id is open"
	case s.usedIDs.has(e.RequestID), s.cancellationsByID[e.RequestID] > 0:
		// A worker that knows the id would take the new request for a repetition of the earlier one, or
		// reject it, which would count as a failure of the worker.
		return Conflict, "that id has been used"
	}
	return 0, ""
}

// disconnectClient completes a request whose client has disconnected.
func (s *Scheduler) disconnectClient(caller CallerID) {
	if r := s.byCaller[caller]; r != nil {
		s.complete(r)
		s.stepDispatcher(dispatch.Event{Kind: dispatch.ClientDisconnected, Job: r.job})
	}
}

// answer emits the final answer to a request, unless the request has been answered before.
func (s *Scheduler) answer(r *request, a Answer) {
	if r.answered {
		return
	}
	a.Caller, a.FinalForConnection = r.caller, s.stopping()
	s.emit(a)
	s.complete(r)
}

// complete marks a request as answered. The request stays in the index by id while it has a live attempt, so
// that callbacks of the attempt are matched to the request. The payload is released, because no further
// attempt is sent, and a request with an open cancellation stays in memory for many seconds.
func (s *Scheduler) complete(r *request) {
	r.answered, r.payload = true, nil
	delete(s.byCaller, r.caller)
	if !r.hasLiveAttempt() {
		s.removeRequest(r)
	} else if !s.settings.Dispatch.CancelAllowed {
		// Where cancelling is allowed, the dispatcher cancels the live attempt. A deferred attempt is not
		// sent in any case, as handleAcknowledgement checks whether the request has been answered.
		s.emit(CancelUnsent{Attempt: r.lastAttempt().id})
	}
}

func (s *Scheduler) removeRequest(r *request) {
	delete(s.byJob, r.job)
	if s.byID[r.id] == r {
		delete(s.byID, r.id)
	}
}

// expireRequest answers a request as failed at its deadline. It is a safeguard: a correct dispatcher decides
// before the deadline. The verdict is not Refused, because the job may have run.
func (s *Scheduler) expireRequest(caller CallerID) {
	r := s.byCaller[caller]
	if r == nil {
		return
	}
	s.warn("the dispatcher did not decide on a request by its deadline", "txn", r.id)
	s.answer(r, Answer{Verdict: Failed})
	s.stepDispatcher(dispatch.Event{Kind: dispatch.ClientDisconnected, Job: r.job})
}
