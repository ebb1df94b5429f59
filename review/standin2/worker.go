package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// workerSlots is the number of jobs that a usual worker runs at once.
const workerSlots = 4

// callbackTries is how often a worker tries a callback that gets no answer.
const callbackTries = 10

// arrival is an attempt that a worker has received.
type arrival struct {
	worker, id, key string
	at              time.Time // when the last byte of the attempt had come
	told            time.Duration
}

// worker is a stand-in worker. It accepts each job, runs as many as it has slots at once, in order, and tells
// the scheduler of the start and the end. A job runs for as many milliseconds as its body says.
type worker struct {
	trial *trial
	uid   string
	// window is how long the workers of the group drop a repeat of a key; 0: the jobs have no keys.
	window time.Duration
	keys   *keyMemory
	slots  chan struct{}

	mu       sync.Mutex
	jobs     map[string]chan struct{} // by id; closed when the job is cancelled or lost
	arrivals []arrival
	servers  map[string]*http.Server // by the address of the scheduler that uses it
	killed   []string                // the jobs that were lost when the worker ended
}

func (t *trial) newWorker(uid string, slots int) *worker {
	return &worker{trial: t, uid: uid, slots: make(chan struct{}, slots), jobs: map[string]chan struct{}{},
		servers: map[string]*http.Server{}}
}

// listen opens an address at which one scheduler reaches the worker, and returns it.
func (w *worker) listen(scheduler string) (string, error) {
	l, err := net.Listen("tcp", anyAddr)
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: http.HandlerFunc(func(out http.ResponseWriter, r *http.Request) {
		w.handle(out, r, scheduler)
	})}
	w.servers[scheduler] = server
	go func() { _ = server.Serve(l) }()
	w.trial.atEnd(func() { _ = server.Close() })
	return l.Addr().String(), nil
}

func (w *worker) handle(out http.ResponseWriter, r *http.Request, scheduler string) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if id, found := strings.CutPrefix(r.URL.Path, "/jobs/"); found && r.Method == http.MethodDelete {
		out.WriteHeader(w.cancel(id))
		return
	}
	id := r.Header.Get("X-Txn")
	if id == "" {
		out.WriteHeader(http.StatusNotFound)
		return
	}
	told, _ := strconv.ParseInt(r.Header.Get("X-Remaining-Ms"), 10, 64)
	a := arrival{worker: w.uid, id: id, key: r.Header.Get("Idempotency-Key"), at: time.Now(),
		told: time.Duration(told) * time.Millisecond}
	w.trial.note("worker %s got %s, key %q, told %d ms", w.uid, id, a.key, told)
	cancelled := make(chan struct{})
	w.mu.Lock()
	w.arrivals = append(w.arrivals, a)
	w.jobs[id] = cancelled
	w.mu.Unlock()
	out.WriteHeader(http.StatusAccepted)
	span, _ := strconv.Atoi(strings.TrimSpace(string(body)))
	go w.work(a, time.Duration(span)*time.Millisecond, scheduler, cancelled)
}

// cancel gives a job up and returns the status of the answer.
func (w *worker) cancel(id string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	cancelled, known := w.jobs[id]
	w.trial.note("worker %s is told to give up %s, known: %v", w.uid, id, known)
	if !known {
		return http.StatusNotFound
	}
	delete(w.jobs, id)
	close(cancelled)
	return http.StatusOK
}

// work runs a job once a slot is free.
func (w *worker) work(a arrival, span time.Duration, scheduler string, cancelled chan struct{}) {
	select {
	case w.slots <- struct{}{}:
		defer func() { <-w.slots }()
	case <-cancelled:
		return
	}
	if w.keys == nil || !w.keys.repeated(a.key, w.window) {
		w.trial.note("worker %s runs %s, key %q", w.uid, a.id, a.key)
		w.callback(scheduler, map[string]any{"id": a.id, "from": w.uid, "state": "started"})
		select {
		case <-time.After(span):
		case <-cancelled:
			return
		}
	} else {
		w.trial.note("worker %s drops the repeat %s of key %q", w.uid, a.id, a.key)
	}
	w.mu.Lock()
	_, held := w.jobs[a.id]
	delete(w.jobs, a.id)
	w.mu.Unlock()
	if held {
		w.callback(scheduler, map[string]any{"id": a.id, "from": w.uid, "state": "done",
			"result": "done " + a.id})
	}
}

// callback tells a scheduler of a job, again until it answers.
func (w *worker) callback(scheduler string, fields map[string]any) {
	body, err := json.Marshal(fields)
	if err != nil {
		return
	}
	poster := http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for range callbackTries {
		answer, err := poster.Post("http://"+scheduler+"/callback", "application/json", bytes.NewReader(body))
		if err == nil {
			_ = answer.Body.Close()
			w.trial.note("worker %s told %v of %v: status %d", w.uid, fields["state"], fields["id"],
				answer.StatusCode)
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	w.trial.note("worker %s could not tell %v of %v", w.uid, fields["state"], fields["id"])
}

// startWorkers starts workers that one scheduler reaches.
func (t *trial) startWorkers(scheduler string, uids ...string) ([]*worker, []target, error) {
	var workers []*worker
	var targets []target
	for _, uid := range uids {
		w := t.newWorker(uid, workerSlots)
		addr, err := w.listen(scheduler)
		if err != nil {
			return nil, nil, err
		}
		workers, targets = append(workers, w), append(targets, ready(uid, addr))
	}
	return workers, targets, nil
}
