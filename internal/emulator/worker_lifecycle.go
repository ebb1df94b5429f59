package emulator

import (
	"slices"

	"dahliaford/internal/endpoints"
	"dahliaford/internal/history"
	"dahliaford/internal/scheduler"
)

// exitReport says whether the agent, a service on the worker's machine, reports the end of the worker's
// process to the schedulers.
type exitReport uint8

const (
	unreported exitReport = iota
	reportedByAgent
)

// stop ends the worker's process and with it all of its attempts.
func (w *worker) stop(report exitReport) {
	var all []*attempt
	for _, a := range w.attempts {
		all = append(all, a)
	}
	slices.SortFunc(all, func(a, b *attempt) int { return a.request.number - b.request.number })
	w.queue = nil
	for _, a := range all {
		a.request.record(history.Event{Kind: history.WorkerDied, ID: a.request.id, Actor: w.uid})
		w.fleet.tally.model.KilledAttempts++
		w.remove(a)
		if report == reportedByAgent {
			w.sendCallback(a, scheduler.Callback{Kind: scheduler.CallbackAborted})
		}
		a.request.release()
	}
	w.running, w.diedAt, w.recentArrivals, w.usedSlots = false, w.fleet.now, nil, 0
	w.incarnation++
}

// crash ends the worker's process. The agent of the machine reports the end to the schedulers that wait for
// an attempt, and to discovery.
func (w *worker) crash() {
	if !w.running {
		return
	}
	w.stop(reportedByAgent)
	incarnation := w.incarnation
	w.fleet.scheduleAfter(agentReportDelay, func() {
		if w.incarnation == incarnation {
			w.fleet.discovery.setState(w, endpoints.Removed)
		}
	})
}

// failMachine makes the machine unreachable, as a power failure does. No agent reports the end of the
// process; discovery removes the worker after livenessTimeout.
func (w *worker) failMachine() {
	if w.unreachable {
		return
	}
	w.stop(unreported)
	w.unreachable = true
	w.missHeartbeats()
}

// missHeartbeats schedules the removal of the worker from the worker list after livenessTimeout, provided
// that the worker is still unreachable or cut off from discovery at that time.
func (w *worker) missHeartbeats() {
	d := w.fleet.discovery
	w.fleet.scheduleAfter(livenessTimeout+Micros((d.random()-0.5)*float64(second)), func() {
		if w.unreachable || w.fleet.network.separated(w.zone, discoveryZone) {
			d.setState(w, endpoints.Removed)
		}
	})
}

// boot starts the worker's process, and makes the machine reachable if it has failed. Then boot delivers the
// messages that arrived while the machine was unreachable.
func (w *worker) boot() {
	if w.running || w.retired {
		return
	}
	f := w.fleet
	w.running, w.unreachable = true, false
	w.startedAt = f.now / millisecond * millisecond
	incarnation := w.incarnation
	deferredDeliveries := w.deferredDeliveries
	w.deferredDeliveries = nil
	for _, action := range deferredDeliveries {
		action()
	}
	f.scheduleAfter(registrationDelay, func() {
		if w.incarnation == incarnation && !f.network.separated(w.zone, discoveryZone) {
			f.discovery.setState(w, endpoints.Ready)
		}
	})
}

// replace retires the worker and starts a new worker in the same rack.
func (w *worker) replace() {
	w.retired = true
	w.fleet.discovery.setState(w, endpoints.Removed)
	replacement := w.fleet.newWorker(w.zone)
	replacement.rack, replacement.running = w.rack, false
	w.fleet.register(replacement)
	replacement.boot()
}

// setStateIfRunning changes the state of the worker's entry in the worker list if the worker's process runs.
func (w *worker) setStateIfRunning(state endpoints.State) {
	if w.running {
		w.fleet.discovery.setState(w, state)
	}
}
