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

// endDisconnected ends a connection whose client has left, or has sent more than is kept for it.
func (c *client) endDisconnected(at scheduler.Micros, why error) (keepOpen bool) {
	if why == errReadAheadLimit {
		c.node.log.Warn("bad request", "from", c.conn.RemoteAddr().String(), "why", errReadAheadLimit.Error())
		c.respond(at, 400, true, "", []byte(errReadAheadLimit.Error()+"\n"))
		c.linger()
	}
	return false
}
