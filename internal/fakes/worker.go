package fakes

import (
	"encoding/json"
	"net"
	"strings"
	"sync"
	"time"

	"dahliaford/internal/history"
	"dahliaford/internal/http1"
)

// Script is what a worker does with one job. The zero Plan accepts it, runs it at once and
// is done.
type Script struct {
	Status            int           // the answer; 0: 202
	TurnedAway        bool          // with 503 or 504: it did not begin
	ResetConn         bool          // the connection breaks instead of an answer
	Unresponsive      bool          // neither an answer nor anything else
	AnswerDelay       time.Duration // before the answer
	QueueTime         time.Duration // from the acceptance to the start
	RunTime           time.Duration // from the start to the end
	FinalState        string        // the callback at its end; "": done; "never": none, it runs on
	EarlyCallbacks    bool          // callbacks may come before the 202
	RepeatedCallbacks int           // each callback comes so often again, whatever the answer was
	Result            string        // with done; "": the body in capitals
}

// Job is a request that came to a worker.
type Job struct {
	ID, Method, Target, Key string
	Body                    []byte
	RemainingMs             string // X-Remaining-Ms, as it came
}

// Worker is a scripted job worker.
type Worker struct {
	UID       string
	scheduler func() string
	script    func(Job) Script
	record    Recorder
	server
	jobsMu    sync.Mutex
	jobs      map[string]chan struct{} // closed when the job is withdrawn or lost
	callbacks sync.WaitGroup
}

// NewWorker opens a worker. scheduler says where its callbacks go at the time of each;
// plan must be safe for many goroutines.
func NewWorker(uid, addr string, scheduler func() string, script func(Job) Script,
	rec Recorder) (*Worker, error) {
	w := &Worker{UID: uid, scheduler: scheduler, script: script, record: rec, jobs: map[string]chan struct{}{}}
	return w, w.listen(addr, w.serve)
}

// Addr is where it listens.
func (w *Worker) Addr() string { return w.addr() }

// Close ends the worker: its jobs are lost, its connections reset.
func (w *Worker) Close() {
	w.Crash()
	w.close()
	w.callbacks.Wait()
}

// Crash does as a process that dies and is there again at once: connections are reset, its
// jobs are lost, and the machine's agent says so.
func (w *Worker) Crash() {
	w.resetAll()
	w.jobsMu.Lock()
	crashed := w.jobs
	w.jobs = map[string]chan struct{}{}
	w.jobsMu.Unlock()
	for id, cancelled := range crashed {
		close(cancelled)
		w.record.record(history.Event{Kind: history.WorkerDied, ID: id, Actor: w.UID})
		w.callbacks.Go(func() { w.callback(id, "lost", "", 0) })
	}
}

func (w *Worker) serve(conn net.Conn) {
	read := http1.NewReader(conn)
	for {
		m, err := read.Request()
		if err != nil {
			return
		}
		if id, ok := strings.CutPrefix(m.Target, "/jobs/"); ok && m.Method == "DELETE" {
			status := 404
			if w.cancel(id) {
				status = 200
			}
			w.record.record(history.Event{Kind: history.CancelReceived, ID: id, Actor: w.UID, Status: status})
			if _, err := conn.Write(http1.AppendResponse(nil, status, nil, nil)); err != nil {
				return
			}
			continue
		}
		if !w.acceptJob(conn, m) {
			return
		}
	}
}

// acceptJob takes one job. It tells whether the connection goes on.
func (w *Worker) acceptJob(conn net.Conn, m *http1.Request) bool {
	j := Job{ID: m.Header.Get("X-Txn"), Method: m.Method, Target: m.Target, Key: m.Header.Get("Idempotency-Key"),
		Body: m.Body, RemainingMs: m.Header.Get("X-Remaining-Ms")}
	if j.ID == "" {
		conn.Write(http1.AppendResponse(nil, 404, nil, nil))
		return false
	}
	p := w.script(j)
	status := p.Status
	if status == 0 {
		status = 202
	}
	// It holds the job from now on, whatever comes of its answer.
	w.record.record(history.Event{Kind: history.Arrived, ID: j.ID, Actor: w.UID})
	cancelled := make(chan struct{})
	if status == 202 && !p.ResetConn {
		w.jobsMu.Lock()
		w.jobs[j.ID] = cancelled
		w.jobsMu.Unlock()
	}
	if p.Unresponsive {
		<-w.peerClosed(conn)
		w.abandon(j.ID, cancelled)
		return false
	}
	if p.EarlyCallbacks && status == 202 && !p.ResetConn {
		w.callbacks.Go(func() { w.runJob(j, p, cancelled) })
	}
	time.Sleep(p.AnswerDelay)
	switch {
	case p.ResetConn:
		w.record.record(history.Event{Kind: history.Ended, ID: j.ID, Actor: w.UID, MayHaveRun: true})
		resetConn(conn)
		return false
	case status != 202:
		w.record.record(history.Event{Kind: history.Ended, ID: j.ID, Actor: w.UID,
			MayHaveRun: !p.TurnedAway && status >= 500})
		var fields []http1.Field
		if p.TurnedAway {
			fields = append(fields, http1.Field{Name: "X-Turned-Away", Value: "1"})
		}
		_, err := conn.Write(http1.AppendResponse(nil, status, fields, nil))
		return err == nil
	}
	_, err := conn.Write(http1.AppendResponse(nil, 202, nil, nil))
	if !p.EarlyCallbacks {
		if err != nil { // closed before its 202: given up
			w.abandon(j.ID, cancelled)
			return false
		}
		w.callbacks.Go(func() { w.runJob(j, p, cancelled) })
	}
	return err == nil
}

// peerClosed waits for the other side's close, while nothing else is read.
func (w *Worker) peerClosed(conn net.Conn) chan struct{} {
	over := make(chan struct{})
	go func() {
		conn.Read(make([]byte, 1))
		close(over)
	}()
	return over
}

// abandon drops a job whose connection ended before its 202.
func (w *Worker) abandon(id string, cancelled chan struct{}) {
	w.jobsMu.Lock()
	mine := w.jobs[id] == cancelled
	if mine {
		delete(w.jobs, id)
		close(cancelled)
	}
	w.jobsMu.Unlock()
	if mine {
		w.record.record(history.Event{Kind: history.Closed, ID: id, Actor: w.UID})
	}
}

func (w *Worker) cancel(id string) bool {
	w.jobsMu.Lock()
	defer w.jobsMu.Unlock()
	cancelled, known := w.jobs[id]
	if known {
		delete(w.jobs, id)
		close(cancelled)
	}
	return known
}

// finish takes a job off the worker, unless it has been withdrawn or lost. What it tells is
// recorded before, as others may act on it at once.
func (w *Worker) finish(id string, cancelled chan struct{}, e history.Event) bool {
	w.jobsMu.Lock()
	defer w.jobsMu.Unlock()
	if w.jobs[id] != cancelled {
		return false
	}
	delete(w.jobs, id)
	w.record.record(e)
	return true
}

func (w *Worker) runJob(j Job, p Script, cancelled chan struct{}) {
	wait := func(d time.Duration) bool {
		select {
		case <-cancelled:
			return false
		case <-time.After(d):
			return true
		}
	}
	if !wait(p.QueueTime) {
		return
	}
	if p.FinalState == "returned" {
		if w.finish(j.ID, cancelled, history.Event{Kind: history.Ended, ID: j.ID, Actor: w.UID}) {
			w.callback(j.ID, "returned", "", p.RepeatedCallbacks)
		}
		return
	}
	w.record.record(history.Event{Kind: history.Started, ID: j.ID, Actor: w.UID})
	w.callback(j.ID, "started", "", p.RepeatedCallbacks)
	if p.FinalState == "never" {
		<-cancelled
		return
	}
	if !wait(p.RunTime) {
		return
	}
	state, result := p.FinalState, p.Result
	if state == "" {
		state = "done"
	}
	if result == "" {
		result = strings.ToUpper(string(j.Body))
	}
	if state != "done" {
		result = ""
	}
	if w.finish(j.ID, cancelled, history.Event{Kind: history.Ended, ID: j.ID, Actor: w.UID, MayHaveRun: true,
		Result: result}) {
		w.callback(j.ID, state, result, p.RepeatedCallbacks)
	}
}

// callback calls the scheduler back until it has an answer, ten times at most, and then so
// often again as the script says.
func (w *Worker) callback(id, state, result string, repeat int) {
	news := map[string]string{"id": id, "from": w.UID, "state": state}
	if state == "done" {
		news["result"] = result
	}
	body, err := json.Marshal(news)
	if err != nil {
		return
	}
	for tries := 0; tries < 10; tries++ {
		m, err := exchange(w.scheduler(), "POST", "/callback", nil, body, time.Now().Add(2*time.Second))
		if err == nil && (m.Status == 200 || m.Status == 204) {
			if repeat--; repeat < 0 {
				return
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
}
