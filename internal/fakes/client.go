package fakes

import (
	"net"
	"strconv"
	"time"

	"dahliaford/internal/history"
	"dahliaford/internal/http1"
)

// lateAnswerWait is the time for which a client reads on after the deadline of its job, so that the recorded
// history contains answers that arrive late.
const lateAnswerWait = 2 * time.Second

// Submission is a job that a client submits. Key is the idempotency key.
type Submission struct {
	ID, Class, Tenant, Key string
	Body                   []byte
	Deadline               time.Time // deadline for the answer, sent to the scheduler as the remaining time
	DisconnectAt           time.Time // disconnect time of the client; zero: the client waits for the answer
}

// Submit submits a job on a new connection and waits for the answer.
func Submit(addr string, s Submission, recorder Recorder) (*http1.Response, error) {
	dialer := net.Dialer{Deadline: s.Deadline}
	conn, err := dialer.Dial("tcp", addr)
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	return SubmitOn(conn, http1.NewReader(conn), s, recorder)
}

// SubmitOn submits a job on an idle connection and waits for the answer. After an error the caller must not
// use the connection for further jobs.
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

// readDeadline returns the time until which the client waits for an answer.
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
