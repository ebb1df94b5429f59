package node

import (
	"dahliaford/internal/dispatch"
	"dahliaford/internal/scheduler"
)

// sendAttempt starts an attempt on a connection to the attempt's worker. It reports ConnectFailed to the
// scheduler if the limit of connections to workers is reached.
func (n *Node) sendAttempt(s scheduler.SendAttempt) {
	c, ok := n.assign(s.Addr, exchange{attempt: s.Attempt, requestID: s.RequestID, workerUID: s.WorkerUID,
		writeBy: s.WriteDeadline, deadline: s.Deadline, payload: s.Payload.(*payload)})
	if !ok {
		n.log.Warn("worker connection limit reached; attempt not sent", "txn", s.RequestID, "worker", s.WorkerUID)
		n.postAsync(scheduler.AttemptEnded{Attempt: s.Attempt, Outcome: dispatch.ConnectFailed})
		return
	}
	n.attempts[s.Attempt] = c
}

// closeAttemptConn closes the connection that carries an attempt or its cancellation, and discards data that
// has not been sent.
func (n *Node) closeAttemptConn(attempt scheduler.AttemptID) {
	c := n.attempts[attempt]
	if c == nil {
		return
	}
	delete(n.attempts, attempt)
	if c.Cancel {
		n.cancellations--
	} else if c.writeState.cancel() {
		// No worker has received a byte of the attempt, so a cancellation need not be sent.
		n.lastCancelledUnsent = attempt
	}
	c.discardUnsent.Store(true)
	n.drop(c)
}

// cancelUnsent ends an attempt as NotSent if no byte of the attempt has been sent; otherwise it does nothing.
func (n *Node) cancelUnsent(attempt scheduler.AttemptID) {
	if c := n.attempts[attempt]; c != nil && c.writeState.cancel() {
		delete(n.attempts, attempt)
		n.drop(c)
		n.postAsync(scheduler.AttemptEnded{Attempt: attempt, Outcome: dispatch.NotSent})
	}
}

// cancelAttempt sends the cancellation of an attempt to the attempt's worker, on a new connection. If no byte
// of the attempt was ever sent, it reports the cancellation as acknowledged without sending anything.
func (n *Node) cancelAttempt(cancel scheduler.CancelAttempt) {
	if n.lastCancelledUnsent == cancel.Attempt {
		n.postAsync(scheduler.CancellationResult{Attempt: cancel.Attempt, Acknowledged: true})
		return
	}
	c, ok := n.assign(cancel.Addr, exchange{attempt: cancel.Attempt, requestID: cancel.RequestID,
		writeBy: cancel.Deadline, deadline: cancel.Deadline})
	if !ok {
		n.log.Warn("worker connection limit reached; cancellation not sent", "txn", cancel.RequestID)
		n.postAsync(scheduler.CancellationResult{Attempt: cancel.Attempt})
		return
	}
	n.attempts[cancel.Attempt] = c
	n.cancellations++
}
