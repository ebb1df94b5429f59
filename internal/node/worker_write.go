package node

import (
	"errors"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"
)

// The reasons why a request to a worker (an exchange: an attempt or the cancellation of an attempt) is not
// written, in addition to the reasons of the freshness guard.
var (
	errCancelled    = errors.New("the request to the worker was cancelled before its first byte was sent")
	errDisconnected = errors.New("the client has disconnected")
)

// atomicWriteState resolves the race between the event loop, which may cancel an exchange (an attempt or a
// cancellation that is sent to a worker), and the writer of the exchange: whichever of cancel and begin is
// called first succeeds, and the other one fails.
type atomicWriteState struct{ state atomic.Int32 }

const (
	writePending int32 = iota
	writeBegun
	// writeCancelled means that no byte of the request to the worker has been sent or will be sent.
	writeCancelled
)

func (s *atomicWriteState) reset()       { s.state.Store(writePending) }
func (s *atomicWriteState) begin() bool  { return s.state.CompareAndSwap(writePending, writeBegun) }
func (s *atomicWriteState) cancel() bool { return s.state.CompareAndSwap(writePending, writeCancelled) }

// write sends the request of an exchange: an attempt or a cancellation.
func (c *workerConn) write(conn net.Conn, e *exchange) error {
	conn.SetWriteDeadline(c.node.timeOf(e.writeBy))
	if e.payload != nil {
		return c.writeAttempt(conn, e)
	}
	if !c.beginWrite() {
		return errCancelled
	}
	request, _ := e.encode(c.node.now(), c.addr) // A cancellation has no body.
	_, err := conn.Write(request)
	return err
}

// writeAttempt sends an attempt. It asks the freshness guard inside the write call, when the socket accepts
// data, and asks again each time until the first byte has been sent. While the guard reports
// errUpdatePending, writeAttempt waits for the update of the worker list to be applied.
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
			// The close must discard the part of the request that is still in the send buffer.
			c.discardUnsent.Store(true)
			return w.blockReason
		case errors.Is(w.blockReason, errUpdatePending) || errors.Is(w.blockReason, errDisconnected):
			// The event loop is about to process the update or the disconnect, and cancels the attempt if necessary.
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

// attemptWriter holds the progress of writing one attempt to its connection.
type attemptWriter struct {
	conn     *workerConn
	exchange *exchange
	// unsent are the bytes to write next, and rest those after them. They are encoded when the socket accepts
	// the first byte.
	unsent, rest []byte
	sent         int   // sent counts the bytes of the request that the socket has accepted.
	blockReason  error // blockReason is the reason why nothing may be written now, or nil.
	err          error // err is the error of the last write call.
}

// writeReady writes as many bytes as the socket accepts. syscall.RawConn.Write calls writeReady, and calls it
// again when the socket accepts more if it has returned false.
func (w *attemptWriter) writeReady(fd uintptr) (done bool) {
	for {
		if w.sent == 0 {
			// The request states the client's remaining time, so it is encoded after any wait for an update. It is
			// encoded before the check, so that the write follows the check at once.
			w.unsent, w.rest = w.exchange.encode(w.conn.node.now(), w.conn.addr)
		}
		if w.blockReason = w.checkAllowed(); w.blockReason != nil {
			return true
		}
		var sent int
		if sent, w.err = writeSocket(fd, w.unsent); errors.Is(w.err, syscall.EAGAIN) {
			return false
		}
		w.sent += sent
		w.unsent = w.unsent[sent:]
		switch {
		case w.err != nil:
			return true
		case len(w.unsent) > 0:
			return false
		case len(w.rest) == 0:
			return true
		}
		w.unsent, w.rest = w.rest, nil
	}
}

// checkAllowed returns the reason why nothing may be written now, or nil. A worker runs an attempt only after
// it has read the whole request, so a disconnect of the client stops the attempt until its last byte is sent.
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
	case e.payload.clientLeft() || c.discardUnsent.Load():
		return errDisconnected
	case !c.holdsResponseOrder && !c.beginWrite():
		return errCancelled
	}
	return nil
}

// beginWrite marks the exchange (attempt or cancellation) as begun and acquires responseOrder. It returns
// false, without the mutex, if the event loop has cancelled the exchange.
func (c *workerConn) beginWrite() bool {
	c.responseOrder.Lock()
	if c.holdsResponseOrder = c.writeState.begin(); !c.holdsResponseOrder {
		c.responseOrder.Unlock()
	}
	return c.holdsResponseOrder
}

// releaseResponseOrder unlocks responseOrder, so that the reader can post responses again. The writer calls
// it when the writeEnded of the exchange is in the inbox, or when no writeEnded follows.
func (c *workerConn) releaseResponseOrder() {
	if c.holdsResponseOrder {
		c.holdsResponseOrder = false
		c.responseOrder.Unlock()
	}
}
