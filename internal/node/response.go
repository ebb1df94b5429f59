package node

import (
	"strconv"
	"time"

	"dahliaford/internal/http1"
	"dahliaford/internal/scheduler"
)

// writeGrace limits the time to write a response. It counts from the job's deadline, or from the start of
// the write if that is later. A client that does not read its response must not occupy a connection without
// limit.
const writeGrace = 5 * time.Second

const (
	// headBytes is the usual size of the head of a message that the node writes.
	headBytes = 256
	// smallBodyBytes is the size up to which a body is copied behind its head, so that one write sends both.
	smallBodyBytes = 1 << 10
)

// joinSmallBody appends a small body to its head. It returns what to write first and, if the body is large,
// the body to write after that.
func joinSmallBody(head, body []byte) (first, rest []byte) {
	if len(body) > smallBodyBytes {
		return head, body
	}
	return append(head, body...), nil
}

var statusOfVerdict = map[scheduler.Verdict]int{
	scheduler.Served: 200, scheduler.Refused: 503, scheduler.Failed: 500, scheduler.Invalid: 400,
	scheduler.Conflict: 409,
}

// response is a response to a client's request.
type response struct {
	status     int
	closeConn  bool   // closeConn says that the node closes the connection after the response in any case.
	retryAfter string // retryAfter is the Retry-After header in seconds; empty means no header.
	body       []byte
}

// unavailable refuses a request whose connection the node closes. The job of the request was not submitted.
var unavailable = response{status: 503, closeConn: true, retryAfter: "0"}

// responseTo converts the scheduler's answer to a job to a response.
func responseTo(answer scheduler.Answer, closeConn bool) response {
	r := response{status: statusOfVerdict[answer.Verdict], closeConn: closeConn, body: answer.Body}
	switch answer.Verdict {
	case scheduler.Refused:
		r.retryAfter = formatRetryAfter(answer.RetryAfter)
	case scheduler.Invalid, scheduler.Conflict:
		r.body = append(r.body, '\n') // The response body is one line of text.
	}
	return r
}

func formatRetryAfter(wait scheduler.Micros) string {
	return strconv.FormatFloat(float64(wait)/1e6, 'f', -1, 64)
}

// respond writes a response, with a single write call unless its body is large: that is not copied. It
// reports whether the connection stays open. If the connection should be closed, the response ends it: a
// client that sends its next request at once would otherwise keep the connection open without end.
func (c *client) respond(deadline scheduler.Micros, r response) bool {
	r.closeConn = r.closeConn || c.closing()
	connection := ""
	if r.closeConn {
		connection = "close"
	}
	if c.node.cfg.Settings.Dispatch.MaxRetryAfter == 0 {
		r.retryAfter = "" // The settings do not allow a Retry-After header.
	}
	head := http1.AppendResponseHead(make([]byte, 0, headBytes+smallBodyBytes), r.status, []http1.Field{
		{Name: "Retry-After", Value: r.retryAfter}, {Name: "Connection", Value: connection}}, len(r.body))
	c.conn.SetWriteDeadline(latest(c.node.timeOf(deadline), time.Now()).Add(writeGrace))
	first, rest := joinSmallBody(head, r.body)
	_, err := c.conn.Write(first)
	if err == nil && len(rest) > 0 {
		_, err = c.conn.Write(rest)
	}
	return err == nil && !r.closeConn
}
