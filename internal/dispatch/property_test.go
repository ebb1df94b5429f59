package dispatch

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"
)

// world feeds a dispatcher legal random events and checks the rules on its
// actions, from its own books alone.
type world struct {
	t       *testing.T
	r       *rand.Rand
	s       Settings
	d       *Dispatcher
	now     Micros
	due     []happening
	jobs    map[JobID]*known
	live    []JobID
	workers map[WorkerID]*listedWorker
	ids     []WorkerID
	next    JobID
	trace   []string
}

type happening struct {
	at    Micros
	seq   int
	event Event
}

type known struct {
	class    int
	work     Micros
	giveUp   Micros
	answered int
	told     bool // the dispatcher was told that it is finished
	ended    bool
	attempts []*try
}

type booking struct {
	at   Micros
	work float64
}

type try struct {
	worker WorkerEntry
	sent   Micros
	live   bool
	ran    bool
}

type listedWorker struct {
	entry   WorkerEntry
	since   Micros // when the present status was told
	started Micros
	cold    []booking
}

func newWorld(t *testing.T, seed int64) *world {
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
	return &world{t: t, r: r, s: s, d: d, now: 50 * second, jobs: map[JobID]*known{},
		workers: map[WorkerID]*listedWorker{}}
}

func (w *world) span(most Micros) Micros {
	return Micros(w.r.Int63n(int64(most/w.s.Granularity))+1) * w.s.Granularity
}

func (w *world) at(at Micros, e Event) {
	w.due = append(w.due, happening{at, len(w.trace) + len(w.due), e})
}

func (w *world) failf(format string, a ...any) {
	w.t.Helper()
	w.t.Fatalf("at %d: "+format, append([]any{w.now}, a...)...)
}

// feed passes one event on and checks what comes back.
func (w *world) feed(e Event) {
	if j := w.jobs[e.Job]; j != nil && e.Kind == AttemptEnded {
		a := j.attempts[e.Attempt]
		if !a.live {
			return
		}
		a.live = false
		a.ran = e.Outcome != AtCapacity && e.Outcome != ConnectFailed && e.Outcome != NotSent
		if e.Outcome == OK {
			if j.answered == 0 {
				j.answered++
			}
			j.told = true
		}
		e.Final = j.told || j.answered > 0
	}
	out := w.d.Step(w.now, &e, nil)
	w.trace = append(w.trace, fmt.Sprint(w.now, e.Kind, e.Job, out))
	for _, a := range out {
		w.check(a)
	}
}

func (w *world) check(a Action) {
	switch a.Kind {
	case SetTimer:
		if a.Delay < 0 {
			w.failf("timer in the past")
		}
		w.at(w.now+max(a.Delay, w.s.Granularity), Event{Kind: TimerFired, Token: a.Token})
	case WatchEndpoints:
		w.answerCall()
	case Send:
		w.checkSend(a)
	case Refuse, Fail:
		j := w.jobs[a.Job]
		if j == nil || j.told {
			w.failf("answer for a job that is unknown or over: %+v", a)
		}
		if j.answered++; j.answered > 1 {
			w.failf("job %d answered twice", a.Job)
		}
		if w.now > j.giveUp {
			w.failf("job %d answered %d too late", a.Job, w.now-j.giveUp)
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

func (w *world) checkRefusal(id JobID, j *known) {
	c := &w.s.Classes[j.class]
	for _, a := range j.attempts {
		if (a.live || a.ran) && (c.Effect == Unsafe || c.Effect == Keyed && c.DedupScope != ScopeAll) {
			w.failf("job %d refused though it may have run", id)
		}
	}
}

func (w *world) checkSend(a Action) {
	j, to := w.jobs[a.Job], w.workers[a.Worker]
	switch {
	case j == nil || to == nil:
		w.failf("send of or to the unknown: %+v", a)
	case j.told || j.answered > 0:
		w.failf("job %d sent after its end", a.Job)
	case len(j.attempts) >= w.s.MaxAttempts:
		w.failf("job %d sent too often", a.Job)
	case to.entry.Status != Ready:
		w.failf("job %d sent to worker %d, told %d ago that it drains or is gone", a.Job, a.Worker, w.now-to.since)
	case a.SendBy > j.giveUp || a.SendBy <= w.now:
		w.failf("job %d to leave by %d, given up at %d", a.Job, a.SendBy, j.giveUp)
	case a.Deadline > j.giveUp || a.Deadline <= w.now:
		w.failf("job %d to be abandoned at %d, given up at %d", a.Job, a.Deadline, j.giveUp)
	}
	c := &w.s.Classes[j.class]
	for _, p := range j.attempts {
		if p.live && !w.s.HedgingAllowed {
			w.failf("job %d has two attempts out", a.Job)
		}
		if !p.live && !p.ran {
			continue
		}
		switch c.Effect {
		case Unsafe:
			w.failf("unsafe job %d sent again though it may have run", a.Job)
		case Keyed:
			if a.SendBy-p.sent > c.DedupWindow || !sameGroup(c.DedupScope, &p.worker, &to.entry) {
				w.failf("keyed job %d sent out of its group or window", a.Job)
			}
		}
	}
	w.checkCold(to, j)
	if mine := w.d.workers[a.Worker]; w.d.coldAt(mine) != 0 && !mine.lost && !w.d.owns(mine) {
		w.failf("cold worker %d belongs to another dispatcher", a.Worker)
	}
	j.attempts = append(j.attempts, &try{worker: to.entry, sent: w.now, live: true})
	w.script(a, len(j.attempts)-1)
}

// checkCold holds rule 4: one dispatcher alone uses the budget, in any window that
// ends now. Workers here have eight slots of speed 1.
func (w *world) checkCold(to *listedWorker, j *known) {
	if to.started == 0 || w.now-to.started >= w.s.SlowStart {
		return
	}
	to.cold = append(to.cold, booking{w.now, float64(j.work)})
	sum := 0.0
	for _, b := range to.cold {
		if w.now-b.at <= w.s.OverloadWindow {
			sum += b.work
		}
	}
	warm := w.s.SlowStartInitial + (1-w.s.SlowStartInitial)*float64(w.now-to.started)/float64(w.s.SlowStart)
	if budget := w.s.OverloadFactor * 8 * warm * float64(w.s.OverloadWindow); sum > budget {
		w.failf("cold worker sent %.0f of a budget of %.0f", sum, budget)
	}
}

// script decides what becomes of an attempt.
func (w *world) script(a Action, n int) {
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
			w.at(w.now+w.s.Granularity, Event{Kind: AttemptReported, Job: a.Job, Attempt: n, Worker: worker,
				Note: NoteStarted})
		}
		w.at((w.now+end)/2, Event{Kind: AttemptReported, Job: a.Job, Attempt: n, Worker: worker,
			Note: NoteProgress, Value: 0.5})
		e.Report = Report{Known: true, Free: 8 * w.r.Float64(), Outstanding: 8 * w.r.Float64()}
	}
	if end > a.Deadline {
		e.Outcome, end = TimedOut, a.Deadline
	}
	w.at(end, e)
}

func (w *world) answerCall() {
	if w.r.Intn(3) == 0 {
		w.at(w.now+w.span(2*second), Event{Kind: EndpointsUpdated, Scope: UpdateFailed})
	} else {
		w.at(w.now+w.span(2*second), Event{Kind: EndpointsUpdated, Scope: UpdateFull, Workers: nil})
	}
}

// list fills a list event with news and books what was told.
func (w *world) list(e *Event) {
	if e.Scope == UpdateFailed {
		return
	}
	if len(w.ids) == 0 || w.r.Intn(4) == 0 && len(w.ids) < 12 {
		id := WorkerID(w.r.Intn(1 << 30))
		w.ids = append(w.ids, id)
		w.workers[id] = &listedWorker{entry: WorkerEntry{Worker: id, Zone: w.r.Intn(2), Cell: w.r.Intn(3),
			Kind: w.r.Intn(2), Status: Ready}}
		if e.Scope == UpdateDelta {
			e.Workers = append(e.Workers, w.workers[id].entry)
		}
	}
	for _, id := range w.ids {
		k := w.workers[id]
		switch w.r.Intn(8) {
		case 0:
			k.entry.Status = Draining
		case 1:
			k.entry.Status = Removed
		case 2:
			k.entry.Status, k.entry.Started = Ready, w.now-w.span(second)
			k.started, k.cold = k.entry.Started, nil
		default:
			if e.Scope == UpdateDelta {
				continue
			}
		}
		k.since = w.now
		if e.Scope == UpdateDelta || k.entry.Status != Removed || w.r.Intn(2) == 0 {
			e.Workers = append(e.Workers, k.entry)
		}
	}
}

func (w *world) run(steps int) []string {
	w.feed(Event{Kind: Started})
	first := Event{Kind: EndpointsUpdated, Scope: UpdateCached}
	w.list(&first)
	w.feed(first)
	for n := range steps + 4000 {
		arriving := n < steps
		if !arriving && len(w.due) == 0 {
			break
		}
		if arriving && w.r.Intn(3) > 0 {
			w.stir()
		} else {
			w.happen()
		}
		w.overdue()
	}
	return w.trace
}

// stir makes one new thing happen now.
func (w *world) stir() {
	switch w.r.Intn(20) {
	case 0:
		e := Event{Kind: EndpointsUpdated, Scope: []UpdateScope{UpdateDelta, UpdateDelta, UpdateFull}[w.r.Intn(3)]}
		w.list(&e)
		w.feed(e)
	case 1:
		if len(w.live) > 0 {
			id := w.live[w.r.Intn(len(w.live))]
			if j := w.jobs[id]; j.answered == 0 {
				j.told = true
				w.feed(Event{Kind: ClientDisconnected, Job: id})
			}
		}
	case 2:
		w.feed(Event{Kind: GossipReceived, Peer: w.r.Intn(4), Message: []byte{0, 0, 0, 0, 1, 2, 1}})
	case 3: // stale or foreign news
		w.feed(Event{Kind: AttemptReported, Job: JobID(w.r.Intn(1000)), Attempt: w.r.Intn(9), Note: NoteStarted})
	case 4, 5, 6:
		target := w.now + w.span(second/2)
		for slices.ContainsFunc(w.due, func(h happening) bool { return h.at <= target }) {
			w.happen()
		}
		w.now = max(w.now, target)
	default:
		w.next++
		class := w.r.Intn(3)
		j := &known{class: class, giveUp: w.now + w.s.Classes[class].Deadline}
		if w.r.Intn(5) == 0 {
			j.giveUp = w.now + w.span(w.s.Classes[class].Deadline) - w.s.Granularity
		}
		w.jobs[w.next] = j
		w.live = append(w.live, w.next)
		work := w.span(second / 2)
		j.work = work
		w.feed(Event{Kind: JobArrived, Job: w.next, Class: class, Tenant: w.r.Intn(3), Work: work,
			Slots: float64(1 + w.r.Intn(2)), Patience: j.giveUp - w.now})
	}
}

// happen brings the next thing that is due, in order of time.
func (w *world) happen() {
	if len(w.due) == 0 {
		return
	}
	slices.SortFunc(w.due, func(a, b happening) int {
		if a.at != b.at {
			return int(a.at - b.at)
		}
		return a.seq - b.seq
	})
	h := w.due[0]
	w.due = w.due[1:]
	w.now = max(w.now, h.at)
	if h.event.Kind == EndpointsUpdated {
		w.list(&h.event)
	}
	w.feed(h.event)
	for len(w.due) > 0 && w.due[0].at <= w.now {
		w.happen()
	}
}

// overdue holds rule 1: everything has its answer in time.
func (w *world) overdue() {
	for len(w.due) > 0 && slices.ContainsFunc(w.due, func(h happening) bool { return h.at <= w.now }) {
		w.happen()
	}
	kept := w.live[:0]
	for _, id := range w.live {
		j := w.jobs[id]
		if j.answered == 0 && !j.told {
			if w.now > j.giveUp {
				w.failf("job %d (class %d, %d attempts) has no answer %d after its time", id, j.class,
					len(j.attempts), w.now-j.giveUp)
			}
			kept = append(kept, id)
		}
	}
	w.live = kept
}

// Random legal events, several settings: the rules hold on the actions, and the
// same events give the same actions.
func TestRulesOnRandomEvents(t *testing.T) {
	for seed := range int64(150) {
		first := newWorld(t, seed).run(600)
		if again := newWorld(t, seed).run(600); !slices.Equal(first, again) {
			t.Fatalf("seed %d: the same events gave other actions", seed)
		}
	}
}
