package node

import (
	"errors"
	"net"
	"os"
	"runtime"
	"sync/atomic"
	"syscall"

	"dahliaford/internal/http1"
)

// inbound reads a client's connection. When the read deadline has passed, it still returns bytes that have
// arrived: a reader that got no processor time finds the expired deadline and a request at the same time, and
// a request that the operating system has received must be served.
type inbound struct {
	conn     net.Conn
	rawConn  syscall.RawConn // rawConn is nil if conn is not a socket, as in some tests.
	buffered []byte          // buffered holds the bytes that were read ahead.
	// aheadMemory is the memory of buffered, if that is larger than smallReadAhead. The connection's goroutine
	// closes it at the end, even if another goroutine still reads.
	aheadMemory atomic.Pointer[requestMemory]
	memory      *clientMemory
	// request is the memory of the request that is read now.
	request *requestMemory
	// received counts the bytes that have been read of that request, and limit is what they can grow to.
	received, limit int
}

func newInbound(conn net.Conn, memory *clientMemory) *inbound {
	in := &inbound{conn: conn, memory: memory}
	if s, ok := conn.(syscall.Conn); ok {
		// If SyscallConn fails, rawConn stays nil, and an expired read deadline ends readConn even if bytes have
		// arrived.
		in.rawConn, _ = s.SyscallConn()
	}
	return in
}

// beginRequest begins a request. The bytes that are read from now on are covered by the memory that it
// returns.
func (in *inbound) beginRequest(established bool) *requestMemory {
	in.request, in.received, in.limit = in.memory.newRequest(in.conn, established), 0, http1.MaxHeadBytes
	return in.request
}

// bodyBegins tells that the body of the request, of at most length bytes, is read next. Some of it may have
// been received with the head.
func (in *inbound) bodyBegins(length int) { in.limit = in.received + length }

// endRequest ends the reading of a request.
func (in *inbound) endRequest() { in.request = nil }

// Read returns buffered bytes if there are any, and otherwise reads the connection. Within a request it first
// reserves memory for the bytes of the request, and returns an error if there is none.
func (in *inbound) Read(b []byte) (n int, err error) {
	if in.request != nil {
		if err = in.request.cover(in.received, in.limit); err != nil {
			return 0, err
		}
	}
	n, err = in.read(b)
	in.received += n
	if in.received > smallRequestBytes {
		// The bytes of a large request may all have arrived already, so that reading them never blocks.
		runtime.Gosched()
	}
	if err != nil && in.request != nil && in.request.isEvicted() {
		err = errMemoryEvicted // The eviction of the request has ended the read.
	}
	return n, err
}

func (in *inbound) read(b []byte) (n int, err error) {
	if len(in.buffered) == 0 {
		return in.readConn(b)
	}
	n = copy(b, in.buffered)
	if in.buffered = in.buffered[n:]; len(in.buffered) == 0 {
		in.buffered = nil
		in.releaseAhead()
	}
	return n, nil
}

// discard reads and discards at most limit bytes until reading fails.
func (in *inbound) discard(limit int) {
	var b [512]byte
	for limit > 0 {
		n, err := in.conn.Read(b[:])
		if err != nil {
			return
		}
		limit -= n
	}
}

// readConn reads the connection. When the read deadline has passed, it still returns bytes that have arrived.
func (in *inbound) readConn(b []byte) (n int, err error) {
	if n, err = in.conn.Read(b); n > 0 || in.rawConn == nil || !errors.Is(err, os.ErrDeadlineExceeded) {
		return n, err
	}
	if n, _ = readSocketNow(in.rawConn, b, 0); n > 0 { // A read error means that no bytes have arrived.
		return n, nil
	}
	return 0, err
}

// disconnected reports whether the client has closed or reset the connection, even if bytes that it sent
// before are unread. Any goroutine may call it.
func (in *inbound) disconnected() bool {
	if in.rawConn == nil {
		return false
	}
	var peeked [1]byte
	n, err := readSocketNow(in.rawConn, peeked[:], syscall.MSG_PEEK)
	switch {
	case err != nil:
		return !errors.Is(err, syscall.EAGAIN)
	case n == 0:
		return true
	}
	return inputEnded(in.rawConn)
}
