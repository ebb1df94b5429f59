package node

import (
	"strconv"
	"time"

	"dahliaford/internal/http1"
	"dahliaford/internal/scheduler"
)

// writeGrace is how long after its deadline, and after its decision, a response may still be written: a
// client that does not read must not hold a connection for ever.
const writeGrace = 5 * time.Second

var statusOfVerdict = map[scheduler.Verdict]int{
	scheduler.Served: 200, scheduler.Refused: 503, scheduler.Failed: 500, scheduler.Invalid: 400,
	scheduler.Conflict: 409,
}

// response is what a client gets.
type response struct {
	status     int
	closeConn  bool   // the connection is closed after it
	retryAfter string // seconds; empty: none
	body       []byte
}

// responseTo returns the response that tells a scheduler's answer.
func responseTo(answer scheduler.Answer, closeConn bool) response {
	r := response{status: statusOfVerdict[answer.Verdict], closeConn: closeConn, body: answer.Body}
	switch answer.Verdict {
	case scheduler.Refused:
		r.retryAfter = formatRetryAfter(answer.RetryAfter)
	case scheduler.Invalid, scheduler.Conflict:
		r.body = append(r.body, '\n') // the body is a line of text
	}
	return r
}

func formatRetryAfter(wait scheduler.Micros) string {
	return strconv.FormatFloat(float64(wait)/1e6, 'f', -1, 64)
}

// respond writes a response in one piece. It reports whether the connection stays open.
func (c *client) respond(deadline scheduler.Micros, r response) bool {
	connection := ""
	if r.closeConn {
		connection = "close"
	}
	if c.node.cfg.Settings.Dispatch.MaxRetryAfter == 0 {
		r.retryAfter = "" // the settings do not allow it
	}
	b := http1.AppendResponse(make([]byte, 0, 256+len(r.body)), r.status,
		[]http1.Field{{Name: "Retry-After", Value: r.retryAfter}, {Name: "Connection", Value: connection}}, r.body)
	c.conn.SetWriteDeadline(latest(c.node.timeOf(deadline), time.Now()).Add(writeGrace))
	_, err := c.conn.Write(b)
	return err == nil && !r.closeConn
}
