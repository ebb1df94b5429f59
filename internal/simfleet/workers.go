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
	callbackTries  = 10
	callbackWithin = 2 * time.Second
	idleCallbacks  = 64 // connections to a scheduler that are kept for the next callback
)

// workers are all hollow workers. A job says in its body how long it runs, and in its id which
// scheduler has it.
type workers struct {
	http    *fakes.Server
	uids    []string
	down    []atomic.Bool // by place: its machine is off
	record  fakes.Recorder
	traffic *traffic

	mu    sync.Mutex
	jobs  map[string]*hollowJob
	addrs []string // of the schedulers
	idle  []chan *kept
	again sync.WaitGroup
	over  chan struct{}
}

// hollowJob is a job that a worker holds.
type hollowJob struct {
	id    string
	place int
	gone  chan struct{} // closed when it is withdrawn or lost
}

func newWorkers(n, schedulers int, rec fakes.Recorder, t *traffic) (*workers, error) {
	w := &workers{uids: make([]string, n), down: make([]atomic.Bool, n), record: rec, traffic: t,
		jobs: map[string]*hollowJob{}, addrs: make([]string, schedulers), idle: make([]chan *kept, schedulers),
		over: make(chan struct{})}
	for i := range w.uids {
		w.uids[i] = fmt.Sprintf("s-%08x", i+1)
	}
	for i := range w.idle {
		w.idle[i] = make(chan *kept, idleCallbacks)
	}
	l, err := listen(0)
	if err != nil {
		return nil, err
	}
	w.http = fakes.Serve(l, w.serve)
	return w, nil
}

// entries are the workers as discovery lists them: ready, in equal parts of the zones, eight to a
// group.
func (w *workers) entries(zones []string) []fakes.Endpoint {
	_, port, _ := net.SplitHostPort(w.http.Addr())
	at, _ := strconv.Atoi(port)
	lines := make([]fakes.Endpoint, len(w.uids))
	for i := range lines {
		zone := i * len(zones) / len(lines)
		lines[i] = fakes.Endpoint{UID: w.uids[i], Addr: address(i, at), Zone: zones[zone], Model: "m1",
			Group: i / 8, State: "ready"}
	}
	return lines
}

func (w *workers) close() {
	close(w.over)
	w.http.Close()
	w.again.Wait()
	for _, idle := range w.idle {
		for len(idle) > 0 {
			(<-idle).conn.Close()
		}
	}
}

// lose turns machines off: their jobs are lost, and nobody tells of them.
func (w *workers) lose(places []int) {
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
			close(j.gone)
			w.say(history.Event{Kind: history.WorkerDied, ID: id, Actor: w.uids[j.place]})
		}
	}
}

func (w *workers) back(places []int) {
	for _, place := range places {
		w.down[place].Store(false)
	}
}

func (w *workers) say(e history.Event) {
	if w.record != nil && counts(e.ID) {
		e.At = time.Now()
		w.record(e)
	}
}

func (w *workers) serve(plain net.Conn) {
	place := number(plain)
	if place < 0 || place >= len(w.uids) || w.down[place].Load() {
		fakes.ResetConn(plain)
		return
	}
	conn := counted{plain, w.traffic}
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
			status := w.withdraw(id, place)
			if _, err := conn.Write(http1.AppendResponse(nil, status, nil, nil)); err != nil {
				return
			}
			continue
		}
		j := &hollowJob{id: m.Header.Get("X-Txn"), place: place, gone: make(chan struct{})}
		_, run, known := schedulerOf(j.id, m.Body, len(w.addrs))
		if !known {
			conn.Write(http1.AppendResponse(nil, 400, nil, nil))
			return
		}
		w.say(history.Event{Kind: history.Arrived, ID: j.id, Actor: w.uids[place]})
		w.mu.Lock()
		w.jobs[j.id] = j
		w.mu.Unlock()
		if _, err := conn.Write(http1.AppendResponse(nil, 202, nil, nil)); err != nil {
			if w.end(j, history.Event{Kind: history.Closed, ID: j.id, Actor: w.uids[place]}) {
				close(j.gone)
			}
			return
		}
		w.again.Go(func() { w.run(j, run) })
	}
}

func (w *workers) withdraw(id string, place int) (status int) {
	status = 404
	w.mu.Lock()
	if j := w.jobs[id]; j != nil && j.place == place {
		delete(w.jobs, id)
		close(j.gone)
		status = 200
	}
	w.mu.Unlock()
	w.say(history.Event{Kind: history.CancelReceived, ID: id, Actor: w.uids[place], Status: status})
	return status
}

// end takes a job off its worker, unless it has been withdrawn or lost.
func (w *workers) end(j *hollowJob, e history.Event) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.jobs[j.id] != j {
		return false
	}
	delete(w.jobs, j.id)
	w.say(e)
	return true
}

func (w *workers) run(j *hollowJob, span time.Duration) {
	w.say(history.Event{Kind: history.Started, ID: j.id, Actor: w.uids[j.place]})
	w.tell(j, "started", "")
	if span > 0 {
		select {
		case <-time.After(span):
		case <-j.gone:
			return
		case <-w.over:
			return
		}
	}
	result := "did " + j.id
	if w.end(j, history.Event{Kind: history.Ended, ID: j.id, Actor: w.uids[j.place], MayHaveRun: true, Result: result}) {
		w.tell(j, "done", result)
	}
}

// tell calls the scheduler back until it has an answer, ten times at most.
func (w *workers) tell(j *hollowJob, state, result string) {
	news := map[string]string{"id": j.id, "from": w.uids[j.place], "state": state}
	if result != "" {
		news["result"] = result
	}
	body, err := json.Marshal(news)
	if err != nil {
		return
	}
	k, _, _ := schedulerOf(j.id, nil, len(w.addrs))
	w.mu.Lock()
	addr := w.addrs[k]
	w.mu.Unlock()
	for range callbackTries {
		if w.call(k, addr, body) {
			return
		}
		select {
		case <-time.After(20 * time.Millisecond):
		case <-w.over:
			return
		}
	}
}

// call makes one callback on a connection that idles, or a new one.
func (w *workers) call(k int, addr string, body []byte) bool {
	var c *kept
	select {
	case c = <-w.idle[k]:
	default:
		var err error
		if c, err = dial(addr, w.traffic); err != nil {
			return false
		}
	}
	c.conn.SetDeadline(time.Now().Add(callbackWithin))
	_, err := c.conn.Write(http1.AppendRequest(nil, "POST", "/callback",
		[]http1.Field{{Name: "Host", Value: addr}}, body))
	if err == nil {
		var m *http1.Response
		if m, err = c.read.Response(); err == nil {
			if !m.Close {
				c.park(w.idle[k])
			} else {
				c.conn.Close()
			}
			return m.Status == 200 || m.Status == 204
		}
	}
	c.conn.Close()
	return false
}

// kept is a connection to a scheduler that is used again.
type kept struct {
	conn net.Conn
	read *http1.Reader
}

func dial(addr string, t *traffic) (*kept, error) {
	conn, err := net.DialTimeout("tcp", addr, callbackWithin)
	if err != nil {
		return nil, err
	}
	c := counted{conn, t}
	return &kept{c, http1.NewReader(c)}, nil
}

// park keeps a connection for the next one, or closes it if enough are kept.
func (c *kept) park(idle chan *kept) {
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

// onPath marks jobs that are timed and not checked.
const onPath = "path"

// counts tells whether a job's history is kept.
func counts(id string) bool { return !strings.Contains(id, "-"+onPath+"-") }

// schedulerOf reads a job's id, and from its body how long it runs.
func schedulerOf(id string, body []byte, schedulers int) (k int, run time.Duration, known bool) {
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
