package modelcheck

import (
	"strings"

	"dahliaford/internal/dispatch"
	"dahliaford/internal/scheduler"
)

// checkSingleAnswer checks when the scheduler answers a client that the answer is the only one of the request
// and in time (property OneFinalAnswer).
func (w *World) checkSingleAnswer(q *request) {
	switch {
	case q.state == answered:
		w.violate(OneFinalAnswer, "%s gets a second final answer", w.requestID(q.id))
	case q.state == disconnected:
		w.violate(OneFinalAnswer, "%s is answered after its client disconnected", w.requestID(q.id))
	case w.now > q.deadline:
		w.violate(OneFinalAnswer, "%s is answered %v after its client's deadline", w.requestID(q.id),
			duration(w.now-q.deadline))
	}
}

// checkAnswerContent checks the property HonestAnswers when the scheduler answers a client: a worker made the
// result, and a request that may have run is neither refused nor called invalid.
func (w *World) checkAnswerContent(q *request, a scheduler.Answer) {
	switch a.Verdict {
	case scheduler.Served:
		uid, ok := strings.CutPrefix(string(a.Body), w.requestID(q.id)+resultSeparator)
		if !ok || !w.requests[q.id].resultsBy.has(workerIndex(uid)) {
			w.violate(HonestAnswers, "%s is served the result %q, which no worker made for it", w.requestID(q.id),
				a.Body)
		}
	case scheduler.Refused:
		w.checkRefusal(q)
	case scheduler.Invalid:
		if w.requests[q.id].mayHaveRun != 0 {
			w.violate(HonestAnswers, "%s is answered as invalid though it may have run",
				w.requestID(q.id))
		}
	}
}

// checkRefusal checks that the client may retry a refused request: the request has not run, no worker holds
// it, and it is not in transit to a worker.
func (w *World) checkRefusal(q *request) {
	id := w.requestID(q.id)
	if w.requests[q.id].mayHaveRun != 0 {
		w.violate(HonestAnswers, "%s is refused though it may have run", id)
	}
	for _, j := range w.jobs {
		if j.id == q.id {
			w.violate(HonestAnswers, "%s is refused while %s holds it", id, workerUID(j.worker))
		}
	}
	for _, c := range w.connections {
		if c.id == q.id && c.phase == written {
			w.violate(HonestAnswers, "%s is refused while it is on its way to %s", id, workerUID(c.worker))
		}
	}
}

// checkArrival checks the properties OneAttemptOutstanding, AttemptsCapped, RunsAsAllowed and
// SlowStartRespected when the last byte of an attempt reaches a worker.
func (w *World) checkArrival(c *connection) {
	q := &w.requests[c.id]
	if q.attempts++; int(q.attempts) > w.cfg.Overrides.maxAttempts() {
		w.violate(AttemptsCapped, "attempt %d of %s reaches %s, more attempts than the settings allow", q.attempts,
			w.requestID(c.id), workerUID(c.worker))
	}
	for _, j := range w.jobs {
		if j.id == c.id {
			w.violate(OneAttemptOutstanding, "an attempt of %s reaches %s while %s holds another attempt of it",
				w.requestID(c.id), workerUID(c.worker), workerUID(j.worker))
		}
	}
	if q.class == Batch && q.mayHaveRun != 0 {
		w.checkBatchRepeat(c)
	}
	w.checkSlowStart(c)
}

// checkBatchRepeat checks the property RunsAsAllowed when a request of class Batch that may have run reaches
// a worker again: the request may have run only in the rack of this worker, and its deduplication window has
// not ended.
func (w *World) checkBatchRepeat(c *connection) {
	q := &w.requests[c.id]
	id, uid := w.requestID(c.id), workerUID(c.worker)
	for i := range uint8(len(w.workers)) {
		if q.mayHaveRun.has(i) && w.cfg.Racks[i] != w.cfg.Racks[c.worker] {
			w.violate(RunsAsAllowed, "%s may have run at %s and reaches %s in another rack", id, workerUID(i), uid)
		}
	}
	if c.sentAt-q.firstRunSentAt > dedupWindow {
		w.violate(RunsAsAllowed, "%s may have run and is sent again %v later, after its deduplication window", id,
			duration(c.sentAt-q.firstRunSentAt))
	}
}

// checkSlowStart checks the property SlowStartRespected: a worker in slow start is not sent more jobs than
// its budget. In all worlds (simulated configurations) that budget is less than one job in each
// overloadWindow (400 ms). Two jobs that are sent with knowledge of the slow start must therefore be sent at
// least overloadWindow apart.
func (w *World) checkSlowStart(c *connection) {
	if !c.slowStart {
		return
	}
	to := &w.workers[c.worker]
	for _, at := range to.slowStartSends {
		if apart := max(c.sentAt-at, at-c.sentAt); apart < overloadWindow {
			w.violate(SlowStartRespected, "two jobs are sent to %s, which is in slow start, within %v",
				workerUID(c.worker), duration(apart))
		}
	}
	to.slowStartSends = append(to.slowStartSends, c.sentAt)
}

// checkWrite checks the properties DrainsRespected and NoSendAfterDisconnect when the first byte of an
// attempt is written.
func (w *World) checkWrite(c *connection) {
	to := &w.workers[c.worker]
	c.slowStart = to.startedAt != 0 && to.knownStartedAt == to.startedAt &&
		w.now-to.startedAt < slowStartDuration && to.status == dispatch.Ready
	w.checkClientPresent(c)
	if since := w.leavingSince(to); since != 0 && w.now-since > drainGrace {
		w.violate(DrainsRespected, "%s is written to %s %v after the notice that the worker drains or is removed",
			w.requestID(c.id), workerUID(c.worker), duration(w.now-since))
	}
}

// checkClientPresent checks NoSendAfterDisconnect: at least one client that submitted the id still waits or
// disconnected no longer than disconnectGrace ago.
func (w *World) checkClientPresent(c *connection) {
	since := Micros(-1)
	for i := range w.requests {
		q := &w.requests[i]
		switch {
		case q.id != c.id:
		case q.state == open:
			return
		case q.state == disconnected:
			since = max(since, q.disconnectedAt)
		}
	}
	if since >= 0 && w.now-since > disconnectGrace {
		w.violate(NoSendAfterDisconnect, "%s is written to %s %v after its client disconnected", w.requestID(c.id),
			workerUID(c.worker), duration(w.now-since))
	}
}

// checkCancelAllowed checks the property CancelsAsAllowed when the scheduler abandons an attempt in a world
// (simulated configuration) whose settings forbid cancelling. The scheduler may abandon an attempt only after
// a callback, the end of the connection or the attempt's deadline has ended the attempt.
func (w *World) checkCancelAllowed(attempt scheduler.AttemptID) {
	if !w.cfg.Overrides.CancelForbidden {
		return
	}
	for i := range w.requests {
		q := &w.requests[i]
		if q.lastAttempt == attempt && q.stage < stageAbandoned && w.now < q.attemptDeadline {
			w.violate(CancelsAsAllowed, "an attempt of %s at %s is given up %v before its time", w.requestID(q.id),
				workerUID(q.lastWorker), duration(q.attemptDeadline-w.now))
		}
	}
}

// recordRun records that a job may have run at a worker, and checks that a request of class Post runs at most
// once (property RunsAsAllowed).
func (w *World) recordRun(id, worker uint8, sentAt Micros) {
	q := &w.requests[id]
	if q.runCount++; q.class == Post && q.runCount > 1 {
		w.violate(RunsAsAllowed, "%s runs for the second time, at %s", w.requestID(id), workerUID(worker))
	}
	if q.mayHaveRun == 0 {
		q.firstRunSentAt = sentAt
	}
	q.mayHaveRun.add(worker)
}

// checkExit checks when the scheduler exits that no request is without an answer (property OneFinalAnswer).
func (w *World) checkExit() {
	for i := range w.requests {
		if w.requests[i].state == open {
			w.violate(OneFinalAnswer, "the scheduler exits before %s has an answer", w.requestID(w.requests[i].id))
		}
	}
}

// checkDeadlines checks after each action that no open request is past its client's deadline (property
// OneFinalAnswer) and that a timer is set for each open request before that deadline (property Terminates).
func (w *World) checkDeadlines() {
	for i := range w.requests {
		q := &w.requests[i]
		if q.state != open {
			continue
		}
		if w.now > q.deadline+timerJitter {
			w.violate(OneFinalAnswer, "%s has no answer %v after its client's deadline", w.requestID(q.id),
				duration(w.now-q.deadline))
		} else if w.now < q.deadline && (w.timerAt == 0 || w.timerAt > q.deadline) {
			w.violate(Terminates, "%s is open, and no timer is set before its client's deadline", w.requestID(q.id))
		}
	}
}
