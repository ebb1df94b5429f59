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
	read  *http1.Reader
	used  bool // it has carried a whole exchange before
	last  bool // the scheduler closes it after this answer
	since time.Time
}

// keptFor is how long an idle connection is used again. The front's side may close one at
// any time, and a request that crosses the close may not be repeated by every class.
const keptFor = 10 * time.Second

// pool keeps the connections that idle, by scheduler, and bounds and paces new ones.
type pool struct {
	addrs []string
	room  []chan struct{} // one taken for each connection of a scheduler that is in use
	pace  *rate.Limiter

	opened func(i int, err error) // is told of each new connection

	mu     sync.Mutex
	idle   [][]*conn
	lost   time.Time // when one last broke, or did not come up
	closed bool
}

const (
	// connectWithin is the longest that a new connection may take: a scheduler that is cut
	// off must leave time for another one.
	connectWithin = time.Second
	// reconnectSpread is how far connections that replace lost ones are spread: all desks
	// lose theirs at the same moment.
	reconnectSpread = 300 * time.Millisecond
	// lossMatters is how long after a loss new connections are spread.
	lossMatters = 2 * time.Second
)

// errNoRoom marks what a desk's own bounds did not let come about in time.
type errNoRoom struct{ error }

func (e errNoRoom) Unwrap() error { return e.error }

var errParted = errors.New("the scheduler had closed its kept connections")

func newPool(addrs []string, most int, perSecond float64, opened func(int, error)) *pool {
	p := &pool{addrs: addrs, idle: make([][]*conn, len(addrs)),
		opened: opened, pace: rate.NewLimiter(rate.Limit(perSecond), max(1, int(math.Ceil(perSecond/5))))}
	for range addrs {
		p.room = append(p.room, make(chan struct{}, most))
	}
	return p
}

// get takes a connection that idles, or opens one when the pace allows.
func (p *pool) get(ctx context.Context, i int) (*conn, error) {
	select {
	case p.room[i] <- struct{}{}:
	case <-ctx.Done():
		return nil, errNoRoom{ctx.Err()}
	}
	c, ended := p.kept(i)
	if c != nil {
		return c, nil
	}
	if ended {
		<-p.room[i]
		return nil, errParted
	}
	inner, err := p.open(ctx, i)
	if err != nil {
		<-p.room[i]
		return nil, err
	}
	return &conn{Conn: inner, read: http1.NewReader(inner)}, nil
}

// open opens a connection when the pace allows.
func (p *pool) open(ctx context.Context, i int) (net.Conn, error) {
	if err := p.pace.Wait(ctx); err != nil {
		return nil, errNoRoom{err}
	}
	p.mu.Lock()
	loss := p.lost
	p.mu.Unlock()
	if time.Since(loss) < lossMatters {
		if err := rest(ctx, time.Now().Add(rand.N(reconnectSpread)), nil); err != nil {
			return nil, errNoRoom{err}
		}
	}
	dialer := net.Dialer{Deadline: time.Now().Add(connectWithin)}
	c, err := dialer.DialContext(ctx, "tcp", p.addrs[i])
	p.opened(i, err)
	if err != nil {
		p.lose()
	}
	return c, err
}

// lose notes that a connection was lost, or did not come up.
func (p *pool) lose() {
	p.mu.Lock()
	p.lost = time.Now()
	p.mu.Unlock()
}

// kept takes the connection that has idled the shortest and is still there; what is older
// than allowed is closed. ended tells that there were some, and the scheduler closed them.
func (p *pool) kept(i int) (c *conn, ended bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for n := len(p.idle[i]); n > 0; n-- {
		c := p.idle[i][n-1]
		p.idle[i] = p.idle[i][:n-1]
		if time.Since(c.since) <= keptFor {
			if alive(c.Conn) {
				c.SetDeadline(time.Time{}) // of the last try, which a cancelled caller may have cut
				return c, false
			}
			ended = true
		}
		c.Close()
	}
	return nil, ended
}

// put gives a connection back: to be used again, or to be closed.
func (p *pool) put(i int, c *conn, again bool) {
	p.mu.Lock()
	if again = again && !p.closed; again {
		c.used, c.since = true, time.Now()
		p.idle[i] = append(p.idle[i], c)
	}
	p.mu.Unlock()
	if !again {
		c.Close()
	}
	<-p.room[i]
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

// outcome is the end of a try.
type outcome struct {
	plan.AttemptResult
	body []byte
	err  error
}

// broke is a try that ended without an answer.
func broke(proof plan.Outcome, err error) outcome {
	return outcome{AttemptResult: plan.AttemptResult{Outcome: proof}, err: err}
}

// handedIn tells whether a scheduler had any of the job.
func (o outcome) handedIn() bool {
	return o.Outcome != plan.ConnectFailed && o.Outcome != plan.IdleClosed && o.Outcome != plan.ClientLimited
}

// try makes one try, and says what its end proves.
func (c *Client) try(ctx context.Context, job *Job, step plan.Step, deadline time.Time) outcome {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	link, err := c.pool.get(ctx, step.Scheduler)
	var room errNoRoom
	switch {
	case errors.As(err, &room):
		return broke(plan.ClientLimited, err)
	case err == errParted:
		return broke(plan.IdleClosed, err)
	case err != nil:
		return broke(plan.ConnectFailed, err)
	}
	again := false
	defer func() { c.pool.put(step.Scheduler, link, again) }()
	// A cancelled caller closes the connection at once: that is how a scheduler is told.
	defer context.AfterFunc(ctx, func() { link.SetDeadline(time.Now()) })()
	link.SetDeadline(deadline)
	left := time.Until(deadline).Milliseconds()
	if left <= 0 {
		return broke(plan.ClientLimited, context.DeadlineExceeded)
	}
	if _, err := link.Write(c.request(job, step, left)); err != nil { // it is out whole, or not
		c.pool.lose()
		return broke(plan.NotSent, err)
	}
	o := link.answer()
	if o.Outcome != plan.Answered {
		c.pool.lose()
	}
	again = o.Outcome == plan.Answered && !link.last
	return o
}

func (c *Client) request(job *Job, step plan.Step, leftMs int64) []byte {
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
			{Name: "X-Remaining-Ms", Value: strconv.FormatInt(leftMs, 10)}, {Name: "X-Resent", Value: resent},
			{Name: "X-Labels", Value: labels}, {Name: "Idempotency-Key", Value: job.Key}}, job.Body)
}

// mostInterim is how many interim answers a scheduler may send before the final one.
const mostInterim = 8

// answer reads the answer to a request that is out. Only an answer that is whole and says
// how long it is counts as one.
func (c *conn) answer() outcome {
	if err := c.read.Wait(); err != nil {
		var timeout net.Error
		if c.used && !(errors.As(err, &timeout) && timeout.Timeout()) {
			return broke(plan.ReusedClosed, err)
		}
		return broke(plan.NoResponse, err)
	}
	for range mostInterim {
		r, err := c.read.Head()
		switch {
		case err != nil:
			return unread(err)
		case r.Status < 200:
			continue
		case r.Header.Get("Content-Length") == "" && r.Header.Get("Transfer-Encoding") == "" && r.Status != 204:
			return broke(plan.Malformed, errors.New("an answer that does not say how long it is"))
		}
		if err := c.read.Rest(r); err != nil {
			return unread(err)
		}
		c.last = r.Close
		o := outcome{AttemptResult: plan.AttemptResult{Outcome: plan.Answered, Status: r.Status, ConnectionClose: r.Close}, body: r.Body}
		o.RetryAfter, o.HasRetryAfter = advice(r.Header.Get("Retry-After"))
		return o
	}
	return broke(plan.Malformed, errors.New("interim answers without end"))
}

// unread tells an answer that breaks the protocol from one that broke off.
func unread(err error) outcome {
	var wrong *http1.Error
	if errors.As(err, &wrong) {
		return broke(plan.Malformed, err)
	}
	return broke(plan.NoResponse, err)
}

// advice reads Retry-After: seconds, whole or decimal. A date, or what is no number, is
// taken for no advice.
func advice(text string) (time.Duration, bool) {
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil || !(seconds >= 0) {
		return 0, false
	}
	if seconds > plan.MaxRetryAfter.Seconds() {
		return plan.MaxRetryAfter, true
	}
	return time.Duration(seconds * float64(time.Second)), true
}
