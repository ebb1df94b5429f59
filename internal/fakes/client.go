package fakes

import (
	"net"
	"strconv"
	"time"

	"dahliaford/internal/history"
	"dahliaford/internal/http1"
)

// Submission is one job that a client hands in.
type Submission struct {
	ID, Class, Tenant, Key string
	Body                   []byte
	Deadline               time.Time // the client gives up then
	DisconnectAt           time.Time // it leaves before that; zero: it waits
}

// Submit hands a job in on a connection of its own and waits for the answer.
func Submit(addr string, s Submission, rec Recorder) (*http1.Response, error) {
	dialer := net.Dialer{Deadline: s.Deadline}
	conn, err := dialer.Dial("tcp", addr)
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	return SubmitOn(conn, http1.NewReader(conn), s, rec)
}

// SubmitOn hands a job in on a connection on which nothing is under way, and waits for the
// answer. After an error the connection is of no use.
func SubmitOn(conn net.Conn, read *http1.Reader, s Submission,
	rec Recorder) (*http1.Response, error) {
	until := s.Deadline
	event := history.Event{ID: s.ID, Actor: "client", Class: s.Class}
	left := strconv.FormatInt(max(time.Until(s.Deadline).Milliseconds(), 0), 10)
	event.Kind, event.Deadline = history.Sent, s.Deadline
	rec.record(event)
	if _, err := conn.Write(http1.AppendRequest(nil, "POST", "/"+s.Class+"/"+s.ID, []http1.Field{
		{Name: "Host", Value: conn.RemoteAddr().String()}, {Name: "X-Txn", Value: s.ID},
		{Name: "X-Lane", Value: s.Class}, {Name: "X-Org", Value: s.Tenant}, {Name: "X-Remaining-Ms", Value: left},
		{Name: "Idempotency-Key", Value: s.Key}}, s.Body)); err != nil {
		event.Kind = history.Unanswered
		rec.record(event)
		return nil, err
	}
	if !s.DisconnectAt.IsZero() && s.DisconnectAt.Before(until) {
		until = s.DisconnectAt
	}
	conn.SetReadDeadline(until.Add(grace(s)))
	m, err := read.Response()
	switch {
	case err == nil:
		event.Kind, event.Status, event.Result = history.Answered, m.Status, string(m.Body)
	case !s.DisconnectAt.IsZero():
		event.Kind = history.ClientDisconnected
	default:
		event.Kind = history.Unanswered
	}
	rec.record(event)
	return m, err
}

// grace is how much longer than its deadline a client listens, to see a late answer as such.
func grace(s Submission) time.Duration {
	if s.DisconnectAt.IsZero() {
		return 2 * time.Second
	}
	return 0
}
