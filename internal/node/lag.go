package node

import (
	"sync/atomic"

	"dahliaford/internal/scheduler"
)

// lag is how late the program does what is due: the worst of the last while, by timers and by
// the way through the inbox. A request has lain unread for about as long before it was read, and
// its answer is decided as late. Only the loop notes; all may ask.
type lag struct{ worstLag, notedAt atomic.Int64 }

// lagHalfLife is the time in which a lag that does not come again counts half.
const lagHalfLife = 1000 * millisecond

// note takes what was due at a time and is done now.
func (l *lag) note(now, dueAt scheduler.Micros) {
	if late := now - dueAt; dueAt != 0 && late >= l.estimate(now) {
		l.worstLag.Store(int64(late))
		l.notedAt.Store(int64(now))
	}
}

// estimate is the lag to reckon with.
func (l *lag) estimate(now scheduler.Micros) scheduler.Micros {
	age := max(now-scheduler.Micros(l.notedAt.Load()), 0) / lagHalfLife
	return scheduler.Micros(l.worstLag.Load()) >> min(age, 62)
}
