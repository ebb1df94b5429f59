package node

import (
	"sync/atomic"

	"dahliaford/internal/scheduler"
)

// lag is how late the program does what is due: the worst of the last while, by timers and by
// the way through the inbox. A request has lain unread for about as long before it was read, and
// its answer is decided as late. Only the loop notes; all may ask.
type lag struct{ worst, at atomic.Int64 }

// halves is the time in which a lag that does not come again counts half.
const halves = 1000 * millisecond

// note takes what was due at a time and is done now.
func (l *lag) note(now, due scheduler.Micros) {
	if late := now - due; due != 0 && late >= l.now(now) {
		l.worst.Store(int64(late))
		l.at.Store(int64(now))
	}
}

// now is the lag to reckon with.
func (l *lag) now(now scheduler.Micros) scheduler.Micros {
	age := max(now-scheduler.Micros(l.at.Load()), 0) / halves
	return scheduler.Micros(l.worst.Load()) >> min(age, 62)
}
