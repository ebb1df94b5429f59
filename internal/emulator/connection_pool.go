package emulator

// Limits of a scheduler's connections to workers. Package node uses the same limits.
const (
	// A scheduler closes a connection to a worker that has been idle for the idle timeout. The idle timeout
	// depends on the size of the fleet (see dispatch.Settings.LargeFleet).
	idleTimeoutSmallFleet = 50 * millisecond
	idleTimeoutLargeFleet = 2000 * millisecond
	maxConnections        = (1024 - 32) / 4 // a quarter of 1,024 file descriptors less 32 reserved ones
)

// idleEntry records that a connection became idle at time since. The entry is outdated if the connection has
// been used after that time.
type idleEntry struct {
	conn  *conn
	since Micros
}

// acquireIdle returns the connection to a worker that became idle last, or nil if there is none. Idle
// connections to a worker process that has ended are closed instead of returned, provided that the TCP
// packet that closes the connection has had time to reach the scheduler.
func (n *node) acquireIdle(w *worker) *conn {
	for idle := n.idleConns[w]; len(idle) > 0; idle = n.idleConns[w] {
		c := idle[len(idle)-1]
		n.idleConns[w] = idle[:len(idle)-1]
		if c.incarnation != w.incarnation && !w.unreachable && n.fleet.now >= w.diedAt+2*regionDelay {
			n.closeConn(c)
			continue
		}
		return c
	}
	return nil
}

// acquireConn returns a connection for an attempt. It prefers an idle connection to a new one, and returns
// nil if the scheduler has maxConnections open.
func (n *node) acquireConn(w *worker) *conn {
	n.closeExpired()
	if c := n.acquireIdle(w); c != nil {
		return c
	}
	return n.newConn(w)
}

// acquireNewConn returns a new connection for a cancellation; cancellations never reuse a connection. The
// result is nil if the scheduler has maxConnections open.
func (n *node) acquireNewConn(w *worker) *conn {
	n.closeExpired()
	return n.newConn(w)
}

// newConn returns a new connection, or nil if maxConnections are open. If 7/8 of maxConnections are open,
// newConn first closes the connection that has been idle for longest.
func (n *node) newConn(w *worker) *conn {
	if n.openConns >= maxConnections-maxConnections/8 {
		n.closeOldestIdle()
	}
	if n.openConns >= maxConnections {
		n.fleet.tally.model.NoConnection++
		return nil
	}
	n.openConns++
	return &conn{node: n, worker: w}
}

// addIdle makes a connection available for reuse by another attempt.
func (n *node) addIdle(c *conn) {
	c.idleSince = n.fleet.now
	n.idleConns[c.worker] = append(n.idleConns[c.worker], c)
	n.idleOrder = append(n.idleOrder, idleEntry{c, c.idleSince})
}

func (n *node) idleTimeout() Micros {
	if n.fleet.settings.Dispatch.LargeFleet() {
		return idleTimeoutLargeFleet
	}
	return idleTimeoutSmallFleet
}

// closeExpired closes all connections that have been idle for the idle timeout.
func (n *node) closeExpired() {
	for len(n.idleOrder) > 0 && n.fleet.now-n.idleOrder[0].since >= n.idleTimeout() {
		n.closeOldestIdle()
	}
}

// closeOldestIdle closes the connection that has been idle for longest.
func (n *node) closeOldestIdle() {
	for len(n.idleOrder) > 0 {
		oldest := n.idleOrder[0]
		n.idleOrder = n.idleOrder[1:]
		c := oldest.conn
		if c.Busy || c.Released || c.idleSince != oldest.since {
			continue // The entry of idleOrder is outdated: its connection has been used or closed.
		}
		n.removeIdle(c)
		n.closeConn(c)
		return
	}
}

func (n *node) removeIdle(c *conn) {
	idle := n.idleConns[c.worker]
	for i, o := range idle {
		if o == c {
			idle = append(idle[:i], idle[i+1:]...)
			break
		}
	}
	if n.idleConns[c.worker] = idle; len(idle) == 0 {
		delete(n.idleConns, c.worker)
	}
}

// closeIdleTo closes all idle connections to a worker.
func (n *node) closeIdleTo(w *worker) {
	for _, c := range n.idleConns[w] {
		n.closeConn(c)
	}
	delete(n.idleConns, w)
}

func (n *node) closeConn(c *conn) {
	if !c.closed {
		n.openConns--
	}
	c.Release()
	c.closed = true
}
