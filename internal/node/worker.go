package node

import (
	"context"
	"errors"
	"net"
	"net/url"
	"os"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/mailru/easyjson/jlexer"

	"dahliaford/internal/connstate"
	"dahliaford/internal/dispatch"
	"dahliaford/internal/http1"
	"dahliaford/internal/scheduler"
	"dahliaford/internal/settings"
)

// Messages of connections to workers to the loop.
type (
	writeEnded struct { // exactly one for each errand, unless the connection was let go
		conn *workerConn
		err  error
	}
	workerResponse struct {
		conn *workerConn
		connstate.Answer
	}
	readEnded        struct{ conn *workerConn } // nothing more can be read from it
	workerConnClosed struct{ conn *workerConn } // its descriptor is given back
)

// How long a connection that idles is used again. The workers' machines may close it at
// any time, and not all say so: the next request then ends as a reset, and a job that must
// not run twice is lost. A new connection costs little against a job, but may come up late. In a
// large fleet a scheduler has few workers and comes back to each within seconds; there all
// schedulers together would open a connection for each job, and a crossing waits for it.
const (
	idleTimeoutSmallFleet = 50 * millisecond
	idleTimeoutLargeFleet = 2000 * millisecond
)

// idleTimeoutOf is how long a connection that idles is used again, at most half of what its worker's machine
// allows it.
func idleTimeoutOf(set *settings.Settings) scheduler.Micros {
	limit := idleTimeoutSmallFleet
	if set.Dispatch.LargeFleet() {
		limit = idleTimeoutLargeFleet
	}
	return min(limit, set.WorkerIdleTimeout/2)
}

const millisecond scheduler.Micros = 1000

// exchange is one request to write: an attempt, or the withdrawal of one.
type exchange struct {
	attempt              scheduler.AttemptID
	requestID, workerUID string
	writeBy              scheduler.Micros
	deadline             scheduler.Micros
	payload              *payload // nil: a withdrawal
}

// workerConn is a connection to a worker. Its goroutine, run, dials, writes and closes; a
// second one reads. What is below ctx belongs to the loop.
type workerConn struct {
	node      *Node
	addr      string
	exchanges chan exchange
	ctx       context.Context
	cancel    context.CancelFunc

	connstate.Conn
	requestID     string
	idleSince     scheduler.Micros
	writeGate     atomic.Int32 // of the errand: open, writing or shut; the first to move it wins
	abandoned     atomic.Bool  // what has not left yet must not, once the connection closes
	responseOrder sync.Mutex   // held from an errand's first byte until its writer's word is in the inbox
	// holdsOrder is the writer's: it holds order.
	holdsOrder bool
}

// The states of the gate between the loop, which may give an errand up, and the writer.
const (
	writePending int32 = iota
	writeBegun
	writeCancelled // nothing of the errand got out, nor will
)

// assign gives an errand to an idle connection to a worker, or to a new one. It
// fails when there is no room for another connection.
func (n *Node) assign(addr string, e exchange) (*workerConn, bool) {
	n.dropExpiredIdle()
	if idle := n.idleConns[addr]; len(idle) > 0 && e.payload != nil {
		c := idle[len(idle)-1]
		n.idleConns[addr] = idle[:len(idle)-1]
		c.start(e)
		return c, true
	}
	if n.openWorkerConns >= n.maxWorkerConns-n.maxWorkerConns/8 { // early, as those let go take a moment to close
		n.dropOldestIdle()
	}
	if n.openWorkerConns >= n.maxWorkerConns {
		return nil, false
	}
	c := &workerConn{node: n, addr: addr, exchanges: make(chan exchange, 1)}
	c.ctx, c.cancel = context.WithCancel(n.ctx)
	n.openWorkerConns++
	c.start(e)
	n.spawn(c.run)
	return c, true
}

func (c *workerConn) start(e exchange) {
	c.Assign(e.attempt, e.payload == nil)
	c.requestID = e.requestID
	c.writeGate.Store(writePending)
	c.exchanges <- e // it has room: a connection has one errand at a time
}

// drop lets a connection go.
func (n *Node) drop(c *workerConn) {
	c.Release()
	c.cancel()
}

// dropOldestIdle makes room by closing the connection that has idled longest.
func (n *Node) dropOldestIdle() {
	var oldest *workerConn
	for _, idle := range n.idleConns {
		if len(idle) > 0 && (oldest == nil || idle[0].idleSince < oldest.idleSince) {
			oldest = idle[0]
		}
	}
	if oldest != nil {
		n.idleConns[oldest.addr] = n.idleConns[oldest.addr][1:]
		n.drop(oldest)
	}
}

// dropExpiredIdle lets go connections that have idled too long to be used again.
func (n *Node) dropExpiredIdle() {
	for addr, idle := range n.idleConns {
		for len(idle) > 0 && n.now()-idle[0].idleSince >= n.idleTimeout {
			n.drop(idle[0])
			idle = idle[1:]
		}
		if n.idleConns[addr] = idle; len(idle) == 0 {
			delete(n.idleConns, addr)
		}
	}
}

// dropIdleTo closes the idle connections to a worker.
func (n *Node) dropIdleTo(addr string) {
	for _, l := range n.idleConns[addr] {
		n.drop(l)
	}
	delete(n.idleConns, addr)
}

func (n *Node) sendAttempt(r scheduler.SendAttempt) {
	l, ok := n.assign(r.Addr, exchange{attempt: r.Attempt, requestID: r.ID, workerUID: r.UID, writeBy: r.WriteBy,
		deadline: r.Deadline, payload: r.Payload.(*payload)})
	if !ok {
		n.log.Warn("short on connections: an attempt is not sent", "txn", r.ID, "worker", r.UID)
		n.postAsync(scheduler.AttemptEnded{Attempt: r.Attempt, Outcome: dispatch.ConnectFailed})
		return
	}
	n.attempts[r.Attempt] = l
}

// postAsync posts from within the loop, which must not wait for itself.
func (n *Node) postAsync(e scheduler.Event) { n.spawn(func() { n.post(e) }) }

func (n *Node) closeAttemptConn(attempt scheduler.AttemptID) {
	c := n.attempts[attempt]
	if c == nil {
		return
	}
	delete(n.attempts, attempt)
	if c.Cancel {
		n.cancellations--
	} else if c.writeGate.CompareAndSwap(writePending, writeCancelled) {
		n.cancelledUnsent = attempt // the withdrawal that follows has nobody to tell
	}
	c.abandoned.Store(true)
	n.drop(c)
}

// cancelUnsent keeps back an attempt of which nothing has left yet.
func (n *Node) cancelUnsent(attempt scheduler.AttemptID) {
	if c := n.attempts[attempt]; c != nil && c.writeGate.CompareAndSwap(writePending, writeCancelled) {
		delete(n.attempts, attempt)
		n.drop(c)
		n.postAsync(scheduler.AttemptEnded{Attempt: attempt, Outcome: dispatch.NotSent})
	}
}

func (n *Node) cancelAttempt(w scheduler.CancelAttempt) {
	if n.cancelledUnsent == w.Attempt {
		n.postAsync(scheduler.CancellationResult{Attempt: w.Attempt, Acknowledged: true})
		return
	}
	c, ok := n.assign(w.Addr, exchange{attempt: w.Attempt, requestID: w.ID, writeBy: w.Deadline, deadline: w.Deadline})
	if !ok {
		n.log.Warn("short on connections: a job is not withdrawn", "txn", w.ID)
		n.postAsync(scheduler.CancellationResult{Attempt: w.Attempt})
		return
	}
	n.attempts[w.Attempt] = c
	n.cancellations++
}

func (n *Node) onWriteEnded(m writeEnded) error {
	next, e := m.conn.WriteEnded(writeResult(m.err))
	if end, is := e.(scheduler.AttemptEnded); is && (m.err == errDraining || m.err == errStale || m.err == errDisconnected) {
		n.log.Info("an attempt turned back", "txn", m.conn.requestID, "worker", m.conn.addr, "why", m.err)
		end.Outcome = dispatch.NotSent // the worker is not at fault
		e = end
	}
	if end, is := e.(scheduler.AttemptEnded); is && end.Outcome == dispatch.ConnectFailed && n.atCapacity(m.conn, m.err) {
		n.log.Info("a worker has no room for another connection", "worker", m.conn.addr, "txn", m.conn.requestID)
		end.Outcome = dispatch.AtCapacity
		e = end
	}
	return n.finishExchange(m.conn, next, e, m.err)
}

func writeResult(err error) connstate.WriteResult {
	switch {
	case err == nil:
		return connstate.WriteComplete
	case errors.Is(err, syscall.ECONNREFUSED):
		return connstate.ConnectRefused
	}
	return connstate.WriteFailed
}

// atCapacity tells whether a worker lacks room for a connection: it turns one down at once while
// others of ours stand. A process that is gone would have reset those, and a machine that is
// gone turns nothing down. Lack of room is no sickness: the worker is not set aside for it.
func (n *Node) atCapacity(c *workerConn, cause error) bool {
	if !errors.Is(cause, syscall.ECONNREFUSED) && !errors.Is(cause, syscall.ECONNRESET) {
		return false
	}
	if len(n.idleConns[c.addr]) > 0 {
		return true
	}
	for _, o := range n.attempts {
		if o != c && o.addr == c.addr && o.Written {
			return true
		}
	}
	return false
}

func (n *Node) onReadEnded(c *workerConn) error {
	next, e := c.ReadEnded()
	if next == connstate.Drop && e == nil { // it idled
		n.removeIdle(c)
	}
	return n.finishExchange(c, next, e, nil)
}

// removeIdle takes a connection from those that idle.
func (n *Node) removeIdle(c *workerConn) {
	n.idleConns[c.addr] = slices.DeleteFunc(n.idleConns[c.addr], func(o *workerConn) bool { return o == c })
}

func (n *Node) onResponse(m workerResponse) error {
	c := m.conn
	idled, unsent := !c.Busy, c.Busy && !c.Released && !c.Cancel && c.writeGate.CompareAndSwap(writePending, writeCancelled)
	next, e := c.Answered(m.Answer)
	if unsent { // it came before anything of the attempt had left, and now nothing will
		e = scheduler.AttemptEnded{Attempt: c.Attempt, Outcome: dispatch.NotSent}
	}
	if next == connstate.Drop && (idled || unsent) {
		n.log.Warn("an answer that nobody asked for", "worker", c.addr, "status", m.Status)
		n.removeIdle(c) // where it idled
	}
	switch e := e.(type) {
	case scheduler.CancellationResult:
		if m.Status >= 300 && m.Status != 404 {
			n.log.Warn("withdrawal not taken", "worker", c.addr, "txn", c.requestID, "status", m.Status)
		}
	case scheduler.AttemptRejected:
		n.log.Info("a worker rejects a request", "worker", c.addr, "txn", c.requestID, "status", m.Status)
	case scheduler.AttemptEnded:
		if e.Outcome == dispatch.Failed && m.Status != 500 {
			n.log.Warn("unexpected answer of a worker", "worker", c.addr, "txn", c.requestID, "status", m.Status)
		}
	}
	if next == connstate.Idle && n.idleTimeout == 0 {
		next = connstate.Drop
	}
	if next == connstate.Idle {
		c.idleSince = n.now()
		n.idleConns[c.addr] = append(n.idleConns[c.addr], c)
	}
	return n.finishExchange(c, next, e, nil)
}

// finishExchange does with a connection what its state machine says, and passes on what that
// means for its errand.
func (n *Node) finishExchange(c *workerConn, next connstate.Disposition, e scheduler.Event, cause error) error {
	if e == nil {
		if next == connstate.Drop {
			n.drop(c)
		}
		return nil
	}
	delete(n.attempts, c.Attempt)
	if c.Cancel {
		n.cancellations--
	}
	if next == connstate.Drop {
		n.drop(c)
		if !isResponse(e) {
			n.log.Info("connection to a worker failed", "worker", c.addr, "txn", c.requestID, "sent", c.Written, "error",
				cause)
		}
	}
	return n.step(e)
}

// isResponse tells whether an event came of a worker's answer and not of its
// connection's end.
func isResponse(e scheduler.Event) bool {
	switch e := e.(type) {
	case scheduler.AttemptEnded:
		return e.Outcome != dispatch.Reset && e.Outcome != dispatch.ConnectFailed
	case scheduler.CancellationResult:
		return e.Acknowledged
	}
	return true
}

// run is the life of a connection.
func (c *workerConn) run() {
	n := c.node
	defer n.post(workerConnClosed{c})
	defer c.cancel()
	first := <-c.exchanges
	conn, err := c.dial(n.timeOf(first.writeBy))
	if err != nil {
		n.post(writeEnded{c, err})
		return
	}
	defer func() {
		if tcp, ok := conn.(*net.TCPConn); ok && c.abandoned.Load() {
			tcp.SetLinger(0) // a machine that is silent would get the request when it is back
		}
		conn.Close()
	}()
	defer c.releaseOrder()
	over := make(chan struct{})
	n.spawn(func() {
		defer close(over)
		c.readResponses(conn)
	})
	for e := first; ; {
		select {
		case <-over: // ended while it idled: writing now would only look like a reset
			err = net.ErrClosed
		default:
			if err = c.write(conn, &e); err == errCancelled {
				return
			}
		}
		n.post(writeEnded{c, err})
		c.releaseOrder()
		if err != nil {
			return
		}
		select {
		case e = <-c.exchanges:
		case <-c.ctx.Done(): // the loop has let it go
			return
		}
	}
}

const (
	// hedgeDelayDivisor is the part of the time for a connect after which a second one is begun beside it.
	hedgeDelayDivisor = 4
	// maxHedgedDials is how many second connects may stand at once: their descriptors are among the spare ones.
	maxHedgedDials = 8
)

// dial opens a connection by a time. Single connects come up late on some networks; a second one
// beside such a one mostly does not. Whichever is up first is taken: nothing is sent on the other.
func (c *workerConn) dial(by time.Time) (net.Conn, error) {
	type end struct {
		conn net.Conn
		err  error
	}
	n := c.node
	ctx, release := context.WithCancel(c.ctx)
	defer release()
	open := dialTCP
	if n.dial != nil {
		open = n.dial
	}
	ends, begun := make(chan end, 2), 1
	begin := func(ended func()) {
		n.spawn(func() {
			defer ended()
			conn, err := open(ctx, c.addr, by)
			ends <- end{conn, err}
		})
	}
	begin(func() {})
	second := time.NewTimer(time.Until(by) / hedgeDelayDivisor)
	defer second.Stop()
	for {
		select {
		case <-second.C:
			if n.hedgedDials.Add(1) > maxHedgedDials {
				n.hedgedDials.Add(-1)
			} else {
				begun++
				begin(func() { n.hedgedDials.Add(-1) })
			}
		case e := <-ends:
			if begun--; begun > 0 && os.IsTimeout(e.err) {
				continue // the other one may be up
			}
			if begun > 0 {
				n.spawn(func() {
					if late := <-ends; late.conn != nil {
						late.conn.Close()
					}
				})
			}
			return e.conn, e.err
		}
	}
}

// dialFunc opens a connection by a time.
type dialFunc func(ctx context.Context, addr string, by time.Time) (net.Conn, error)

func dialTCP(ctx context.Context, addr string, by time.Time) (net.Conn, error) {
	d := net.Dialer{Deadline: by, KeepAlive: -1}
	return d.DialContext(ctx, "tcp", addr)
}

var (
	errCancelled    = errors.New("given up before anything got out")
	errDisconnected = errors.New("its client has left")
)

// write sends an errand. For an attempt the last look at what discovery has told comes with
// the first byte in hand, and again for as long as none has left; a word that is not taken in
// yet is waited for.
func (c *workerConn) write(conn net.Conn, e *exchange) error {
	n := c.node
	conn.SetWriteDeadline(n.timeOf(e.writeBy))
	if e.payload == nil {
		if !c.beginWrite() {
			return errCancelled
		}
		_, err := conn.Write(e.encode(n.now(), c.addr))
		return err
	}
	raw, err := conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return err
	}
	text := e.encode(n.now(), c.addr)
	for {
		changed, held, out := n.freshness.nextChange(), error(nil), 0
		wait := raw.Write(func(fd uintptr) bool {
			if out == 0 {
				now := n.now()
				if held = n.freshness.allowSend(e.workerUID, now); held == nil && now > e.writeBy {
					held = os.ErrDeadlineExceeded
				}
			}
			switch { // until the last byte is out nothing has begun
			case held == nil && (e.payload.disconnected.Load() || c.abandoned.Load()):
				held = errDisconnected
			case held == nil && !c.holdsOrder && !c.beginWrite():
				held = errCancelled
			}
			if held != nil {
				return true
			}
			var sent int
			if sent, err = writeSocket(fd, text[out:]); err == syscall.EAGAIN {
				return false
			}
			out += sent
			return err != nil || out == len(text)
		})
		switch {
		case held == errDisconnected && out > 0:
			c.abandoned.Store(true) // and what has left goes with the connection
			return held
		case held == errUnapplied || held == errDisconnected: // the loop is about to hear the same, and gives it up
		case held != nil:
			return held
		case wait != nil:
			return wait
		default:
			return err
		}
		select {
		case <-changed:
		case <-c.ctx.Done():
			return errCancelled
		case <-time.After(time.Until(n.timeOf(e.writeBy))):
			if held != errDisconnected {
				held = os.ErrDeadlineExceeded
			}
			return held
		}
	}
}

// beginWrite passes the gate with an errand's first byte in hand.
func (c *workerConn) beginWrite() bool {
	c.responseOrder.Lock()
	if c.holdsOrder = c.writeGate.CompareAndSwap(writePending, writeBegun); !c.holdsOrder {
		c.responseOrder.Unlock()
	}
	return c.holdsOrder
}

// releaseOrder lets answers pass: the writer's word is in the inbox, or none will come.
func (c *workerConn) releaseOrder() {
	if c.holdsOrder {
		c.holdsOrder = false
		c.responseOrder.Unlock()
	}
}

// writeSocket writes what a socket that never blocks takes.
func writeSocket(fd uintptr, b []byte) (n int, err error) {
	for {
		if n, err = syscall.Write(int(fd), b); err != syscall.EINTR {
			return max(n, 0), err
		}
	}
}

// readResponses reads answers, and so also sees the end of a connection that idles.
func (c *workerConn) readResponses(conn net.Conn) {
	read := http1.NewReader(conn)
	for {
		r, err := read.Response()
		if err != nil {
			c.node.post(readEnded{c})
			return
		}
		var report dispatch.Report
		if load := r.Header.Get("X-Pressure"); load != "" {
			in := jlexer.Lexer{Data: []byte(load)}
			if report = decodeReport(&in); in.Error() != nil {
				report = dispatch.Report{}
			}
		}
		c.responseOrder.Lock() // an answer must not overtake the word that its attempt was written
		c.responseOrder.Unlock()
		c.node.post(workerResponse{c, connstate.Answer{Status: r.Status, TurnedAway: r.Header.Get("X-Turned-Away") == "1",
			Close: r.Close, Report: report}})
		if r.Close {
			return
		}
	}
}

func (e *exchange) encode(now scheduler.Micros, host string) []byte {
	if e.payload == nil {
		return http1.AppendRequest(nil, "DELETE", "/jobs/"+url.PathEscape(e.requestID),
			[]http1.Field{{Name: "Host", Value: host}}, nil)
	}
	p := e.payload
	left := strconv.FormatInt(int64(max(e.deadline-now, 0)/1000), 10)
	return http1.AppendRequest(make([]byte, 0, 512+len(p.body)), p.method, p.target, []http1.Field{
		{Name: "Host", Value: host}, {Name: "X-Txn", Value: e.requestID}, {Name: "X-Remaining-Ms", Value: left},
		{Name: "Idempotency-Key", Value: p.key}}, p.body)
}
