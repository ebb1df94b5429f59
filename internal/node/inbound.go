package node

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"

	"dahliaford/internal/http1"
)

// maxReadAhead limits the bytes that a client may send before it has the response to its present request; the
// last read may exceed the limit. Clients should send one request at a time. The node buffers bytes that
// arrive early in order to detect a disconnect behind them.
const maxReadAhead = http1.MaxHeadBytes

// errReadAheadLimit reports that a client exceeded maxReadAhead. Its text is the body of the response.
var errReadAheadLimit = errors.New("too much was sent ahead of an answer")

// inbound reads a client's connection. When the read deadline has passed, it still returns bytes that have
// arrived: a reader that got no processor time finds the expired deadline and a request at the same time, and
// a request that the operating system has received must be served.
type inbound struct {
	conn     net.Conn
	rawConn  syscall.RawConn // rawConn is nil if conn is not a socket, as in some tests.
	buffered []byte          // buffered holds the bytes that were read ahead.
}

func newInbound(conn net.Conn) *inbound {
	in := &inbound{conn: conn}
	if s, ok := conn.(syscall.Conn); ok {
		// If SyscallConn fails, rawConn stays nil, and an expired read deadline ends readConn even if bytes have
		// arrived.
		in.rawConn, _ = s.SyscallConn()
	}
	return in
}

// Read returns buffered bytes if there are any, and otherwise reads the connection.
func (in *inbound) Read(b []byte) (n int, err error) {
	if len(in.buffered) > 0 {
		n = copy(b, in.buffered)
		if in.buffered = in.buffered[n:]; len(in.buffered) == 0 {
			in.buffered = nil
		}
		return n, nil
	}
	return in.readConn(b)
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

// readAhead reads the connection into the buffer until the connection ends, the read deadline passes, or
// maxReadAhead is reached. It returns the error that ended the reading.
func (in *inbound) readAhead() error {
	for {
		if err := in.buffer(in.readConn); err != nil {
			return err
		}
	}
}

// checkDisconnected buffers the bytes that have arrived, without waiting for more. It returns an error if the
// client has disconnected or has exceeded maxReadAhead.
func (in *inbound) checkDisconnected() (err error) {
	if in.rawConn == nil {
		return nil
	}
	readNow := func(b []byte, flags int) (n int, err error) {
		if n, err = readSocketNow(in.rawConn, b, flags); n == 0 && err == nil {
			err = io.EOF
		}
		return n, err
	}
	var peeked [1]byte
	// A byte is rarely found, because clients usually wait for the response before they send again.
	if _, err = readNow(peeked[:], syscall.MSG_PEEK); err == nil {
		for err == nil {
			err = in.buffer(func(b []byte) (int, error) { return readNow(b, 0) })
		}
	}
	if errors.Is(err, syscall.EAGAIN) {
		return nil
	}
	return err
}

// buffer appends the bytes of one read to the buffer. It returns errReadAheadLimit, without reading, if the
// buffer already holds maxReadAhead bytes.
func (in *inbound) buffer(read func([]byte) (int, error)) error {
	if len(in.buffered) >= maxReadAhead {
		return errReadAheadLimit
	}
	var b [2 << 10]byte
	n, err := read(b[:])
	in.buffered = append(in.buffered, b[:n]...)
	return err
}
