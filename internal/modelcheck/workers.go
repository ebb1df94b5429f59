package modelcheck

import (
	"dahliaford/internal/dispatch"
	"dahliaford/internal/scheduler"
)

// worker is a worker's process and machine, and what discovery says about it.
type worker struct {
	processDown       bool // its process has crashed
	unreachable       bool // its machine is cut off
	status            dispatch.Status
	startedAt         Micros   // 0: long ago
	knownStart        Micros   // startedAt as the scheduler was last notified of it
	leavingNotifiedAt Micros   // when the scheduler was notified that it drains or is gone; 0: it is ready
	leavingChangedAt  Micros   // when discovery changed it so; 0: it is ready
	slowStartSends    []Micros // when what arrived from schedulers that knew of its slow start was sent
}

// workerSet is a set of workers by index.
type workerSet uint8

func (s *workerSet) add(worker uint8)     { *s |= 1 << worker }
func (s workerSet) has(worker uint8) bool { return s&(1<<worker) != 0 }

// workerUID is the UID, and the address, of a worker.
func workerUID(worker uint8) string { return "R" + string(rune('0'+worker)) }

// workerIndex is the inverse of workerUID.
func workerIndex(uid string) uint8 { return uid[1] - '0' }

// workerActions lists what can happen to workers, and what discovery can say about them.
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

// statusActions lists what discovery can say about one worker.
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

// crashProcess ends a worker's process. Its jobs are reported as aborted; requests on their way break.
func (w *World) crashProcess(a Action) {
	w.spendFault(FaultProcessCrash)
	w.workers[a.Target].processDown = true
	for i := len(w.jobs) - 1; i >= 0; i-- {
		if w.jobs[i].worker == a.Target {
			w.callBack(&w.jobs[i], scheduler.CallbackAborted)
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

// announcedStatus has the status that discovery says by each of its actions.
var announcedStatus = map[ActionKind]dispatch.Status{AnnounceDraining: dispatch.Draining,
	AnnounceRemoved: dispatch.Removed, AnnounceReady: dispatch.Ready}

func (w *World) announceStatus(a Action) {
	w.spendFault(FaultEndpointStatus)
	w.workers[a.Target].status = announcedStatus[a.Kind]
	w.publish(a.Target)
}
