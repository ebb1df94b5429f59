package simfleet

import (
	"encoding/json"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"dahliaford/internal/fakes"
	"dahliaford/internal/history"
	"dahliaford/internal/http1"
)

const (
	maxCallbackAttempts  = 10
	callbackTimeout      = 2 * time.Second
	maxIdleCallbackConns = 64 // connections to a scheduler that are kept for the next callback
)

// workers are all hollow workers. A job says in its body how long it runs, and in its id which
// scheduler has it.
type workers struct {
	server  *fakes.Server
	uids    []string
	down    []atomic.Bool // by place: its machine is off
	record  fakes.Recorder
	traffic *traffic

	mu        sync.Mutex
	jobs      map[string]*job
	addrs     []string // of the schedulers
	idle      []chan *pooledConn
	callbacks sync.WaitGroup
	closed    chan struct{}
}

// job is a job that a worker holds.
type job struct {
	id        string
	place     int
	cancelled chan struct{} // closed when it is withdrawn or lost
}

func newWorkers(n, schedulers int, rec fakes.Recorder, t *traffic) (*workers, error) {
	w := &workers{uids: make([]string, n), down: make([]atomic.Bool, n), record: rec, traffic: t,
		jobs: map[string]*job{}, addrs: make([]string, schedulers), idle: make([]chan *pooledConn, schedulers),
		closed: make(chan struct{})}
	for i := range w.uids {
		w.uids[i] = fmt.Sprintf("s-%08x", i+1)
	}
	for i := range w.idle {
		w.idle[i] = make(chan *pooledConn, maxIdleCallbackConns)
	}
	l, err := listenLoopback(0)
	if err != nil {
		return nil, err
	}
	w.server = fakes.Serve(l, w.serve)
	return w, nil
}

// endpoints are the workers as discovery lists them: ready, in equal parts of the zones, eight to a
// group.
func (w *workers) endpoints(zones []string) []fakes.Endpoint {
	_, port, _ := net.SplitHostPort(w.server.Addr())
	at, _ := strconv.Atoi(port)
	lines := make([]fakes.Endpoint, len(w.uids))
	for i := range lines {
		zone := i * len(zones) / len(lines)
		lines[i] = fakes.Endpoint{UID: w.uids[i], Addr: workerAddress(i, at), Zone: zones[zone], Kind: "m1",
			Cell: i / 8, State: "ready"}
	}
	return lines
}

func (w *workers) close() {
	close(w.closed)
	w.server.Close()
	w.callbacks.Wait()
	for _, idle := range w.idle {
		for len(idle) > 0 {
			(<-idle).conn.Close()
		}
	}
}

// powerOff turns machines off: their jobs are lost, and nobody tells of them.
func (w *workers) powerOff(places []int) {
	off := map[int]bool{}
	for _, place := range places {
		w.down[place].Store(true)
		off[place] = true
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for id, j := range w.jobs {
		if off[j.place] {
			delete(w.jobs, id)
			close(j.cancelled)
			w.recordEvent(history.Event{Kind: history.WorkerDied, ID: id, Actor: w.uids[j.place]})
		}
	}
}

func (w *workers) powerOn(places []int) {
	for _, place := range places {
		w.down[place].Store(false)
	}
}

func (w *workers) recordEvent(e history.Event) {
	if w.record != nil && isRecorded(e.ID) {
		e.At = time.Now()
		w.record(e)
	}
}

func (w *workers) serve(plain net.Conn) {
	place := addressIndex(plain)
	if place < 0 || place >= len(w.uids) || w.down[place].Load() {
		fakes.ResetConn(plain)
		return
	}
	conn := countedConn{plain, w.traffic}
	read := http1.NewReader(conn)
	for {
		m, err := read.Request()
		if err != nil {
			return
		}
		if w.down[place].Load() {
			fakes.ResetConn(plain)
			return
		}
		if id, is := strings.CutPrefix(m.Target, "/jobs/"); is && m.Method == "DELETE" {
			status := w.cancel(id, place)
			if _, err := conn.Write(http1.AppendResponse(nil, status, nil, nil)); err != nil {
				return
			}
			continue
		}
		j := &job{id: m.Header.Get("X-Txn"), place: place, cancelled: make(chan struct{})}
		_, run, known := parseJob(j.id, m.Body, len(w.addrs))
		if !known {
			conn.Write(http1.AppendResponse(nil, 400, nil, nil))
			return
		}
		w.recordEvent(history.Event{Kind: history.Arrived, ID: j.id, Actor: w.uids[place]})
		w.mu.Lock()
		w.jobs[j.id] = j
		w.mu.Unlock()
		if _, err := conn.Write(http1.AppendResponse(nil, 202, nil, nil)); err != nil {
			if w.finish(j, history.Event{Kind: history.Closed, ID: j.id, Actor: w.uids[place]}) {
				close(j.cancelled)
			}
			return
		}
		w.callbacks.Go(func() { w.runJob(j, run) })
	}
}

func (w *workers) cancel(id string, place int) (status int) {
	status = 404
	w.mu.Lock()
	if j := w.jobs[id]; j != nil && j.place == place {
		delete(w.jobs, id)
		close(j.cancelled)
		status = 200
	}
	w.mu.Unlock()
	w.recordEvent(history.Event{Kind: history.CancelReceived, ID: id, Actor: w.uids[place], Status: status})
	return status
}

// finish takes a job off its worker, unless it has been withdrawn or lost.
func (w *workers) finish(j *job, e history.Event) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.jobs[j.id] != j {
		return false
	}
	delete(w.jobs, j.id)
	w.recordEvent(e)
	return true
}

func (w *workers) runJob(j *job, span time.Duration) {
	w.recordEvent(history.Event{Kind: history.Started, ID: j.id, Actor: w.uids[j.place]})
	w.callback(j, "started", "")
	if span > 0 {
		select {
		case <-time.After(span):
		case <-j.cancelled:
			return
		case <-w.closed:
			return
		}
	}
	result := "did " + j.id
	if w.finish(j, history.Event{Kind: history.Ended, ID: j.id, Actor: w.uids[j.place], MayHaveRun: true,
		Result: result}) {
		w.callback(j, "done", result)
	}
}

// callback calls the scheduler back until it has an answer, ten times at most.
func (w *workers) callback(j *job, state, result string) {
	news := map[string]string{"id": j.id, "from": w.uids[j.place], "state": state}
	if result != "" {
		news["result"] = result
	}
	body, err := json.Marshal(news)
	if err != nil {
		return
	}
	k, _, _ := parseJob(j.id, nil, len(w.addrs))
	w.mu.Lock()
	addr := w.addrs[k]
	w.mu.Unlock()
	for range maxCallbackAttempts {
		if w.post(k, addr, body) {
			return
		}
		select {
		case <-time.After(20 * time.Millisecond):
		case <-w.closed:
			return
		}
	}
}

// post makes one callback on a connection that idles, or a new one.
func (w *workers) post(k int, addr string, body []byte) bool {
	var c *pooledConn
	select {
	case c = <-w.idle[k]:
	default:
		var err error
		if c, err = dial(addr, w.traffic); err != nil {
			return false
		}
	}
	c.conn.SetDeadline(time.Now().Add(callbackTimeout))
	_, err := c.conn.Write(http1.AppendRequest(nil, "POST", "/callback",
		[]http1.Field{{Name: "Host", Value: addr}}, body))
	if err == nil {
		var m *http1.Response
		if m, err = c.reader.Response(); err == nil {
			if !m.Close {
				c.release(w.idle[k])
			} else {
				c.conn.Close()
			}
			return m.Status == 200 || m.Status == 204
		}
	}
	c.conn.Close()
	return false
}

// pooledConn is a connection to a scheduler that is used again.
type pooledConn struct {
	conn   net.Conn
	reader *http1.Reader
}

func dial(addr string, t *traffic) (*pooledConn, error) {
	conn, err := net.DialTimeout("tcp", addr, callbackTimeout)
	if err != nil {
		return nil, err
	}
	c := countedConn{conn, t}
	return &pooledConn{c, http1.NewReader(c)}, nil
}

// release keeps a connection for the next one, or closes it if enough are kept.
func (c *pooledConn) release(idle chan *pooledConn) {
	select {
	case idle <- c:
	default:
		c.conn.Close()
	}
}

// A job's id is the scheduler's number, what it is handed in for, and a number of its own.
func jobID(scheduler int, what string, n int64) string {
	return fmt.Sprintf("%d-%s-%x", scheduler, what, n)
}

// jobPathPurpose marks jobs that are timed and not checked.
const jobPathPurpose = "path"

// isRecorded tells whether a job's history is kept.
func isRecorded(id string) bool { return !strings.Contains(id, "-"+jobPathPurpose+"-") }

// parseJob reads a job's id, and from its body how long it runs.
func parseJob(id string, body []byte, schedulers int) (k int, run time.Duration, known bool) {
	first, _, found := strings.Cut(id, "-")
	k, err := strconv.Atoi(first)
	if !found || err != nil || k < 0 || k >= schedulers {
		return 0, 0, false
	}
	if len(body) > 0 {
		if run, err = time.ParseDuration(string(body)); err != nil || run < 0 || run > time.Minute {
			return 0, 0, false
		}
	}
	return k, run, true
}
