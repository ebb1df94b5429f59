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
	wrote struct { // exactly one for each errand, unless the connection was let go
		conn *workerConn
		err  error
	}
	response struct {
		conn *workerConn
		connstate.Answer
	}
	broke struct{ conn *workerConn } // nothing more can be read from it
	ended struct{ conn *workerConn } // its descriptor is given back
)

// How long a connection that idles is used again. The workers' machines may close it at
// any time, and not all say so: the next request then ends as a reset, and a job that must
// not run twice is lost. A new connection costs little against a job, but may come up late. In a
// large fleet a scheduler has few workers and comes back to each within seconds; there all
// schedulers together would open a connection for each job, and a crossing waits for it.
const (
	keptFor     = 50 * millisecond
	keptInFleet = 2000 * millisecond
)

// kept is how long a connection that idles is used again, at most half of what its worker's machine
// allows it.
func kept(set *settings.Settings) scheduler.Micros {
	most := keptFor
	if set.Dispatch.LargeFleet() {
		most = keptInFleet
	}
	return min(most, set.WorkerIdleTimeout/2)
}

const millisecond scheduler.Micros = 1000

// errand is one request to write: an attempt, or the withdrawal of one.
type errand struct {
	attempt  scheduler.AttemptID
	id, uid  string
	writeBy  scheduler.Micros
	deadline scheduler.Micros
	payload  *payload // nil: a withdrawal
}

// workerConn is a connection to a worker. Its goroutine, run, dials, writes and closes; a
// second one reads. What is below ctx belongs to the loop.
type workerConn struct {
	node    *Node
	addr    string
	errands chan errand
	ctx     context.Context
	release context.CancelFunc

	connstate.Conn
	id    string
	since scheduler.Micros
	gate  atomic.Int32 // of the errand: open, writing or shut; the first to move it wins
	cut   atomic.Bool  // what has not left yet must not, once the connection closes
	order sync.Mutex   // held from an errand's first byte until its writer's word is in the inbox
	// ordered is the writer's: it holds order.
	ordered bool
}

// The states of the gate between the loop, which may give an errand up, and the writer.
const (
	gateOpen int32 = iota
	gateWriting
	gateShut // nothing of the errand got out, nor will
)

// assign gives an errand to an idle connection to a worker, or to a new one. It
// fails when there is no room for another connection.
func (n *Node) assign(addr string, e errand) (*workerConn, bool) {
	n.retireIdle()
	if idle := n.links[addr]; len(idle) > 0 && e.payload != nil {
		c := idle[len(idle)-1]
		n.links[addr] = idle[:len(idle)-1]
		c.take(e)
		return c, true
	}
	if n.open >= n.mostOpen-n.mostOpen/8 { // early, as those let go take a moment to close
		n.dropOldest()
	}
	if n.open >= n.mostOpen {
		return nil, false
	}
	c := &workerConn{node: n, addr: addr, errands: make(chan errand, 1)}
	c.ctx, c.release = context.WithCancel(n.ctx)
	n.open++
	c.take(e)
	n.spawn(c.run)
	return c, true
}

func (c *workerConn) take(e errand) {
	c.Assign(e.attempt, e.payload == nil)
	c.id = e.id
	c.gate.Store(gateOpen)
	c.errands <- e // it has room: a connection has one errand at a time
}

// drop lets a connection go.
func (n *Node) drop(c *workerConn) {
	c.Release()
	c.release()
}

// dropOldest makes room by closing the connection that has idled longest.
func (n *Node) dropOldest() {
	var oldest *workerConn
	for _, idle := range n.links {
		if len(idle) > 0 && (oldest == nil || idle[0].since < oldest.since) {
			oldest = idle[0]
		}
	}
	if oldest != nil {
		n.links[oldest.addr] = n.links[oldest.addr][1:]
		n.drop(oldest)
	}
}

// retireIdle lets go connections that have idled too long to be used again.
func (n *Node) retireIdle() {
	for addr, idle := range n.links {
		for len(idle) > 0 && n.now()-idle[0].since >= n.keptFor {
			n.drop(idle[0])
			idle = idle[1:]
		}
		if n.links[addr] = idle; len(idle) == 0 {
			delete(n.links, addr)
		}
	}
}

// retire closes the idle connections to a worker.
func (n *Node) retire(addr string) {
	for _, l := range n.links[addr] {
		n.drop(l)
	}
	delete(n.links, addr)
}

func (n *Node) route(r scheduler.SendAttempt) {
	l, ok := n.assign(r.Addr, errand{attempt: r.Attempt, id: r.ID, uid: r.UID, writeBy: r.WriteBy,
		deadline: r.Deadline, payload: r.Payload.(*payload)})
	if !ok {
		n.log.Warn("short on connections: an attempt is not sent", "txn", r.ID, "worker", r.UID)
		n.later(scheduler.AttemptEnded{Attempt: r.Attempt, Outcome: dispatch.ConnectFailed})
		return
	}
	n.attempts[r.Attempt] = l
}

// later posts from within the loop, which must not wait for itself.
func (n *Node) later(e scheduler.Event) { n.spawn(func() { n.post(e) }) }

func (n *Node) abandon(attempt scheduler.AttemptID) {
	c := n.attempts[attempt]
	if c == nil {
		return
	}
	delete(n.attempts, attempt)
	if c.Cancel {
		n.calls--
	} else if c.gate.CompareAndSwap(gateOpen, gateShut) {
		n.unsent = attempt // the withdrawal that follows has nobody to tell
	}
	c.cut.Store(true)
	n.drop(c)
}

// unsend keeps back an attempt of which nothing has left yet.
func (n *Node) unsend(attempt scheduler.AttemptID) {
	if c := n.attempts[attempt]; c != nil && c.gate.CompareAndSwap(gateOpen, gateShut) {
		delete(n.attempts, attempt)
		n.drop(c)
		n.later(scheduler.AttemptEnded{Attempt: attempt, Outcome: dispatch.NotSent})
	}
}

func (n *Node) withdraw(w scheduler.CancelAttempt) {
	if n.unsent == w.Attempt {
		n.later(scheduler.CancellationResult{Attempt: w.Attempt, Acknowledged: true})
		return
	}
	c, ok := n.assign(w.Addr, errand{attempt: w.Attempt, id: w.ID, writeBy: w.Deadline, deadline: w.Deadline})
	if !ok {
		n.log.Warn("short on connections: a job is not withdrawn", "txn", w.ID)
		n.later(scheduler.CancellationResult{Attempt: w.Attempt})
		return
	}
	n.attempts[w.Attempt] = c
	n.calls++
}

func (n *Node) linkWrote(m wrote) error {
	next, e := m.conn.WriteEnded(writeResult(m.err))
	if end, is := e.(scheduler.AttemptEnded); is && (m.err == errLeaves || m.err == errUnheard || m.err == errNobody) {
		n.log.Info("an attempt turned back", "txn", m.conn.id, "worker", m.conn.addr, "why", m.err)
		end.Outcome = dispatch.NotSent // the worker is not at fault
		e = end
	}
	if end, is := e.(scheduler.AttemptEnded); is && end.Outcome == dispatch.ConnectFailed && n.noRoom(m.conn, m.err) {
		n.log.Info("a worker has no room for another connection", "worker", m.conn.addr, "txn", m.conn.id)
		end.Outcome = dispatch.AtCapacity
		e = end
	}
	return n.linkNext(m.conn, next, e, m.err)
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

// noRoom tells whether a worker lacks room for a connection: it turns one down at once while
// others of ours stand. A process that is gone would have reset those, and a machine that is
// gone turns nothing down. Lack of room is no sickness: the worker is not set aside for it.
func (n *Node) noRoom(c *workerConn, cause error) bool {
	if !errors.Is(cause, syscall.ECONNREFUSED) && !errors.Is(cause, syscall.ECONNRESET) {
		return false
	}
	if len(n.links[c.addr]) > 0 {
		return true
	}
	for _, o := range n.attempts {
		if o != c && o.addr == c.addr && o.Written {
			return true
		}
	}
	return false
}

func (n *Node) linkBroke(c *workerConn) error {
	next, e := c.ReadEnded()
	if next == connstate.Drop && e == nil { // it idled
		n.unlist(c)
	}
	return n.linkNext(c, next, e, nil)
}

// unlist takes a connection from those that idle.
func (n *Node) unlist(c *workerConn) {
	n.links[c.addr] = slices.DeleteFunc(n.links[c.addr], func(o *workerConn) bool { return o == c })
}

func (n *Node) linkAnswered(m response) error {
	c := m.conn
	idled, unsent := !c.Busy, c.Busy && !c.Released && !c.Cancel && c.gate.CompareAndSwap(gateOpen, gateShut)
	next, e := c.Answered(m.Answer)
	if unsent { // it came before anything of the attempt had left, and now nothing will
		e = scheduler.AttemptEnded{Attempt: c.Attempt, Outcome: dispatch.NotSent}
	}
	if next == connstate.Drop && (idled || unsent) {
		n.log.Warn("an answer that nobody asked for", "worker", c.addr, "status", m.Status)
		n.unlist(c) // where it idled
	}
	switch e := e.(type) {
	case scheduler.CancellationResult:
		if m.Status >= 300 && m.Status != 404 {
			n.log.Warn("withdrawal not taken", "worker", c.addr, "txn", c.id, "status", m.Status)
		}
	case scheduler.AttemptRejected:
		n.log.Info("a worker rejects a request", "worker", c.addr, "txn", c.id, "status", m.Status)
	case scheduler.AttemptEnded:
		if e.Outcome == dispatch.Failed && m.Status != 500 {
			n.log.Warn("unexpected answer of a worker", "worker", c.addr, "txn", c.id, "status", m.Status)
		}
	}
	if next == connstate.Idle && n.keptFor == 0 {
		next = connstate.Drop
	}
	if next == connstate.Idle {
		c.since = n.now()
		n.links[c.addr] = append(n.links[c.addr], c)
	}
	return n.linkNext(c, next, e, nil)
}

// linkNext does with a connection what its state machine says, and passes on what that
// means for its errand.
func (n *Node) linkNext(c *workerConn, next connstate.Disposition, e scheduler.Event, cause error) error {
	if e == nil {
		if next == connstate.Drop {
			n.drop(c)
		}
		return nil
	}
	delete(n.attempts, c.Attempt)
	if c.Cancel {
		n.calls--
	}
	if next == connstate.Drop {
		n.drop(c)
		if !answered(e) {
			n.log.Info("connection to a worker failed", "worker", c.addr, "txn", c.id, "sent", c.Written, "error",
				cause)
		}
	}
	return n.step(e)
}

// answered tells whether an event came of a worker's answer and not of its
// connection's end.
func answered(e scheduler.Event) bool {
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
	defer n.post(ended{c})
	defer c.release()
	first := <-c.errands
	conn, err := c.connect(n.at(first.writeBy))
	if err != nil {
		n.post(wrote{c, err})
		return
	}
	defer func() {
		if tcp, ok := conn.(*net.TCPConn); ok && c.cut.Load() {
			tcp.SetLinger(0) // a machine that is silent would get the request when it is back
		}
		conn.Close()
	}()
	defer c.wordIsIn()
	over := make(chan struct{})
	n.spawn(func() {
		defer close(over)
		c.listen(conn)
	})
	for e := first; ; {
		select {
		case <-over: // ended while it idled: writing now would only look like a reset
			err = net.ErrClosed
		default:
			if err = c.write(conn, &e); err == errGivenUp {
				return
			}
		}
		n.post(wrote{c, err})
		c.wordIsIn()
		if err != nil {
			return
		}
		select {
		case e = <-c.errands:
		case <-c.ctx.Done(): // the loop has let it go
			return
		}
	}
}

const (
	// secondAfter is the part of the time for a connect after which a second one is begun beside it.
	secondAfter = 4
	// mostSecond is how many second connects may stand at once: their descriptors are among the spare ones.
	mostSecond = 8
)

// connect opens a connection by a time. Single connects come up late on some networks; a second one
// beside such a one mostly does not. Whichever is up first is taken: nothing is sent on the other.
func (c *workerConn) connect(by time.Time) (net.Conn, error) {
	type end struct {
		conn net.Conn
		err  error
	}
	n := c.node
	ctx, release := context.WithCancel(c.ctx)
	defer release()
	open := dial
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
	second := time.NewTimer(time.Until(by) / secondAfter)
	defer second.Stop()
	for {
		select {
		case <-second.C:
			if n.second.Add(1) > mostSecond {
				n.second.Add(-1)
			} else {
				begun++
				begin(func() { n.second.Add(-1) })
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

// dialer opens a connection by a time.
type dialer func(ctx context.Context, addr string, by time.Time) (net.Conn, error)

func dial(ctx context.Context, addr string, by time.Time) (net.Conn, error) {
	d := net.Dialer{Deadline: by, KeepAlive: -1}
	return d.DialContext(ctx, "tcp", addr)
}

var (
	errGivenUp = errors.New("given up before anything got out")
	errNobody  = errors.New("its client has left")
)

// write sends an errand. For an attempt the last look at what discovery has told comes with
// the first byte in hand, and again for as long as none has left; a word that is not taken in
// yet is waited for.
func (c *workerConn) write(conn net.Conn, e *errand) error {
	n := c.node
	conn.SetWriteDeadline(n.at(e.writeBy))
	if e.payload == nil {
		if !c.begin() {
			return errGivenUp
		}
		_, err := conn.Write(e.bytes(n.now(), c.addr))
		return err
	}
	raw, err := conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return err
	}
	text := e.bytes(n.now(), c.addr)
	for {
		changed, held, out := n.told.next(), error(nil), 0
		wait := raw.Write(func(fd uintptr) bool {
			if out == 0 {
				now := n.now()
				if held = n.told.may(e.uid, now); held == nil && now > e.writeBy {
					held = os.ErrDeadlineExceeded
				}
			}
			switch { // until the last byte is out nothing has begun
			case held == nil && (e.payload.gone.Load() || c.cut.Load()):
				held = errNobody
			case held == nil && !c.ordered && !c.begin():
				held = errGivenUp
			}
			if held != nil {
				return true
			}
			var sent int
			if sent, err = send(fd, text[out:]); err == syscall.EAGAIN {
				return false
			}
			out += sent
			return err != nil || out == len(text)
		})
		switch {
		case held == errNobody && out > 0:
			c.cut.Store(true) // and what has left goes with the connection
			return held
		case held == errUnread || held == errNobody: // the loop is about to hear the same, and gives it up
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
			return errGivenUp
		case <-time.After(time.Until(n.at(e.writeBy))):
			if held != errNobody {
				held = os.ErrDeadlineExceeded
			}
			return held
		}
	}
}

// begin passes the gate with an errand's first byte in hand.
func (c *workerConn) begin() bool {
	c.order.Lock()
	if c.ordered = c.gate.CompareAndSwap(gateOpen, gateWriting); !c.ordered {
		c.order.Unlock()
	}
	return c.ordered
}

// wordIsIn lets answers pass: the writer's word is in the inbox, or none will come.
func (c *workerConn) wordIsIn() {
	if c.ordered {
		c.ordered = false
		c.order.Unlock()
	}
}

// send writes what a socket that never blocks takes.
func send(fd uintptr, b []byte) (n int, err error) {
	for {
		if n, err = syscall.Write(int(fd), b); err != syscall.EINTR {
			return max(n, 0), err
		}
	}
}

// listen reads answers, and so also sees the end of a connection that idles.
func (c *workerConn) listen(conn net.Conn) {
	read := http1.NewReader(conn)
	for {
		r, err := read.Response()
		if err != nil {
			c.node.post(broke{c})
			return
		}
		var report dispatch.Report
		if load := r.Header.Get("X-Pressure"); load != "" {
			in := jlexer.Lexer{Data: []byte(load)}
			if report = decodeReport(&in); in.Error() != nil {
				report = dispatch.Report{}
			}
		}
		c.order.Lock() // an answer must not overtake the word that its attempt was written
		c.order.Unlock()
		c.node.post(response{c, connstate.Answer{Status: r.Status, TurnedAway: r.Header.Get("X-Turned-Away") == "1",
			Close: r.Close, Report: report}})
		if r.Close {
			return
		}
	}
}

func (e *errand) bytes(now scheduler.Micros, host string) []byte {
	if e.payload == nil {
		return http1.AppendRequest(nil, "DELETE", "/jobs/"+url.PathEscape(e.id),
			[]http1.Field{{Name: "Host", Value: host}}, nil)
	}
	p := e.payload
	left := strconv.FormatInt(int64(max(e.deadline-now, 0)/1000), 10)
	return http1.AppendRequest(make([]byte, 0, 512+len(p.body)), p.method, p.target, []http1.Field{
		{Name: "Host", Value: host}, {Name: "X-Txn", Value: e.id}, {Name: "X-Remaining-Ms", Value: left},
		{Name: "Idempotency-Key", Value: p.key}}, p.body)
}
