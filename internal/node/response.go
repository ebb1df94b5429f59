package node

import (
	"strconv"
	"time"

	"dahliaford/internal/http1"
	"dahliaford/internal/scheduler"
)

var statusOfVerdict = map[scheduler.Verdict]int{
	scheduler.Served: 200, scheduler.Refused: 503, scheduler.Failed: 500, scheduler.Invalid: 400,
	scheduler.Conflict: 409,
}

// retryAfterOf is when a client that is refused should come back.
func retryAfterOf(a scheduler.Answer) string {
	if a.Verdict != scheduler.Refused {
		return ""
	}
	return formatRetryAfter(a.RetryAfter)
}

func formatRetryAfter(wait scheduler.Micros) string {
	return strconv.FormatFloat(float64(wait)/1e6, 'f', -1, 64)
}

// respond sends an answer in one piece. It tells whether the connection can go on.
func (c *client) respond(deadline scheduler.Micros, status int, last bool, retry string,
	body []byte) bool {
	connection := ""
	if last {
		connection = "close"
	}
	if c.node.cfg.Settings.Dispatch.MaxRetryAfter == 0 {
		retry = "" // the settings give clients no advice
	}
	b := http1.AppendResponse(make([]byte, 0, 256+len(body)), status,
		[]http1.Field{{Name: "Retry-After", Value: retry}, {Name: "Connection", Value: connection}}, body)
	c.conn.SetWriteDeadline(latest(c.node.timeOf(deadline), time.Now()).Add(writeGrace))
	_, err := c.conn.Write(b)
	return err == nil && !last
}
