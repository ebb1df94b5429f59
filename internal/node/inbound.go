package node

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
)

var errReadAheadLimit = errors.New("too much was sent ahead of an answer")

// inbound reads a client's connection. It reads on past a deadline as long as something has come: a
// reader that had no processor time finds both at once, and what the machine has taken must be read.
type inbound struct {
	conn     net.Conn
	rawConn  syscall.RawConn // nil: not a socket
	buffered []byte          // read ahead
}

func newInbound(conn net.Conn) *inbound {
	in := &inbound{conn: conn}
	if s, ok := conn.(syscall.Conn); ok {
		in.rawConn, _ = s.SyscallConn()
	}
	return in
}

func (in *inbound) Read(b []byte) (n int, err error) {
	if len(in.buffered) > 0 {
		n = copy(b, in.buffered)
		if in.buffered = in.buffered[n:]; len(in.buffered) == 0 {
			in.buffered = nil
		}
		return n, nil
	}
	return in.read(b)
}

func (in *inbound) read(b []byte) (n int, err error) {
	if n, err = in.conn.Read(b); n > 0 || in.rawConn == nil || !errors.Is(err, os.ErrDeadlineExceeded) {
		return n, err
	}
	if n, _ = readSocketNow(in.rawConn, b, 0); n > 0 {
		return n, nil
	}
	return 0, err
}

// readAhead reads on until the connection's end, or its deadline, and keeps what comes.
func (in *inbound) readAhead() error {
	for {
		if err := in.buffer(in.read); err != nil {
			return err
		}
	}
}

// checkDisconnected takes in what has come without waiting for more. It tells whether the client has left.
func (in *inbound) checkDisconnected() (err error) {
	if in.rawConn == nil {
		return nil
	}
	at := func(b []byte, flags int) (n int, err error) {
		if n, err = readSocketNow(in.rawConn, b, flags); n == 0 && err == nil {
			err = io.EOF
		}
		return n, err
	}
	var one [1]byte
	if _, err = at(one[:], syscall.MSG_PEEK); err == nil { // seldom: clients wait for their answer
		for err == nil {
			err = in.buffer(func(b []byte) (int, error) { return at(b, 0) })
		}
	}
	if errors.Is(err, syscall.EAGAIN) {
		return nil
	}
	return err
}

func (in *inbound) buffer(read func([]byte) (int, error)) error {
	if len(in.buffered) >= maxReadAhead {
		return errReadAheadLimit
	}
	var b [2 << 10]byte
	n, err := read(b[:])
	in.buffered = append(in.buffered, b[:n]...)
	return err
}
