package dispatch

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"
)

// ruleChecker feeds a dispatcher legal random events and checks the rules on its
// actions, from its own records alone.
type ruleChecker struct {
	t         *testing.T
	r         *rand.Rand
	s         Settings
	d         *Dispatcher
	now       Micros
	events    []scheduledEvent
	jobs      map[JobID]*jobRecord
	open      []JobID
	workers   map[WorkerID]*workerRecord
	workerIDs []WorkerID
	lastJob   JobID
	trace     []string
}

type scheduledEvent struct {
	at    Micros
	seq   int
	event Event
}

type jobRecord struct {
	class    int
	work     Micros
	deadline Micros
	answered int
	finished bool // the dispatcher knows that it is finished
	attempts []*attemptRecord
}

type sentWork struct {
	at   Micros
	work float64
}

type attemptRecord struct {
	worker     WorkerEntry
	sentAt     Micros
	inFlight   bool
	mayHaveRun bool
}

type workerRecord struct {
	entry          WorkerEntry
	statusSince    Micros // when the present status was listed
	started        Micros
	slowStartSends []sentWork
}

func newRuleChecker(t *testing.T, seed int64) *ruleChecker {
	r := rand.New(rand.NewSource(seed))
	s := testSettings()
	s.Dispatchers = []int{1, 2, 3, 260}[r.Intn(4)]
	s.Index = r.Intn(s.Dispatchers)
	s.PollEndpoints = r.Intn(2) == 0
	s.PollInterval = 10 * second
	s.HedgingAllowed = r.Intn(4) > 0
	s.CancelAllowed = r.Intn(2) == 0
	s.GossipAllowed = r.Intn(2) == 0
	s.StartReported = r.Intn(2) == 0
	s.MaxAttempts = 1 + r.Intn(5)
	s.WeightByWork = r.Intn(2) == 0
	s.CrossZonePrice = []float64{0, 0.05}[r.Intn(2)]
	s.Classes[1].DedupScope = DedupScope(r.Intn(3))
	if r.Intn(3) == 0 {
		s.Tenants = nil
	}
	d, err := New(s, uint64(seed))
	if err != nil {
		t.Fatal(err)
	}
	return &ruleChecker{t: t, r: r, s: s, d: d, now: 50 * second, jobs: map[JobID]*jobRecord{},
		workers: map[WorkerID]*workerRecord{}}
}

func (w *ruleChecker) span(longest Micros) Micros {
	return Micros(w.r.Int63n(int64(longest/w.s.Granularity))+1) * w.s.Granularity
}

func (w *ruleChecker) schedule(at Micros, e Event) {
	w.events = append(w.events, scheduledEvent{at, len(w.trace) + len(w.events), e})
}

func (w *ruleChecker) failf(format string, a ...any) {
	w.t.Helper()
	w.t.Fatalf("at %d: "+format, append([]any{w.now}, a...)...)
}

// feed passes one event on and checks what comes back.
func (w *ruleChecker) feed(e Event) {
	if j := w.jobs[e.Job]; j != nil && e.Kind == AttemptEnded {
		a := j.attempts[e.Attempt]
		if !a.inFlight {
			return
		}
		a.inFlight = false
		a.mayHaveRun = e.Outcome != AtCapacity && e.Outcome != ConnectFailed && e.Outcome != NotSent
		if e.Outcome == OK {
			if j.answered == 0 {
				j.answered++
			}
			j.finished = true
		}
		e.Final = j.finished || j.answered > 0
	}
	out := w.d.Step(w.now, &e, nil)
	w.trace = append(w.trace, fmt.Sprint(w.now, e.Kind, e.Job, out))
	for _, a := range out {
		w.checkAction(a)
	}
}

func (w *ruleChecker) checkAction(a Action) {
	switch a.Kind {
	case SetTimer:
		if a.Delay < 0 {
			w.failf("timer in the past")
		}
		w.schedule(w.now+max(a.Delay, w.s.Granularity), Event{Kind: TimerFired, Token: a.Token})
	case WatchEndpoints:
		w.answerCall()
	case Send:
		w.checkSend(a)
	case Refuse, Fail:
		j := w.jobs[a.Job]
		if j == nil || j.finished {
			w.failf("answer for a job that is unknown or over: %+v", a)
		}
		if j.answered++; j.answered > 1 {
			w.failf("job %d answered twice", a.Job)
		}
		if w.now > j.deadline {
			w.failf("job %d answered %d too late", a.Job, w.now-j.deadline)
		}
		if a.Kind == Refuse {
			w.checkRefusal(a.Job, j)
		}
	case Cancel:
		if !w.s.CancelAllowed || a.Attempt >= len(w.jobs[a.Job].attempts) {
			w.failf("bad cancel %+v", a)
		}
	case SendGossip:
		if !w.s.GossipAllowed || len(a.Message) > 256 {
			w.failf("bad message %+v", a)
		}
	}
}

func (w *ruleChecker) checkRefusal(id JobID, j *jobRecord) {
	c := &w.s.Classes[j.class]
	for _, a := range j.attempts {
		if (a.inFlight || a.mayHaveRun) && (c.Effect == Unsafe || c.Effect == Keyed && c.DedupScope != ScopeAll) {
			w.failf("job %d refused though it may have run", id)
		}
	}
}

func (w *ruleChecker) checkSend(a Action) {
	j, to := w.jobs[a.Job], w.workers[a.Worker]
	switch {
	case j == nil || to == nil:
		w.failf("unknown job or worker in a send: %+v", a)
	case j.finished || j.answered > 0:
		w.failf("job %d sent after its end", a.Job)
	case len(j.attempts) >= w.s.MaxAttempts:
		w.failf("job %d has too many attempts", a.Job)
	case to.entry.Status != Ready:
		w.failf("job %d sent to worker %d, which drains or is removed since %d", a.Job, a.Worker,
			w.now-to.statusSince)
	case a.SendBy > j.deadline || a.SendBy <= w.now:
		w.failf("job %d to leave by %d, given up at %d", a.Job, a.SendBy, j.deadline)
	case a.Deadline > j.deadline || a.Deadline <= w.now:
		w.failf("job %d to be abandoned at %d, given up at %d", a.Job, a.Deadline, j.deadline)
	}
	c := &w.s.Classes[j.class]
	for _, p := range j.attempts {
		if p.inFlight && !w.s.HedgingAllowed {
			w.failf("job %d has two attempts in flight", a.Job)
		}
		if !p.inFlight && !p.mayHaveRun {
			continue
		}
		switch c.Effect {
		case Unsafe:
			w.failf("unsafe job %d sent again though it may have run", a.Job)
		case Keyed:
			if a.SendBy-p.sentAt > c.DedupWindow || !sameDedupGroup(c.DedupScope, &p.worker, &to.entry) {
				w.failf("keyed job %d sent out of its group or window", a.Job)
			}
		}
	}
	w.checkSlowStart(to, j)
	known := w.d.workers[a.Worker]
	if w.d.slowStartSince(known) != 0 && !known.unreachable && !w.d.isSlowStartOwner(known) {
		w.failf("another dispatcher owns worker %d in slow start", a.Worker)
	}
	j.attempts = append(j.attempts, &attemptRecord{worker: to.entry, sentAt: w.now, inFlight: true})
	w.scriptOutcome(a, len(j.attempts)-1)
}

// checkSlowStart checks rule 4: one dispatcher alone uses the budget, in any window that
// ends now. Workers here have eight slots of speed 1.
func (w *ruleChecker) checkSlowStart(to *workerRecord, j *jobRecord) {
	if to.started == 0 || w.now-to.started >= w.s.SlowStart {
		return
	}
	to.slowStartSends = append(to.slowStartSends, sentWork{w.now, float64(j.work)})
	sum := 0.0
	for _, b := range to.slowStartSends {
		if w.now-b.at <= w.s.OverloadWindow {
			sum += b.work
		}
	}
	warm := w.s.SlowStartInitial + (1-w.s.SlowStartInitial)*float64(w.now-to.started)/float64(w.s.SlowStart)
	if budget := w.s.OverloadFactor * 8 * warm * float64(w.s.OverloadWindow); sum > budget {
		w.failf("worker in slow start sent %.0f of a budget of %.0f", sum, budget)
	}
}

// scriptOutcome decides what becomes of an attempt.
func (w *ruleChecker) scriptOutcome(a Action, n int) {
	worker := a.Worker
	e := Event{Kind: AttemptEnded, Job: a.Job, Attempt: n, Worker: worker, Outcome: OK}
	end := w.now + w.span(2*second)
	switch w.r.Intn(12) {
	case 0:
		e.Outcome = Failed
	case 1:
		e.Outcome, end = AtCapacity, w.now+w.s.Granularity
	case 2:
		e.Outcome = Reset
	case 3:
		e.Outcome, end = ConnectFailed, w.now+w.s.ConnectTimeout
	case 4, 5:
		e.Outcome, end = TimedOut, a.Deadline // it hangs
	case 6:
		e.Outcome, end = NotSent, w.now+w.s.Granularity
	}
	if e.Outcome == OK || e.Outcome == Failed {
		if w.s.StartReported {
			w.schedule(w.now+w.s.Granularity, Event{Kind: AttemptReported, Job: a.Job, Attempt: n, Worker: worker,
				Note: NoteStarted})
		}
		w.schedule((w.now+end)/2, Event{Kind: AttemptReported, Job: a.Job, Attempt: n, Worker: worker,
			Note: NoteProgress, Value: 0.5})
		e.Report = Report{FreeKnown: true, Free: 8 * w.r.Float64(), Outstanding: 8 * w.r.Float64()}
	}
	if end > a.Deadline {
		e.Outcome, end = TimedOut, a.Deadline
	}
	w.schedule(end, e)
}

func (w *ruleChecker) answerCall() {
	if w.r.Intn(3) == 0 {
		w.schedule(w.now+w.span(2*second), Event{Kind: EndpointsUpdated, Scope: UpdateFailed})
	} else {
		w.schedule(w.now+w.span(2*second), Event{Kind: EndpointsUpdated, Scope: UpdateFull, Workers: nil})
	}
}

// fillUpdate fills a list event with changes and records them.
func (w *ruleChecker) fillUpdate(e *Event) {
	if e.Scope == UpdateFailed {
		return
	}
	if len(w.workerIDs) == 0 || w.r.Intn(4) == 0 && len(w.workerIDs) < 12 {
		id := WorkerID(w.r.Intn(1 << 30))
		w.workerIDs = append(w.workerIDs, id)
		w.workers[id] = &workerRecord{entry: WorkerEntry{Worker: id, Zone: w.r.Intn(2), Cell: w.r.Intn(3),
			Kind: w.r.Intn(2), Status: Ready}}
		if e.Scope == UpdateDelta {
			e.Workers = append(e.Workers, w.workers[id].entry)
		}
	}
	for _, id := range w.workerIDs {
		k := w.workers[id]
		switch w.r.Intn(8) {
		case 0:
			k.entry.Status = Draining
		case 1:
			k.entry.Status = Removed
		case 2:
			k.entry.Status, k.entry.Started = Ready, w.now-w.span(second)
			k.started, k.slowStartSends = k.entry.Started, nil
		default:
			if e.Scope == UpdateDelta {
				continue
			}
		}
		k.statusSince = w.now
		if e.Scope == UpdateDelta || k.entry.Status != Removed || w.r.Intn(2) == 0 {
			e.Workers = append(e.Workers, k.entry)
		}
	}
}

func (w *ruleChecker) run(steps int) []string {
	w.feed(Event{Kind: Started})
	firstTrace := Event{Kind: EndpointsUpdated, Scope: UpdateCached}
	w.fillUpdate(&firstTrace)
	w.feed(firstTrace)
	for n := range steps + 4000 {
		arriving := n < steps
		if !arriving && len(w.events) == 0 {
			break
		}
		if arriving && w.r.Intn(3) > 0 {
			w.newEvent()
		} else {
			w.nextEvent()
		}
		w.checkDeadlines()
	}
	return w.trace
}

// newEvent makes one new event happen now.
func (w *ruleChecker) newEvent() {
	switch w.r.Intn(20) {
	case 0:
		e := Event{Kind: EndpointsUpdated, Scope: []UpdateScope{UpdateDelta, UpdateDelta, UpdateFull}[w.r.Intn(3)]}
		w.fillUpdate(&e)
		w.feed(e)
	case 1:
		if len(w.open) > 0 {
			id := w.open[w.r.Intn(len(w.open))]
			if j := w.jobs[id]; j.answered == 0 {
				j.finished = true
				w.feed(Event{Kind: ClientDisconnected, Job: id})
			}
		}
	case 2:
		w.feed(Event{Kind: GossipReceived, Peer: w.r.Intn(4), Message: []byte{0, 0, 0, 0, 1, 2, 1}})
	case 3: // a stale or foreign report
		w.feed(Event{Kind: AttemptReported, Job: JobID(w.r.Intn(1000)), Attempt: w.r.Intn(9), Note: NoteStarted})
	case 4, 5, 6:
		target := w.now + w.span(second/2)
		for slices.ContainsFunc(w.events, func(h scheduledEvent) bool { return h.at <= target }) {
			w.nextEvent()
		}
		w.now = max(w.now, target)
	default:
		w.lastJob++
		class := w.r.Intn(3)
		j := &jobRecord{class: class, deadline: w.now + w.s.Classes[class].Deadline}
		if w.r.Intn(5) == 0 {
			j.deadline = w.now + w.span(w.s.Classes[class].Deadline) - w.s.Granularity
		}
		w.jobs[w.lastJob] = j
		w.open = append(w.open, w.lastJob)
		work := w.span(second / 2)
		j.work = work
		w.feed(Event{Kind: JobArrived, Job: w.lastJob, Class: class, Tenant: w.r.Intn(3), Work: work,
			Slots: float64(1 + w.r.Intn(2)), ClientTimeout: j.deadline - w.now})
	}
}

// nextEvent feeds the next scheduled event, in order of time.
func (w *ruleChecker) nextEvent() {
	if len(w.events) == 0 {
		return
	}
	slices.SortFunc(w.events, func(a, b scheduledEvent) int {
		if a.at != b.at {
			return int(a.at - b.at)
		}
		return a.seq - b.seq
	})
	h := w.events[0]
	w.events = w.events[1:]
	w.now = max(w.now, h.at)
	if h.event.Kind == EndpointsUpdated {
		w.fillUpdate(&h.event)
	}
	w.feed(h.event)
	for len(w.events) > 0 && w.events[0].at <= w.now {
		w.nextEvent()
	}
}

// checkDeadlines checks rule 1: every job has its answer in time.
func (w *ruleChecker) checkDeadlines() {
	hasCome := func(e scheduledEvent) bool { return e.at <= w.now }
	for len(w.events) > 0 && slices.ContainsFunc(w.events, hasCome) {
		w.nextEvent()
	}
	open := w.open[:0]
	for _, id := range w.open {
		j := w.jobs[id]
		if j.answered == 0 && !j.finished {
			if w.now > j.deadline {
				w.failf("job %d (class %d, %d attempts) has no answer %d after its time", id, j.class,
					len(j.attempts), w.now-j.deadline)
			}
			open = append(open, id)
		}
	}
	w.open = open
}

// Random legal events, several settings: the rules hold on the actions, and the
// same events give the same actions.
func TestRulesOnRandomEvents(t *testing.T) {
	for seed := range int64(150) {
		firstTrace := newRuleChecker(t, seed).run(600)
		if repeated := newRuleChecker(t, seed).run(600); !slices.Equal(firstTrace, repeated) {
			t.Fatalf("seed %d: the same events gave other actions", seed)
		}
	}
}
