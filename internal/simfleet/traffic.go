package simfleet

import (
	"net"
	"sync/atomic"
)

// traffic counts the bytes that schedulers receive (in) and send (out).
type traffic struct{ in, out atomic.Int64 }

// countedConn is the simulated end of a connection to a scheduler, and counts the bytes of the connection.
type countedConn struct {
	net.Conn
	*traffic
}

// Read reads from the connection and counts the bytes as sent by the scheduler.
func (c countedConn) Read(b []byte) (n int, err error) {
	n, err = c.Conn.Read(b)
	c.out.Add(int64(n))
	return n, err
}

// Write writes to the connection and counts the bytes as received by the scheduler.
func (c countedConn) Write(b []byte) (n int, err error) {
	n, err = c.Conn.Write(b)
	c.in.Add(int64(n))
	return n, err
}
