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

// conn is a connection to a scheduler. It belongs to one attempt at a time, or to the pool.
type conn struct {
	net.Conn
	reader             *http1.Reader
	reused             bool // it has carried a complete exchange before
	closeAfterResponse bool // the scheduler closes it after this response
	idleSince          time.Time
}

// pool keeps idle connections by scheduler, and bounds the number and the rate of new ones.
type pool struct {
	addrs          []string
	semaphores     []chan struct{} // by scheduler; one element for each connection in use
	connectLimiter *rate.Limiter
	onConnect      func(scheduler int, err error) // is called after each dial

	mu          sync.Mutex // guards the fields below
	idle        [][]*conn  // by scheduler, the one that was used last at the end
	lastFailure time.Time  // when a connection last failed, or could not be opened
	closed      bool
}

const (
	// idleTimeout is how long an idle connection may be used again. The scheduler may close one at any time,
	// and a request that crosses the close may not be repeated in every class.
	idleTimeout = 10 * time.Second
	// connectTimeout bounds a dial: an unreachable scheduler must leave time to try another one.
	connectTimeout = time.Second
	// reconnectJitter is the range of the random delay of new connections after a failure: all clients lose
	// theirs at the same moment.
	reconnectJitter = 300 * time.Millisecond
	// reconnectWindow is how long after a failure new connections are delayed.
	reconnectWindow = 2 * time.Second
	// connectBurstDivisor is the part of a second's new connections that may be opened at once: one in so many.
	connectBurstDivisor = 5
)

// clientLimitError marks a connection that the client's own limits did not allow in time.
type clientLimitError struct{ error }

// Unwrap returns what the wait for the limit ended with.
func (e clientLimitError) Unwrap() error { return e.error }

var errIdleClosed = errors.New("the scheduler had closed the idle connections")

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

// get takes an idle connection to a scheduler, or opens one as the limits allow. The error is a clientLimitError
// when they did not in time, errIdleClosed, or that of the dial.
func (p *pool) get(ctx context.Context, scheduler int) (*conn, error) {
	select {
	case p.semaphores[scheduler] <- struct{}{}:
	case <-ctx.Done():
		return nil, clientLimitError{ctx.Err()}
	}
	c, closed := p.takeIdle(scheduler)
	if c != nil {
		return c, nil
	}
	if closed {
		<-p.semaphores[scheduler]
		return nil, errIdleClosed
	}
	opened, err := p.open(ctx, scheduler)
	if err != nil {
		<-p.semaphores[scheduler]
		return nil, err
	}
	return &conn{Conn: opened, reader: http1.NewReader(opened)}, nil
}

// open opens a connection when the rate allows it.
func (p *pool) open(ctx context.Context, scheduler int) (net.Conn, error) {
	if err := p.connectLimiter.Wait(ctx); err != nil {
		return nil, clientLimitError{err}
	}
	p.mu.Lock()
	lastFailure := p.lastFailure
	p.mu.Unlock()
	if time.Since(lastFailure) < reconnectWindow {
		if err := sleepUntil(ctx, time.Now().Add(rand.N(reconnectJitter)), nil); err != nil {
			return nil, clientLimitError{err}
		}
	}
	dialer := net.Dialer{Deadline: time.Now().Add(connectTimeout)}
	c, err := dialer.DialContext(ctx, "tcp", p.addrs[scheduler])
	p.onConnect(scheduler, err)
	if err != nil {
		p.recordFailure()
	}
	return c, err
}

// recordFailure records that a connection failed or could not be opened.
func (p *pool) recordFailure() {
	p.mu.Lock()
	p.lastFailure = time.Now()
	p.mu.Unlock()
}

// takeIdle takes the connection that was used last and is still open, and closes those on its way that have
// idled too long or have ended. closed reports that there is none left and that the scheduler closed some.
func (p *pool) takeIdle(scheduler int) (c *conn, closed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for n := len(p.idle[scheduler]); n > 0; n-- {
		c := p.idle[scheduler][n-1]
		p.idle[scheduler] = p.idle[scheduler][:n-1]
		if time.Since(c.idleSince) <= idleTimeout {
			if alive(c.Conn) {
				c.SetDeadline(time.Time{}) // clears the last attempt's, which a cancellation may have shortened
				return c, false
			}
			closed = true
		}
		c.Close()
	}
	return nil, closed
}

// put gives a connection back: to be used again, or to be closed.
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

// close closes the idle connections. Those in use are closed when they are given back.
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
