package node

import (
	"sync/atomic"

	"dahliaford/internal/scheduler"
)

// lag estimates how late the event loop runs. The estimate is the longest recent delay of a timer or of a
// message in the inbox; it halves every lagDecay. A request has probably been unread for about that long, and
// the decision on its answer will be about that late. Only the event loop records delays; any goroutine may
// read the estimate.
type lag struct{ maxDelay, recordedAt atomic.Int64 }

// lagDecay is the time in which the estimate of the lag halves if no delay as long as the estimate is
// recorded.
const lagDecay = 1000 * millisecond

// record records the delay of an event that was due at the time scheduled and is handled now. With scheduled
// 0 the event had no due time, and nothing is recorded.
func (l *lag) record(now, scheduled scheduler.Micros) {
	if delay := now - scheduled; scheduled != 0 && delay >= l.estimate(now) {
		l.maxDelay.Store(int64(delay))
		l.recordedAt.Store(int64(now))
	}
}

// estimate returns the expected delay of events in the event loop at the time now.
func (l *lag) estimate(now scheduler.Micros) scheduler.Micros {
	age := max(now-scheduler.Micros(l.recordedAt.Load()), 0) / lagDecay
	return scheduler.Micros(l.maxDelay.Load()) >> min(age, 62)
}
