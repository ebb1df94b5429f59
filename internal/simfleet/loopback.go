package simfleet

import (
	"context"
	"fmt"
	"net"
	"strconv"
	"syscall"

	"golang.org/x/sys/unix"
)

// All workers share one listener, and all addresses of discovery share another. Such a listener is bound to
// the loopback device and accepts connections to its port at any address of 127.0.0.0/8; the address that a
// client dialled identifies the worker or scheduler. So each of thousands of workers has its own address
// without a descriptor of its own, and no client outside of the machine can connect.

// firstSubnet and lastSubnet are the least and greatest second byte of the loopback addresses of workers and
// of discovery: the 2^22 addresses from 127.64.0.0 to 127.127.255.255.
const (
	firstSubnet = 64
	lastSubnet  = 127
)

// listenLoopback opens a listener on a port at all addresses of the loopback device. Port 0 selects a free
// port.
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
		return nil, fmt.Errorf("listen on the loopback device: %w", err)
	}
	return l, nil
}

func portOf(addr net.Addr) int { return addr.(*net.TCPAddr).Port }

// loopbackAddress returns the loopback address for an index from 0 to 2^22-1, with a port.
func loopbackAddress(index, port int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", firstSubnet+index>>16, index>>8&255, index&255, port)
}

// addressIndex returns the index, as given to loopbackAddress, of the local address of an accepted
// connection. It returns -1 for an address that loopbackAddress does not generate.
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
