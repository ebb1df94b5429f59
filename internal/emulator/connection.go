package emulator

import (
	"dahliaford/internal/connstate"
	"dahliaford/internal/dispatch"
	"dahliaford/internal/scheduler"
)

// receiveWait is how long a machine keeps what was written to one of its connections while nobody takes
// it: after that the scheduler has closed the connection.
const receiveWait = 300 * millisecond

// conn is a connection from a scheduler to a worker, which carries an attempt or a cancellation.
type conn struct {
	connstate.Conn
	node        *node
	worker      *worker
	incarnation int // of the worker's process that accepted it
	connected   bool
	writing     bool // something of the present exchange was written
	writtenAt   Micros
	idleSince   Micros
	closed      bool
	request     *request // of an attempt
	uid         string   // of the worker that an attempt is for
	cancelID    string   // of the request that a cancellation is for
	writeBy     Micros
}

// sendAttempt sends a job to a worker.
func (n *node) sendAttempt(r scheduler.SendAttempt) {
	w, req := n.fleet.byUID[r.WorkerUID], r.Payload.(*request)
	c := n.acquireConn(w)
	if c == nil {
		n.stepLater(scheduler.AttemptEnded{Attempt: r.Attempt, Outcome: dispatch.ConnectFailed})
		return
	}
	c.Assign(r.Attempt, false)
	c.request, c.uid, c.writeBy, c.writing = req, r.WorkerUID, r.WriteDeadline, false
	n.attempts[r.Attempt] = c
	n.fleet.tally.model.Attempts++
	c.start()
}

// cancelAttempt sends the cancellation of an attempt. Nothing has to be sent if nothing of the attempt
// was.
func (n *node) cancelAttempt(e scheduler.CancelAttempt) {
	if n.lastUnsent == e.Attempt {
		n.stepLater(scheduler.CancellationResult{Attempt: e.Attempt, Acknowledged: true})
		return
	}
	c := n.acquireNewConn(n.fleet.byAddr[e.Addr])
	if c == nil {
		n.stepLater(scheduler.CancellationResult{Attempt: e.Attempt})
		return
	}
	c.Assign(e.Attempt, true)
	c.cancelID, c.writeBy = e.RequestID, e.Deadline
	n.attempts[e.Attempt] = c
	c.start()
}

// abandonAttempt closes the connection that an attempt, or its cancellation, is on.
func (n *node) abandonAttempt(attempt scheduler.AttemptID) {
	c := n.attempts[attempt]
	if c == nil {
		return
	}
	delete(n.attempts, attempt)
	if !c.Cancel && !c.writing {
		n.lastUnsent = attempt
	}
	n.closeConn(c)
}

// carries tells whether the connection still carries an attempt, or its cancellation.
func (c *conn) carries(attempt scheduler.AttemptID) bool {
	return !c.Released && c.Busy && c.Attempt == attempt
}

// start establishes the connection, unless it is, and writes the request.
func (c *conn) start() {
	f, attempt := c.node.fleet, c.Attempt
	if c.connected {
		f.after(0, func() { c.write(attempt) })
		return
	}
	f.at(c.writeBy, func() {
		if c.carries(attempt) && !c.writing {
			c.writeFailed(tooLate)
		}
	})
	c.node.countJobMessage(packetBytes)
	f.network.send(c.node.zone, c.worker.zone, packetBytes, func() {
		c.worker.deliver(func() { c.handshake(attempt) })
	})
}

// handshake answers the dial at the worker's machine: with a reset if the process does not run.
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

// write writes the request of the present exchange.
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

// receiveCancellation handles the cancellation at the worker's machine.
func (c *conn) receiveCancellation(attempt scheduler.AttemptID) {
	switch {
	case c.incarnation != c.worker.incarnation:
		c.sendReset(attempt)
	case c.receiveTimedOut(): // the connection was closed before
	case c.worker.cancel(c.cancelID):
		c.worker.respond(c, connstate.WorkerResponse{Status: 200, Close: true})
	default:
		c.worker.respond(c, connstate.WorkerResponse{Status: 404, Close: true})
	}
}

// writeAttempt writes the job, after the last check.
func (c *conn) writeAttempt(attempt scheduler.AttemptID) {
	n, f := c.node, c.node.fleet
	switch {
	case !n.allowSend(c.uid):
		f.tally.model.NotSent++
		c.writeFailed(notAllowed)
		return
	case f.now > c.writeBy:
		c.writeFailed(tooLate)
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

// receiveAttempt handles the job at the worker's machine. The incarnation is that of the process that
// the connection was to when it was written.
func (c *conn) receiveAttempt(attempt scheduler.AttemptID, req *request, incarnation int) {
	switch {
	case c.receiveTimedOut() && c.Released: // closed with what had not left the machine
	case incarnation != c.worker.incarnation || !c.worker.running:
		c.sendReset(attempt)
	default:
		c.worker.receive(c, req)
	}
}

// sendReset sends a reset from the worker's machine.
func (c *conn) sendReset(attempt scheduler.AttemptID) {
	c.node.fleet.network.send(c.worker.zone, c.node.zone, packetBytes, func() { c.handleReset(attempt) })
}

// receiveTimedOut tells whether what was written has waited at the worker's machine for too long.
func (c *conn) receiveTimedOut() bool { return c.node.fleet.now-c.writtenAt > receiveWait }

// writeFailure is why a request could not be written.
type writeFailure uint8

const (
	notAllowed  writeFailure = iota // by the last check
	tooLate                         // for its WriteDeadline
	dialRefused                     // nobody listens
)

// writeFailed handles that the last byte of a request was not written.
func (c *conn) writeFailed(reason writeFailure) {
	result := connstate.WriteFailed
	if reason == dialRefused {
		result = connstate.ConnectRefused
	}
	next, e := c.WriteEnded(result)
	if end, ok := e.(scheduler.AttemptEnded); ok {
		switch {
		case reason == notAllowed:
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

// workerAtCapacity tells whether package node takes a refused dial for a worker that is at capacity: it
// does if other connections to the worker stand.
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

// handleReset handles a reset from the worker's machine.
func (c *conn) handleReset(attempt scheduler.AttemptID) {
	if !c.carries(attempt) {
		return
	}
	next, e := c.ReadEnded()
	c.finish(next, e)
}

// handleAnswer handles the worker's answer.
func (c *conn) handleAnswer(a connstate.WorkerResponse) {
	next, e := c.ResponseReceived(a)
	if next == connstate.Idle {
		c.node.addIdle(c)
	}
	c.finish(next, e)
}

// finish does with the connection what its state asks for, and passes the event that ends the exchange,
// if any, to the reducer.
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
