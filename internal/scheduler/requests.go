package scheduler

import (
	"fmt"
	"slices"

	"dahliaford/internal/dispatch"
)

// request is a caller's request from its arrival to its answer, and for as long after that as an
// attempt of it is live.
type request struct {
	caller   CallerID
	id       string
	job      dispatch.JobID
	deadline Micros
	payload  any
	answered bool
	attempts []*attempt // all attempts, in order; at most the last one is live
}

// lastAttempt is the latest attempt, nil if there has been none.
func (r *request) lastAttempt() *attempt {
	if len(r.attempts) == 0 {
		return nil
	}
	return r.attempts[len(r.attempts)-1]
}

// hasLiveAttempt tells whether the latest attempt has not ended.
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
		s.warn("submission not taken", "txn", e.ID, "why", reason)
		return
	}
	if s.stopping() {
		s.emit(Answer{Caller: e.Caller, Verdict: Refused, FinalForConnection: true})
		return
	}
	s.lastJob++
	s.usedIDs.add(e.ID)
	// No class waits longer than its deadline, whatever a client says: the dispatcher gives up by
	// then, and what is kept for a request must have an end.
	r := &request{
		caller:   e.Caller,
		id:       e.ID,
		job:      s.lastJob,
		payload:  e.Payload,
		deadline: min(e.Deadline, s.now+s.settings.Dispatch.Classes[class].Deadline),
	}
	s.byCaller[r.caller], s.byID[r.id], s.byJob[r.job] = r, r, r
	s.addTimer(timer{at: r.deadline, kind: requestDeadline, id: uint64(r.caller)})
	s.stepDispatcher(dispatch.Event{Kind: dispatch.JobArrived, Job: r.job, Class: class, Tenant: tenant,
		ClientTimeout: max(e.Deadline-s.now, 0), Slots: e.Slots, Retry: e.Retry})
}

// checkSubmission says why a submission cannot be taken, in the words of the answer to the client.
// An empty reason: it can. Class and tenant are numbers, negative if unknown.
func (s *Scheduler) checkSubmission(e *Submitted, class, tenant int) (verdict Verdict, reason string) {
	switch {
	case class < 0:
		return Invalid, fmt.Sprintf("unknown class %q", e.Class)
	case tenant < 0:
		return Invalid, fmt.Sprintf("unknown tenant %q", e.Tenant)
	case e.ID == "":
		return Invalid, "no request id"
	case s.byID[e.ID] != nil:
		// Callbacks name a request by its id alone: those of two requests of one id would mix.
		return Conflict, "a request of that id is open"
	case s.usedIDs.has(e.ID), s.cancellationsByID[e.ID] > 0:
		// Each request has an id of its own. Sent on, this one would be a second attempt of the
		// first, or be turned away, which looks like a failing worker.
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

// answer gives a request its one answer; any further one is dropped here.
func (s *Scheduler) answer(r *request, a Answer) {
	if r.answered {
		return
	}
	a.Caller, a.FinalForConnection = r.caller, s.stopping()
	s.emit(a)
	s.complete(r)
}

// complete marks that a request needs no answer any more. Its id is kept while an attempt of it is
// live, so that the callbacks of that attempt find it.
func (s *Scheduler) complete(r *request) {
	r.answered = true
	delete(s.byCaller, r.caller)
	if !r.hasLiveAttempt() {
		s.release(r)
	} else if !s.settings.Dispatch.CancelAllowed { // where it is allowed, the dispatcher cancels it
		// A deferred attempt is not sent either: acknowledged sees that nobody waits for it.
		s.emit(CancelUnsent{Attempt: r.lastAttempt().id})
	}
}

func (s *Scheduler) release(r *request) {
	delete(s.byJob, r.job)
	if s.byID[r.id] == r {
		delete(s.byID, r.id)
	}
}

// expireRequest answers a request at its deadline. The dispatcher answers before this. Should it
// ever not, the caller gets an answer all the same, and not one that says that a retry is harmless.
func (s *Scheduler) expireRequest(caller CallerID) {
	r := s.byCaller[caller]
	if r == nil {
		return
	}
	s.warn("no decision by the deadline", "txn", r.id)
	s.answer(r, Answer{Verdict: Failed})
	s.stepDispatcher(dispatch.Event{Kind: dispatch.ClientDisconnected, Job: r.job})
}

// idRetention is how long after its submission an id of a class stays in use. Its last attempt may leave
// just before the deadline, and a repeat of a keyed one is dropped for a window after that, but only at
// workers within its dedup scope: until then, a new request of the same id could run elsewhere.
func idRetention(class *dispatch.Class) Micros {
	if class.Effect == dispatch.Keyed {
		return class.Deadline + class.DedupWindow
	}
	return class.Deadline
}

// recentIDs holds the request ids of the last while: each for as long as idRetention asks of any class,
// and no longer than twice that.
type recentIDs struct {
	current, previous map[string]bool
	rotatedAt         Micros
}

func (r *recentIDs) has(id string) bool { return r.current[id] || r.previous[id] }

// rotate forgets ids whose time is over, whether or not others come after them.
func (r *recentIDs) rotate(now, keep Micros) {
	age := now - r.rotatedAt
	if age <= keep {
		return
	}
	r.previous, r.current = r.current, nil
	if age > 2*keep {
		r.previous = nil
	}
	r.rotatedAt = now
}

func (r *recentIDs) add(id string) {
	if r.current == nil {
		r.current = map[string]bool{}
	}
	r.current[id] = true
}

func (r *recentIDs) remove(id string) {
	delete(r.current, id)
	delete(r.previous, id)
}
