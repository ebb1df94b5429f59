package client

import (
	"context"
	"errors"
	"math"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"dahliaford/internal/http1"
)

// conn is a connection to a scheduler. At any time it is either used by one attempt or idle in the pool.
type conn struct {
	net.Conn
	reader             *http1.Reader
	reused             bool // the connection has carried a complete request and response before
	closeAfterResponse bool // the scheduler announced in its last response that it closes the connection
	idleSince          time.Time
}

// pool keeps the idle connections to each scheduler. It bounds the number of connections in use at each
// scheduler and the rate of new connections to all schedulers.
type pool struct {
	addrs          []string
	semaphores     []chan struct{} // indexed by scheduler; each channel holds an element per connection in use
	connectLimiter *rate.Limiter
	onConnect      func(scheduler int, err error) // called after each dial with the dial's error

	mu          sync.Mutex // guards idle, lastFailure and closed
	idle        [][]*conn  // idle connections by scheduler; the most recently used connection is last
	lastFailure time.Time  // time when a connection last failed or could not be opened
	closed      bool       // close was called, so put closes each connection after its use
}

const (
	// idleTimeout is the time after which an idle connection is no longer reused. The scheduler may close an
	// idle connection at any time. If the close coincides with a new request, the job may have run, and not
	// every class allows a retry then.
	idleTimeout = 10 * time.Second
	// connectTimeout bounds the time for opening a connection, so that after an unreachable scheduler there is
	// still time to try another scheduler.
	connectTimeout = time.Second
	// reconnectJitter is the upper end of the random delay before a client opens a new connection after a
	// connection failed. All clients lose their connections to a failed scheduler at the same moment and must
	// not all reconnect at once.
	reconnectJitter = 300 * time.Millisecond
	// reconnectWindow is the time after a failed connection during which new connections are delayed by
	// reconnectJitter.
	reconnectWindow = 2 * time.Second
	// connectBurstDivisor determines how many connections may be opened in one burst: the number that the rate
	// limit allows in one second, divided by connectBurstDivisor.
	connectBurstDivisor = 5
)

// clientLimitError reports that the client's own limits on connections did not allow a connection by the
// write deadline of an attempt.
type clientLimitError struct{ error }

// Unwrap returns the error with which the wait for a connection ended.
func (e clientLimitError) Unwrap() error { return e.error }

var errIdleClosed = errors.New("scheduler closed all idle connections")

// newPool returns a pool for the schedulers at addrs. connectRate is the maximum number of new connections
// per second.
func newPool(addrs []string, maxConnections int, connectRate float64, onConnect func(int, error)) *pool {
	burst := max(1, int(math.Ceil(connectRate/connectBurstDivisor)))
	p := &pool{
		addrs:          addrs,
		idle:           make([][]*conn, len(addrs)),
		onConnect:      onConnect,
		connectLimiter: rate.NewLimiter(rate.Limit(connectRate), burst),
	}
	for range addrs {
		p.semaphores = append(p.semaphores, make(chan struct{}, maxConnections))
	}
	return p
}

// get returns an idle connection to a scheduler, or opens a new connection when the limits allow. The error
// is a clientLimitError if the limits allowed no connection before ctx ended or the write deadline passed,
// errIdleClosed if the scheduler had closed all idle connections, or the error of the dial.
//
// The dial itself lasts until ctx ends or for connectTimeout, even beyond the write deadline: a dial that is
// given up earlier would count as a failure of the scheduler. So the caller has to compare the time with the
// write deadline again.
func (p *pool) get(ctx context.Context, scheduler int, writeDeadline time.Time) (*conn, error) {
	waitCtx, cancel := context.WithDeadlineCause(ctx, writeDeadline, errWriteDeadline)
	defer cancel()
	select {
	case p.semaphores[scheduler] <- struct{}{}:
	case <-waitCtx.Done():
		return nil, clientLimitError{context.Cause(waitCtx)}
	}
	c, closed := p.takeIdle(scheduler)
	if c != nil {
		return c, nil
	}
	if closed {
		<-p.semaphores[scheduler]
		return nil, errIdleClosed
	}
	opened, err := p.open(ctx, waitCtx, scheduler)
	if err != nil {
		<-p.semaphores[scheduler]
		return nil, err
	}
	return &conn{Conn: opened, reader: http1.NewReader(opened)}, nil
}

// open opens a connection to a scheduler as soon as the limits on new connections allow. waitCtx bounds the
// wait for the limits, and ctx the dial.
func (p *pool) open(ctx, waitCtx context.Context, scheduler int) (net.Conn, error) {
	if err := p.awaitConnectLimits(waitCtx); err != nil {
		return nil, clientLimitError{err}
	}
	dialer := net.Dialer{Deadline: time.Now().Add(connectTimeout)}
	c, err := dialer.DialContext(ctx, "tcp", p.addrs[scheduler])
	p.onConnect(scheduler, err)
	if err != nil {
		p.recordFailure()
	}
	return c, err
}

// awaitConnectLimits waits until the rate limit allows a new connection. Within reconnectWindow after a
// connection failure, it waits for a random delay as well.
func (p *pool) awaitConnectLimits(ctx context.Context) error {
	if err := p.connectLimiter.Wait(ctx); err != nil {
		return err
	}
	p.mu.Lock()
	lastFailure := p.lastFailure
	p.mu.Unlock()
	if time.Since(lastFailure) >= reconnectWindow {
		return nil
	}
	if err := sleepUntil(ctx, time.Now().Add(rand.N(reconnectJitter)), nil); err != nil {
		return context.Cause(ctx)
	}
	return nil
}

// recordFailure records the current time as the time of the last failed connection.
func (p *pool) recordFailure() {
	p.mu.Lock()
	p.lastFailure = time.Now()
	p.mu.Unlock()
}

// takeIdle returns the most recently used idle connection to a scheduler that is still open. takeIdle closes
// the connections that were idle for longer than idleTimeout or that the scheduler has closed. If no idle
// connection is left, c is nil, and closed reports whether the scheduler had closed at least one of the
// connections.
func (p *pool) takeIdle(scheduler int) (c *conn, closed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for n := len(p.idle[scheduler]); n > 0; n-- {
		c := p.idle[scheduler][n-1]
		p.idle[scheduler] = p.idle[scheduler][:n-1]
		if time.Since(c.idleSince) <= idleTimeout {
			if alive(c.Conn) {
				c.SetDeadline(time.Time{}) // removes the last attempt's deadline, which a cancellation may have moved
				return c, false
			}
			closed = true
		}
		c.Close()
	}
	return nil, closed
}

// put returns a connection to the pool after an attempt. put keeps the connection as idle if reusable is set
// and the pool is open, and otherwise closes the connection.
func (p *pool) put(scheduler int, c *conn, reusable bool) {
	p.mu.Lock()
	if p.closed {
		reusable = false
	}
	if reusable {
		c.reused, c.idleSince = true, time.Now()
		p.idle[scheduler] = append(p.idle[scheduler], c)
	}
	p.mu.Unlock()
	if !reusable {
		c.Close()
	}
	<-p.semaphores[scheduler]
}

// close closes the idle connections. Connections in use are closed when they are returned to the pool.
func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for i := range p.idle {
		for _, c := range p.idle[i] {
			c.Close()
		}
		p.idle[i] = nil
	}
}
