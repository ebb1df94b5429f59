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
	queueFactor     = 2.0    // slots of the jobs that fit into a worker's queue, divided by the worker's slots
	failureFraction = 0.0005 // fraction of the job runs that end with an error
	// callbackTimeout is how long a worker retries a callback that does not reach its scheduler. The
	// timeout corresponds to ten retries at intervals of a second.
	callbackTimeout = 10 * second
	// errorWindow is the time within which the contribution of a failed run to the error rate in a worker's load
	// report decreases linearly to zero.
	errorWindow = 10 * second
)

// worker is a simulated worker: a machine that runs one worker process.
type worker struct {
	fleet  *fleet
	index  int
	uid    string
	addr   string
	zone   int
	rack   int
	kind   *machineKind
	random *rand.Rand

	running            bool     // the worker's process runs
	unreachable        bool     // the machine has failed and answers nothing
	retired            bool     // the worker never starts again
	incarnation        int      // number of the worker's processes that have ended so far
	diedAt             Micros   // time at which the worker's latest process ended
	startedAt          Micros   // start time of the process; 0 if before the run, without slow start
	deferredDeliveries []func() // actions of messages that arrived while the machine was unreachable

	attempts       map[string]*attempt // queued and running attempts by id of the request
	queue          []*attempt
	usedSlots      float64
	recentArrivals []arrival // attempts received within the last overloadWindow; empty after slow start
	errorRate      float64   // failed runs per second, as of time errorRateAt
	errorRateAt    Micros
}

// attempt is the state of an attempt at the worker that has accepted the attempt.
type attempt struct {
	request *request
	worker  *worker
	node    *node
	running bool // whether the attempt occupies slots; a queued or ended attempt occupies none
	ended   bool
}

// newWorker returns a new running worker in a zone. The caller adds the worker to the fleet with register.
func (f *fleet) newWorker(zone int) *worker {
	index := len(f.workers)
	hash := fnv.New32a()
	_, _ = fmt.Fprintf(hash, "worker %d", index) // A write to a hash never fails.
	indexInZone := index / Zones
	w := &worker{
		fleet:    f,
		index:    index,
		uid:      fmt.Sprintf("s-%08x", hash.Sum32()),
		zone:     zone,
		rack:     zone*1000 + indexInZone/rackSize,
		addr:     fmt.Sprintf("10.%d.%d.%d:8443", zone, indexInZone/250, indexInZone%250),
		kind:     &kinds[indexInZone%len(kinds)],
		running:  true,
		attempts: map[string]*attempt{},
		random:   f.newRandom(workerStreams + uint64(index)),
	}
	for f.byUID[w.uid] != nil {
		w.uid += "x"
	}
	return w
}

// register adds a new worker to the fleet and to the worker list. Discovery lists the worker as ready if its
// process runs, and as removed otherwise.
func (f *fleet) register(w *worker) {
	f.workers = append(f.workers, w)
	f.byUID[w.uid], f.byAddr[w.addr] = w, w
	f.historyRules.RackOf[w.uid] = fmt.Sprint(w.rack)
	f.discovery.add(w)
}

// deliver runs the action for a message that arrives at the worker's machine. While the machine is
// unreachable, deliver defers the action until the machine starts again.
func (w *worker) deliver(action func()) {
	if w.unreachable {
		w.deferredDeliveries = append(w.deferredDeliveries, action)
		return
	}
	action()
}

// receive handles an attempt whose last byte has arrived: it queues the attempt and answers with status 202,
// or rejects the attempt with status 503 if the worker is at capacity.
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

// hasCapacity reports whether a job that takes the given number of slots fits into the queue. A job that
// takes more slots than the worker has never fits.
func (w *worker) hasCapacity(slots float64) bool {
	queued := 0.0
	for _, a := range w.queue {
		queued += a.request.job.slots
	}
	return queued+slots <= queueFactor*w.kind.slots && slots <= w.kind.slots
}

// respond sends the worker's answer to an attempt or a cancellation to the scheduler, on connection c.
func (w *worker) respond(c *conn, a connstate.WorkerResponse) {
	attempt := c.Attempt
	w.fleet.network.send(w.zone, c.node.zone, answerBytes, func() {
		if c.carries(attempt) {
			c.node.countJobMessage(answerBytes)
			c.handleAnswer(a)
		}
	})
}

// startQueued starts queued attempts in the order of their arrival until the next attempt does not fit into
// the free slots.
func (w *worker) startQueued() {
	f := w.fleet
	for len(w.queue) > 0 && w.usedSlots+w.queue[0].request.job.slots <= w.kind.slots {
		a := w.queue[0]
		w.queue = w.queue[1:]
		a.running = true
		w.usedSlots += a.request.job.slots
		a.request.record(history.Event{Kind: history.Started, ID: a.request.id, Actor: w.uid})
		f.clients.recordStart(a.request)
		w.sendCallback(a, scheduler.Callback{Kind: scheduler.CallbackStarted})
		runTime := Micros(a.request.job.work / w.kind.speed / w.speedFraction())
		f.scheduleAfter(runTime, func() { w.finish(a) })
	}
}

// finish ends the run of an attempt. A random fraction of the runs, failureFraction, ends with an error.
func (w *worker) finish(a *attempt) {
	if a.ended {
		return
	}
	callback := scheduler.Callback{Kind: scheduler.CallbackDone, Result: []byte(a.request.id)}
	ended := history.Event{Kind: history.Ended, ID: a.request.id, Actor: w.uid, MayHaveRun: true,
		Result: a.request.id}
	if w.random.Float64() < failureFraction {
		callback.Kind, callback.Result, ended.Result = scheduler.CallbackFailed, nil, ""
		w.errorRate, w.errorRateAt = w.currentErrorRate()+0.1, w.fleet.now
	}
	a.request.record(ended)
	w.remove(a)
	callback.Report = w.loadReport()
	w.sendCallback(a, callback)
	a.request.release()
	w.startQueued()
}

// remove marks an attempt as ended and frees its slots or its place in the queue.
func (w *worker) remove(a *attempt) {
	a.ended = true
	delete(w.attempts, a.request.id)
	if a.running {
		w.usedSlots -= a.request.job.slots
	} else {
		w.queue = slices.DeleteFunc(w.queue, func(o *attempt) bool { return o == a })
	}
}

// currentErrorRate returns the failed runs per second for the worker's load report. The rate decreases
// linearly to zero within errorWindow after the last failed run.
func (w *worker) currentErrorRate() float64 {
	return w.errorRate * max(0, 1-float64(w.fleet.now-w.errorRateAt)/float64(errorWindow))
}

func (w *worker) loadReport() dispatch.Report {
	return dispatch.Report{FreeKnown: true, Free: w.kind.slots - w.usedSlots,
		Outstanding: float64(len(w.attempts)), Errors: w.currentErrorRate()}
}

// sendCallback sends a callback to the attempt's scheduler. A callback that a network cut delays by more than
// callbackTimeout is not delivered, because the worker has stopped retrying by then.
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

// cancel ends the queued or running attempt of a request. It reports whether the worker had such an attempt.
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

// idle reports whether the worker has neither queued nor running attempts.
func (w *worker) idle() bool { return len(w.attempts) == 0 }
