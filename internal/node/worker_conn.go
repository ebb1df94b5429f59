package node

import (
	"context"
	"errors"
	"net"
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
	writeEnded struct { // exactly one for each exchange, unless the connection was dropped
		conn *workerConn
		err  error
	}
	workerResponse struct {
		conn *workerConn
		connstate.WorkerResponse
	}
	readEnded        struct{ conn *workerConn } // nothing more can be read
	workerConnClosed struct{ conn *workerConn } // its descriptor is free
)

// workerConn is a connection to a worker. Its goroutine, run, dials, writes and closes; a second goroutine,
// readResponses, reads.
type workerConn struct {
	node      *Node
	addr      string
	exchanges chan exchange // from the loop to run; holds one, as the connection has one exchange at a time
	ctx       context.Context
	cancel    context.CancelFunc

	// The loop's.
	connstate.Conn
	requestID string           // of the current exchange, for the log
	idleSince scheduler.Micros // valid while idle

	// Shared by the loop and the writer.
	writeState    atomicWriteState
	discardUnsent atomic.Bool // what has not been sent must not be, even after the connection is closed

	// responseOrder is held by the writer from the first byte of an exchange until its writeEnded is in the
	// inbox. The reader waits for it, so that no response overtakes the writeEnded of its exchange.
	responseOrder      sync.Mutex
	holdsResponseOrder bool // the writer's: it holds responseOrder
}

// start begins an exchange on an idle or a new connection.
func (c *workerConn) start(e exchange) {
	c.Assign(e.attempt, e.payload == nil)
	c.requestID = e.requestID
	c.writeState.reset()
	c.exchanges <- e // it has capacity: a connection has one exchange at a time
}

// run is the goroutine that owns the connection's socket, from the dial to the close.
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
	defer c.close(conn)
	defer c.releaseResponseOrder()
	readerDone := make(chan struct{})
	n.spawn(func() {
		defer close(readerDone)
		c.readResponses(conn)
	})
	for e := first; ; {
		select {
		case <-readerDone: // it was closed while idle: an error of writing now would look like a reset
			err = net.ErrClosed
		default:
			if err = c.write(conn, &e); errors.Is(err, errCancelled) {
				return
			}
		}
		n.post(writeEnded{c, err})
		c.releaseResponseOrder()
		if err != nil {
			return
		}
		select {
		case e = <-c.exchanges:
		case <-c.ctx.Done(): // the loop has dropped it
			return
		}
	}
}

// close closes the socket. If the exchange was abandoned, unsent data is discarded: the system would still
// send it to a machine that is unreachable now, once that is back.
func (c *workerConn) close(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok && c.discardUnsent.Load() {
		_ = tcp.SetLinger(0) // it fails only if the socket is closed already
	}
	conn.Close()
}

// readResponses reads responses until the connection ends, which it also detects while the connection is
// idle.
func (c *workerConn) readResponses(conn net.Conn) {
	reader := http1.NewReader(conn)
	for {
		r, err := reader.Response()
		if err != nil {
			c.node.post(readEnded{c})
			return
		}
		answer := connstate.WorkerResponse{Status: r.Status, NotStarted: r.Header.Get("X-Turned-Away") == "1",
			Close: r.Close, Report: loadReport(r)}
		c.waitWriteEnded()
		c.node.post(workerResponse{c, answer})
		if r.Close {
			return
		}
	}
}

// waitWriteEnded waits until the writeEnded of an exchange that has begun is in the inbox.
func (c *workerConn) waitWriteEnded() {
	c.responseOrder.Lock()
	c.responseOrder.Unlock() //nolint:staticcheck // SA2001: the lock is acquired to wait for the writer
}

// loadReport returns the load report of a response. One that is missing or malformed is unknown.
func loadReport(r *http1.Response) dispatch.Report {
	load := r.Header.Get("X-Pressure")
	if load == "" {
		return dispatch.Report{}
	}
	in := jlexer.Lexer{Data: []byte(load)}
	report := decodeReport(&in)
	if in.Error() != nil {
		return dispatch.Report{}
	}
	return report
}
