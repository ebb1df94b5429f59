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

// Job is an attempt that a worker has received. Key is the idempotency key.
type Job struct {
	ID, Method, Target, Key string
	Body                    []byte
	RemainingMs             string // value of the header X-Remaining-Ms, unparsed
}

// Worker is a fake worker that handles each job as a Script says.
type Worker struct {
	UID       string
	scheduler func() string
	script    func(Job) Script
	recorder  Recorder
	server
	jobsMu    sync.Mutex
	jobs      map[string]chan struct{} // channels by job id; closed when the job is cancelled or lost
	callbacks sync.WaitGroup
}

// NewWorker starts a worker at an address. The worker calls scheduler for the address to send a callback to,
// and script for each job that it receives. Both functions must be safe for concurrent use.
func NewWorker(uid, addr string, scheduler func() string, script func(Job) Script,
	recorder Recorder) (*Worker, error) {
	w := &Worker{UID: uid, scheduler: scheduler, script: script, recorder: recorder,
		jobs: map[string]chan struct{}{}}
	if err := w.listen(addr, w.serve); err != nil {
		return nil, err
	}
	return w, nil
}

// Addr returns the address that the worker listens on.
func (w *Worker) Addr() string { return w.addr() }

// Close stops the worker: it reports each held job as lost by a callback and resets all connections.
func (w *Worker) Close() {
	w.Crash()
	w.close()
	w.callbacks.Wait()
}

// Crash simulates a worker process that dies and restarts at once: its connections are reset, its jobs are
// lost, and the agent of its machine reports each lost job by a callback.
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

// serve handles the requests on a connection: jobs and cancellations.
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

// answerCancel cancels a job and answers the cancellation request. It reports whether the connection stays
// open.
func (w *Worker) answerCancel(conn net.Conn, id string) (keepOpen bool) {
	status := http.StatusNotFound
	if w.cancel(id) {
		status = http.StatusOK
	}
	w.recorder.record(history.Event{Kind: history.CancelReceived, ID: id, Actor: w.UID, Status: status})
	_, err := conn.Write(http1.AppendResponse(nil, status, nil, nil))
	return err == nil
}

// answerJob handles a job as its script says. It reports whether the connection stays open.
func (w *Worker) answerJob(conn net.Conn, m *http1.Request) (keepOpen bool) {
	j := Job{ID: m.Header.Get("X-Txn"), Method: m.Method, Target: m.Target, Key: m.Header.Get("Idempotency-Key"),
		Body: m.Body, RemainingMs: m.Header.Get("X-Remaining-Ms")}
	if j.ID == "" {
		// The connection is closed after this answer, whether or not the write succeeds.
		_, _ = conn.Write(http1.AppendResponse(nil, http.StatusNotFound, nil, nil))
		return false
	}
	script := w.script(j)
	if script.Status == 0 {
		script.Status = http.StatusAccepted
	}
	accepts := script.Status == http.StatusAccepted && !script.ResetConn
	// The worker has received the job and may run it, even if the scheduler does not receive the answer.
	w.recorder.record(history.Event{Kind: history.Arrived, ID: j.ID, Actor: w.UID})
	cancelled := make(chan struct{})
	if accepts {
		w.jobsMu.Lock()
		w.jobs[j.ID] = cancelled
		w.jobsMu.Unlock()
	}
	if script.Unresponsive {
		_, _ = conn.Read(make([]byte, 1)) // blocks until the scheduler closes the connection
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
	if err != nil { // the scheduler has closed the connection before the 202, so it has given up the attempt
		w.abandon(j.ID, cancelled)
		return false
	}
	w.callbacks.Go(func() { w.runJob(j, script, cancelled) })
	return true
}

// reject answers a job that the script does not accept, or resets the connection. It reports whether the
// connection stays open.
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

// abandon drops a job whose connection was closed before the worker had sent its 202.
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

// cancel cancels a job, and reports whether the worker held a job with this id.
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

// finish removes a job from the worker's jobs and records the given event. It reports false and records
// nothing if the job has been cancelled or lost. Callers send the job's last callback only after finish, as
// the scheduler may act on a callback before an event that is recorded later.
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

// runJob runs an accepted job as its script says and sends the job's callbacks.
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

// outcome returns the state in the last callback of a job that has run, and for the state Done the job's
// result.
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
