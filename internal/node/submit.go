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

// payload is the part of a client's request that is sent to workers unchanged.
type payload struct {
	method, target, idempotencyKey string
	body                           []byte
	// disconnected says that the client has disconnected, so that no attempt may begin.
	disconnected atomic.Bool
	client       *inbound // client is the connection of the client; nil in tests.
}

// clientLeft reports whether the client has disconnected. It looks at the client's socket as well, because
// the goroutine that reads the socket may be late.
func (p *payload) clientLeft() bool {
	return p.disconnected.Load() || p.client != nil && p.client.disconnected()
}

var lastCaller atomic.Uint64

// uniqueHeaders are the headers that a job may have only once. If such a header were repeated, the worker
// could use one of its values and the scheduler another.
var uniqueHeaders = []string{"X-Txn", "X-Lane", "X-Org", "X-Remaining-Ms", "X-Labels", "Idempotency-Key"}

// clientFields are the header fields that the node reads in requests of clients.
var clientFields = http1.NewFieldNames(append([]string{"X-Resent"}, uniqueHeaders...)...)

// jobHeaders are the values of the headers that parseJobHeaders validates.
type jobHeaders struct {
	id          string
	remainingMs int64 // remainingMs is how long the client waits for an answer.
	slots       float64
}

// parseJobHeaders reads and validates the headers of a job. problem is empty if the headers are valid.
func parseJobHeaders(r *http1.Request) (job jobHeaders, problem string) {
	for _, name := range uniqueHeaders {
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
	case err != nil || remaining[0] < '0': // ParseInt accepts a sign, but the header must not have one.
		problem = "malformed X-Remaining-Ms"
	case !(job.slots <= dispatch.MaxSlots): // The negated comparison also rejects NaN.
		problem = "malformed X-Labels"
	}
	return job, problem
}

// classOf returns the class of a request: the value of X-Lane, or else the first segment of the path.
func classOf(r *http1.Request) string {
	if name := r.Header.Get("X-Lane"); name != "" {
		return name
	}
	name, _, _ := strings.Cut(strings.TrimPrefix(r.Target, "/"), "/")
	name, _, _ = strings.Cut(name, "?")
	return name
}

// requestedSlots returns the number of slots that a request's labels state, or the number of memory units if
// that is greater. It returns at least 1.
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

// submit passes a job to the event loop, and waits until the job is answered or the client disconnects. If
// the connection stays open, next receives the result of waiting for the next request on the connection.
// The event loop or submit releases the memory of the job.
func (c *client) submit(
	receivedAt scheduler.Micros, r *http1.Request, memory *requestMemory,
) (next <-chan error, keepOpen bool) {
	n := c.node
	job, problem := parseJobHeaders(r)
	if problem != "" {
		memory.close()
		if !c.rejectRequest(receivedAt, r, 400, problem) {
			return nil, false
		}
		return c.awaitRequest(), true
	}
	// The client may have disconnected right after its request, or may have sent more than maxReadAhead bytes.
	if err := c.inbound.checkDisconnected(); err != nil {
		memory.close()
		c.closeDisconnected(receivedAt, err)
		return nil, false
	}
	// The event loop's lag is subtracted twice from the client's time: the request has probably waited that
	// long before it was read, and its answer will be that late.
	lagAllowance := 2 * n.lag.estimate(n.now())
	const maxRemainingMs = 1 << 40 // A larger remaining time could overflow the deadline.
	deadline := receivedAt + scheduler.Micros(min(job.remainingMs, maxRemainingMs))*1000 - lagAllowance
	p := &payload{method: r.Method, target: r.Target,
		idempotencyKey: r.Header.Get("Idempotency-Key"), body: r.Body, client: c.inbound}
	s := scheduler.Submitted{Caller: scheduler.CallerID(lastCaller.Add(1)), RequestID: job.id, Class: classOf(r),
		Tenant: r.Header.Get("X-Org"), Deadline: deadline, Slots: job.slots,
		Retry: r.Header.Get("X-Resent") == "1", Payload: p}
	n.post(submission{c, n.now(), s})
	answer, ahead, err := c.awaitAnswer(s.Caller, p, memory)
	if err != nil {
		c.closeDisconnected(receivedAt, err)
		return nil, false
	}
	defer memory.close()
	memory.add(len(answer.Body))
	closeConn := r.Close || answer.FinalForConnection || !n.hasFreeSlot()
	if ahead.ended != nil { // The read-ahead goroutine must end before another goroutine reads the connection.
		c.conn.SetReadDeadline(time.Now())
		closeConn = !errors.Is(<-ahead.ended, os.ErrDeadlineExceeded) || closeConn
		c.conn.SetReadDeadline(time.Time{})
	}
	c.unproductive = answer.Verdict != scheduler.Served
	if answer.Verdict < scheduler.Invalid {
		c.rank.store(rankEstablished)
	}
	keepOpen = c.respond(deadline, responseTo(answer, closeConn))
	if late := n.now() - deadline - lagAllowance; late > millisecond {
		n.log.Warn("answer sent after the job's deadline", "txn", job.id, "ms", late/millisecond,
			"read_ms_ago", (n.now()-receivedAt)/millisecond)
	}
	return ahead.next, keepOpen
}

// lookahead is the state of reading a client's connection while the client's job waits for its answer.
type lookahead struct {
	next <-chan error // next receives the result of waiting for the next request.
	// ended receives the error that ends the read-ahead; the channel is nil unless the client sent a further
	// request before the answer.
	ended chan error
}

// awaitAnswer waits for the answer to a job. It returns an error if the client has disconnected or exceeded
// the read-ahead limit, or if the node has ended.
func (c *client) awaitAnswer(
	id scheduler.CallerID, p *payload, memory *requestMemory,
) (scheduler.Answer, lookahead, error) {
	n := c.node
	ahead := lookahead{next: c.awaitRequest()}
	for disconnect := ahead.next; ; {
		select {
		case answer := <-c.answers:
			return answer, ahead, nil
		case err := <-disconnect:
			if err != nil {
				// Writers of the job's attempts see this flag before a slow event loop has processed the event.
				p.disconnected.Store(true)
				n.post(callerLeft{scheduler.ClientDisconnected{Caller: id}, memory})
				return scheduler.Answer{}, ahead, err
			}
			// The next request has arrived before the answer to the present request, and has to wait. The node keeps
			// reading into a buffer, to detect a disconnect behind the bytes of the next request.
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
