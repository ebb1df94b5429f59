package node

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"runtime"
	"sync/atomic"
	"time"

	"dahliaford/internal/http1"
	"dahliaford/internal/scheduler"
)

const (
	// firstRequestTimeout is the longest time from the accept of a connection to the end of the first request on
	// that connection. A client that sends nothing, or an incomplete request, must get an error response or a
	// close within 3 s.
	firstRequestTimeout = 2 * time.Second
	// requestTimeout is the longest time from the first byte to the last byte of a later request.
	requestTimeout = 5 * time.Second
	// lingerTime is how long the node still reads a client connection after its last response, so that the close
	// does not reset the connection before the client has read that response.
	lingerTime = 500 * time.Millisecond
	// closeGrace is how long the node still waits for a further request when it closes an idle client
	// connection.
	closeGrace = 100 * time.Millisecond
	// requesterCloseGrace replaces closeGrace for clients that never sent an accepted job or a callback
	// (rankRequester). Closing the connection of such a client cannot lose an accepted job.
	requesterCloseGrace = closeGrace / 10
)

// The messages that the acceptor and the goroutines of client connections send to the event loop.
type (
	clientOpened struct{ client *client }
	clientClosed struct{ client *client }
	submission   struct {
		client *client
		// receivedAt is the time from which the client's remaining time counts: the time at which the node had read
		// the request completely. For the first request of a connection that may have waited in the listener's
		// queue, receivedAt is the earliest time at which the connection can have entered that queue.
		receivedAt scheduler.Micros
		scheduler.Submitted
	}
	// callbackReceived is a worker's callback. The event loop releases the memory.
	callbackReceived struct {
		client *client
		scheduler.Callback
		memory *requestMemory
	}
	// callerLeft tells that a client has disconnected while its job waited. The event loop releases the memory
	// of the job once the scheduler has dropped the job.
	callerLeft struct {
		scheduler.ClientDisconnected
		memory *requestMemory
	}
	// evictionRequest asks the event loop to close client connections, because few or no client slots are free.
	evictionRequest struct{}
)

// client is one accepted connection. The goroutine serve owns the connection and closes it; the event loop
// requests the close with closeWhenIdle. While awaitRequest or readAhead runs in a goroutine, no other
// goroutine may read the connection.
type client struct {
	node    *Node
	conn    net.Conn
	inbound *inbound
	reader  *http1.Reader
	// answers receives the scheduler's answer to the job in progress. The channel has capacity for one answer.
	answers chan scheduler.Answer
	// ctx is cancelled when the connection should be closed as soon as it is idle.
	ctx           context.Context
	closeWhenIdle context.CancelFunc
	acceptedAt    scheduler.Micros
	// queuedSince is the earliest time at which the next request can have been complete, if it may have waited:
	// in the listener's queue for a client slot, or during a pause of the connection; otherwise 0.
	queuedSince scheduler.Micros
	pacer       pacer
	// unproductive says that the last request was neither a job that was served nor a callback.
	unproductive bool
	// strayCallbacks counts callbacks for jobs that are not open. The event loop counts them.
	strayCallbacks atomic.Int32
	// idleSince is the time, as scheduler.Micros, since which the connection has no request in progress; 0 while
	// a request is in progress.
	idleSince atomic.Int64
	rank      atomicRank
}

func newClient(n *Node, conn net.Conn) *client {
	c := &client{node: n, conn: conn, inbound: newInbound(conn, n.memory), pacer: pacer{shared: n.pace}}
	c.reader = http1.NewReader(c.inbound)
	c.reader.KeptFields, c.reader.BodyBegins = clientFields, c.inbound.bodyBegins
	c.answers = make(chan scheduler.Answer, 1)
	c.reader.SendContinue = func() {
		conn.SetWriteDeadline(time.Now().Add(writeGrace))
		// If this write fails, writing the response fails as well.
		_, _ = io.WriteString(conn, "HTTP/1.1 100 Continue\r\n\r\n")
	}
	c.ctx, c.closeWhenIdle = context.WithCancel(n.ctx)
	c.acceptedAt = n.now()
	c.idleSince.Store(int64(c.acceptedAt))
	return c
}

// serve is the connection's goroutine. It serves the requests of the connection one after the other.
func (c *client) serve() {
	n := c.node
	defer func() {
		c.closeWhenIdle()
		c.conn.Close()
		c.inbound.releaseAhead()
		n.serving.Done()
		n.releaseSlot()
		n.post(clientClosed{c})
	}()
	// The deadline for the first request is set only once, so that a client cannot extend it by sending single
	// bytes.
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
		c.pace(next)
		// If the next request has already arrived, the goroutine does not block on it, and would keep the processor
		// for a whole time slice while all other goroutines wait.
		runtime.Gosched()
	}
}

// closing reports whether the connection should be closed as soon as it is idle.
func (c *client) closing() bool { return c.ctx.Err() != nil }

// awaitRequest waits in a new goroutine until the first byte of the next request arrives, or until reading
// fails, for example because the client disconnects. No other goroutine may read the connection until the
// result has been received from the channel.
func (c *client) awaitRequest() <-chan error {
	next := make(chan error, 1)
	c.node.spawn(func() { next <- c.reader.Wait() })
	return next
}

// waitIdle waits until the next request begins. It returns an error if the connection ends, or should be
// closed, before a request begins.
//
// A request may arrive while the node closes the connection. If the request's first byte arrives before the
// read deadline that waitIdle then sets, the node still serves the request: a client whose connection is
// closed after it has sent a request takes its job for lost.
func (c *client) waitIdle(next <-chan error) error {
	select {
	case err := <-next:
		return err
	case <-c.ctx.Done():
	}
	switch c.rank.load() {
	case rankEvicted: // evict has already set the read deadline.
	case rankRequester:
		c.conn.SetReadDeadline(time.Now().Add(requesterCloseGrace))
	case rankNew: // The client may have just connected, and its first request may be in transit.
		c.conn.SetReadDeadline(time.Now().Add(lingerTime))
	default:
		c.conn.SetReadDeadline(time.Now().Add(closeGrace))
	}
	if err := <-next; err != nil {
		return err
	}
	// The first request has begun and gets the rest of firstRequestTimeout, but at least lingerTime.
	if c.rank.load() == rankNew {
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

// closeIdle ends an idle connection; why is the error that ended reading. If the node's own read deadline
// ended reading, a request may arrive between the last read and the close, and the close would lose that
// request without an answer. So closeIdle sends a 503 response before the close. The response is correct for
// a request that arrives late, because the node never submits the job of that request. A client that has sent
// no request takes the unsolicited response for the end of the connection.
func (c *client) closeIdle(why error) {
	if !errors.Is(why, os.ErrDeadlineExceeded) {
		return // Reading ended because the client has disconnected.
	}
	c.respond(c.node.now(), unavailable)
	// Without linger, a reset of the connection could destroy the response before the client reads it. For a
	// client that never sent a complete request the node does not linger, because other clients wait for the
	// slot of that client. During a shutdown the node lingers for such a client, too: the client's front end may
	// have chosen this node just before.
	if c.rank.load() > rankNew || c.node.draining.Load() {
		c.linger()
	}
}

// linger closes the sending side of the connection and keeps reading for lingerTime, after a response to a
// request that was not read completely. An immediate close would reset the connection, and the client might
// never read the response.
func (c *client) linger() {
	if half, ok := c.conn.(interface{ CloseWrite() error }); ok && half.CloseWrite() == nil {
		c.conn.SetReadDeadline(time.Now().Add(lingerTime))
		c.inbound.discard(4 * http1.MaxBodyBytes)
	}
}

// closeDisconnected ends a connection whose client has disconnected, or has sent more than maxReadAhead bytes
// before the response to its present request. In the second case it sends a 400 response.
func (c *client) closeDisconnected(receivedAt scheduler.Micros, why error) {
	if errors.Is(why, errReadAheadLimit) {
		c.node.log.Warn("bad request", "from", c.conn.RemoteAddr().String(), "why", errReadAheadLimit.Error())
		c.respond(receivedAt, response{status: 400, closeConn: true,
			body: []byte(errReadAheadLimit.Error() + "\n")})
		c.linger()
	}
}
