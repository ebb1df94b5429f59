package node

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"

	"dahliaford/internal/http1"
)

// maxReadAhead is how many bytes a client may send ahead of a response, beyond what one read returns. One
// request at a time is the rule; what comes early is read so that a disconnect behind it is seen.
const maxReadAhead = http1.MaxHeadBytes

// errReadAheadLimit is reported to the client.
var errReadAheadLimit = errors.New("too much was sent ahead of an answer")

// inbound reads a client's connection. It reads past a deadline if bytes have arrived: a reader that had no
// processor time finds both at once, and what the system has received must be read.
type inbound struct {
	conn     net.Conn
	rawConn  syscall.RawConn // nil: not a socket
	buffered []byte          // read ahead
}

func newInbound(conn net.Conn) *inbound {
	in := &inbound{conn: conn}
	if s, ok := conn.(syscall.Conn); ok {
		in.rawConn, _ = s.SyscallConn() // an error leaves it nil: no read past a deadline
	}
	return in
}

// Read returns what has been read ahead, and then reads the connection.
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

// readConn reads the connection. At a deadline it returns what has arrived, if anything.
func (in *inbound) readConn(b []byte) (n int, err error) {
	if n, err = in.conn.Read(b); n > 0 || in.rawConn == nil || !errors.Is(err, os.ErrDeadlineExceeded) {
		return n, err
	}
	if n, _ = readSocketNow(in.rawConn, b, 0); n > 0 { // its error: nothing has arrived
		return n, nil
	}
	return 0, err
}

// readAhead reads until the connection's end, its deadline, or the limit, and buffers what arrives.
func (in *inbound) readAhead() error {
	for {
		if err := in.buffer(in.readConn); err != nil {
			return err
		}
	}
}

// checkDisconnected buffers what has arrived, without waiting for more. The error says that the client has
// disconnected, or has exceeded the limit.
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
	if _, err = readNow(peeked[:], syscall.MSG_PEEK); err == nil { // rare: clients wait for their response
		for err == nil {
			err = in.buffer(func(b []byte) (int, error) { return readNow(b, 0) })
		}
	}
	if errors.Is(err, syscall.EAGAIN) {
		return nil
	}
	return err
}

// buffer appends the result of one read.
func (in *inbound) buffer(read func([]byte) (int, error)) error {
	if len(in.buffered) >= maxReadAhead {
		return errReadAheadLimit
	}
	var b [2 << 10]byte
	n, err := read(b[:])
	in.buffered = append(in.buffered, b[:n]...)
	return err
}
