package scheduler

import (
	"container/heap"
	"slices"

	"dahliaford/internal/dispatch"
)

// timerKind is the purpose of a timer. It determines what the id of the timer identifies.
type timerKind uint8

const (
	shutdownTimer     timerKind = iota // starts a stage of the shutdown; has no id
	cancellationTimer                  // times out or resends the cancellation of an attempt; id: AttemptID
	requestDeadline                    // ends the wait of a caller; id: CallerID
	attemptDeadline                    // ends an attempt; id: AttemptID
	deferralEnd                        // ends an attempt that waits for a cancellation; id: AttemptID
	dispatcherTimer                    // fires a timer that the dispatcher has set; id: the dispatcher's token
)

// timer is an entry of the timer heap.
type timer struct {
	at   Micros
	kind timerKind
	id   uint64
}

// timerHeap is a heap of timers with the earliest one first.
type timerHeap []timer

// Len implements heap.Interface.
func (h timerHeap) Len() int { return len(h) }

// Less implements heap.Interface. The timer that is due earlier comes first.
func (h timerHeap) Less(i, j int) bool { return h[i].at < h[j].at }

// Swap implements heap.Interface.
func (h timerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *timerHeap) Push(x any) { *h = append(*h, x.(timer)) }

// Pop implements heap.Interface.
func (h *timerHeap) Pop() any {
	last := len(*h) - 1
	x := (*h)[last]
	*h = (*h)[:last]
	return x
}

// minTimerSweep is the least number of timers at which addTimer drops the obsolete ones.
const minTimerSweep = 1024

// addTimer adds a timer. Most timers become obsolete long before their time, so addTimer drops all obsolete
// ones when the number of timers has doubled since the last time it did so.
func (s *Scheduler) addTimer(t timer) {
	if len(s.timers) >= max(minTimerSweep, 2*s.timersKept) {
		s.timers = slices.DeleteFunc(s.timers, s.obsolete)
		heap.Init(&s.timers)
		s.timersKept = len(s.timers)
	}
	heap.Push(&s.timers, t)
}

// fireTimers fires all timers whose time has come.
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
		// A shutdown timer only has to make Step run, as Step calls advanceShutdown after each event.
	}
}

// armTimer drops obsolete timers from the top of the heap, and emits SetTimer if the time of the earliest
// timer has changed.
func (s *Scheduler) armTimer() {
	for len(s.timers) > 0 && s.obsolete(s.timers[0]) {
		heap.Pop(&s.timers)
	}
	if len(s.timers) > 0 && s.timers[0].at != s.timerAt {
		s.timerAt = s.timers[0].at
		s.emit(SetTimer{At: s.timerAt})
	}
}

// obsolete reports whether a timer would have no effect, because its cancellation, attempt or request has
// ended, or because the cancellation has a newer timer.
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
