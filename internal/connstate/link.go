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

// Link is one connection to a worker. It carries an errand at a time: an attempt, or
// the withdrawal of one. The zero Link idles.
type Link struct {
	Attempt  scheduler.Attempt // of the errand
	Withdraw bool              // the errand takes the attempt back
	Busy     bool              // an errand is on it
	Used     bool              // it carried another one before
	Written  bool              // the errand's last byte is out
	Broken   bool              // nothing more can be read from it
	Dead     bool              // let go: nothing that it says counts any more
}

// Next is what is to become of the connection.
type Next uint8

// What can become of a connection.
const (
	Stay Next = iota
	Idle      // it can take another errand
	Drop      // it is to be closed
)

// Answer is what a worker said to an errand.
type Answer struct {
	Status     int
	TurnedAway bool // it says that it did not begin
	Close      bool // nothing follows on this connection
	Report     dispatch.Report
}

// Take puts an errand on a connection that idles.
func (l *Link) Take(attempt scheduler.Attempt, withdraw bool) {
	l.Used = l.Attempt != 0
	l.Attempt, l.Withdraw, l.Busy, l.Written = attempt, withdraw, true, false
}

// LetGo gives the connection up, whatever it is on.
func (l *Link) LetGo() { l.Dead = true }

// Wrote tells how the errand's writing ended: all of it is out, or its last byte is not.
// refused says that nobody listens at the worker's address: its process is gone.
func (l *Link) Wrote(failed, refused bool) (Next, scheduler.Event) {
	switch {
	case l.Dead:
		return Stay, nil
	case failed: // the last byte did not get out, so nothing ran
		return l.lose(dispatch.ConnectFailed, refused)
	}
	l.Written = true
	if l.Broken {
		return l.lose(dispatch.Reset, false)
	}
	return Stay, nil
}

// Broke tells that reading has ended.
func (l *Link) Broke() (Next, scheduler.Event) {
	if l.Dead {
		return Stay, nil
	}
	l.Broken = true
	switch {
	case !l.Busy:
		l.Dead = true
		return Drop, nil
	case l.Written:
		return l.lose(dispatch.Reset, false)
	}
	return Stay, nil // the writer's word is still to come, and says which it was
}

// lose ends the errand with the outcome that the connection's end means.
func (l *Link) lose(o dispatch.Outcome, gone bool) (Next, scheduler.Event) {
	l.Dead, l.Busy = true, false
	if l.Withdraw {
		return Drop, scheduler.Withdrawn{Attempt: l.Attempt, Reached: gone}
	}
	return Drop, scheduler.Ended{Attempt: l.Attempt, Outcome: o}
}

// Answered takes a worker's answer to the errand. An answer may come twice, the second time late, and
// nothing tells which errand it is for. So only an accepted attempt leaves a connection that is used
// again, and there only a 202 is believed: a "turned away" that is none of this attempt's would set it
// free while it runs. Who is told a 202 too many waits for callbacks, as always.
func (l *Link) Answered(a Answer) (Next, scheduler.Event) {
	switch {
	case l.Dead:
		return Stay, nil
	case !l.Busy: // nobody asked
		l.Dead = true
		return Drop, nil
	case l.Used && (a.Status != 202 || !l.Written):
		return l.lose(dispatch.Reset, false)
	}
	l.Busy = false
	next := Idle
	if a.Close || l.Broken || l.Withdraw || !l.Written || a.Status != 202 {
		l.Dead, next = true, Drop
	}
	switch {
	case l.Withdraw:
		return next, scheduler.Withdrawn{Attempt: l.Attempt, Reached: true}
	case a.Status == 202:
		return next, scheduler.Accepted{Attempt: l.Attempt}
	case (a.Status == 503 || a.Status == 504) && a.TurnedAway:
		return next, scheduler.Ended{Attempt: l.Attempt, Outcome: dispatch.Full, Report: a.Report}
	case a.Status >= 400 && a.Status < 500 && a.Status != 429:
		return next, scheduler.Rejected{Attempt: l.Attempt}
	}
	return next, scheduler.Ended{Attempt: l.Attempt, Outcome: dispatch.Failed, Report: a.Report}
}
