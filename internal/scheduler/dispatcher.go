package scheduler

import (
	"slices"

	"dahliaford/internal/dispatch"
)

// queueDispatcherEvent queues an event that the dispatcher gets after the event that it is handling now.
func (s *Scheduler) queueDispatcherEvent(e dispatch.Event) {
	s.dispatcherEvents = append(s.dispatcherEvents, e)
}

// stepDispatcher passes an event to the dispatcher, applies the resulting actions, and repeats this for the
// events that the actions cause, until none is left. If stepDispatcher is called while it is running, it
// only queues the event.
func (s *Scheduler) stepDispatcher(e dispatch.Event) {
	s.queueDispatcherEvent(e)
	if s.dispatching {
		return
	}
	s.dispatching = true
	for len(s.dispatcherEvents) > 0 {
		next := s.dispatcherEvents[0]
		s.dispatcherEvents = s.dispatcherEvents[1:]
		for _, action := range s.dispatcher.Step(s.now, &next, nil) {
			s.applyAction(&action)
		}
	}
	s.dispatching = false
}

func (s *Scheduler) applyAction(action *dispatch.Action) {
	switch action.Kind {
	case dispatch.Send:
		s.startAttempt(action)
	case dispatch.Refuse:
		if r := s.byJob[action.Job]; r != nil {
			s.answer(r, Answer{Verdict: Refused, RetryAfter: action.Delay})
		}
	case dispatch.Fail:
		if r := s.byJob[action.Job]; r != nil {
			s.answer(r, Answer{Verdict: Failed})
		}
	case dispatch.Cancel:
		s.cancelForDispatcher(action)
	case dispatch.SetTimer:
		s.addTimer(timer{at: s.now + action.Delay, kind: dispatcherTimer, id: action.Token})
	case dispatch.WatchEndpoints:
		s.watchForDispatcher()
	case dispatch.Log:
		s.log(action.Text)
	}
}

// cancelForDispatcher cancels the attempt that a Cancel action names. It looks the attempt up by the number
// that the dispatcher gave the attempt within its job. This number is no index into the attempts of the
// request, because the reducer has no record of a Send action that it suppressed.
func (s *Scheduler) cancelForDispatcher(action *dispatch.Action) {
	r := s.byJob[action.Job]
	if r == nil {
		return
	}
	i := slices.IndexFunc(r.attempts, func(a *attempt) bool { return a.ordinal == action.Attempt && !a.ended })
	if i < 0 {
		return
	}
	a := r.attempts[i]
	s.cancelAttempt(a)
	s.endAttempt(a, dispatch.Cancelled, dispatch.Report{})
}

// watchForDispatcher carries out the dispatcher's request for a watch of the worker list. If a watch is open,
// its heartbeats show that it works, and opening a second watch would only add load to discovery. Instead of
// a second watch, the dispatcher then gets an empty update with the present age of the worker list (the time
// since discovery last confirmed the list).
func (s *Scheduler) watchForDispatcher() {
	if !s.watchOpen {
		s.emit(OpenWatch{Addr: s.discoveryAddr, Revision: s.revision})
		return
	}
	s.queueDispatcherEvent(dispatch.Event{Kind: dispatch.EndpointsUpdated, Scope: dispatch.UpdateDelta,
		Age: s.now - s.listAsOf})
}
