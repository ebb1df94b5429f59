package simfleet

import (
	"net"
	"sync/atomic"
)

// traffic counts bytes: into the schedulers, and out of them.
type traffic struct{ in, out atomic.Int64 }

// countedConn counts the bytes of a connection to a scheduler, at its other end.
type countedConn struct {
	net.Conn
	*traffic
}

// Read counts what came out of the scheduler.
func (c countedConn) Read(b []byte) (n int, err error) {
	n, err = c.Conn.Read(b)
	c.out.Add(int64(n))
	return n, err
}

// Write counts what went into the scheduler.
func (c countedConn) Write(b []byte) (n int, err error) {
	n, err = c.Conn.Write(b)
	c.in.Add(int64(n))
	return n, err
}
