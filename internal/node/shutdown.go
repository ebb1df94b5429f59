package node

import "time"

// beginDrain closes all client connections once they have their answers; the drain ends at the given time
// at the latest. Connections that the system has accepted by now are included: the acceptor closes the
// listener once its queue is empty.
func (n *Node) beginDrain(by time.Time) {
	if n.drainDeadline != nil {
		return
	}
	drainDeadline, clientsDrained := make(chan struct{}), make(chan struct{})
	n.drainDeadline, n.clientsDrained = drainDeadline, clientsDrained
	time.AfterFunc(time.Until(by), func() { close(drainDeadline) })
	n.closingListener.Store(true)
	_ = n.listener.SetDeadline(time.Now()) // wakes the acceptor; it fails only if the listener is closed
	for c := range n.clients {
		c.closeWhenIdle()
	}
	go func() {
		n.serving.Wait()
		close(clientsDrained)
	}()
}

// close releases the listener, the watch and all connections. The connections first have until the drain
// deadline to write the answers that they have.
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
