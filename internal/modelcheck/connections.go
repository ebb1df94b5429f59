package modelcheck

import (
	"dahliaford/internal/connstate"
	"dahliaford/internal/dispatch"
	"dahliaford/internal/scheduler"
)

// connectionPhase is the progress of an attempt on its connection.
type connectionPhase uint8

const (
	connecting connectionPhase = iota // no byte of the request is written yet
	written                           // the request is in transit to the worker
	replied                           // the worker's answer is in transit to the scheduler
	broken                            // the connection has broken; the event loop is not notified yet
	// endDelivered: the event loop has been notified of the connection's end, but not yet of the write of the
	// request, which preceded it.
	endDelivered
	acceptedOpen // the event loop has received the worker's 202; the connection is open
	closing      // the request and then the close are in transit to the worker
	notSent      // no byte of the request was written; the event loop is not notified yet
)

// phaseTexts describes the phases in the output of a replay.
var phaseTexts = [...]string{connecting: "connecting", written: "written", replied: "answer in transit",
	broken:       "connection broken, event loop not notified",
	endDelivered: "event loop notified of the connection's end, not of the request's write",
	acceptedOpen: "accepted",
	closing:      "the scheduler's close in transit", notSent: "not sent"}

// connection is an attempt and the connection that carries it.
type connection struct {
	attempt             scheduler.AttemptID
	id                  uint8 // index of the request
	worker              uint8
	phase               connectionPhase
	writtenEventPending bool // the event loop is not yet notified that the request was written
	slowStart           bool // the request was written in a slow start of the worker that the scheduler knew of
	status              int  // HTTP status of the worker's answer
	writeDeadline       Micros
	sentAt              Micros
	conn                connstate.Conn
}

// The HTTP statuses of a worker's answers.
const (
	statusOK          = 200
	statusAccepted    = 202
	statusRejected    = 400
	statusServerError = 500
	statusAtCapacity  = 503
)

// connectionActions appends the enabled actions of all connections.
func (w *World) connectionActions(out []Action) []Action {
	for i := range w.connections {
		out = w.actionsOnConnection(i, out)
	}
	return out
}

// actionsOnConnection appends the enabled actions of the connection with index i.
func (w *World) actionsOnConnection(i int, out []Action) []Action {
	c := &w.connections[i]
	if c.writtenEventPending {
		out = append(out, Action{DeliverWritten, uint8(i), 0})
	}
	unreachable := w.workers[c.worker].unreachable
	switch c.phase {
	case connecting:
		return w.connectingActions(i, out)
	case written:
		return w.writtenActions(i, out)
	case replied:
		if unreachable {
			break
		}
		if !c.writtenEventPending || w.cfg.AnswerOvertakesWrite {
			out = append(out, Action{DeliverAnswer, uint8(i), 0})
		}
		if w.mayInject(FaultConnectionBroken) {
			out = append(out, Action{BreakConnection, uint8(i), breakBeforeAnswer})
		}
	case acceptedOpen:
		if w.mayInject(FaultConnectionBroken) {
			out = append(out, Action{BreakConnection, uint8(i), breakAfterAccept})
		}
	case broken:
		if !c.writtenEventPending || w.cfg.AnswerOvertakesWrite {
			out = append(out, Action{DeliverBroken, uint8(i), 0})
		}
	case closing:
		if !unreachable {
			out = append(out, Action{CloseArrives, uint8(i), closeBeforeAccept},
				Action{CloseArrives, uint8(i), closeAfterAccept})
		}
	case notSent:
		out = append(out, Action{DeliverNotSent, uint8(i), 0})
	}
	return out
}

func (w *World) connectingActions(i int, out []Action) []Action {
	to := &w.workers[w.connections[i].worker]
	switch {
	case to.unreachable: // the connection cannot be established
		return out
	case to.processDown:
		return append(out, Action{RefuseConnection, uint8(i), 0})
	}
	out = append(out, Action{WriteRequest, uint8(i), 0})
	if w.mayInject(FaultConnectionRefused) {
		out = append(out, Action{RefuseConnection, uint8(i), 0})
	}
	return out
}

func (w *World) writtenActions(i int, out []Action) []Action {
	to := &w.workers[w.connections[i].worker]
	if to.unreachable {
		return out
	}
	out = append(out, Action{ArriveAtWorker, uint8(i), arriveAccepted})
	if to.status != dispatch.Ready || w.mayInject(FaultAtCapacity) {
		out = append(out, Action{ArriveAtWorker, uint8(i), arriveAtCapacity})
	}
	if w.mayInject(FaultServerError) {
		out = append(out, Action{ArriveAtWorker, uint8(i), arriveServerError})
	}
	if w.mayInject(FaultRejected) {
		out = append(out, Action{ArriveAtWorker, uint8(i), arriveRejected})
	}
	if w.mayInject(FaultConnectionBroken) {
		out = append(out, Action{BreakConnection, uint8(i), breakBeforeArrival},
			Action{BreakConnection, uint8(i), breakWhileRunning})
	}
	return out
}

func (w *World) refuseConnection(a Action) {
	c := &w.connections[a.Target]
	if !w.workers[c.worker].processDown {
		w.spendFault(FaultConnectionRefused)
	}
	_, e := c.conn.WriteEnded(connstate.ConnectRefused)
	w.endConnection(a.Target, e)
}

func (w *World) writeRequest(a Action) {
	c := &w.connections[a.Target]
	if w.blocksSend(&w.workers[c.worker]) {
		c.phase = notSent
		return
	}
	w.checkWrite(c)
	c.phase, c.writtenEventPending, c.sentAt = written, true, w.now
	if !w.cfg.AnswerOvertakesWrite {
		w.deliverWritten(a)
	}
}

func (w *World) deliverWritten(a Action) {
	c := &w.connections[a.Target]
	c.writtenEventPending = false
	if q := &w.requests[c.id]; q.lastAttempt == c.attempt && q.stage == stageConnecting {
		q.stage = stageWritten
	}
	if _, e := c.conn.WriteEnded(connstate.WriteComplete); e != nil {
		w.endConnection(a.Target, e)
	}
}

func (w *World) deliverNotSent(a Action) {
	attempt := w.connections[a.Target].attempt
	w.endConnection(a.Target, scheduler.AttemptEnded{Attempt: attempt, Outcome: dispatch.NotSent})
}

func (w *World) arriveAtWorker(a Action) {
	c := &w.connections[a.Target]
	c.phase = replied
	switch a.Variant {
	case arriveAccepted:
		w.checkArrival(c)
		c.status = statusAccepted
		w.acceptJob(c)
	case arriveAtCapacity:
		if w.workers[c.worker].status == dispatch.Ready {
			w.spendFault(FaultAtCapacity)
		}
		w.checkArrival(c)
		c.status = statusAtCapacity
	case arriveServerError:
		w.spendFault(FaultServerError)
		w.checkArrival(c)
		w.recordRun(c.id, c.worker, c.sentAt)
		c.status = statusServerError
	case arriveRejected:
		w.spendFault(FaultRejected)
		c.status = statusRejected
	}
}

func (w *World) breakConnection(a Action) {
	w.spendFault(FaultConnectionBroken)
	c := &w.connections[a.Target]
	switch a.Variant {
	case breakAfterAccept:
		_, e := c.conn.ReadEnded()
		w.endConnection(a.Target, e)
		return
	case breakWhileRunning:
		w.checkArrival(c)
		w.recordRun(c.id, c.worker, c.sentAt)
	}
	c.phase = broken
}

func (w *World) deliverBroken(a Action) {
	c := &w.connections[a.Target]
	_, e := c.conn.ReadEnded()
	if e == nil {
		// Package connstate reports the connection's end only after the event loop has the notice that the request
		// was written. That notice is still pending.
		c.phase = endDelivered
		return
	}
	w.endConnection(a.Target, e)
}

func (w *World) deliverAnswer(a Action) {
	c := &w.connections[a.Target]
	_, e := c.conn.ResponseReceived(connstate.WorkerResponse{Status: c.status,
		NotStarted: c.status == statusAtCapacity})
	if c.status == statusAccepted && e != nil {
		c.phase, c.writtenEventPending = acceptedOpen, false
		w.step(e)
		return
	}
	w.endConnection(a.Target, e)
}

func (w *World) closeArrives(a Action) {
	c := &w.connections[a.Target]
	if a.Variant == closeAfterAccept && !w.workers[c.worker].processDown {
		w.checkArrival(c)
		w.acceptJob(c)
	}
	w.removeConnection(int(a.Target))
}

// endConnection removes a connection and passes the event of its end, if there is one, to the scheduler.
func (w *World) endConnection(i uint8, e scheduler.Event) {
	w.removeConnection(int(i))
	if e != nil {
		w.step(e)
	}
}

// closeConnection closes the connection of an attempt or of its cancellation at the scheduler's request. A
// request that was written before may still reach the worker.
func (w *World) closeConnection(attempt scheduler.AttemptID) {
	for i := range w.cancellations {
		if w.cancellations[i].attempt == attempt {
			w.removeCancellation(i)
			return
		}
	}
	w.checkCancelAllowed(attempt)
	w.markAbandoned(attempt)
	for i := range w.connections {
		c := &w.connections[i]
		if c.attempt != attempt || c.conn.Released {
			continue
		}
		c.conn.Release()
		switch c.phase {
		case connecting:
			w.unsentAttempts = append(w.unsentAttempts, attempt)
			w.removeConnection(i)
		case written:
			c.phase = closing
		default: // answered or broken: the connection has no further effect
			w.removeConnection(i)
		}
		return
	}
}

// cancelUnsent prevents the write of an attempt of which no byte is written.
func (w *World) cancelUnsent(attempt scheduler.AttemptID) {
	for i := range w.connections {
		if c := &w.connections[i]; c.attempt == attempt && c.phase == connecting {
			c.phase = notSent
		}
	}
}

// markAbandoned records that the scheduler has abandoned an attempt.
func (w *World) markAbandoned(attempt scheduler.AttemptID) {
	for i := range w.requests {
		if q := &w.requests[i]; q.lastAttempt == attempt && attempt != 0 {
			q.stage = stageAbandoned
		}
	}
}

// removeFinishedConnections removes the connection of an accepted attempt if the attempt is over or if the
// fault budget allows no further break of a connection. Such a connection has no further effect and would
// only multiply the states.
func (w *World) removeFinishedConnections() {
	for i := len(w.connections) - 1; i >= 0; i-- {
		c := &w.connections[i]
		if c.phase != acceptedOpen {
			continue
		}
		q := &w.requests[c.id]
		if q.lastAttempt != c.attempt || q.stage >= stageAbandoned || !w.mayInject(FaultConnectionBroken) {
			w.removeConnection(i)
		}
	}
}

func (w *World) removeConnection(i int) {
	w.connections = append(w.connections[:i:i], w.connections[i+1:]...)
}
