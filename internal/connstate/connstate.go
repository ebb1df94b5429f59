// Package connstate is the state machine of one connection to a worker. Its inputs are what happens on the
// connection: a write ends, a response arrives, the connection's input ends. For each of these inputs the
// state machine returns the event that the scheduler's reducer gets for the attempt on the connection, and
// whether to keep, reuse or close the connection. The package performs no I/O and has no clock. Package node
// uses it on sockets, and packages modelcheck and emulator use it on simulated connections.
package connstate

import (
	"dahliaford/internal/dispatch"
	"dahliaford/internal/scheduler"
)

// Conn is the state of one connection to a worker. The connection carries one exchange at a time: an
// attempt, or the cancellation of an attempt. The zero Conn is idle.
type Conn struct {
	Attempt    scheduler.AttemptID // Attempt is the attempt of the connection's current request.
	Cancel     bool                // Cancel says that the current request is the cancellation of Attempt.
	Busy       bool                // Busy says that an attempt or a cancellation is in progress.
	Reused     bool                // Reused says that the connection carried an earlier exchange.
	Written    bool                // Written says that the last byte of the current request has been written.
	ReadClosed bool                // ReadClosed says that the peer closed or reset the connection.
	// Released says that the connection is no longer used; its later events are ignored.
	Released bool
}

// Disposition says what the caller has to do with the connection.
type Disposition uint8

// The dispositions of a connection.
const (
	KeepOpen Disposition = iota // KeepOpen leaves the connection as it is.
	Idle                        // Idle makes the connection available for another exchange.
	Drop                        // Drop closes the connection.
)

// WriteResult is the result of writing a request.
type WriteResult uint8

// The results of writing a request.
const (
	WriteComplete WriteResult = iota // WriteComplete means that the last byte of the request was written.
	WriteFailed                      // WriteFailed means that the last byte was not written.
	// ConnectRefused means that nothing was written because no process listens at the worker's address, so the
	// worker's process has exited.
	ConnectRefused
)

// WorkerResponse is a worker's HTTP response to an attempt or to a cancellation.
type WorkerResponse struct {
	Status     int  // Status is the HTTP status.
	NotStarted bool // NotStarted says that the worker declares that it did not start the job.
	Close      bool // Close says that the worker closes the connection after this response.
	Report     dispatch.Report
}

// Assign begins an exchange on an idle connection: an attempt, or the cancellation of an attempt.
func (c *Conn) Assign(attempt scheduler.AttemptID, cancel bool) {
	c.Reused = c.Attempt != 0
	c.Attempt, c.Cancel, c.Busy, c.Written = attempt, cancel, true, false
}

// Release ends the use of the connection, whether or not an attempt or a cancellation is in progress on it.
// Later events of the connection are ignored.
func (c *Conn) Release() { c.Released = true }

// WriteEnded handles the result of writing the request of the current exchange.
func (c *Conn) WriteEnded(result WriteResult) (Disposition, scheduler.Event) {
	switch {
	case c.Released:
		return KeepOpen, nil
	case result != WriteComplete: // The last byte was not written, so the worker cannot have started the job.
		return c.end(dispatch.ConnectFailed, result == ConnectRefused)
	}
	c.Written = true
	if c.ReadClosed {
		return c.end(dispatch.Reset, false)
	}
	return KeepOpen, nil
}

// ReadEnded handles the end of the connection's input: the peer closed or reset the connection.
func (c *Conn) ReadEnded() (Disposition, scheduler.Event) {
	if c.Released {
		return KeepOpen, nil
	}
	c.ReadClosed = true
	switch {
	case !c.Busy:
		c.Released = true
		return Drop, nil
	case c.Written:
		return c.end(dispatch.Reset, false)
	}
	return KeepOpen, nil // The later WriteEnded decides between ConnectFailed and Reset.
}

// end ends the current attempt or cancellation without a response. processExited says that the worker's
// process no longer exists. There is then nothing to cancel, so a cancellation counts as acknowledged.
func (c *Conn) end(outcome dispatch.Outcome, processExited bool) (Disposition, scheduler.Event) {
	c.Released, c.Busy = true, false
	if c.Cancel {
		return Drop, scheduler.CancellationResult{Attempt: c.Attempt, Acknowledged: processExited}
	}
	return Drop, scheduler.AttemptEnded{Attempt: c.Attempt, Outcome: outcome}
}

// ResponseReceived handles a worker's response. A worker may send a response twice, the second time late, and
// a response does not say which request it answers. Therefore a connection is reused only after an attempt
// that was accepted (status 202), and on a reused connection only a 202 is believed. A repeated NotStarted
// response to an earlier attempt would otherwise end the current attempt as not started while it runs. A
// repeated 202 is harmless: the scheduler waits for callbacks of the current attempt, as it does for each
// accepted attempt.
func (c *Conn) ResponseReceived(a WorkerResponse) (Disposition, scheduler.Event) {
	switch {
	case c.Released:
		return KeepOpen, nil
	case !c.Busy: // A response on an idle connection is unsolicited.
		c.Released = true
		return Drop, nil
	case c.Reused && (a.Status != 202 || !c.Written):
		return c.end(dispatch.Reset, false)
	}
	c.Busy = false
	next := Idle
	if a.Close || c.ReadClosed || c.Cancel || !c.Written || a.Status != 202 {
		c.Released, next = true, Drop
	}
	switch {
	case c.Cancel:
		return next, scheduler.CancellationResult{Attempt: c.Attempt, Acknowledged: true}
	case a.Status == 202:
		return next, scheduler.AttemptAccepted{Attempt: c.Attempt}
	case (a.Status == 503 || a.Status == 504) && a.NotStarted:
		return next, scheduler.AttemptEnded{Attempt: c.Attempt, Outcome: dispatch.AtCapacity, Report: a.Report}
	case a.Status >= 400 && a.Status < 500 && a.Status != 429:
		return next, scheduler.AttemptRejected{Attempt: c.Attempt}
	}
	return next, scheduler.AttemptEnded{Attempt: c.Attempt, Outcome: dispatch.Failed, Report: a.Report}
}
