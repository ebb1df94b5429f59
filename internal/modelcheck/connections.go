package modelcheck

import (
	"dahliaford/internal/connstate"
	"dahliaford/internal/dispatch"
	"dahliaford/internal/scheduler"
)

type connectionPhase uint8

const (
	connecting   connectionPhase = iota
	written                      // the request is on its way
	replied                      // an answer is on its way
	broken                       // the connection's end is on its way
	endDelivered                 // the event loop has received the end, and not yet that it was written
	acceptedOpen                 // the worker has accepted, and its connection is still there
	closing                      // the scheduler's close follows the request
	notSent                      // nothing was written, and the event loop is yet to receive that
)

// phaseTexts say what is on its way, for people.
var phaseTexts = [...]string{connecting: "connecting", written: "written", replied: "its answer on its way",
	broken: "its end on its way", endDelivered: "its end known, its writing not", acceptedOpen: "accepted",
	closing: "our close on its way", notSent: "not sent"}

// connection is an attempt on its connection.
type connection struct {
	attempt          scheduler.AttemptID
	id               uint8 // of the request
	worker           uint8
	phase            connectionPhase
	writeUndelivered bool // the event loop has not yet received that it was written
	slowStart        bool // when it was written, the scheduler knew that the worker was in slow start
	status           int  // of the worker's answer
	writeBy          Micros
	sentAt           Micros
	conn             connstate.Conn
}

// The statuses of a worker's answer.
const (
	statusOK          = 200
	statusAccepted    = 202
	statusRejected    = 400
	statusServerError = 500
	statusAtCapacity  = 503
)

// connectionActions lists what can happen on all connections.
func (w *World) connectionActions(out []Action) []Action {
	for i := range w.connections {
		out = w.actionsOf(i, out)
	}
	return out
}

// actionsOf lists what can happen on one connection.
func (w *World) actionsOf(i int, out []Action) []Action {
	c := &w.connections[i]
	if c.writeUndelivered {
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
		if !c.writeUndelivered || w.cfg.AnswerOvertakesWrite {
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
		if !c.writeUndelivered || w.cfg.AnswerOvertakesWrite {
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
	case to.unreachable: // it never comes up
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
	c.phase, c.writeUndelivered, c.sentAt = written, true, w.now
	if !w.cfg.AnswerOvertakesWrite {
		w.deliverWritten(a)
	}
}

func (w *World) deliverWritten(a Action) {
	c := &w.connections[a.Target]
	c.writeUndelivered = false
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
		c.phase = endDelivered // that it was written is still to be delivered
		return
	}
	w.endConnection(a.Target, e)
}

func (w *World) deliverAnswer(a Action) {
	c := &w.connections[a.Target]
	_, e := c.conn.ResponseReceived(connstate.WorkerResponse{Status: c.status,
		NotStarted: c.status == statusAtCapacity})
	if c.status == statusAccepted && e != nil {
		c.phase, c.writeUndelivered = acceptedOpen, false
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

// endConnection drops a connection whose exchange is over and passes on the event that follows from it.
func (w *World) endConnection(i uint8, e scheduler.Event) {
	w.removeConnection(int(i))
	if e != nil {
		w.step(e)
	}
}

// closeConnection closes the connection of an attempt. What was written may still be on its way.
func (w *World) closeConnection(attempt scheduler.AttemptID) {
	for i := range w.cancellations {
		if w.cancellations[i].attempt == attempt {
			w.removeCancellation(i)
			return
		}
	}
	w.checkCancelAllowed(attempt)
	w.markGivenUp(attempt)
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
		default: // its answer is out, or it broke: nothing more comes of it
			w.removeConnection(i)
		}
		return
	}
}

// cancelUnsent keeps an attempt of which nothing is written from being sent.
func (w *World) cancelUnsent(attempt scheduler.AttemptID) {
	for i := range w.connections {
		if c := &w.connections[i]; c.attempt == attempt && c.phase == connecting {
			c.phase = notSent
		}
	}
}

// markGivenUp notes that the scheduler has given up an attempt.
func (w *World) markGivenUp(attempt scheduler.AttemptID) {
	for i := range w.requests {
		if q := &w.requests[i]; q.lastAttempt == attempt && attempt != 0 {
			q.stage = stageGivenUp
		}
	}
}

// removeFinishedConnections drops accepted connections whose attempt is over or which cannot break any more:
// nothing that happens to them counts.
func (w *World) removeFinishedConnections() {
	for i := len(w.connections) - 1; i >= 0; i-- {
		c := &w.connections[i]
		if c.phase != acceptedOpen {
			continue
		}
		q := &w.requests[c.id]
		if q.lastAttempt != c.attempt || q.stage >= stageGivenUp || !w.mayInject(FaultConnectionBroken) {
			w.removeConnection(i)
		}
	}
}

func (w *World) removeConnection(i int) {
	w.connections = append(w.connections[:i:i], w.connections[i+1:]...)
}
