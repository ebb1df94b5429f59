package node

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"

	"dahliaford/internal/scheduler"
)

// watchReader reads a watch's connection, and tells the freshness guard whether updates may have arrived
// there that the event loop has not received.
type watchReader struct {
	guard   *freshnessGuard
	now     func() scheduler.Micros
	rawConn syscall.RawConn

	// The freshness guard's mutex protects the following fields.

	// hasUnposted is true while the data of the last Read may contain an update that has not been posted to the
	// event loop yet.
	hasUnposted bool
	// lastEmptyAt is the latest time at which the socket was found empty while no update that had been read was
	// unposted.
	lastEmptyAt scheduler.Micros
}

// newWatchReader returns a reader of a watch's connection and registers the reader with the freshness guard:
// allowSend rejects attempts while that connection has unread data. The caller must close the reader before
// the connection.
func (g *freshnessGuard) newWatchReader(
	conn net.Conn, now func() scheduler.Micros,
) (*watchReader, error) {
	raw, err := conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return nil, err
	}
	r := &watchReader{guard: g, now: now, rawConn: raw, lastEmptyAt: now()}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.readers[r] = true
	return r, nil
}

// close removes the reader from the freshness guard and wakes the writers that wait to send attempts.
func (r *watchReader) close() {
	r.guard.mu.Lock()
	defer r.guard.mu.Unlock()
	delete(r.guard.readers, r)
	r.guard.notifyChange()
}

// Read reads from the connection. The caller must have posted all complete updates of the previous Read's
// data to the event loop before it calls Read again. When the read deadline has passed, Read still returns
// data that has arrived: a reader that got no processor time finds the expired deadline and an update at the
// same time.
func (r *watchReader) Read(b []byte) (n int, err error) {
	r.markPosted()
	ready := false
	readReady := func(fd uintptr) bool {
		r.guard.mu.Lock()
		defer r.guard.mu.Unlock()
		if n, err = readSocket(fd, b, 0); errors.Is(err, syscall.EAGAIN) {
			r.lastEmptyAt = r.now()
			return false
		}
		ready, r.hasUnposted = true, n > 0
		return true
	}
	if waitErr := r.rawConn.Read(readReady); waitErr != nil {
		if errors.Is(waitErr, os.ErrDeadlineExceeded) {
			// Control fails only on a closed socket, and then ready stays false.
			_ = r.rawConn.Control(func(fd uintptr) { readReady(fd) })
		}
		if !ready {
			return 0, waitErr
		}
	}
	if err == nil && n == 0 {
		err = io.EOF
	}
	return n, err
}

// markPosted records that all updates of the previous Read's data have been posted to the event loop. The
// event loop may have applied these updates already, so markPosted wakes the writers that wait to send
// attempts.
func (r *watchReader) markPosted() {
	r.guard.mu.Lock()
	defer r.guard.mu.Unlock()
	if r.hasUnposted {
		r.hasUnposted = false
		r.guard.notifyChange()
	}
}

// lastEmpty returns the latest time at which the socket was found empty; 0 for a nil reader.
func (r *watchReader) lastEmpty() scheduler.Micros {
	if r == nil {
		return 0
	}
	r.guard.mu.Lock()
	defer r.guard.mu.Unlock()
	return r.lastEmptyAt
}

// checkEmpty reports whether the socket is empty and every update that was read has been posted to the event
// loop. If so, it records the time in lastEmptyAt. The caller holds the guard's mutex.
func (r *watchReader) checkEmpty(now scheduler.Micros) bool {
	if r.hasUnposted || !r.empty() {
		return false
	}
	r.lastEmptyAt = now
	return true
}

// empty reports whether the socket has neither a byte nor the end of the stream to read.
func (r *watchReader) empty() bool {
	var peeked [1]byte
	n, _ := readSocketNow(r.rawConn, peeked[:], syscall.MSG_PEEK)
	return n == 0 // An error counts as empty: discovery cannot write updates to a closed socket.
}
