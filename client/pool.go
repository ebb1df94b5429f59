package client

import (
	"context"
	"errors"
	"math"
	"math/rand/v2"
	"net"
	"net/url"
	"strconv"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"dahliaford/client/internal/plan"
	"dahliaford/internal/http1"
)

// conn is a connection to a scheduler. It belongs to one try at a time, or to the pool.
type conn struct {
	net.Conn
	reader    *http1.Reader
	reused    bool // it has carried a whole exchange before
	closing   bool // the scheduler closes it after this answer
	idleSince time.Time
}

// idleTimeout is how long an idle connection is used again. The front's side may close one at
// any time, and a request that crosses the close may not be repeated by every class.
const idleTimeout = 10 * time.Second

// pool keeps the connections that idle, by scheduler, and bounds and paces new ones.
type pool struct {
	addrs          []string
	slots          []chan struct{} // one taken for each connection of a scheduler that is in use
	connectLimiter *rate.Limiter

	onConnect func(i int, err error) // is told of each new connection

	mu          sync.Mutex
	idle        [][]*conn
	lastFailure time.Time // when one last broke, or did not come up
	closed      bool
}

const (
	// connectTimeout is the longest that a new connection may take: a scheduler that is cut
	// off must leave time for another one.
	connectTimeout = time.Second
	// reconnectSpread is how far connections that replace lost ones are spread: all desks
	// lose theirs at the same moment.
	reconnectSpread = 300 * time.Millisecond
	// reconnectWindow is how long after a loss new connections are spread.
	reconnectWindow = 2 * time.Second
)

// limitError marks what a desk's own bounds did not let come about in time.
type limitError struct{ error }

func (e limitError) Unwrap() error { return e.error }

var errIdleClosed = errors.New("the scheduler had closed its kept connections")

func newPool(addrs []string, maxConnections int, perSecond float64, opened func(int, error)) *pool {
	p := &pool{addrs: addrs, idle: make([][]*conn, len(addrs)),
		onConnect: opened, connectLimiter: rate.NewLimiter(rate.Limit(perSecond), max(1, int(math.Ceil(perSecond/5))))}
	for range addrs {
		p.slots = append(p.slots, make(chan struct{}, maxConnections))
	}
	return p
}

// get takes a connection that idles, or opens one when the pace allows.
func (p *pool) get(ctx context.Context, i int) (*conn, error) {
	select {
	case p.slots[i] <- struct{}{}:
	case <-ctx.Done():
		return nil, limitError{ctx.Err()}
	}
	c, closed := p.takeIdle(i)
	if c != nil {
		return c, nil
	}
	if closed {
		<-p.slots[i]
		return nil, errIdleClosed
	}
	inner, err := p.open(ctx, i)
	if err != nil {
		<-p.slots[i]
		return nil, err
	}
	return &conn{Conn: inner, reader: http1.NewReader(inner)}, nil
}

// open opens a connection when the pace allows.
func (p *pool) open(ctx context.Context, i int) (net.Conn, error) {
	if err := p.connectLimiter.Wait(ctx); err != nil {
		return nil, limitError{err}
	}
	p.mu.Lock()
	loss := p.lastFailure
	p.mu.Unlock()
	if time.Since(loss) < reconnectWindow {
		if err := sleepUntil(ctx, time.Now().Add(rand.N(reconnectSpread)), nil); err != nil {
			return nil, limitError{err}
		}
	}
	dialer := net.Dialer{Deadline: time.Now().Add(connectTimeout)}
	c, err := dialer.DialContext(ctx, "tcp", p.addrs[i])
	p.onConnect(i, err)
	if err != nil {
		p.noteFailure()
	}
	return c, err
}

// noteFailure notes that a connection was lost, or did not come up.
func (p *pool) noteFailure() {
	p.mu.Lock()
	p.lastFailure = time.Now()
	p.mu.Unlock()
}

// takeIdle takes the connection that has idled the shortest and is still there; what is older
// than allowed is closed. ended tells that there were some, and the scheduler closed them.
func (p *pool) takeIdle(i int) (c *conn, closed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for n := len(p.idle[i]); n > 0; n-- {
		c := p.idle[i][n-1]
		p.idle[i] = p.idle[i][:n-1]
		if time.Since(c.idleSince) <= idleTimeout {
			if alive(c.Conn) {
				c.SetDeadline(time.Time{}) // of the last try, which a cancelled caller may have cut
				return c, false
			}
			closed = true
		}
		c.Close()
	}
	return nil, closed
}

// put gives a connection back: to be used again, or to be closed.
func (p *pool) put(i int, c *conn, reusable bool) {
	p.mu.Lock()
	if reusable = reusable && !p.closed; reusable {
		c.reused, c.idleSince = true, time.Now()
		p.idle[i] = append(p.idle[i], c)
	}
	p.mu.Unlock()
	if !reusable {
		c.Close()
	}
	<-p.slots[i]
}

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

// attemptResult is the end of a try.
type attemptResult struct {
	plan.AttemptResult
	body []byte
	err  error
}

// failedAttempt is a try that ended without an answer.
func failedAttempt(proof plan.Outcome, err error) attemptResult {
	return attemptResult{AttemptResult: plan.AttemptResult{Outcome: proof}, err: err}
}

// submitted tells whether a scheduler had any of the job.
func (o attemptResult) submitted() bool {
	return o.Outcome != plan.ConnectFailed && o.Outcome != plan.IdleClosed && o.Outcome != plan.ClientLimited
}

// attempt makes one try, and says what its end proves.
func (c *Client) attempt(ctx context.Context, job *Job, step plan.Step, deadline time.Time) attemptResult {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	connection, err := c.pool.get(ctx, step.Scheduler)
	var room limitError
	switch {
	case errors.As(err, &room):
		return failedAttempt(plan.ClientLimited, err)
	case err == errIdleClosed:
		return failedAttempt(plan.IdleClosed, err)
	case err != nil:
		return failedAttempt(plan.ConnectFailed, err)
	}
	reusable := false
	defer func() { c.pool.put(step.Scheduler, connection, reusable) }()
	// A cancelled caller closes the connection at once: that is how a scheduler is told.
	defer context.AfterFunc(ctx, func() { connection.SetDeadline(time.Now()) })()
	connection.SetDeadline(deadline)
	remaining := time.Until(deadline).Milliseconds()
	if remaining <= 0 {
		return failedAttempt(plan.ClientLimited, context.DeadlineExceeded)
	}
	if _, err := connection.Write(c.request(job, step, remaining)); err != nil { // it is out whole, or not
		c.pool.noteFailure()
		return failedAttempt(plan.NotSent, err)
	}
	o := connection.readResponse()
	if o.Outcome != plan.Answered {
		c.pool.noteFailure()
	}
	reusable = o.Outcome == plan.Answered && !connection.closing
	return o
}

func (c *Client) request(job *Job, step plan.Step, remainingMs int64) []byte {
	id := newID()
	object, tenant, resent, labels := job.Object, job.Tenant, "", ""
	if object == "" {
		object = id
	}
	if tenant == "" {
		tenant = c.cfg.Tenant
	}
	if step.Retry {
		resent = "1"
	}
	if job.Slots > 1 {
		labels = "slots=" + strconv.Itoa(job.Slots)
	}
	return http1.AppendRequest(nil, "POST", "/"+url.PathEscape(job.Class)+"/"+url.PathEscape(object),
		[]http1.Field{
			{Name: "Host", Value: c.cfg.Schedulers[step.Scheduler]}, {Name: "X-Txn", Value: id},
			{Name: "X-Lane", Value: job.Class}, {Name: "X-Org", Value: tenant},
			{Name: "X-Remaining-Ms", Value: strconv.FormatInt(remainingMs, 10)}, {Name: "X-Resent", Value: resent},
			{Name: "X-Labels", Value: labels}, {Name: "Idempotency-Key", Value: job.Key}}, job.Body)
}

// maxInterim is how many interim answers a scheduler may send before the final one.
const maxInterim = 8

// readResponse reads the answer to a request that is out. Only an answer that is whole and says
// how long it is counts as one.
func (c *conn) readResponse() attemptResult {
	if err := c.reader.Wait(); err != nil {
		var timeout net.Error
		if c.reused && !(errors.As(err, &timeout) && timeout.Timeout()) {
			return failedAttempt(plan.ReusedClosed, err)
		}
		return failedAttempt(plan.NoResponse, err)
	}
	for range maxInterim {
		r, err := c.reader.Head()
		switch {
		case err != nil:
			return readFailure(err)
		case r.Status < 200:
			continue
		case r.Header.Get("Content-Length") == "" && r.Header.Get("Transfer-Encoding") == "" && r.Status != 204:
			return failedAttempt(plan.Malformed, errors.New("an answer that does not say how long it is"))
		}
		if err := c.reader.Rest(r); err != nil {
			return readFailure(err)
		}
		c.closing = r.Close
		o := attemptResult{AttemptResult: plan.AttemptResult{Outcome: plan.Answered, Status: r.Status, ConnectionClose: r.Close}, body: r.Body}
		o.RetryAfter, o.HasRetryAfter = parseRetryAfter(r.Header.Get("Retry-After"))
		return o
	}
	return failedAttempt(plan.Malformed, errors.New("interim answers without end"))
}

// readFailure tells an answer that breaks the protocol from one that broke off.
func readFailure(err error) attemptResult {
	var protocolError *http1.Error
	if errors.As(err, &protocolError) {
		return failedAttempt(plan.Malformed, err)
	}
	return failedAttempt(plan.NoResponse, err)
}

// parseRetryAfter reads Retry-After: seconds, whole or decimal. A date, or what is no number, is
// taken for no advice.
func parseRetryAfter(text string) (time.Duration, bool) {
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil || !(seconds >= 0) {
		return 0, false
	}
	if seconds > plan.MaxRetryAfter.Seconds() {
		return plan.MaxRetryAfter, true
	}
	return time.Duration(seconds * float64(time.Second)), true
}
