package modelcheck

import (
	"dahliaford/internal/connstate"
	"dahliaford/internal/scheduler"
)

// cancellation is a DELETE request for an attempt, and the connection that carries it.
type cancellation struct {
	attempt  scheduler.AttemptID
	id       uint8 // index of the request
	worker   uint8
	answered bool // the answer to the DELETE is in transit to the scheduler
	deadline Micros
	conn     connstate.Conn
}

// sendCancellation puts a DELETE request in transit to its worker.
func (w *World) sendCancellation(e scheduler.CancelAttempt) {
	c := cancellation{attempt: e.Attempt, id: requestIndex(e.RequestID), worker: workerIndex(e.Addr),
		deadline: e.Deadline}
	c.conn.Assign(e.Attempt, true)
	for _, attempt := range w.unsentAttempts {
		if attempt == e.Attempt {
			// Package node acknowledges the cancellation of an unwritten attempt without sending a DELETE.
			c.answered = true
		}
	}
	w.cancellations = append(w.cancellations, c)
}

// cancellationActions appends the enabled actions of cancellations in transit.
func (w *World) cancellationActions(out []Action) []Action {
	for i := range w.cancellations {
		c := &w.cancellations[i]
		switch {
		case c.answered:
			out = append(out, Action{CancellationAnswered, uint8(i), 0})
		case !w.workers[c.worker].unreachable && (w.cfg.DeleteOvertakesRequest || !w.requestInTransit(c)):
			out = append(out, Action{CancellationArrives, uint8(i), 0})
		}
		if !c.answered && w.mayInject(FaultConnectionBroken) {
			out = append(out, Action{CancellationBreaks, uint8(i), 0})
		}
	}
	return out
}

// requestInTransit reports whether the attempt that a cancellation concerns is still in transit to the
// worker, on a connection that the scheduler has closed.
func (w *World) requestInTransit(of *cancellation) bool {
	for i := range w.connections {
		if c := &w.connections[i]; c.attempt == of.attempt && c.phase == closing {
			return true
		}
	}
	return false
}

func (w *World) cancellationArrives(a Action) {
	c := &w.cancellations[a.Target]
	if w.workers[c.worker].processDown {
		_, e := c.conn.WriteEnded(connstate.ConnectRefused)
		w.endCancellation(a.Target, e)
		return
	}
	if j := w.findJob(c.id, c.worker); j >= 0 {
		w.removeJob(j)
	}
	c.answered = true
}

func (w *World) cancellationAnswered(a Action) {
	c := &w.cancellations[a.Target]
	c.conn.WriteEnded(connstate.WriteComplete)
	_, e := c.conn.ResponseReceived(connstate.WorkerResponse{Status: statusOK})
	w.endCancellation(a.Target, e)
}

func (w *World) cancellationBreaks(a Action) {
	w.spendFault(FaultConnectionBroken)
	c := &w.cancellations[a.Target]
	c.conn.WriteEnded(connstate.WriteComplete)
	_, e := c.conn.ReadEnded()
	w.endCancellation(a.Target, e)
}

// endCancellation removes a cancellation and passes the event that reports its result to the scheduler.
func (w *World) endCancellation(i uint8, e scheduler.Event) {
	w.removeCancellation(int(i))
	w.step(e)
}

func (w *World) removeCancellation(i int) {
	w.cancellations = append(w.cancellations[:i:i], w.cancellations[i+1:]...)
}
