package node

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"

	"dahliaford/internal/scheduler"
)

// watchReader reads a watch's connection and knows whether anything of it waits to be taken in.
type watchReader struct {
	guard    *freshnessGuard
	now      func() scheduler.Micros
	unposted bool // what was read last may hold a word that is not posted yet
	rawConn  syscall.RawConn
	// emptyAt is the latest time at which nothing lay in the socket.
	emptyAt scheduler.Micros
}

// newWatchReader puts a tap on a connection. It has to be closed before the connection is.
func (g *freshnessGuard) newWatchReader(conn net.Conn, now func() scheduler.Micros) (*watchReader, error) {
	raw, err := conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return nil, err
	}
	r := &watchReader{guard: g, now: now, rawConn: raw, emptyAt: now()}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.readers[r] = true
	return r, nil
}

func (r *watchReader) close() {
	r.guard.mu.Lock()
	defer r.guard.mu.Unlock()
	delete(r.guard.readers, r)
	r.guard.notifyChange()
}

// Read is called for more when all whole words of what it returned before have been posted. A
// deadline ends it only if nothing has come by then: a reader without processor time finds the
// deadline and the word together.
func (r *watchReader) Read(b []byte) (n int, err error) {
	r.guard.mu.Lock()
	if r.unposted { // its words may have been dealt with by now: who waits may look again
		r.unposted = false
		r.guard.notifyChange()
	}
	r.guard.mu.Unlock()
	ready := false
	take := func(fd uintptr) bool {
		r.guard.mu.Lock()
		defer r.guard.mu.Unlock()
		if n, err = readSocket(fd, b, 0); err == syscall.EAGAIN {
			r.emptyAt = r.now()
			return false
		}
		ready, r.unposted = true, n > 0
		return true
	}
	if wait := r.rawConn.Read(take); wait != nil {
		if errors.Is(wait, os.ErrDeadlineExceeded) {
			r.rawConn.Control(func(fd uintptr) { take(fd) })
		}
		if !ready {
			return 0, wait
		}
	}
	if err == nil && n == 0 {
		err = io.EOF
	}
	return n, err
}

// lastEmpty is the latest time at which nothing of the watch was left to read.
func (r *watchReader) lastEmpty() scheduler.Micros {
	if r == nil {
		return 0
	}
	r.guard.mu.Lock()
	defer r.guard.mu.Unlock()
	return r.emptyAt
}

// observe tells whether nothing of its watch waits to be taken in, and notes when that was so. The
// lock of told is held.
func (r *watchReader) observe(now scheduler.Micros) bool {
	if r.unposted || !r.empty() {
		return false
	}
	r.emptyAt = now
	return true
}

// empty tells whether nothing lies in the socket: not a byte, nor its end.
func (r *watchReader) empty() bool {
	var one [1]byte
	n, _ := readSocketNow(r.rawConn, one[:], syscall.MSG_PEEK)
	return n == 0 // also once it is closed: discovery can write no more to it
}
