package node

import (
	"context"
	"net"
	"net/url"
	"slices"
	"strconv"

	"github.com/mailru/easyjson/jlexer"

	"dahliaford"
	"dahliaford/internal/http1"
	"dahliaford/internal/scheduler"
)

// Messages of connections to regions to the loop.
type (
	wrote struct { // exactly one for each errand, unless the link was let go
		link *link
		err  error
	}
	response struct {
		link *link
		*http1.Response
		report dahliaford.Report
	}
	broke struct{ link *link } // nothing more can be read from it
	ended struct{ link *link } // its descriptor is given back
)

// keptFor is how long a connection that idles is used again. The regions' machines may
// close it at any time, and not all say so: the next request then ends as a reset, and
// a job that must not run twice is lost. A new connection costs little against a job.
const keptFor = 50 * millisecond

const millisecond scheduler.Micros = 1000

// errand is one request to write: a routed task, or the withdrawal of one.
type errand struct {
	task     scheduler.Task // 0: a withdrawal
	id       string
	writeBy  scheduler.Micros
	deadline scheduler.Micros
	payload  *payload
}

// link is a connection to a region. Its goroutine, run, dials, writes and closes; a
// second one reads. What is below ctx belongs to the loop.
type link struct {
	node    *Node
	addr    string
	errands chan errand
	ctx     context.Context
	release context.CancelFunc

	dead    bool // let go: nothing that it says counts any more
	busy    bool
	task    scheduler.Task
	id      string
	written bool // the errand's last byte is out
	broken  bool // reading has ended
	since   scheduler.Micros
}

// assign gives an errand to an idle connection to a region, or to a new one. It
// fails when there is no room for another connection.
func (n *Node) assign(addr string, e errand) (*link, bool) {
	n.retireIdle()
	if idle := n.links[addr]; len(idle) > 0 {
		l := idle[len(idle)-1]
		n.links[addr] = idle[:len(idle)-1]
		l.take(e)
		return l, true
	}
	if n.open >= n.mostOpen-n.mostOpen/8 { // early, as those let go take a moment to close
		n.dropOldest()
	}
	if n.open >= n.mostOpen {
		return nil, false
	}
	l := &link{node: n, addr: addr, errands: make(chan errand, 1)}
	l.ctx, l.release = context.WithCancel(n.ctx)
	n.open++
	l.take(e)
	n.spawn(l.run)
	return l, true
}

func (l *link) take(e errand) {
	l.busy, l.task, l.id, l.written = true, e.task, e.id, false
	l.errands <- e // it has room: a link has one errand at a time
}

// drop lets a connection go.
func (n *Node) drop(l *link) {
	l.dead = true
	l.release()
}

// dropOldest makes room by closing the connection that has idled longest.
func (n *Node) dropOldest() {
	var oldest *link
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
		for len(idle) > 0 && n.now()-idle[0].since > keptFor {
			n.drop(idle[0])
			idle = idle[1:]
		}
		n.links[addr] = idle
	}
}

// retire closes the idle connections to a region.
func (n *Node) retire(addr string) {
	for _, l := range n.links[addr] {
		n.drop(l)
	}
	delete(n.links, addr)
}

func (n *Node) route(r scheduler.Route) {
	l, ok := n.assign(r.Addr, errand{task: r.Task, id: r.ID, writeBy: r.WriteBy, deadline: r.Deadline,
		payload: r.Payload.(*payload)})
	if !ok {
		n.log.Warn("short on connections: a routed task is not sent", "txn", r.ID, "region", r.UID)
		n.later(scheduler.Ended{Task: r.Task, Outcome: dahliaford.ConnectFailed})
		return
	}
	n.tasks[r.Task] = l
}

// later posts from within the loop, which must not wait for itself.
func (n *Node) later(e scheduler.Event) { n.spawn(func() { n.post(e) }) }

func (n *Node) abandon(task scheduler.Task) {
	if l := n.tasks[task]; l != nil {
		delete(n.tasks, task)
		n.drop(l)
	}
}

func (n *Node) withdraw(w scheduler.Withdraw) {
	if _, ok := n.assign(w.Addr, errand{id: w.ID, writeBy: w.Deadline, deadline: w.Deadline}); !ok {
		n.log.Warn("short on connections: a job is not withdrawn", "txn", w.ID)
		return
	}
	n.calls++
}

func (n *Node) linkWrote(m wrote) error {
	l := m.link
	if l.dead {
		return nil
	}
	if m.err != nil {
		// The last byte did not get out, so nothing ran.
		return n.lose(l, dahliaford.ConnectFailed, m.err)
	}
	l.written = true
	if l.broken {
		return n.lose(l, dahliaford.Reset, nil)
	}
	return nil
}

func (n *Node) linkBroke(l *link) error {
	if l.dead {
		return nil
	}
	l.broken = true
	switch {
	case !l.busy:
		n.links[l.addr] = slices.DeleteFunc(n.links[l.addr], func(o *link) bool { return o == l })
		n.drop(l)
	case l.written:
		return n.lose(l, dahliaford.Reset, nil)
	}
	return nil // else the writer's word is still to come, and says which it was
}

// lose ends what a connection was on with the outcome that its end means.
func (n *Node) lose(l *link, o dahliaford.Outcome, cause error) error {
	n.drop(l)
	task := l.task
	delete(n.tasks, task)
	n.log.Info("connection to a region failed", "region", l.addr, "txn", l.id, "sent", l.written, "error", cause)
	if task == 0 {
		n.calls--
		return nil
	}
	return n.step(scheduler.Ended{Task: task, Outcome: o})
}

func (n *Node) linkAnswered(m response) error {
	l := m.link
	if l.dead || !l.busy {
		return nil
	}
	task := l.task
	delete(n.tasks, task)
	l.busy, l.task, l.since = false, 0, n.now()
	if m.Close || l.broken {
		n.drop(l)
	} else {
		n.links[l.addr] = append(n.links[l.addr], l)
	}
	switch {
	case task == 0:
		n.calls--
		if m.Status >= 300 && m.Status != 404 {
			n.log.Warn("withdrawal not taken", "region", l.addr, "txn", l.id, "status", m.Status)
		}
		return nil
	case m.Status == 202:
		return n.step(scheduler.Accepted{Task: task})
	case (m.Status == 503 || m.Status == 504) && m.Header.Get("X-Turned-Away") == "1":
		return n.step(scheduler.Ended{Task: task, Outcome: dahliaford.Full, Report: m.report})
	}
	if m.Status >= 400 && m.Status < 500 && m.Status != 429 {
		n.log.Info("a region rejects a transaction", "region", l.addr, "txn", l.id, "status", m.Status)
		return n.step(scheduler.Rejected{Task: task})
	}
	if m.Status != 500 {
		n.log.Warn("unexpected answer of a region", "region", l.addr, "txn", l.id, "status", m.Status)
	}
	return n.step(scheduler.Ended{Task: task, Outcome: dahliaford.Failed, Report: m.report})
}

// run is the life of a connection.
func (l *link) run() {
	n := l.node
	defer n.post(ended{l})
	defer l.release()
	first := <-l.errands
	dialer := net.Dialer{Deadline: n.at(first.writeBy), KeepAlive: -1}
	conn, err := dialer.DialContext(l.ctx, "tcp", l.addr)
	if err != nil {
		n.post(wrote{l, err})
		return
	}
	defer conn.Close()
	over := make(chan struct{})
	n.spawn(func() {
		defer close(over)
		l.listen(conn)
	})
	for e := first; ; {
		select {
		case <-over: // ended while it idled: writing now would only look like a reset
			err = net.ErrClosed
		default:
			conn.SetWriteDeadline(n.at(e.writeBy))
			_, err = conn.Write(e.bytes(n.now(), l.addr))
		}
		n.post(wrote{l, err})
		if err != nil {
			return
		}
		select {
		case e = <-l.errands:
		case <-l.ctx.Done(): // the loop has let it go
			return
		}
	}
}

// listen reads answers, and so also sees the end of a connection that idles.
func (l *link) listen(conn net.Conn) {
	read := http1.NewReader(conn)
	for {
		r, err := read.Response()
		if err != nil {
			l.node.post(broke{l})
			return
		}
		var report dahliaford.Report
		if load := r.Header.Get("X-Pressure"); load != "" {
			in := jlexer.Lexer{Data: []byte(load)}
			if report = decodeReport(&in); in.Error() != nil {
				report = dahliaford.Report{}
			}
		}
		l.node.post(response{l, r, report})
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
