package node

import (
	"context"
	"slices"

	"dahliaford/internal/scheduler"
	"dahliaford/internal/settings"
)

// The time for which an idle connection can be reused. A worker's machine may close an idle connection at
// any time, and some machines drop it without notice. A request on such a connection ends as a reset, and a
// job that must not run twice then fails. A new connection costs little compared to a job, but may open
// slowly; so a small fleet reuses connections only briefly. In a large fleet each scheduler sends to few
// workers, and to each of them again within seconds. With a short timeout all schedulers together would open
// a new connection for each job. A large fleet therefore reuses connections for longer, and waits for the
// outcome of a request that was written while the worker closed the connection.
const (
	idleTimeoutSmallFleet = 50 * millisecond
	idleTimeoutLargeFleet = 2000 * millisecond
)

// idleTimeoutOf returns how long an idle connection to a worker can be reused: at most half of the time after
// which the workers' machines close idle connections.
func idleTimeoutOf(set *settings.Settings) scheduler.Micros {
	timeout := idleTimeoutSmallFleet
	if set.Dispatch.LargeFleet() {
		timeout = idleTimeoutLargeFleet
	}
	return min(timeout, set.WorkerIdleTimeout/2)
}

// assign starts an exchange (an attempt or a cancellation) on an idle connection to a worker, or on a new
// connection. A cancellation always gets a new connection. assign returns false if maxWorkerConns connections
// are open.
func (n *Node) assign(addr string, e exchange) (*workerConn, bool) {
	n.dropExpiredIdle()
	if idle := n.idleConns[addr]; len(idle) > 0 && e.payload != nil {
		c := idle[len(idle)-1]
		n.idleConns[addr] = idle[:len(idle)-1]
		c.start(e)
		return c, true
	}
	// From 7/8 of maxWorkerConns on, each new connection drops an idle connection. Closing a connection takes
	// some time, so it would be too late to wait until maxWorkerConns is reached.
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

// addIdle makes a connection available for reuse.
func (n *Node) addIdle(c *workerConn) {
	c.idleSince = n.now()
	n.idleConns[c.addr] = append(n.idleConns[c.addr], c)
}

// removeIdle makes an idle connection unavailable for reuse.
func (n *Node) removeIdle(c *workerConn) {
	n.idleConns[c.addr] = slices.DeleteFunc(n.idleConns[c.addr], func(o *workerConn) bool { return o == c })
}

// drop releases a connection. The connection's goroutine then closes the socket.
func (n *Node) drop(c *workerConn) {
	c.Release()
	c.cancel()
}

// dropOldestIdle drops the connection to a worker that has been idle for the longest time.
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

// dropExpiredIdle drops the connections to workers that have been idle for idleTimeout or longer.
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

// dropIdleTo drops all idle connections to the worker at an address.
func (n *Node) dropIdleTo(addr string) {
	for _, c := range n.idleConns[addr] {
		n.drop(c)
	}
	delete(n.idleConns, addr)
}
