package node

import (
	"time"

	"golang.org/x/time/rate"
)

// A request is unproductive if it is neither a job that is served nor a callback for an open job. A
// connection with many unproductive requests is paced, so that requests at full speed leave the processor to
// others.
const (
	// unproductiveBurst is the number of unproductive requests that a connection may have without a pause.
	unproductiveBurst = 10
	// unproductiveRate is the rate, in requests per second, at which a connection regains them.
	unproductiveRate = 2
	// pacedRate limits the requests per second of all paced connections together.
	pacedRate = 1000
	// pacedBurst is the number of requests that paced connections may have at once.
	pacedBurst = 20
	// maxPause limits a pause. A request that waits in the socket meanwhile must still get its answer in time.
	maxPause = 250 * time.Millisecond
)

// pacer decides on the pauses of one connection.
type pacer struct {
	own    *rate.Limiter // own is nil until the first unproductive request.
	shared *rate.Limiter // shared is the limiter of all connections that exceed their own.
	logged bool          // logged says that the log has a line about the pauses of the connection.
}

func newSharedPace() *rate.Limiter { return rate.NewLimiter(pacedRate, pacedBurst) }

// pauseAfter returns the pause after an unproductive request that ends at the time now.
func (p *pacer) pauseAfter(now time.Time) time.Duration {
	if p.own == nil {
		p.own = rate.NewLimiter(unproductiveRate, unproductiveBurst)
	}
	if p.own.AllowN(now, 1) {
		return 0
	}
	turn := p.shared.ReserveN(now, 1)
	pause := turn.DelayFrom(now)
	if pause > maxPause {
		turn.CancelAt(now)
		return maxPause
	}
	return pause
}

// pace pauses after an unproductive request if the connection has had too many of them. next receives the
// result of waiting for the next request.
func (c *client) pace(next <-chan error) {
	if c.strayCallbacks.Swap(0) > 0 {
		c.unproductive = true
	}
	if !c.unproductive {
		return
	}
	c.unproductive = false
	pause := c.pacer.pauseAfter(time.Now())
	if pause <= 0 {
		return
	}
	if !c.pacer.logged {
		c.pacer.logged = true
		c.node.log.Warn("connection paced: many requests without a result", "from",
			c.conn.RemoteAddr().String())
	}
	began := c.node.now()
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-c.ctx.Done():
	}
	if len(next) > 0 { // The next request may have been complete since the beginning of the pause.
		c.queuedSince = began
	}
}
