package emulator

import (
	"slices"

	"dahliaford/internal/endpoints"
	"dahliaford/internal/history"
	"dahliaford/internal/scheduler"
)

// exitReport says whether anybody reports to the schedulers that a process has ended.
type exitReport uint8

const (
	unreported exitReport = iota
	reportedByAgent
)

// stop ends the process with all of its attempts.
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

// crash ends the process. The agent of its machine reports it to the schedulers and to discovery.
func (w *worker) crash() {
	if !w.running {
		return
	}
	w.stop(reportedByAgent)
	incarnation := w.incarnation
	w.fleet.after(agentReportDelay, func() {
		if w.incarnation == incarnation {
			w.fleet.discovery.setState(w, endpoints.Removed)
		}
	})
}

// vanish makes the machine unreachable. Nobody reports it.
func (w *worker) vanish() {
	if w.unreachable {
		return
	}
	w.stop(unreported)
	w.unreachable = true
	w.missHeartbeats()
}

// missHeartbeats has discovery remove the worker once it has been silent for the liveness timeout.
func (w *worker) missHeartbeats() {
	d := w.fleet.discovery
	w.fleet.after(livenessTimeout+Micros((d.random()-0.5)*float64(second)), func() {
		if w.unreachable || w.fleet.network.separated(w.zone, discoveryZone) {
			d.setState(w, endpoints.Removed)
		}
	})
}

// boot starts the process, and the machine if it is unreachable.
func (w *worker) boot() {
	if w.running || w.retired {
		return
	}
	f := w.fleet
	w.running, w.unreachable = true, false
	w.startedAt = f.now / millisecond * millisecond
	incarnation := w.incarnation
	deferred := w.deferred
	w.deferred = nil
	for _, action := range deferred {
		action()
	}
	f.after(registrationDelay, func() {
		if w.incarnation == incarnation && !f.network.separated(w.zone, discoveryZone) {
			f.discovery.setState(w, endpoints.Ready)
		}
	})
}

// replace retires the worker and starts a new one in its rack.
func (w *worker) replace() {
	w.retired = true
	w.fleet.discovery.setState(w, endpoints.Removed)
	replacement := w.fleet.newWorker(w.zone)
	replacement.rack, replacement.running = w.rack, false
	w.fleet.register(replacement)
	replacement.boot()
}

// setStateIfRunning changes the worker's entry in the list, unless its process has ended.
func (w *worker) setStateIfRunning(state endpoints.State) {
	if w.running {
		w.fleet.discovery.setState(w, state)
	}
}
