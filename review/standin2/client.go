package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// lostAfter is how long after its time the answer to a request may come before the request counts as lost.
const lostAfter = 500 * time.Millisecond

var lastID atomic.Int64

// request is a job that a stand-in client hands in.
type request struct {
	id, class string
	wait      time.Duration // the time that the client waits for the answer
	runMs     int           // how long the job runs
	sent      time.Time     // when its last byte was written
}

// newRequest returns a request of the class post-reading.
func newRequest(wait time.Duration, runMs int) *request {
	return &request{id: fmt.Sprintf("%016x", 0x1b1f03aa00000000+lastID.Add(1)), class: "post-reading",
		wait: wait, runMs: runMs}
}

// text returns the request as it is sent.
func (q *request) text(host string) string {
	body := fmt.Sprint(q.runMs)
	return fmt.Sprintf("POST /%s/%s HTTP/1.1\r\nHost: %s\r\nX-Txn: %s\r\nX-Lane: %s\r\nX-Org: sahel\r\n"+
		"X-Remaining-Ms: %d\r\nContent-Length: %d\r\n\r\n%s", q.class, q.id, host, q.id, q.class,
		q.wait.Milliseconds(), len(body), body)
}

// outcome is how a request ended at its client.
type outcome struct {
	status int // 0: no answer
	at     time.Time
	err    error
}

// late returns how long after the request's time the answer came.
func (o outcome) late(q *request) time.Duration { return o.at.Sub(q.sent.Add(q.wait)) }

// send writes requests with one write.
func (t *trial) send(conn net.Conn, requests ...*request) error {
	text := ""
	for _, q := range requests {
		text += q.text(conn.RemoteAddr().String())
	}
	_, err := io.WriteString(conn, text)
	for _, q := range requests {
		q.sent = time.Now()
		t.note("client sent %s, class %s, waits %v, runs %d ms", q.id, q.class, q.wait, q.runMs)
	}
	return err
}

// answer reads the answer to a request. It waits on, for a while after the request's time.
func (t *trial) answer(reader *bufio.Reader, q *request) outcome {
	response, err := http.ReadResponse(reader, nil)
	o := outcome{at: time.Now(), err: err}
	if err == nil {
		_, o.err = io.Copy(io.Discard, response.Body)
		o.at, o.status = time.Now(), response.StatusCode
		_ = response.Body.Close()
	}
	t.note("client got for %s: status %d, error %v, %.3f s after its time", q.id, o.status, o.err,
		o.late(q).Seconds())
	return o
}

// singleClient hands in one request on a new connection and judges its answer.
func (t *trial) singleClient(addr string, q *request) {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.note("client could not connect: %v", err)
		return
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(20 * time.Second))
	if err := t.send(conn, q); err != nil {
		t.note("client could not send %s: %v", q.id, err)
		return
	}
	t.judgeAnswer(q, t.answer(bufio.NewReader(conn), q))
}

// judgeAnswer checks that a request got its final answer in time.
func (t *trial) judgeAnswer(q *request, o outcome) {
	switch late := o.late(q); {
	case o.status == 0:
		t.breaks("%s got no answer: %v", q.id, o.err)
	case late > lostAfter+limitSlack:
		t.breaks("%s was answered (%d) %.3f s after its time", q.id, o.status, late.Seconds())
	}
}
