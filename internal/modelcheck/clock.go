package modelcheck

import (
	"time"

	"dahliaford/internal/connstate"
	"dahliaford/internal/scheduler"
)

// timerJitter is how far from a deadline an event comes that is just before or after it.
const timerJitter = 1 * millisecond

func duration(m Micros) time.Duration { return time.Duration(m) * time.Microsecond }

// nextDeadline is the next time at which something must happen; 0: nothing must.
func (w *World) nextDeadline() Micros {
	at := w.timerAt
	for i := range w.connections {
		if c := &w.connections[i]; c.phase == connecting && (at == 0 || c.writeBy < at) {
			at = c.writeBy
		}
	}
	return at
}

// timeMatters reports whether a client waits, or something is still to be done.
func (w *World) timeMatters() bool {
	if !w.allAnswered() || len(w.cancellations) > 0 || w.stopping {
		return true
	}
	for i := range w.connections {
		if w.connections[i].phase == connecting {
			return true // it may be written late, for nobody
		}
	}
	return false
}

// timeActions lists how time can pass.
func (w *World) timeActions(out []Action) []Action {
	deadline := w.nextDeadline()
	if deadline == 0 || !w.timeMatters() {
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

// advanceTime moves to the next deadline. One thing happens there: a connect times out, or the timer fires.
func (w *World) advanceTime(Action) {
	w.now = max(w.now, w.nextDeadline())
	for i := range w.connections {
		if c := &w.connections[i]; c.phase == connecting && c.writeBy <= w.now {
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
