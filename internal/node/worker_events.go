package node

import (
	"errors"
	"syscall"

	"dahliaford/internal/connstate"
	"dahliaford/internal/dispatch"
	"dahliaford/internal/scheduler"
)

// onWriteEnded handles the result of writing an exchange, which is an attempt or a cancellation. It corrects
// the outcome if the node itself stopped the attempt (NotSent), or if a running worker refuses the connection
// because the worker is full (AtCapacity).
func (n *Node) onWriteEnded(m writeEnded) error {
	c := m.conn
	next, e := c.WriteEnded(writeResult(m.err))
	if end, ok := e.(scheduler.AttemptEnded); ok {
		if sendNoLongerAllowed(m.err) {
			n.log.Info("attempt not sent", "txn", c.requestID, "worker", c.addr, "why", m.err)
			end.Outcome = dispatch.NotSent // The outcome NotSent does not count as a failure of the worker.
			e = end
		}
		if end.Outcome == dispatch.ConnectFailed && n.atCapacity(c, m.err) {
			n.log.Info("worker refuses further connections", "worker", c.addr, "txn", c.requestID)
			end.Outcome = dispatch.AtCapacity
			e = end
		}
	}
	return n.finishExchange(c, next, e, m.err)
}

// writeResult converts an error of dialling or writing to a result for the connection's state machine.
func writeResult(err error) connstate.WriteResult {
	switch {
	case err == nil:
		return connstate.WriteComplete
	case errors.Is(err, syscall.ECONNREFUSED):
		return connstate.ConnectRefused
	}
	return connstate.WriteFailed
}

// sendNoLongerAllowed reports whether an attempt was not written because its worker began to drain, the
// worker list became stale, or the client disconnected.
func sendNoLongerAllowed(err error) bool {
	return errors.Is(err, errWorkerDraining) || errors.Is(err, errListStale) || errors.Is(err, errDisconnected)
}

// atCapacity reports whether a worker is running but cannot accept another connection: the worker refuses a
// connection while this node has other open connections to it. If the worker's process had exited, the other
// connections would have been reset, and a machine that is down does not refuse connections. A worker at
// capacity is healthy, so the refusal must not count towards its ejection.
func (n *Node) atCapacity(c *workerConn, cause error) bool {
	if !errors.Is(cause, syscall.ECONNREFUSED) && !errors.Is(cause, syscall.ECONNRESET) {
		return false
	}
	if len(n.idleConns[c.addr]) > 0 {
		return true
	}
	for _, other := range n.attempts {
		if other != c && other.addr == c.addr && other.Written {
			return true
		}
	}
	return false
}

// onReadEnded handles the end of a connection's input: the worker has closed or reset the connection.
func (n *Node) onReadEnded(c *workerConn) error {
	next, e := c.ReadEnded()
	if next == connstate.Drop && e == nil { // Drop without an event means that the connection was idle.
		n.removeIdle(c)
	}
	return n.finishExchange(c, next, e, nil)
}

// onResponse handles a worker's response. A response that arrives on an idle connection, or before any byte
// of the current attempt was sent, is unsolicited and closes the connection.
func (n *Node) onResponse(m workerResponse) error {
	c := m.conn
	wasIdle := !c.Busy
	unsent := c.Busy && !c.Released && !c.Cancel && c.writeState.cancel()
	next, e := c.ResponseReceived(m.WorkerResponse)
	if unsent { // No byte of the attempt was sent before the response, and none is sent afterwards.
		e = scheduler.AttemptEnded{Attempt: c.Attempt, Outcome: dispatch.NotSent}
	}
	if next == connstate.Drop && (wasIdle || unsent) {
		n.log.Warn("unsolicited response from worker", "worker", c.addr, "status", m.Status)
		n.removeIdle(c)
	}
	n.logResponse(c, e, m.Status)
	if next == connstate.Idle && n.idleTimeout == 0 {
		next = connstate.Drop
	}
	if next == connstate.Idle {
		n.addIdle(c)
	}
	return n.finishExchange(c, next, e, nil)
}

// logResponse logs a worker's response if the worker did not accept a cancellation, rejected a request as
// invalid, or sent an unexpected status.
func (n *Node) logResponse(c *workerConn, e scheduler.Event, status int) {
	switch e := e.(type) {
	case scheduler.CancellationResult:
		if status >= 300 && status != 404 {
			n.log.Warn("worker did not accept the cancellation of an attempt",
				"worker", c.addr, "txn", c.requestID, "status", status)
		}
	case scheduler.AttemptRejected:
		n.log.Info("worker rejected request", "worker", c.addr, "txn", c.requestID, "status", status)
	case scheduler.AttemptEnded:
		if e.Outcome == dispatch.Failed && status != 500 {
			n.log.Warn("unexpected response from worker", "worker", c.addr, "txn", c.requestID, "status", status)
		}
	}
}

// finishExchange closes a connection if the connection's state machine returned Drop. If the state machine
// returned an event, the exchange (attempt or cancellation) has ended, and finishExchange passes the event to
// the scheduler. cause is the error of a failed connection, for the log.
func (n *Node) finishExchange(
	c *workerConn, next connstate.Disposition, e scheduler.Event, cause error,
) error {
	if e == nil {
		if next == connstate.Drop {
			n.drop(c)
		}
		return nil
	}
	delete(n.attempts, c.Attempt)
	if c.Cancel {
		n.cancellations--
	}
	if next == connstate.Drop {
		n.drop(c)
		if !isResponse(e) {
			n.log.Info("connection to worker failed", "worker", c.addr, "txn", c.requestID, "sent", c.Written,
				"error", cause)
		}
	}
	return n.step(e)
}

// isResponse reports whether an event results from a worker's response, and not from the end of a connection.
func isResponse(e scheduler.Event) bool {
	switch e := e.(type) {
	case scheduler.AttemptEnded:
		return e.Outcome != dispatch.Reset && e.Outcome != dispatch.ConnectFailed
	case scheduler.CancellationResult:
		return e.Acknowledged
	}
	return true
}
