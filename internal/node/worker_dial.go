package node

import (
	"context"
	"net"
	"os"
	"time"
)

const (
	// hedgeDelayDivisor sets when a hedged (second, parallel) dial begins: after 1/hedgeDelayDivisor of the
	// time that the first dial may take.
	hedgeDelayDivisor = 4
	// maxHedgedDials limits the hedged dials in progress, which use some of the reservedDescriptors.
	maxHedgedDials = 8
)

// dialFunc opens a TCP connection to addr. It fails if the connection is not open at the time by.
type dialFunc func(ctx context.Context, addr string, by time.Time) (net.Conn, error)

func dialTCP(ctx context.Context, addr string, by time.Time) (net.Conn, error) {
	d := net.Dialer{Deadline: by, KeepAlive: -1}
	return d.DialContext(ctx, "tcp", addr)
}

// dial opens the connection, or fails at the time by. On some networks single dials are slow, while a second
// dial at the same time usually is not. So dial starts a hedged dial beside a slow one and uses the
// connection that opens first. Nothing is sent on the other connection.
func (c *workerConn) dial(by time.Time) (net.Conn, error) {
	type result struct {
		conn net.Conn
		err  error
	}
	n := c.node
	ctx, cancel := context.WithCancel(c.ctx)
	defer cancel()
	open := dialTCP
	if n.dial != nil {
		open = n.dial
	}
	results, pending := make(chan result, 2), 1
	begin := func(done func()) {
		n.spawn(func() {
			defer done()
			conn, err := open(ctx, c.addr, by)
			results <- result{conn, err}
		})
	}
	begin(func() {})
	hedge := time.NewTimer(time.Until(by) / hedgeDelayDivisor)
	defer hedge.Stop()
	for {
		select {
		case <-hedge.C:
			if n.hedgedDials.Add(1) > maxHedgedDials {
				n.hedgedDials.Add(-1)
			} else {
				pending++
				begin(func() { n.hedgedDials.Add(-1) })
			}
		case r := <-results:
			pending--
			if pending > 0 && os.IsTimeout(r.err) {
				continue // The other of the two dials (the first or the hedged one) may still succeed.
			}
			if pending > 0 {
				n.spawn(func() {
					if late := <-results; late.conn != nil {
						late.conn.Close()
					}
				})
			}
			return r.conn, r.err
		}
	}
}
