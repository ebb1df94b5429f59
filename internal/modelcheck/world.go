package modelcheck

import (
	"fmt"
	"strconv"

	"dahliaford/internal/connstate"
	"dahliaford/internal/dispatch"
	"dahliaford/internal/scheduler"
)

// World is one state: the scheduler, and all that surrounds it.
type World struct {
	cfg    *Config
	now    Micros
	s      *scheduler.Scheduler
	wake   Micros // what the timer is set to; 0: not set
	breaks bool   // the module breaks down at the next event that it gets

	requests  []request
	workers   []worker
	routes    []route
	jobs      []job
	calls     []call
	withdraws []withdraw
	unsent    []scheduler.AttemptID // given up before a byte was out

	watching bool // discovery tells of changes at once
	asked    bool // a watch has been asked for, and not been answered yet
	rev      int64
	heard    Micros // with Trust: the last word of discovery
	until    Micros // with Trust: what is known holds until then
	moved    Micros // with Trust: a new configuration came then, and its discovery has not spoken
	left     [faults]uint8
	most     uint8

	stopped bool // SIGTERM came
	stopAt  Micros
	exited  bool
	gaveUp  bool   // it ended though not all workers could be reached
	quiet   bool   // the rest is settled: no more faults
	rest    Micros // until when

	broke  *Violation // the first property that broke
	cover  *Coverage
	notes  *[]string // what the scheduler did, in words; nil: nobody reads them
	caller scheduler.CallerID
}

type requestState uint8

const (
	unsent requestState = iota
	open
	answered
	gone // its client left
)

// request is a submission of the client, and what the workers saw of its id.
type request struct {
	class    Class
	id       uint8  // of the request that first had this id
	gen      uint16 // how often this one was renewed
	state    requestState
	caller   scheduler.CallerID
	deadline Micros
	verdict  scheduler.Verdict
	leftAt   Micros // its client left then

	// Of the id, kept with the first request that had it.
	attempts uint8
	starts   uint8
	ran      uint8  // workers, as bits, at which an attempt may have run
	firstRan Micros // when the first attempt that may have run was sent
	made     uint8  // workers, as bits, that made a result
	last     scheduler.AttemptID
	lastBy   Micros // it is given up then
	at       uint8  // the worker of the last attempt
	stage    stage  // of the last attempt, as far as the scheduler has heard
}

type worker struct {
	down   bool // its process is dead
	silent bool // its machine is cut off
	status dispatch.Status
	begun  Micros // its start; 0: long ago
	known  Micros // its start as the scheduler was told
	told   Micros // when it was last told to drain or to be gone; 0: it is ready
	made   Micros // since when that counts of which discovery has not told; 0: it is ready
	fresh  []Micros
}

type phase uint8

const (
	connecting phase = iota
	written          // the request is on its way
	replied          // an answer is on its way
	broken           // the connection's end is on its way
	halfHeard        // the loop has heard of the end, and not of the writing
	idle             // the worker has accepted, and its connection is still there
	closing          // our close follows the request
	kept             // nothing of it left, and the loop is still to hear so
)

// route is an attempt on its connection.
type route struct {
	attempt scheduler.AttemptID
	id      uint8
	worker  uint8
	phase   phase
	unheard bool // the writer's word has not reached the loop
	cold    bool // it was written to a worker that the scheduler knew to be cold
	status  int
	writeBy Micros
	sent    Micros
	link    connstate.Conn
}

// job is an attempt that a worker holds.
type job struct {
	id, worker uint8
	attempt    scheduler.AttemptID
	sent       Micros
	running    bool
}

// call is a callback on its way.
type call struct {
	id, worker uint8
	news       scheduler.CallbackKind
}

// withdraw is the withdrawal of an attempt on its connection.
type withdraw struct {
	attempt  scheduler.AttemptID
	id       uint8
	worker   uint8
	phase    phase
	deadline Micros
	link     connstate.Conn
}

// newWorld starts a world: the scheduler has begun, knows the list and watches it.
func newWorld(cfg *Config) (*World, error) {
	if err := cfg.prepare(); err != nil {
		return nil, err
	}
	w := &World{cfg: cfg, now: start, rev: 1, left: cfg.Faults, most: cfg.MaxFaults, cover: &Coverage{}}
	var err error
	if w.s, err = scheduler.New(cfg.settings, 1); err != nil {
		return nil, err
	}
	for i, class := range cfg.Requests {
		w.requests = append(w.requests, request{class: class, id: uint8(i)})
	}
	for range cfg.Racks {
		w.workers = append(w.workers, worker{status: dispatch.Ready})
	}
	w.step(scheduler.Started{Discovery: "discovery", CachedList: w.list(true)})
	w.answerWatch()
	return w, nil
}

func uid(worker int) string { return "R" + string(rune('0'+worker)) }

// txn is the id of a request's present generation.
func (w *World) txn(id uint8) string {
	name := "t" + string(rune('0'+id))
	if gen := w.requests[id].gen; gen > 0 {
		name += "." + strconv.Itoa(int(gen))
	}
	return name
}

func workerOf(uid string) uint8 { return uid[1] - '0' }
func idOf(txn string) uint8     { return txn[1] - '0' }

func (w *World) line(i int) scheduler.Worker {
	r := &w.workers[i]
	return scheduler.Worker{UID: uid(i), Addr: uid(i), Zone: "north", Kind: "m1", Cell: w.cfg.Racks[i],
		Status: r.status, Started: r.begun}
}

func (w *World) list(all bool, which ...int) scheduler.WorkerList {
	t := scheduler.WorkerList{Rev: w.rev, Complete: all}
	if all {
		for i := range w.workers {
			if w.workers[i].status != dispatch.Removed {
				t.Workers = append(t.Workers, w.line(i))
			}
		}
	}
	for _, i := range which {
		t.Workers = append(t.Workers, w.line(i))
	}
	return t
}

// told marks what of the list the scheduler has now been told.
func (w *World) told() {
	if w.cfg.Rules.LimitStaleness {
		w.heard, w.until, w.moved = w.now, w.now+toldWithin, 0
	}
	for i := range w.workers {
		r := &w.workers[i]
		r.known = r.begun
		switch {
		case r.status == dispatch.Ready:
			r.told = 0
		case r.told == 0:
			r.told = w.now
		}
	}
}

// lost is what the node makes of a lost watch (told.lost there), which the sockets keep from being
// run here: until when what is known holds.
func (w *World) lost() (until Micros) {
	if w.watching { // else nothing hung on it
		if w.cfg.Rules.EndpointsPushed {
			w.until = min(w.until, w.now+drainGrace)
		} else {
			w.until = min(w.until, w.heard+w.cfg.Rules.askWithin())
		}
	}
	w.watching = false
	return w.until
}

// holdsBack is the node's last look, with the first byte in hand (told.may there).
func (w *World) holdsBack(to *worker) bool {
	return w.outdated() || w.cfg.Rules.LimitStaleness && to.told != 0
}

// outdated tells whether what is known holds no more.
func (w *World) outdated() bool { return w.cfg.Rules.LimitStaleness && w.now > w.until }

// leaves is since when a worker counts as told to leave; 0: it does not.
func (w *World) leaves(r *worker) Micros {
	at := r.told
	if r.made == 0 || !w.cfg.Rules.LimitStaleness {
		return at
	}
	counts := r.made + toldWithin
	switch {
	case w.cfg.Rules.EndpointsPushed: // what the agent has counts at once
		counts = r.made
	case !w.watching:
		counts = min(counts, r.made+w.cfg.Rules.askWithin())
	}
	if at == 0 || counts < at {
		at = counts
	}
	if at > w.now {
		return 0
	}
	return at
}

func (w *World) answerWatch() {
	w.asked, w.watching = false, true
	w.told()
	w.step(scheduler.EndpointsUpdated{List: w.list(true)})
}

// ---- The scheduler and what it asks for

// step passes an event to the scheduler as the node does, a breakdown and all.
func (w *World) step(e scheduler.Event) {
	w.see(e)
	effects, broken := w.reduce(e)
	if broken {
		w.breaks = false
		w.note("the module broke down and was started anew")
		var err error
		if effects, err = w.s.Recover(w.now); err != nil {
			w.fail(OneFinalAnswer, "the module cannot be started anew: %v", err)
		}
	}
	for _, effect := range effects {
		w.carryOut(effect)
	}
}

func (w *World) reduce(e scheduler.Event) (effects []scheduler.Effect, broken bool) {
	defer func() {
		if cause := recover(); cause != nil {
			if !w.breaks {
				w.fail(OneFinalAnswer, "a panic that nobody caused: %v", cause)
			}
			broken = true
		}
	}()
	if w.breaks {
		w.s.InjectFault()
	}
	effects = w.s.Step(w.now, e, nil)
	if w.breaks { // the event did not reach the module: it breaks down at the next
		w.note("(the event was none for the module)")
	}
	return effects, false
}

func (w *World) carryOut(e scheduler.Effect) {
	switch e := e.(type) {
	case scheduler.SendAttempt:
		w.note("scheduler routes %s to %s, to be written within %v", e.ID, e.UID, span(e.WriteBy-w.now))
		// What waited for a withdrawal was decided before, and the node's last look keeps it back.
		if w.outdated() && e.WriteBy-connectTimeout > w.until {
			w.fail(StaleListUnused, "%s is routed to %s by a list that held until %v ago", e.ID, e.UID,
				span(w.now-w.until))
		}
		r := route{attempt: e.Attempt, id: idOf(e.ID), worker: workerOf(e.UID), writeBy: e.WriteBy}
		r.link.Assign(e.Attempt, false)
		w.routes = append(w.routes, r)
		q := &w.requests[r.id]
		q.last, q.lastBy, q.at, q.stage = e.Attempt, e.Deadline, r.worker, stageConnecting
	case scheduler.CloseConnection:
		w.note("scheduler closes the connection of its attempt at a worker")
		w.abandon(e.Attempt)
	case scheduler.CancelUnsent:
		w.note("scheduler keeps its attempt back, if nothing of it has left")
		w.keepBack(e.Attempt)
	case scheduler.CancelAttempt:
		w.note("scheduler tells %s to drop %s", e.Addr, e.ID)
		w.cancels(e.Attempt)
		w.give(e.Attempt)
		wd := withdraw{attempt: e.Attempt, id: idOf(e.ID), worker: workerOf(e.Addr), deadline: e.Deadline}
		wd.link.Assign(e.Attempt, true)
		for _, attempt := range w.unsent {
			if attempt == e.Attempt {
				wd.phase = replied // nothing was ever out: the node need not ask
			}
		}
		w.withdraws = append(w.withdraws, wd)
	case scheduler.Answer:
		w.answer(e)
	case scheduler.SetTimer:
		w.wake = e.At
	case scheduler.OpenWatch:
		w.note("scheduler opens a watch of the worker list")
		if w.asked, w.watching = true, false; e.ValidUntil != 0 && w.cfg.Rules.LimitStaleness {
			w.moved, w.until = w.now, min(w.until, e.ValidUntil)
		}
	case scheduler.Shutdown:
		w.note("scheduler ends")
		w.exit()
	case scheduler.Log:
		w.note("log: %s %v", e.Text, e.Args)
	}
}

func (w *World) give(attempt scheduler.AttemptID) {
	for i := range w.requests {
		if q := &w.requests[i]; q.last == attempt && attempt != 0 {
			q.stage = stageGivenUp
		}
	}
}

// abandon closes the connection of an attempt. What was written may still be on its way.
func (w *World) abandon(attempt scheduler.AttemptID) {
	for i := range w.withdraws {
		if w.withdraws[i].attempt == attempt {
			w.dropWithdraw(i)
			return
		}
	}
	w.cancels(attempt)
	w.give(attempt)
	for i := range w.routes {
		r := &w.routes[i]
		if r.attempt != attempt || r.link.Released {
			continue
		}
		r.link.Release()
		switch r.phase {
		case connecting:
			w.unsent = append(w.unsent, attempt)
			w.dropRoute(i)
		case written:
			r.phase = closing
		default: // its answer is out, or it broke: nothing more comes of it
			w.dropRoute(i)
		}
		return
	}
}

// keepBack keeps an attempt of which nothing has left from leaving.
func (w *World) keepBack(attempt scheduler.AttemptID) {
	for i := range w.routes {
		if r := &w.routes[i]; r.attempt == attempt && r.phase == connecting {
			r.phase = kept
		}
	}
}

func (w *World) dropRoute(i int)    { w.routes = append(w.routes[:i:i], w.routes[i+1:]...) }
func (w *World) dropJob(i int)      { w.jobs = append(w.jobs[:i:i], w.jobs[i+1:]...) }
func (w *World) dropCall(i int)     { w.calls = append(w.calls[:i:i], w.calls[i+1:]...) }
func (w *World) dropWithdraw(i int) { w.withdraws = append(w.withdraws[:i:i], w.withdraws[i+1:]...) }

func (w *World) jobOf(id, worker uint8) int {
	for i := range w.jobs {
		if w.jobs[i].id == id && w.jobs[i].worker == worker {
			return i
		}
	}
	return -1
}

func (w *World) note(format string, args ...any) {
	if w.notes != nil {
		*w.notes = append(*w.notes, fmt.Sprintf(format, args...))
	}
}

// clone copies a state. Slices that are only ever replaced or appended to are copied; the
// configuration is shared.
func (w *World) clone() *World {
	c := *w
	c.s = w.s.Clone()
	c.requests = append([]request(nil), w.requests...)
	c.workers = append([]worker(nil), w.workers...)
	c.routes = append([]route(nil), w.routes...)
	c.jobs = append([]job(nil), w.jobs...)
	c.calls = append([]call(nil), w.calls...)
	c.withdraws = append([]withdraw(nil), w.withdraws...)
	c.unsent = append([]scheduler.AttemptID(nil), w.unsent...)
	for i := range c.workers {
		c.workers[i].fresh = append([]Micros(nil), w.workers[i].fresh...)
	}
	return &c
}
