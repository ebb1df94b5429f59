package emulator

import (
	"dahliaford/internal/connstate"
	"dahliaford/internal/dispatch"
	"dahliaford/internal/scheduler"
)

// receiveTimeout is how long data that a scheduler has written can wait at the worker's machine until the
// worker's process reads the data. After receiveTimeout the scheduler has closed the connection.
const receiveTimeout = 300 * millisecond

// conn is a connection from a scheduler to a worker. It carries one exchange at a time, which is an attempt
// or the cancellation of an attempt.
type conn struct {
	connstate.Conn
	node          *node
	worker        *worker
	incarnation   int // number of the worker's process that accepted the connection (see worker)
	connected     bool
	writing       bool // a part of the present attempt or cancellation has been written
	writtenAt     Micros
	idleSince     Micros
	closed        bool
	request       *request // request of the attempt; unused by a cancellation
	workerUID     string   // UID of the worker that the attempt is for; unused by a cancellation
	cancelID      string   // id of the request whose attempt is canceled
	writeDeadline Micros
}

// sendAttempt sends an attempt to a worker on an idle or a new connection.
func (n *node) sendAttempt(r scheduler.SendAttempt) {
	w, req := n.fleet.byUID[r.WorkerUID], r.Payload.(*request)
	c := n.acquireConn(w)
	if c == nil {
		n.stepLater(scheduler.AttemptEnded{Attempt: r.Attempt, Outcome: dispatch.ConnectFailed})
		return
	}
	c.Assign(r.Attempt, false)
	c.request, c.workerUID, c.writeDeadline, c.writing = req, r.WorkerUID, r.WriteDeadline, false
	n.attempts[r.Attempt] = c
	n.fleet.tally.model.Attempts++
	c.start()
}

// cancelAttempt sends the cancellation of an attempt to the worker. If no byte of the attempt was written, it
// sends nothing and reports to the reducer that the cancellation is acknowledged.
func (n *node) cancelAttempt(e scheduler.CancelAttempt) {
	if n.lastUnsentAttempt == e.Attempt {
		n.stepLater(scheduler.CancellationResult{Attempt: e.Attempt, Acknowledged: true})
		return
	}
	c := n.acquireNewConn(n.fleet.byAddr[e.Addr])
	if c == nil {
		n.stepLater(scheduler.CancellationResult{Attempt: e.Attempt})
		return
	}
	c.Assign(e.Attempt, true)
	c.cancelID, c.writeDeadline = e.RequestID, e.Deadline
	n.attempts[e.Attempt] = c
	c.start()
}

// abandonAttempt closes the connection that carries an attempt or the cancellation of the attempt.
func (n *node) abandonAttempt(attempt scheduler.AttemptID) {
	c := n.attempts[attempt]
	if c == nil {
		return
	}
	delete(n.attempts, attempt)
	if !c.Cancel && !c.writing {
		n.lastUnsentAttempt = attempt
	}
	n.closeConn(c)
}

// carries reports whether the connection is in use for the given attempt or for its cancellation.
func (c *conn) carries(attempt scheduler.AttemptID) bool {
	return !c.Released && c.Busy && c.Attempt == attempt
}

// start writes the attempt or the cancellation that is assigned to the connection. If the connection is new,
// start establishes the connection first.
func (c *conn) start() {
	f, attempt := c.node.fleet, c.Attempt
	if c.connected {
		f.scheduleAfter(0, func() { c.write(attempt) })
		return
	}
	f.scheduleAt(c.writeDeadline, func() {
		if c.carries(attempt) && !c.writing {
			c.writeFailed(writeDeadlinePassed)
		}
	})
	c.node.countJobMessage(packetBytes)
	f.network.send(c.node.zone, c.worker.zone, packetBytes, func() {
		c.worker.deliver(func() { c.handshake(attempt) })
	})
}

// handshake handles the arrival of a connection request at the worker's machine. The machine accepts the
// connection if the worker's process runs, and answers with a reset otherwise.
func (c *conn) handshake(attempt scheduler.AttemptID) {
	accepted, incarnation := c.worker.running, c.worker.incarnation
	c.node.fleet.network.send(c.worker.zone, c.node.zone, packetBytes, func() {
		switch {
		case !c.carries(attempt) || c.writing:
		case !accepted:
			c.writeFailed(dialRefused)
		default:
			c.connected, c.incarnation = true, incarnation
			c.write(attempt)
		}
	})
}

// write writes the given attempt or its cancellation, unless the connection no longer carries either.
func (c *conn) write(attempt scheduler.AttemptID) {
	switch {
	case !c.carries(attempt) || c.writing:
	case c.Cancel:
		c.writeCancellation(attempt)
	default:
		c.writeAttempt(attempt)
	}
}

func (c *conn) writeCancellation(attempt scheduler.AttemptID) {
	n, f := c.node, c.node.fleet
	c.writing = true
	n.countJobMessage(cancelBytes)
	c.WriteEnded(connstate.WriteComplete)
	f.network.send(n.zone, c.worker.zone, cancelBytes, func() {
		c.worker.deliver(func() { c.receiveCancellation(attempt) })
	})
	c.writtenAt = f.now
}

// receiveCancellation handles the arrival of a cancellation at the worker's machine.
func (c *conn) receiveCancellation(attempt scheduler.AttemptID) {
	switch {
	case c.incarnation != c.worker.incarnation:
		c.sendReset(attempt)
	case c.receiveTimedOut(): // the scheduler has closed the connection by now
	case c.worker.cancel(c.cancelID):
		c.worker.respond(c, connstate.WorkerResponse{Status: 200, Close: true})
	default:
		c.worker.respond(c, connstate.WorkerResponse{Status: 404, Close: true})
	}
}

// writeAttempt writes the attempt, provided that the worker may still be used, the worker list is not stale
// (see allowSend) and the write deadline has not passed.
func (c *conn) writeAttempt(attempt scheduler.AttemptID) {
	n, f := c.node, c.node.fleet
	switch {
	case !n.allowSend(c.workerUID):
		f.tally.model.NotSent++
		c.writeFailed(sendNotAllowed)
		return
	case f.now > c.writeDeadline:
		c.writeFailed(writeDeadlinePassed)
		return
	}
	req := c.request
	f.tally.checkSend(n, c.worker, req)
	c.writing, c.writtenAt = true, f.now
	n.countJobMessage(requestBytes)
	req.outstanding++
	if next, e := c.WriteEnded(connstate.WriteComplete); e != nil {
		c.finish(next, e)
	}
	incarnation := c.incarnation
	f.network.send(n.zone, c.worker.zone, requestBytes, func() {
		c.worker.deliver(func() {
			c.receiveAttempt(attempt, req, incarnation)
			req.release()
		})
	})
}

// receiveAttempt handles the arrival of an attempt at the worker's machine. The incarnation is the number of
// the worker's process to which the connection led when the attempt was written.
func (c *conn) receiveAttempt(attempt scheduler.AttemptID, req *request, incarnation int) {
	switch {
	case c.receiveTimedOut() && c.Released: // the scheduler has closed the connection and discarded the attempt
	case incarnation != c.worker.incarnation || !c.worker.running:
		c.sendReset(attempt)
	default:
		c.worker.receive(c, req)
	}
}

// sendReset sends a TCP reset from the worker's machine to the scheduler.
func (c *conn) sendReset(attempt scheduler.AttemptID) {
	c.node.fleet.network.send(c.worker.zone, c.node.zone, packetBytes, func() { c.handleReset(attempt) })
}

// receiveTimedOut reports whether more than receiveTimeout has passed since the scheduler last wrote to the
// connection.
func (c *conn) receiveTimedOut() bool { return c.node.fleet.now-c.writtenAt > receiveTimeout }

// writeFailure is the reason why an attempt or a cancellation was not written to its connection.
type writeFailure uint8

const (
	sendNotAllowed      writeFailure = iota // allowSend forbade to send the attempt to the worker
	writeDeadlinePassed                     // the write deadline passed before the first byte was written
	dialRefused                             // the worker's process does not run
)

// writeFailed ends an attempt or a cancellation that was not written to the connection, with the outcome that
// corresponds to the reason.
func (c *conn) writeFailed(reason writeFailure) {
	result := connstate.WriteFailed
	if reason == dialRefused {
		result = connstate.ConnectRefused
	}
	next, e := c.WriteEnded(result)
	if end, ok := e.(scheduler.AttemptEnded); ok {
		switch {
		case reason == sendNotAllowed:
			end.Outcome = dispatch.NotSent
		case reason == dialRefused && c.node.workerAtCapacity(c):
			end.Outcome = dispatch.AtCapacity
		default:
			end.Outcome = dispatch.ConnectFailed
		}
		e = end
	}
	c.finish(next, e)
}

// workerAtCapacity reports whether the refusal of connection c means that the worker is at capacity. Like
// package node, workerAtCapacity assumes so if other connections to the worker's process are open.
func (n *node) workerAtCapacity(c *conn) bool {
	for _, o := range n.idleConns[c.worker] {
		if o.incarnation == c.worker.incarnation {
			return true
		}
	}
	for _, o := range n.attempts {
		if o != c && o.worker == c.worker && o.Written {
			return true
		}
	}
	return false
}

// handleReset handles the arrival of a TCP reset from the worker's machine.
func (c *conn) handleReset(attempt scheduler.AttemptID) {
	if !c.carries(attempt) {
		return
	}
	next, e := c.ReadEnded()
	c.finish(next, e)
}

// handleAnswer handles the arrival of the worker's HTTP answer at the scheduler.
func (c *conn) handleAnswer(a connstate.WorkerResponse) {
	next, e := c.ResponseReceived(a)
	if next == connstate.Idle {
		c.node.addIdle(c)
	}
	c.finish(next, e)
}

// finish closes the connection if next, the result of the connection's state machine, is connstate.Drop. If e
// is not nil, the attempt or the cancellation has ended, and finish passes e, the event of the end, to the
// reducer.
func (c *conn) finish(next connstate.Disposition, e scheduler.Event) {
	if next == connstate.Drop {
		c.node.closeConn(c)
	}
	if e == nil {
		return
	}
	delete(c.node.attempts, c.Attempt)
	c.node.step(e)
}
