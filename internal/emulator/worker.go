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
	queueOfSlots = 2.0    // a worker's queue holds so many times its slots
	failures     = 0.0005 // of runs that fail by themselves
	// callbacksFor is how long a worker tries a callback: ten times, a second apart.
	callbacksFor = 10 * second
	fallsFor     = 5 * second // a worker that was pushed over is down for so long
)

// worker is a hollow worker.
type worker struct {
	f      *fleet
	number int
	uid    string
	addr   string
	zone   int
	rack   int
	kind   *kindOf
	random *rand.Rand

	up      bool // its process runs
	gone    bool // its machine has vanished, and says nothing
	retired bool // it is not to come back
	life    int  // of its process: connections are to one
	diedAt  Micros
	started Micros // 0: long ago
	waiting []func()

	held  map[string]*attempt
	queue []*attempt
	used  float64
	load  []arrival // while it is cold
	errs  float64   // recent errors a second
	errAt Micros
}

// attempt is a job that a worker holds.
type attempt struct {
	req     *request
	w       *worker
	n       *node
	running bool
	over    bool
}

type arrival struct {
	at   Micros
	work float64 // micros on a standard machine, times slots
	knew bool    // its scheduler had been told of the start
}

// newWorker is one more worker, in a zone. It runs, but nobody knows of it before it is registered.
func (f *fleet) newWorker(zone int) *worker {
	number := len(f.workers)
	hash := fnv.New32a()
	_, _ = fmt.Fprintf(hash, "worker %d", number) // a hash takes all that is written
	place := number / Zones
	w := &worker{f: f, number: number, uid: fmt.Sprintf("s-%08x", hash.Sum32()), zone: zone,
		rack: zone*1000 + place/rackSize, addr: fmt.Sprintf("10.%d.%d.%d:8443", zone, place/250, place%250),
		kind: &kinds[place%len(kinds)], up: true, held: map[string]*attempt{},
		random: f.random(1000 + uint64(number))}
	for f.byUID[w.uid] != nil {
		w.uid += "x"
	}
	return w
}

// register makes a new worker part of the fleet. Discovery lists it as ready if it runs.
func (f *fleet) register(w *worker) {
	f.workers = append(f.workers, w)
	f.byUID[w.uid], f.byAddr[w.addr] = w, w
	f.rules.RackOf[w.uid] = fmt.Sprint(w.rack)
	state := endpoints.Ready
	if !w.up {
		state = endpoints.Removed
	}
	f.discovery.table.Add(endpoints.Endpoint{UID: w.uid, Addr: w.addr, Zone: zoneName(w.zone),
		Kind: w.kind.name, Cell: w.rack, State: state})
	f.discovery.leftAt = append(f.discovery.leftAt, 0)
}

// reach has something done at the worker's machine, or once it is back.
func (w *worker) reach(do func()) {
	if w.gone {
		w.waiting = append(w.waiting, do)
		return
	}
	do()
}

// warmth is the part of its capacity that a worker has.
func (w *worker) warmth() float64 {
	if w.started == 0 || w.f.now-w.started >= coldFor {
		return 1
	}
	return coldFrom + (1-coldFrom)*float64(w.f.now-w.started)/float64(coldFor)
}

// take takes a request whose last byte has come, and answers.
func (w *worker) take(c *conn, req *request) {
	f := w.f
	req.note(history.Event{Kind: history.Arrived, ID: req.id, Actor: w.uid})
	a := &attempt{req: req, w: w, n: c.n}
	waits := 0.0
	for _, q := range w.queue {
		waits += q.req.item.slots
	}
	if waits+req.item.slots > queueOfSlots*w.kind.slots || req.item.slots > w.kind.slots {
		req.note(history.Event{Kind: history.Ended, ID: req.id, Actor: w.uid})
		f.tally.model.RejectedAtCapacity++
		w.answer(c, connstate.Answer{Status: 503, TurnedAway: true, Report: w.report()})
		return
	}
	w.held[req.id] = a
	req.open++
	w.answer(c, connstate.Answer{Status: 202})
	w.queue = append(w.queue, a)
	w.strain(c, req)
	if w.up {
		w.begin()
	}
}

func (w *worker) answer(c *conn, a connstate.Answer) {
	task := c.Attempt
	w.f.net.send(w.zone, c.n.zone, answerBytes, func() {
		if c.on(task) {
			c.n.job(answerBytes)
			c.answered(a)
		}
	})
}

// strain is the rule on cold workers: one that is sent more than it allows falls over.
func (w *worker) strain(c *conn, req *request) {
	f := w.f
	warmth := w.warmth()
	if warmth == 1 {
		w.load = nil
		return
	}
	// A start counts as told after a while, heard or not.
	told := c.n.starts[w.uid] == w.started || f.now-w.started > startTells+batchEvery+toldWithin
	w.load = append(w.load, arrival{f.now, req.item.work * req.item.slots, told})
	w.load = slices.DeleteFunc(w.load, func(a arrival) bool { return f.now-a.at > fallWithin })
	sum, knew := 0.0, 0.0
	for _, a := range w.load {
		if sum += a.work; a.knew {
			knew += a.work
		}
	}
	slack := 2 * float64(f.task)
	if sum <= slack+overloadFactor*warmth*w.kind.slots*w.kind.speed*float64(fallWithin) {
		return
	}
	f.tally.model.OverloadCrashes++
	if knew >= sum*2/3 {
		f.tally.found(history.Finding{Property: "cold-spared", ID: req.id,
			Text: fmt.Sprintf("%s falls over, with %.0f s of work within its window", w.uid, sum/1e6)})
	}
	w.die()
	f.after(fallsFor, w.boot)
}

// begin starts what there are slots for.
func (w *worker) begin() {
	f := w.f
	for len(w.queue) > 0 && w.used+w.queue[0].req.item.slots <= w.kind.slots {
		a := w.queue[0]
		w.queue = w.queue[1:]
		a.running = true
		w.used += a.req.item.slots
		a.req.note(history.Event{Kind: history.Started, ID: a.req.id, Actor: w.uid})
		f.clients.started(a.req)
		w.callback(a, scheduler.Callback{Kind: scheduler.CallbackStarted})
		run := Micros(a.req.item.work / w.kind.speed / w.warmth())
		f.after(run, func() { w.finish(a) })
	}
}

func (w *worker) finish(a *attempt) {
	if a.over {
		return
	}
	told := scheduler.Callback{Kind: scheduler.CallbackDone, Result: []byte(a.req.id)}
	ended := history.Event{Kind: history.Ended, ID: a.req.id, Actor: w.uid, MayHaveRun: true, Result: a.req.id}
	if w.random.Float64() < failures {
		told.Kind, told.Result, ended.Result = scheduler.CallbackFailed, nil, ""
		w.errs, w.errAt = w.errors()+0.1, w.f.now
	}
	a.req.note(ended)
	w.free(a)
	told.Report = w.report()
	w.callback(a, told)
	a.req.close()
	w.begin()
}

// free takes an attempt out of the books.
func (w *worker) free(a *attempt) {
	a.over = true
	delete(w.held, a.req.id)
	if a.running {
		w.used -= a.req.item.slots
	} else {
		w.queue = slices.DeleteFunc(w.queue, func(o *attempt) bool { return o == a })
	}
}

// errors is the recent errors a second; they wear off within ten seconds.
func (w *worker) errors() float64 {
	return w.errs * max(0, 1-float64(w.f.now-w.errAt)/float64(10*second))
}

func (w *worker) report() dispatch.Report {
	return dispatch.Report{Known: true, Free: w.kind.slots - w.used, Outstanding: float64(len(w.held)),
		Errors: w.errors()}
}

// callback tells the attempt's scheduler something, and tries for a while.
func (w *worker) callback(a *attempt, t scheduler.Callback) {
	f, sent, life := w.f, w.f.now, a.n.life
	t.ID, t.From = a.req.id, w.uid
	bytes := callbackBytes + len(t.Result)
	if t.Report.Known {
		bytes += reportBytes
	}
	f.net.send(w.zone, a.n.zone, bytes, func() {
		if f.now-sent > callbacksFor || a.n.life != life {
			f.tally.model.CallbacksUndelivered++
			return
		}
		a.n.job(bytes)
		a.n.job(emptyAnswerBytes)
		a.n.step(t)
	})
}

// withdraw drops a job, and tells whether it was there.
func (w *worker) withdraw(id string) bool {
	a := w.held[id]
	if a == nil {
		return false
	}
	a.req.note(history.Event{Kind: history.CancelReceived, ID: id, Actor: w.uid, Status: 200})
	w.f.tally.model.Cancelled++
	w.free(a)
	a.req.close()
	w.begin()
	return true
}

// lose ends all that the worker holds.
func (w *worker) lose(tell bool) {
	var all []*attempt
	for _, a := range w.held {
		all = append(all, a)
	}
	slices.SortFunc(all, func(a, b *attempt) int { return a.req.number - b.req.number })
	w.queue = nil
	for _, a := range all {
		a.req.note(history.Event{Kind: history.WorkerDied, ID: a.req.id, Actor: w.uid})
		w.f.tally.model.KilledAttempts++
		w.free(a)
		if tell {
			w.callback(a, scheduler.Callback{Kind: scheduler.CallbackAborted})
		}
		a.req.close()
	}
	w.up, w.diedAt, w.load, w.used = false, w.f.now, nil, 0
	w.life++
}

// die ends the process. Its machine's agent tells the schedulers and discovery.
func (w *worker) die() {
	if !w.up {
		return
	}
	w.lose(true)
	life := w.life
	w.f.after(agentTells, func() {
		if w.life == life {
			w.f.discovery.setState(w, endpoints.Removed)
		}
	})
}

// vanish takes the machine away without a word.
func (w *worker) vanish() {
	if w.gone {
		return
	}
	w.lose(false)
	w.gone = true
	w.unheard()
}

// unheard has discovery find out that it does not hear a worker any more.
func (w *worker) unheard() {
	d := w.f.discovery
	w.f.after(unheardFor+Micros((d.random()-0.5)*float64(second)), func() {
		if w.gone || w.f.net.parted(w.zone, discoveryZone) {
			d.setState(w, endpoints.Removed)
		}
	})
}

// boot starts the process, and the machine if it is away.
func (w *worker) boot() {
	if w.up || w.retired {
		return
	}
	f := w.f
	w.up, w.gone = true, false
	w.started = f.now / millisecond * millisecond
	life := w.life
	waiting := w.waiting
	w.waiting = nil
	for _, do := range waiting {
		do()
	}
	f.after(startTells, func() {
		if w.life == life && !f.net.parted(w.zone, discoveryZone) {
			f.discovery.setState(w, endpoints.Ready)
		}
	})
}

// replace has another worker come in this one's place.
func (w *worker) replace() {
	w.retired = true
	w.f.discovery.setState(w, endpoints.Removed)
	n := w.f.newWorker(w.zone)
	n.rack, n.up = w.rack, false
	w.f.register(n)
	n.boot()
}

// idle tells whether nothing is held.
func (w *worker) idle() bool { return len(w.held) == 0 }
