package node

import (
	"errors"
	"syscall"

	"dahliaford/internal/connstate"
	"dahliaford/internal/dispatch"
	"dahliaford/internal/scheduler"
)

func (n *Node) onWriteEnded(m writeEnded) error {
	next, e := m.conn.WriteEnded(writeResult(m.err))
	if end, is := e.(scheduler.AttemptEnded); is && (m.err == errDraining || m.err == errStale || m.err == errDisconnected) {
		n.log.Info("an attempt turned back", "txn", m.conn.requestID, "worker", m.conn.addr, "why", m.err)
		end.Outcome = dispatch.NotSent // the worker is not at fault
		e = end
	}
	if end, is := e.(scheduler.AttemptEnded); is && end.Outcome == dispatch.ConnectFailed && n.atCapacity(m.conn, m.err) {
		n.log.Info("a worker has no room for another connection", "worker", m.conn.addr, "txn", m.conn.requestID)
		end.Outcome = dispatch.AtCapacity
		e = end
	}
	return n.finishExchange(m.conn, next, e, m.err)
}

func writeResult(err error) connstate.WriteResult {
	switch {
	case err == nil:
		return connstate.WriteComplete
	case errors.Is(err, syscall.ECONNREFUSED):
		return connstate.ConnectRefused
	}
	return connstate.WriteFailed
}

// atCapacity tells whether a worker lacks room for a connection: it turns one down at once while
// others of ours stand. A process that is gone would have reset those, and a machine that is
// gone turns nothing down. Lack of room is no sickness: the worker is not set aside for it.
func (n *Node) atCapacity(c *workerConn, cause error) bool {
	if !errors.Is(cause, syscall.ECONNREFUSED) && !errors.Is(cause, syscall.ECONNRESET) {
		return false
	}
	if len(n.idleConns[c.addr]) > 0 {
		return true
	}
	for _, o := range n.attempts {
		if o != c && o.addr == c.addr && o.Written {
			return true
		}
	}
	return false
}

func (n *Node) onReadEnded(c *workerConn) error {
	next, e := c.ReadEnded()
	if next == connstate.Drop && e == nil { // it idled
		n.removeIdle(c)
	}
	return n.finishExchange(c, next, e, nil)
}

func (n *Node) onResponse(m workerResponse) error {
	c := m.conn
	idled, unsent := !c.Busy, c.Busy && !c.Released && !c.Cancel && c.writeGate.CompareAndSwap(writePending, writeCancelled)
	next, e := c.Answered(m.Answer)
	if unsent { // it came before anything of the attempt had left, and now nothing will
		e = scheduler.AttemptEnded{Attempt: c.Attempt, Outcome: dispatch.NotSent}
	}
	if next == connstate.Drop && (idled || unsent) {
		n.log.Warn("an answer that nobody asked for", "worker", c.addr, "status", m.Status)
		n.removeIdle(c) // where it idled
	}
	switch e := e.(type) {
	case scheduler.CancellationResult:
		if m.Status >= 300 && m.Status != 404 {
			n.log.Warn("withdrawal not taken", "worker", c.addr, "txn", c.requestID, "status", m.Status)
		}
	case scheduler.AttemptRejected:
		n.log.Info("a worker rejects a request", "worker", c.addr, "txn", c.requestID, "status", m.Status)
	case scheduler.AttemptEnded:
		if e.Outcome == dispatch.Failed && m.Status != 500 {
			n.log.Warn("unexpected answer of a worker", "worker", c.addr, "txn", c.requestID, "status", m.Status)
		}
	}
	if next == connstate.Idle && n.idleTimeout == 0 {
		next = connstate.Drop
	}
	if next == connstate.Idle {
		c.idleSince = n.now()
		n.idleConns[c.addr] = append(n.idleConns[c.addr], c)
	}
	return n.finishExchange(c, next, e, nil)
}

// finishExchange does with a connection what its state machine says, and passes on what that
// means for its errand.
func (n *Node) finishExchange(c *workerConn, next connstate.Disposition, e scheduler.Event, cause error) error {
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
			n.log.Info("connection to a worker failed", "worker", c.addr, "txn", c.requestID, "sent", c.Written, "error",
				cause)
		}
	}
	return n.step(e)
}

// isResponse tells whether an event came of a worker's answer and not of its
// connection's end.
func isResponse(e scheduler.Event) bool {
	switch e := e.(type) {
	case scheduler.AttemptEnded:
		return e.Outcome != dispatch.Reset && e.Outcome != dispatch.ConnectFailed
	case scheduler.CancellationResult:
		return e.Acknowledged
	}
	return true
}
