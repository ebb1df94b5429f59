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

// pathOf returns the path of a request's target.
func pathOf(r *http1.Request) string {
	path, _, _ := strings.Cut(r.Target, "?")
	return path
}

// serveRequest reads a request and responds to it. If the connection stays open, next receives the result of
// waiting for the next request.
func (c *client) serveRequest() (next <-chan error, keepOpen bool) {
	if c.rank.load() > rankNew {
		c.conn.SetReadDeadline(time.Now().Add(requestTimeout))
	}
	memory := c.inbound.beginRequest(c.rank.load() == rankEstablished)
	r, err := c.reader.Request()
	c.inbound.endRequest()
	receivedAt := c.node.now()
	// The request may have been complete when the connection entered the listener's queue.
	if c.queuedSince != 0 {
		receivedAt, c.queuedSince = c.queuedSince, 0
	}
	if err == nil && !memory.complete(r) {
		err = errMemoryEvicted
	}
	if err != nil {
		memory.close()
		c.rejectUnreadable(receivedAt, r, err)
		return nil, false
	}
	c.rank.compareAndSwap(rankNew, rankRequester)
	if c.rank.load() == rankEvicted { // The client was evicted just before its request became complete.
		memory.close()
		c.respond(receivedAt, unavailable)
		return nil, false
	}
	// The read deadline is cleared only after the rank has become rankRequester or higher: from then on evict
	// does not set a read deadline.
	c.conn.SetReadDeadline(time.Time{})
	path := pathOf(r)
	switch {
	case path == callbackPath && r.Method == "POST":
		keepOpen = c.serveCallback(receivedAt, r, memory)
	case path != healthPath && r.Method == "POST":
		return c.submit(receivedAt, r, memory)
	case path == healthPath:
		keepOpen = c.serveHealth(receivedAt, r)
		memory.close()
	default:
		keepOpen = c.rejectRequest(receivedAt, r, 405, "jobs come by POST")
		memory.close()
	}
	if !keepOpen {
		return nil, false
	}
	return c.awaitRequest(), true
}

// rejectUnreadable responds to a request that could not be read, unless the client has disconnected. r is nil
// if the head of the request could not be read.
func (c *client) rejectUnreadable(receivedAt scheduler.Micros, r *http1.Request, err error) {
	log, from := c.node.log, c.conn.RemoteAddr().String()
	var protocolErr *http1.Error
	switch {
	case errors.Is(err, errNoMemory), errors.Is(err, errMemoryEvicted):
		log.Warn("client memory is short; request given up", "from", from, "why", err.Error(),
			"used", c.node.memory.used())
		if r != nil && pathOf(r) == callbackPath {
			return // A worker repeats a callback that gets no answer.
		}
		c.respond(receivedAt, unavailable)
		c.linger()
	case errors.Is(err, os.ErrDeadlineExceeded) && c.rank.load() == rankEvicted:
		log.Warn("connection closed within a request to free its slot", "from", from)
		c.respond(receivedAt, unavailable)
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
// client slot is free, because other clients wait for the slot, nor behind a large request, because reading
// large requests for nothing takes much processor time.
func (c *client) rejectRequest(receivedAt scheduler.Micros, r *http1.Request, status int, why string) bool {
	c.unproductive = true
	from, id := c.conn.RemoteAddr().String(), r.Header.Get("X-Txn")
	c.node.log.Warn("bad request", "from", from, "txn", id, "why", why)
	closeConn := r.Close || !c.node.hasFreeSlot() || c.inbound.received > smallRequestBytes
	return c.respond(receivedAt, response{status: status, closeConn: closeConn, body: []byte(why + "\n")})
}

// serveHealth responds to a health check. A status of 503 tells front ends not to send clients to this node.
// serveHealth reports whether the connection stays open.
func (c *client) serveHealth(receivedAt scheduler.Micros, r *http1.Request) bool {
	c.unproductive = true
	status := 200
	if c.node.draining.Load() || !c.node.ready() {
		status = 503
	}
	if r.Method != "GET" && r.Method != "HEAD" {
		status = 405
	}
	return c.respond(receivedAt, response{status: status, closeConn: r.Close})
}

// serveCallback passes a worker's callback to the event loop, with the memory of the callback. It reports
// whether the connection stays open.
func (c *client) serveCallback(receivedAt scheduler.Micros, r *http1.Request, memory *requestMemory) bool {
	callback, err := decodeCallback(r.Body)
	if err != nil {
		defer memory.close()
		return c.rejectRequest(receivedAt, r, 400, "callback: "+err.Error())
	}
	c.rank.store(rankEstablished)
	// The response is sent before the event loop handles the callback, because the worker needs no result.
	keepOpen := c.respond(receivedAt, response{status: 204, closeConn: r.Close})
	c.node.post(callbackReceived{c, callback, memory})
	return keepOpen
}
