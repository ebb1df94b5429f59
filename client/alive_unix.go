//go:build unix

package client

import (
	"net"
	"syscall"
)

// alive tells whether a connection that idles is still whole as far as this side has heard:
// no end has come, and no byte that nobody asked for. What may cross the next request on its
// way cannot be seen.
func alive(c net.Conn) bool {
	raw, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	fd, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	waiting := false
	err = fd.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		waiting = err == syscall.EAGAIN || err == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && waiting
}
