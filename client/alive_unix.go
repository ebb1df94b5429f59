//go:build unix

package client

import (
	"errors"
	"net"
	"syscall"
)

// alive reports whether an idle connection can still be used: the client has received neither the scheduler's
// close nor an unexpected byte on the connection. A close that the scheduler sends at the same time as the
// client's next request cannot be detected.
func alive(c net.Conn) bool {
	raw, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	socket, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	nothingToRead := false
	err = socket.Read(func(fd uintptr) bool {
		var next [1]byte
		_, _, err := syscall.Recvfrom(int(fd), next[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		nothingToRead = errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EWOULDBLOCK)
		return true // the result false would make Read wait until the socket is readable
	})
	return err == nil && nothingToRead
}
