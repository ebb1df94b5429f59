package dispatch

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"
)

// ruleChecker feeds a dispatcher legal random events and checks its actions. The rules are that each request
// gets one final answer in time, that an attempt that may have run is repeated only as its class allows, that
// nothing is sent to a worker that drains or is removed, and that a worker in slow start gets no more than
// its slow-start budget. The checks use the records of the checker. Only two facts are read from the
// dispatcher: whether a worker is in slow start, and whether the dispatcher is then the worker's owner, which
// may send to the worker.
type ruleChecker struct {
	t         *testing.T
	r         *rand.Rand
	s         Settings
	d         *Dispatcher
	now       Micros
	events    []scheduledEvent // events that are still to be passed to the dispatcher
	jobs      map[JobID]*jobRecord
	open      []JobID // jobs without a final answer
	workers   map[WorkerID]*workerRecord
	workerIDs []WorkerID
	lastJob   JobID
	trace     []string // events passed so far, with the actions that they caused
}

// scheduledEvent is an event that the checker passes to the dispatcher at a given time.
type scheduledEvent struct {
	at    Micros
	seq   int
	event Event
}

// jobRecord is the checker's record of a job.
type jobRecord struct {
	class    int
	work     Micros
	deadline Micros
	answered int  // number of final answers
	finished bool // the dispatcher has been told that the job is finished
	attempts []*attemptRecord
}

// sentWork is the work of an attempt and the time at which the attempt was sent.
type sentWork struct {
	at   Micros
	work float64
}

// attemptRecord is the checker's record of an attempt.
type attemptRecord struct {
	worker     WorkerEntry // the list entry of the worker when the attempt was sent
	sentAt     Micros
	inFlight   bool
	mayHaveRun bool
}

// workerRecord is the checker's record of a worker.
type workerRecord struct {
	entry          WorkerEntry
	statusSince    Micros     // time at which an update listed the present status
	started        Micros     // time of the latest restart; 0 if the worker has not restarted
	slowStartSends []sentWork // attempts sent to the worker during slow start, since its latest restart
}

// newRuleChecker returns a checker with random settings. The seed decides all random choices.
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

// span returns a random positive multiple of Settings.Granularity, up to the given longest span.
func (w *ruleChecker) span(longest Micros) Micros {
	return Micros(w.r.Int63n(int64(longest/w.s.Granularity))+1) * w.s.Granularity
}

// schedule adds an event that will be passed to the dispatcher at the given time.
func (w *ruleChecker) schedule(at Micros, e Event) {
	w.events = append(w.events, scheduledEvent{at, len(w.trace) + len(w.events), e})
}

// failf fails the test with the simulated time before the message.
func (w *ruleChecker) failf(format string, a ...any) {
	w.t.Helper()
	w.t.Fatalf("at time %d us: "+format, append([]any{w.now}, a...)...)
}

// feed passes an event to the dispatcher and checks the resulting actions.
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

// checkAction checks one action and schedules the events that follow from it.
func (w *ruleChecker) checkAction(a Action) {
	switch a.Kind {
	case SetTimer:
		if a.Delay < 0 {
			w.failf("got a timer with a negative delay, want a delay of 0 or more")
		}
		w.schedule(w.now+max(a.Delay, w.s.Granularity), Event{Kind: TimerFired, Token: a.Token})
	case WatchEndpoints:
		w.answerPoll()
	case Send:
		w.checkSend(a)
	case Refuse, Fail:
		j := w.jobs[a.Job]
		if j == nil || j.finished {
			w.failf("got an answer for an unknown or finished job, want none: %+v", a)
		}
		if j.answered++; j.answered > 1 {
			w.failf("job %d: got a second answer, want one", a.Job)
		}
		if w.now > j.deadline {
			w.failf("job %d: got the answer %d us after the deadline, want it by the deadline",
				a.Job, w.now-j.deadline)
		}
		if a.Kind == Refuse {
			w.checkRefusal(a.Job, j)
		}
	case Cancel:
		if !w.s.CancelAllowed || a.Attempt >= len(w.jobs[a.Job].attempts) {
			w.failf("got a cancel, want none, as the settings forbid cancels or the job has no such attempt: %+v", a)
		}
	case SendGossip:
		if !w.s.GossipAllowed || len(a.Message) > 256 {
			w.failf("got gossip that the settings forbid or that exceeds 256 bytes, want none such: %+v", a)
		}
	}
}

// checkRefusal checks that a refused job did not run, unless its class allows a repeat on any worker.
func (w *ruleChecker) checkRefusal(id JobID, j *jobRecord) {
	c := &w.s.Classes[j.class]
	for _, a := range j.attempts {
		if (a.inFlight || a.mayHaveRun) && (c.Effect == Unsafe || c.Effect == Keyed && c.DedupScope != ScopeAll) {
			w.failf("job %d, which may have run and may not be repeated anywhere: got a refusal, want a failure", id)
		}
	}
}

// checkSend checks that a send is allowed, and records the attempt.
func (w *ruleChecker) checkSend(a Action) {
	j, target := w.jobs[a.Job], w.workers[a.Worker]
	switch {
	case j == nil || target == nil:
		w.failf("got a send with an unknown job or worker, want both known: %+v", a)
	case j.finished || j.answered > 0:
		w.failf("job %d, finished or answered: got a send, want none", a.Job)
	case len(j.attempts) >= w.s.MaxAttempts:
		w.failf("job %d: got a send after the maximum of attempts, want none", a.Job)
	case target.entry.Status != Ready:
		w.failf("got job %d sent to worker %d, which has been draining or removed for %d us, want no send",
			a.Job, a.Worker,
			w.now-target.statusSince)
	case a.SendBy > j.deadline || a.SendBy <= w.now:
		w.failf("job %d: got latest send time %d us, want it after now and by the deadline at %d us",
			a.Job, a.SendBy, j.deadline)
	case a.Deadline > j.deadline || a.Deadline <= w.now:
		w.failf("job %d: got attempt deadline %d us, want it after now and by the job's deadline at %d us",
			a.Job, a.Deadline, j.deadline)
	}
	c := &w.s.Classes[j.class]
	for _, p := range j.attempts {
		if p.inFlight && !w.s.HedgingAllowed {
			w.failf("job %d: got a second attempt in flight though hedging is off, want only one", a.Job)
		}
		if !p.inFlight && !p.mayHaveRun {
			continue
		}
		switch c.Effect {
		case Unsafe:
			w.failf("unsafe job %d, which may have run: got a repeat, want none", a.Job)
		case Keyed:
			if a.SendBy-p.sentAt > c.DedupWindow || !sameDedupGroup(c.DedupScope, &p.worker, &target.entry) {
				w.failf("keyed job %d: got a repeat outside its deduplication group or window, want it within both",
					a.Job)
			}
		}
	}
	w.checkSlowStart(target, j)
	known := w.d.workers[a.Worker]
	if w.d.slowStartSince(known) != 0 && !known.unreachable && !w.d.isSlowStartOwner(known) {
		w.failf("got a send to worker %d in slow start, which another dispatcher owns, want none", a.Worker)
	}
	j.attempts = append(j.attempts, &attemptRecord{worker: target.entry, sentAt: w.now, inFlight: true})
	w.scheduleOutcome(a, len(j.attempts)-1)
}

// checkSlowStart checks that the work sent to a worker in slow start, in the overload window that ends now,
// is within the worker's slow-start budget. The overload window is the time over which that work is
// limited. This dispatcher alone uses the budget. The simulated workers have eight slots of speed 1.
func (w *ruleChecker) checkSlowStart(target *workerRecord, j *jobRecord) {
	if target.started == 0 || w.now-target.started >= w.s.SlowStart {
		return
	}
	target.slowStartSends = append(target.slowStartSends, sentWork{w.now, float64(j.work)})
	sum := 0.0
	for _, send := range target.slowStartSends {
		if w.now-send.at <= w.s.OverloadWindow {
			sum += send.work
		}
	}
	fraction := w.s.SlowStartInitial +
		(1-w.s.SlowStartInitial)*float64(w.now-target.started)/float64(w.s.SlowStart)
	if budget := w.s.OverloadFactor * 8 * fraction * float64(w.s.OverloadWindow); sum > budget {
		w.failf("slow-start budget of a worker per OverloadWindow: got %.0f us of work sent, want at most %.0f us",
			sum, budget)
	}
}

// scheduleOutcome schedules a random outcome of an attempt, and the reports before it.
func (w *ruleChecker) scheduleOutcome(a Action, n int) {
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
		e.Outcome, end = TimedOut, a.Deadline // the attempt gets no answer until its deadline
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

// answerPoll schedules the answer to a poll of the worker list: a failure or a full update.
func (w *ruleChecker) answerPoll() {
	if w.r.Intn(3) == 0 {
		w.schedule(w.now+w.span(2*second), Event{Kind: EndpointsUpdated, Scope: UpdateFailed})
	} else {
		w.schedule(w.now+w.span(2*second), Event{Kind: EndpointsUpdated, Scope: UpdateFull, Workers: nil})
	}
}

// fillUpdate fills an update of the worker list with random changes and records them.
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

// run passes events to the dispatcher. In the given number of steps these are new random events and scheduled
// events, afterwards only the scheduled events that are left. The result is the trace.
func (w *ruleChecker) run(steps int) []string {
	w.feed(Event{Kind: Started})
	cachedList := Event{Kind: EndpointsUpdated, Scope: UpdateCached}
	w.fillUpdate(&cachedList)
	w.feed(cachedList)
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

// newEvent passes a new random event to the dispatcher now, or moves the time forward.
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
	case 3: // the report may concern a finished job, or a job that this dispatcher does not know
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

// nextEvent passes the next scheduled event in order of time, and all other events that are due by then.
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
	next := w.events[0]
	w.events = w.events[1:]
	w.now = max(w.now, next.at)
	if next.event.Kind == EndpointsUpdated {
		w.fillUpdate(&next.event)
	}
	w.feed(next.event)
	for len(w.events) > 0 && w.events[0].at <= w.now {
		w.nextEvent()
	}
}

// checkDeadlines passes the events that are due to the dispatcher, and checks that every job past its
// deadline has its final answer.
func (w *ruleChecker) checkDeadlines() {
	due := func(e scheduledEvent) bool { return e.at <= w.now }
	for len(w.events) > 0 && slices.ContainsFunc(w.events, due) {
		w.nextEvent()
	}
	open := w.open[:0]
	for _, id := range w.open {
		j := w.jobs[id]
		if j.answered == 0 && !j.finished {
			if w.now > j.deadline {
				w.failf("job %d (class %d, %d attempts): got no answer %d us after the deadline, want one",
					id, j.class,
					len(j.attempts), w.now-j.deadline)
			}
			open = append(open, id)
		}
	}
	w.open = open
}

// A dispatcher keeps the rules that ruleChecker checks, for random legal events and settings, and the same
// events give the same actions.
func TestRulesOnRandomEvents(t *testing.T) {
	for seed := range int64(150) {
		firstTrace := newRuleChecker(t, seed).run(600)
		if repeated := newRuleChecker(t, seed).run(600); !slices.Equal(firstTrace, repeated) {
			t.Fatalf("seed %d: got different actions in two runs with the same events, want equal actions", seed)
		}
	}
}
