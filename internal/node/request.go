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

// The paths that are not jobs.
const (
	healthPath   = "/_health"
	callbackPath = "/callback"
)

// serveRequest reads a request and responds to it. It returns the wait for the next one.
func (c *client) serveRequest() (next <-chan error, keepOpen bool) {
	if c.rank.load() > rankNew {
		c.conn.SetReadDeadline(time.Now().Add(requestTimeout))
	}
	r, err := c.reader.Request()
	at := c.node.now()
	if c.queuedSince != 0 { // its time counts from its last byte, which may have arrived by then
		at, c.queuedSince = c.queuedSince, 0
	}
	if err != nil {
		c.rejectUnreadable(at, err)
		return nil, false
	}
	c.rank.compareAndSwap(rankNew, rankRequester)
	if c.rank.load() == rankEvicted { // it was evicted as the request became complete: nothing was sent on
		c.respond(at, response{status: 503, last: true, retryAfter: "0"})
		return nil, false
	}
	c.conn.SetReadDeadline(time.Time{}) // only now: from rankRequester on nobody cuts the connection off
	path, _, _ := strings.Cut(r.Target, "?")
	switch {
	case path == healthPath:
		keepOpen = c.serveHealth(at, r)
	case r.Method != "POST":
		keepOpen = c.rejectRequest(at, r, 405, "jobs come by POST")
	case path == callbackPath:
		keepOpen = c.serveCallback(at, r)
	default:
		return c.submit(at, r)
	}
	if !keepOpen {
		return nil, false
	}
	return c.awaitRequest(), true
}

// rejectUnreadable responds to a request that could not be read, unless the client has disconnected.
func (c *client) rejectUnreadable(at scheduler.Micros, err error) {
	log, from := c.node.log, c.conn.RemoteAddr().String()
	var protocolErr *http1.Error
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		log.Warn("request too slow", "from", from)
		c.respond(at, response{status: 408, last: true})
	case errors.As(err, &protocolErr):
		log.Warn("bad request", "from", from, "why", protocolErr.Text)
		c.respond(at, response{status: protocolErr.Status, last: true, body: []byte(protocolErr.Text + "\n")})
		c.linger()
	case errors.Is(err, io.ErrUnexpectedEOF):
		log.Warn("request broke off", "from", from)
	}
}

// rejectRequest responds to a request that makes no sense. It reports whether the connection stays open.
func (c *client) rejectRequest(at scheduler.Micros, r *http1.Request, status int, why string) bool {
	from, id := c.conn.RemoteAddr().String(), r.Header.Get("X-Txn")
	c.node.log.Warn("bad request", "from", from, "txn", id, "why", why)
	return c.respond(at, response{status: status, last: r.Close, body: []byte(why + "\n")})
}

// serveHealth responds to a health check: 503 keeps clients away. It reports whether the connection stays
// open.
func (c *client) serveHealth(at scheduler.Micros, r *http1.Request) bool {
	status := 200
	if c.node.draining.Load() || !c.node.ready() {
		status = 503
	}
	if r.Method != "GET" && r.Method != "HEAD" {
		status = 405
	}
	return c.respond(at, response{status: status, last: r.Close})
}

// serveCallback passes a worker's callback to the loop. It reports whether the connection stays open.
func (c *client) serveCallback(at scheduler.Micros, r *http1.Request) bool {
	callback, err := decodeCallback(r.Body)
	if err != nil {
		return c.rejectRequest(at, r, 400, "callback: "+err.Error())
	}
	c.rank.store(rankEstablished)
	// The response does not wait for the loop: the worker needs no result of it.
	keepOpen := c.respond(at, response{status: 204, last: r.Close})
	c.node.post(callback)
	return keepOpen
}
