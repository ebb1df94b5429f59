package node

import (
	"context"
	"net"
	"os"
	"time"
)

const (
	// hedgeDelayDivisor is the part of the time for a connect after which a second one is begun beside it.
	hedgeDelayDivisor = 4
	// maxHedgedDials is how many second connects may stand at once: their descriptors are among the spare ones.
	maxHedgedDials = 8
)

// dial opens a connection by a time. Single connects come up late on some networks; a second one
// beside such a one mostly does not. Whichever is up first is taken: nothing is sent on the other.
func (c *workerConn) dial(by time.Time) (net.Conn, error) {
	type end struct {
		conn net.Conn
		err  error
	}
	n := c.node
	ctx, release := context.WithCancel(c.ctx)
	defer release()
	open := dialTCP
	if n.dial != nil {
		open = n.dial
	}
	ends, begun := make(chan end, 2), 1
	begin := func(ended func()) {
		n.spawn(func() {
			defer ended()
			conn, err := open(ctx, c.addr, by)
			ends <- end{conn, err}
		})
	}
	begin(func() {})
	second := time.NewTimer(time.Until(by) / hedgeDelayDivisor)
	defer second.Stop()
	for {
		select {
		case <-second.C:
			if n.hedgedDials.Add(1) > maxHedgedDials {
				n.hedgedDials.Add(-1)
			} else {
				begun++
				begin(func() { n.hedgedDials.Add(-1) })
			}
		case e := <-ends:
			if begun--; begun > 0 && os.IsTimeout(e.err) {
				continue // the other one may be up
			}
			if begun > 0 {
				n.spawn(func() {
					if late := <-ends; late.conn != nil {
						late.conn.Close()
					}
				})
			}
			return e.conn, e.err
		}
	}
}

// dialFunc opens a connection by a time.
type dialFunc func(ctx context.Context, addr string, by time.Time) (net.Conn, error)

func dialTCP(ctx context.Context, addr string, by time.Time) (net.Conn, error) {
	d := net.Dialer{Deadline: by, KeepAlive: -1}
	return d.DialContext(ctx, "tcp", addr)
}
