//go:build unix

package client

import (
	"errors"
	"net"
	"syscall"
)

// alive reports whether an idle connection is still open as far as this side can see: neither its end nor an
// unexpected byte has arrived. A close that crosses the next request on its way cannot be seen.
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
		return true // do not wait for something to read
	})
	return err == nil && nothingToRead
}
