package node

import (
	"errors"
	"io"
	"os"
	"strconv"
	"strings"
	"time"

	"dahliaford/internal/dispatch"
	"dahliaford/internal/http1"
	"dahliaford/internal/scheduler"
)

// serveRequest reads a request and answers it. It returns the wait for the next one.
func (c *client) serveRequest() (next <-chan error, keepOpen bool) {
	n := c.node
	if c.rank.Load() > rankNew {
		c.conn.SetReadDeadline(time.Now().Add(requestTimeout))
	}
	r, err := c.reader.Request()
	at := n.now()
	if c.queuedSince != 0 { // its time counts from its last byte, which may have come by then
		at, c.queuedSince = c.queuedSince, 0
	}
	if err != nil {
		var protocolErr *http1.Error
		if errors.Is(err, os.ErrDeadlineExceeded) {
			n.log.Warn("request too slow", "from", c.conn.RemoteAddr().String())
			c.respond(at, 408, true, "", nil)
		} else if errors.As(err, &protocolErr) {
			n.log.Warn("bad request", "from", c.conn.RemoteAddr().String(), "why", protocolErr.Text)
			c.respond(at, protocolErr.Status, true, "", []byte(protocolErr.Text+"\n"))
			c.linger()
		} else if errors.Is(err, io.ErrUnexpectedEOF) {
			n.log.Warn("request broke off", "from", c.conn.RemoteAddr().String())
		}
		return nil, false
	}
	if c.rank.CompareAndSwap(rankNew, rankRequester); c.rank.Load() == rankEvicted {
		c.respond(at, 503, true, "0", nil) // whole just as it was cut off: nothing was sent on
		return nil, false
	}
	c.conn.SetReadDeadline(time.Time{}) // only now: nobody cuts off a caller any more
	path, _, _ := strings.Cut(r.Target, "?")
	switch {
	case path == healthPath:
		status := 200
		if n.draining.Load() || !n.ready() {
			status = 503
		}
		if r.Method != "GET" && r.Method != "HEAD" {
			status = 405
		}
		keepOpen = c.respond(at, status, r.Close, "", nil)
	case r.Method != "POST":
		keepOpen = c.rejectRequest(at, r, 405, "jobs come by POST")
	case path == callbackPath:
		callback, err := decodeCallback(r.Body)
		if err != nil {
			keepOpen = c.rejectRequest(at, r, 400, "callback: "+err.Error())
			break
		}
		c.rank.Store(rankEstablished)
		// The answer waits for nothing: the worker needs none of what follows.
		keepOpen = c.respond(at, 204, r.Close, "", nil)
		n.post(callback)
	default:
		return c.submit(at, r)
	}
	if !keepOpen {
		return nil, false
	}
	return c.awaitRequest(), true
}

func (c *client) rejectRequest(at scheduler.Micros, r *http1.Request, status int, why string) bool {
	from, id := c.conn.RemoteAddr().String(), r.Header.Get("X-Txn")
	c.node.log.Warn("bad request", "from", from, "txn", id, "why", why)
	return c.respond(at, status, r.Close, "", []byte(why+"\n"))
}

// submit hands a request over and waits for its answer or the client's leave.
func (c *client) submit(at scheduler.Micros, r *http1.Request) (next <-chan error, keepOpen bool) {
	n := c.node
	id, remaining := r.Header.Get("X-Txn"), r.Header.Get("X-Remaining-Ms")
	ms, err := strconv.ParseInt(remaining, 10, 64)
	slots, why := requestedSlots(r.Header.Get("X-Labels")), ""
	for _, name := range singleHeaders {
		if len(r.Header[name]) > 1 {
			why = "repeated " + name // which of them counts, the worker may see otherwise
		}
	}
	switch {
	case why != "":
	case id == "":
		why = "no X-Txn"
	case remaining == "":
		why = "no X-Remaining-Ms"
	case err != nil || remaining[0] < '0':
		why = "malformed X-Remaining-Ms"
	case !(slots <= dispatch.MaxSlots): // beyond any machine, or no number at all
		why = "malformed X-Labels"
	}
	if why != "" {
		if !c.rejectRequest(at, r, 400, why) {
			return nil, false
		}
		return c.awaitRequest(), true
	}
	if err := c.inbound.checkDisconnected(); err != nil { // it left right behind its request, or sent too much
		return nil, c.endDisconnected(at, err)
	}
	const maxRemainingMs = 1 << 40              // keeps the sum from running over
	lagAllowance := 2 * n.lag.estimate(n.now()) // it lay unread for that long, and its answer is as late
	p := &payload{method: r.Method, target: r.Target, key: r.Header.Get("Idempotency-Key"), body: r.Body}
	s := scheduler.Submitted{Caller: scheduler.CallerID(lastCaller.Add(1)), ID: id, Class: classOf(r),
		Tenant: r.Header.Get("X-Org"), Deadline: at + scheduler.Micros(min(ms, maxRemainingMs))*1000 - lagAllowance,
		Slots: slots, Retry: r.Header.Get("X-Resent") == "1", Payload: p}
	n.post(submission{c, n.now(), s})
	next = c.awaitRequest()
	var answer scheduler.Answer
	var ahead chan error // ends with what is read on behind the next request
	for leave, answered := next, false; !answered; {
		select {
		case answer = <-c.answers:
			answered = true
		case err := <-leave:
			if err != nil {
				p.disconnected.Store(true) // the loop may be far behind
				n.post(scheduler.ClientDisconnected{Caller: s.Caller})
				return nil, c.endDisconnected(at, err)
			}
			// The next request came before this one's answer: it waits its turn. Its bytes must
			// not hide the end of the connection, so what follows is read on.
			ready := make(chan error, 1)
			ready <- nil
			ahead = make(chan error, 1)
			n.spawn(func() { ahead <- c.inbound.readAhead() })
			next, leave = ready, ahead
		case <-n.ctx.Done():
			return nil, false
		}
	}
	last := r.Close || answer.FinalForConnection || c.ctx.Err() != nil || len(n.clientSlots) == cap(n.clientSlots)
	if ahead != nil { // nobody else may read until it has ended
		c.conn.SetReadDeadline(time.Now())
		last = !errors.Is(<-ahead, os.ErrDeadlineExceeded) || last
		c.conn.SetReadDeadline(time.Time{})
	}
	if answer.Verdict < scheduler.Invalid {
		c.rank.Store(rankEstablished)
	}
	if answer.Verdict == scheduler.Invalid || answer.Verdict == scheduler.Conflict {
		answer.Body = append(answer.Body, '\n') // a line for whoever reads it
	}
	keepOpen = c.respond(s.Deadline, statusOfVerdict[answer.Verdict], last, retryAfterOf(answer), answer.Body)
	if late := n.now() - s.Deadline - lagAllowance; late > millisecond {
		n.log.Warn("an answer is late", "txn", id, "ms", late/millisecond, "read_ms_ago", (n.now()-at)/millisecond)
	}
	return next, keepOpen
}

// singleHeaders are the headers of which a job has one at most.
var singleHeaders = []string{"X-Txn", "X-Lane", "X-Org", "X-Remaining-Ms", "X-Labels", "Idempotency-Key"}

// classOf is the class that a request names: in its header, or else in its path.
func classOf(r *http1.Request) string {
	if name := r.Header.Get("X-Lane"); name != "" {
		return name
	}
	name, _, _ := strings.Cut(strings.TrimPrefix(r.Target, "/"), "/")
	name, _, _ = strings.Cut(name, "?")
	return name
}

// requestedSlots reads how many slots (or memory units, if more) a request's labels say.
func requestedSlots(labels string) float64 {
	slots := 1.0
	for label := range strings.SplitSeq(labels, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(label), "=")
		if v, err := strconv.ParseFloat(value, 64); err == nil && (name == "slots" || name == "memory") {
			slots = max(slots, v)
		}
	}
	return slots
}
