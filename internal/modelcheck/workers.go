package modelcheck

import (
	"dahliaford/internal/dispatch"
	"dahliaford/internal/scheduler"
)

// worker is the state of a simulated worker: its process, its machine and its entry in discovery.
type worker struct {
	processDown       bool // the process of the worker has crashed
	unreachable       bool // the machine of the worker has no network connection
	status            dispatch.Status
	startedAt         Micros   // time of the last restart; 0 if the worker did not restart
	knownStartedAt    Micros   // startedAt in the last worker list that the scheduler received
	leavingNotifiedAt Micros   // time at which the scheduler learned of a drain or removal; 0 if ready
	leavingChangedAt  Micros   // time at which discovery listed the worker as draining or removed; 0 if ready
	slowStartSends    []Micros // send times of arrived jobs for which connection.slowStart is set
}

// workerSet is a set of workers by index.
type workerSet uint8

func (s *workerSet) add(worker uint8)     { *s |= 1 << worker }
func (s workerSet) has(worker uint8) bool { return s&(1<<worker) != 0 }

// workerUID returns the UID of a worker, which is also its address.
func workerUID(worker uint8) string { return "R" + string(rune('0'+worker)) }

// workerIndex returns the index of the worker with a UID that workerUID returned.
func workerIndex(uid string) uint8 { return uid[1] - '0' }

// workerActions appends the enabled crashes, restarts, network failures and status changes of workers.
func (w *World) workerActions(out []Action) []Action {
	for i := range w.workers {
		r := &w.workers[i]
		switch {
		case r.processDown:
			out = append(out, Action{ProcessRestarts, uint8(i), 0})
		case w.mayInject(FaultProcessCrash):
			out = append(out, Action{ProcessCrashes, uint8(i), 0})
		}
		switch {
		case r.unreachable:
			out = append(out, Action{MachineReachable, uint8(i), 0})
		case w.mayInject(FaultMachineUnreachable) && !r.processDown:
			out = append(out, Action{MachineUnreachable, uint8(i), 0})
		}
		out = w.statusActions(i, out)
	}
	return out
}

// statusActions appends the enabled status changes of the worker with index i in discovery.
func (w *World) statusActions(i int, out []Action) []Action {
	if !w.mayInject(FaultEndpointStatus) {
		return out
	}
	status := w.workers[i].status
	if status == dispatch.Ready {
		out = append(out, Action{AnnounceDraining, uint8(i), 0})
	} else {
		out = append(out, Action{AnnounceReady, uint8(i), 0})
	}
	if status != dispatch.Removed {
		out = append(out, Action{AnnounceRemoved, uint8(i), 0})
	}
	return out
}

// crashProcess crashes the process of a worker. Callbacks report its jobs as aborted, and the connections of
// requests in transit to the worker break.
func (w *World) crashProcess(a Action) {
	w.spendFault(FaultProcessCrash)
	w.workers[a.Target].processDown = true
	for i := len(w.jobs) - 1; i >= 0; i-- {
		if w.jobs[i].worker == a.Target {
			w.sendCallback(&w.jobs[i], scheduler.CallbackAborted)
			w.removeJob(i)
		}
	}
	for i := len(w.connections) - 1; i >= 0; i-- {
		c := &w.connections[i]
		if c.worker != a.Target {
			continue
		}
		switch c.phase {
		case written:
			c.phase = broken
		case closing:
			w.removeConnection(i)
		}
	}
}

func (w *World) restartProcess(a Action) {
	r := &w.workers[a.Target]
	r.processDown = false
	r.startedAt, r.slowStartSends = w.now, nil
	w.publish(a.Target)
}

func (w *World) disconnectMachine(a Action) {
	w.spendFault(FaultMachineUnreachable)
	w.workers[a.Target].unreachable = true
}

func (w *World) reconnectMachine(a Action) { w.workers[a.Target].unreachable = false }

// announcedStatus maps each action of discovery to the status that discovery then lists for the worker.
var announcedStatus = map[ActionKind]dispatch.Status{AnnounceDraining: dispatch.Draining,
	AnnounceRemoved: dispatch.Removed, AnnounceReady: dispatch.Ready}

func (w *World) announceStatus(a Action) {
	w.spendFault(FaultEndpointStatus)
	w.workers[a.Target].status = announcedStatus[a.Kind]
	w.publish(a.Target)
}
