package simfleet

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"dahliaford/internal/endpoints"
	"dahliaford/internal/fakes"
	"dahliaford/internal/history"
	"dahliaford/internal/http1"
)

const (
	workerKind     = "m1" // the only hardware kind in the settings that package testcluster writes
	workersPerCell = 8
)

// workers simulates all workers, which are identified by their index. The body of a job gives its run time,
// and the id of the job gives the scheduler that sent it.
type workers struct {
	server     *fakes.Server
	port       int // port that the addresses of all workers share
	uids       []string
	poweredOff []atomic.Bool // whether the machine of each worker is powered off
	record     fakes.Recorder
	traffic    *traffic

	mu        sync.Mutex
	jobs      map[string]*job // accepted and unfinished jobs by id
	callbacks []*connPool     // connections for callbacks to each scheduler; nil until the scheduler has started
	running   sync.WaitGroup
	closed    chan struct{}
}

// job is a job that a worker has accepted.
type job struct {
	id        string
	worker    int
	scheduler int
	runTime   time.Duration
	cancelled chan struct{} // closed when the job is cancelled or its worker's machine is powered off
}

func newWorkers(n, schedulers int, record fakes.Recorder, t *traffic) (*workers, error) {
	w := &workers{uids: make([]string, n), poweredOff: make([]atomic.Bool, n), record: record, traffic: t,
		jobs: map[string]*job{}, callbacks: make([]*connPool, schedulers), closed: make(chan struct{})}
	for i := range w.uids {
		w.uids[i] = fmt.Sprintf("s-%08x", i+1)
	}
	l, err := listenLoopback(0)
	if err != nil {
		return nil, err
	}
	w.port = portOf(l.Addr())
	w.server = fakes.Serve(l, w.serve)
	return w, nil
}

// endpoints returns the entries of the workers for discovery: all are ready, spread evenly over the zones,
// with workersPerCell of them in each cell.
func (w *workers) endpoints(zones []string) []endpoints.Endpoint {
	entries := make([]endpoints.Endpoint, len(w.uids))
	for i := range entries {
		entries[i] = endpoints.Endpoint{UID: w.uids[i], Addr: loopbackAddress(i, w.port),
			Zone: zones[i*len(zones)/len(entries)], Kind: workerKind, Cell: i / workersPerCell,
			State: endpoints.Ready}
	}
	return entries
}

// setScheduler sets the address that the callbacks for a scheduler's jobs are sent to.
func (w *workers) setScheduler(scheduler int, addr string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.callbacks[scheduler] = newConnPool(addr, maxIdleCallbackConns, w.traffic)
}

func (w *workers) close() {
	close(w.closed)
	w.server.Close()
	w.running.Wait()
	for _, pool := range w.callbacks {
		if pool != nil {
			pool.close()
		}
	}
}

// powerOff powers off the machines of workers. Their jobs are lost without a callback.
func (w *workers) powerOff(which []int) {
	off := map[int]bool{}
	for _, worker := range which {
		w.poweredOff[worker].Store(true)
		off[worker] = true
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for id, j := range w.jobs {
		if off[j.worker] {
			delete(w.jobs, id)
			close(j.cancelled)
			w.recordEvent(history.Event{Kind: history.WorkerDied, ID: id, Actor: w.uids[j.worker]})
		}
	}
}

func (w *workers) powerOn(which []int) {
	for _, worker := range which {
		w.poweredOff[worker].Store(false)
	}
}

func (w *workers) recordEvent(e history.Event) {
	if w.record != nil && isRecorded(e.ID) {
		e.At = time.Now()
		w.record(e)
	}
}

// serve handles the requests on a connection, until the connection ends or the worker's machine is powered
// off.
func (w *workers) serve(plain net.Conn) {
	worker := addressIndex(plain)
	if worker < 0 || worker >= len(w.uids) || w.poweredOff[worker].Load() {
		fakes.ResetConn(plain)
		return
	}
	conn := countedConn{plain, w.traffic}
	reader := http1.NewReader(conn)
	for {
		m, err := reader.Request()
		if err != nil {
			return
		}
		if w.poweredOff[worker].Load() {
			fakes.ResetConn(plain)
			return
		}
		if id, ok := strings.CutPrefix(m.Target, "/jobs/"); ok && m.Method == "DELETE" {
			_, err = conn.Write(http1.AppendResponse(nil, w.cancel(id, worker), nil, nil))
		} else {
			err = w.accept(conn, worker, m)
		}
		if err != nil {
			return
		}
	}
}

// accept accepts a job, answers it with 202 and starts it. After an error the caller must close the
// connection.
func (w *workers) accept(conn net.Conn, worker int, m *http1.Request) error {
	id := m.Header.Get("X-Txn")
	scheduler, runTime, ok := parseJob(id, m.Body, len(w.callbacks))
	if !ok {
		// The connection is closed after this answer, whether or not the write succeeds.
		_, _ = conn.Write(http1.AppendResponse(nil, http.StatusBadRequest, nil, nil))
		return fmt.Errorf("job %q: want an id with a scheduler's index and a run time as body", id)
	}
	j := &job{id: id, worker: worker, scheduler: scheduler, runTime: runTime, cancelled: make(chan struct{})}
	w.recordEvent(history.Event{Kind: history.Arrived, ID: id, Actor: w.uids[worker]})
	w.mu.Lock()
	w.jobs[id] = j
	w.mu.Unlock()
	if _, err := conn.Write(http1.AppendResponse(nil, http.StatusAccepted, nil, nil)); err != nil {
		if w.finish(j, history.Event{Kind: history.Closed, ID: id, Actor: w.uids[worker]}) {
			close(j.cancelled)
		}
		return err
	}
	w.running.Go(func() { w.runJob(j) })
	return nil
}

// cancel cancels a job of a worker and returns the HTTP status of the answer: 200, or 404 if the worker does
// not hold the job.
func (w *workers) cancel(id string, worker int) (status int) {
	status = http.StatusNotFound
	w.mu.Lock()
	if j := w.jobs[id]; j != nil && j.worker == worker {
		delete(w.jobs, id)
		close(j.cancelled)
		status = http.StatusOK
	}
	w.mu.Unlock()
	w.recordEvent(history.Event{Kind: history.CancelReceived, ID: id, Actor: w.uids[worker], Status: status})
	return status
}

// finish removes a job from its worker and records the given event. It reports false and records nothing if
// the job has been cancelled or lost.
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

// runJob simulates a job: it sends the callback "started", waits for the run time, and sends the callback
// "done".
func (w *workers) runJob(j *job) {
	uid := w.uids[j.worker]
	w.recordEvent(history.Event{Kind: history.Started, ID: j.id, Actor: uid})
	w.callback(j, callbackStarted, "")
	if j.runTime > 0 {
		select {
		case <-time.After(j.runTime):
		case <-j.cancelled:
			return
		case <-w.closed:
			return
		}
	}
	result := "did " + j.id
	if w.finish(j, history.Event{Kind: history.Ended, ID: j.id, Actor: uid, MayHaveRun: true, Result: result}) {
		w.callback(j, callbackDone, result)
	}
}
