package node

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"

	"dahliaford/internal/scheduler"
)

// watchReader reads a watch's connection and tracks whether updates on it still have to be applied.
type watchReader struct {
	guard   *freshnessGuard
	now     func() scheduler.Micros
	rawConn syscall.RawConn

	// Under the guard's mutex.
	hasUnposted bool             // what was read last may hold an update that is not posted yet
	lastEmptyAt scheduler.Micros // the latest time at which the socket was seen empty
}

// newWatchReader returns a reader of a connection that the guard takes into account. It has to be closed
// before the connection is.
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

// close removes the reader from the guard.
func (r *watchReader) close() {
	r.guard.mu.Lock()
	defer r.guard.mu.Unlock()
	delete(r.guard.readers, r)
	r.guard.notifyChange()
}

// Read is called again when all complete updates that it returned before have been posted. A deadline ends
// it only if nothing has arrived by then: a reader without processor time finds the deadline and an update
// together.
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
			// It fails only on a closed socket; then nothing is ready.
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

// markPosted notes that what was read before has been posted. It may have been applied by now, so writers
// that wait should check again.
func (r *watchReader) markPosted() {
	r.guard.mu.Lock()
	defer r.guard.mu.Unlock()
	if r.hasUnposted {
		r.hasUnposted = false
		r.guard.notifyChange()
	}
}

// lastEmpty returns the latest time at which nothing was left to read; 0 for a nil reader.
func (r *watchReader) lastEmpty() scheduler.Micros {
	if r == nil {
		return 0
	}
	r.guard.mu.Lock()
	defer r.guard.mu.Unlock()
	return r.lastEmptyAt
}

// observe reports whether all that has arrived has been posted, and notes the time if so. The caller holds
// the guard's mutex.
func (r *watchReader) checkEmpty(now scheduler.Micros) bool {
	if r.hasUnposted || !r.empty() {
		return false
	}
	r.lastEmptyAt = now
	return true
}

// empty reports whether nothing has arrived at the socket, neither a byte nor the end of the stream.
func (r *watchReader) empty() bool {
	var peeked [1]byte
	n, _ := readSocketNow(r.rawConn, peeked[:], syscall.MSG_PEEK)
	return n == 0 // also after an error: discovery can write nothing more to a socket that is closed
}
