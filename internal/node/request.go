package node

import (
	"errors"
	"io"
	"os"
	"strings"
	"time"

	"dahliaford/internal/http1"
	"dahliaford/internal/scheduler"
)

// The paths of requests that are not jobs.
const (
	healthPath   = "/_health"
	callbackPath = "/callback"
)

// serveRequest reads a request and responds to it. If the connection stays open, next receives the result of
// waiting for the next request.
func (c *client) serveRequest() (next <-chan error, keepOpen bool) {
	if c.rank.load() > rankNew {
		c.conn.SetReadDeadline(time.Now().Add(requestTimeout))
	}
	r, err := c.reader.Request()
	receivedAt := c.node.now()
	// The request may have been complete when the connection entered the listener's queue.
	if c.queuedSince != 0 {
		receivedAt, c.queuedSince = c.queuedSince, 0
	}
	if err != nil {
		c.rejectUnreadable(receivedAt, err)
		return nil, false
	}
	c.rank.compareAndSwap(rankNew, rankRequester)
	if c.rank.load() == rankEvicted { // The client was evicted just before its request became complete.
		c.respond(receivedAt, response{status: 503, closeConn: true, retryAfter: "0"})
		return nil, false
	}
	// The read deadline is cleared only after the rank has become rankRequester or higher: from then on evict
	// does not set a read deadline.
	c.conn.SetReadDeadline(time.Time{})
	path, _, _ := strings.Cut(r.Target, "?")
	switch {
	case path == healthPath:
		keepOpen = c.serveHealth(receivedAt, r)
	case r.Method != "POST":
		keepOpen = c.rejectRequest(receivedAt, r, 405, "jobs come by POST")
	case path == callbackPath:
		keepOpen = c.serveCallback(receivedAt, r)
	default:
		return c.submit(receivedAt, r)
	}
	if !keepOpen {
		return nil, false
	}
	return c.awaitRequest(), true
}

// rejectUnreadable responds to a request that could not be read, unless the client has disconnected.
func (c *client) rejectUnreadable(receivedAt scheduler.Micros, err error) {
	log, from := c.node.log, c.conn.RemoteAddr().String()
	var protocolErr *http1.Error
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		log.Warn("client did not send a complete request in time", "from", from)
		c.respond(receivedAt, response{status: 408, closeConn: true})
	case errors.As(err, &protocolErr):
		log.Warn("bad request", "from", from, "why", protocolErr.Text)
		c.respond(receivedAt, response{status: protocolErr.Status, closeConn: true,
			body: []byte(protocolErr.Text + "\n")})
		c.linger()
	case errors.Is(err, io.ErrUnexpectedEOF):
		log.Warn("connection ended within a request", "from", from)
	}
}

// rejectRequest responds to an invalid request. It reports whether the connection stays open: not if no
// client slot is free, because other clients wait for the slot.
func (c *client) rejectRequest(receivedAt scheduler.Micros, r *http1.Request, status int, why string) bool {
	from, id := c.conn.RemoteAddr().String(), r.Header.Get("X-Txn")
	c.node.log.Warn("bad request", "from", from, "txn", id, "why", why)
	return c.respond(receivedAt, response{status: status, closeConn: r.Close || !c.node.hasFreeSlot(),
		body: []byte(why + "\n")})
}

// serveHealth responds to a health check. A status of 503 tells front ends not to send clients to this node.
// serveHealth reports whether the connection stays open.
func (c *client) serveHealth(receivedAt scheduler.Micros, r *http1.Request) bool {
	status := 200
	if c.node.draining.Load() || !c.node.ready() {
		status = 503
	}
	if r.Method != "GET" && r.Method != "HEAD" {
		status = 405
	}
	return c.respond(receivedAt, response{status: status, closeConn: r.Close})
}

// serveCallback passes a worker's callback to the event loop. It reports whether the connection stays open.
func (c *client) serveCallback(receivedAt scheduler.Micros, r *http1.Request) bool {
	callback, err := decodeCallback(r.Body)
	if err != nil {
		return c.rejectRequest(receivedAt, r, 400, "callback: "+err.Error())
	}
	c.rank.store(rankEstablished)
	// The response is sent before the event loop handles the callback, because the worker needs no result.
	keepOpen := c.respond(receivedAt, response{status: 204, closeConn: r.Close})
	c.node.post(callback)
	return keepOpen
}
