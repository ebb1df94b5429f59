package modelcheck

import (
	"strconv"

	"dahliaford/internal/scheduler"
)

type requestState uint8

const (
	notSubmitted requestState = iota
	open
	answered
	disconnected // its client left
)

// request is a submission of the client, and what the workers saw of its id.
type request struct {
	class          Class
	id             uint8  // index of the request that first had this id
	generation     uint16 // how often this one was renewed
	state          requestState
	caller         scheduler.CallerID
	deadline       Micros // its client gives up then
	verdict        scheduler.Verdict
	disconnectedAt Micros

	// What follows is about the id, and kept with the first request that had it.

	acceptedAt      Micros    // when the last submission that the scheduler accepted came
	rejected        bool      // that one was answered as invalid
	attempts        uint8     // attempts that reached a worker
	starts          uint8     // attempts that may have run
	mayHaveRun      workerSet // where an attempt may have run
	firstRunSentAt  Micros    // when the first attempt that may have run was sent
	resultsBy       workerSet // which workers made a result
	lastAttempt     scheduler.AttemptID
	attemptDeadline Micros // the last attempt is given up then
	lastWorker      uint8  // the worker of the last attempt
	stage           stage  // of the last attempt, by the events that the scheduler has received
}

// requestID is the id of a request's present generation on the wire.
func (w *World) requestID(index uint8) string {
	id := "t" + string(rune('0'+index))
	if generation := w.requests[index].generation; generation > 0 {
		id += "." + strconv.Itoa(int(generation))
	}
	return id
}

// requestIndex is the inverse of requestID.
func requestIndex(id string) uint8 { return id[1] - '0' }

// requestActions lists what the client can do.
func (w *World) requestActions(out []Action) []Action {
	first := true // of those not submitted: the client sends them in order
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

// renewActions lists the finished requests that another one can take the place of.
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

// renewable reports whether a request is over and nothing of its id is left anywhere.
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

// inUse reports whether anything on its way, or held by a worker, has an id.
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
	w.forgetRuns(q.id)
	w.lastCaller++
	q.state, q.caller, q.deadline = open, w.lastCaller, w.now+q.class.deadline()
	w.step(scheduler.Submitted{Caller: q.caller, RequestID: w.requestID(q.id), Class: q.class.String(),
		Tenant: tenant, Deadline: q.deadline, Slots: 1})
	if q.state != answered || q.verdict != scheduler.Invalid && q.verdict != scheduler.Conflict {
		w.requests[q.id].acceptedAt = w.now
	}
}

// forgetRuns lets the next submission of an id count as a job of its own, once nothing is left of the last
// one and no attempt of that can be within its window any more: each was sent before the deadline of the
// last one. Behind a rejection it is one at once where nothing may have run, and has its own attempts.
func (w *World) forgetRuns(id uint8) {
	q := &w.requests[id]
	if q.rejected && q.mayHaveRun == 0 {
		q.attempts = 0
	}
	if q.acceptedAt == 0 || w.now-q.acceptedAt <= q.class.deadline()+dedupWindow || w.inUse(id) {
		return
	}
	q.attempts, q.starts, q.mayHaveRun, q.firstRunSentAt, q.resultsBy = 0, 0, 0, 0, 0
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

// allAnswered reports whether no client waits any more.
func (w *World) allAnswered() bool {
	for i := range w.requests {
		if w.requests[i].state == open {
			return false
		}
	}
	return true
}
