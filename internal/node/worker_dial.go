package node

import (
	"context"
	"net"
	"os"
	"time"
)

const (
	// hedgeDelayDivisor is the fraction of the time for a dial after which a hedged one is begun beside it.
	hedgeDelayDivisor = 4
	// maxHedgedDials is how many hedged dials may be in progress at once: their descriptors are among the
	// spare ones.
	maxHedgedDials = 8
)

// dialFunc opens a connection by a time.
type dialFunc func(ctx context.Context, addr string, by time.Time) (net.Conn, error)

func dialTCP(ctx context.Context, addr string, by time.Time) (net.Conn, error) {
	d := net.Dialer{Deadline: by, KeepAlive: -1}
	return d.DialContext(ctx, "tcp", addr)
}

// dial opens the connection by a time. On some networks single dials are slow; a hedged one beside such a
// dial usually is not. The connection that is up first is used: nothing is sent on the other one.
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
				continue // the other one may be up
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
