// Package connstate is the state machine of one connection to a worker: it says what the events of the
// connection mean for the attempt that the connection carries. What happened on the connection goes in;
// the event for the scheduler's reducer, and what to do with the connection, come out. The package does
// no I/O and has no clock. Package node drives it on sockets, package modelcheck in small worlds.
package connstate

import (
	"dahliaford/internal/dispatch"
	"dahliaford/internal/scheduler"
)

// Conn is the state of one connection to a worker. The connection carries one exchange at a time: an
// attempt, or the cancellation of one. The zero Conn is idle.
type Conn struct {
	Attempt    scheduler.AttemptID // the attempt of the current exchange
	Cancel     bool                // the current exchange cancels the attempt
	Busy       bool                // an exchange is in progress
	Reused     bool                // an earlier exchange used the connection
	Written    bool                // the last byte of the exchange's request is written
	ReadClosed bool                // nothing more can be read
	Released   bool                // given up: later events of the connection are ignored
}

// Disposition says what becomes of the connection.
type Disposition uint8

// The dispositions of a connection.
const (
	KeepOpen Disposition = iota
	Idle                 // ready for another exchange
	Drop                 // to be closed
)

// WriteResult is how the writing of a request ended.
type WriteResult uint8

// The results of writing a request.
const (
	WriteComplete  WriteResult = iota // the last byte is written
	WriteFailed                       // the last byte is not written
	ConnectRefused                    // WriteFailed, as nobody listens at the address: the process is gone
)

// WorkerResponse is a worker's response to an exchange.
type WorkerResponse struct {
	Status     int  // the HTTP status
	NotStarted bool // the worker declares that it did not begin the job
	Close      bool // the worker closes the connection after this response
	Report     dispatch.Report
}

// Assign begins an exchange on an idle connection: the attempt itself, or its cancellation.
func (c *Conn) Assign(attempt scheduler.AttemptID, cancel bool) {
	c.Reused = c.Attempt != 0
	c.Attempt, c.Cancel, c.Busy, c.Written = attempt, cancel, true, false
}

// Release gives the connection up, whether or not an exchange is in progress.
func (c *Conn) Release() { c.Released = true }

// WriteEnded handles the end of writing the exchange's request.
func (c *Conn) WriteEnded(result WriteResult) (Disposition, scheduler.Event) {
	switch {
	case c.Released:
		return KeepOpen, nil
	case result != WriteComplete: // the last byte was not written, so nothing ran
		return c.end(dispatch.ConnectFailed, result == ConnectRefused)
	}
	c.Written = true
	if c.ReadClosed {
		return c.end(dispatch.Reset, false)
	}
	return KeepOpen, nil
}

// ReadEnded handles the end of reading: the peer closed or reset the connection.
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
	return KeepOpen, nil // WriteEnded is still to come and decides between failed and reset
}

// end ends the exchange without a response. processExited says that the worker's process no longer exists,
// so that nothing is left to cancel: it counts as the acknowledgement.
func (c *Conn) end(outcome dispatch.Outcome, processExited bool) (Disposition, scheduler.Event) {
	c.Released, c.Busy = true, false
	if c.Cancel {
		return Drop, scheduler.CancellationResult{Attempt: c.Attempt, Acknowledged: processExited}
	}
	return Drop, scheduler.AttemptEnded{Attempt: c.Attempt, Outcome: outcome}
}

// ResponseReceived handles a worker's response to the exchange. A response may come twice, the second time late,
// and nothing in it identifies its exchange. So only an accepted attempt leaves a connection that is used
// again, and on a used connection only a 202 is trusted: a "turned away" of an earlier attempt would
// release this one while it runs. An attempt that gets a 202 of an earlier one waits for callbacks, as
// every accepted attempt does.
func (c *Conn) ResponseReceived(a WorkerResponse) (Disposition, scheduler.Event) {
	switch {
	case c.Released:
		return KeepOpen, nil
	case !c.Busy: // unsolicited
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
