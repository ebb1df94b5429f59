package modelcheck

import (
	"dahliaford/internal/dispatch"
	"dahliaford/internal/scheduler"
)

var callbackEvents = map[scheduler.CallbackKind]eventKind{
	scheduler.CallbackStarted:    evStarted,
	scheduler.CallbackDone:       evDone,
	scheduler.CallbackFailed:     evFailed,
	scheduler.CallbackHandedBack: evHandedBack,
	scheduler.CallbackAborted:    evAborted,
}

var outcomeEvents = map[dispatch.Outcome]eventKind{
	dispatch.ConnectFailed: evConnectFailed,
	dispatch.Reset:         evReset,
	dispatch.AtCapacity:    evAtCapacity,
	dispatch.Failed:        evError,
	dispatch.NotSent:       evNotSent,
}

var cancellationEvents = map[bool]eventKind{true: evCancelled, false: evNotCancelled}

// observe counts an event for coverage before the scheduler receives it, and updates the stage of the attempt
// that the event concerns.
func (w *World) observe(e scheduler.Event) {
	switch e := e.(type) {
	case scheduler.Submitted:
		w.coverage[evSubmitted][w.requests[requestIndex(e.RequestID)].stage]++
	case scheduler.ClientDisconnected:
		for i := range w.requests {
			if q := &w.requests[i]; q.caller == e.Caller {
				w.coverage[evDisconnected][w.requests[q.id].stage]++
			}
		}
	case scheduler.AttemptAccepted:
		w.observeAttempt(evAccepted, e.Attempt, stageAccepted)
	case scheduler.AttemptEnded:
		w.observeAttempt(outcomeEvents[e.Outcome], e.Attempt, stageEnded)
	case scheduler.AttemptRejected:
		w.observeAttempt(evRejected, e.Attempt, stageEnded)
	case scheduler.CancellationResult:
		w.observeAttempt(cancellationEvents[e.Acknowledged], e.Attempt, stageNone)
	case scheduler.Callback:
		w.observeCallback(e)
	case scheduler.EndpointsUpdated:
		w.observeAllRequests(evList)
	case scheduler.WatchClosed:
		w.observeAllRequests(evWatchClosed)
	case scheduler.Reloaded:
		w.observeAllRequests(evReloaded)
	case scheduler.TimerFired:
		w.observeAllRequests(evTimer)
	case scheduler.ShutdownRequested:
		w.observeAllRequests(evStopping)
	}
	if w.panicPending {
		w.observeAllRequests(evPanic)
	}
}

// observeAttempt counts an event about an attempt and sets the attempt's stage to the argument to. It keeps
// the stage if to is stageNone, or if the scheduler has abandoned the attempt or received its end.
func (w *World) observeAttempt(kind eventKind, attempt scheduler.AttemptID, to stage) {
	for i := range w.requests {
		q := &w.requests[i]
		if q.lastAttempt != attempt || attempt == 0 {
			continue
		}
		w.coverage[kind][q.stage]++
		if to != stageNone && q.stage != stageAbandoned && q.stage != stageEnded {
			q.stage = to
		}
		return
	}
	w.coverage[kind][stageEarlier]++
}

// observeCallback counts a callback. A callback from a worker other than that of the last attempt concerns an
// earlier attempt.
func (w *World) observeCallback(e scheduler.Callback) {
	kind := callbackEvents[e.Kind]
	q := &w.requests[requestIndex(e.RequestID)]
	switch {
	case q.lastWorker != workerIndex(e.WorkerUID):
		w.coverage[kind][stageEarlier]++
	case e.Kind == scheduler.CallbackStarted:
		w.observeAttempt(kind, q.lastAttempt, stageStarted)
	default:
		w.observeAttempt(kind, q.lastAttempt, stageEnded)
	}
}

// observeAllRequests counts an event that concerns all requests, once for each id.
func (w *World) observeAllRequests(kind eventKind) {
	for i := range w.requests {
		if q := &w.requests[i]; int(q.id) == i {
			w.coverage[kind][q.stage]++
		}
	}
}
