package modelcheck

import (
	"dahliaford/internal/scheduler"
)

// job is an attempt that a worker has accepted and not finished.
type job struct {
	id, worker uint8
	attempt    scheduler.AttemptID
	sentAt     Micros
	running    bool
}

// callback is a callback in transit from a worker to the scheduler.
type callback struct {
	id, worker uint8
	kind       scheduler.CallbackKind
}

// acceptJob makes the worker of a connection accept the attempt on that connection.
func (w *World) acceptJob(c *connection) {
	w.jobs = append(w.jobs, job{id: c.id, worker: c.worker, attempt: c.attempt, sentAt: c.sentAt})
}

// jobActions appends the enabled actions of the jobs that workers hold.
func (w *World) jobActions(out []Action) []Action {
	for i := range w.jobs {
		if !w.jobs[i].running {
			out = append(out, Action{StartJob, uint8(i), 0})
			if w.mayInject(FaultJobHandedBack) {
				out = append(out, Action{HandBackJob, uint8(i), 0})
			}
		} else {
			out = append(out, Action{FinishJob, uint8(i), 0})
			if w.mayInject(FaultJobFailed) {
				out = append(out, Action{FailJob, uint8(i), 0})
			}
		}
		if w.mayInject(FaultJobAborted) {
			out = append(out, Action{AbortJob, uint8(i), 0})
		}
	}
	return out
}

func (w *World) startJob(a Action) {
	j := &w.jobs[a.Target]
	j.running = true
	w.recordRun(j.id, j.worker, j.sentAt)
	w.sendCallback(j, scheduler.CallbackStarted)
}

func (w *World) finishJob(a Action) {
	j := w.jobs[a.Target]
	w.requests[j.id].resultsBy.add(j.worker)
	w.sendCallback(&j, scheduler.CallbackDone)
	w.removeJob(int(a.Target))
}

func (w *World) failJob(a Action) {
	w.spendFault(FaultJobFailed)
	w.sendCallback(&w.jobs[a.Target], scheduler.CallbackFailed)
	w.removeJob(int(a.Target))
}

func (w *World) handBackJob(a Action) {
	w.spendFault(FaultJobHandedBack)
	w.sendCallback(&w.jobs[a.Target], scheduler.CallbackHandedBack)
	w.removeJob(int(a.Target))
}

func (w *World) abortJob(a Action) {
	w.spendFault(FaultJobAborted)
	j := &w.jobs[a.Target]
	if !j.running { // a job that is aborted before its start counts as possibly run
		w.recordRun(j.id, j.worker, j.sentAt)
	}
	w.sendCallback(j, scheduler.CallbackAborted)
	w.removeJob(int(a.Target))
}

// sendCallback puts a callback about a job in transit to the scheduler.
func (w *World) sendCallback(j *job, kind scheduler.CallbackKind) {
	w.callbacks = append(w.callbacks, callback{j.id, j.worker, kind})
}

// findJob returns the index of the job of a request that a worker holds, or -1 if the worker holds none.
func (w *World) findJob(id, worker uint8) int {
	for i := range w.jobs {
		if w.jobs[i].id == id && w.jobs[i].worker == worker {
			return i
		}
	}
	return -1
}

func (w *World) removeJob(i int) { w.jobs = append(w.jobs[:i:i], w.jobs[i+1:]...) }

// callbackActions appends the enabled actions of callbacks in transit. Callbacks from an unreachable machine
// stay in transit.
func (w *World) callbackActions(out []Action) []Action {
	for i := range w.callbacks {
		if w.workers[w.callbacks[i].worker].unreachable {
			continue
		}
		out = append(out, Action{DeliverCallback, uint8(i), 0})
		if w.mayInject(FaultDuplicateCallback) {
			out = append(out, Action{DuplicateCallback, uint8(i), 0})
		}
		if w.mayInject(FaultDroppedCallback) {
			out = append(out, Action{DropCallback, uint8(i), 0})
		}
	}
	return out
}

func (w *World) deliverCallback(a Action) {
	c := w.callbacks[a.Target]
	w.removeCallback(int(a.Target))
	w.receiveCallback(c)
}

func (w *World) duplicateCallback(a Action) {
	w.spendFault(FaultDuplicateCallback)
	w.receiveCallback(w.callbacks[a.Target])
}

func (w *World) dropCallback(a Action) {
	w.spendFault(FaultDroppedCallback)
	w.removeCallback(int(a.Target))
}

// receiveCallback passes a callback to the scheduler. A result contains the id of its request and the UID of
// its worker, which checkAnswerContent compares.
func (w *World) receiveCallback(c callback) {
	e := scheduler.Callback{RequestID: w.requestID(c.id), WorkerUID: workerUID(c.worker), Kind: c.kind}
	if c.kind == scheduler.CallbackDone {
		e.Result = []byte(w.requestID(c.id) + resultSeparator + workerUID(c.worker))
	}
	w.step(e)
}

// resultSeparator separates the id of the request from the UID of the worker in a result.
const resultSeparator = " by "

func (w *World) removeCallback(i int) { w.callbacks = append(w.callbacks[:i:i], w.callbacks[i+1:]...) }
