package node

import (
	"errors"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"dahliaford/internal/dispatch"
	"dahliaford/internal/http1"
	"dahliaford/internal/scheduler"
)

// payload is the part of a client's request that goes to a worker unchanged.
type payload struct {
	method, target, key string
	body                []byte
	disconnected        atomic.Bool // the client has disconnected: no attempt may begin any more
}

var lastCaller atomic.Uint64

// singleHeaders are the headers that a job may have only once: a worker could read another one of several.
var singleHeaders = []string{"X-Txn", "X-Lane", "X-Org", "X-Remaining-Ms", "X-Labels", "Idempotency-Key"}

// jobHeaders are the headers of a job that are validated here.
type jobHeaders struct {
	id          string
	remainingMs int64 // time that the client waits
	slots       float64
}

// parseJobHeaders reads and validates the headers of a job. problem is empty if they are valid.
func parseJobHeaders(r *http1.Request) (job jobHeaders, problem string) {
	for _, name := range singleHeaders {
		if len(r.Header[name]) > 1 {
			problem = "repeated " + name
		}
	}
	remaining := r.Header.Get("X-Remaining-Ms")
	ms, err := strconv.ParseInt(remaining, 10, 64)
	job = jobHeaders{id: r.Header.Get("X-Txn"), remainingMs: ms,
		slots: requestedSlots(r.Header.Get("X-Labels"))}
	switch {
	case problem != "":
	case job.id == "":
		problem = "no X-Txn"
	case remaining == "":
		problem = "no X-Remaining-Ms"
	case err != nil || remaining[0] < '0': // a sign is malformed, too
		problem = "malformed X-Remaining-Ms"
	case !(job.slots <= dispatch.MaxSlots): // more than any machine has, or NaN
		problem = "malformed X-Labels"
	}
	return job, problem
}

// classOf returns the class that a request names: in its header, or else in its path.
func classOf(r *http1.Request) string {
	if name := r.Header.Get("X-Lane"); name != "" {
		return name
	}
	name, _, _ := strings.Cut(strings.TrimPrefix(r.Target, "/"), "/")
	name, _, _ = strings.Cut(name, "?")
	return name
}

// requestedSlots returns the number of slots (or memory units, if that is more) that a request's labels
// state, at least 1.
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

// submit passes a job to the loop and waits until it is answered or the client disconnects. It returns the
// wait for the next request.
func (c *client) submit(at scheduler.Micros, r *http1.Request) (next <-chan error, keepOpen bool) {
	n := c.node
	job, problem := parseJobHeaders(r)
	if problem != "" {
		if !c.rejectRequest(at, r, 400, problem) {
			return nil, false
		}
		return c.awaitRequest(), true
	}
	if err := c.inbound.checkDisconnected(); err != nil { // right behind its request, or it sent too much
		c.closeDisconnected(at, err)
		return nil, false
	}
	// The request was unread for as long as the loop lags, and its answer will be as late.
	lagAllowance := 2 * n.lag.estimate(n.now())
	const maxRemainingMs = 1 << 40 // prevents an overflow of the deadline
	deadline := at + scheduler.Micros(min(job.remainingMs, maxRemainingMs))*1000 - lagAllowance
	p := &payload{method: r.Method, target: r.Target, key: r.Header.Get("Idempotency-Key"), body: r.Body}
	s := scheduler.Submitted{Caller: scheduler.CallerID(lastCaller.Add(1)), RequestID: job.id, Class: classOf(r),
		Tenant: r.Header.Get("X-Org"), Deadline: deadline, Slots: job.slots,
		Retry: r.Header.Get("X-Resent") == "1", Payload: p}
	n.post(submission{c, n.now(), s})
	answer, ahead, err := c.awaitAnswer(s.Caller, p)
	if err != nil {
		c.closeDisconnected(at, err)
		return nil, false
	}
	last := r.Close || answer.FinalForConnection || c.ctx.Err() != nil ||
		len(n.clientSlots) == cap(n.clientSlots)
	if ahead.ended != nil { // nobody else may read before it has ended
		c.conn.SetReadDeadline(time.Now())
		last = !errors.Is(<-ahead.ended, os.ErrDeadlineExceeded) || last
		c.conn.SetReadDeadline(time.Time{})
	}
	if answer.Verdict < scheduler.Invalid {
		c.rank.store(rankEstablished)
	}
	keepOpen = c.respond(deadline, responseTo(answer, last))
	if late := n.now() - deadline - lagAllowance; late > millisecond {
		n.log.Warn("an answer is late", "txn", job.id, "ms", late/millisecond,
			"read_ms_ago", (n.now()-at)/millisecond)
	}
	return ahead.next, keepOpen
}

// lookahead is what is read of a connection while a job waits for its answer.
type lookahead struct {
	next  <-chan error // the wait for the next request
	ended chan error   // nil, or receives the end of reading on behind the first bytes of the next request
}

// awaitAnswer waits for the answer to a job. The error says that the client has disconnected, that it has
// exceeded the read-ahead limit, or that the node has ended.
func (c *client) awaitAnswer(id scheduler.CallerID, p *payload) (scheduler.Answer, lookahead, error) {
	n := c.node
	ahead := lookahead{next: c.awaitRequest()}
	for disconnect := ahead.next; ; {
		select {
		case answer := <-c.answers:
			return answer, ahead, nil
		case err := <-disconnect:
			if err != nil {
				p.disconnected.Store(true) // the loop may be far behind
				n.post(scheduler.ClientDisconnected{Caller: id})
				return scheduler.Answer{}, ahead, err
			}
			// The next request arrives before this one's answer and waits. Its bytes must not hide that
			// the client disconnects, so the connection is read on.
			ready := make(chan error, 1)
			ready <- nil
			ended := make(chan error, 1)
			n.spawn(func() { ended <- c.inbound.readAhead() })
			ahead = lookahead{next: ready, ended: ended}
			disconnect = ended
		case <-n.ctx.Done():
			return scheduler.Answer{}, ahead, n.ctx.Err()
		}
	}
}
