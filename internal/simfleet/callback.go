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
	maxIdleCallbackConns = 64 // connections to a scheduler that are kept for the next callback
)

// callbackState is the state of a job in a callback.
type callbackState string

const (
	callbackStarted callbackState = "started"
	callbackDone    callbackState = "done"
)

// callback reports a job's state to its scheduler until that has accepted it, ten times at most.
func (w *workers) callback(j *job, state callbackState, result string) {
	fields := map[string]string{"id": j.id, "from": w.uids[j.worker], "state": string(state)}
	if result != "" {
		fields["result"] = result
	}
	body, err := json.Marshal(fields)
	if err != nil {
		panic(err) // strings can always be marshalled
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

// postCallback makes one attempt at a callback, and reports whether it was accepted.
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
