package scheduler

import (
	"container/heap"
	"slices"

	"dahliaford/internal/dispatch"
)

// Recover starts the dispatcher anew after a panic in it. Open requests are answered as failed, as
// nobody knows how far it had got, and live attempts are cancelled. Effects of the step that broke
// off are returned, too: they may hold answers. It fails if the dispatcher cannot be started.
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

// failAllRequests answers all requests and gives up their attempts, as far as that is allowed.
func (s *Scheduler) failAllRequests() {
	for _, r := range sortedValues(s.byCaller) {
		s.answer(r, Answer{Verdict: Failed})
	}
	for _, a := range sortedValues(s.byAttempt) {
		if !s.settings.Dispatch.CancelAllowed && a.deferredUntil == 0 {
			continue // it is sent, and must not be cancelled: its connection or its deadline ends it
		}
		s.cancelAttempt(a)
		s.removeAttempt(a)
	}
	clear(s.byID)
	clear(s.byJob)
	for _, a := range s.byAttempt {
		s.byID[a.request.id] = a.request // its worker's callbacks find it
	}
}

// obsoleteAfterPanic tells whether a timer belonged to the old dispatcher, or to a request or an
// attempt that has been given up with it.
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
