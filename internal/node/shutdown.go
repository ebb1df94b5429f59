package node

import "time"

// beginDrain asks all clients to go once they have their answers, and says when it is over at
// the latest. Whoever the machine has accepted by then is among them: the listener is closed
// by its acceptor, once nobody is left in its queue.
func (n *Node) beginDrain(by time.Time) {
	if n.drainDeadline != nil {
		return
	}
	drainDeadline, clientsDrained := make(chan struct{}), make(chan struct{})
	n.drainDeadline, n.clientsDrained = drainDeadline, clientsDrained
	time.AfterFunc(time.Until(by), func() { close(drainDeadline) })
	n.closingListener.Store(true)
	n.listener.SetDeadline(time.Now()) // wakes the acceptor
	for c := range n.clients {
		c.closeWhenIdle()
	}
	go func() {
		n.serving.Wait()
		close(clientsDrained)
	}()
}

// close gives everything back: the listener, the watch, and the connections, which
// first get a moment to write what was answered.
func (n *Node) close() {
	if n.beginDrain(time.Now().Add(abortDrainTime)); n.clientsDrained != nil {
		select {
		case <-n.clientsDrained:
		case <-n.drainDeadline:
		}
	}
	n.cancel()
	n.listener.Close()
	n.log.Info("stopped")
}
