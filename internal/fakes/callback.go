package fakes

import (
	"encoding/json"
	"net"
	"net/http"
	"time"

	"dahliaford/internal/http1"
)

const (
	maxCallbackAttempts = 10 // limit for each callback, including repetitions of an accepted callback
	callbackTimeout     = 2 * time.Second
	callbackInterval    = 20 * time.Millisecond
)

// callback sends a callback with a job's state to the scheduler until the scheduler has accepted it, and then
// repeats the callback the given number of times. It makes at most maxCallbackAttempts attempts in all.
func (w *Worker) callback(id string, state JobState, result string, repeat int) {
	fields := map[string]string{"id": id, "from": w.UID, "state": string(state)}
	if state == Done {
		fields["result"] = result
	}
	body, err := json.Marshal(fields)
	if err != nil {
		panic(err) // marshalling a map of strings cannot fail
	}
	for range maxCallbackAttempts {
		if postCallback(w.scheduler(), body) {
			if repeat--; repeat < 0 {
				return
			}
		}
		time.Sleep(callbackInterval)
	}
}

// postCallback sends a callback once, on a new connection, and reports whether the scheduler accepted it.
func postCallback(addr string, body []byte) bool {
	deadline := time.Now().Add(callbackTimeout)
	dialer := net.Dialer{Deadline: deadline}
	conn, err := dialer.Dial("tcp", addr)
	if err != nil {
		return false
	}
	defer conn.Close()
	conn.SetDeadline(deadline)
	if _, err := conn.Write(http1.AppendRequest(nil, "POST", "/callback",
		[]http1.Field{{Name: "Host", Value: addr}}, body)); err != nil {
		return false
	}
	answer, err := http1.NewReader(conn).Response()
	return err == nil && (answer.Status == http.StatusOK || answer.Status == http.StatusNoContent)
}
