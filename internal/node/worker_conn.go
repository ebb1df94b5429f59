package node

import (
	"context"
	"net"
	"net/url"
	"strconv"
	"sync"
	"sync/atomic"

	"github.com/mailru/easyjson/jlexer"

	"dahliaford/internal/connstate"
	"dahliaford/internal/dispatch"
	"dahliaford/internal/http1"
	"dahliaford/internal/scheduler"
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

// exchange is one request to write: an attempt, or the withdrawal of one.
type exchange struct {
	attempt              scheduler.AttemptID
	requestID, workerUID string
	writeBy              scheduler.Micros
	deadline             scheduler.Micros
	payload              *payload // nil: a withdrawal
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

func (c *workerConn) start(e exchange) {
	c.Assign(e.attempt, e.payload == nil)
	c.requestID = e.requestID
	c.writeGate.Store(writePending)
	c.exchanges <- e // it has room: a connection has one errand at a time
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
