package node

import (
	"errors"
	"fmt"
	"log/slog"
	"runtime/debug"
	"time"

	"dahliaford/internal/scheduler"
)

// post sends a message to the event loop and blocks while the inbox is full. After the loop has ended, post
// discards the message.
func (n *Node) post(m any) {
	select {
	case n.inbox <- m:
	case <-n.ctx.Done():
	}
}

// postAsync sends an event to the event loop from a new goroutine. The loop itself uses it, because the loop
// must not block on its own inbox.
func (n *Node) postAsync(e scheduler.Event) { n.spawn(func() { n.post(e) }) }

// Run serves clients until a shutdown is complete. It returns an error if the scheduler cannot recover from
// a panic, or has panicked more than maxPanics times.
func (n *Node) Run() error {
	n.timer = time.NewTimer(time.Hour)
	defer n.timer.Stop()
	sweep := time.NewTicker(sweepInterval)
	defer sweep.Stop()
	defer n.close()
	err := n.step(scheduler.Started{Discovery: n.cfg.Discovery, CachedList: n.cfg.InitialList})
	n.log.Info("serving", "name", n.cfg.Name, "listen", n.Addr().String(), "discovery", n.cfg.Discovery,
		"workers", len(n.cfg.InitialList.Workers), "client_slots", cap(n.clientSlots),
		"client_memory", n.memory.budget.Limit())
	if n.cfg.InitialListError != nil {
		n.log.Warn("initial worker list has an invalid entry", "why", n.cfg.InitialListError)
	}
	// serving counts the acceptor as well, so that the count cannot reach 0 before the last accept.
	n.serving.Add(1)
	n.spawn(n.accept)
	// During a drain the loop runs until all clients have disconnected: a request can arrive while the node
	// closes the request's connection, and still needs an answer, for which this loop has to read the inbox.
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
			n.freshness.checkReaders(n.now())
		case <-n.timer.C:
			n.lag.record(n.now(), n.wakeAt)
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
	case callbackReceived:
		return n.onCallback(m)
	case callerLeft:
		// The scheduler sends no answer to a disconnected client, so execute would never remove the client's entry.
		delete(n.callers, m.Caller)
		defer m.memory.close()
		return n.step(m.ClientDisconnected)
	case scheduler.Event:
		return n.step(m)
	case func(): // Tests send functions that inspect the loop's state.
		m()
	}
	return nil
}

// onCallback passes a worker's callback to the scheduler.
func (n *Node) onCallback(m callbackReceived) error {
	defer m.memory.close()
	if !n.sched.HasRequest(m.RequestID) {
		m.client.strayCallbacks.Add(1)
	}
	return n.step(m.Callback)
}

// onSubmission passes a job to the scheduler. It refuses the job if clients that wait for an answer hold all
// client slots except those reserved for callbacks: without a slot for callbacks no running job could end.
func (n *Node) onSubmission(m submission) error {
	n.lag.record(n.now(), m.receivedAt)
	if len(n.callers) >= cap(n.clientSlots)-n.callbackSlots {
		n.log.Warn("client connection limit reached; job refused", "txn", m.RequestID)
		m.client.answers <- scheduler.Answer{Verdict: scheduler.Refused, FinalForConnection: true}
		return nil
	}
	n.callers[m.Caller] = m.client
	return n.step(m.Submitted)
}

// maxPanics is the number of panics of the decision module after which the next one ends the program.
const maxPanics = 10

var errTooManyPanics = errors.New("too many panics of the decision module")

// step passes one event to the scheduler and executes the effects that the scheduler returns. After a panic
// step lets the scheduler recover. It returns an error, which ends the program, if the scheduler cannot
// recover or has panicked more than maxPanics times.
func (n *Node) step(e scheduler.Event) error {
	panicked := n.reduce(e)
	var err error
	if panicked {
		n.effects, err = n.sched.Recover(n.now())
		if n.panics++; n.panics > maxPanics && err == nil {
			err = errTooManyPanics
		}
	}
	// The effects that Recover returns contain the answers to all open requests.
	for _, effect := range n.effects {
		n.execute(effect)
	}
	return err
}

// reduce runs the reducer on one event and reports whether it panicked.
func (n *Node) reduce(e scheduler.Event) (panicked bool) {
	defer func() {
		if cause := recover(); cause != nil {
			panicked = true
			n.log.Error("decision module panicked; open requests fail", "panic", fmt.Sprint(cause),
				"event", fmt.Sprintf("%T", e), "open", n.sched.PendingRequests(), "stack", string(debug.Stack()))
		}
	}()
	n.effects = n.sched.Step(n.now(), e, n.effects[:0])
	return false
}

// execute carries out one effect of the scheduler. A failed effect is reported to the scheduler as an event.
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
			// This send does not block: the channel has capacity for the single answer that a caller gets.
			c.answers <- e
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

// spawn runs f in a new goroutine. f must return soon after n.ctx is cancelled. A panic in f is logged and
// ends only that goroutine, not the process.
func (n *Node) spawn(f func()) {
	go func() {
		defer n.recoverPanic("connection goroutine panicked")
		f()
	}()
}

// recoverPanic logs the panic of the calling goroutine, if any, under the message what. Callers defer it.
func (n *Node) recoverPanic(what string) {
	if cause := recover(); cause != nil {
		n.log.Error(what, "panic", fmt.Sprint(cause), "stack", string(debug.Stack()))
	}
}
