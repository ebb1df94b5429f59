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

// The messages that the goroutines of connections to workers send to the event loop.
type (
	// writeEnded tells how dialling or writing ended. It is sent once for each exchange (attempt or
	// cancellation), unless the event loop has dropped the connection.
	writeEnded struct {
		conn *workerConn
		err  error
	}
	workerResponse struct {
		conn *workerConn
		connstate.WorkerResponse
	}
	// readEnded says that nothing more can be read from the connection.
	readEnded struct{ conn *workerConn }
	// workerConnClosed says that the file descriptor of the connection has been released.
	workerConnClosed struct{ conn *workerConn }
)

// workerConn is a connection to a worker. The goroutine run dials, writes and closes; a second goroutine,
// readResponses, reads.
type workerConn struct {
	node *Node
	addr string
	// exchanges passes exchanges (requests to the worker: an attempt or a cancellation) from the event loop to
	// run. The channel has capacity for one exchange, because a connection has one exchange at a time.
	exchanges chan exchange
	ctx       context.Context
	cancel    context.CancelFunc

	// Only the event loop accesses the following fields.
	connstate.Conn
	requestID string // requestID is the ID of the job whose attempt or cancellation is in progress, for the log.
	// idleSince is the time since which the connection is idle; unused while a request is in progress.
	idleSince scheduler.Micros

	// The event loop and the writer share these fields.

	writeState atomicWriteState
	// discardUnsent says that no further byte of the request to the worker may be written, and that the close
	// must discard bytes that are still in the send buffer.
	discardUnsent atomic.Bool

	// responseOrder keeps a response from reaching the inbox before the writeEnded of the same exchange. The
	// writer holds the mutex from the first byte of an exchange until the writeEnded is in the inbox, and the
	// reader waits for the mutex before it posts a response.
	responseOrder      sync.Mutex
	holdsResponseOrder bool // holdsResponseOrder is true while the writer, its only user, holds responseOrder.
}

// start begins an exchange, which is an attempt or a cancellation, on a connection that is idle or new.
func (c *workerConn) start(e exchange) {
	c.Assign(e.attempt, e.payload == nil)
	c.requestID = e.requestID
	c.writeState.reset()
	c.exchanges <- e // This send does not block: the channel has capacity for the connection's only request.
}

// run is the goroutine that owns the connection's socket, from the dial to the close.
func (c *workerConn) run() {
	n := c.node
	defer n.post(workerConnClosed{c})
	defer c.cancel()
	e := <-c.exchanges
	conn, err := c.dial(n.timeOf(e.writeBy))
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
	for {
		select {
		// The worker has closed the idle connection, so nothing is written: the error of a write now would look
		// like a reset of the connection during an attempt.
		case <-readerDone:
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
		e.payload = nil // An idle connection keeps no payload.
		select {
		case e = <-c.exchanges:
		case <-c.ctx.Done(): // The event loop has dropped the connection.
			return
		}
	}
}

// close closes the socket. With discardUnsent it also discards data in the send buffer: otherwise the
// operating system would still send that data when a worker's machine that is unreachable now can be reached
// again.
func (c *workerConn) close(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok && c.discardUnsent.Load() {
		_ = tcp.SetLinger(0) // SetLinger fails only if the socket is already closed.
	}
	conn.Close()
}

// workerFields are the header fields that the node reads in responses of workers.
var workerFields = http1.NewFieldNames("X-Turned-Away", "X-Pressure")

// readResponses reads responses until the connection ends. It also detects the end of an idle connection.
func (c *workerConn) readResponses(conn net.Conn) {
	reader := http1.NewReader(conn)
	reader.KeptFields, reader.DiscardBodies = workerFields, true
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

// waitWriteEnded waits until the message writeEnded of the current attempt or cancellation is in the inbox,
// if the writer has begun to write it.
func (c *workerConn) waitWriteEnded() {
	c.responseOrder.Lock()
	c.responseOrder.Unlock() //nolint:staticcheck // SA2001: the lock is acquired to wait for the writer
}

// loadReport returns the load report in the X-Pressure header of a response. It returns the zero Report,
// which is marked as unknown, if the header is missing or malformed.
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
