package client

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"dahliaford/internal/endpoints"
	"dahliaford/internal/fakes"
	"dahliaford/internal/history"
	"dahliaford/internal/http1"
	"dahliaford/internal/testcluster"
)

// afterResponse says what a scriptedScheduler does with a connection after it has sent the bytes that the
// test chose as the response.
type afterResponse string

const (
	keepOpen        afterResponse = "keep"
	closeConnection afterResponse = "close"
	resetConnection afterResponse = "reset"
	trickleResponse afterResponse = "trickle" // send a complete response, one byte per second
	noResponse      afterResponse = "silent"  // wait until the client closes the connection
)

// scriptedScheduler is a test server that answers each request with bytes chosen by the test.
type scriptedScheduler struct {
	net.Listener
	answer   func(n int64) (text string, then afterResponse) // answer to the nth request, counted from 1
	received atomic.Int64                                    // number of complete requests that were received
	requests chan *http1.Request
}

// startScripted starts a scriptedScheduler on a free local port.
func startScripted(t *testing.T, answer func(n int64) (text string, then afterResponse)) *scriptedScheduler {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &scriptedScheduler{Listener: l, answer: answer, requests: make(chan *http1.Request, 1000)}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	}()
	return s
}

// serve answers the requests on one connection.
func (s *scriptedScheduler) serve(conn net.Conn) {
	defer conn.Close()
	for reader := http1.NewReader(conn); ; {
		request, err := reader.Request()
		if err != nil {
			return
		}
		n := s.received.Add(1)
		s.requests <- request
		text, then := s.answer(n)
		_, _ = io.WriteString(conn, text) // if the client has closed the connection, the next read fails
		switch then {
		case resetConnection:
			_ = conn.(*net.TCPConn).SetLinger(0) // SetLinger cannot fail on an open socket
			return
		case closeConnection:
			return
		case trickleResponse:
			if !trickle(conn) {
				return
			}
		case noResponse:
			_, _ = reader.Request() // Request returns when the client closes the connection
			return
		}
	}
}

// trickle sends a complete response at one byte per second. It reports whether the client kept the connection
// open until the last byte was sent.
func trickle(conn net.Conn) bool {
	for i := range len(served) {
		if _, err := io.WriteString(conn, served[i:i+1]); err != nil {
			return false
		}
		time.Sleep(time.Second)
	}
	return true
}

// newTestClient returns a client with three classes of jobs, which have the effects once, rack and safe: the
// rules for repeating a job that may have run. Its retry budget allows one retry for each job.
func newTestClient(t *testing.T, schedulers ...string) *Client {
	t.Helper()
	c, err := New(Config{Schedulers: schedulers, Tenant: "sahel", Seed: 1, RetryBudget: 1,
		Classes: map[string]Class{
			"post-reading":   {Deadline: 5 * time.Second, Effect: Once},
			"district-batch": {Deadline: 20 * time.Second, Effect: Rack},
			"look":           {Deadline: 5 * time.Second, Effect: Safe, MaxAttempts: 3}}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	return c
}

// served is a complete response with status 200.
const served = "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nresult"

// TestResponseCutAtEveryByte closes or resets the connection after every possible number of bytes of the
// response. A truncated response must end as unknown, and a job that must not run twice must be submitted
// only once.
func TestResponseCutAtEveryByte(t *testing.T) {
	for cut := range len(served) + 1 {
		for _, then := range []afterResponse{resetConnection, closeConnection} {
			s := startScripted(t, func(int64) (string, afterResponse) { return served[:cut], then })
			c := newTestClient(t, s.Addr().String())
			result, err := c.Do(t.Context(), Job{Class: "post-reading", Body: []byte("x")})
			want := "unknown"
			if cut == len(served) {
				want = "served"
			}
			// A reset of the connection may discard bytes that the server sent before the reset, so a complete
			// response may end as unknown, too.
			if got := Verdict(err); got != want && (then != resetConnection || got != "unknown") {
				t.Errorf("response cut after %d bytes, then connection action %s: got verdict %s, want %s (error %v)",
					cut, then, got, want, err)
			}
			if err == nil && string(result.Body) != "result" {
				t.Errorf("response cut after %d bytes: got result %q, want \"result\"", cut, result.Body)
			}
			if n := s.received.Load(); n != 1 {
				t.Errorf("response cut after %d bytes, then connection action %s: job submitted %d times, want once",
					cut, then, n)
			}
		}
	}
}

// TestMalformedResponses checks the verdict for responses that violate HTTP, exceed a limit or have an
// unusual form. A job with a malformed response must be submitted once and must never end as served.
func TestMalformedResponses(t *testing.T) {
	for name, c := range map[string]struct{ text, want string }{
		"no length":    {"HTTP/1.1 200 OK\r\n\r\nresult", "unknown"},
		"garbage":      {"result\r\n\r\n", "unknown"},
		"a giant head": {"HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", 64<<10) + "\r\n\r\n", "unknown"},
		"a giant body": {"HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n", "unknown"},
		"two lengths": {"HTTP/1.1 200 OK\r\nContent-Length: 6\r\nContent-Length: 5\r\n\r\nresult",
			"unknown"},
		"interim without end": {strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", 50), "unknown"},
		"interim, then final": {"HTTP/1.1 100 Continue\r\n\r\n" + served, "served"},
		"truncated":           {"HTTP/1.1 200 OK\r\nContent-Length: 60\r\n\r\nresult", "unknown"},
		"500":                 {"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n", "failed"},
		"302":                 {"HTTP/1.1 302 No\r\nContent-Length: 0\r\n\r\n", "failed"},
		"400":                 {"HTTP/1.1 400 No\r\nContent-Length: 3\r\n\r\nwhy", "invalid"},
		"chunked": {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nresult\r\n0\r\n\r\n",
			"served"},
	} {
		t.Run(name, func(t *testing.T) {
			s := startScripted(t, func(int64) (string, afterResponse) { return c.text, closeConnection })
			_, err := newTestClient(t, s.Addr().String()).Do(t.Context(), Job{Class: "post-reading"})
			if got := Verdict(err); got != c.want || s.received.Load() != 1 {
				t.Errorf(
					"scripted response: got verdict %s (error %v) after %d requests, want verdict %s after 1 request",
					got, err, s.received.Load(), c.want)
			}
		})
	}
}

// TestRefusals checks that a client waits for Retry-After after a refusal, sends each retry with a new id and
// marks it as a retry, and returns a RefusedError when a scheduler refuses the last allowed attempt.
func TestRefusals(t *testing.T) {
	s := startScripted(t, func(n int64) (string, afterResponse) {
		if n < 3 {
			return "HTTP/1.1 503 Busy\r\nRetry-After: 0.05\r\nContent-Length: 0\r\n\r\n", keepOpen
		}
		return served, keepOpen
	})
	start := time.Now()
	r, err := newTestClient(t, s.Addr().String()).Do(t.Context(), Job{Class: "post-reading", Key: "k"})
	if err != nil || r.Attempts != 3 || time.Since(start) < 100*time.Millisecond {
		t.Fatalf(
			"job refused twice: got result %+v, error %v after %v; want success in attempt 3, after 2 waits of 50 ms",
			r, err, time.Since(start))
	}
	ids := map[string]bool{}
	for n := range 3 {
		m := <-s.requests
		ids[m.Header.Get("X-Txn")] = true
		want := map[bool]string{true: "1"}[n > 0]
		if diff := cmp.Diff([]string{want, "k", "sahel"}, []string{m.Header.Get("X-Resent"),
			m.Header.Get("Idempotency-Key"), m.Header.Get("X-Org")}); diff != "" {
			t.Errorf("attempt %d: wrong X-Resent, Idempotency-Key or X-Org (-want +got): %s", n+1, diff)
		}
	}
	if len(ids) != 3 {
		t.Errorf("got %d different X-Txn ids in 3 attempts, want 3", len(ids))
	}
	var refused *RefusedError
	alwaysRefuses := startScripted(t, func(int64) (string, afterResponse) {
		return "HTTP/1.1 503 Busy\r\nRetry-After: 0.01\r\nContent-Length: 0\r\n\r\n", keepOpen
	})
	_, err = newTestClient(t, alwaysRefuses.Addr().String()).Do(t.Context(), Job{Class: "post-reading"})
	if !errors.As(err, &refused) || alwaysRefuses.received.Load() != 3 {
		t.Errorf(
			"scheduler that always refuses: got error %v after %d attempts, want RefusedError after 3 attempts",
			err, alwaysRefuses.received.Load())
	}
}

// TestConnectionRefused checks that a job goes to another scheduler if a scheduler refuses connections, and
// that the job ends as refused if there is no other scheduler.
func TestConnectionRefused(t *testing.T) {
	dead, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	dead.Close()
	if _, err := newTestClient(t, dead.Addr().String()).Do(t.Context(),
		Job{Class: "post-reading"}); Verdict(err) != "refused" {
		t.Error(err)
	}
	s := startScripted(t, func(int64) (string, afterResponse) { return served, keepOpen })
	c := newTestClient(t, dead.Addr().String(), s.Addr().String())
	for range 30 {
		if _, err := c.Do(t.Context(), Job{Class: "post-reading"}); err != nil {
			t.Fatal(err)
		}
	}
}

// TestReusedConnectionCloses resets a reused connection when the next request arrives on it. The client
// cannot know whether that job ran. A job that must not run twice must end as unknown, and a job that is safe
// to repeat must be retried.
func TestReusedConnectionCloses(t *testing.T) {
	for class, want := range map[string]string{"post-reading": "unknown", "district-batch": "unknown",
		"look": "served"} {
		s := startScripted(t, func(n int64) (string, afterResponse) {
			if n == 2 {
				return "", resetConnection
			}
			return served, keepOpen
		})
		c := newTestClient(t, s.Addr().String())
		if _, err := c.Do(t.Context(), Job{Class: class}); err != nil {
			t.Fatal(err)
		}
		if _, err := c.Do(t.Context(), Job{Class: class}); Verdict(err) != want {
			t.Errorf("class %s, reused connection reset: got error %v, want verdict %s", class, err, want)
		}
	}
}

// TestIdleConnectionAlreadyClosed checks that a client does not send a request on an idle connection that the
// scheduler has already closed. A scheduler closes idle connections when it has too few sockets; a job sent
// on such a connection would end as unknown although it never ran.
func TestIdleConnectionAlreadyClosed(t *testing.T) {
	for _, then := range []afterResponse{resetConnection, closeConnection} {
		s := startScripted(t, func(int64) (string, afterResponse) { return served, then })
		c := newTestClient(t, s.Addr().String())
		for n := range 5 {
			// A reset of the connection may discard the response that the server sent before the reset, so the test
			// accepts an error after a reset.
			if _, err := c.Do(t.Context(), Job{Class: "post-reading"}); err != nil && then == closeConnection {
				t.Fatalf("job %d, connection action %s after each response: got error %v, want none", n, then, err)
			}
			waitFor(t, func() bool {
				c.pool.mu.Lock()
				defer c.pool.mu.Unlock()
				return len(c.pool.idle[0]) == 0 || !alive(c.pool.idle[0][0].Conn)
			})
		}
	}
}

// waitFor waits until done returns true, and fails the test after 10 s.
func waitFor(t *testing.T, done func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !done(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the condition that the test waits for is still false after 10 s")
		}
	}
}

// TestNoResponse checks that Do returns at the deadline if the scheduler does not respond, and at once if the
// caller cancels. A job whose deadline has already passed must end as expired.
func TestNoResponse(t *testing.T) {
	s := startScripted(t, func(int64) (string, afterResponse) { return "", noResponse })
	c := newTestClient(t, s.Addr().String())
	deadline := time.Now().Add(200 * time.Millisecond)
	_, err := c.Do(t.Context(), Job{Class: "post-reading", Deadline: deadline})
	if late := time.Since(deadline); Verdict(err) != "unknown" || late < 0 || late > 2*time.Second {
		t.Errorf(
			"no response: got error %v, %v after the job's deadline; want verdict unknown at most 2 s after it",
			err, late)
	}
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-s.requests
		<-s.requests
		cancel()
	}()
	start := time.Now()
	_, err = c.Do(ctx, Job{Class: "post-reading"})
	if Verdict(err) != "unknown" || !errors.Is(err, context.Canceled) || time.Since(start) > 4*time.Second {
		t.Errorf("cancelled job: got error %v after %v, want verdict unknown within 4 s", err, time.Since(start))
	}
	_, err = c.Do(t.Context(), Job{Class: "post-reading", Deadline: time.Now().Add(-time.Second)})
	if Verdict(err) != "expired" {
		t.Error(err)
	}
}

// TestInvalidJobsAndSettings checks that the client rejects invalid jobs itself, and that New rejects an
// invalid configuration with the name of the field.
func TestInvalidJobsAndSettings(t *testing.T) {
	c := newTestClient(t, "127.0.0.1:1")
	for _, job := range []Job{{Class: "nothing"}, {Class: "look", Body: make([]byte, 65<<10)}} {
		if _, err := c.Do(t.Context(), job); Verdict(err) != "invalid" {
			t.Error(err)
		}
	}
	good := Class{Deadline: time.Second, Effect: Once}
	for want, cfg := range map[string]Config{
		"schedulers":         {Classes: map[string]Class{"a": good}},
		"classes: none":      {Schedulers: []string{"x"}},
		"classes.a.effect":   {Schedulers: []string{"x"}, Classes: map[string]Class{"a": {Deadline: 1}}},
		"classes.a.deadline": {Schedulers: []string{"x"}, Classes: map[string]Class{"a": {Effect: Once}}},
		"classes.a.tries": {Schedulers: []string{"x"}, Classes: map[string]Class{"a": {Deadline: 1,
			Effect: Once, MaxAttempts: -1}}},
		"classes.a.window": {Schedulers: []string{"x"}, Classes: map[string]Class{"a": {Deadline: 1,
			Effect: Anywhere}}},
		"budget":      {Schedulers: []string{"x"}, Classes: map[string]Class{"a": good}, RetryBudget: 2},
		"connections": {Schedulers: []string{"x"}, Classes: map[string]Class{"a": good}, MaxConnections: -1},
	} {
		if _, err := New(cfg); err == nil || !strings.HasPrefix(err.Error(), "client: "+want) {
			t.Errorf("invalid configuration: got error %v, want prefix \"client: %s\"", err, want)
		}
	}
}

// TestAgainstTheRealProgram runs a client against a real scheduler process and a fake worker that fails every
// seventh job. Each served result must be the result that the worker returned, and no job may reach the
// worker twice.
func TestAgainstTheRealProgram(t *testing.T) {
	bin, err := buildScheduler()
	if err != nil {
		t.Fatal(err)
	}
	var mu sync.Mutex
	runs := map[string]int{}
	var addr atomic.Value
	addr.Store("127.0.0.1:1")
	worker, err := fakes.NewWorker("s-1", "127.0.0.1:0", func() string { return addr.Load().(string) },
		func(j fakes.Job) fakes.Script {
			mu.Lock()
			defer mu.Unlock()
			runs[string(j.Body)]++
			if len(runs)%7 == 0 {
				return fakes.Script{Status: 500}
			}
			return fakes.Script{RunTime: time.Millisecond}
		}, func(history.Event) {})
	if err != nil {
		t.Fatal(err)
	}
	defer worker.Close()
	discovery, err := fakes.NewDiscovery("127.0.0.1:0", endpoints.Endpoint{UID: "s-1", Addr: worker.Addr(),
		Zone: "north", Kind: "m1", State: "ready"})
	if err != nil {
		t.Fatal(err)
	}
	defer discovery.Close()
	scheduler, err := testcluster.Start(bin, t.TempDir(), "n0", discovery.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer scheduler.Kill()
	addr.Store(scheduler.Addr)
	c, err := New(Config{Schedulers: []string{scheduler.Addr}, Tenant: "sahel", Classes: map[string]Class{
		"post-reading": {Deadline: 2 * time.Second, Effect: Once}}})
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	var done sync.WaitGroup
	verdicts := map[string]int{}
	for n := range 60 {
		done.Go(func() {
			body := fmt.Sprintf("job %d", n)
			r, err := c.Do(t.Context(), Job{Class: "post-reading", Body: []byte(body)})
			mu.Lock()
			defer mu.Unlock()
			verdicts[Verdict(err)]++
			if err == nil && string(r.Body) != strings.ToUpper(body) {
				t.Errorf("%s: got result %q, want the job's body in capitals, as the worker returns it", body, r.Body)
			}
		})
		time.Sleep(5 * time.Millisecond)
	}
	done.Wait()
	for body, n := range runs {
		if n > 1 {
			t.Errorf("%s reached the worker %d times, want at most once", body, n)
		}
	}
	if verdicts["served"] == 0 {
		t.Errorf("%v", verdicts)
	}
	t.Log(verdicts)
}
