package node

import (
	"context"
	"slices"

	"dahliaford/internal/scheduler"
	"dahliaford/internal/settings"
)

// How long an idle connection is used again. The workers' machines may close it at any time, and not all of
// them tell: the next request then ends as a reset, and a job that must not run twice is lost. A new
// connection costs little compared to a job, but may come up late. In a large fleet a scheduler has few
// workers and returns to each within seconds; there all schedulers together would open a connection for
// each job, and a close that crosses a request is waited for.
const (
	idleTimeoutSmallFleet = 50 * millisecond
	idleTimeoutLargeFleet = 2000 * millisecond
)

// idleTimeoutOf returns how long an idle connection is used again: at most half of what the workers' machines
// allow.
func idleTimeoutOf(set *settings.Settings) scheduler.Micros {
	timeout := idleTimeoutSmallFleet
	if set.Dispatch.LargeFleet() {
		timeout = idleTimeoutLargeFleet
	}
	return min(timeout, set.WorkerIdleTimeout/2)
}

// assign starts an exchange on an idle connection to a worker, or on a new one: a cancellation always gets a
// new one. It fails when the limit of connections is reached.
func (n *Node) assign(addr string, e exchange) (*workerConn, bool) {
	n.dropExpiredIdle()
	if idle := n.idleConns[addr]; len(idle) > 0 && e.payload != nil {
		c := idle[len(idle)-1]
		n.idleConns[addr] = idle[:len(idle)-1]
		c.start(e)
		return c, true
	}
	// Idle connections are dropped before the limit is reached, as they take a moment to close.
	if n.openWorkerConns >= n.maxWorkerConns-n.maxWorkerConns/8 {
		n.dropOldestIdle()
	}
	if n.openWorkerConns >= n.maxWorkerConns {
		return nil, false
	}
	c := &workerConn{node: n, addr: addr, exchanges: make(chan exchange, 1)}
	c.ctx, c.cancel = context.WithCancel(n.ctx)
	n.openWorkerConns++
	c.start(e)
	n.spawn(c.run)
	return c, true
}

// addIdle makes a connection available for other exchanges.
func (n *Node) addIdle(c *workerConn) {
	c.idleSince = n.now()
	n.idleConns[c.addr] = append(n.idleConns[c.addr], c)
}

// removeIdle removes a connection from the idle ones.
func (n *Node) removeIdle(c *workerConn) {
	n.idleConns[c.addr] = slices.DeleteFunc(n.idleConns[c.addr], func(o *workerConn) bool { return o == c })
}

// drop releases a connection; its goroutine closes it.
func (n *Node) drop(c *workerConn) {
	c.Release()
	c.cancel()
}

// dropOldestIdle drops the connection that has been idle longest.
func (n *Node) dropOldestIdle() {
	var oldest *workerConn
	for _, idle := range n.idleConns {
		if len(idle) > 0 && (oldest == nil || idle[0].idleSince < oldest.idleSince) {
			oldest = idle[0]
		}
	}
	if oldest != nil {
		n.idleConns[oldest.addr] = n.idleConns[oldest.addr][1:]
		n.drop(oldest)
	}
}

// dropExpiredIdle drops connections that have been idle too long to be used again.
func (n *Node) dropExpiredIdle() {
	for addr, idle := range n.idleConns {
		for len(idle) > 0 && n.now()-idle[0].idleSince >= n.idleTimeout {
			n.drop(idle[0])
			idle = idle[1:]
		}
		if n.idleConns[addr] = idle; len(idle) == 0 {
			delete(n.idleConns, addr)
		}
	}
}

// dropIdleTo drops the idle connections to a worker.
func (n *Node) dropIdleTo(addr string) {
	for _, c := range n.idleConns[addr] {
		n.drop(c)
	}
	delete(n.idleConns, addr)
}
