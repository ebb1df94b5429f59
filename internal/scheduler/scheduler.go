package scheduler

import (
	"cmp"
	"container/heap"
	"fmt"
	"hash/fnv"
	"slices"

	"dahliaford/internal/dispatch"
	"dahliaford/internal/settings"
)

const (
	millisecond = 1000
	second      = 1000 * millisecond

	// serveOn is how long a stopping scheduler takes new requests: the front
	// goes on dealing it connections for a part of that.
	serveOn = 600 * millisecond
	// killedAfter is the least time from the request to end to the kill, beyond the longest
	// deadline; that counts as longestKept where it is longer. Who still waits is answered
	// lastCall before that: a kill would leave them without an answer. Then their connections end
	// within parting, and the rest is for a program without processor time.
	killedAfter = 700 * millisecond
	longestKept = 3 * second
	lastCall    = 300 * millisecond
	parting     = 200 * millisecond
	// movedWithin is how long after a new configuration the discovery that it names counts.
	movedWithin = 4 * second
	// answerWithin is how long a worker may take to answer a withdrawal.
	answerWithin = second
	// recallAgain is the first wait before a withdrawal that did not get through is tried
	// again; it doubles, up to recallMost.
	recallAgain = 250 * millisecond
	recallMost  = 2 * second
	// recallFor is how long it is tried at all. Then the worker has what it was told when
	// it got the attempt: how long anybody would wait.
	recallFor = 15 * second
	// recallOn is how long a stopping scheduler that owes no answer goes on for that, if it may. Its
	// clients send on as long as it is there, so never until the kill.
	recallOn = 2 * second
)

// Scheduler is the state. Step is the only way to change it.
type Scheduler struct {
	set    settings.Settings
	seed   uint64
	module *dispatch.Dispatcher
	now    Micros
	out    []Effect

	byCaller    map[CallerID]*request
	byID        map[string]*request // open ones, and finished ones with a live attempt
	used        recent              // ids that were taken
	longest     Micros              // that a class waits
	byJob       map[dispatch.JobID]*request
	byAttempt   map[AttemptID]*attempt
	recalls     map[AttemptID]*recall // what workers are still to be told to drop
	recalled    map[string]int        // how many of them concern an id
	lastJob     dispatch.JobID
	lastAttempt AttemptID

	workers   map[string]*worker
	byNumber  map[dispatch.WorkerID]*worker
	zones     numbering
	kinds     numbering
	discovery string
	rev       int64
	count     int        // numbers the counts of versions
	word      uint64     // of the list, so far
	offered   []*worker  // those with an offer, and perhaps some that had one
	departed  []departed // those that went, in order of time
	knownAt   Micros     // what there was to tell by then has been told
	watching  bool       // discovery has answered the watch and not ended it

	due      dues
	wake     Micros // what the last Wake asked for; 0: nothing
	stopAt   Micros // no new requests from then on; 0: not stopping
	endBy    Micros // with it: who waits is answered by then
	stopped  bool
	feedback []dispatch.Event // for the module, from what its own actions led to
	stepping bool
}

// request is a caller's request from its arrival to its answer.
type request struct {
	caller   CallerID
	id       string
	job      dispatch.JobID
	deadline Micros
	payload  any
	answered bool
	attempts []*attempt // all attempts, in order; at most the last one is live
}

// attempt is one try of a request at a worker.
type attempt struct {
	number   AttemptID
	of       *request
	ordinal  int // the module's number of it, from 0 for each request
	worker   *worker
	addr     string // the worker's, when the attempt was made
	deadline Micros
	accepted bool
	ended    bool
	parked   Micros // not sent before an earlier one is recalled, nor after this; 0: sent
}

// recall is the withdrawal of an attempt that its worker may hold. It is tried until the
// worker has heard it, as a job that nobody waits for takes a slot, and one that may be
// repeated must not run at two workers at once.
type recall struct {
	attempt *attempt
	trying  bool   // an answer is awaited
	at      Micros // when that takes too long, or the next try begins
	tries   int
	until   Micros
}

// recent holds the ids of the last while, for as long as a class waits at most and no
// longer than twice that.
type recent struct {
	now, before map[string]bool
	since       Micros
}

func (r *recent) has(id string) bool { return r.now[id] || r.before[id] }

// pass forgets ids whose time is over, whether or not others come after them.
func (r *recent) pass(now, keep Micros) {
	if now-r.since <= keep {
		return
	}
	if r.now, r.before = nil, r.now; now-r.since > 2*keep {
		r.before = nil
	}
	r.since = now
}

func (r *recent) add(id string) {
	if r.now == nil {
		r.now = map[string]bool{}
	}
	r.now[id] = true
}

func (r *recent) drop(id string) {
	delete(r.now, id)
	delete(r.before, id)
}

type worker struct {
	Worker
	number dispatch.WorkerID
	at     version // of the word that says so
	left   Micros  // since when it has been told to leave; 0: it has not
	gone   Micros  // since when it is gone; 0: it is not
	offer  *Worker // how a word describes it as ready that may be older than the one it left by
	word   uint64  // that named it last
}

// departed is a worker that is gone since then, if it still is.
type departed struct {
	worker *worker
	since  Micros
}

// version says how new a word of discovery is. Versions of one count can be compared.
type version struct {
	count int // changes with discovery's address, and when it counts from below
	rev   int64
}

// newer tells whether a word is known to be newer than another.
func (v version) newer(than version) bool { return v.count == than.count && v.rev > than.rev }

// numbering gives names their place in a list; unheard-of ones get places behind.
type numbering []string

func (n *numbering) of(name string) int {
	i := slices.Index(*n, name)
	if i < 0 {
		i = len(*n)
		*n = append(*n, name)
	}
	return i
}

// New returns a scheduler that has not begun.
func New(set settings.Settings, seed uint64) (*Scheduler, error) {
	s := &Scheduler{set: set, seed: seed, byCaller: map[CallerID]*request{}, byID: map[string]*request{},
		byJob: map[dispatch.JobID]*request{}, byAttempt: map[AttemptID]*attempt{},
		recalls: map[AttemptID]*recall{}, recalled: map[string]int{}, workers: map[string]*worker{},
		byNumber: map[dispatch.WorkerID]*worker{}, zones: slices.Clone(set.Zones), kinds: slices.Clone(set.Kinds)}
	for _, c := range set.Dispatch.Classes {
		s.longest = max(s.longest, c.Deadline)
	}
	// One attempt of a request is out at a time here, whatever the settings allow: the module must
	// not ask for copies, which would use up a job's attempts for nothing.
	s.set.Dispatch.HedgingAllowed = false
	var err error
	s.module, err = dispatch.New(s.set.Dispatch, seed)
	return s, err
}

// PendingRequests is the number of requests that wait for their answer.
func (s *Scheduler) PendingRequests() int { return len(s.byCaller) }

// Step takes one event at its time and appends the effects that it calls for.
func (s *Scheduler) Step(now Micros, e Event, out []Effect) []Effect {
	s.now, s.out = now, out
	s.used.pass(now, s.longest)
	switch e := e.(type) {
	case Started:
		s.discovery = e.Discovery
		s.begin(e.CachedList)
	case Reloaded:
		s.reloaded(e.Discovery)
	case Submitted:
		s.submitted(&e)
	case ClientDisconnected:
		if t := s.byCaller[e.Caller]; t != nil {
			s.settle(t)
			s.tell(dispatch.Event{Kind: dispatch.ClientDisconnected, Job: t.job})
		}
	case AttemptAccepted:
		if k := s.byAttempt[e.Attempt]; k != nil {
			k.accepted = true
		}
	case AttemptEnded:
		// After the worker has accepted, only its own word or the time ends an attempt.
		if k := s.byAttempt[e.Attempt]; k != nil && !k.accepted {
			if e.Outcome == dispatch.Reset {
				// Its 202 may have crossed the connection's end: the worker may hold it.
				s.recall(k)
			}
			s.end(k, e.Outcome, e.Report)
		}
	case AttemptRejected:
		if k := s.byAttempt[e.Attempt]; k != nil && !k.accepted {
			s.answer(k.of, Answer{Verdict: Invalid, Body: []byte("the worker cannot use it")})
			s.end(k, dispatch.Cancelled, dispatch.Report{})
			s.used.drop(k.of.id) // an impostor may have come before the one whose id it is
		}
	case Callback:
		s.told(&e)
	case CancellationResult:
		s.withdrawn(&e)
	case EndpointsUpdated:
		s.listRead(&e)
	case WatchClosed:
		s.watching = false
		lost := dispatch.Event{Kind: dispatch.EndpointsUpdated, Scope: dispatch.UpdateFailed}
		if e.Unreadable || e.ValidUntil != 0 {
			lost.Age = s.ageAt(e.ValidUntil)
		}
		s.tell(lost)
	case TimerFired:
		s.wake = 0
	case ShutdownRequested:
		if s.stopAt == 0 {
			s.stopAt, s.endBy = now+serveOn, now+min(s.longest, longestKept)+killedAfter-lastCall
			heap.Push(&s.due, due{at: s.stopAt})
			heap.Push(&s.due, due{at: s.endBy})
			heap.Push(&s.due, due{at: s.recallEnd()})
		}
	}
	s.expire()
	s.stop()
	s.arm()
	return s.out
}

// Recover starts the decision module anew after a panic in it. What it held is
// failed aloud, as nobody knows how far it had got, and what is out is called back.
// Effects of the step that broke off are returned, too: they may hold answers.
func (s *Scheduler) Recover(now Micros) ([]Effect, error) {
	s.now, s.feedback, s.stepping, s.wake = now, nil, false, 0
	for _, t := range sorted(s.byCaller) {
		s.answer(t, Answer{Verdict: Failed})
	}
	for _, k := range sorted(s.byAttempt) {
		if !s.set.Dispatch.CancelAllowed && k.parked == 0 {
			continue // it is out, and must not be cancelled: its connection or its time ends it
		}
		s.callBack(k)
		s.forget(k)
	}
	clear(s.byID)
	clear(s.byJob)
	for _, k := range s.byAttempt {
		s.byID[k.of.id] = k.of // its worker's news finds it
	}
	var err error
	if s.module, err = dispatch.New(s.set.Dispatch, s.seed); err != nil {
		return s.out, err
	}
	s.due = slices.DeleteFunc(s.due, func(d due) bool {
		return d.recall == 0 && !d.look() && s.byAttempt[d.attempt] == nil
	})
	heap.Init(&s.due)
	known := WorkerList{Rev: s.rev, Complete: true}
	for _, r := range sorted(s.workers) {
		known.Workers = append(known.Workers, r.Worker)
	}
	s.watching = false
	s.begin(known)
	s.stop()
	s.arm()
	return s.out, nil
}

// begin starts the module. It asks for the list before it has been told the known
// one, so the version must be there first: from 0 on, discovery would send it all.
func (s *Scheduler) begin(known WorkerList) {
	s.rev = max(s.rev, known.Rev)
	s.tell(dispatch.Event{Kind: dispatch.Started})
	s.apply(known, dispatch.UpdateCached, s.now)
}

// ---- Requests

func (s *Scheduler) submitted(e *Submitted) {
	class := slices.Index(s.set.Classes, e.Class)
	tenant := slices.Index(s.set.Tenants, e.Tenant)
	if len(s.set.Tenants) == 0 {
		tenant = 0
	}
	answer := Answer{Caller: e.Caller, Verdict: Invalid, FinalForConnection: s.stopping()}
	switch {
	case class < 0:
		answer.Body = fmt.Appendf(nil, "unknown class %q", e.Class)
	case tenant < 0:
		answer.Body = fmt.Appendf(nil, "unknown tenant %q", e.Tenant)
	case e.ID == "":
		answer.Body = []byte("no request id")
	case s.byID[e.ID] != nil:
		// Callbacks name a request by its id alone: two of one id would mix.
		answer.Verdict, answer.Body = Conflict, []byte("a request of that id is open")
	case s.used.has(e.ID), s.recalled[e.ID] > 0:
		// Each request has an id of its own. Sent on, this one would be a second
		// attempt of the first, or be turned away, which looks like a failing worker.
		answer.Verdict, answer.Body = Conflict, []byte("that id has been used")
	case s.stopping():
		s.emit(Answer{Caller: e.Caller, Verdict: Refused, FinalForConnection: true})
		return
	default:
		s.lastJob++
		s.used.add(e.ID)
		// No class waits longer than its deadline, whatever a client says: the module gives
		// up by then, and what is kept for a request must have an end.
		t := &request{caller: e.Caller, id: e.ID, job: s.lastJob, payload: e.Payload,
			deadline: min(e.Deadline, s.now+s.set.Dispatch.Classes[class].Deadline)}
		s.byCaller[e.Caller], s.byID[e.ID], s.byJob[t.job] = t, t, t
		heap.Push(&s.due, due{at: t.deadline, caller: t.caller})
		s.tell(dispatch.Event{Kind: dispatch.JobArrived, Job: t.job, Class: class, Tenant: tenant,
			Patience: max(e.Deadline-s.now, 0), Slots: e.Slots, Retry: e.Retry})
		return
	}
	s.emit(answer)
	s.warn("submission not taken", "txn", e.ID, "why", string(answer.Body))
}

// answer gives a request its one answer; any further one is dropped here.
func (s *Scheduler) answer(t *request, a Answer) {
	if t.answered {
		return
	}
	a.Caller, a.FinalForConnection = t.caller, s.stopping()
	s.emit(a)
	s.settle(t)
}

// settle marks that a request owes no answer. Its id is kept while an attempt of it
// is out, so that its news finds it.
func (s *Scheduler) settle(t *request) {
	t.answered = true
	delete(s.byCaller, t.caller)
	n := len(t.attempts)
	if n == 0 || t.attempts[n-1].ended {
		s.release(t)
	} else if !s.set.Dispatch.CancelAllowed { // else the module calls it off
		s.emit(CancelUnsent{Attempt: t.attempts[n-1].number}) // of a parked one, heard sees that nobody waits
	}
}

func (s *Scheduler) release(t *request) {
	delete(s.byJob, t.job)
	if s.byID[t.id] == t {
		delete(s.byID, t.id)
	}
}

// ---- Attempts

func (s *Scheduler) told(e *Callback) {
	t := s.byID[e.ID]
	if t == nil || len(t.attempts) == 0 {
		return // late, or a repeat: its attempt is over
	}
	k := t.attempts[len(t.attempts)-1]
	if k.parked != 0 {
		s.toldBefore(t, e)
		return
	}
	if k.ended || k.worker.UID != e.From {
		return
	}
	note := dispatch.Event{Kind: dispatch.AttemptReported, Job: t.job, Attempt: k.ordinal,
		Worker: k.worker.number, Note: dispatch.NoteStarted}
	switch e.Kind {
	case CallbackStarted:
		s.tell(note)
	case CallbackRunning:
		note.Note, note.Value = dispatch.NoteProgress, e.Progress
		s.tell(note)
	case CallbackDone:
		s.answer(t, Answer{Verdict: Served, Body: e.Result})
		s.endTold(k, dispatch.OK, e.Report)
	case CallbackFailed:
		s.endTold(k, dispatch.Failed, e.Report)
	case CallbackHandedBack:
		s.endTold(k, dispatch.HandedBack, e.Report)
	case CallbackAborted:
		s.endTold(k, dispatch.Reset, e.Report)
	}
}

// endTold closes an attempt by its worker's own word. Its connection may still wait for an
// answer that never comes, or never ends, and from here on nothing times it.
func (s *Scheduler) endTold(k *attempt, o dispatch.Outcome, r dispatch.Report) {
	if !k.accepted {
		s.emit(CloseConnection{Attempt: k.number})
	}
	s.end(k, o, r)
}

// end closes an attempt and tells the module how it went.
func (s *Scheduler) end(k *attempt, o dispatch.Outcome, r dispatch.Report) {
	s.forget(k)
	if k.of.answered {
		s.release(k.of)
	}
	s.tell(dispatch.Event{Kind: dispatch.AttemptEnded, Job: k.of.job, Attempt: k.ordinal,
		Worker: k.worker.number, Outcome: o, Final: k.of.answered, Report: r})
}

func (s *Scheduler) forget(k *attempt) {
	k.ended = true
	delete(s.byAttempt, k.number)
}

// toldBefore takes what a worker tells of an earlier attempt while the next one waits for
// that to be recalled. Its end is as good as a recall, and its result as any.
func (s *Scheduler) toldBefore(t *request, e *Callback) {
	for _, k := range t.attempts {
		c := s.recalls[k.number]
		if c == nil || k.worker.UID != e.From || e.Kind == CallbackStarted || e.Kind == CallbackRunning {
			continue
		}
		if e.Kind == CallbackDone {
			s.answer(t, Answer{Verdict: Served, Body: e.Result})
		}
		if c.trying {
			s.emit(CloseConnection{Attempt: k.number}) // nobody times the withdrawal's connection any more
		}
		s.heard(c)
	}
}

// callBack gives up an attempt: by its connection before the worker accepted it, and
// by a word to the worker in any case. Its 202 may cross the end of the connection, and
// then that alone gives nothing up.
func (s *Scheduler) callBack(k *attempt) {
	if k.parked != 0 {
		return // it never left
	}
	if !k.accepted {
		s.emit(CloseConnection{Attempt: k.number})
	}
	s.recall(k)
}

func (s *Scheduler) recall(k *attempt) {
	c := &recall{attempt: k, until: s.now + recallFor}
	s.recalls[k.number] = c
	s.recalled[k.of.id]++
	s.tryRecall(c)
}

func (s *Scheduler) dropRecall(c *recall) {
	delete(s.recalls, c.attempt.number)
	if s.recalled[c.attempt.of.id]--; s.recalled[c.attempt.of.id] == 0 {
		delete(s.recalled, c.attempt.of.id)
	}
}

func (s *Scheduler) tryRecall(c *recall) {
	c.trying, c.at = true, s.now+answerWithin
	c.tries++
	s.emit(CancelAttempt{Attempt: c.attempt.number, ID: c.attempt.of.id, Addr: c.attempt.addr, Deadline: c.at})
	heap.Push(&s.due, due{at: c.at, recall: c.attempt.number})
}

// withdrawn takes the end of a try.
func (s *Scheduler) withdrawn(e *CancellationResult) {
	c := s.recalls[e.Attempt]
	switch {
	case c == nil || !c.trying:
	case e.Acknowledged:
		s.heard(c)
	default:
		s.recallLater(c)
	}
}

func (s *Scheduler) recallLater(c *recall) {
	wait := Micros(min(recallAgain<<min(c.tries-1, 6), recallMost))
	if s.now+wait >= c.until {
		s.warn("a job could not be withdrawn: its worker may run it for nobody", "txn", c.attempt.of.id,
			"worker", c.attempt.worker.UID)
		s.dropRecall(c)
		return
	}
	c.trying, c.at = false, s.now+wait
	heap.Push(&s.due, due{at: c.at, recall: c.attempt.number})
}

// heard ends a recall. An attempt that waited for it goes out, if it still may.
func (s *Scheduler) heard(c *recall) {
	s.dropRecall(c)
	t := c.attempt.of
	k := t.attempts[len(t.attempts)-1]
	if k.parked == 0 || s.recalling(t) {
		return
	}
	if t.answered || k.worker.Status != dispatch.Ready || s.now >= k.parked {
		s.end(k, dispatch.NotSent, dispatch.Report{})
		return
	}
	by := k.parked
	k.parked = 0
	s.send(k, by)
}

// recalling tells whether a worker may still hold an earlier attempt of a request.
func (s *Scheduler) recalling(t *request) bool {
	for _, k := range t.attempts {
		if s.recalls[k.number] != nil {
			return true
		}
	}
	return false
}

func (s *Scheduler) route(a *dispatch.Action) {
	t, r := s.byJob[a.Job], s.byNumber[a.Worker]
	if t == nil || r == nil || t.answered || len(t.attempts) > 0 && !t.attempts[len(t.attempts)-1].ended {
		// The module never asks for this. If it did, a send would break a rule.
		s.feed(dispatch.Event{Kind: dispatch.AttemptEnded, Job: a.Job, Attempt: a.Attempt, Worker: a.Worker,
			Outcome: dispatch.NotSent, Final: t == nil || t.answered})
		s.warn("send suppressed", "job", a.Job, "worker", a.Worker)
		return
	}
	s.lastAttempt++
	k := &attempt{number: s.lastAttempt, of: t, ordinal: a.Attempt, worker: r, addr: r.Addr,
		deadline: t.deadline}
	if a.Deadline > 0 {
		k.deadline = min(k.deadline, a.Deadline)
	}
	t.attempts = append(t.attempts, k)
	s.byAttempt[k.number] = k
	heap.Push(&s.due, due{at: k.deadline, attempt: k.number})
	// A worker may be told to drain the moment after this. A send counts from its
	// first byte, so a slow connect must not carry it past the grace.
	by := s.now + s.set.Dispatch.ConnectTimeout
	if s.set.DrainGrace > 0 {
		by = min(by, s.now+s.set.DrainGrace)
	}
	// A repeat must come within its class's window, however late its connection comes up.
	by = min(by, k.deadline, a.SendBy)
	if s.recalling(t) {
		// A worker may hold an earlier attempt. Until it has heard that this is given up,
		// another one would be a second copy.
		k.parked = by
		heap.Push(&s.due, due{at: by, attempt: k.number, parked: true})
		return
	}
	s.send(k, by)
}

func (s *Scheduler) send(k *attempt, by Micros) {
	s.emit(SendAttempt{Attempt: k.number, ID: k.of.id, UID: k.worker.UID, Addr: k.addr, WriteBy: by,
		Deadline: k.deadline, Payload: k.of.payload})
}

// ---- The worker list

func (s *Scheduler) listRead(e *EndpointsUpdated) {
	if e.FromPreviousWatch {
		s.warned(e.List)
		return
	}
	at := e.AsOf
	if at == 0 {
		at = s.now
	}
	s.watching, s.knownAt = true, at
	scope := dispatch.UpdateDelta
	if e.List.Complete {
		scope = dispatch.UpdateFull
	}
	s.apply(e.List, scope, at)
}

// reloaded goes over to the discovery that a new configuration names, at once and
// unasked by the module: what it has to tell counts as told soon after, and the old
// one ends. Another service may count its versions otherwise, so the old version
// means nothing to it. The list that is known holds until it answers.
func (s *Scheduler) reloaded(discovery string) {
	s.discovery, s.rev, s.watching = discovery, 0, false
	s.count++
	s.emit(OpenWatch{Addr: s.discovery, Rev: s.rev, ValidUntil: s.now + movedWithin})
	s.tell(dispatch.Event{Kind: dispatch.EndpointsUpdated, Scope: dispatch.UpdateDrains,
		Age: s.ageAt(s.now + movedWithin)})
}

// ageAt is how old what is known has to be taken for, if it holds until a time.
func (s *Scheduler) ageAt(until Micros) Micros { return s.now - until + s.set.Dispatch.MaxStaleness }

// warned takes from a discovery that is no longer the present one who leaves.
func (s *Scheduler) warned(t WorkerList) {
	e := dispatch.Event{Kind: dispatch.EndpointsUpdated, Scope: dispatch.UpdateDrains}
	var changed []*worker
	for _, line := range t.Workers {
		r := s.workers[line.UID]
		if r == nil || line.Status == dispatch.Ready {
			continue
		}
		if r.offer = nil; r.left == 0 {
			r.Status, r.at = line.Status, version{count: -1}
			e.Workers, changed = append(e.Workers, s.entry(r)), append(changed, r)
		}
	}
	if len(e.Workers) > 0 {
		s.mark(changed)
		s.tell(e)
	}
}

// apply takes a word of the present discovery, or the list that a start knows.
func (s *Scheduler) apply(t WorkerList, scope dispatch.UpdateScope, at Micros) {
	if t.Complete && t.Rev < s.rev {
		s.count++ // discovery has started anew, or another one answers: it counts from below
	}
	if s.rev = max(s.rev, t.Rev); t.Complete {
		s.rev = t.Rev
	}
	now := version{s.count, t.Rev}
	s.word++
	e := dispatch.Event{Kind: dispatch.EndpointsUpdated, Scope: scope, Age: s.now - at,
		Workers: make([]dispatch.WorkerEntry, 0, len(t.Workers))}
	changed := make([]*worker, 0, len(t.Workers))
	for _, line := range t.Workers {
		r := s.workers[line.UID]
		if r == nil {
			r = &worker{Worker: line, at: now, number: s.numberOf(line.UID)}
			s.workers[line.UID], s.byNumber[r.number] = r, r
		} else {
			s.take(r, line, now)
		}
		r.word = s.word
		e.Workers, changed = append(e.Workers, s.entry(r)), append(changed, r) // as it now is known
	}
	for _, r := range s.unsaid(t.Complete, now) {
		e.Workers, changed = append(e.Workers, s.entry(r)), append(changed, r)
	}
	s.mark(changed)
	s.tell(e)
}

// unsaid changes the workers that a word says something of without naming them, and lists them by
// name: a whole list lacks them, or they were offered and have been told to leave for long enough.
func (s *Scheduler) unsaid(whole bool, now version) (changed []*worker) {
	if whole {
		for _, r := range s.workers {
			if r.word != s.word && (r.Status != dispatch.Removed || r.offer != nil) {
				r.Status, r.at, r.offer = dispatch.Removed, now, nil
				changed = append(changed, r)
			}
		}
	}
	s.offered = slices.DeleteFunc(s.offered, func(r *worker) bool {
		if r.offer == nil || s.workers[r.UID] != r {
			return true
		}
		if s.now-r.left < s.set.Dispatch.MaxStaleness {
			return false
		}
		r.Worker, r.offer = *r.offer, nil
		changed = append(changed, r)
		return true
	})
	slices.SortFunc(changed, byUID)
	return changed
}

func byUID(a, b *worker) int { return cmp.Compare(a.UID, b.UID) }

// take takes what a word says of a worker, if it is newer than what is known. A worker that was
// told to leave does not come back by a word that may be older than that one: an address that
// knows less than the one before, a service that counts anew, a change said again. It comes back
// once it has started since, or its word is newer for certain, or has been there for so long
// that its leave would be known there.
func (s *Scheduler) take(r *worker, line Worker, at version) {
	back := line.Status == dispatch.Ready
	switch {
	case back && r.at.newer(at):
	case back && r.left != 0 && line.Started <= r.Started && !at.newer(r.at) &&
		s.now-r.left < s.set.Dispatch.MaxStaleness:
		if r.offer == nil {
			s.offered = append(s.offered, r)
		}
		r.offer = &line
	default:
		r.Worker, r.at, r.offer = line, at, nil
	}
}

func (s *Scheduler) entry(r *worker) dispatch.WorkerEntry {
	return dispatch.WorkerEntry{Worker: r.number, Zone: s.zones.of(r.Zone), Cell: r.Cell,
		Kind: s.kinds.of(r.Kind), Status: r.Status, Started: r.Started}
}

// mark notes since when workers that may have changed are leaving or gone, says so, and forgets
// those that have been gone for long.
func (s *Scheduler) mark(changed []*worker) {
	long := s.set.Dispatch.RemovedRetention()
	changed = slices.DeleteFunc(changed, func(r *worker) bool {
		return (r.Status == dispatch.Ready) == (r.left == 0) && (r.Status == dispatch.Removed) == (r.gone != 0)
	})
	old := 0
	for ; old < len(s.departed) && s.now-s.departed[old].since >= long; old++ {
		if r := s.departed[old].worker; s.workers[r.UID] == r { // it may have been back since: see below
			changed = append(changed, r)
		}
	}
	s.departed = slices.Delete(s.departed, 0, old)
	slices.SortFunc(changed, byUID)
	for _, r := range slices.Compact(changed) {
		switch {
		case r.Status != dispatch.Ready && r.left == 0:
			r.left = max(s.now, 1)
			s.emit(StopUsingWorker{UID: r.UID, Addr: r.Addr})
		case r.Status == dispatch.Ready && r.left != 0:
			r.left = 0
			s.emit(ResumeWorker{UID: r.UID})
		}
		switch {
		case r.Status != dispatch.Removed:
			r.gone = 0
		case r.gone == 0:
			r.gone = max(s.now, 1)
			s.departed = append(s.departed, departed{r, r.gone})
		case s.now-r.gone >= long:
			delete(s.workers, r.UID)
			delete(s.byNumber, r.number)
			s.emit(ResumeWorker{UID: r.UID})
		}
	}
}

// numberOf gives a worker its number from its name. Schedulers that share nothing
// must reckon the same owner of a cold worker, and the module does so by number.
func (s *Scheduler) numberOf(uid string) dispatch.WorkerID {
	sum := fnv.New32a()
	sum.Write([]byte(uid))
	n := dispatch.WorkerID(sum.Sum32())
	for s.byNumber[n] != nil {
		n++
	}
	return n
}

// ---- The module

// feed queues an event for the module behind the one that it works on.
func (s *Scheduler) feed(e dispatch.Event) { s.feedback = append(s.feedback, e) }

// tell passes an event to the module, carries its actions over into effects, and
// goes on until these lead to no further events.
func (s *Scheduler) tell(e dispatch.Event) {
	s.feed(e)
	if s.stepping {
		return
	}
	s.stepping = true
	for len(s.feedback) > 0 {
		next := s.feedback[0]
		s.feedback = s.feedback[1:]
		for _, a := range s.module.Step(s.now, &next, nil) {
			s.act(&a)
		}
	}
	s.stepping = false
}

func (s *Scheduler) act(a *dispatch.Action) {
	t := s.byJob[a.Job]
	switch a.Kind {
	case dispatch.Send:
		s.route(a)
	case dispatch.Refuse:
		if t != nil {
			s.answer(t, Answer{Verdict: Refused, RetryAfter: a.Delay})
		}
	case dispatch.Fail:
		if t != nil {
			s.answer(t, Answer{Verdict: Failed})
		}
	case dispatch.Cancel:
		if t == nil {
			break
		}
		// By its number: an attempt that was suppressed has none here.
		i := slices.IndexFunc(t.attempts, func(k *attempt) bool { return k.ordinal == a.Attempt && !k.ended })
		if i >= 0 {
			k := t.attempts[i]
			s.callBack(k)
			s.end(k, dispatch.Cancelled, dispatch.Report{})
		}
	case dispatch.SetTimer:
		heap.Push(&s.due, due{at: s.now + a.Delay, token: a.Token, timer: true})
	case dispatch.WatchEndpoints:
		if s.watching {
			// The watch shows by its heartbeats that it lives. Opening another would
			// only load discovery, so the module gets its answer here.
			s.feed(dispatch.Event{Kind: dispatch.EndpointsUpdated, Scope: dispatch.UpdateDelta, Age: s.now - s.knownAt})
		} else {
			s.emit(OpenWatch{Addr: s.discovery, Rev: s.rev})
		}
	case dispatch.Log:
		s.log(a.Text)
	}
}

// ---- Time

// due is something that comes due: a timer of the module, the end of an attempt,
// of a request, or (with neither) just a look.
type due struct {
	at      Micros
	timer   bool
	token   uint64
	attempt AttemptID
	parked  bool      // the attempt may not wait any longer to be sent
	recall  AttemptID // a withdrawal takes too long, or is tried again
	caller  CallerID
}

// look tells whether it is just a look: at the time to stop, or to end.
func (d due) look() bool { return !d.timer && d.attempt == 0 && d.recall == 0 && d.caller == 0 }

type dues []due

func (d dues) Len() int           { return len(d) }
func (d dues) Less(i, j int) bool { return d[i].at < d[j].at }
func (d dues) Swap(i, j int)      { d[i], d[j] = d[j], d[i] }
func (d *dues) Push(x any)        { *d = append(*d, x.(due)) }
func (d *dues) Pop() any {
	last := len(*d) - 1
	x := (*d)[last]
	*d = (*d)[:last]
	return x
}

// expire deals with all that has come due.
func (s *Scheduler) expire() {
	for len(s.due) > 0 && s.due[0].at <= s.now {
		d := heap.Pop(&s.due).(due)
		switch {
		case d.timer:
			s.tell(dispatch.Event{Kind: dispatch.TimerFired, Token: d.token})
		case d.recall != 0:
			s.recallDue(d)
		case d.parked:
			if k := s.byAttempt[d.attempt]; k != nil && k.parked == d.at {
				s.end(k, dispatch.NotSent, dispatch.Report{})
			}
		case d.attempt != 0:
			if k := s.byAttempt[d.attempt]; k != nil {
				s.callBack(k)
				s.end(k, dispatch.TimedOut, dispatch.Report{})
			}
		case d.caller != 0:
			// The module answers before this. Should it ever not, the caller gets an
			// answer all the same, and it is not told that a repeat is harmless.
			if t := s.byCaller[d.caller]; t != nil {
				s.warn("no decision by the deadline", "txn", t.id)
				s.answer(t, Answer{Verdict: Failed})
				s.tell(dispatch.Event{Kind: dispatch.ClientDisconnected, Job: t.job})
			}
		}
	}
}

func (s *Scheduler) recallDue(d due) {
	c := s.recalls[d.recall]
	switch {
	case c == nil || c.at != d.at:
	case c.trying:
		s.emit(CloseConnection{Attempt: d.recall}) // of the withdrawal's own connection
		s.recallLater(c)
	default:
		s.tryRecall(c)
	}
}

func (s *Scheduler) stopping() bool { return s.stopAt != 0 && s.now >= s.stopAt }

func (s *Scheduler) stop() {
	if !s.stopping() {
		return
	}
	if !s.stopped {
		s.stopped = true
		s.emit(CloseIdleClients{})
		s.log("no new requests from now on", "open", len(s.byCaller))
	}
	if s.now >= s.endBy {
		for _, t := range sorted(s.byCaller) {
			verdict := Failed
			if len(t.attempts) == 0 {
				verdict = Refused // nothing of it ever left
			}
			s.warn("the end comes before the deadline", "txn", t.id)
			s.answer(t, Answer{Verdict: verdict})
			s.tell(dispatch.Event{Kind: dispatch.ClientDisconnected, Job: t.job})
		}
	}
	if len(s.byCaller) == 0 && (len(s.recalls) == 0 || s.now >= s.recallEnd()) {
		s.emit(Shutdown{By: s.endBy + parting})
	}
}

// recallEnd is until when a stopping scheduler waits for its workers to hear withdrawals.
func (s *Scheduler) recallEnd() Micros { return min(s.stopAt+recallOn, s.endBy) }

// arm asks to be woken for what comes due next. What no longer counts is left out.
func (s *Scheduler) arm() {
	for len(s.due) > 0 {
		d := s.due[0]
		if c := s.recalls[d.recall]; d.recall != 0 && (c == nil || c.at != d.at) ||
			d.attempt != 0 && s.byAttempt[d.attempt] == nil || d.caller != 0 && s.byCaller[d.caller] == nil {
			heap.Pop(&s.due)
			continue
		}
		if d.at != s.wake {
			s.wake = d.at
			s.emit(SetTimer{At: d.at})
		}
		return
	}
}

func (s *Scheduler) emit(e Effect) { s.out = append(s.out, e) }

func (s *Scheduler) log(text string, args ...any) { s.emit(Log{Text: text, Args: args}) }

func (s *Scheduler) warn(text string, args ...any) { s.emit(Log{Warn: true, Text: text, Args: args}) }

// sorted lists the values of a map by key: the same events give the same effects.
func sorted[K interface{ ~string | ~uint64 }, V any](m map[K]V) []V {
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	values := make([]V, len(keys))
	for i, k := range keys {
		values[i] = m[k]
	}
	return values
}
