package node

import (
	"errors"
	"syscall"
)

// readSocketNow reads what has arrived at a socket, without waiting. Nothing is EAGAIN; 0 bytes without an
// error are the end of the stream.
func readSocketNow(raw syscall.RawConn, b []byte, flags int) (n int, err error) {
	controlErr := raw.Control(func(fd uintptr) { n, err = readSocket(fd, b, flags) })
	if controlErr != nil {
		return 0, controlErr
	}
	return n, err
}

// readSocket is one non-blocking read, repeated if a signal interrupts it.
func readSocket(fd uintptr, b []byte, flags int) (n int, err error) {
	for {
		n, _, err = syscall.Recvfrom(int(fd), b, flags|syscall.MSG_DONTWAIT)
		if !errors.Is(err, syscall.EINTR) {
			return max(n, 0), err
		}
	}
}

// writeSocket is one write to a non-blocking socket, repeated if a signal interrupts it.
func writeSocket(fd uintptr, b []byte) (n int, err error) {
	for {
		if n, err = syscall.Write(int(fd), b); !errors.Is(err, syscall.EINTR) {
			return max(n, 0), err
		}
	}
}
