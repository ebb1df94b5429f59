package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// job is a job that a worker holds.
type job struct {
	id, key   string
	body      []byte
	remaining string
	cancelled chan struct{}
}

// worker is a stand-in for a job worker. It takes each job, runs it for a time that the case sets, and
// reports its start and end by callbacks.
type worker struct {
	rig       *rig
	uid, addr string
	callback  func() string             // callback returns the address for callbacks.
	run       func(j *job) (end string) // run runs a job and returns its last state, or "".
	quiet     bool                      // quiet keeps single jobs out of the record.

	mu   sync.Mutex
	jobs map[string]*job
}

// newWorker starts a worker at a free loopback address.
func newWorker(r *rig, uid string, callback func() string, run func(j *job) string) *worker {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	r.check(err, "start a worker")
	w := &worker{rig: r, uid: uid, addr: listener.Addr().String(), callback: callback, run: run,
		jobs: map[string]*job{}}
	server := &http.Server{Handler: http.HandlerFunc(w.serve)}
	go func() { _ = server.Serve(listener) }()
	return w
}

// target returns the worker's entry in the worker list.
func (w *worker) target(group int) target {
	return target{UID: w.uid, Endpoint: w.addr, Zone: "north", Model: "m1", Group: group, State: "ready",
		Hint: 1}
}

func (w *worker) serve(out http.ResponseWriter, q *http.Request) {
	if id, found := strings.CutPrefix(q.URL.Path, "/jobs/"); found && q.Method == http.MethodDelete {
		w.cancel(out, id)
		return
	}
	body, err := io.ReadAll(q.Body)
	if err != nil {
		return
	}
	j := &job{id: q.Header.Get("X-Txn"), key: q.Header.Get("Idempotency-Key"), body: body,
		remaining: q.Header.Get("X-Remaining-Ms"), cancelled: make(chan struct{})}
	if j.id == "" {
		http.NotFound(out, q)
		return
	}
	w.logf("worker %s: job %s key %q has come, remaining %s ms", w.uid, j.id, j.key, j.remaining)
	w.mu.Lock()
	w.jobs[j.id] = j
	w.mu.Unlock()
	out.WriteHeader(http.StatusAccepted)
	_ = http.NewResponseController(out).Flush()
	go w.work(j)
}

// cancel gives up a job, as a DELETE asks.
func (w *worker) cancel(out http.ResponseWriter, id string) {
	w.mu.Lock()
	j := w.jobs[id]
	delete(w.jobs, id)
	w.mu.Unlock()
	w.logf("worker %s: DELETE of job %s, held: %v", w.uid, id, j != nil)
	if j == nil {
		out.WriteHeader(http.StatusNotFound)
		return
	}
	close(j.cancelled)
	out.WriteHeader(http.StatusOK)
}

// work runs a job and reports its last state, unless the job was given up.
func (w *worker) work(j *job) {
	end := w.run(j)
	w.mu.Lock()
	held := w.jobs[j.id] == j
	if held {
		delete(w.jobs, j.id)
	}
	w.mu.Unlock()
	if held && end != "" {
		w.tell(j, end)
	}
}

// tell sends a callback until it is answered, ten times at most.
func (w *worker) tell(j *job, state string) {
	fields := map[string]string{"id": j.id, "from": w.uid, "state": state}
	if state == "done" {
		fields["result"] = strings.ToUpper(string(j.body))
	}
	raw, _ := json.Marshal(fields)
	for range 10 {
		status, err := request(w.callback(), http.MethodPost, "/callback", nil, raw, 2*time.Second)
		if err == nil {
			w.logf("worker %s: told %s of job %s, answer %d", w.uid, state, j.id, status)
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// logf writes a line to the record, unless the worker is quiet.
func (w *worker) logf(format string, args ...any) {
	if !w.quiet {
		w.rig.logf(format, args...)
	}
}

// sleep waits for a time, or until the job is given up; it reports whether the time has passed.
func (j *job) sleep(d time.Duration) bool {
	select {
	case <-j.cancelled:
		return false
	case <-time.After(d):
		return true
	}
}
