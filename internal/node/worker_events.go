package node

import (
	"errors"
	"syscall"

	"dahliaford/internal/connstate"
	"dahliaford/internal/dispatch"
	"dahliaford/internal/scheduler"
)

// onWriteEnded handles the end of writing an exchange.
func (n *Node) onWriteEnded(m writeEnded) error {
	c := m.conn
	next, e := c.WriteEnded(writeResult(m.err))
	if end, ok := e.(scheduler.AttemptEnded); ok {
		if sendNoLongerAllowed(m.err) {
			n.log.Info("an attempt turned back", "txn", c.requestID, "worker", c.addr, "why", m.err)
			end.Outcome = dispatch.NotSent // the worker is not at fault
			e = end
		}
		if end.Outcome == dispatch.ConnectFailed && n.atCapacity(c, m.err) {
			n.log.Info("a worker is at its connection limit", "worker", c.addr, "txn", c.requestID)
			end.Outcome = dispatch.AtCapacity
			e = end
		}
	}
	return n.finishExchange(c, next, e, m.err)
}

// writeResult returns what an error of dialling or writing means to the state machine.
func writeResult(err error) connstate.WriteResult {
	switch {
	case err == nil:
		return connstate.WriteComplete
	case errors.Is(err, syscall.ECONNREFUSED):
		return connstate.ConnectRefused
	}
	return connstate.WriteFailed
}

// sendNoLongerAllowed reports whether an attempt was not written as it was not allowed any more.
func sendNoLongerAllowed(err error) bool {
	return errors.Is(err, errWorkerDraining) || errors.Is(err, errListStale) || errors.Is(err, errDisconnected)
}

// atCapacity reports whether a worker cannot take another connection: it refuses one at once while others of
// ours are up. A process that has exited would have reset those, and a machine that is down refuses nothing.
// A worker at capacity is not unhealthy and not ejected for it.
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

// onReadEnded handles the end of reading a connection.
func (n *Node) onReadEnded(c *workerConn) error {
	next, e := c.ReadEnded()
	if next == connstate.Drop && e == nil { // it was idle
		n.removeIdle(c)
	}
	return n.finishExchange(c, next, e, nil)
}

// onResponse handles a worker's response.
func (n *Node) onResponse(m workerResponse) error {
	c := m.conn
	wasIdle := !c.Busy
	unsent := c.Busy && !c.Released && !c.Cancel && c.writeState.cancel()
	next, e := c.ResponseReceived(m.WorkerResponse)
	if unsent { // it came before anything of the attempt was sent, and now nothing will be
		e = scheduler.AttemptEnded{Attempt: c.Attempt, Outcome: dispatch.NotSent}
	}
	if next == connstate.Drop && (wasIdle || unsent) {
		n.log.Warn("unsolicited response of a worker", "worker", c.addr, "status", m.Status)
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

// logResponse logs the responses that are not usual.
func (n *Node) logResponse(c *workerConn, e scheduler.Event, status int) {
	switch e := e.(type) {
	case scheduler.CancellationResult:
		if status >= 300 && status != 404 {
			n.log.Warn("cancellation not accepted", "worker", c.addr, "txn", c.requestID, "status", status)
		}
	case scheduler.AttemptRejected:
		n.log.Info("a worker rejects a request", "worker", c.addr, "txn", c.requestID, "status", status)
	case scheduler.AttemptEnded:
		if e.Outcome == dispatch.Failed && status != 500 {
			n.log.Warn("unexpected answer of a worker", "worker", c.addr, "txn", c.requestID, "status", status)
		}
	}
}

// finishExchange does with a connection what its state machine says, and passes the event that this means
// for its exchange, if any, to the scheduler. cause is logged.
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
			n.log.Info("connection to a worker failed", "worker", c.addr, "txn", c.requestID, "sent", c.Written,
				"error", cause)
		}
	}
	return n.step(e)
}

// isResponse reports whether an event comes from a worker's response and not from the end of a connection.
func isResponse(e scheduler.Event) bool {
	switch e := e.(type) {
	case scheduler.AttemptEnded:
		return e.Outcome != dispatch.Reset && e.Outcome != dispatch.ConnectFailed
	case scheduler.CancellationResult:
		return e.Acknowledged
	}
	return true
}
