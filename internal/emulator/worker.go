package emulator

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"

	"dahliaford/internal/connstate"
	"dahliaford/internal/dispatch"
	"dahliaford/internal/history"
	"dahliaford/internal/scheduler"
)

const (
	queueFactor = 2.0    // the queue of a worker holds so many times its slots
	failureRate = 0.0005 // fraction of runs that fail by themselves
	// callbackTimeout is how long a worker retries a callback: ten times, a second apart.
	callbackTimeout = 10 * second
	// errorWindow is how long an error counts in the load report, less and less.
	errorWindow = 10 * second
)

// worker is a simulated worker: a machine with one process on it.
type worker struct {
	fleet  *fleet
	index  int
	uid    string
	addr   string
	zone   int
	rack   int
	kind   *machineKind
	random *rand.Rand

	running     bool // its process
	unreachable bool // the machine has vanished and answers nothing
	retired     bool // it does not come back
	incarnation int  // of the process: a connection is to one
	diedAt      Micros
	startedAt   Micros   // 0: long ago
	deferred    []func() // deliveries to an unreachable machine

	attempts       map[string]*attempt // by id of the request
	queue          []*attempt
	usedSlots      float64
	recentArrivals []arrival // during slow start
	errorRate      float64   // errors a second, at errorRateAt
	errorRateAt    Micros
}

// attempt is a job that a worker has accepted.
type attempt struct {
	request *request
	worker  *worker
	node    *node
	running bool // it has slots; else it is queued
	ended   bool
}

// newWorker returns one more worker, in a zone. It runs, but is not part of the fleet before it is
// registered.
func (f *fleet) newWorker(zone int) *worker {
	index := len(f.workers)
	hash := fnv.New32a()
	_, _ = fmt.Fprintf(hash, "worker %d", index) // writing to a hash cannot fail
	place := index / Zones
	w := &worker{
		fleet:    f,
		index:    index,
		uid:      fmt.Sprintf("s-%08x", hash.Sum32()),
		zone:     zone,
		rack:     zone*1000 + place/rackSize,
		addr:     fmt.Sprintf("10.%d.%d.%d:8443", zone, place/250, place%250),
		kind:     &kinds[place%len(kinds)],
		running:  true,
		attempts: map[string]*attempt{},
		random:   f.newRandom(workerStreams + uint64(index)),
	}
	for f.byUID[w.uid] != nil {
		w.uid += "x"
	}
	return w
}

// register makes a new worker part of the fleet. Discovery lists it as ready if it runs.
func (f *fleet) register(w *worker) {
	f.workers = append(f.workers, w)
	f.byUID[w.uid], f.byAddr[w.addr] = w, w
	f.historyRules.RackOf[w.uid] = fmt.Sprint(w.rack)
	f.discovery.add(w)
}

// deliver runs an action at the worker's machine: now, or once the machine is reachable again.
func (w *worker) deliver(action func()) {
	if w.unreachable {
		w.deferred = append(w.deferred, action)
		return
	}
	action()
}

// receive handles a request whose last byte has arrived, and answers it.
func (w *worker) receive(c *conn, req *request) {
	req.record(history.Event{Kind: history.Arrived, ID: req.id, Actor: w.uid})
	if !w.hasCapacity(req.job.slots) {
		req.record(history.Event{Kind: history.Ended, ID: req.id, Actor: w.uid})
		w.fleet.tally.model.RejectedAtCapacity++
		w.respond(c, connstate.WorkerResponse{Status: 503, NotStarted: true, Report: w.loadReport()})
		return
	}
	a := &attempt{request: req, worker: w, node: c.node}
	w.attempts[req.id] = a
	req.outstanding++
	w.respond(c, connstate.WorkerResponse{Status: 202})
	w.queue = append(w.queue, a)
	w.checkOverload(c, req)
	if w.running {
		w.startQueued()
	}
}

// hasCapacity tells whether a job of so many slots fits into the queue, and can run here at all.
func (w *worker) hasCapacity(slots float64) bool {
	queued := 0.0
	for _, a := range w.queue {
		queued += a.request.job.slots
	}
	return queued+slots <= queueFactor*w.kind.slots && slots <= w.kind.slots
}

// respond sends an answer on a connection.
func (w *worker) respond(c *conn, a connstate.WorkerResponse) {
	attempt := c.Attempt
	w.fleet.network.send(w.zone, c.node.zone, answerBytes, func() {
		if c.carries(attempt) {
			c.node.countJobMessage(answerBytes)
			c.handleAnswer(a)
		}
	})
}

// startQueued starts the queued attempts that there are slots for, in order.
func (w *worker) startQueued() {
	f := w.fleet
	for len(w.queue) > 0 && w.usedSlots+w.queue[0].request.job.slots <= w.kind.slots {
		a := w.queue[0]
		w.queue = w.queue[1:]
		a.running = true
		w.usedSlots += a.request.job.slots
		a.request.record(history.Event{Kind: history.Started, ID: a.request.id, Actor: w.uid})
		f.clients.jobStarted(a.request)
		w.sendCallback(a, scheduler.Callback{Kind: scheduler.CallbackStarted})
		runTime := Micros(a.request.job.work / w.kind.speed / w.speedFraction())
		f.after(runTime, func() { w.finish(a) })
	}
}

// finish ends the run of an attempt, successfully or with an error.
func (w *worker) finish(a *attempt) {
	if a.ended {
		return
	}
	callback := scheduler.Callback{Kind: scheduler.CallbackDone, Result: []byte(a.request.id)}
	ended := history.Event{Kind: history.Ended, ID: a.request.id, Actor: w.uid, MayHaveRun: true,
		Result: a.request.id}
	if w.random.Float64() < failureRate {
		callback.Kind, callback.Result, ended.Result = scheduler.CallbackFailed, nil, ""
		w.errorRate, w.errorRateAt = w.recentErrors()+0.1, w.fleet.now
	}
	a.request.record(ended)
	w.remove(a)
	callback.Report = w.loadReport()
	w.sendCallback(a, callback)
	a.request.release()
	w.startQueued()
}

// remove ends an attempt and frees its slots or its place in the queue.
func (w *worker) remove(a *attempt) {
	a.ended = true
	delete(w.attempts, a.request.id)
	if a.running {
		w.usedSlots -= a.request.job.slots
	} else {
		w.queue = slices.DeleteFunc(w.queue, func(o *attempt) bool { return o == a })
	}
}

// recentErrors is the rate of errors, per second. It falls to zero within the error window.
func (w *worker) recentErrors() float64 {
	return w.errorRate * max(0, 1-float64(w.fleet.now-w.errorRateAt)/float64(errorWindow))
}

func (w *worker) loadReport() dispatch.Report {
	return dispatch.Report{FreeKnown: true, Free: w.kind.slots - w.usedSlots,
		Outstanding: float64(len(w.attempts)), Errors: w.recentErrors()}
}

// sendCallback sends a callback to the attempt's scheduler. One that a cut holds up for longer than the
// timeout is undelivered: the worker has stopped retrying.
func (w *worker) sendCallback(a *attempt, callback scheduler.Callback) {
	f, sentAt := w.fleet, w.fleet.now
	callback.RequestID, callback.WorkerUID = a.request.id, w.uid
	bytes := callbackBytes + len(callback.Result)
	if callback.Report.FreeKnown {
		bytes += reportBytes
	}
	f.network.send(w.zone, a.node.zone, bytes, func() {
		if f.now-sentAt > callbackTimeout {
			f.tally.model.CallbacksUndelivered++
			return
		}
		a.node.countJobMessage(bytes)
		a.node.countJobMessage(emptyAnswerBytes)
		a.node.step(callback)
	})
}

// cancel ends the attempt of a request, and tells whether there was one.
func (w *worker) cancel(requestID string) bool {
	a := w.attempts[requestID]
	if a == nil {
		return false
	}
	a.request.record(history.Event{Kind: history.CancelReceived, ID: requestID, Actor: w.uid, Status: 200})
	w.fleet.tally.model.Cancelled++
	w.remove(a)
	a.request.release()
	w.startQueued()
	return true
}

// idle tells whether the worker has no attempt.
func (w *worker) idle() bool { return len(w.attempts) == 0 }
