package emulator

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"

	"dahliaford/internal/connstate"
	"dahliaford/internal/dispatch"
	"dahliaford/internal/endpoints"
	"dahliaford/internal/history"
	"dahliaford/internal/scheduler"
)

const (
	queueFactor = 2.0    // a worker's queue holds so many times its slots
	failureRate = 0.0005 // of runs that fail by themselves
	// callbackTimeout is how long a worker tries a callback: ten times, a second apart.
	callbackTimeout  = 10 * second
	overloadDowntime = 5 * second // a worker that was pushed over is down for so long
)

// worker is a hollow worker.
type worker struct {
	fleet  *fleet
	index  int
	uid    string
	addr   string
	zone   int
	rack   int
	kind   *machineKind
	random *rand.Rand

	running     bool // its process runs
	unreachable bool // its machine has vanished, and says nothing
	retired     bool // it is not to come back
	incarnation int  // of its process: connections are to one
	diedAt      Micros
	startedAt   Micros // 0: long ago
	deferred    []func()

	attempts       map[string]*attempt
	queue          []*attempt
	usedSlots      float64
	recentArrivals []arrival // while it is cold
	errorRate      float64   // recent errors a second
	errorRateAt    Micros
}

// attempt is a job that a worker holds.
type attempt struct {
	request *request
	worker  *worker
	node    *node
	running bool
	ended   bool
}

type arrival struct {
	at       Micros
	work     float64 // micros on a standard machine, times slots
	informed bool    // its scheduler had been told of the start
}

// newWorker is one more worker, in a zone. It runs, but nobody knows of it before it is registered.
func (f *fleet) newWorker(zone int) *worker {
	number := len(f.workers)
	hash := fnv.New32a()
	_, _ = fmt.Fprintf(hash, "worker %d", number) // a hash takes all that is written
	place := number / Zones
	w := &worker{fleet: f, index: number, uid: fmt.Sprintf("s-%08x", hash.Sum32()), zone: zone,
		rack: zone*1000 + place/rackSize, addr: fmt.Sprintf("10.%d.%d.%d:8443", zone, place/250, place%250),
		kind: &kinds[place%len(kinds)], running: true, attempts: map[string]*attempt{},
		random: f.newRandom(1000 + uint64(number))}
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
	state := endpoints.Ready
	if !w.running {
		state = endpoints.Removed
	}
	f.discovery.table.Add(endpoints.Endpoint{UID: w.uid, Addr: w.addr, Zone: zoneName(w.zone),
		Kind: w.kind.name, Cell: w.rack, State: state})
	f.discovery.notReadySince = append(f.discovery.notReadySince, 0)
}

// deliver has something done at the worker's machine, or once it is back.
func (w *worker) deliver(do func()) {
	if w.unreachable {
		w.deferred = append(w.deferred, do)
		return
	}
	do()
}

// speedFraction is the part of its capacity that a worker has.
func (w *worker) speedFraction() float64 {
	if w.startedAt == 0 || w.fleet.now-w.startedAt >= slowStartTime {
		return 1
	}
	return slowStartInitial + (1-slowStartInitial)*float64(w.fleet.now-w.startedAt)/float64(slowStartTime)
}

// receive takes a request whose last byte has come, and answers.
func (w *worker) receive(c *conn, req *request) {
	f := w.fleet
	req.record(history.Event{Kind: history.Arrived, ID: req.id, Actor: w.uid})
	a := &attempt{request: req, worker: w, node: c.node}
	waits := 0.0
	for _, q := range w.queue {
		waits += q.request.job.slots
	}
	if waits+req.job.slots > queueFactor*w.kind.slots || req.job.slots > w.kind.slots {
		req.record(history.Event{Kind: history.Ended, ID: req.id, Actor: w.uid})
		f.tally.model.RejectedAtCapacity++
		w.respond(c, connstate.Answer{Status: 503, TurnedAway: true, Report: w.loadReport()})
		return
	}
	w.attempts[req.id] = a
	req.outstanding++
	w.respond(c, connstate.Answer{Status: 202})
	w.queue = append(w.queue, a)
	w.checkOverload(c, req)
	if w.running {
		w.startQueued()
	}
}

func (w *worker) respond(c *conn, a connstate.Answer) {
	task := c.Attempt
	w.fleet.network.send(w.zone, c.node.zone, answerBytes, func() {
		if c.carries(task) {
			c.node.countJobMessage(answerBytes)
			c.handleAnswer(a)
		}
	})
}

// checkOverload is the rule on cold workers: one that is sent more than it allows falls over.
func (w *worker) checkOverload(c *conn, req *request) {
	f := w.fleet
	warmth := w.speedFraction()
	if warmth == 1 {
		w.recentArrivals = nil
		return
	}
	// A start counts as told after a while, heard or not.
	told := c.node.workerStarts[w.uid] == w.startedAt || f.now-w.startedAt > registrationDelay+batchInterval+staleAfter
	w.recentArrivals = append(w.recentArrivals, arrival{f.now, req.job.work * req.job.slots, told})
	w.recentArrivals = slices.DeleteFunc(w.recentArrivals, func(a arrival) bool { return f.now-a.at > overloadWindow })
	sum, knew := 0.0, 0.0
	for _, a := range w.recentArrivals {
		if sum += a.work; a.informed {
			knew += a.work
		}
	}
	slack := 2 * float64(f.task)
	if sum <= slack+overloadFactor*warmth*w.kind.slots*w.kind.speed*float64(overloadWindow) {
		return
	}
	f.tally.model.OverloadCrashes++
	if knew >= sum*2/3 {
		f.tally.addFinding(history.Finding{Property: "cold-spared", ID: req.id,
			Text: fmt.Sprintf("%s falls over, with %.0f s of work within its window", w.uid, sum/1e6)})
	}
	w.crash()
	f.after(overloadDowntime, w.boot)
}

// startQueued starts what there are slots for.
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
		run := Micros(a.request.job.work / w.kind.speed / w.speedFraction())
		f.after(run, func() { w.finish(a) })
	}
}

func (w *worker) finish(a *attempt) {
	if a.ended {
		return
	}
	told := scheduler.Callback{Kind: scheduler.CallbackDone, Result: []byte(a.request.id)}
	ended := history.Event{Kind: history.Ended, ID: a.request.id, Actor: w.uid, MayHaveRun: true, Result: a.request.id}
	if w.random.Float64() < failureRate {
		told.Kind, told.Result, ended.Result = scheduler.CallbackFailed, nil, ""
		w.errorRate, w.errorRateAt = w.recentErrors()+0.1, w.fleet.now
	}
	a.request.record(ended)
	w.remove(a)
	told.Report = w.loadReport()
	w.sendCallback(a, told)
	a.request.release()
	w.startQueued()
}

// remove takes an attempt out of the books.
func (w *worker) remove(a *attempt) {
	a.ended = true
	delete(w.attempts, a.request.id)
	if a.running {
		w.usedSlots -= a.request.job.slots
	} else {
		w.queue = slices.DeleteFunc(w.queue, func(o *attempt) bool { return o == a })
	}
}

// recentErrors is the recent errors a second; they wear off within ten seconds.
func (w *worker) recentErrors() float64 {
	return w.errorRate * max(0, 1-float64(w.fleet.now-w.errorRateAt)/float64(10*second))
}

func (w *worker) loadReport() dispatch.Report {
	return dispatch.Report{Known: true, Free: w.kind.slots - w.usedSlots, Outstanding: float64(len(w.attempts)),
		Errors: w.recentErrors()}
}

// sendCallback tells the attempt's scheduler something, and tries for a while.
func (w *worker) sendCallback(a *attempt, t scheduler.Callback) {
	f, sent, life := w.fleet, w.fleet.now, a.node.life
	t.ID, t.From = a.request.id, w.uid
	bytes := callbackBytes + len(t.Result)
	if t.Report.Known {
		bytes += reportBytes
	}
	f.network.send(w.zone, a.node.zone, bytes, func() {
		if f.now-sent > callbackTimeout || a.node.life != life {
			f.tally.model.CallbacksUndelivered++
			return
		}
		a.node.countJobMessage(bytes)
		a.node.countJobMessage(emptyAnswerBytes)
		a.node.step(t)
	})
}

// cancel drops a job, and tells whether it was there.
func (w *worker) cancel(id string) bool {
	a := w.attempts[id]
	if a == nil {
		return false
	}
	a.request.record(history.Event{Kind: history.CancelReceived, ID: id, Actor: w.uid, Status: 200})
	w.fleet.tally.model.Cancelled++
	w.remove(a)
	a.request.release()
	w.startQueued()
	return true
}

// abortAll ends all that the worker holds.
func (w *worker) abortAll(tell bool) {
	var all []*attempt
	for _, a := range w.attempts {
		all = append(all, a)
	}
	slices.SortFunc(all, func(a, b *attempt) int { return a.request.number - b.request.number })
	w.queue = nil
	for _, a := range all {
		a.request.record(history.Event{Kind: history.WorkerDied, ID: a.request.id, Actor: w.uid})
		w.fleet.tally.model.KilledAttempts++
		w.remove(a)
		if tell {
			w.sendCallback(a, scheduler.Callback{Kind: scheduler.CallbackAborted})
		}
		a.request.release()
	}
	w.running, w.diedAt, w.recentArrivals, w.usedSlots = false, w.fleet.now, nil, 0
	w.incarnation++
}

// crash ends the process. Its machine's agent tells the schedulers and discovery.
func (w *worker) crash() {
	if !w.running {
		return
	}
	w.abortAll(true)
	life := w.incarnation
	w.fleet.after(agentReportDelay, func() {
		if w.incarnation == life {
			w.fleet.discovery.setState(w, endpoints.Removed)
		}
	})
}

// vanish takes the machine away without a word.
func (w *worker) vanish() {
	if w.unreachable {
		return
	}
	w.abortAll(false)
	w.unreachable = true
	w.missHeartbeats()
}

// missHeartbeats has discovery find out that it does not hear a worker any more.
func (w *worker) missHeartbeats() {
	d := w.fleet.discovery
	w.fleet.after(livenessTimeout+Micros((d.random()-0.5)*float64(second)), func() {
		if w.unreachable || w.fleet.network.separated(w.zone, discoveryZone) {
			d.setState(w, endpoints.Removed)
		}
	})
}

// boot starts the process, and the machine if it is away.
func (w *worker) boot() {
	if w.running || w.retired {
		return
	}
	f := w.fleet
	w.running, w.unreachable = true, false
	w.startedAt = f.now / millisecond * millisecond
	life := w.incarnation
	waiting := w.deferred
	w.deferred = nil
	for _, do := range waiting {
		do()
	}
	f.after(registrationDelay, func() {
		if w.incarnation == life && !f.network.separated(w.zone, discoveryZone) {
			f.discovery.setState(w, endpoints.Ready)
		}
	})
}

// replace has another worker come in this one's place.
func (w *worker) replace() {
	w.retired = true
	w.fleet.discovery.setState(w, endpoints.Removed)
	n := w.fleet.newWorker(w.zone)
	n.rack, n.running = w.rack, false
	w.fleet.register(n)
	n.boot()
}

// idle tells whether nothing is held.
func (w *worker) idle() bool { return len(w.attempts) == 0 }
