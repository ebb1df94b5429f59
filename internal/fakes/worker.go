package fakes

import (
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"dahliaford/internal/history"
	"dahliaford/internal/http1"
)

// Job is a request that came to a worker.
type Job struct {
	ID, Method, Target, Key string
	Body                    []byte
	RemainingMs             string // X-Remaining-Ms, as it came
}

// Worker is a scripted worker.
type Worker struct {
	UID       string
	scheduler func() string
	script    func(Job) Script
	recorder  Recorder
	server
	jobsMu    sync.Mutex
	jobs      map[string]chan struct{} // by id; closed when the job is cancelled or lost
	callbacks sync.WaitGroup
}

// NewWorker opens a worker at an address. scheduler is the address that its callbacks go to at the time of
// each; script says what it does with each job. Both must be safe for concurrent use.
func NewWorker(uid, addr string, scheduler func() string, script func(Job) Script,
	recorder Recorder) (*Worker, error) {
	w := &Worker{UID: uid, scheduler: scheduler, script: script, recorder: recorder,
		jobs: map[string]chan struct{}{}}
	if err := w.listen(addr, w.serve); err != nil {
		return nil, err
	}
	return w, nil
}

// Addr is the address that it listens on.
func (w *Worker) Addr() string { return w.addr() }

// Close stops the worker: its jobs are lost, its connections reset.
func (w *Worker) Close() {
	w.Crash()
	w.close()
	w.callbacks.Wait()
}

// Crash behaves as a process that dies and is there again at once: its connections are reset, its jobs are
// lost, and the machine's agent reports that.
func (w *Worker) Crash() {
	w.resetAll()
	w.jobsMu.Lock()
	crashed := w.jobs
	w.jobs = map[string]chan struct{}{}
	w.jobsMu.Unlock()
	for id, cancelled := range crashed {
		close(cancelled)
		w.recorder.record(history.Event{Kind: history.WorkerDied, ID: id, Actor: w.UID})
		w.callbacks.Go(func() { w.callback(id, Lost, "", 0) })
	}
}

// serve takes the requests of one connection.
func (w *Worker) serve(conn net.Conn) {
	reader := http1.NewReader(conn)
	for {
		m, err := reader.Request()
		if err != nil {
			return
		}
		keepOpen := false
		if id, ok := strings.CutPrefix(m.Target, "/jobs/"); ok && m.Method == "DELETE" {
			keepOpen = w.answerCancel(conn, id)
		} else {
			keepOpen = w.answerJob(conn, m)
		}
		if !keepOpen {
			return
		}
	}
}

// answerCancel cancels a job. It reports whether the connection stays open.
func (w *Worker) answerCancel(conn net.Conn, id string) (keepOpen bool) {
	status := http.StatusNotFound
	if w.cancel(id) {
		status = http.StatusOK
	}
	w.recorder.record(history.Event{Kind: history.CancelReceived, ID: id, Actor: w.UID, Status: status})
	_, err := conn.Write(http1.AppendResponse(nil, status, nil, nil))
	return err == nil
}

// answerJob does with a job what the script says. It reports whether the connection stays open.
func (w *Worker) answerJob(conn net.Conn, m *http1.Request) (keepOpen bool) {
	j := Job{ID: m.Header.Get("X-Txn"), Method: m.Method, Target: m.Target, Key: m.Header.Get("Idempotency-Key"),
		Body: m.Body, RemainingMs: m.Header.Get("X-Remaining-Ms")}
	if j.ID == "" {
		// The connection ends either way.
		_, _ = conn.Write(http1.AppendResponse(nil, http.StatusNotFound, nil, nil))
		return false
	}
	script := w.script(j)
	if script.Status == 0 {
		script.Status = http.StatusAccepted
	}
	accepts := script.Status == http.StatusAccepted && !script.ResetConn
	// It holds the job from now on, whatever comes of its answer.
	w.recorder.record(history.Event{Kind: history.Arrived, ID: j.ID, Actor: w.UID})
	cancelled := make(chan struct{})
	if accepts {
		w.jobsMu.Lock()
		w.jobs[j.ID] = cancelled
		w.jobsMu.Unlock()
	}
	if script.Unresponsive {
		_, _ = conn.Read(make([]byte, 1)) // until the other side closes
		w.abandon(j.ID, cancelled)
		return false
	}
	if script.EarlyCallbacks && accepts {
		w.callbacks.Go(func() { w.runJob(j, script, cancelled) })
	}
	time.Sleep(script.AnswerDelay)
	if !accepts {
		return w.reject(conn, j.ID, script)
	}
	_, err := conn.Write(http1.AppendResponse(nil, http.StatusAccepted, nil, nil))
	if script.EarlyCallbacks {
		return err == nil
	}
	if err != nil { // closed before its 202: given up
		w.abandon(j.ID, cancelled)
		return false
	}
	w.callbacks.Go(func() { w.runJob(j, script, cancelled) })
	return true
}

// reject answers a job that is not accepted. It reports whether the connection stays open.
func (w *Worker) reject(conn net.Conn, id string, script Script) (keepOpen bool) {
	event := history.Event{Kind: history.Ended, ID: id, Actor: w.UID}
	if script.ResetConn {
		event.MayHaveRun = true
		w.recorder.record(event)
		ResetConn(conn)
		return false
	}
	event.MayHaveRun = !script.TurnedAway && script.Status >= 500
	w.recorder.record(event)
	var fields []http1.Field
	if script.TurnedAway {
		fields = append(fields, http1.Field{Name: "X-Turned-Away", Value: "1"})
	}
	_, err := conn.Write(http1.AppendResponse(nil, script.Status, fields, nil))
	return err == nil
}

// abandon drops a job whose connection ended before its 202.
func (w *Worker) abandon(id string, cancelled chan struct{}) {
	w.jobsMu.Lock()
	current := w.jobs[id] == cancelled
	if current {
		delete(w.jobs, id)
		close(cancelled)
	}
	w.jobsMu.Unlock()
	if current {
		w.recorder.record(history.Event{Kind: history.Closed, ID: id, Actor: w.UID})
	}
}

// cancel cancels a job, and reports whether there was one.
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

// finish takes a job off the worker and records why. It reports false if the job was cancelled or lost
// before. The event is recorded before the callback, as others may act on that at once.
func (w *Worker) finish(id string, cancelled chan struct{}, e history.Event) bool {
	w.jobsMu.Lock()
	defer w.jobsMu.Unlock()
	if w.jobs[id] != cancelled {
		return false
	}
	delete(w.jobs, id)
	w.recorder.record(e)
	return true
}

// runJob runs an accepted job as the script says, with its callbacks.
func (w *Worker) runJob(j Job, script Script, cancelled chan struct{}) {
	wait := func(d time.Duration) bool {
		select {
		case <-cancelled:
			return false
		case <-time.After(d):
			return true
		}
	}
	if !wait(script.QueueTime) {
		return
	}
	if script.FinalState == Returned {
		if w.finish(j.ID, cancelled, history.Event{Kind: history.Ended, ID: j.ID, Actor: w.UID}) {
			w.callback(j.ID, Returned, "", script.RepeatedCallbacks)
		}
		return
	}
	w.recorder.record(history.Event{Kind: history.Started, ID: j.ID, Actor: w.UID})
	w.callback(j.ID, Started, "", script.RepeatedCallbacks)
	if script.FinalState == NeverEnds {
		<-cancelled
		return
	}
	if !wait(script.RunTime) {
		return
	}
	state, result := script.outcome(j)
	ended := history.Event{Kind: history.Ended, ID: j.ID, Actor: w.UID, MayHaveRun: true, Result: result}
	if w.finish(j.ID, cancelled, ended) {
		w.callback(j.ID, state, result, script.RepeatedCallbacks)
	}
}

// outcome is the final state of a job that has run, with its result if it is done.
func (s *Script) outcome(j Job) (state JobState, result string) {
	switch {
	case s.FinalState != "" && s.FinalState != Done:
		return s.FinalState, ""
	case s.Result != "":
		return Done, s.Result
	default:
		return Done, strings.ToUpper(string(j.Body))
	}
}
