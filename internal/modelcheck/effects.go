package modelcheck

import (
	"dahliaford/internal/scheduler"
)

// schedulerActions appends the enabled reloads, shutdowns and panics of the scheduler.
func (w *World) schedulerActions(out []Action) []Action {
	if w.mayInject(FaultReload) {
		out = append(out, Action{Kind: ReloadConfig})
	}
	if w.mayInject(FaultShutdown) && !w.stopping {
		out = append(out, Action{Kind: Terminate})
	}
	if w.mayInject(FaultModulePanic) && !w.panicPending {
		out = append(out, Action{Kind: PanicModule})
	}
	return out
}

func (w *World) reloadConfig(Action) {
	w.spendFault(FaultReload)
	w.step(scheduler.Reloaded{Discovery: "another"})
}

func (w *World) terminate(Action) {
	w.spendFault(FaultShutdown)
	w.stopping, w.stoppingSince = true, w.now
	w.step(scheduler.ShutdownRequested{})
}

func (w *World) panicModule(Action) {
	w.spendFault(FaultModulePanic)
	w.panicPending = true
}

// step passes an event to the scheduler, recovers the scheduler from a panic, and performs the effects of the
// event, as package node does.
func (w *World) step(e scheduler.Event) {
	w.observe(e)
	effects, panicked := w.reduce(e)
	if panicked {
		w.panicPending = false
		w.note("the decision module panicked and was restarted")
		var err error
		if effects, err = w.sched.Recover(w.now); err != nil {
			w.violate(OneFinalAnswer, "the decision module cannot be restarted after a panic: %v", err)
		}
	}
	for _, effect := range effects {
		w.perform(effect)
	}
}

// reduce runs the reducer on an event. panicked reports whether the reducer panicked; a panic that was not
// injected is a violation.
func (w *World) reduce(e scheduler.Event) (effects []scheduler.Effect, panicked bool) {
	defer func() {
		if cause := recover(); cause != nil {
			if !w.panicPending {
				w.violate(OneFinalAnswer, "the scheduler panicked without an injected panic: %v", cause)
			}
			panicked = true
		}
	}()
	if w.panicPending {
		w.sched.InjectPanic()
	}
	effects = w.sched.Step(w.now, e, nil)
	if w.panicPending { // the event did not reach the decision module, so the injected panic stays pending
		w.note("(the event did not reach the decision module)")
	}
	return effects, false
}

// perform simulates an effect of the scheduler.
func (w *World) perform(e scheduler.Effect) {
	switch e := e.(type) {
	case scheduler.SendAttempt:
		w.sendAttempt(e)
	case scheduler.CloseConnection:
		w.note("scheduler closes the connection of its attempt at a worker")
		w.closeConnection(e.Attempt)
	case scheduler.CancelUnsent:
		w.note("scheduler cancels its attempt if no byte of it is written")
		w.cancelUnsent(e.Attempt)
	case scheduler.CancelAttempt:
		w.note("scheduler cancels %s at %s", e.RequestID, e.Addr)
		w.checkCancelAllowed(e.Attempt)
		w.markAbandoned(e.Attempt)
		w.sendCancellation(e)
	case scheduler.Answer:
		w.answer(e)
	case scheduler.SetTimer:
		w.timerAt = e.At
	case scheduler.OpenWatch:
		w.note("scheduler opens a watch of the worker list")
		w.openWatch(e.ValidUntil)
	case scheduler.Shutdown:
		w.note("scheduler exits")
		w.exit()
	case scheduler.Log:
		w.note("log: %s %v", e.Text, e.Args)
	}
}

// sendAttempt assigns an attempt to a new connection.
func (w *World) sendAttempt(e scheduler.SendAttempt) {
	w.note("scheduler sends %s to %s, to be written within %v", e.RequestID, e.WorkerUID,
		duration(e.WriteDeadline-w.now))
	// The decision to send the attempt was made at WriteDeadline - connectTimeout or later. An attempt that is
	// deferred until a cancellation is acknowledged is sent some time after the decision. If the list expires in
	// the meantime, blocksSend stops the write, so only the time of the decision is checked here.
	if w.listStale() && e.WriteDeadline-connectTimeout > w.watch.validUntil {
		w.violate(StaleListUnused, "%s is sent to %s by a worker list that expired %v ago", e.RequestID,
			e.WorkerUID, duration(w.now-w.watch.validUntil))
	}
	c := connection{attempt: e.Attempt, id: requestIndex(e.RequestID), worker: workerIndex(e.WorkerUID),
		writeDeadline: e.WriteDeadline}
	c.conn.Assign(e.Attempt, false)
	w.connections = append(w.connections, c)
	q := &w.requests[c.id]
	q.lastAttempt, q.attemptDeadline, q.lastWorker, q.stage = e.Attempt, e.Deadline, c.worker, stageConnecting
}

// answer delivers an answer to its client.
func (w *World) answer(a scheduler.Answer) {
	var q *request
	for i := range w.requests {
		if w.requests[i].caller == a.Caller {
			q = &w.requests[i]
		}
	}
	if q == nil {
		w.violate(OneFinalAnswer, "the scheduler answers a caller that did not submit a request")
		return
	}
	w.note("scheduler %s %s %s", verdictTexts[a.Verdict], w.requestID(q.id), a.Body)
	w.checkSingleAnswer(q)
	w.checkAnswerContent(q, a)
	q.state, q.verdict = answered, a.Verdict
	// The verdict Conflict rejects only the present submission, not the earlier submission of the same id.
	if a.Verdict != scheduler.Conflict {
		w.requests[q.id].rejected = a.Verdict == scheduler.Invalid
	}
}

var verdictTexts = [...]string{scheduler.Served: "serves", scheduler.Refused: "refuses",
	scheduler.Failed: "fails", scheduler.Invalid: "calls invalid", scheduler.Conflict: "calls a conflict"}

// exit ends the scheduler's process.
func (w *World) exit() {
	w.exited = true
	if w.now >= w.stoppingSince+shutdownLimit {
		w.cancellationsAbandoned = true
	}
	w.checkExit()
}
