package node

import (
	"errors"
	"net"
	"os"
	"syscall"
	"time"
)

var (
	errCancelled    = errors.New("given up before anything got out")
	errDisconnected = errors.New("its client has left")
)

// write sends an errand. For an attempt the last look at what discovery has told comes with
// the first byte in hand, and again for as long as none has left; a word that is not taken in
// yet is waited for.
func (c *workerConn) write(conn net.Conn, e *exchange) error {
	n := c.node
	conn.SetWriteDeadline(n.timeOf(e.writeBy))
	if e.payload == nil {
		if !c.beginWrite() {
			return errCancelled
		}
		_, err := conn.Write(e.encode(n.now(), c.addr))
		return err
	}
	raw, err := conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return err
	}
	text := e.encode(n.now(), c.addr)
	for {
		changed, held, out := n.freshness.nextChange(), error(nil), 0
		wait := raw.Write(func(fd uintptr) bool {
			if out == 0 {
				now := n.now()
				if held = n.freshness.allowSend(e.workerUID, now); held == nil && now > e.writeBy {
					held = os.ErrDeadlineExceeded
				}
			}
			switch { // until the last byte is out nothing has begun
			case held == nil && (e.payload.disconnected.Load() || c.abandoned.Load()):
				held = errDisconnected
			case held == nil && !c.holdsOrder && !c.beginWrite():
				held = errCancelled
			}
			if held != nil {
				return true
			}
			var sent int
			if sent, err = writeSocket(fd, text[out:]); err == syscall.EAGAIN {
				return false
			}
			out += sent
			return err != nil || out == len(text)
		})
		switch {
		case held == errDisconnected && out > 0:
			c.abandoned.Store(true) // and what has left goes with the connection
			return held
		case held == errUnapplied || held == errDisconnected: // the loop is about to hear the same, and gives it up
		case held != nil:
			return held
		case wait != nil:
			return wait
		default:
			return err
		}
		select {
		case <-changed:
		case <-c.ctx.Done():
			return errCancelled
		case <-time.After(time.Until(n.timeOf(e.writeBy))):
			if held != errDisconnected {
				held = os.ErrDeadlineExceeded
			}
			return held
		}
	}
}

// beginWrite passes the gate with an errand's first byte in hand.
func (c *workerConn) beginWrite() bool {
	c.responseOrder.Lock()
	if c.holdsOrder = c.writeGate.CompareAndSwap(writePending, writeBegun); !c.holdsOrder {
		c.responseOrder.Unlock()
	}
	return c.holdsOrder
}

// releaseOrder lets answers pass: the writer's word is in the inbox, or none will come.
func (c *workerConn) releaseOrder() {
	if c.holdsOrder {
		c.holdsOrder = false
		c.responseOrder.Unlock()
	}
}
