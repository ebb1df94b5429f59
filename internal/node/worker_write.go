package node

import (
	"errors"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"
)

// Why an exchange is not written. The freshness guard has more reasons.
var (
	errCancelled    = errors.New("cancelled before anything was sent")
	errDisconnected = errors.New("the client has disconnected")
)

// atomicWriteState decides between the loop, which may cancel an exchange, and its writer: the first one wins.
type atomicWriteState struct{ state atomic.Int32 }

const (
	writePending int32 = iota
	writeBegun
	writeCancelled // nothing of the exchange has been sent, nor will be
)

func (s *atomicWriteState) reset()       { s.state.Store(writePending) }
func (s *atomicWriteState) begin() bool  { return s.state.CompareAndSwap(writePending, writeBegun) }
func (s *atomicWriteState) cancel() bool { return s.state.CompareAndSwap(writePending, writeCancelled) }

// write sends the request of an exchange.
func (c *workerConn) write(conn net.Conn, e *exchange) error {
	conn.SetWriteDeadline(c.node.timeOf(e.writeBy))
	if e.payload != nil {
		return c.writeAttempt(conn, e)
	}
	if !c.beginWrite() {
		return errCancelled
	}
	_, err := conn.Write(e.encode(c.node.now(), c.addr))
	return err
}

// writeAttempt sends an attempt. Whether the freshness guard allows it is checked inside the write call, when
// the first byte can be sent, and again each time until it has been. While an update of the worker list is
// not applied yet, the writer waits for that.
func (c *workerConn) writeAttempt(conn net.Conn, e *exchange) error {
	raw, err := conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return err
	}
	w := attemptWriter{conn: c, exchange: e}
	writeReady := w.writeReady
	for {
		changed := c.node.freshness.nextChange()
		w.blockReason = nil
		waitErr := raw.Write(writeReady)
		switch {
		case errors.Is(w.blockReason, errDisconnected) && w.sent > 0:
			c.discardUnsent.Store(true) // what has been sent ends with the connection
			return w.blockReason
		case errors.Is(w.blockReason, errUpdatePending) || errors.Is(w.blockReason, errDisconnected):
			// The loop learns the same in a moment, and cancels the exchange if need be.
		case w.blockReason != nil:
			return w.blockReason
		case waitErr != nil:
			return waitErr
		default:
			return w.err
		}
		select {
		case <-changed:
		case <-c.ctx.Done():
			return errCancelled
		case <-time.After(time.Until(c.node.timeOf(e.writeBy))):
			if errors.Is(w.blockReason, errDisconnected) {
				return w.blockReason
			}
			return os.ErrDeadlineExceeded
		}
	}
}

// attemptWriter is the progress of writing one attempt.
type attemptWriter struct {
	conn        *workerConn
	exchange    *exchange
	request     []byte // encoded when its first byte can be sent
	sent        int    // bytes of the request
	blockReason error  // why nothing may be written now; nil: nothing blocks it
	err         error  // of the last write
}

// writeReady writes what the socket takes. It is called by syscall.RawConn.Write and returns false to wait
// until the socket takes more.
func (w *attemptWriter) writeReady(fd uintptr) (done bool) {
	if w.blockReason = w.checkAllowed(); w.blockReason != nil {
		return true
	}
	if w.sent == 0 {
		// Not before: the check may have waited for an update, and the worker is told the time that is left.
		w.request = w.exchange.encode(w.conn.node.now(), w.conn.addr)
	}
	var sent int
	if sent, w.err = writeSocket(fd, w.request[w.sent:]); errors.Is(w.err, syscall.EAGAIN) {
		return false
	}
	w.sent += sent
	return w.err != nil || w.sent == len(w.request)
}

// check returns why nothing may be written now. Until the last byte is sent the attempt has not begun, so a
// disconnect stops it at any time.
func (w *attemptWriter) checkAllowed() error {
	c, e := w.conn, w.exchange
	if w.sent == 0 {
		now := c.node.now()
		if err := c.node.freshness.allowSend(e.workerUID, now); err != nil {
			return err
		}
		if now > e.writeBy {
			return os.ErrDeadlineExceeded
		}
	}
	switch {
	case e.payload.disconnected.Load() || c.discardUnsent.Load():
		return errDisconnected
	case !c.holdsResponseOrder && !c.beginWrite():
		return errCancelled
	}
	return nil
}

// beginWrite passes the gate when the first byte can be sent, and acquires responseOrder.
func (c *workerConn) beginWrite() bool {
	c.responseOrder.Lock()
	if c.holdsResponseOrder = c.writeState.begin(); !c.holdsResponseOrder {
		c.responseOrder.Unlock()
	}
	return c.holdsResponseOrder
}

// releaseResponseOrder lets responses pass: writeEnded is in the inbox, or none will be.
func (c *workerConn) releaseResponseOrder() {
	if c.holdsResponseOrder {
		c.holdsResponseOrder = false
		c.responseOrder.Unlock()
	}
}
