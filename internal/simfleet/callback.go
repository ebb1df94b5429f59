package simfleet

import (
	"encoding/json"
	"net/http"
	"time"

	"dahliaford/internal/http1"
)

const (
	maxCallbackAttempts  = 10
	callbackRetryDelay   = 20 * time.Millisecond
	callbackTimeout      = 2 * time.Second
	maxIdleCallbackConns = 64 // idle connections to each scheduler that are kept for later callbacks
)

// callbackState is the state of a job that a callback reports.
type callbackState string

const (
	callbackStarted callbackState = "started"
	callbackDone    callbackState = "done"
)

// callback sends a callback with a job's state to the job's scheduler, up to maxCallbackAttempts times until
// the scheduler accepts it.
func (w *workers) callback(j *job, state callbackState, result string) {
	fields := map[string]string{"id": j.id, "from": w.uids[j.worker], "state": string(state)}
	if result != "" {
		fields["result"] = result
	}
	body, err := json.Marshal(fields)
	if err != nil {
		panic(err) // marshalling a map of strings cannot fail
	}
	w.mu.Lock()
	pool := w.callbacks[j.scheduler]
	w.mu.Unlock()
	for range maxCallbackAttempts {
		if postCallback(pool, body) {
			return
		}
		select {
		case <-time.After(callbackRetryDelay):
		case <-w.closed:
			return
		}
	}
}

// postCallback sends a callback once, and reports whether the scheduler accepted it.
func postCallback(pool *connPool, body []byte) bool {
	c, err := pool.get()
	if err != nil {
		return false
	}
	c.conn.SetDeadline(time.Now().Add(callbackTimeout))
	_, err = c.conn.Write(http1.AppendRequest(nil, "POST", "/callback",
		[]http1.Field{{Name: "Host", Value: pool.addr}}, body))
	if err != nil {
		c.conn.Close()
		return false
	}
	answer, err := c.reader.Response()
	if err != nil {
		c.conn.Close()
		return false
	}
	if answer.Close {
		c.conn.Close()
	} else {
		pool.put(c)
	}
	return answer.Status == http.StatusOK || answer.Status == http.StatusNoContent
}
