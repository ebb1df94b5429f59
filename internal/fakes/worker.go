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
	plan      func(Job) Script
	record    Recorder
	server
	life  sync.Mutex
	jobs  map[string]chan struct{} // closed when the job is withdrawn or lost
	again sync.WaitGroup
}

// NewWorker opens a worker. scheduler says where its callbacks go at the time of each;
// plan must be safe for many goroutines.
func NewWorker(uid, addr string, scheduler func() string, plan func(Job) Script,
	rec Recorder) (*Worker, error) {
	r := &Worker{UID: uid, scheduler: scheduler, plan: plan, record: rec, jobs: map[string]chan struct{}{}}
	return r, r.listen(addr, r.serve)
}

// Addr is where it listens.
func (r *Worker) Addr() string { return r.addr() }

// Close ends the worker: its jobs are lost, its connections reset.
func (r *Worker) Close() {
	r.Crash()
	r.close()
	r.again.Wait()
}

// Crash does as a process that dies and is there again at once: connections are reset, its
// jobs are lost, and the machine's agent says so.
func (r *Worker) Crash() {
	r.reset()
	r.life.Lock()
	lost := r.jobs
	r.jobs = map[string]chan struct{}{}
	r.life.Unlock()
	for id, gone := range lost {
		close(gone)
		r.record.say(history.Event{Kind: history.WorkerDied, ID: id, Actor: r.UID})
		r.again.Go(func() { r.tell(id, "lost", "", 0) })
	}
}

func (r *Worker) serve(conn net.Conn) {
	read := http1.NewReader(conn)
	for {
		m, err := read.Request()
		if err != nil {
			return
		}
		if id, ok := strings.CutPrefix(m.Target, "/jobs/"); ok && m.Method == "DELETE" {
			status := 404
			if r.withdraw(id) {
				status = 200
			}
			r.record.say(history.Event{Kind: history.CancelReceived, ID: id, Actor: r.UID, Status: status})
			if _, err := conn.Write(http1.AppendResponse(nil, status, nil, nil)); err != nil {
				return
			}
			continue
		}
		if !r.job(conn, m) {
			return
		}
	}
}

// job takes one job. It tells whether the connection goes on.
func (r *Worker) job(conn net.Conn, m *http1.Request) bool {
	j := Job{ID: m.Header.Get("X-Txn"), Method: m.Method, Target: m.Target, Key: m.Header.Get("Idempotency-Key"),
		Body: m.Body, RemainingMs: m.Header.Get("X-Remaining-Ms")}
	if j.ID == "" {
		conn.Write(http1.AppendResponse(nil, 404, nil, nil))
		return false
	}
	p := r.plan(j)
	status := p.Status
	if status == 0 {
		status = 202
	}
	// It holds the job from now on, whatever comes of its answer.
	r.record.say(history.Event{Kind: history.Arrived, ID: j.ID, Actor: r.UID})
	gone := make(chan struct{})
	if status == 202 && !p.ResetConn {
		r.life.Lock()
		r.jobs[j.ID] = gone
		r.life.Unlock()
	}
	if p.Unresponsive {
		<-r.closes(conn)
		r.giveUp(j.ID, gone)
		return false
	}
	if p.EarlyCallbacks && status == 202 && !p.ResetConn {
		r.again.Go(func() { r.run(j, p, gone) })
	}
	time.Sleep(p.AnswerDelay)
	switch {
	case p.ResetConn:
		r.record.say(history.Event{Kind: history.Ended, ID: j.ID, Actor: r.UID, MayHaveRun: true})
		broken(conn)
		return false
	case status != 202:
		r.record.say(history.Event{Kind: history.Ended, ID: j.ID, Actor: r.UID, MayHaveRun: !p.TurnedAway && status >= 500})
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
			r.giveUp(j.ID, gone)
			return false
		}
		r.again.Go(func() { r.run(j, p, gone) })
	}
	return err == nil
}

// closes waits for the other side's close, while nothing else is read.
func (r *Worker) closes(conn net.Conn) chan struct{} {
	over := make(chan struct{})
	go func() {
		conn.Read(make([]byte, 1))
		close(over)
	}()
	return over
}

// giveUp drops a job whose connection ended before its 202.
func (r *Worker) giveUp(id string, gone chan struct{}) {
	r.life.Lock()
	mine := r.jobs[id] == gone
	if mine {
		delete(r.jobs, id)
		close(gone)
	}
	r.life.Unlock()
	if mine {
		r.record.say(history.Event{Kind: history.Closed, ID: id, Actor: r.UID})
	}
}

func (r *Worker) withdraw(id string) bool {
	r.life.Lock()
	defer r.life.Unlock()
	gone, held := r.jobs[id]
	if held {
		delete(r.jobs, id)
		close(gone)
	}
	return held
}

// end takes a job off the worker, unless it has been withdrawn or lost. What it tells is
// recorded before, as others may act on it at once.
func (r *Worker) end(id string, gone chan struct{}, e history.Event) bool {
	r.life.Lock()
	defer r.life.Unlock()
	if r.jobs[id] != gone {
		return false
	}
	delete(r.jobs, id)
	r.record.say(e)
	return true
}

func (r *Worker) run(j Job, p Script, gone chan struct{}) {
	wait := func(d time.Duration) bool {
		select {
		case <-gone:
			return false
		case <-time.After(d):
			return true
		}
	}
	if !wait(p.QueueTime) {
		return
	}
	if p.FinalState == "returned" {
		if r.end(j.ID, gone, history.Event{Kind: history.Ended, ID: j.ID, Actor: r.UID}) {
			r.tell(j.ID, "returned", "", p.RepeatedCallbacks)
		}
		return
	}
	r.record.say(history.Event{Kind: history.Started, ID: j.ID, Actor: r.UID})
	r.tell(j.ID, "started", "", p.RepeatedCallbacks)
	if p.FinalState == "never" {
		<-gone
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
	if r.end(j.ID, gone, history.Event{Kind: history.Ended, ID: j.ID, Actor: r.UID, MayHaveRun: true, Result: result}) {
		r.tell(j.ID, state, result, p.RepeatedCallbacks)
	}
}

// tell calls the scheduler back until it has an answer, ten times at most, and then so
// often again as the script says.
func (r *Worker) tell(id, state, result string, repeat int) {
	news := map[string]string{"id": id, "from": r.UID, "state": state}
	if state == "done" {
		news["result"] = result
	}
	body, err := json.Marshal(news)
	if err != nil {
		return
	}
	for tries := 0; tries < 10; tries++ {
		m, err := call(r.scheduler(), "POST", "/callback", nil, body, time.Now().Add(2*time.Second))
		if err == nil && (m.Status == 200 || m.Status == 204) {
			if repeat--; repeat < 0 {
				return
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
}
