// Package connstate says what the life of a connection to a worker means for the attempt
// on it. It is a state machine: what the connection showed goes in, the event that the
// reducer is to hear and what to do with the connection come out. It does no reading or
// writing and has no clock; package node carries it on sockets, package explore in the
// small.
package connstate

import (
	"dahliaford/internal/dispatch"
	"dahliaford/internal/scheduler"
)

// Conn is one connection to a worker. It carries an errand at a time: an attempt, or
// the withdrawal of one. The zero Link idles.
type Conn struct {
	Attempt  scheduler.AttemptID // of the errand
	Cancel   bool                // the errand takes the attempt back
	Busy     bool                // an errand is on it
	Used     bool                // it carried another one before
	Written  bool                // the errand's last byte is out
	Broken   bool                // nothing more can be read from it
	Released bool                // let go: nothing that it says counts any more
}

// Disposition is what is to become of the connection.
type Disposition uint8

// What can become of a connection.
const (
	KeepOpen Disposition = iota
	Idle                 // it can take another errand
	Drop                 // it is to be closed
)

// Answer is what a worker said to an errand.
type Answer struct {
	Status     int
	TurnedAway bool // it says that it did not begin
	Close      bool // nothing follows on this connection
	Report     dispatch.Report
}

// Assign puts an errand on a connection that idles.
func (l *Conn) Assign(attempt scheduler.AttemptID, withdraw bool) {
	l.Used = l.Attempt != 0
	l.Attempt, l.Cancel, l.Busy, l.Written = attempt, withdraw, true, false
}

// Release gives the connection up, whatever it is on.
func (l *Conn) Release() { l.Released = true }

// WriteEnded tells how the errand's writing ended: all of it is out, or its last byte is not.
// refused says that nobody listens at the worker's address: its process is gone.
func (l *Conn) WriteEnded(failed, refused bool) (Disposition, scheduler.Event) {
	switch {
	case l.Released:
		return KeepOpen, nil
	case failed: // the last byte did not get out, so nothing ran
		return l.lose(dispatch.ConnectFailed, refused)
	}
	l.Written = true
	if l.Broken {
		return l.lose(dispatch.Reset, false)
	}
	return KeepOpen, nil
}

// ReadEnded tells that reading has ended.
func (l *Conn) ReadEnded() (Disposition, scheduler.Event) {
	if l.Released {
		return KeepOpen, nil
	}
	l.Broken = true
	switch {
	case !l.Busy:
		l.Released = true
		return Drop, nil
	case l.Written:
		return l.lose(dispatch.Reset, false)
	}
	return KeepOpen, nil // the writer's word is still to come, and says which it was
}

// lose ends the errand with the outcome that the connection's end means.
func (l *Conn) lose(o dispatch.Outcome, gone bool) (Disposition, scheduler.Event) {
	l.Released, l.Busy = true, false
	if l.Cancel {
		return Drop, scheduler.CancellationResult{Attempt: l.Attempt, Acknowledged: gone}
	}
	return Drop, scheduler.AttemptEnded{Attempt: l.Attempt, Outcome: o}
}

// Answered takes a worker's answer to the errand. An answer may come twice, the second time late, and
// nothing tells which errand it is for. So only an accepted attempt leaves a connection that is used
// again, and there only a 202 is believed: a "turned away" that is none of this attempt's would set it
// free while it runs. Who is told a 202 too many waits for callbacks, as always.
func (l *Conn) Answered(a Answer) (Disposition, scheduler.Event) {
	switch {
	case l.Released:
		return KeepOpen, nil
	case !l.Busy: // nobody asked
		l.Released = true
		return Drop, nil
	case l.Used && (a.Status != 202 || !l.Written):
		return l.lose(dispatch.Reset, false)
	}
	l.Busy = false
	next := Idle
	if a.Close || l.Broken || l.Cancel || !l.Written || a.Status != 202 {
		l.Released, next = true, Drop
	}
	switch {
	case l.Cancel:
		return next, scheduler.CancellationResult{Attempt: l.Attempt, Acknowledged: true}
	case a.Status == 202:
		return next, scheduler.AttemptAccepted{Attempt: l.Attempt}
	case (a.Status == 503 || a.Status == 504) && a.TurnedAway:
		return next, scheduler.AttemptEnded{Attempt: l.Attempt, Outcome: dispatch.AtCapacity, Report: a.Report}
	case a.Status >= 400 && a.Status < 500 && a.Status != 429:
		return next, scheduler.AttemptRejected{Attempt: l.Attempt}
	}
	return next, scheduler.AttemptEnded{Attempt: l.Attempt, Outcome: dispatch.Failed, Report: a.Report}
}
