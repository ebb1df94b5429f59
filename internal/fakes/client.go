package fakes

import (
	"net"
	"strconv"
	"time"

	"dahliaford/internal/history"
	"dahliaford/internal/http1"
)

// lateAnswerWait is how much longer than its deadline a client reads, to see a late answer as such.
const lateAnswerWait = 2 * time.Second

// Submission is one job that a client submits.
type Submission struct {
	ID, Class, Tenant, Key string
	Body                   []byte
	Deadline               time.Time // the client gives up then
	DisconnectAt           time.Time // the client disconnects before its deadline; zero: it waits
}

// Submit submits a job on a connection of its own and waits for the answer.
func Submit(addr string, s Submission, recorder Recorder) (*http1.Response, error) {
	dialer := net.Dialer{Deadline: s.Deadline}
	conn, err := dialer.Dial("tcp", addr)
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	return SubmitOn(conn, http1.NewReader(conn), s, recorder)
}

// SubmitOn submits a job on an idle connection and waits for the answer. After an error the connection is
// of no use.
func SubmitOn(conn net.Conn, reader *http1.Reader, s Submission, recorder Recorder) (*http1.Response, error) {
	event := history.Event{ID: s.ID, Actor: "client", Class: s.Class}
	remaining := strconv.FormatInt(max(time.Until(s.Deadline).Milliseconds(), 0), 10)
	event.Kind, event.Deadline = history.Sent, s.Deadline
	recorder.record(event)
	if _, err := conn.Write(http1.AppendRequest(nil, "POST", "/"+s.Class+"/"+s.ID, []http1.Field{
		{Name: "Host", Value: conn.RemoteAddr().String()},
		{Name: "X-Txn", Value: s.ID},
		{Name: "X-Lane", Value: s.Class},
		{Name: "X-Org", Value: s.Tenant},
		{Name: "X-Remaining-Ms", Value: remaining},
		{Name: "Idempotency-Key", Value: s.Key},
	}, s.Body)); err != nil {
		event.Kind = history.Unanswered
		recorder.record(event)
		return nil, err
	}
	conn.SetReadDeadline(s.readDeadline())
	answer, err := reader.Response()
	switch {
	case err == nil:
		event.Kind, event.Status, event.Result = history.Answered, answer.Status, string(answer.Body)
	case !s.DisconnectAt.IsZero():
		event.Kind = history.ClientDisconnected
	default:
		event.Kind = history.Unanswered
	}
	recorder.record(event)
	return answer, err
}

// readDeadline is until when the client reads.
func (s *Submission) readDeadline() time.Time {
	switch {
	case s.DisconnectAt.IsZero():
		return s.Deadline.Add(lateAnswerWait)
	case s.DisconnectAt.Before(s.Deadline):
		return s.DisconnectAt
	default:
		return s.Deadline
	}
}
