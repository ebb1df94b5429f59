package modelcheck

import (
	"strconv"

	"dahliaford/internal/scheduler"
)

// requestState is the state of a request from the view of the client.
type requestState uint8

const (
	notSubmitted requestState = iota
	open
	answered
	disconnected // the client disconnected before the answer
)

// request is a submission by the client, and the record of the attempts of its id at the workers.
type request struct {
	class          Class
	id             uint8  // index of the first request that was submitted with this id
	generation     uint16 // number of times that RenewRequest has replaced this request
	state          requestState
	caller         scheduler.CallerID
	deadline       Micros // the client's deadline
	verdict        scheduler.Verdict
	disconnectedAt Micros

	// The following fields concern the id of the request. For several submissions of one id, they are used
	// only in the request that was submitted first.

	acceptedAt      Micros    // time of the last submission that the scheduler accepted
	rejected        bool      // whether the last verdict on a submission, other than Conflict, was Invalid
	attempts        uint8     // number of attempts that reached a worker
	runCount        uint8     // number of attempts that may have run
	mayHaveRun      workerSet // workers where an attempt may have run
	firstRunSentAt  Micros    // time at which the first attempt that may have run was sent
	resultsBy       workerSet // workers that made a result
	lastAttempt     scheduler.AttemptID
	attemptDeadline Micros // deadline of the last attempt
	lastWorker      uint8  // the worker of the last attempt
	stage           stage  // stage of the last attempt
}

// requestID returns the id on the wire of a request. The id contains the generation of the request if
// RenewRequest has replaced the request.
func (w *World) requestID(index uint8) string {
	id := "t" + string(rune('0'+index))
	if generation := w.requests[index].generation; generation > 0 {
		id += "." + strconv.Itoa(int(generation))
	}
	return id
}

// requestIndex returns the index of the request with an id that requestID returned.
func requestIndex(id string) uint8 { return id[1] - '0' }

// requestActions appends the enabled submissions and disconnects of the client.
func (w *World) requestActions(out []Action) []Action {
	first := true // whether all earlier requests are submitted: the client submits requests in order
	for i := range w.requests {
		q := &w.requests[i]
		switch {
		case q.state == notSubmitted && first && !w.settling:
			out = append(out, Action{Submit, uint8(i), 0})
			first = false
		case q.state == open && w.mayInject(FaultClientDisconnect):
			out = append(out, Action{ClientDisconnects, uint8(i), 0})
		}
		if q.state != notSubmitted && int(q.id) == i && w.mayInject(FaultDuplicateID) &&
			len(w.requests) < maxRequests {
			out = append(out, Action{SubmitDuplicate, uint8(i), 0})
		}
	}
	return out
}

// renewActions appends the enabled replacements of finished requests by new requests.
func (w *World) renewActions(out []Action) []Action {
	if !w.cfg.RenewRequests || w.settling {
		return out
	}
	for i := range w.requests {
		if w.renewable(uint8(i)) {
			out = append(out, Action{RenewRequest, uint8(i), 0})
		}
	}
	return out
}

// renewable reports whether RenewRequest may replace a request: the request is finished, and no message, job
// or further submission of its id is left.
func (w *World) renewable(id uint8) bool {
	q := &w.requests[id]
	if q.id != id || q.state == notSubmitted || q.state == open || q.stage == stageConnecting ||
		w.sched.Stats().Cancellations > 0 {
		return false
	}
	for i := range w.requests {
		if i != int(id) && w.requests[i].id == id {
			return false
		}
	}
	return !w.inUse(id)
}

// inUse reports whether a connection, a callback, a cancellation or a job belongs to an id.
func (w *World) inUse(id uint8) bool {
	for i := range w.connections {
		if w.connections[i].id == id {
			return true
		}
	}
	for i := range w.callbacks {
		if w.callbacks[i].id == id {
			return true
		}
	}
	for i := range w.cancellations {
		if w.cancellations[i].id == id {
			return true
		}
	}
	for i := range w.jobs {
		if w.jobs[i].id == id {
			return true
		}
	}
	return false
}

func (w *World) submitFirst(a Action) { w.submit(&w.requests[a.Target]) }

func (w *World) submitDuplicate(a Action) {
	w.spendFault(FaultDuplicateID)
	w.requests = append(w.requests, request{class: w.requests[a.Target].class, id: a.Target})
	w.submit(&w.requests[len(w.requests)-1])
}

func (w *World) submit(q *request) {
	w.resetRunHistory(q.id)
	w.lastCaller++
	q.state, q.caller, q.deadline = open, w.lastCaller, w.now+q.class.deadline()
	w.step(scheduler.Submitted{Caller: q.caller, RequestID: w.requestID(q.id), Class: q.class.String(),
		Tenant: tenant, Deadline: q.deadline, Slots: 1})
	if q.state != answered || q.verdict != scheduler.Invalid && q.verdict != scheduler.Conflict {
		w.requests[q.id].acceptedAt = w.now
	}
}

// resetRunHistory clears the record of an id before a new submission if the submission counts as a new job.
// This is the case when no message or job of the id is left and no earlier attempt can be within its
// deduplication window: each attempt was sent before the deadline of the last accepted submission. If the
// last submission was rejected as invalid and no attempt may have run, the count of attempts starts from zero
// even within that time.
func (w *World) resetRunHistory(id uint8) {
	q := &w.requests[id]
	if q.rejected && q.mayHaveRun == 0 {
		q.attempts = 0
	}
	if q.acceptedAt == 0 || w.now-q.acceptedAt <= q.class.deadline()+dedupWindow || w.inUse(id) {
		return
	}
	q.attempts, q.runCount, q.mayHaveRun, q.firstRunSentAt, q.resultsBy = 0, 0, 0, 0, 0
}

func (w *World) renewRequest(a Action) {
	q := &w.requests[a.Target]
	*q = request{class: q.class, id: q.id, generation: q.generation + 1}
}

func (w *World) disconnectClient(a Action) {
	w.spendFault(FaultClientDisconnect)
	q := &w.requests[a.Target]
	q.state, q.disconnectedAt = disconnected, w.now
	w.step(scheduler.ClientDisconnected{Caller: q.caller})
}

// allAnswered reports whether no submitted request waits for an answer.
func (w *World) allAnswered() bool {
	for i := range w.requests {
		if w.requests[i].state == open {
			return false
		}
	}
	return true
}
