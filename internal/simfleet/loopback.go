package simfleet

import (
	"context"
	"fmt"
	"net"
	"strconv"
	"sync/atomic"
	"syscall"

	"golang.org/x/sys/unix"
)

// All workers share one listener, and so do all of discovery's addresses: it takes whatever comes
// to its port over the loopback device, and the address that was called says who was meant. So
// thousands of workers have addresses of their own and cost one descriptor, and nothing can come
// from outside of the machine.

// mostAddresses is how many addresses a listener tells apart.
const mostAddresses = 1 << 22

// listenLoopback opens such a listener; port 0 is any that is free.
func listenLoopback(port int) (net.Listener, error) {
	loopback := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		var bound error
		if err := c.Control(func(fd uintptr) { bound = unix.BindToDevice(int(fd), "lo") }); err != nil {
			return err
		}
		return bound
	}}
	l, err := loopback.Listen(context.Background(), "tcp4", ":"+strconv.Itoa(port))
	if err != nil {
		return nil, fmt.Errorf("no listener on the loopback device: %w", err)
	}
	return l, nil
}

func portOf(l net.Listener) int { return l.Addr().(*net.TCPAddr).Port }

// workerAddress is the i-th address of a port: 127.64.0.0 and what follows, as far as 127.127.255.255.
func workerAddress(i, port int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", 64+i>>16, i>>8&255, i&255, port)
}

// addressIndex is the inverse of address, for the near end of a connection; -1: it is none of ours.
func addressIndex(conn net.Conn) int {
	a, ok := conn.LocalAddr().(*net.TCPAddr)
	if !ok {
		return -1
	}
	ip := a.IP.To4()
	if ip == nil || ip[0] != 127 || ip[1] < 64 || ip[1] > 127 {
		return -1
	}
	return int(ip[1]-64)<<16 | int(ip[2])<<8 | int(ip[3])
}

// traffic counts bytes: in to the schedulers, and out of them.
type traffic struct{ in, out atomic.Int64 }

// countedConn is the far end of a scheduler's connection.
type countedConn struct {
	net.Conn
	*traffic
}

func (c countedConn) Read(b []byte) (n int, err error) {
	n, err = c.Conn.Read(b)
	c.out.Add(int64(n))
	return n, err
}

func (c countedConn) Write(b []byte) (n int, err error) {
	n, err = c.Conn.Write(b)
	c.in.Add(int64(n))
	return n, err
}
