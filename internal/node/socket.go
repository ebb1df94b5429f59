package node

import (
	"errors"
	"syscall"

	"golang.org/x/sys/unix"
)

// readSocketNow reads the data that has arrived at a socket, without waiting. It returns EAGAIN if there is
// no data, and 0 bytes without an error at the end of the stream.
func readSocketNow(raw syscall.RawConn, b []byte, flags int) (n int, err error) {
	controlErr := raw.Control(func(fd uintptr) { n, err = readSocket(fd, b, flags) })
	if controlErr != nil {
		return 0, controlErr
	}
	return n, err
}

// inputEnded reports whether the peer of a socket has closed or reset its side, even if bytes are unread.
func inputEnded(raw syscall.RawConn) bool {
	return pollNow(raw, unix.POLLRDHUP)&unix.POLLRDHUP != 0
}

// pollNow returns which of the events, or of those that poll(2) reports unasked, a socket has now. It returns
// 0 if the socket is closed.
func pollNow(raw syscall.RawConn, events int16) (revents int16) {
	// If Control fails, the socket is closed, and the next use of it reports that.
	_ = raw.Control(func(fd uintptr) {
		socket := []unix.PollFd{{Fd: int32(fd), Events: events}}
		for {
			_, err := unix.Poll(socket, 0)
			if err == nil {
				revents = socket[0].Revents
			}
			if !errors.Is(err, unix.EINTR) {
				return
			}
		}
	})
	return revents
}

// readSocket performs one non-blocking read and repeats the read if a signal interrupts it.
func readSocket(fd uintptr, b []byte, flags int) (n int, err error) {
	for {
		n, _, err = syscall.Recvfrom(int(fd), b, flags|syscall.MSG_DONTWAIT)
		if !errors.Is(err, syscall.EINTR) {
			return max(n, 0), err
		}
	}
}

// writeSocket performs one write to a non-blocking socket and repeats the write if a signal interrupts it.
func writeSocket(fd uintptr, b []byte) (n int, err error) {
	for {
		if n, err = syscall.Write(int(fd), b); !errors.Is(err, syscall.EINTR) {
			return max(n, 0), err
		}
	}
}
