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

// afterResponse is what a scripted scheduler does with the connection after a response.
type afterResponse string

const (
	keepOpen        afterResponse = "keep"
	closeConnection afterResponse = "close"
	resetConnection afterResponse = "reset"
	trickleResponse afterResponse = "trickle" // sends a response a byte a second
	noResponse      afterResponse = "silent"  // until the client closes the connection
)

// scriptedScheduler answers each request with the bytes that a test gives.
type scriptedScheduler struct {
	net.Listener
	answer   func(n int64) (text string, then afterResponse) // to the nth request, from 1
	received atomic.Int64                                    // complete requests
	requests chan *http1.Request
}

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
		_, _ = io.WriteString(conn, text) // the client may be gone: the next read shows it
		switch then {
		case resetConnection:
			_ = conn.(*net.TCPConn).SetLinger(0) // on an open socket it cannot fail
			return
		case closeConnection:
			return
		case trickleResponse:
			if !trickle(conn) {
				return
			}
		case noResponse:
			_, _ = reader.Request() // returns when the client closes the connection
			return
		}
	}
}

// trickle sends a response a byte a second, and reports whether the client stayed to its end.
func trickle(conn net.Conn) bool {
	for i := range len(served) {
		if _, err := io.WriteString(conn, served[i:i+1]); err != nil {
			return false
		}
		time.Sleep(time.Second)
	}
	return true
}

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

const served = "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nresult"

// A response that is cut off after each byte: a job that must not run twice is submitted once.
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
			// A reset may overtake what was written before it.
			if got := Verdict(err); got != want && (then != resetConnection || got != "unknown") {
				t.Errorf("cut after %d bytes, %s: %s, want %s (%v)", cut, then, got, want, err)
			}
			if err == nil && string(result.Body) != "result" {
				t.Errorf("cut after %d bytes: %q", cut, result.Body)
			}
			if n := s.received.Load(); n != 1 {
				t.Errorf("cut after %d bytes, %s: submitted %d times", cut, then, n)
			}
		}
	}
}

// Malformed responses end in time, and never as served.
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
				t.Errorf("%s (%v) after %d requests, want %s", got, err, s.received.Load(), c.want)
			}
		})
	}
}

// A refusal is honoured: the next attempt comes no sooner, with a new id and marked as a retry, and the
// last refusal is returned to the caller.
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
		t.Fatalf("%+v, %v after %v", r, err, time.Since(start))
	}
	ids := map[string]bool{}
	for n := range 3 {
		m := <-s.requests
		ids[m.Header.Get("X-Txn")] = true
		want := map[bool]string{true: "1"}[n > 0]
		if diff := cmp.Diff([]string{want, "k", "sahel"}, []string{m.Header.Get("X-Resent"),
			m.Header.Get("Idempotency-Key"), m.Header.Get("X-Org")}); diff != "" {
			t.Errorf("attempt %d: %s", n+1, diff)
		}
	}
	if len(ids) != 3 {
		t.Errorf("%d ids in 3 attempts", len(ids))
	}
	var refused *RefusedError
	alwaysRefuses := startScripted(t, func(int64) (string, afterResponse) {
		return "HTTP/1.1 503 Busy\r\nRetry-After: 0.01\r\nContent-Length: 0\r\n\r\n", keepOpen
	})
	_, err = newTestClient(t, alwaysRefuses.Addr().String()).Do(t.Context(), Job{Class: "post-reading"})
	if !errors.As(err, &refused) || alwaysRefuses.received.Load() != 3 {
		t.Errorf("%v after %d attempts", err, alwaysRefuses.received.Load())
	}
}

// A scheduler that refuses connections: the job did not run, another scheduler gets it, and without one the
// caller may submit it again.
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

// A reused connection that closes as the next request crosses it: for what must not run twice the outcome
// is unknown, and what is safe is repeated.
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
			t.Errorf("%s: %v, want %s", class, err, want)
		}
	}
}

// An idle connection that has closed before the next request is not used for it: a scheduler closes idle
// ones when it runs short of sockets, and that must not cost a job its result.
func TestIdleConnectionAlreadyClosed(t *testing.T) {
	for _, then := range []afterResponse{resetConnection, closeConnection} {
		s := startScripted(t, func(int64) (string, afterResponse) { return served, then })
		c := newTestClient(t, s.Addr().String())
		for n := range 5 {
			// A reset may overtake the answer before it: that is another matter.
			if _, err := c.Do(t.Context(), Job{Class: "post-reading"}); err != nil && then == closeConnection {
				t.Fatalf("job %d, %s: %v", n, then, err)
			}
			waitFor(t, func() bool {
				c.pool.mu.Lock()
				defer c.pool.mu.Unlock()
				return len(c.pool.idle[0]) == 0 || !alive(c.pool.idle[0][0].Conn)
			})
		}
	}
}

func waitFor(t *testing.T, done func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !done(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the condition did not become true within 10 s")
		}
	}
}

// A scheduler that does not respond: the call returns by the deadline. A caller that cancels closes the
// connection at once.
func TestNoResponse(t *testing.T) {
	s := startScripted(t, func(int64) (string, afterResponse) { return "", noResponse })
	c := newTestClient(t, s.Addr().String())
	deadline := time.Now().Add(200 * time.Millisecond)
	_, err := c.Do(t.Context(), Job{Class: "post-reading", Deadline: deadline})
	if late := time.Since(deadline); Verdict(err) != "unknown" || late < 0 || late > 2*time.Second {
		t.Errorf("%v, %v after the deadline", err, late)
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
		t.Errorf("%v after %v", err, time.Since(start))
	}
	_, err = c.Do(t.Context(), Job{Class: "post-reading", Deadline: time.Now().Add(-time.Second)})
	if Verdict(err) != "expired" {
		t.Error(err)
	}
}

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
			t.Errorf("got %v, want %s", err, want)
		}
	}
}

// Clients against the real program: what is served is what the worker returned, nothing that must not run
// twice does, and every call returns once.
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
				t.Errorf("%s was served %q", body, r.Body)
			}
		})
		time.Sleep(5 * time.Millisecond)
	}
	done.Wait()
	for body, n := range runs {
		if n > 1 {
			t.Errorf("%s reached the worker %d times", body, n)
		}
	}
	if verdicts["served"] == 0 {
		t.Errorf("%v", verdicts)
	}
	t.Log(verdicts)
}
