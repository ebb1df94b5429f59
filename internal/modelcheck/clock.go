package modelcheck

import (
	"time"

	"dahliaford/internal/connstate"
	"dahliaford/internal/scheduler"
)

// timerJitter is the simulated time between a deadline and an event that the model checker places just before
// or just after that deadline.
const timerJitter = 1 * millisecond

func duration(m Micros) time.Duration { return time.Duration(m) * time.Microsecond }

// nextDeadline returns the earliest of the scheduler's timer and the write deadlines of attempts that are
// still connecting, or 0 if there is none.
func (w *World) nextDeadline() Micros {
	at := w.timerAt
	for i := range w.connections {
		if c := &w.connections[i]; c.phase == connecting && (at == 0 || c.writeDeadline < at) {
			at = c.writeDeadline
		}
	}
	return at
}

// timeRelevant reports whether the passing of time can still change what a property checks: a client waits, a
// cancellation is unacknowledged, the scheduler is stopping or an attempt may still be written.
func (w *World) timeRelevant() bool {
	if !w.allAnswered() || len(w.cancellations) > 0 || w.stopping {
		return true
	}
	for i := range w.connections {
		if w.connections[i].phase == connecting {
			return true // a request written after the client's disconnect may violate NoSendAfterDisconnect
		}
	}
	return false
}

// timeActions appends the enabled actions that let time pass.
func (w *World) timeActions(out []Action) []Action {
	deadline := w.nextDeadline()
	if deadline == 0 || !w.timeRelevant() {
		return out
	}
	out = append(out, Action{Kind: AdvanceTime})
	if w.mayInject(FaultTimerJitter) && deadline > w.now+timerJitter {
		out = append(out, Action{Kind: AdvanceJustBefore})
	}
	if w.mayInject(FaultTimerJitter) && deadline == w.timerAt && deadline > w.now {
		out = append(out, Action{Kind: AdvanceJustAfter})
	}
	return out
}

// advanceTime advances the simulated time to the next deadline. One event occurs at that time: the connection
// of an attempt times out or the scheduler's timer fires.
func (w *World) advanceTime(Action) {
	w.now = max(w.now, w.nextDeadline())
	for i := range w.connections {
		if c := &w.connections[i]; c.phase == connecting && c.writeDeadline <= w.now {
			_, e := c.conn.WriteEnded(connstate.WriteFailed)
			w.endConnection(uint8(i), e)
			return
		}
	}
	if w.timerAt != 0 && w.timerAt <= w.now {
		w.timerAt = 0
		w.step(scheduler.TimerFired{})
	}
}

func (w *World) advanceJustBefore(Action) {
	w.spendFault(FaultTimerJitter)
	w.now = w.nextDeadline() - timerJitter
}

func (w *World) advanceJustAfter(Action) {
	w.spendFault(FaultTimerJitter)
	w.now = w.nextDeadline() + timerJitter
}
