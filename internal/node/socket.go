package node

import "syscall"

// readSocketNow reads what a socket has, without waiting.
func readSocketNow(raw syscall.RawConn, b []byte, flags int) (n int, err error) {
	if controlErr := raw.Control(func(fd uintptr) { n, err = readSocket(fd, b, flags) }); controlErr != nil {
		return 0, controlErr
	}
	return n, err
}

// readSocket reads what a socket that never blocks has.
func readSocket(fd uintptr, b []byte, flags int) (n int, err error) {
	for {
		n, _, err = syscall.Recvfrom(int(fd), b, flags|syscall.MSG_DONTWAIT)
		if err != syscall.EINTR {
			return max(n, 0), err
		}
	}
}

// writeSocket writes what a socket that never blocks takes.
func writeSocket(fd uintptr, b []byte) (n int, err error) {
	for {
		if n, err = syscall.Write(int(fd), b); err != syscall.EINTR {
			return max(n, 0), err
		}
	}
}
