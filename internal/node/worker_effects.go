package node

import (
	"dahliaford/internal/dispatch"
	"dahliaford/internal/scheduler"
)

func (n *Node) sendAttempt(r scheduler.SendAttempt) {
	l, ok := n.assign(r.Addr, exchange{attempt: r.Attempt, requestID: r.ID, workerUID: r.UID, writeBy: r.WriteBy,
		deadline: r.Deadline, payload: r.Payload.(*payload)})
	if !ok {
		n.log.Warn("short on connections: an attempt is not sent", "txn", r.ID, "worker", r.UID)
		n.postAsync(scheduler.AttemptEnded{Attempt: r.Attempt, Outcome: dispatch.ConnectFailed})
		return
	}
	n.attempts[r.Attempt] = l
}

func (n *Node) closeAttemptConn(attempt scheduler.AttemptID) {
	c := n.attempts[attempt]
	if c == nil {
		return
	}
	delete(n.attempts, attempt)
	if c.Cancel {
		n.cancellations--
	} else if c.writeGate.CompareAndSwap(writePending, writeCancelled) {
		n.cancelledUnsent = attempt // the withdrawal that follows has nobody to tell
	}
	c.abandoned.Store(true)
	n.drop(c)
}

// cancelUnsent keeps back an attempt of which nothing has left yet.
func (n *Node) cancelUnsent(attempt scheduler.AttemptID) {
	if c := n.attempts[attempt]; c != nil && c.writeGate.CompareAndSwap(writePending, writeCancelled) {
		delete(n.attempts, attempt)
		n.drop(c)
		n.postAsync(scheduler.AttemptEnded{Attempt: attempt, Outcome: dispatch.NotSent})
	}
}

func (n *Node) cancelAttempt(w scheduler.CancelAttempt) {
	if n.cancelledUnsent == w.Attempt {
		n.postAsync(scheduler.CancellationResult{Attempt: w.Attempt, Acknowledged: true})
		return
	}
	c, ok := n.assign(w.Addr, exchange{attempt: w.Attempt, requestID: w.ID, writeBy: w.Deadline, deadline: w.Deadline})
	if !ok {
		n.log.Warn("short on connections: a job is not withdrawn", "txn", w.ID)
		n.postAsync(scheduler.CancellationResult{Attempt: w.Attempt})
		return
	}
	n.attempts[w.Attempt] = c
	n.cancellations++
}
