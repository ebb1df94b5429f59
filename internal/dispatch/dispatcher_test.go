package dispatch

import (
	"math"
	"strings"
	"testing"
)

func TestSettingsErrorsNameTheField(t *testing.T) {
	for field, makeInvalid := range map[string]func(*Settings){
		"Classes":             func(s *Settings) { s.Classes = nil },
		"Classes[1].Deadline": func(s *Settings) { s.Classes[1].Deadline = 0 },
		"Classes[0]":          func(s *Settings) { s.Classes[0].ObjectiveStretch = -1 },
		"SlowStartInitial":    func(s *Settings) { s.SlowStartInitial = 2 },
		"MaxAttempts":         func(s *Settings) { s.MaxAttempts = -1 },
		"Tenants[1]":          func(s *Settings) { s.Tenants[1].Quota = -1 },
		"Dispatchers":         func(s *Settings) { s.Dispatchers = -1 },
		"Granularity":         func(s *Settings) { s.Granularity = -1 },
	} {
		s := testSettings()
		makeInvalid(&s)
		if _, err := New(s, 1); err == nil || !strings.Contains(err.Error(), field) {
			t.Errorf("settings with an invalid field %s: got error %v, want an error that names the field", field, err)
		}
	}
}

// TestConditions checks the two conditions of the published overload control: the deadline feasibility of a
// class (the jobs that have to start within the class's wait target can start within it) and the deadline
// feasibility of a pair of classes (the jobs that have to start in the last part of the longer wait target
// can start in that part). Class 1 has a wait target of 1 s and a guaranteed
// rate of 2 jobs a second, class 2 a wait target of 3 s and no guaranteed rate. One slot with runs of 0.25 s
// gives a service time of 0.25 s per job. With N(t) as the number of queued jobs whose latest start is within
// t seconds, the conditions are, computed by hand:
//
//	class 1:             N(1)/4 < 1
//	class 2:             (N(3) + 2*(3-1))/4 < 3
//	pair of class 1, 2:  (N(3)-N(2) + 2*min(1, 3-1))/4 < 1
func TestConditions(t *testing.T) {
	s := testSettings()
	s.Classes = s.Classes[:2]
	b := newHarness(t, s, ready(1, 0))
	b.d.parametersRefreshedAt = b.now
	b.d.classesByWaitTarget = []int{0, 1}
	b.d.classes[0].waitTarget, b.d.classes[1].waitTarget = second, 3*second
	b.d.classes[0].guaranteedRate = 2.0 / second
	b.d.slotTimes.value = second / 4
	copies := func(n int, t Micros) (latestStarts []Micros) {
		for range n {
			latestStarts = append(latestStarts, t)
		}
		return latestStarts
	}
	for _, c := range []struct {
		name  string
		queue []Micros
		want  overloadLevel
	}{
		{"empty queue", nil, 0},
		{"class 1, 3 jobs need 0.75 s of 1 s", copies(3, second), 0},
		{"class 1, 4 jobs need 1 s of 1 s", copies(4, second), 2},
		{"class 2, 6 jobs need 2.5 s of 3 s", append(copies(1, second), copies(5, 2*second)...), 0},
		{"class 2, 7 jobs need 2.75 s of 3 s, in the margin", append(copies(2, second), copies(5, 2*second)...), 1},
		{"class 2, 8 jobs need 3 s of 3 s", append(copies(2, second), copies(6, 2*second)...), 2},
		{"pair of class 1 and 2, with 1 job due at 3 s needs 0.75 s of 1 s", copies(1, 3*second), 0},
		{"pair of class 1 and 2, with 2 jobs due at 3 s needs 1 s of 1 s", copies(2, 3*second), 2},
		{"latest starts after the wait target of class 2", copies(50, 4*second), 0},
	} {
		b.fillQueue(c.queue...)
		if got := b.d.overloadAssessment(); got != c.want {
			t.Errorf("%s: the overload assessment returned level %d, want %d", c.name, got, c.want)
		}
	}
}

func TestLevelNeedsConsecutiveAssessments(t *testing.T) {
	b := newHarness(t, testSettings(), ready(1, 0))
	b.d.parametersRefreshedAt, b.d.parameterRefreshes = b.now, 1
	b.d.classes[0].waitTarget = second
	b.d.classes[1].waitTarget, b.d.classes[2].waitTarget = second, second
	b.d.slotTimes.value = second
	overloaded, normal := []Micros{0, 0, 0}, []Micros(nil)
	assess := func(latestStarts []Micros, n int) overloadLevel {
		b.fillQueue(latestStarts...)
		for range n {
			b.d.updateOverloadLevel()
		}
		return b.d.level
	}
	if got := assess(overloaded, levelChangeAssessments-1); got != 0 {
		t.Fatalf("got overload level %d after %d assessments of severe overload, want 0 until one more follows",
			got, levelChangeAssessments-1)
	}
	assess(normal, 1)
	if got := assess(overloaded, levelChangeAssessments-1); got != 0 {
		t.Fatalf("got overload level %d, want 0, as a normal assessment came between those of severe overload", got)
	}
	if got := assess(overloaded, 1); got != 2 {
		t.Fatalf("got overload level %d after %d consecutive assessments of severe overload, want 2 (severe)",
			got, levelChangeAssessments)
	}
	if got := assess(normal, levelChangeAssessments-1); got != 2 {
		t.Fatalf("got overload level %d, want 2, as the fall to 0 needs one more normal assessment", got)
	}
	if got := assess(normal, 1); got != 0 {
		t.Fatalf("got overload level %d after the normal assessments in a row that end overload, want 0", got)
	}
}

func TestGappingAdvancesRankByRank(t *testing.T) {
	b := newHarness(t, testSettings(), ready(1, 0))
	b.d.rankClasses()
	if b.d.rankCount != 6 {
		t.Fatalf("got %d ranks, want 6: one within and one over the quota for each of 3 classes", b.d.rankCount)
	}
	x := b.d.gappingStepInterval
	at := func(after Micros, want int) {
		t.Helper()
		b.d.now += after
		b.d.advanceGapping()
		if b.d.gappedRanks != want {
			t.Fatalf("got call gapping of the %d lowest ranks, want it of the %d lowest", b.d.gappedRanks, want)
		}
	}
	b.d.now = b.now
	b.d.setOverloadLevel(1)
	at(0, 1)
	at(x-1, 1)
	at(1, 2)
	at(3*x, 5)
	at(9*x, 6)
	b.d.setOverloadLevel(0)
	at(x-1, 6)
	at(1, 5) // call gapping ends for the highest rank (priority) first
	at(2*x, 3)
	b.d.setOverloadLevel(2)
	at(0, 6)
	b.d.setOverloadLevel(0)
	at(20*x, 0)
}

func TestGappingInterval(t *testing.T) {
	b := newHarness(t, testSettings(), ready(1, 0))
	b.d.rankClasses()
	b.d.level, b.d.gappedRanks, b.d.rankCount = 2, 6, 6
	b.d.flows[0].rate = 4 // guaranteed jobs a second: call gapping admits one job in each 0.25 s
	passed := 0
	for range 100 { // a job arrives every 20 ms for 2 s
		b.d.now += second / 50
		if b.d.admits(&job{class: 0, tenant: 0}) {
			passed++
		}
	}
	if passed < 8 || passed > 9 {
		t.Errorf("call gapping at 4 jobs a second admitted %d jobs in 2 s, want 8 or 9", passed)
	}
	if b.d.admits(&job{class: 0, tenant: 0, overQuota: true}) {
		t.Error("call gapping with a guaranteed rate of 0: got a job admitted, want it rejected")
	}
	b.d.gappedRanks = b.d.ranks[0]
	if !b.d.admits(&job{class: 0, tenant: 0}) {
		t.Error("job whose rank is not under call gapping: got the job rejected, want the job admitted")
	}
}

func TestRankByPriorityWeight(t *testing.T) {
	b := newHarness(t, testSettings(), ready(1, 0))
	b.d.rankClasses()
	// The ranks are of class 0 within its quota and over its quota, then of classes 1 and 2 likewise. The
	// weights of these jobs are 1, 0.2, 3, 0.6, 2 and 0.4.
	r := b.d.ranks
	order := []int{r[1], r[5], r[3], r[0], r[4], r[2]}
	for i, rank := range order {
		if rank != i {
			t.Fatalf("classes within and over quota by ascending weight: got ranks %v, want 0 to 5 in order", order)
		}
	}
}

func TestReleaseByLatestStart(t *testing.T) {
	b := newHarness(t, testSettings())
	// A client timeout below the class's deadline counts as a retry by the client. The objective counts from the
	// first try, so a shorter client timeout gives an earlier latest start.
	for i, clientTimeout := range []Micros{8, 5, 6} {
		b.feed(Event{Kind: JobArrived, Job: JobID(i), Class: 1, Work: 2 * second, Slots: 1,
			ClientTimeout: clientTimeout * second})
	}
	sent := actionsOfKind(b.feed(Event{Kind: EndpointsUpdated, Scope: UpdateFull,
		Workers: []WorkerEntry{ready(1, 0), ready(2, 0), ready(3, 0)}}), Send)
	if len(sent) != 3 || sent[0].Job != 1 || sent[1].Job != 2 || sent[2].Job != 0 {
		t.Fatalf("got sends %+v, want jobs 1, 2 and 0, in order of their latest starts", sent)
	}
}

func TestHoldsUntilASlotIsFree(t *testing.T) {
	b := newHarness(t, testSettings(), ready(1, 0))
	b.want(b.arrive(1, 2), Send, 1)
	// Job 1 has not started within the start report timeout, so the worker has no free slot.
	b.advance(second / 5)
	b.want(b.arrive(2, 2), Send, 0)
	b.feed(Event{Kind: AttemptReported, Job: 1, Note: NoteStarted})
	b.want(b.end(1, 0, OK), Send, 1)
}

func TestAtCapacityLowersTheSlotLimit(t *testing.T) {
	b := newHarness(t, testSettings(), ready(1, 0))
	w := b.d.workers[1]
	for id := JobID(1); id <= 3; id++ {
		b.want(b.arrive(id, 0), Send, 1)
		b.feed(Event{Kind: AttemptReported, Job: id, Note: NoteStarted})
		b.now += second + second/5 // after a pause of 1 s a worker may get one job beyond its known capacity
	}
	b.arrive(4, 0)
	b.end(4, 0, AtCapacity)
	if w.slotLimit != 3 {
		t.Errorf("got slot limit %v after the worker had no room for a fourth job, want 3", w.slotLimit)
	}
}

// TestReportedQueueLowersTheSlotLimit guards against counting this dispatcher's own jobs that wait at a
// worker as slots of the worker: the slot limit would then never fall.
func TestReportedQueueLowersTheSlotLimit(t *testing.T) {
	s := testSettings()
	s.StartReported = false
	b := newHarness(t, s, ready(1, 0))
	b.d.learnLoadReport(b.d.workers[1], Report{FreeKnown: true, Free: 2, Outstanding: 0}, 0)
	b.d.learnLoadReport(b.d.workers[1], Report{FreeKnown: true, Free: 0, Outstanding: 4}, 4)
	if got := b.d.workers[1].slotLimit; got != 2 {
		t.Errorf("got slot limit %v of a worker that has reported two free slots, want 2", got)
	}
}

// A job whose client timeout is 0 is refused at once and is not sent.
func TestExpiredClientTimeoutIsRefusedAtOnce(t *testing.T) {
	b := newHarness(t, testSettings(), ready(1, 0))
	out := b.feed(Event{Kind: JobArrived, Job: 1, Work: second, Slots: 1})
	b.want(out, Refuse, 1)
	b.want(out, Send, 0)
}

// Jobs that are far behind the head of the queue are still answered before their deadlines.
func TestEveryQueuedJobIsAnsweredInTime(t *testing.T) {
	b := newHarness(t, testSettings()) // the worker list is empty
	start, n := b.now, 60
	for id := range n {
		b.arrive(JobID(id), id%3)
	}
	answers := map[JobID]int{}
	for _, a := range actionsOfKind(b.advance(9*second), Refuse) {
		answers[a.Job]++
	}
	for id, n := range answers {
		if n != 1 {
			t.Errorf("job %d was answered %d times, want once", id, n)
		}
	}
	if len(answers) == 0 || len(b.d.jobs) != 0 || b.now-start != 9*second {
		t.Fatalf("after 9 s got %d answered and %d unanswered jobs, want every job answered",
			len(answers), len(b.d.jobs))
	}
}

// The time-out of an attempt at its deadline gives the job its one final answer. Later events of the job
// cause no action.
func TestTimeOutAtTheDeadline(t *testing.T) {
	b := newHarness(t, testSettings(), ready(1, 0))
	sent := actionsOfKind(b.arrive(1, 2), Send)[0]
	b.now = sent.Deadline
	out := b.end(1, 0, TimedOut)
	b.want(out, Fail, 1)
	if late := b.now - (100*second + 8*second); late > 0 {
		t.Errorf("got the job's answer %v us after the deadline, want it by the deadline", late)
	}
	b.want(b.end(1, 0, TimedOut), Fail, 0)
	b.want(b.feed(Event{Kind: ClientDisconnected, Job: 1}), Send, 0)
}

// A job gets one final answer: events for a finished job, for an unknown job or with invalid fields cause no
// send and no answer.
func TestStaleEvents(t *testing.T) {
	b := newHarness(t, testSettings(), ready(1, 0), ready(2, 0))
	b.arrive(1, 0)
	b.feed(Event{Kind: ClientDisconnected, Job: 1})
	for _, e := range []Event{
		{Kind: AttemptReported, Job: 1, Note: NoteStarted},
		{Kind: AttemptReported, Job: 1, Note: NoteProgress, Value: 1},
		{Kind: AttemptEnded, Job: 1, Outcome: Reset}, {Kind: AttemptEnded, Job: 1, Outcome: OK, Final: true},
		{Kind: ClientDisconnected, Job: 1}, {Kind: AttemptEnded, Job: 77},
		{Kind: AttemptReported, Job: 1, Attempt: -1},
		{Kind: GossipReceived, Peer: 1, Message: []byte{1, 2}},
		{Kind: GossipReceived, Peer: 1 << 30, Message: make([]byte, gossipMessageSize)},
		{Kind: StreamStarted, Job: 5},
		{Kind: AttemptEnded, Job: 1, Attempt: 9, Outcome: Reset}, {Kind: TimerFired, Token: 1 << 60},
	} {
		out := b.feed(e)
		if n := len(actionsOfKind(out, Send)) + len(actionsOfKind(out, Refuse)) +
			len(actionsOfKind(out, Fail)); n != 0 {
			t.Errorf("event %+v caused actions %+v, want no send and no answer", e, out)
		}
	}
}

// An attempt that may have run is repeated only as its class allows: a safe job on any worker, a keyed job
// within its deduplication scope and deduplication window, an unsafe job never.
func TestNoDoubleEffects(t *testing.T) {
	for _, c := range []struct {
		name    string
		class   int
		group   DedupScope
		outcome Outcome
		after   Micros
		want    ActionKind
		worker  WorkerID
	}{
		{"a safe job is repeated on another worker", 0, 0, Reset, 0, Send, 0},
		{"an unsafe job that may have run is not repeated", 2, 0, Reset, 0, Fail, 0},
		{"an unsafe job that never ran is repeated", 2, 0, ConnectFailed, 0, Send, 0},
		{"a keyed job is repeated in its cell", 1, ScopeCell, Failed, 0, Send, 2},
		{"a keyed job is repeated in its zone", 1, ScopeZone, Failed, 0, Send, 3},
		{"a keyed job with fleet-wide scope is repeated anywhere", 1, ScopeAll, Failed, 0, Send, 0},
		{"a keyed job is not repeated after the deduplication window", 1, ScopeCell, Failed, 5 * second, Fail, 0},
	} {
		s := testSettings()
		s.Classes[1].DedupScope = c.group
		s.ProgressInterval = 60 * second // progress is due so seldom that silent workers do not become suspect
		b := newHarness(t, s, ready(1, 0))
		b.want(b.arrive(1, c.class), Send, 1)
		// Worker 2 is in the cell of worker 1, worker 3 only in the zone of worker 1, and worker 4 in neither.
		b.feed(Event{Kind: EndpointsUpdated, Scope: UpdateFull, Workers: []WorkerEntry{ready(1, 0),
			{Worker: 4, Cell: 4, Zone: 4, Status: Ready}}})
		if c.worker == 2 {
			b.feed(Event{Kind: EndpointsUpdated, Workers: []WorkerEntry{ready(2, 0)}})
		}
		if c.worker == 3 {
			b.feed(Event{Kind: EndpointsUpdated, Workers: []WorkerEntry{ready(3, 3)}})
		}
		b.now += c.after
		out := b.end(1, 0, c.outcome)
		b.want(out, c.want, 1)
		if c.worker != 0 && actionsOfKind(out, Send)[0].Worker != c.worker {
			t.Errorf("%s: got a repeat on worker %d, outside the deduplication scope, want one inside", c.name,
				actionsOfKind(out, Send)[0].Worker)
		}
	}
}

// A refusal tells the client that a retry is harmless. A job that may have run is therefore refused only if
// its class allows a repeat on any worker, and fails otherwise.
func TestRefusalOnlyWhereARetryIsHarmless(t *testing.T) {
	for class, want := range []ActionKind{Refuse, Fail, Fail} {
		s := testSettings()
		s.MaxAttempts = 1
		b := newHarness(t, s, ready(1, 0))
		b.arrive(1, class)
		b.want(b.end(1, 0, Reset), want, 1)
		b.arrive(2, class)
		b.now += 20 * second
	}
}

// No job is sent to a worker that drains, is removed, or is missing from a full update.
func TestNothingIsSentToADrainingWorker(t *testing.T) {
	for name, update := range map[string]Event{
		"draining":             {Kind: EndpointsUpdated, Workers: []WorkerEntry{{Worker: 1, Status: Draining}}},
		"removed":              {Kind: EndpointsUpdated, Workers: []WorkerEntry{{Worker: 1, Status: Removed}}},
		"missing in an update": {Kind: EndpointsUpdated, Scope: UpdateFull, Workers: []WorkerEntry{ready(2, 0)}},
	} {
		b := newHarness(t, testSettings(), ready(1, 0), ready(2, 0))
		b.feed(update)
		for id := JobID(1); id < 40; id++ {
			for _, a := range actionsOfKind(b.arrive(id, 0), Send) {
				if a.Worker == 1 {
					t.Fatalf("worker 1 %s: got job %d sent to worker 1, want no job sent to it", name, id)
				}
				b.feed(Event{Kind: AttemptReported, Job: id, Note: NoteStarted})
			}
		}
	}
}

// Where the worker list must be polled, the dispatcher polls at its start, again after a failed poll, and
// again within the setting PollInterval when a poll gets no answer. Otherwise drains would go unnoticed.
func TestKeepsPollingForTheList(t *testing.T) {
	s := testSettings()
	s.PollEndpoints, s.PollInterval = true, 10*second
	d, _ := New(s, 3)
	b := &harness{t: t, d: d, now: second}
	b.want(b.feed(Event{Kind: Started}), WatchEndpoints, 1)
	b.feed(Event{Kind: EndpointsUpdated, Scope: UpdateCached, Workers: []WorkerEntry{ready(1, 0)}})
	if len(actionsOfKind(b.advance(s.PollInterval/2), WatchEndpoints)) == 0 {
		t.Error("poll without an answer: got no new poll within half the poll interval, want one")
	}
	for range 20 { // discovery is unavailable, and each poll fails
		b.feed(Event{Kind: EndpointsUpdated, Scope: UpdateFailed})
		if len(actionsOfKind(b.advance(s.PollInterval*2/5), WatchEndpoints)) == 0 {
			t.Fatal("failed poll: got no new poll within 2/5 of the poll interval, want one")
		}
	}
	b.feed(Event{Kind: EndpointsUpdated, Scope: UpdateFull, Workers: []WorkerEntry{ready(1, 0)}})
	b.want(b.advance(s.PollInterval), WatchEndpoints, 0)
}

// The work that a dispatcher sends to a worker in slow start within an overload window, the time over which
// that work is limited, stays within the dispatcher's slow-start budget for that worker. The worker may be
// new, restarted according to the list, or restarted without an update of the list, which the dispatcher
// infers from failed connects.
func TestSlowStartBudget(t *testing.T) {
	restartedUnlisted := func(b *harness) {
		b.arrive(900, 0)
		b.end(900, 0, ConnectFailed)
		b.advance(6 * second)
	}
	for name, make := range map[string]func(b *harness){
		"new": func(b *harness) {
			b.feed(Event{Kind: EndpointsUpdated, Workers: []WorkerEntry{{Worker: 1, Status: Ready, Started: b.now}}})
		},
		"restarted": func(b *harness) {
			b.feed(Event{Kind: EndpointsUpdated,
				Workers: []WorkerEntry{{Worker: 1, Status: Ready, Started: b.now - second}}})
		},
		"restarted without an update": restartedUnlisted,
	} {
		s := testSettings()
		s.OverloadWindow = 2 * second
		b := newHarness(t, s, ready(1, 0))
		// The time since the dispatcher's own start exceeds the overload window, the time over which the work sent
		// to a worker in slow start is limited. So the slow-start budget does not begin empty.
		b.now += 3 * second
		make(b)
		work := 0.0
		start := b.now
		// The worker has speed 1 and one known slot, so the budget below is the whole slow-start budget of the
		// first overload window, the time over which the work sent to the worker is limited.
		if !b.d.isSlowStartOwner(b.d.workers[1]) {
			t.Fatal("got another dispatcher as the owner that may send to worker 1 in slow start, want this one")
		}
		fraction := s.SlowStartInitial + (1-s.SlowStartInitial)*float64(s.OverloadWindow)/float64(s.SlowStart)
		budget := s.OverloadFactor * fraction * float64(s.OverloadWindow)
		for id := JobID(1); b.now < start+s.OverloadWindow; id++ {
			for _, a := range actionsOfKind(b.arrive(id, 0), Send) {
				work += second / 5
				b.feed(Event{Kind: AttemptReported, Job: a.Job, Note: NoteStarted})
				b.end(a.Job, a.Attempt, OK)
			}
			b.now += second / 50
		}
		if work > budget {
			t.Errorf(
				"worker in case %s, slow-start budget per OverloadWindow: got %v us of work sent, want at most %v us",
				name, work, budget)
		}
		if work == 0 && name != "restarted without an update" {
			t.Errorf("worker in case %s, slow start: got no work sent within OverloadWindow, want some work", name)
		}
	}
}

// After its own start a dispatcher does not know what it sent before the start to a worker in slow start. The
// slow-start budget for that worker therefore begins empty.
func TestSlowStartBudgetAfterOwnStart(t *testing.T) {
	b := newHarness(t, testSettings(), WorkerEntry{Worker: 1, Status: Ready, Started: 99 * second})
	b.want(b.arrive(1, 0), Send, 0)
	b.want(b.advance(3*second), Send, 1)
}

// A worker that reports no progress becomes suspect. The jobs at that worker then get a second attempt on
// another worker if their class allows a repeat; unsafe jobs get none. After a progress report the worker is
// no longer suspect.
func TestSilentWorker(t *testing.T) {
	for class, hedges := range []int{1, 1, 0} {
		s := testSettings()
		s.Classes[class].LatencyObjective = 5 * second
		b := newHarness(t, s, ready(1, 0))
		b.want(b.arrive(1, class), Send, 1)
		b.feed(Event{Kind: AttemptReported, Job: 1, Note: NoteStarted})
		b.feed(Event{Kind: EndpointsUpdated, Workers: []WorkerEntry{ready(2, 0), ready(3, 0)}})
		b.want(b.advance(2*second), Send, hedges)
		w := b.d.workers[1]
		if !w.suspect {
			t.Fatal("worker 1 reported no progress for 2 s: got not suspect, want suspect")
		}
		b.feed(Event{Kind: AttemptReported, Job: 1, Note: NoteProgress, Value: 0.9})
		if w.suspect {
			t.Error("worker 1 after a progress report: got suspect, want not suspect")
		}
	}
}

// A fault of the network, the worker list or the reports makes all workers look unhealthy at the same time.
// In that case no worker is ejected.
func TestFleetWideFailuresEjectNoWorker(t *testing.T) {
	b := newHarness(t, testSettings(), ready(1, 0), ready(2, 0), ready(3, 0))
	for id := JobID(1); id <= 3; id++ {
		b.arrive(id, 2)
	}
	for id := JobID(1); id <= 3; id++ {
		b.end(id, 0, Reset)
	}
	b.arrive(4, 0)
	b.advance(second / 4)
	b.want(b.arrive(5, 0), Send, 1)
}

// A worker that fails its jobs quickly has free slots and a low expected cost. The worker must not get more
// jobs for that reason.
func TestQuickErrorsDoNotAttract(t *testing.T) {
	s := testSettings()
	s.ConnectTimeout = 0 // the cost of a worker that fails jobs includes this timeout, so 0 adds nothing
	b := newHarness(t, s, ready(1, 0), ready(2, 0), ready(3, 0))
	b.d.workers[2].placementBias, b.d.workers[3].placementBias = 0.5, 0.5 // the bias makes worker 1 preferred
	sentToFailing := 0
	for id := JobID(1); id <= 50; id++ {
		for _, a := range actionsOfKind(b.arrive(id, 2), Send) {
			outcome := OK
			if a.Worker == 1 {
				outcome, sentToFailing = Failed, sentToFailing+1
			}
			b.feed(Event{Kind: AttemptReported, Job: id, Note: NoteStarted})
			b.now += second / 100
			b.end(id, 0, outcome)
		}
	}
	if sentToFailing > 10 {
		t.Errorf("got %d of 50 jobs sent to the worker that fails them, want at most 10", sentToFailing)
	}
}

// The retry budget bounds the number of attempts when every attempt fails.
func TestRetriesAreBounded(t *testing.T) {
	s := testSettings()
	s.StartReported = false
	var list []WorkerEntry
	for id := range WorkerID(40) {
		list = append(list, ready(id+1, 0))
	}
	b := newHarness(t, s, list...)
	sent := 0
	for id := JobID(1); id <= 400; id++ {
		queue := actionsOfKind(b.arrive(id, 0), Send)
		for n := 0; len(queue) > 0; n++ {
			sent++
			more := actionsOfKind(b.end(queue[0].Job, n, Failed), Send)
			queue = append(queue[1:], more...)
		}
		b.advance(second / 20)
	}
	if limit := 400*(1+retryBudgetPerJob) + maxRetryBudget; float64(sent) > limit {
		t.Errorf("got %d attempts for 400 jobs, want at most the %v that the retry budget allows", sent, limit)
	}
}

// The slots of a worker that a peer (another dispatcher) reports by gossip to use count as in use, so that
// two dispatchers do not fill the same slot. Old gossip no longer counts.
func TestPeerJobsCountAsSlotsInUse(t *testing.T) {
	s := testSettings()
	s.GossipAllowed = true
	b := newHarness(t, s, ready(7, 0))
	b.want(b.arrive(1, 0), SendGossip, 1)
	b.want(b.feed(Event{Kind: AttemptReported, Job: 1, Note: NoteStarted}), SendGossip, 0)
	b.feed(Event{Kind: GossipReceived, Peer: 1, Message: []byte{0, 0, 0, 0, 7, 3, 1}})
	b.now += waitReportBatches * s.Granularity
	b.feed(Event{Kind: TimerFired})
	if used, running := b.d.peerSlots(b.d.workers[7]); used != 3 || running != 2 {
		t.Fatalf("got %v slots in use by peers and %v of them running, want 3 and 2", used, running)
	}
	b.advance(60 * second)
	b.feed(Event{Kind: TimerFired})
	if used, _ := b.d.peerSlots(b.d.workers[7]); used != 0 {
		t.Errorf("got %v slots in use by peers from gossip that is 60 s old, want 0", used)
	}
}

// A job may state any number of slots: NaN, infinite, negative or zero. Without a clamp, the count of a
// worker's slots in use becomes NaN or exceeds the range of an int.
func TestAnyCountOfSlots(t *testing.T) {
	for _, slots := range []float64{math.NaN(), math.Inf(1), math.Inf(-1), 1e30, -1, 0} {
		b := newHarness(t, testSettings(), ready(1, 0))
		for id, jobSlots := range []float64{slots, 1} {
			arrived := Event{Kind: JobArrived, Job: JobID(id), Work: second / 5, Slots: jobSlots,
				ClientTimeout: 6 * second}
			for _, a := range actionsOfKind(b.feed(arrived), Send) {
				b.feed(Event{Kind: AttemptReported, Job: a.Job, Worker: a.Worker, Note: NoteStarted})
				b.end(a.Job, 0, OK)
			}
		}
		if w := b.d.workers[1]; w.ownSlots != 0 {
			t.Errorf("after a job of %v slots and a job of 1 slot have ended: got %v slots in use, want 0",
				slots, w.ownSlots)
		}
	}
}

// The dispatcher learns the lower speed of a slow worker from the run times of jobs there.
func TestSlowWorkerIsLearned(t *testing.T) {
	b := newHarness(t, testSettings(), ready(1, 0), ready(2, 0))
	for id := JobID(1); id <= 40; id += 2 {
		sent := append(actionsOfKind(b.arrive(id, 0), Send), actionsOfKind(b.arrive(id+1, 0), Send)...)
		for _, a := range sent {
			b.feed(Event{Kind: AttemptReported, Job: a.Job, Note: NoteStarted})
		}
		startedAt := b.now
		for _, workerID := range []WorkerID{2, 1} {
			b.now = startedAt + second/5
			if workerID == 1 {
				b.now = startedAt + second
			}
			for _, a := range sent {
				if a.Worker == workerID {
					b.end(a.Job, 0, OK)
				}
			}
		}
	}
	if slow, fast := b.d.speed(b.d.workers[1]), b.d.speed(b.d.workers[2]); slow > fast/1.5 {
		t.Errorf("got speed %v of the slow and %v of the fast worker, want the ratio at most 1/1.5",
			slow, fast)
	}
}

func TestQuantile(t *testing.T) {
	var q quantileWindow
	for i := 1; i <= quantileInterval; i++ {
		q.add(float64(i))
	}
	if want := math.Round(runTimeQuantile*(quantileInterval-1) + 1); q.value != want {
		t.Errorf("upper quartile of the numbers 1 to %d: got %v, want %v", quantileInterval, q.value, want)
	}
}

// The functions send and finish check the conditions for a send and for an answer themselves, independent of
// their callers.
func TestGuards(t *testing.T) {
	for name, c := range map[string]struct {
		class  int
		forbid func(b *harness, j *job, w *worker)
	}{
		"finished":     {0, func(_ *harness, j *job, _ *worker) { j.finished = true }},
		"streaming":    {0, func(_ *harness, j *job, _ *worker) { j.streaming = true }},
		"no time left": {0, func(b *harness, j *job, _ *worker) { j.deadline = b.now + b.d.deadlineMargin() }},
		"attempts used up": {0, func(b *harness, j *job, w *worker) {
			b.d.settings.MaxAttempts = 1
			withAttemptNotRun(b, j, w)
		}},
		"draining": {0, func(_ *harness, _ *job, w *worker) { w.entry.Status = Draining }},
		"removed":  {0, func(_ *harness, _ *job, w *worker) { w.entry.Status = Removed }},
		"two attempts in flight without hedging": {0, func(b *harness, j *job, w *worker) {
			b.d.settings.HedgingAllowed = false
			withAttemptInFlight(b, j, w)
		}},
		"unsafe with an attempt in flight": {2, withAttemptInFlight},
		"keyed past its window": {1, func(b *harness, j *job, w *worker) {
			withAttemptInFlight(b, j, w)
			j.attempts[0].sentAt -= 5 * second
		}},
		"keyed in another cell": {1, func(b *harness, j *job, w *worker) {
			withAttemptInFlight(b, j, w)
			w.entry.Cell = 9
		}},
		"in slow start": {0, func(b *harness, _ *job, w *worker) {
			w.inferredStart, w.slowStartBudget, w.slowStartBudgetAt = b.now, 0, b.now
		}},
	} {
		b := newHarness(t, testSettings(), ready(1, 0))
		b.now += 5 * second
		b.d.now = b.now
		newJob := func(id JobID) *job {
			return &job{id: id, class: c.class, deadline: b.now + 5*second, objective: b.now + second,
				work: second / 5, slots: 1}
		}
		j := newJob(1)
		w := b.d.workers[1]
		if b.d.actions = nil; !b.d.send(j, w) {
			t.Fatalf("before case %s, which must prevent a send: got no send, want one", name)
		}
		j = newJob(2)
		c.forbid(b, j, w)
		if b.d.actions = nil; b.d.send(j, w) || len(b.d.actions) != 0 {
			t.Errorf("case %s, which must prevent a send: got a send or another action, want none", name)
		}
	}
	b := newHarness(t, testSettings(), ready(1, 0))
	j := &job{id: 1, deadline: b.now + second}
	b.d.actions = nil
	b.d.finish(j)
	b.d.finish(j)
	b.want(b.d.actions, Refuse, 1)
	b.want(b.d.actions, Fail, 0)
}

// withAttemptInFlight gives a job an attempt that is still in flight, at another worker that has the same
// list entry as w.
func withAttemptInFlight(b *harness, j *job, w *worker) {
	a := &attempt{job: j, worker: &worker{entry: w.entry}, sentAt: b.now, inFlight: true}
	j.attempts, j.inFlight = []*attempt{a}, 1
}

// withAttemptNotRun gives a job an attempt that has ended and is known not to have run.
func withAttemptNotRun(b *harness, j *job, w *worker) {
	j.attempts = []*attempt{{job: j, worker: &worker{entry: w.entry}, sentAt: b.now}}
}

// A worker that could not be reached and later answers counts as restarted, though the worker list does not
// report a restart. The worker is then in slow start for the time that the settings give.
func TestUnlistedRestartEntersSlowStart(t *testing.T) {
	b := newHarness(t, testSettings(), ready(1, 0))
	b.now += 5 * second
	b.arrive(1, 0)
	b.end(1, 0, ConnectFailed)
	b.advance(second)
	b.end(1, 1, ConnectFailed)
	w := b.d.workers[1]
	if b.d.slowStartSince(w) == 0 {
		t.Fatal("worker 1 after two failed connects: got not in slow start, want in slow start")
	}
	for id := JobID(2); w.unreachable && id < 100; id++ {
		all := append(b.advance(second/2), b.feed(Event{Kind: JobArrived, Job: id, Work: second / 20, Slots: 1,
			ClientTimeout: 5 * second})...)
		for _, a := range actionsOfKind(all, Send) {
			b.end(a.Job, a.Attempt, OK)
		}
	}
	b.advance(2 * second)
	if w.unreachable || b.d.slowStartSince(w) == 0 {
		t.Fatalf("2 s after worker 1 answers: got unreachable = %v, slow start since %v us, want false and not 0",
			w.unreachable, b.d.slowStartSince(w))
	}
	b.advance(20 * second)
	if b.d.slowStartSince(w) != 0 {
		t.Error("worker 1 after the slow-start time: got in slow start, want warm")
	}
}

// Without cost hints the estimates determine only the ratio of a job's work to a worker's speed, so that work
// and speed can drift by a common factor. If they drift far, the wait target of a class exceeds the class's
// deadline. The overload control then cannot find any more that jobs of the class would start too late.
func TestScaleWithoutHints(t *testing.T) {
	b := newHarness(t, testSettings(), ready(1, 0))
	w := b.d.workers[1]
	// The estimated mean speed of the fleet has drifted from 1 to 3.
	b.d.fleetEstimate = speedEstimate{work: 300 * second, time: 100 * second}
	w.speed = speedEstimate{work: 600 * second, time: 100 * second}
	if got := b.d.warmSpeed(w); math.Abs(got-2) > 0.1 {
		t.Errorf("worker twice as fast as the fleet: got speed %v, want about 2", got)
	}
	for range 100 {
		b.d.classes[0].addWork(60 * second)
	}
	b.d.refreshAdmissionParameters()
	for k := range b.d.classes {
		if got := b.d.classes[k].waitTarget; got > b.d.settings.Classes[k].Deadline {
			t.Errorf("wait target of class %d: got %v us, want at most the deadline of the class", k, got)
		}
	}
}

// When half of the workers become unreachable at once, the dispatcher finds out by many failed connects.
// Failed connects must not use up the retry budget, or jobs with time left would be refused.
func TestRefusedConnectsCostNoRetries(t *testing.T) {
	s := testSettings()
	s.MaxAttempts = 50
	var workers []WorkerEntry
	for i := range 60 {
		workers = append(workers, ready(WorkerID(i+1), 0))
	}
	b := newHarness(t, s, workers...)
	b.d.retryBudget = 2
	actions, failed := b.arrive(1, 0), 0
	for sent := actionsOfKind(actions, Send); len(sent) == 1 && failed < 10; failed++ {
		actions = b.end(1, sent[0].Attempt, ConnectFailed)
		b.want(actions, Refuse, 0)
		sent = actionsOfKind(actions, Send)
	}
	if failed != 10 {
		t.Fatalf("got no further attempt after %d failed connects, want attempts until 10 connects have failed",
			failed)
	}
	if b.d.retryBudget > maxRetryBudget || b.d.retryBudget < 2 {
		t.Fatalf("after failed connects only: got retry budget %v, want at least the initial 2, up to the maximum",
			b.d.retryBudget)
	}
}

// A job of a peer (another dispatcher) that waits at a worker shows that the worker is full. This dispatcher
// then sends nothing to the worker until that job runs, however many slots this dispatcher assumes the worker
// to have.
func TestWaitingPeerJobBlocksSends(t *testing.T) {
	s := testSettings()
	s.GossipAllowed = true
	b := newHarness(t, s, ready(7, 0))
	w := b.d.workers[7]
	b.setSlots(7, 9)
	b.feed(Event{Kind: GossipReceived, Peer: 0, Message: []byte{0, 0, 0, 0, 7, 3, 0}})
	// The job that the peer reports may still be on its way, so the worker is not known to be full.
	b.want(b.arrive(1, 0), Send, 1)
	b.feed(Event{Kind: AttemptReported, Job: 1, Attempt: 0, Note: NoteStarted})
	b.feed(Event{Kind: GossipReceived, Peer: 0, Message: []byte{0, 0, 0, 0, 7, 3, 1}})
	b.want(b.arrive(2, 0), Send, 0)
	b.want(b.feed(Event{Kind: GossipReceived, Peer: 0, Message: []byte{0, 0, 0, 0, 7, 3, 0}}), Send, 1)
	// A probe is a job beyond the worker's known capacity. The dispatcher sends no probe while a peer's job is
	// on its way to the worker.
	b.feed(Event{Kind: AttemptReported, Job: 2, Attempt: 0, Note: NoteStarted})
	b.now += waitReportBatches * s.Granularity
	b.feed(Event{Kind: TimerFired})
	b.d.kindOf(w).capacityProbedAt = 1
	if !b.d.mayProbe(w) {
		t.Fatal("long after the last probe: got no job beyond the worker's known capacity allowed, want one")
	}
	b.feed(Event{Kind: GossipReceived, Peer: 0, Message: []byte{0, 0, 0, 0, 7, 4, 0}})
	if b.d.mayProbe(w) {
		t.Error("peer's job has not started: got a job beyond the worker's known capacity allowed, want none")
	}
	// Old gossip of a peer that has stopped must not keep this dispatcher from sending to the worker.
	b.advance(60 * second)
	b.feed(Event{Kind: TimerFired})
	if b.d.peerJobWaits(w) {
		t.Error("all gossip is 60 s old: got a peer's job counted as waiting at the worker, want none")
	}
}

// A Retry-After that is too short feeds a retry storm, and one that is too long loses a job that could still
// be answered in time. A refusal therefore carries a delay only where the answer to an immediate retry would
// have no value.
func TestRetryAfterOnlyWhenARetryEarnsNothing(t *testing.T) {
	b := newHarness(t, testSettings(), ready(1, 0))
	refuse := func(objective Micros, aboveQuota bool, level overloadLevel) Micros {
		b.d.level = level
		j := &job{id: 9, objective: b.now + objective, overQuota: aboveQuota, work: second / 5}
		b.d.actions, b.d.cachedBestSpeed = nil, 0
		b.d.finish(j)
		return b.d.actions[0].Delay
	}
	// Late answers of class 2 have no value (LateWeight 0), and the objective of this job has passed.
	b.d.finish(&job{id: 8, class: 2, objective: b.now})
	b.want(b.d.actions, Refuse, 1)
	if b.d.actions[0].Delay != b.d.settings.MaxRetryAfter {
		t.Errorf("refused job past its objective: got a Retry-After of %v us, want MaxRetryAfter of the settings",
			b.d.actions[0].Delay)
	}
	for _, c := range []struct {
		objective  Micros
		aboveQuota bool
		level      overloadLevel
		wantDelay  bool
	}{{second, false, 2, false}, {second, true, 1, true}, {second / 10, false, 1, true},
		{second / 10, false, 0, false}, {second, true, 0, false}} {
		if got := refuse(c.objective, c.aboveQuota, c.level) > 0; got != c.wantDelay {
			t.Errorf(
				"case objective in %v us, over quota = %v, overload level %d: got Retry-After = %v, want its negation",
				c.objective, c.aboveQuota, c.level, got)
		}
	}
}

// A drain counts as known to every dispatcher once MaxStaleness has passed since the drain, even if the
// dispatcher has not received the drain. A dispatcher that has received no update for MaxStaleness must
// therefore send nothing, even if its workers still accept jobs, and whatever worker list it had at its
// start.
func TestStaleListStopsSends(t *testing.T) {
	for name, c := range map[string]struct {
		maxStaleness Micros // the setting MaxStaleness
		sinceUpdate  Micros // the time since the latest list update, or since the start if there was no update
		noUpdate     bool   // the dispatcher has received only the cached list of its start
		sent         int    // expected number of jobs, of the two that arrive, that are sent at once
	}{
		"a recent update":                 {6 * second, 5 * second, false, 2},
		"an old update":                   {6 * second, 7 * second, false, 0},
		"only the cached list":            {6 * second, 0, true, 0},
		"only the cached list, 5 s later": {6 * second, 5 * second, true, 0},
		"no limit on staleness":           {0, 60 * second, false, 2},
		"no limit, only the cached list":  {0, 0, true, 2},
	} {
		t.Run(name, func(t *testing.T) {
			s := testSettings()
			s.PollEndpoints, s.PollInterval, s.MaxStaleness = true, 10*second, c.maxStaleness
			d, _ := New(s, 3)
			b := &harness{t: t, d: d, now: 100 * second}
			b.feed(Event{Kind: Started})
			b.feed(Event{Kind: EndpointsUpdated, Scope: UpdateCached,
				Workers: []WorkerEntry{ready(1, 0), ready(2, 0), ready(3, 0)}})
			if !c.noUpdate {
				b.feed(Event{Kind: EndpointsUpdated})
				b.feed(Event{Kind: JobArrived, Job: 9, ClientTimeout: 60 * second, Slots: 1})
				// A draining worker may accept jobs, so the report of a start does not show that the worker is ready.
				b.feed(Event{Kind: AttemptReported, Job: 9, Note: NoteStarted})
			}
			b.now += c.sinceUpdate
			b.feed(Event{Kind: EndpointsUpdated, Scope: UpdateFailed})
			sent := append(actionsOfKind(b.arrive(1, 0), Send), actionsOfKind(b.arrive(2, 0), Send)...)
			if len(sent) != c.sent {
				t.Fatalf("got %d of 2 jobs sent at their arrival, want %d", len(sent), c.sent)
			}
			b.feed(Event{Kind: EndpointsUpdated}) // an update of the worker list without changes
			if later := len(actionsOfKind(b.out, Send)); later != 2-c.sent {
				t.Errorf("got %d jobs sent after an update of the worker list, want all that had to wait for it", later)
			}
		})
	}
}

// An update of the worker list that cannot be read may contain the drain of any worker, so nothing is sent
// until the next update. Drains that are known from another source than the list do not count as an update.
func TestUnreadableUpdateMakesTheListStale(t *testing.T) {
	s := testSettings()
	s.PollEndpoints, s.PollInterval, s.MaxStaleness = true, 10*second, 6*second
	b := newHarness(t, s, ready(1, 0), ready(2, 0))
	b.feed(Event{Kind: EndpointsUpdated, Scope: UpdateFailed, Age: b.now + b.d.settings.MaxStaleness})
	b.want(b.arrive(1, 0), Send, 0)
	drains := []WorkerEntry{{Worker: 1, Status: Draining}}
	b.want(b.feed(Event{Kind: EndpointsUpdated, Scope: UpdateDrains, Workers: drains}), Send, 0)
	sent := actionsOfKind(b.feed(Event{Kind: EndpointsUpdated, Age: second}), Send)
	if len(sent) != 1 || sent[0].Worker != 2 {
		t.Errorf("got sends %+v, want one send to worker 2, as worker 1 drains", sent)
	}
	b.end(1, 0, OK)
	b.now += 5*second + 1 // the update was 1 s old on arrival, so the list is 1 us older than MaxStaleness
	b.want(b.arrive(2, 0), Send, 0)
}

// Some clients abandon a try early and set a short client timeout on their first try. Where clients mark
// their retries, such a first try still has its whole objective in a large fleet without gossip. Only for a
// retry does the time by which the client timeout is shorter than the class's deadline count as spent.
func TestFirstAttemptWithShortClientTimeoutIsNotARetry(t *testing.T) {
	for name, c := range map[string]struct{ largeFleet, retriesMarked, isRetry, served bool }{
		"a first try":                  {largeFleet: true, retriesMarked: true, served: true},
		"a retry":                      {largeFleet: true, retriesMarked: true, isRetry: true},
		"retries are not marked":       {largeFleet: true},
		"a mark without the setting":   {largeFleet: true, isRetry: true},
		"a first try in a small fleet": {retriesMarked: true},
	} {
		t.Run(name, func(t *testing.T) {
			s := testSettings()
			if s.RetriesMarked = c.retriesMarked; c.largeFleet {
				largeFleetWithoutGossipSettings(&s)
				s.Dispatchers = 80
			}
			b := newHarness(t, s, ready(1, 0))
			out := b.feed(Event{Kind: JobArrived, Job: 1, Class: 2, ClientTimeout: 2 * second,
				Retry: c.isRetry, Slots: 1})
			if served := len(actionsOfKind(out, Send)) == 1; served != c.served {
				t.Errorf("job with a client timeout below the class's deadline: got sent = %v, want %v",
					served, c.served)
			}
		})
	}
}
