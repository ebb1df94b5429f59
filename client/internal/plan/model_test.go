package plan

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"dahliaford/internal/modelcheck"
)

// world is one client with a few jobs, two schedulers and a lossy network: the real plan, not a copy, in
// every order of what may happen to each attempt. The schedulers drop duplicates of a key as the class
// promises.
type world struct {
	cfg    Config
	plan   *Plan
	now    time.Time
	jobs   []jobState
	down   [2]bool
	faults int // that may still happen
	// misread returns the outcome that the client takes an outcome for; nil: itself. It injects a fault.
	misread func(Outcome) Outcome
}

// jobState is a job, and what happened to it at the schedulers.
type jobState struct {
	job       *Job
	class     int
	deadline  time.Time
	begun     bool
	step      Step
	began     time.Time
	attempts  int
	read      bool // a scheduler has the current attempt
	runs      int
	ranAt     time.Time // when it first ran
	racks     [2]bool   // where it ran
	violation string
}

const maxFaults = 4

func newWorld(class int, jobs int) *world {
	cfg := testConfig()
	cfg.Schedulers, cfg.RetryBudget, cfg.MaxTokens = 2, 1, 10
	p, err := New(cfg, 1)
	if err != nil {
		panic(err)
	}
	w := &world{cfg: cfg, plan: p, now: start, faults: maxFaults}
	for range jobs {
		w.jobs = append(w.jobs, jobState{class: class, deadline: start.Add(1200 * time.Millisecond)})
	}
	return w
}

func (w *world) clone() *world {
	c := *w
	p := *w.plan
	p.schedulers = slices.Clone(p.schedulers)
	// Random numbers must not distinguish two states that behave alike.
	p.random = rand.New(rand.NewPCG(7, uint64(w.now.Sub(start))))
	c.plan = &p
	c.jobs = slices.Clone(w.jobs)
	for i := range c.jobs {
		if j := c.jobs[i].job; j != nil {
			copied := *j
			c.jobs[i].job = &copied
		}
	}
	return &c
}

// event is something that may happen to a job, or to a scheduler.
type event struct {
	job, scheduler int
	what           string
	end            AttemptResult
	after          time.Duration
	fault          bool
}

// How an attempt may end before a scheduler has read it.
var beforeRead = []event{
	{what: "half written", end: AttemptResult{Outcome: NotSent}, fault: true},
	{what: "a reused connection closes", end: AttemptResult{Outcome: ReusedClosed}, fault: true},
	{what: "no response", end: AttemptResult{Outcome: NoResponse}, after: 300 * time.Millisecond, fault: true},
	{what: "no connection allowed", end: AttemptResult{Outcome: ClientLimited}, fault: true},
	{what: "idle connections closed", end: AttemptResult{Outcome: IdleClosed}, fault: true},
}

// How an attempt may end after a scheduler has read it. Those with "runs" let it run, unless it is a
// duplicate.
var afterRead = []event{
	{what: "runs, served", end: AttemptResult{Status: 200}},
	{what: "runs, fails", end: AttemptResult{Status: 500}, fault: true},
	{what: "runs, no response", end: AttemptResult{Outcome: NoResponse}, after: 300 * time.Millisecond,
		fault: true},
	{what: "runs, a reused connection closes", end: AttemptResult{Outcome: ReusedClosed}, fault: true},
	{what: "runs, a malformed response", end: AttemptResult{Outcome: Malformed}, fault: true},
	{what: "refused", end: AttemptResult{Status: 503, HasRetryAfter: true, RetryAfter: 100 * time.Millisecond},
		fault: true},
	{what: "refused, closing", end: AttemptResult{Status: 503, ConnectionClose: true}, fault: true},
	{what: "invalid", end: AttemptResult{Status: 400}, fault: true},
}

func (w *world) events() (all []event) {
	add := func(e event) {
		if !e.fault || w.faults > 0 {
			all = append(all, e)
		}
	}
	for i := range w.jobs {
		l := &w.jobs[i]
		switch {
		case !l.begun:
			add(event{job: i, what: "begins"})
		case l.step.Verdict != Pending:
		case !l.step.StartNow:
			add(event{job: i, what: "its wait ends"})
		case l.read:
			for _, e := range afterRead {
				e.job = i
				add(e)
			}
		case w.down[l.step.Scheduler]:
			add(event{job: i, what: "refuses the connection", end: AttemptResult{Outcome: ConnectFailed}})
		default:
			add(event{job: i, what: "is read"})
			for _, e := range beforeRead {
				e.job = i
				add(e)
			}
		}
		if l.begun && l.step.Verdict == Pending {
			add(event{job: i, what: "its caller cancels", fault: true})
		}
	}
	for s := range w.down {
		add(event{scheduler: s, what: map[bool]string{false: "stops", true: "starts"}[w.down[s]],
			fault: !w.down[s]})
	}
	return all
}

// Steps implements modelcheck.Model.
func (w *world) Steps() (names []string) {
	for _, e := range w.events() {
		names = append(names, fmt.Sprintf("job %d, scheduler %d: %s", e.job, e.scheduler, e.what))
	}
	return names
}

// Step implements modelcheck.Model.
func (w *world) Step(i int) *world {
	e := w.events()[i]
	w = w.clone()
	if e.fault {
		w.faults--
	}
	l := &w.jobs[e.job]
	switch e.what {
	case "stops", "starts":
		w.down[e.scheduler] = e.what == "stops"
	case "begins":
		l.begun = true
		var s Step
		l.job, s = w.plan.Begin(w.now, l.class, l.deadline)
		w.take(l, s)
	case "its wait ends":
		w.now = latest(w.now, l.step.At)
		w.take(l, w.plan.Start(w.now, l.job))
	case "its caller cancels":
		w.plan.Cancel(l.job)
		l.step, l.read = Step{Verdict: Unknown}, false
	case "is read":
		l.read = true
	default:
		if l.read && (e.end.Outcome != Answered || e.end.Status == 200 || e.end.Status == 500) {
			w.run(l)
		}
		l.read = false
		w.now = w.now.Add(10*time.Millisecond + e.after)
		if w.misread != nil {
			e.end.Outcome = w.misread(e.end.Outcome)
		}
		w.take(l, w.plan.AttemptEnded(w.now, l.began, l.job, e.end))
	}
	return w
}

// run lets a job run at a scheduler, which drops a duplicate as the job's class promises.
func (w *world) run(l *jobState) {
	at := l.step.Scheduler
	class := w.cfg.Classes[l.class]
	switch {
	case l.runs == 0:
		l.ranAt = w.now
	case class.Effect == Anywhere && w.now.Sub(l.ranAt) < class.Window:
		return
	case class.Effect == Rack && l.racks[at]:
		return
	}
	l.runs++
	l.racks[at] = true
}

// take records what the plan wants next, and what is invalid about it.
func (w *world) take(l *jobState, s Step) {
	l.step = s
	switch {
	case s.Verdict == Pending && s.StartNow:
		l.attempts++
		l.began = w.now
		if !w.now.Before(l.deadline) {
			l.violation = "an attempt starts past the deadline"
		}
	case s.Verdict == Pending:
		if !s.At.Before(l.deadline) || s.At.Before(w.now) {
			l.violation = fmt.Sprint("it waits until ", s.At.Sub(start))
		}
	case (s.Verdict == Refused || s.Verdict == Expired) && l.runs > 0:
		l.violation = fmt.Sprint("verdict ", s.Verdict, " though it ran")
	case s.Verdict == Served && l.runs == 0:
		l.violation = "served though it never ran"
	}
}

// Check implements modelcheck.Model.
func (w *world) Check() error {
	open := 0
	for i := range w.jobs {
		l := &w.jobs[i]
		if l.begun && l.step.Verdict == Pending && l.step.StartNow {
			open++
		}
		switch {
		case l.violation != "":
			return fmt.Errorf("job %d: %s", i, l.violation)
		case l.runs > 1 && w.cfg.Classes[l.class].Effect != Safe:
			return fmt.Errorf("job %d ran %d times", i, l.runs)
		}
	}
	if w.plan.InFlight() != open {
		return fmt.Errorf("%d attempts are in flight, the plan counts %d", open, w.plan.InFlight())
	}
	return nil
}

// AppendState implements modelcheck.Model.
func (w *world) AppendState(b []byte) []byte {
	num := func(n int64) { b = binary.AppendVarint(b, n) }
	at := func(t time.Time) {
		if t.IsZero() {
			num(-1)
		} else {
			num(int64(t.Sub(start)))
		}
	}
	flag := func(f bool) {
		if f {
			num(1)
		} else {
			num(0)
		}
	}
	at(w.now)
	num(int64(w.faults))
	num(int64(w.plan.tokens * 100))
	for i := range w.down {
		s := &w.plan.schedulers[i]
		flag(w.down[i])
		num(int64(s.inFlight))
		num(int64(s.consecutiveFailures))
		num(int64(s.refusalRate * 1000))
		num(int64(s.ejection))
		at(s.ejectedUntil)
		flag(s.probing)
	}
	for i := range w.jobs {
		l := &w.jobs[i]
		flag(l.begun)
		flag(l.read)
		num(int64(l.runs))
		at(l.ranAt)
		at(l.began)
		flag(l.racks[0])
		flag(l.racks[1])
		b = append(b, l.violation...)
		num(int64(l.step.Verdict))
		flag(l.step.StartNow)
		num(int64(l.step.Scheduler))
		at(l.step.At)
		if j := l.job; j != nil {
			num(int64(j.attempts))
			at(j.firstMayHaveRun)
			num(int64(j.scheduler))
			flag(j.inFlight)
			num(int64(j.fallback))
			flag(j.done)
		}
	}
	return b
}

// Every order of what may happen to one job, and to two at once with fewer faults: nothing runs twice that
// must not, only what did not run is called refused, no attempt starts past its deadline, and nothing stays
// in flight.
func TestEveryOrder(t *testing.T) {
	for class, name := range []string{"once", "rack", "anywhere", "safe"} {
		one := newWorld(class, 1)
		two := newWorld(class, 2)
		two.faults = 2
		for _, w := range []*world{one, two} {
			tour := modelcheck.Exhaust(w, 3_000_000)
			if tour.Violation != nil || !tour.Exhausted || tour.States < 1000 {
				t.Errorf("%s, %d jobs: %v, %v, by %q", name, len(w.jobs), tour, tour.Violation, tour.Path)
			}
			t.Logf("%s, %d jobs: %v", name, len(w.jobs), tour)
		}
	}
}

// A client that takes one outcome for another violates a property.
func TestMisjudgedOutcomesAreFound(t *testing.T) {
	for _, c := range []struct {
		class      int
		was, taken Outcome
	}{
		{onceClass, ReusedClosed, ConnectFailed}, // a reused connection that closed, taken for a refused one
		{onceClass, ReusedClosed, NotSent},
		{onceClass, NoResponse, NotSent},
		{rackClass, Malformed, ClientLimited},
		{anywhereClass, NoResponse, NotSent}, // beyond its window
	} {
		w := newWorld(c.class, 1)
		w.cfg.Classes = slices.Clone(w.cfg.Classes)
		w.plan.cfg.Classes = w.cfg.Classes
		w.cfg.Classes[anywhereClass].Window = 200 * time.Millisecond
		w.misread = func(p Outcome) Outcome {
			if p == c.was {
				return c.taken
			}
			return p
		}
		if tour := modelcheck.Exhaust(w, 3_000_000); tour.Violation == nil {
			t.Errorf("class %d, %v taken for %v: not found, %v", c.class, c.was, c.taken, tour)
		} else {
			t.Logf("%v, by %q", tour.Violation, tour.Path)
		}
	}
}
