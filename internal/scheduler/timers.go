package scheduler

import (
	"container/heap"

	"dahliaford/internal/dispatch"
)

// timerKind says what a timer is for, and what its id numbers.
type timerKind uint8

const (
	shutdownTimer     timerKind = iota // a stage of the shutdown; no id
	cancellationTimer                  // of an attempt: the sent cancellation times out, or is sent again
	requestDeadline                    // of a caller
	attemptDeadline                    // of an attempt
	deferralEnd                        // of an attempt, which may not wait any longer to be sent
	dispatcherTimer                    // the id is the dispatcher's token
)

// timer is something that comes due at a time.
type timer struct {
	at   Micros
	kind timerKind
	id   uint64
}

// timerHeap holds timers with the earliest on top.
type timerHeap []timer

// Len is part of heap.Interface.
func (h timerHeap) Len() int { return len(h) }

// Less is part of heap.Interface.
func (h timerHeap) Less(i, j int) bool { return h[i].at < h[j].at }

// Swap is part of heap.Interface.
func (h timerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push is part of heap.Interface.
func (h *timerHeap) Push(x any) { *h = append(*h, x.(timer)) }

// Pop is part of heap.Interface.
func (h *timerHeap) Pop() any {
	last := len(*h) - 1
	x := (*h)[last]
	*h = (*h)[:last]
	return x
}

func (s *Scheduler) addTimer(t timer) { heap.Push(&s.timers, t) }

// fireTimers handles all timers that have come due.
func (s *Scheduler) fireTimers() {
	for len(s.timers) > 0 && s.timers[0].at <= s.now {
		s.fire(heap.Pop(&s.timers).(timer))
	}
}

func (s *Scheduler) fire(t timer) {
	switch t.kind {
	case dispatcherTimer:
		s.stepDispatcher(dispatch.Event{Kind: dispatch.TimerFired, Token: t.id})
	case cancellationTimer:
		s.cancellationTimerFired(t)
	case deferralEnd:
		s.expireDeferral(t)
	case attemptDeadline:
		s.expireAttempt(AttemptID(t.id))
	case requestDeadline:
		s.expireRequest(CallerID(t.id))
	case shutdownTimer:
		// Step itself goes on to the next stage.
	}
}

// armTimer sets the timer for what comes due next. What has no effect any more is dropped.
func (s *Scheduler) armTimer() {
	for len(s.timers) > 0 && s.obsolete(s.timers[0]) {
		heap.Pop(&s.timers)
	}
	if len(s.timers) > 0 && s.timers[0].at != s.timerAt {
		s.timerAt = s.timers[0].at
		s.emit(SetTimer{At: s.timerAt})
	}
}

// obsolete tells whether what a timer is for is over.
func (s *Scheduler) obsolete(t timer) bool {
	switch t.kind {
	case cancellationTimer:
		c := s.cancellations[AttemptID(t.id)]
		return c == nil || c.timerAt != t.at
	case attemptDeadline, deferralEnd:
		return s.byAttempt[AttemptID(t.id)] == nil
	case requestDeadline:
		return s.byCaller[CallerID(t.id)] == nil
	case shutdownTimer, dispatcherTimer:
		return false
	}
	return false
}
