package node

import (
	"context"
	"slices"

	"dahliaford/internal/scheduler"
	"dahliaford/internal/settings"
)

// How long a connection that idles is used again. The workers' machines may close it at
// any time, and not all say so: the next request then ends as a reset, and a job that must
// not run twice is lost. A new connection costs little against a job, but may come up late. In a
// large fleet a scheduler has few workers and comes back to each within seconds; there all
// schedulers together would open a connection for each job, and a crossing waits for it.
const (
	idleTimeoutSmallFleet = 50 * millisecond
	idleTimeoutLargeFleet = 2000 * millisecond
)

// idleTimeoutOf is how long a connection that idles is used again, at most half of what its worker's machine
// allows it.
func idleTimeoutOf(set *settings.Settings) scheduler.Micros {
	limit := idleTimeoutSmallFleet
	if set.Dispatch.LargeFleet() {
		limit = idleTimeoutLargeFleet
	}
	return min(limit, set.WorkerIdleTimeout/2)
}

// assign gives an errand to an idle connection to a worker, or to a new one. It
// fails when there is no room for another connection.
func (n *Node) assign(addr string, e exchange) (*workerConn, bool) {
	n.dropExpiredIdle()
	if idle := n.idleConns[addr]; len(idle) > 0 && e.payload != nil {
		c := idle[len(idle)-1]
		n.idleConns[addr] = idle[:len(idle)-1]
		c.start(e)
		return c, true
	}
	if n.openWorkerConns >= n.maxWorkerConns-n.maxWorkerConns/8 { // early, as those let go take a moment to close
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

// drop lets a connection go.
func (n *Node) drop(c *workerConn) {
	c.Release()
	c.cancel()
}

// dropOldestIdle makes room by closing the connection that has idled longest.
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

// dropExpiredIdle lets go connections that have idled too long to be used again.
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

// dropIdleTo closes the idle connections to a worker.
func (n *Node) dropIdleTo(addr string) {
	for _, l := range n.idleConns[addr] {
		n.drop(l)
	}
	delete(n.idleConns, addr)
}

// removeIdle takes a connection from those that idle.
func (n *Node) removeIdle(c *workerConn) {
	n.idleConns[c.addr] = slices.DeleteFunc(n.idleConns[c.addr], func(o *workerConn) bool { return o == c })
}
