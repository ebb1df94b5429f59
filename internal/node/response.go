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

// respond writes a response with a single write call. It reports whether the connection stays open. If the
// connection should be closed, the response ends it: a client that sends its next request at once would
// otherwise keep the connection open without end.
func (c *client) respond(deadline scheduler.Micros, r response) bool {
	r.closeConn = r.closeConn || c.closing()
	connection := ""
	if r.closeConn {
		connection = "close"
	}
	if c.node.cfg.Settings.Dispatch.MaxRetryAfter == 0 {
		r.retryAfter = "" // The settings do not allow a Retry-After header.
	}
	b := http1.AppendResponse(make([]byte, 0, 256+len(r.body)), r.status,
		[]http1.Field{{Name: "Retry-After", Value: r.retryAfter}, {Name: "Connection", Value: connection}}, r.body)
	c.conn.SetWriteDeadline(latest(c.node.timeOf(deadline), time.Now()).Add(writeGrace))
	_, err := c.conn.Write(b)
	return err == nil && !r.closeConn
}
