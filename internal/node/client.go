package node

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"dahliaford/internal/dispatch"
	"dahliaford/internal/http1"
	"dahliaford/internal/scheduler"
)

const (
	healthPath   = "/_health"
	callbackPath = "/callback"

	// firstRequestTimeout is the longest from the accept to the end of the first request. Who
	// says nothing, or half a thing, is owed an error or a close within 3 s.
	firstRequestTimeout = 2 * time.Second
	// requestTimeout is the longest that a later request may take from its first byte on.
	requestTimeout = 5 * time.Second
	// lingerTime is how long a connection is read on after an answer that ends it.
	lingerTime = 500 * time.Millisecond
	// newcomerGrace is how long a newcomer may take to its first request, however crowded it is.
	newcomerGrace = 100 * time.Millisecond
	// closeGrace is how long a connection that is to be closed is still read.
	closeGrace = 100 * time.Millisecond
	// writeGrace is how long after a deadline, and after its decision, an answer is still being
	// written: who does not read it must not hold a connection for ever.
	writeGrace = 5 * time.Second
	// maxReadAhead is how many bytes a client may send ahead of an answer, beyond what a read takes at
	// once. One request at a time is the rule; what comes early is read so that its end is seen.
	maxReadAhead = http1.MaxHead
)

// Messages of client connections to the loop.
type (
	clientOpened struct{ client *client }
	clientClosed struct{ client *client }
	submission   struct {
		client     *client
		receivedAt scheduler.Micros // read by then
		scheduler.Submitted
	}
	evictionRequest struct{}
)

// payload is what of a client's request goes on to a worker, unchanged.
type payload struct {
	method, target, key string
	body                []byte
	disconnected        atomic.Bool // its client has left: no attempt may begin any more
}

var lastCaller atomic.Uint64

// client is one connection that was accepted. Its goroutine, serve, owns it and
// closes it; release asks for that.
type client struct {
	node          *Node
	conn          net.Conn
	inbound       *inbound
	reader        *http1.Reader
	answers       chan scheduler.Answer
	ctx           context.Context // ends when the connection should close once it idles
	closeWhenIdle context.CancelFunc
	idleSince     atomic.Int64 // since when no request is under way; 0: one is
	acceptedAt    scheduler.Micros
	queuedSince   scheduler.Micros // from when on it may have waited to be accepted; 0: it did not
	rank          atomic.Int32     // cutOff, stranger, caller or customer
}

// What a connection has shown of itself. When room is short, the lowest go first.
const (
	rankEvicted   = iota - 1 // a stranger that was let go: nothing more is taken from it
	rankNew                  // never sent a whole request
	rankRequester            // sent some, but no job that was taken and no callback
	rankEstablished
)

func newClient(n *Node, conn net.Conn) *client {
	c := &client{node: n, conn: conn, inbound: newInbound(conn)}
	c.reader = http1.NewReader(c.inbound)
	c.answers = make(chan scheduler.Answer, 1)
	c.reader.Continue = func() {
		conn.SetWriteDeadline(time.Now().Add(writeGrace))
		io.WriteString(conn, "HTTP/1.1 100 Continue\r\n\r\n") // should it fail, so does the answer
	}
	c.ctx, c.closeWhenIdle = context.WithCancel(n.ctx)
	c.acceptedAt = n.now()
	c.idleSince.Store(int64(c.acceptedAt))
	return c
}

func (c *client) serve() {
	n := c.node
	defer func() {
		c.closeWhenIdle()
		c.conn.Close()
		n.serving.Done()
		<-n.clientSlots
		n.post(clientClosed{c})
	}()
	// Set once, so that neither silence nor a byte now and then moves it.
	c.conn.SetReadDeadline(n.timeOf(c.acceptedAt).Add(firstRequestTimeout))
	for next := c.awaitRequest(); ; {
		// Idle: the next request begins, or the other side or we have had enough.
		select {
		case err := <-next:
			if err != nil {
				c.closeIdle(err)
				return
			}
		case <-c.ctx.Done():
			// A request may cross our leave. What has come by now is still answered:
			// closing on it would look like a job lost.
			switch c.rank.Load() {
			case rankEvicted:
			case rankRequester:
				c.conn.SetReadDeadline(time.Now().Add(closeGrace / 10)) // no job was ever lost here
			case rankNew:
				c.conn.SetReadDeadline(time.Now().Add(lingerTime)) // it may just have come, with its first request
			default:
				c.conn.SetReadDeadline(time.Now().Add(closeGrace))
			}
			if err := <-next; err != nil {
				c.closeIdle(err)
				return
			}
			if c.rank.Load() == rankNew { // it has begun: it gets the time that it had
				c.conn.SetReadDeadline(latest(n.timeOf(c.acceptedAt).Add(firstRequestTimeout), time.Now().Add(lingerTime)))
			}
		}
		c.idleSince.Store(0)
		var keepOpen bool
		if next, keepOpen = c.serveRequest(); !keepOpen {
			return
		}
		c.idleSince.Store(int64(n.now()))
	}
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// awaitRequest waits on the side for the next bytes to come, which also shows when the
// client leaves. Nobody else may read until its word has been taken.
func (c *client) awaitRequest() <-chan error {
	next := make(chan error, 1)
	c.node.spawn(func() { next <- c.reader.Wait() })
	return next
}

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

var statusOfVerdict = map[scheduler.Verdict]int{
	scheduler.Served: 200, scheduler.Refused: 503, scheduler.Failed: 500, scheduler.Invalid: 400,
	scheduler.Conflict: 409,
}

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

// retryAfterOf is when a client that is refused should come back.
func retryAfterOf(a scheduler.Answer) string {
	if a.Verdict != scheduler.Refused {
		return ""
	}
	return formatRetryAfter(a.RetryAfter)
}

func formatRetryAfter(wait scheduler.Micros) string {
	return strconv.FormatFloat(float64(wait)/1e6, 'f', -1, 64)
}

// respond sends an answer in one piece. It tells whether the connection can go on.
func (c *client) respond(deadline scheduler.Micros, status int, last bool, retry string,
	body []byte) bool {
	connection := ""
	if last {
		connection = "close"
	}
	if c.node.cfg.Settings.Dispatch.MaxRetryAfter == 0 {
		retry = "" // the settings give clients no advice
	}
	b := http1.AppendResponse(make([]byte, 0, 256+len(body)), status,
		[]http1.Field{{Name: "Retry-After", Value: retry}, {Name: "Connection", Value: connection}}, body)
	c.conn.SetWriteDeadline(latest(c.node.timeOf(deadline), time.Now()).Add(writeGrace))
	_, err := c.conn.Write(b)
	return err == nil && !last
}

// closeIdle ends a connection that idles and that we have had enough of. A request may have come
// since we last looked, and closing on it would lose it: nothing tells the two apart in time. So
// it gets its answer before it is seen, a refusal, which is true, as nothing of it goes on. A
// client that has sent nothing takes what comes unasked for an end of the connection.
func (c *client) closeIdle(why error) {
	if !errors.Is(why, os.ErrDeadlineExceeded) {
		return // it has left by itself
	}
	c.respond(c.node.now(), 503, true, "0", nil)
	// Lest a reset goes before the answer. A stranger that said nothing takes no time but at a
	// stop, when the front has just dealt it here: others wait for its slot.
	if c.rank.Load() > rankNew || c.node.draining.Load() {
		c.linger()
	}
}

// linger reads on for a moment after an answer to a request that was not read whole.
// Closing at once would reset the connection, and the answer might never be seen.
func (c *client) linger() {
	if half, ok := c.conn.(interface{ CloseWrite() error }); ok && half.CloseWrite() == nil {
		c.conn.SetReadDeadline(time.Now().Add(lingerTime))
		io.Copy(io.Discard, io.LimitReader(c.conn, 4*http1.MaxBody))
	}
}

// evict lets a client go to make room. One that has never sent a whole request is cut
// off within one; for the others, a request that crosses the close is answered.
func (c *client) evict() {
	if c.rank.CompareAndSwap(rankNew, rankEvicted) {
		c.conn.SetReadDeadline(time.Now())
	}
	c.closeWhenIdle()
}

// endDisconnected ends a connection whose client has left, or has sent more than is kept for it.
func (c *client) endDisconnected(at scheduler.Micros, why error) (keepOpen bool) {
	if why == errReadAheadLimit {
		c.node.log.Warn("bad request", "from", c.conn.RemoteAddr().String(), "why", errReadAheadLimit.Error())
		c.respond(at, 400, true, "", []byte(errReadAheadLimit.Error()+"\n"))
		c.linger()
	}
	return false
}

var errReadAheadLimit = errors.New("too much was sent ahead of an answer")

// inbound reads a client's connection. It reads on past a deadline as long as something has come: a
// reader that had no processor time finds both at once, and what the machine has taken must be read.
type inbound struct {
	conn     net.Conn
	rawConn  syscall.RawConn // nil: not a socket
	buffered []byte          // read ahead
}

func newInbound(conn net.Conn) *inbound {
	in := &inbound{conn: conn}
	if s, ok := conn.(syscall.Conn); ok {
		in.rawConn, _ = s.SyscallConn()
	}
	return in
}

func (in *inbound) Read(b []byte) (n int, err error) {
	if len(in.buffered) > 0 {
		n = copy(b, in.buffered)
		if in.buffered = in.buffered[n:]; len(in.buffered) == 0 {
			in.buffered = nil
		}
		return n, nil
	}
	return in.read(b)
}

func (in *inbound) read(b []byte) (n int, err error) {
	if n, err = in.conn.Read(b); n > 0 || in.rawConn == nil || !errors.Is(err, os.ErrDeadlineExceeded) {
		return n, err
	}
	if n, _ = readSocketNow(in.rawConn, b, 0); n > 0 {
		return n, nil
	}
	return 0, err
}

// readAhead reads on until the connection's end, or its deadline, and keeps what comes.
func (in *inbound) readAhead() error {
	for {
		if err := in.buffer(in.read); err != nil {
			return err
		}
	}
}

// checkDisconnected takes in what has come without waiting for more. It tells whether the client has left.
func (in *inbound) checkDisconnected() (err error) {
	if in.rawConn == nil {
		return nil
	}
	at := func(b []byte, flags int) (n int, err error) {
		if n, err = readSocketNow(in.rawConn, b, flags); n == 0 && err == nil {
			err = io.EOF
		}
		return n, err
	}
	var one [1]byte
	if _, err = at(one[:], syscall.MSG_PEEK); err == nil { // seldom: clients wait for their answer
		for err == nil {
			err = in.buffer(func(b []byte) (int, error) { return at(b, 0) })
		}
	}
	if errors.Is(err, syscall.EAGAIN) {
		return nil
	}
	return err
}

func (in *inbound) buffer(read func([]byte) (int, error)) error {
	if len(in.buffered) >= maxReadAhead {
		return errReadAheadLimit
	}
	var b [2 << 10]byte
	n, err := read(b[:])
	in.buffered = append(in.buffered, b[:n]...)
	return err
}

func isClosed(err error) bool { return errors.Is(err, net.ErrClosed) }
