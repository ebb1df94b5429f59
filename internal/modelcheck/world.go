package modelcheck

import (
	"fmt"

	"dahliaford/internal/dispatch"
	"dahliaford/internal/scheduler"
)

// World is one state of a model-checked configuration (a world): the scheduler and its simulated environment.
type World struct {
	cfg          *Config
	now          Micros
	sched        *scheduler.Scheduler
	timerAt      Micros // time at which the scheduler's timer fires; 0 if it is not set
	panicPending bool   // the decision module panics at the next event that it processes

	requests       []request
	workers        []worker
	connections    []connection
	jobs           []job
	callbacks      []callback
	cancellations  []cancellation
	unsentAttempts []scheduler.AttemptID // attempts whose connection closed before a byte was written

	watch            watchState
	faultBudget      Budget
	totalFaultBudget uint8

	stopping               bool // SIGTERM was received
	stoppingSince          Micros
	exited                 bool
	cancellationsAbandoned bool   // the exit, at shutdownLimit, may have left cancellations unacknowledged
	settling               bool   // settle, which ends the path without further faults, is running
	settleUntil            Micros // simulated time until which settle lets timers fire after the last answer

	violation  *Violation // the first violation of a property; nil if there is none
	coverage   *Coverage
	notes      *[]string // log of actions and effects for traces; nil disables it
	lastCaller scheduler.CallerID
}

// newWorld returns the initial state: the scheduler has started, has a complete worker list and watches it.
func newWorld(cfg *Config) (*World, error) {
	if err := cfg.prepare(); err != nil {
		return nil, err
	}
	w := &World{cfg: cfg, now: startTime, watch: watchState{revision: 1}, faultBudget: cfg.Faults,
		totalFaultBudget: cfg.MaxFaults, coverage: &Coverage{}}
	var err error
	if w.sched, err = scheduler.New(cfg.settings, 1); err != nil {
		return nil, err
	}
	for i, class := range cfg.Requests {
		w.requests = append(w.requests, request{class: class, id: uint8(i)})
	}
	for range cfg.Racks {
		w.workers = append(w.workers, worker{status: dispatch.Ready})
	}
	w.step(scheduler.Started{Discovery: "discovery", CachedList: w.workerList(true)})
	w.answerWatch(Action{Kind: AnswerWatch})
	return w, nil
}

// clone returns a copy of a state. The copy shares the configuration, the coverage and the log of notes with
// the original.
func (w *World) clone() *World {
	c := *w
	c.sched = w.sched.Clone()
	c.requests = append([]request(nil), w.requests...)
	c.workers = append([]worker(nil), w.workers...)
	c.connections = append([]connection(nil), w.connections...)
	c.jobs = append([]job(nil), w.jobs...)
	c.callbacks = append([]callback(nil), w.callbacks...)
	c.cancellations = append([]cancellation(nil), w.cancellations...)
	c.unsentAttempts = append([]scheduler.AttemptID(nil), w.unsentAttempts...)
	for i := range c.workers {
		c.workers[i].slowStartSends = append([]Micros(nil), w.workers[i].slowStartSends...)
	}
	return &c
}

// mayInject reports whether the fault budgets allow another fault of kind f, and that settle, which continues
// a path without faults, is not running.
func (w *World) mayInject(f Fault) bool {
	return w.faultBudget[f] > 0 && w.totalFaultBudget > 0 && !w.settling
}

// spendFault takes one fault of kind f from the budgets. It panics if the budgets are exhausted, because the
// action that injects the fault is not enabled in that state.
func (w *World) spendFault(f Fault) {
	if w.faultBudget[f] == 0 || w.totalFaultBudget == 0 {
		panic("modelcheck: fault injected with its budget exhausted")
	}
	w.faultBudget[f]--
	w.totalFaultBudget--
}

// note appends a line to the log of notes, if the log is enabled. A line that begins with actionMark
// describes an action; the other lines describe the effects of that action.
func (w *World) note(format string, args ...any) {
	if w.notes != nil {
		*w.notes = append(*w.notes, fmt.Sprintf(format, args...))
	}
}

const actionMark = "-- "
