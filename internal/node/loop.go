package node

import (
	"errors"
	"fmt"
	"log/slog"
	"runtime/debug"
	"time"

	"dahliaford/internal/scheduler"
)

// post sends a message to the loop. It gives up only once the loop has ended.
func (n *Node) post(m any) {
	select {
	case n.inbox <- m:
	case <-n.ctx.Done():
	}
}

// postAsync posts from within the loop, which must not block on its own inbox.
func (n *Node) postAsync(e scheduler.Event) { n.spawn(func() { n.post(e) }) }

// Run serves until a shutdown is complete, or until the scheduler cannot recover from a panic: that is its
// error.
func (n *Node) Run() error {
	n.timer = time.NewTimer(time.Hour)
	defer n.timer.Stop()
	sweep := time.NewTicker(sweepInterval)
	defer sweep.Stop()
	defer n.close()
	err := n.step(scheduler.Started{Discovery: n.cfg.Discovery, CachedList: n.cfg.Known})
	n.log.Info("serving", "name", n.cfg.Name, "listen", n.Addr().String(), "discovery", n.cfg.Discovery,
		"workers", len(n.cfg.Known.Workers))
	if n.cfg.InvalidKnown != nil {
		n.log.Warn("the known worker list has an unusable entry", "why", n.cfg.InvalidKnown)
	}
	n.serving.Add(1) // the acceptor counts, so that no connection is added after the count was 0
	n.spawn(n.accept)
	// The loop goes on until the clients have disconnected: a request that crosses the close of its
	// connection still has to be answered, and nobody else reads the inbox.
	for err == nil && (n.drainDeadline == nil || n.clientsDrained != nil || n.cancellations > 0) {
		select {
		case <-n.drainDeadline:
			return nil
		case <-n.clientsDrained:
			n.clientsDrained = nil
		case m := <-n.inbox:
			err = n.handle(m)
		case <-sweep.C:
			n.dropExpiredIdle()
			n.freshness.observeReaders(n.now())
		case <-n.timer.C:
			n.lag.note(n.now(), n.wakeAt)
			err = n.step(scheduler.TimerFired{})
		}
	}
	return err
}

// handle handles one message of the inbox.
func (n *Node) handle(m any) error {
	switch m := m.(type) {
	case clientOpened:
		if n.clients[m.client] = true; n.drainDeadline != nil {
			m.client.closeWhenIdle()
		}
	case submission:
		return n.onSubmission(m)
	case clientClosed:
		delete(n.clients, m.client)
	case evictionRequest:
		n.evictClients()
	case writeEnded:
		return n.onWriteEnded(m)
	case workerResponse:
		return n.onResponse(m)
	case readEnded:
		return n.onReadEnded(m.conn)
	case workerConnClosed:
		n.openWorkerConns--
	case watchUpdate:
		return n.onWatchUpdate(m)
	case scheduler.ClientDisconnected:
		delete(n.callers, m.Caller) // no answer follows that would do so
		return n.step(m)
	case scheduler.Event:
		return n.step(m)
	case func(): // tests inspect what the loop owns
		m()
	}
	return nil
}

// onSubmission passes a job to the scheduler. The last slots are for callbacks: without those no job that
// runs would end.
func (n *Node) onSubmission(m submission) error {
	n.lag.note(n.now(), m.receivedAt)
	if len(n.callers) >= cap(n.clientSlots)-n.callbackSlots {
		n.log.Warn("short on connections: a job is refused", "txn", m.RequestID)
		m.client.answers <- scheduler.Answer{Verdict: scheduler.Refused, FinalForConnection: true}
		return nil
	}
	n.callers[m.Caller] = m.client
	return n.step(m.Submitted)
}

// maxPanics is how many panics of the decision module the program survives.
const maxPanics = 10

var errTooManyPanics = errors.New("the decision module keeps breaking down")

// step passes one event to the scheduler and executes its effects. After a panic the scheduler recovers;
// too many panics end the program.
func (n *Node) step(e scheduler.Event) error {
	broken := n.reduce(e)
	var err error
	if broken {
		n.effects, err = n.sched.Recover(n.now())
		if n.panics++; n.panics > maxPanics && err == nil {
			err = errTooManyPanics
		}
	}
	for _, effect := range n.effects { // also after a panic, as there are answers among them
		n.execute(effect)
	}
	return err
}

// reduce runs the reducer on one event and reports whether it panicked.
func (n *Node) reduce(e scheduler.Event) (broken bool) {
	defer func() {
		if cause := recover(); cause != nil {
			broken = true
			n.log.Error("the decision module broke down: open requests fail", "panic", fmt.Sprint(cause),
				"event", fmt.Sprintf("%T", e), "open", n.sched.PendingRequests(), "stack", string(debug.Stack()))
		}
	}()
	n.effects = n.sched.Step(n.now(), e, n.effects[:0])
	return false
}

// execute carries out one effect. A failure comes back as an event; an answer never depends on it.
func (n *Node) execute(e scheduler.Effect) {
	switch e := e.(type) {
	case scheduler.SendAttempt:
		n.sendAttempt(e)
	case scheduler.CloseConnection:
		n.closeAttemptConn(e.Attempt)
	case scheduler.CancelUnsent:
		n.cancelUnsent(e.Attempt)
	case scheduler.CancelAttempt:
		n.cancelAttempt(e)
	case scheduler.Answer:
		if c := n.callers[e.Caller]; c != nil {
			delete(n.callers, e.Caller)
			c.answers <- e // it has capacity for the one answer that a caller gets
		}
	case scheduler.SetTimer:
		n.wakeAt = e.At
		n.timer.Reset(time.Until(n.timeOf(e.At)))
	case scheduler.OpenWatch:
		n.openWatch(e)
	case scheduler.StopUsingWorker:
		n.freshness.setDraining(e.UID, true)
		n.dropIdleTo(e.Addr)
	case scheduler.ResumeWorker:
		n.freshness.setDraining(e.UID, false)
	case scheduler.CloseIdleClients:
		n.draining.Store(true)
		for c := range n.clients {
			c.closeWhenIdle()
		}
	case scheduler.Shutdown:
		n.beginDrain(n.timeOf(e.Deadline))
	case scheduler.Log:
		level := slog.LevelInfo
		if e.Warn {
			level = slog.LevelWarn
		}
		n.log.Log(n.ctx, level, e.Text, e.Args...)
	}
}

// spawn runs a goroutine that ends with the node. A panic in it ends what that goroutine serves, not the
// process.
func (n *Node) spawn(f func()) {
	go func() {
		defer n.recoverPanic("a connection broke down")
		f()
	}()
}

// recoverPanic is deferred by a goroutine and logs its panic, if any.
func (n *Node) recoverPanic(what string) {
	if cause := recover(); cause != nil {
		n.log.Error(what, "panic", fmt.Sprint(cause), "stack", string(debug.Stack()))
	}
}
