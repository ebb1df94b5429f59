package node

import (
	"dahliaford/internal/dispatch"
	"dahliaford/internal/scheduler"
)

// sendAttempt starts an attempt on a connection to its worker.
func (n *Node) sendAttempt(s scheduler.SendAttempt) {
	c, ok := n.assign(s.Addr, exchange{attempt: s.Attempt, requestID: s.RequestID, workerUID: s.WorkerUID,
		writeBy: s.WriteDeadline, deadline: s.Deadline, payload: s.Payload.(*payload)})
	if !ok {
		n.log.Warn("short on connections: an attempt is not sent", "txn", s.RequestID, "worker", s.WorkerUID)
		n.postAsync(scheduler.AttemptEnded{Attempt: s.Attempt, Outcome: dispatch.ConnectFailed})
		return
	}
	n.attempts[s.Attempt] = c
}

// closeAttemptConn closes the connection of an attempt, or of its cancellation, whatever its state.
func (n *Node) closeAttemptConn(attempt scheduler.AttemptID) {
	c := n.attempts[attempt]
	if c == nil {
		return
	}
	delete(n.attempts, attempt)
	if c.Cancel {
		n.cancellations--
	} else if c.gate.cancel() {
		n.cancelledUnsent = attempt // no worker has it: the cancellation that follows need not be sent
	}
	c.abandoned.Store(true)
	n.drop(c)
}

// cancelUnsent cancels an attempt if nothing of it has been sent.
func (n *Node) cancelUnsent(attempt scheduler.AttemptID) {
	if c := n.attempts[attempt]; c != nil && c.gate.cancel() {
		delete(n.attempts, attempt)
		n.drop(c)
		n.postAsync(scheduler.AttemptEnded{Attempt: attempt, Outcome: dispatch.NotSent})
	}
}

// cancelAttempt sends the cancellation of an attempt to its worker, on a connection of its own.
func (n *Node) cancelAttempt(cancel scheduler.CancelAttempt) {
	if n.cancelledUnsent == cancel.Attempt {
		n.postAsync(scheduler.CancellationResult{Attempt: cancel.Attempt, Acknowledged: true})
		return
	}
	c, ok := n.assign(cancel.Addr, exchange{attempt: cancel.Attempt, requestID: cancel.RequestID,
		writeBy: cancel.Deadline, deadline: cancel.Deadline})
	if !ok {
		n.log.Warn("short on connections: a job is not cancelled", "txn", cancel.RequestID)
		n.postAsync(scheduler.CancellationResult{Attempt: cancel.Attempt})
		return
	}
	n.attempts[cancel.Attempt] = c
	n.cancellations++
}
