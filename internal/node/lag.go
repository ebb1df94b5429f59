package node

import (
	"sync/atomic"

	"dahliaford/internal/scheduler"
)

// lag estimates how late the event loop runs: the worst delay of the last while, of timers and of messages
// in the inbox. A request has been unread for about as long before it was read, and its answer is decided as
// late. Only the loop notes delays; any goroutine may ask for the estimate.
type lag struct{ maxDelay, recordedAt atomic.Int64 }

// lagDecay is the time in which a delay that does not recur counts half.
const lagDecay = 1000 * millisecond

// note notes the delay of what was scheduled for a time and is done now. 0 was not scheduled.
func (l *lag) record(now, scheduled scheduler.Micros) {
	if delay := now - scheduled; scheduled != 0 && delay >= l.estimate(now) {
		l.maxDelay.Store(int64(delay))
		l.recordedAt.Store(int64(now))
	}
}

// estimate returns the delay to expect.
func (l *lag) estimate(now scheduler.Micros) scheduler.Micros {
	age := max(now-scheduler.Micros(l.recordedAt.Load()), 0) / lagDecay
	return scheduler.Micros(l.maxDelay.Load()) >> min(age, 62)
}
