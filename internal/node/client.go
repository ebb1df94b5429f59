package node

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync/atomic"
	"time"

	"dahliaford/internal/http1"
	"dahliaford/internal/scheduler"
)

const (
	// firstRequestTimeout is the longest from the accept to the end of the first request. A client that
	// sends nothing, or an incomplete request, must get an error or a close within 3 s.
	firstRequestTimeout = 2 * time.Second
	// requestTimeout is the longest that a later request may take from its first byte on.
	requestTimeout = 5 * time.Second
	// lingerTime is how long a connection is still read after a response that ends it.
	lingerTime = 500 * time.Millisecond
	// closeGrace is how long a connection is still read before it is closed.
	closeGrace = 100 * time.Millisecond
	// requesterCloseGrace is closeGrace for clients whose close cannot lose a job, as they never sent one.
	requesterCloseGrace = closeGrace / 10
)

// Messages of client connections to the loop.
type (
	clientOpened struct{ client *client }
	clientClosed struct{ client *client }
	submission   struct {
		client     *client
		receivedAt scheduler.Micros // when the request had been read
		scheduler.Submitted
	}
	evictionRequest struct{} // client slots are scarce
)

// client is one connection that was accepted. Its goroutine, serve, owns it and closes it; the loop asks for
// the close with closeWhenIdle. While awaitRequest, or readAhead, waits in a goroutine of its own, only that
// one reads.
type client struct {
	node          *Node
	conn          net.Conn
	inbound       *inbound
	reader        *http1.Reader
	answers       chan scheduler.Answer // holds the answer to the job in progress
	ctx           context.Context       // ends when the connection should be closed once it is idle
	closeWhenIdle context.CancelFunc
	acceptedAt    scheduler.Micros
	queuedSince   scheduler.Micros // since when it may have been in the listener's queue; 0: it was not
	idleSince     atomic.Int64     // scheduler.Micros since when no request is in progress; 0: one is
	rank          atomicRank
}

func newClient(n *Node, conn net.Conn) *client {
	c := &client{node: n, conn: conn, inbound: newInbound(conn)}
	c.reader = http1.NewReader(c.inbound)
	c.answers = make(chan scheduler.Answer, 1)
	c.reader.SendContinue = func() {
		conn.SetWriteDeadline(time.Now().Add(writeGrace))
		_, _ = io.WriteString(conn, "HTTP/1.1 100 Continue\r\n\r\n") // if it fails, so does the response
	}
	c.ctx, c.closeWhenIdle = context.WithCancel(n.ctx)
	c.acceptedAt = n.now()
	c.idleSince.Store(int64(c.acceptedAt))
	return c
}

// serve is the connection's goroutine: it serves one request after the other.
func (c *client) serve() {
	n := c.node
	defer func() {
		c.closeWhenIdle()
		c.conn.Close()
		n.serving.Done()
		n.releaseSlot()
		n.post(clientClosed{c})
	}()
	// Set once, so that neither silence nor a byte now and then extends it.
	c.conn.SetReadDeadline(n.timeOf(c.acceptedAt).Add(firstRequestTimeout))
	for next := c.awaitRequest(); ; {
		if err := c.waitIdle(next); err != nil {
			c.closeIdle(err)
			return
		}
		c.idleSince.Store(0)
		var keepOpen bool
		if next, keepOpen = c.serveRequest(); !keepOpen {
			return
		}
		c.idleSince.Store(int64(n.now()))
	}
}

// awaitRequest waits in a goroutine of its own until bytes of the next request arrive, which also detects
// that the client disconnects. Nobody else may read before the result is received.
func (c *client) awaitRequest() <-chan error {
	next := make(chan error, 1)
	c.node.spawn(func() { next <- c.reader.Wait() })
	return next
}

// waitIdle waits until the next request begins. The error says why none does.
//
// A request may cross the close of its connection. Bytes that have arrived by then are still served: to the
// client a close would look like a job that is lost.
func (c *client) waitIdle(next <-chan error) error {
	select {
	case err := <-next:
		return err
	case <-c.ctx.Done():
	}
	switch c.rank.load() {
	case rankEvicted: // evict has set a deadline
	case rankRequester:
		c.conn.SetReadDeadline(time.Now().Add(requesterCloseGrace))
	case rankNew: // it may just have connected, with its first request on the way
		c.conn.SetReadDeadline(time.Now().Add(lingerTime))
	default:
		c.conn.SetReadDeadline(time.Now().Add(closeGrace))
	}
	if err := <-next; err != nil {
		return err
	}
	if c.rank.load() == rankNew { // its first request has begun and gets the time that it had
		first := c.node.timeOf(c.acceptedAt).Add(firstRequestTimeout)
		c.conn.SetReadDeadline(latest(first, time.Now().Add(lingerTime)))
	}
	return nil
}

// latest returns the later one of two times.
func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// closeIdle ends an idle connection for the reason that reading ended. If it was our deadline, a request may
// have arrived since, and a close would lose it: nothing distinguishes the two in time. So the connection
// gets a response before the request is seen: a refusal, which is true, as nothing of the request goes on. A
// client that has sent nothing takes an unsolicited response as the end of the connection.
func (c *client) closeIdle(why error) {
	if !errors.Is(why, os.ErrDeadlineExceeded) {
		return // the client has disconnected
	}
	c.respond(c.node.now(), response{status: 503, closeConn: true, retryAfter: "0"})
	// Linger, or a reset could overtake the response. A client that never sent anything gets no time, as
	// others wait for its slot, except at a shutdown, when its front end has only just chosen this node.
	if c.rank.load() > rankNew || c.node.draining.Load() {
		c.linger()
	}
}

// linger closes the sending side and reads on for a moment, after a response to a request that was not read
// completely. An immediate close would reset the connection, and the client might never see the response.
func (c *client) linger() {
	if half, ok := c.conn.(interface{ CloseWrite() error }); ok && half.CloseWrite() == nil {
		c.conn.SetReadDeadline(time.Now().Add(lingerTime))
		// Whether it ends by the client, the deadline or the limit: the connection is closed next.
		_, _ = io.Copy(io.Discard, io.LimitReader(c.conn, 4*http1.MaxBodyBytes))
	}
}

// closeDisconnected ends a connection whose client has disconnected, or has exceeded the read-ahead limit.
func (c *client) closeDisconnected(receivedAt scheduler.Micros, why error) {
	if errors.Is(why, errReadAheadLimit) {
		c.node.log.Warn("bad request", "from", c.conn.RemoteAddr().String(), "why", errReadAheadLimit.Error())
		c.respond(receivedAt, response{status: 400, closeConn: true,
			body: []byte(errReadAheadLimit.Error() + "\n")})
		c.linger()
	}
}
