package scheduler

import (
	"container/heap"
	"slices"

	"dahliaford/internal/dispatch"
)

// Recover replaces the dispatcher after a panic in it. Open requests are answered as failed, because the
// state of their jobs in the dispatcher is lost, and live attempts are cancelled. The returned effects
// include those that the interrupted Step had already produced, as these may contain answers. Recover
// returns an error if the new dispatcher cannot be created.
func (s *Scheduler) Recover(now Micros) ([]Effect, error) {
	s.now, s.dispatcherEvents, s.dispatching, s.timerAt = now, nil, false, 0
	s.failAllRequests()
	var err error
	if s.dispatcher, err = dispatch.New(s.settings.Dispatch, s.seed); err != nil {
		return s.effects, err
	}
	s.timers = slices.DeleteFunc(s.timers, s.obsoleteAfterPanic)
	heap.Init(&s.timers)
	cachedList := WorkerList{Revision: s.revision, Complete: true}
	for _, w := range sortedValues(s.workers) {
		cachedList.Workers = append(cachedList.Workers, w.Worker)
	}
	s.watchOpen = false
	s.start(cachedList)
	s.advanceShutdown()
	s.armTimer()
	return s.effects, nil
}

// failAllRequests answers all open requests as failed and cancels their attempts. If the settings forbid
// cancelling, only deferred attempts are dropped, as they have not been sent.
func (s *Scheduler) failAllRequests() {
	for _, r := range sortedValues(s.byCaller) {
		s.answer(r, Answer{Verdict: Failed})
	}
	for _, a := range sortedValues(s.byAttempt) {
		if !s.settings.Dispatch.CancelAllowed && a.deferredUntil == 0 {
			continue // The attempt has been sent and must not be cancelled: its connection or deadline ends it.
		}
		s.cancelAttempt(a)
		s.removeAttempt(a)
	}
	clear(s.byID)
	clear(s.byJob)
	for _, a := range s.byAttempt {
		s.byID[a.request.id] = a.request // a callback of the worker finds its request in byID
	}
}

// obsoleteAfterPanic reports whether a timer belongs to the dispatcher that panicked, or to a request or
// attempt that failAllRequests has ended.
func (s *Scheduler) obsoleteAfterPanic(t timer) bool {
	switch t.kind {
	case cancellationTimer, shutdownTimer:
		return false
	case attemptDeadline, deferralEnd:
		return s.byAttempt[AttemptID(t.id)] == nil
	case requestDeadline, dispatcherTimer:
		return true
	}
	return true
}
