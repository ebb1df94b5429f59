package node

import (
	"net/url"
	"strconv"

	"dahliaford/internal/http1"
	"dahliaford/internal/scheduler"
)

// exchange is one request to a worker: an attempt, or the cancellation of an attempt.
type exchange struct {
	attempt              scheduler.AttemptID
	requestID, workerUID string
	writeBy              scheduler.Micros
	deadline             scheduler.Micros
	payload              *payload // payload is nil if the request is a cancellation.
}

// encode returns the HTTP request of the exchange: what to write first and, if its body is large, the body to
// write after that. An attempt tells the worker the client's remaining time as of now.
func (e *exchange) encode(now scheduler.Micros, host string) (first, rest []byte) {
	if e.payload == nil {
		return http1.AppendRequest(nil, "DELETE", "/jobs/"+url.PathEscape(e.requestID),
			[]http1.Field{{Name: "Host", Value: host}}, nil), nil
	}
	p := e.payload
	remaining := strconv.FormatInt(int64(max(e.deadline-now, 0)/1000), 10)
	head := http1.AppendRequestHead(make([]byte, 0, 2*headBytes), p.method, p.target, []http1.Field{
		{Name: "Host", Value: host}, {Name: "X-Txn", Value: e.requestID},
		{Name: "X-Remaining-Ms", Value: remaining}, {Name: "Idempotency-Key", Value: p.idempotencyKey}},
		len(p.body))
	return joinSmallBody(head, p.body)
}
