package simfleet

import (
	"context"
	"fmt"
	"net"
	"strconv"
	"syscall"

	"golang.org/x/sys/unix"
)

// All workers share one listener, and so do all addresses of discovery: the listener takes whatever
// comes to its port over the loopback device, and the address that was dialled says which worker was
// meant. So thousands of workers have addresses of their own and cost one descriptor, and nothing can
// connect from outside of the machine.

// firstSubnet and lastSubnet bound the second byte of the addresses, 127.64.0.0 to 127.127.255.255,
// which are 2^22.
const (
	firstSubnet = 64
	lastSubnet  = 127
)

// listenLoopback opens such a listener; port 0 is any that is free.
func listenLoopback(port int) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		var bindErr error
		err := c.Control(func(fd uintptr) { bindErr = unix.BindToDevice(int(fd), "lo") })
		if err != nil {
			return err
		}
		return bindErr
	}}
	l, err := config.Listen(context.Background(), "tcp4", ":"+strconv.Itoa(port))
	if err != nil {
		return nil, fmt.Errorf("no listener on the loopback device: %w", err)
	}
	return l, nil
}

func portOf(addr net.Addr) int { return addr.(*net.TCPAddr).Port }

// loopbackAddress is the address with an index, from 0 to 2^22-1, on a port.
func loopbackAddress(index, port int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", firstSubnet+index>>16, index>>8&255, index&255, port)
}

// addressIndex is the inverse of loopbackAddress, for the address that a connection was accepted on. It
// is -1 for any other address.
func addressIndex(conn net.Conn) int {
	addr, ok := conn.LocalAddr().(*net.TCPAddr)
	if !ok {
		return -1
	}
	ip := addr.IP.To4()
	if ip == nil || ip[0] != 127 || ip[1] < firstSubnet || ip[1] > lastSubnet {
		return -1
	}
	return int(ip[1]-firstSubnet)<<16 | int(ip[2])<<8 | int(ip[3])
}
