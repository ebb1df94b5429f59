package node

import "time"

// beginDrain closes each client connection once its jobs are answered. The drain ends when no client is
// connected, or at the time by. The drain includes connections that wait in the listener's queue: the
// acceptor closes the listener only when that queue is empty.
func (n *Node) beginDrain(by time.Time) {
	if n.drainDeadline != nil {
		return
	}
	drainDeadline, clientsDrained := make(chan struct{}), make(chan struct{})
	n.drainDeadline, n.clientsDrained = drainDeadline, clientsDrained
	time.AfterFunc(time.Until(by), func() { close(drainDeadline) })
	n.closingListener.Store(true)
	// SetDeadline wakes the acceptor; the call fails only if the listener is closed.
	_ = n.listener.SetDeadline(time.Now())
	for c := range n.clients {
		c.closeWhenIdle()
	}
	go func() {
		n.serving.Wait()
		close(clientsDrained)
	}()
}

// close releases the listener, the watch and all connections. Before that it waits, until the drain deadline,
// for client connections to write the answers that they have received from the scheduler.
func (n *Node) close() {
	n.beginDrain(time.Now().Add(abortDrainTimeout))
	if n.clientsDrained != nil {
		select {
		case <-n.clientsDrained:
		case <-n.drainDeadline:
		}
	}
	n.cancel()
	n.listener.Close()
	n.log.Info("stopped")
}
