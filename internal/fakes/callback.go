package fakes

import (
	"encoding/json"
	"net"
	"net/http"
	"time"

	"dahliaford/internal/http1"
)

const (
	maxCallbackAttempts = 10 // with the repeated ones
	callbackTimeout     = 2 * time.Second
	callbackInterval    = 20 * time.Millisecond
)

// callback reports a job's state to the scheduler until that has accepted it, ten times at most, and then
// as many times more as the script says.
func (w *Worker) callback(id string, state JobState, result string, repeat int) {
	fields := map[string]string{"id": id, "from": w.UID, "state": string(state)}
	if state == Done {
		fields["result"] = result
	}
	body, err := json.Marshal(fields)
	if err != nil {
		panic(err) // strings can always be marshalled
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

// postCallback makes one attempt at a callback on a connection of its own, and reports whether it was
// accepted.
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
