package testcluster

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"dahliaford/internal/endpoints"
	"dahliaford/internal/http1"
)

// fastWorker is a worker whose jobs take no run time: it answers each job with 202 and sends the callbacks
// "started" and "done" at once, on connections that it reuses. It counts the bytes of the connections that it
// accepts jobs on and of those that it sends callbacks on.
type fastWorker struct {
	*http.Server
	addr          string
	scheduler     atomic.Pointer[string] // address that the worker sends callbacks to
	client        *http.Client
	neverFinishes bool // whether the worker sends no callback with the state "done"
	attempts      atomic.Int64
	connections   atomic.Int64
	bytes         atomic.Int64
}

// countedConn is a connection that adds the number of bytes read and written to a counter.
type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read reads from the connection and counts the bytes.
func (c countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

// Write writes to the connection and counts the bytes.
func (c countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

// countingListener is a listener that counts the accepted connections of a worker and their bytes.
type countingListener struct {
	net.Listener
	worker *fastWorker
}

// Accept accepts a connection, counts it, and wraps it in a countedConn.
func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err == nil {
		l.worker.connections.Add(1)
		conn = countedConn{conn, &l.worker.bytes}
	}
	return conn, err
}

func newFastWorker(tb testing.TB) *fastWorker {
	tb.Helper()
	l, err := net.Listen("tcp", anyPortAddr)
	if err != nil {
		tb.Fatal(err)
	}
	w := &fastWorker{addr: l.Addr().String()}
	w.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1024,
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			conn, err := (&net.Dialer{}).DialContext(ctx, network, addr)
			return countedConn{conn, &w.bytes}, err
		}}}
	w.Server = &http.Server{Handler: http.HandlerFunc(w.serve)}
	go func() { _ = w.Serve(countingListener{l, w}) }() // after Close, Serve returns http.ErrServerClosed
	tb.Cleanup(func() { _ = w.Close() })
	return w
}

func (w *fastWorker) serve(out http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil || r.Method != "POST" {
		return
	}
	w.attempts.Add(1)
	out.WriteHeader(http.StatusAccepted)
	id := r.Header.Get("X-Txn")
	go func() {
		w.callback(id, "started", nil)
		if !w.neverFinishes {
			w.callback(id, "done", body)
		}
	}()
}

func (w *fastWorker) callback(id, state string, result []byte) {
	fields := map[string]string{"id": id, "from": "worker-0", "state": state}
	if state == "done" {
		fields["result"] = string(result)
	}
	raw, err := json.Marshal(fields)
	if err != nil {
		panic(err) // marshalling a map of strings cannot fail
	}
	for range 10 {
		target := "http://" + *w.scheduler.Load() + "/callback"
		answer, err := w.client.Post(target, "application/json", bytes.NewReader(raw))
		if err == nil {
			// The transport reuses the connection only if the body, which has no use here, has been read.
			_, _ = io.Copy(io.Discard, answer.Body)
			_ = answer.Body.Close()
			if answer.StatusCode == http.StatusOK || answer.StatusCode == http.StatusNoContent {
				return
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// startWithFastWorker starts a scheduler process with one fastWorker. It sends a heartbeat on the scheduler's
// watch each second until the end of the test.
func startWithFastWorker(tb testing.TB, bin string, schedulers int) (*fastWorker, *Process) {
	tb.Helper()
	w, discovery := newFastWorker(tb), newScriptedDiscovery(tb)
	p, err := StartConfig(bin, tb.TempDir(), Config{Name: "n0", Listen: anyPortAddr,
		Discovery: discovery.Addr().String(), Schedulers: schedulers, MemoryMB: 64, MaxSockets: 1024,
		KnownEndpoints: []endpoints.Endpoint{}})
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(p.Kill)
	w.scheduler.Store(&p.Addr)
	discovery.accept(tb, []endpoints.Endpoint{{UID: "worker-0", Addr: w.addr, Zone: defaultZone,
		Kind: workerKind, State: endpoints.Ready}})
	stop, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		for {
			select {
			case <-stop:
				return
			case <-time.After(time.Second):
				_ = discovery.heartbeat() // if the watch has failed, the scheduler keeps its list
			}
		}
	}()
	tb.Cleanup(func() { close(stop); <-done })
	return w, p
}

// submitJob submits a job and returns the HTTP status of the answer.
func submitJob(conn net.Conn, reader *http1.Reader, id string) (status int, err error) {
	_, err = conn.Write(http1.AppendRequest(nil, "POST", "/"+batchClass+"/"+id, []http1.Field{
		{Name: "Host", Value: "api"}, {Name: "X-Txn", Value: id}, {Name: "X-Lane", Value: batchClass},
		{Name: "X-Org", Value: tenant}, {Name: "X-Remaining-Ms", Value: "3900"},
		{Name: "Idempotency-Key", Value: id}}, []byte(strings.Repeat("4211 ", 40))))
	if err != nil {
		return 0, err
	}
	answer, err := reader.Response()
	if err != nil {
		return 0, err
	}
	return answer.Status, nil
}

// tally counts the results of clients: served jobs, other answers, and the bytes of their connections.
type tally struct{ served, other, bytes atomic.Int64 }

// runClients runs n concurrent clients until a deadline. Each client submits one job after another: on a
// single connection, or, if newConns is set, on a new connection for each job.
func (t *tally) runClients(addr string, n int, deadline time.Time, newConns bool) error {
	errs := make(chan error, n)
	for client := range n {
		go func() { errs <- t.runClient(addr, client, deadline, newConns) }()
	}
	var all error
	for range n {
		all = errors.Join(all, <-errs)
	}
	return all
}

func (t *tally) runClient(addr string, client int, deadline time.Time, newConns bool) error {
	var conn net.Conn
	var reader *http1.Reader
	for time.Now().Before(deadline) {
		if conn == nil {
			raw, err := net.DialTimeout("tcp", addr, 5*time.Second)
			if err != nil {
				return err
			}
			conn = countedConn{raw, &t.bytes}
			conn.SetDeadline(time.Now().Add(60 * time.Second))
			reader = http1.NewReader(conn)
		}
		id := fmt.Sprintf("%08x%08x", client, time.Now().UnixNano()&0xffffffff)
		status, err := submitJob(conn, reader, id)
		switch {
		case err != nil:
			return err
		case status == http.StatusOK:
			t.served.Add(1)
		default:
			t.other.Add(1)
		}
		if newConns {
			conn.Close()
			conn = nil
		}
	}
	if conn != nil {
		conn.Close()
	}
	return nil
}
