package modelcheck

import (
	"fmt"

	"dahliaford/internal/dispatch"
	"dahliaford/internal/scheduler"
)

// World is one state: the scheduler, and all that surrounds it.
type World struct {
	cfg          *Config
	now          Micros
	sched        *scheduler.Scheduler
	timerAt      Micros // when the scheduler's timer fires; 0: not set
	panicPending bool   // the decision module panics at the next event that it gets

	requests       []request
	workers        []worker
	connections    []connection
	jobs           []job
	callbacks      []callback
	cancellations  []cancellation
	unsentAttempts []scheduler.AttemptID // given up before their first byte was written

	watch            watchState
	faultBudget      Budget
	totalFaultBudget uint8

	stopping               bool // SIGTERM came
	stoppingSince          Micros
	exited                 bool
	cancellationsAbandoned bool   // it exited though not all workers could be reached
	settling               bool   // no more faults: see settle
	settleUntil            Micros // when settling ends

	violation  *Violation // the first one
	coverage   *Coverage
	notes      *[]string // an account of what happened, for people; nil: nobody reads it
	lastCaller scheduler.CallerID
}

// newWorld starts a world: the scheduler has started, knows the list and watches it.
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

// clone copies a state. Slices are copied; the configuration, and the coverage, are shared.
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

// mayInject reports whether a fault is left in the budget.
func (w *World) mayInject(f Fault) bool {
	return w.faultBudget[f] > 0 && w.totalFaultBudget > 0 && !w.settling
}

// spendFault takes a fault from the budget. It panics if none is left: such an action is not enabled.
func (w *World) spendFault(f Fault) {
	if w.faultBudget[f] == 0 || w.totalFaultBudget == 0 {
		panic("modelcheck: a fault beyond its budget")
	}
	w.faultBudget[f]--
	w.totalFaultBudget--
}

// note adds a line to the account. A line that begins with actionMark says which action is taken.
func (w *World) note(format string, args ...any) {
	if w.notes != nil {
		*w.notes = append(*w.notes, fmt.Sprintf(format, args...))
	}
}

const actionMark = "-- "
