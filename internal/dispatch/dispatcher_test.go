package dispatch

import (
	"math"
	"strings"
	"testing"
)

func TestSettingsErrorsNameTheField(t *testing.T) {
	for field, spoil := range map[string]func(*Settings){
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
		spoil(&s)
		if _, err := New(s, 1); err == nil || !strings.Contains(err.Error(), field) {
			t.Errorf("%s: got %v", field, err)
		}
	}
}

// Two classes with T_1 = 1 s and T_2 = 3 s, two guaranteed jobs of the first a
// second, one slot and runs of 0.25 s, so x = 0.25 s. Worked out by hand:
// (4), k=1: N(1)/4 < 1;  (4), k=2: (N(3) + 2*(3-1))/4 < 3;
// (6), k=1, i=2: (N(3)-N(2) + 2*min(1, 3-1))/4 < 1.
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
		{"(4) k=1, N=3: 0.75", copies(3, second), 0},
		{"(4) k=1, N=4: 1", copies(4, second), 2},
		{"(4) k=2, N=6: 2.5 of 3", append(copies(1, second), copies(5, 2*second)...), 0},
		{"(4) k=2, N=7: 2.75 of 3, within the margin", append(copies(2, second), copies(5, 2*second)...), 1},
		{"(4) k=2, N=8: 3 of 3", append(copies(2, second), copies(6, 2*second)...), 2},
		{"(6) k=1 i=2, 1 to start in (2, 3]: 0.75", copies(1, 3*second), 0},
		{"(6) k=1 i=2, 2 to start in (2, 3]: 1", copies(2, 3*second), 2},
		{"to start past T_2 counts in none", copies(50, 4*second), 0},
	} {
		b.fillQueue(c.queue...)
		if got := b.d.overloadAssessment(); got != c.want {
			t.Errorf("%s: overload assessment %d, want %d", c.name, got, c.want)
		}
	}
}

func TestLevelNeedsDetectionsInARow(t *testing.T) {
	b := newHarness(t, testSettings(), ready(1, 0))
	b.d.parametersRefreshedAt, b.d.parameterRefreshes = b.now, 1
	b.d.classes[0].waitTarget = second
	b.d.classes[1].waitTarget, b.d.classes[2].waitTarget = second, second
	b.d.slotTimes.value = second
	severe, passing := []Micros{0, 0, 0}, []Micros(nil)
	see := func(latestStarts []Micros, n int) overloadLevel {
		b.fillQueue(latestStarts...)
		for range n {
			b.d.updateOverloadLevel()
		}
		return b.d.level
	}
	if got := see(severe, levelChangeAssessments-1); got != 0 {
		t.Fatalf("level %d after %d assessments", got, levelChangeAssessments-1)
	}
	see(passing, 1)
	if got := see(severe, levelChangeAssessments-1); got != 0 {
		t.Fatalf("a passing check did not break the row: level %d", got)
	}
	if got := see(severe, 1); got != 2 {
		t.Fatalf("level %d after %d severe assessments", got, levelChangeAssessments)
	}
	if got := see(passing, levelChangeAssessments-1); got != 2 {
		t.Fatalf("level %d before enough passing checks", got)
	}
	if got := see(passing, 1); got != 0 {
		t.Fatalf("level %d after enough passing checks", got)
	}
}

func TestGappingAdvancesRankByRank(t *testing.T) {
	b := newHarness(t, testSettings(), ready(1, 0))
	b.d.rankClasses()
	if b.d.rankCount != 6 {
		t.Fatalf("%d priorities, want 6: three weights, within and over the quota", b.d.rankCount)
	}
	x := b.d.gappingStepInterval
	at := func(after Micros, want int) {
		t.Helper()
		b.d.now += after
		b.d.advanceGapping()
		if b.d.gappedRanks != want {
			t.Fatalf("gapped %d, want %d", b.d.gappedRanks, want)
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
	at(1, 5) // the highest priority is lifted first
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
	b.d.flows[0].rate = 4 // one job in 0.25 s
	passed := 0
	for range 100 { // 2 s, a job every 20 ms
		b.d.now += second / 50
		if b.d.admits(&job{class: 0, tenant: 0}) {
			passed++
		}
	}
	if passed < 8 || passed > 9 {
		t.Errorf("passed %d jobs in 2 s at 4 a second", passed)
	}
	if b.d.admits(&job{class: 0, tenant: 0, overQuota: true}) {
		t.Error("a flow without a rate passed while gapped")
	}
	b.d.gappedRanks = b.d.ranks[0]
	if !b.d.admits(&job{class: 0, tenant: 0}) {
		t.Error("a priority that gapping has not reached was gapped")
	}
}

func TestRankByPriorityWeight(t *testing.T) {
	b := newHarness(t, testSettings(), ready(1, 0))
	b.d.rankClasses()
	r := b.d.ranks // (class, over quota): weights 1, .2, 3, .6, 2, .4
	order := []int{r[1], r[5], r[3], r[0], r[4], r[2]}
	for i, rank := range order {
		if rank != i {
			t.Fatalf("ranks from the lowest weight up: %v", order)
		}
	}
}

func TestReleaseByLatestStart(t *testing.T) {
	b := newHarness(t, testSettings())
	for i, patience := range []Micros{8, 5, 6} { // later tries of a client: less patience, earlier objective
		b.feed(Event{Kind: JobArrived, Job: JobID(i), Class: 1, Work: 2 * second, Slots: 1,
			ClientTimeout: patience * second})
	}
	sent := actionsOfKind(b.feed(Event{Kind: EndpointsUpdated, Scope: UpdateFull,
		Workers: []WorkerEntry{ready(1, 0), ready(2, 0), ready(3, 0)}}), Send)
	if len(sent) != 3 || sent[0].Job != 1 || sent[1].Job != 2 || sent[2].Job != 0 {
		t.Fatalf("sent %+v", sent)
	}
}

func TestHoldsUntilASlotIsFree(t *testing.T) {
	b := newHarness(t, testSettings(), ready(1, 0))
	b.want(b.arrive(1, 2), Send, 1)
	// Its start is overdue: the worker is full, whoever filled it.
	b.advance(second / 5)
	b.want(b.arrive(2, 2), Send, 0)
	b.feed(Event{Kind: AttemptReported, Job: 1, Note: NoteStarted})
	b.want(b.end(1, 0, OK), Send, 1)
}

func TestFullLowersTheCap(t *testing.T) {
	b := newHarness(t, testSettings(), ready(1, 0))
	w := b.d.workers[1]
	for id := JobID(1); id <= 3; id++ {
		b.want(b.arrive(id, 0), Send, 1)
		b.feed(Event{Kind: AttemptReported, Job: id, Note: NoteStarted})
		b.now += second + second/5 // a probe past the limit waits for a run
	}
	b.arrive(4, 0)
	b.end(4, 0, AtCapacity)
	if w.slotLimit != 3 {
		t.Errorf("limit %v after the fourth job was turned away", w.slotLimit)
	}
}

// A queue of our own at a worker once passed for slots, and the limit never fell.
func TestReportedQueueLowersTheCap(t *testing.T) {
	s := testSettings()
	s.StartReported = false
	b := newHarness(t, s, ready(1, 0))
	b.d.learnLoadReport(b.d.workers[1], Report{FreeKnown: true, Free: 2, Outstanding: 0}, 0)
	b.d.learnLoadReport(b.d.workers[1], Report{FreeKnown: true, Free: 0, Outstanding: 4}, 4)
	if got := b.d.workers[1].slotLimit; got != 2 {
		t.Errorf("limit %v of a worker with two slots", got)
	}
}

// A job whose client has no patience left must not be sent over and over.
func TestNoPatienceIsAnsweredAtOnce(t *testing.T) {
	b := newHarness(t, testSettings(), ready(1, 0))
	out := b.feed(Event{Kind: JobArrived, Job: 1, Work: second, Slots: 1})
	b.want(out, Refuse, 1)
	b.want(out, Send, 0)
}

// Jobs far behind the head of the queue must still be answered in time.
func TestEveryQueuedJobIsAnsweredInTime(t *testing.T) {
	b := newHarness(t, testSettings()) // no worker at all
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
			t.Errorf("job %d was answered %d times", id, n)
		}
	}
	if len(answers) == 0 || len(b.d.jobs) != 0 || b.now-start != 9*second {
		t.Fatalf("%d answered, %d still owed", len(answers), len(b.d.jobs))
	}
}

// Rule 1: the time-out at the deadline is answered, once, and nothing follows.
func TestTimeOutAtTheDeadline(t *testing.T) {
	b := newHarness(t, testSettings(), ready(1, 0))
	sent := actionsOfKind(b.arrive(1, 2), Send)[0]
	b.now = sent.Deadline
	out := b.end(1, 0, TimedOut)
	b.want(out, Fail, 1)
	if late := b.now - (100*second + 8*second); late > 0 {
		t.Errorf("answered %v after the deadline", late)
	}
	b.want(b.end(1, 0, TimedOut), Fail, 0)
	b.want(b.feed(Event{Kind: ClientDisconnected, Job: 1}), Send, 0)
}

// Rule 1: whatever comes after the end of a job is ignored.
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
			t.Errorf("%+v led to %+v", e, out)
		}
	}
}

// Rule 2, for each effect: what may follow an attempt that may have run.
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
		{"safe goes elsewhere", 0, 0, Reset, 0, Send, 0},
		{"unsafe never goes again", 2, 0, Reset, 0, Fail, 0},
		{"unsafe may go again when it never ran", 2, 0, ConnectFailed, 0, Send, 0},
		{"keyed stays in its cell", 1, ScopeCell, Failed, 0, Send, 2},
		{"keyed stays in its zone", 1, ScopeZone, Failed, 0, Send, 3},
		{"keyed for all goes anywhere", 1, ScopeAll, Failed, 0, Send, 0},
		{"keyed not past its window", 1, ScopeCell, Failed, 5 * second, Fail, 0},
	} {
		s := testSettings()
		s.Classes[1].DedupScope = c.group
		s.ProgressInterval = 60 * second // no suspicion here
		b := newHarness(t, s, ready(1, 0))
		b.want(b.arrive(1, c.class), Send, 1)
		// Worker 2 shares the cell and 3 the zone; 4 shares neither.
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
			t.Errorf("%s: went to %d", c.name, actionsOfKind(out, Send)[0].Worker)
		}
	}
}

// Rule 2: a refusal says that trying again is harmless.
func TestRefusalOnlyWhereNothingRan(t *testing.T) {
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

// Rule 3: nothing to a worker that drains, is removed, or is missing in a full update.
func TestDrainsAreObserved(t *testing.T) {
	for name, update := range map[string]Event{
		"draining": {Kind: EndpointsUpdated, Workers: []WorkerEntry{{Worker: 1, Status: Draining}}},
		"removed":  {Kind: EndpointsUpdated, Workers: []WorkerEntry{{Worker: 1, Status: Removed}}},
		"left out": {Kind: EndpointsUpdated, Scope: UpdateFull, Workers: []WorkerEntry{ready(2, 0)}},
	} {
		b := newHarness(t, testSettings(), ready(1, 0), ready(2, 0))
		b.feed(update)
		for id := JobID(1); id < 40; id++ {
			for _, a := range actionsOfKind(b.arrive(id, 0), Send) {
				if a.Worker == 1 {
					t.Fatalf("%s: job %d was sent there", name, id)
				}
				b.feed(Event{Kind: AttemptReported, Job: id, Note: NoteStarted})
			}
		}
	}
}

// Rule 3, where the list must be polled: it is polled at the start, again
// when a poll fails, and again within the stated time when nothing answers.
func TestKeepsPollingForTheList(t *testing.T) {
	s := testSettings()
	s.PollEndpoints, s.PollInterval = true, 10*second
	d, _ := New(s, 3)
	b := &harness{t: t, d: d, now: second}
	b.want(b.feed(Event{Kind: Started}), WatchEndpoints, 1)
	b.feed(Event{Kind: EndpointsUpdated, Scope: UpdateCached, Workers: []WorkerEntry{ready(1, 0)}})
	if len(actionsOfKind(b.advance(s.PollInterval/2), WatchEndpoints)) == 0 {
		t.Error("a poll without an answer is not repeated")
	}
	for range 20 { // an outage
		b.feed(Event{Kind: EndpointsUpdated, Scope: UpdateFailed})
		if len(actionsOfKind(b.advance(s.PollInterval*2/5), WatchEndpoints)) == 0 {
			t.Fatal("a failed poll is not repeated")
		}
	}
	b.feed(Event{Kind: EndpointsUpdated, Scope: UpdateFull, Workers: []WorkerEntry{ready(1, 0)}})
	b.want(b.advance(s.PollInterval), WatchEndpoints, 0)
}

// Rule 4: what goes to a worker in slow start within any window stays under this
// dispatcher's budget, whether it is new, restarted, or back after failed
// connects before the list says so.
func TestSlowStartBudget(t *testing.T) {
	back := func(b *harness) {
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
		"back before the list says so": back,
	} {
		s := testSettings()
		s.OverloadWindow = 2 * second
		b := newHarness(t, s, ready(1, 0))
		b.now += 3 * second // past the time after a start of our own
		make(b)
		work := 0.0
		start := b.now
		// Speed is 1 and one slot is known: the whole budget of the first window.
		if !b.d.isSlowStartOwner(b.d.workers[1]) {
			t.Fatal("this dispatcher does not own worker 1 in slow start")
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
			t.Errorf("%s: sent %v of work, the budget is %v", name, work, budget)
		}
		if work == 0 && name != "back before the list says so" {
			t.Errorf("%s: nothing was sent at all", name)
		}
	}
}

// Rule 4: after a start of our own, what we sent before is unknown.
func TestSlowStartBudgetAfterOwnStart(t *testing.T) {
	b := newHarness(t, testSettings(), WorkerEntry{Worker: 1, Status: Ready, Started: 99 * second})
	b.want(b.arrive(1, 0), Send, 0)
	b.want(b.advance(3*second), Send, 1)
}

// A silent worker keeps its jobs from others only until it is suspected; jobs
// that may be repeated get a second attempt elsewhere, unsafe ones do not.
func TestSilentWorker(t *testing.T) {
	for class, copies := range []int{1, 1, 0} {
		s := testSettings()
		s.Classes[class].LatencyObjective = 5 * second
		b := newHarness(t, s, ready(1, 0))
		b.want(b.arrive(1, class), Send, 1)
		b.feed(Event{Kind: AttemptReported, Job: 1, Note: NoteStarted})
		b.feed(Event{Kind: EndpointsUpdated, Workers: []WorkerEntry{ready(2, 0), ready(3, 0)}})
		b.want(b.advance(2*second), Send, copies)
		w := b.d.workers[1]
		if !w.suspect {
			t.Fatal("a worker that is silent past its progress interval is not suspected")
		}
		b.feed(Event{Kind: AttemptReported, Job: 1, Note: NoteProgress, Value: 0.9})
		if w.suspect {
			t.Error("a sign of life does not heal the suspicion")
		}
	}
}

// A fault of the network, the list or the reports makes the whole fleet look
// unhealthy: no worker is ejected then.
func TestFalseAlarmDoesNotEmptyTheFleet(t *testing.T) {
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

// Quick errors empty a worker and would draw ever more work to it.
func TestQuickErrorsDoNotAttract(t *testing.T) {
	s := testSettings()
	s.ConnectTimeout = 0 // no other cost for its failures
	b := newHarness(t, s, ready(1, 0), ready(2, 0), ready(3, 0))
	b.d.workers[2].placementBias, b.d.workers[3].placementBias = 0.5, 0.5 // worker 1 comes first
	bad := 0
	for id := JobID(1); id <= 50; id++ {
		for _, a := range actionsOfKind(b.arrive(id, 2), Send) {
			o := OK
			if a.Worker == 1 {
				o, bad = Failed, bad+1
			}
			b.feed(Event{Kind: AttemptReported, Job: id, Note: NoteStarted})
			b.now += second / 100
			b.end(id, 0, o)
		}
	}
	if bad > 10 {
		t.Errorf("%d of 50 jobs went to the worker that fails them", bad)
	}
}

// Retries stay bounded when every attempt fails.
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
		t.Errorf("%d attempts for 400 jobs, at most %v", sent, limit)
	}
}

// Peers' gossip keeps two dispatchers from the same slot; old gossip is dropped.
func TestPeersCountAsTaken(t *testing.T) {
	s := testSettings()
	s.GossipAllowed = true
	b := newHarness(t, s, ready(7, 0))
	b.want(b.arrive(1, 0), SendGossip, 1)
	b.want(b.feed(Event{Kind: AttemptReported, Job: 1, Note: NoteStarted}), SendGossip, 0)
	b.feed(Event{Kind: GossipReceived, Peer: 1, Message: []byte{0, 0, 0, 0, 7, 3, 1}})
	b.now += waitReportBatches * s.Granularity
	b.feed(Event{Kind: TimerFired})
	if used, running := b.d.peerSlots(b.d.workers[7]); used != 3 || running != 2 {
		t.Fatalf("others have %v, of them running %v", used, running)
	}
	b.advance(60 * second)
	b.feed(Event{Kind: TimerFired})
	if used, _ := b.d.peerSlots(b.d.workers[7]); used != 0 {
		t.Errorf("gossip from a minute ago still counts %v slots", used)
	}
}

// A job may state any number of slots, or none. That used to break the module down: the
// count of a worker's slots in use was no number any more, or past an int.
func TestAnyCountOfSlots(t *testing.T) {
	for _, slots := range []float64{math.NaN(), math.Inf(1), math.Inf(-1), 1e30, -1, 0} {
		b := newHarness(t, testSettings(), ready(1, 0))
		for id, needs := range []float64{slots, 1} {
			arrived := Event{Kind: JobArrived, Job: JobID(id), Work: second / 5, Slots: needs,
				ClientTimeout: 6 * second}
			for _, a := range actionsOfKind(b.feed(arrived), Send) {
				b.feed(Event{Kind: AttemptReported, Job: a.Job, Worker: a.Worker, Note: NoteStarted})
				b.end(a.Job, 0, OK)
			}
		}
		if w := b.d.workers[1]; w.ownSlots != 0 {
			t.Errorf("after a job of %v slots and one of 1, a worker has %v in use", slots, w.ownSlots)
		}
	}
}

// The runs of a slow worker show how slow it is, which moves work away from it.
func TestSlowWorkerIsLearned(t *testing.T) {
	b := newHarness(t, testSettings(), ready(1, 0), ready(2, 0))
	for id := JobID(1); id <= 40; id += 2 {
		sent := append(actionsOfKind(b.arrive(id, 0), Send), actionsOfKind(b.arrive(id+1, 0), Send)...)
		for _, a := range sent {
			b.feed(Event{Kind: AttemptReported, Job: a.Job, Note: NoteStarted})
		}
		begun := b.now
		for _, on := range []WorkerID{2, 1} {
			b.now = begun + second/5
			if on == 1 {
				b.now = begun + second
			}
			for _, a := range sent {
				if a.Worker == on {
					b.end(a.Job, 0, OK)
				}
			}
		}
	}
	if slow, fast := b.d.speed(b.d.workers[1]), b.d.speed(b.d.workers[2]); slow > fast/1.5 {
		t.Errorf("speeds %v and %v", slow, fast)
	}
}

func TestQuantile(t *testing.T) {
	var q quantileWindow
	for i := 1; i <= quantileInterval; i++ {
		q.add(float64(i))
	}
	if want := math.Round(runTimeQuantile*(quantileInterval-1) + 1); q.value != want {
		t.Errorf("upper quartile of 1..%d: %v, want %v", quantileInterval, q.value, want)
	}
}

// The guards of send and finish hold by themselves, whatever calls them.
func TestGuards(t *testing.T) {
	for name, c := range map[string]struct {
		class int
		spoil func(b *harness, j *job, w *worker)
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
		"two in flight": {0, func(b *harness, j *job, w *worker) {
			b.d.settings.HedgingAllowed = false
			withAttemptInFlight(b, j, w)
		}},
		"unsafe and in flight": {2, withAttemptInFlight},
		"keyed past its time": {1, func(b *harness, j *job, w *worker) {
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
		fresh := func(id JobID) *job {
			return &job{id: id, class: c.class, deadline: b.now + 5*second, objective: b.now + second,
				work: second / 5, slots: 1}
		}
		j := fresh(1)
		w := b.d.workers[1]
		if b.d.actions = nil; !b.d.send(j, w) {
			t.Fatalf("%s: not sent to begin with", name)
		}
		j = fresh(2)
		c.spoil(b, j, w)
		if b.d.actions = nil; b.d.send(j, w) || len(b.d.actions) != 0 {
			t.Errorf("%s: sent all the same", name)
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

// withAttemptInFlight gives a job an attempt that is still in flight at an equal worker.
func withAttemptInFlight(b *harness, j *job, w *worker) {
	a := &attempt{job: j, worker: &worker{entry: w.entry}, sentAt: b.now, inFlight: true}
	j.attempts, j.inFlight = []*attempt{a}, 1
}

// withAttemptNotRun gives a job an attempt that provably never ran.
func withAttemptNotRun(b *harness, j *job, w *worker) {
	j.attempts = []*attempt{{job: j, worker: &worker{entry: w.entry}, sentAt: b.now}}
}

// A worker that could not be reached and then answers has started anew.
func TestBackBeforeTheListSaysSo(t *testing.T) {
	b := newHarness(t, testSettings(), ready(1, 0))
	b.now += 5 * second
	b.arrive(1, 0)
	b.end(1, 0, ConnectFailed)
	b.advance(second)
	b.end(1, 1, ConnectFailed)
	w := b.d.workers[1]
	if b.d.slowStartSince(w) == 0 {
		t.Fatal("a worker that could not be reached does not count as in slow start")
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
		t.Fatalf("unreachable %v, in slow start since %v two seconds after it came back", w.unreachable,
			b.d.slowStartSince(w))
	}
	b.advance(20 * second)
	if b.d.slowStartSince(w) != 0 {
		t.Error("still in slow start after the stated time")
	}
}

// Without hints the scale of work and speed is free; it once drifted until T_k
// passed the deadline and (4) could not fail.
func TestScaleWithoutHints(t *testing.T) {
	b := newHarness(t, testSettings(), ready(1, 0))
	w := b.d.workers[1]
	b.d.fleetEstimate = speedEstimate{work: 300 * second, time: 100 * second} // drifted to three
	w.speed = speedEstimate{work: 600 * second, time: 100 * second}
	if got := b.d.warmSpeed(w); math.Abs(got-2) > 0.1 {
		t.Errorf("a worker twice as fast as the fleet has speed %v", got)
	}
	for range 100 {
		b.d.classes[0].addWork(60 * second)
	}
	b.d.refreshAdmissionParameters()
	for k := range b.d.classes {
		if got := b.d.classes[k].waitTarget; got > b.d.settings.Classes[k].Deadline {
			t.Errorf("T_%d is %v, past the deadline", k, got)
		}
	}
}

// Half the fleet is cut off at once. Finding out costs many refused connects;
// they must not use up the retries, or jobs with time left would be answered.
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
		t.Fatalf("no further attempt after %d refused connects", failed)
	}
	if b.d.retryBudget > maxRetryBudget || b.d.retryBudget < 2 {
		t.Fatalf("retry budget %v, want that of the start", b.d.retryBudget)
	}
}

// Peers fill a worker: one of their jobs waits there. However many slots we
// assume, nothing more goes there until it runs.
func TestPeersJobThatWaitsKeepsOursAway(t *testing.T) {
	s := testSettings()
	s.GossipAllowed = true
	b := newHarness(t, s, ready(7, 0))
	w := b.d.workers[7]
	b.setSlots(7, 9)
	b.feed(Event{Kind: GossipReceived, Peer: 0, Message: []byte{0, 0, 0, 0, 7, 3, 0}})
	b.want(b.arrive(1, 0), Send, 1) // it may be on its way only
	b.feed(Event{Kind: AttemptReported, Job: 1, Attempt: 0, Note: NoteStarted})
	b.feed(Event{Kind: GossipReceived, Peer: 0, Message: []byte{0, 0, 0, 0, 7, 3, 1}})
	b.want(b.arrive(2, 0), Send, 0)
	b.want(b.feed(Event{Kind: GossipReceived, Peer: 0, Message: []byte{0, 0, 0, 0, 7, 3, 0}}), Send, 1)
	// Nothing is tried past the limit while a peer's job is on its way.
	b.feed(Event{Kind: AttemptReported, Job: 2, Attempt: 0, Note: NoteStarted})
	b.now += waitReportBatches * s.Granularity
	b.feed(Event{Kind: TimerFired})
	b.d.kindOf(w).capacityProbedAt = 1
	if !b.d.mayProbe(w) {
		t.Fatal("an old limit may not be passed")
	}
	b.feed(Event{Kind: GossipReceived, Peer: 0, Message: []byte{0, 0, 0, 0, 7, 4, 0}})
	if b.d.mayProbe(w) {
		t.Error("a probe past the limit while a peer's job has not begun")
	}
	// The gossip of a peer that has stopped must not keep the worker idle.
	b.advance(60 * second)
	b.feed(Event{Kind: TimerFired})
	if b.d.peerJobWaits(w) {
		t.Error("gossip from a minute ago keeps jobs away")
	}
}

// A retry storm is fed by advice to wait that is too short, and a job that could still be
// in time is lost by advice that is too long: clients are advised to hold off only
// where a retry now can earn nothing.
func TestAdviceToHoldOff(t *testing.T) {
	b := newHarness(t, testSettings(), ready(1, 0))
	refuse := func(objective Micros, over bool, level overloadLevel) Micros {
		b.d.level = level
		j := &job{id: 9, objective: b.now + objective, overQuota: over, work: second / 5}
		b.d.actions, b.d.cachedBestSpeed = nil, 0
		b.d.finish(j)
		return b.d.actions[0].Delay
	}
	// Late answers earn nothing, and its objective has passed.
	b.d.finish(&job{id: 8, class: 2, objective: b.now})
	b.want(b.d.actions, Refuse, 1)
	if b.d.actions[0].Delay != b.d.settings.MaxRetryAfter {
		t.Errorf("its objective has passed: advised to wait for %v", b.d.actions[0].Delay)
	}
	for _, c := range []struct {
		objective Micros
		over      bool
		level     overloadLevel
		hold      bool
	}{{second, false, 2, false}, {second, true, 1, true}, {second / 10, false, 1, true},
		{second / 10, false, 0, false}, {second, true, 0, false}} {
		if got := refuse(c.objective, c.over, c.level) > 0; got != c.hold {
			t.Errorf("objective in %v, over %v, level %d: advised to hold off: %v", c.objective, c.over, c.level, got)
		}
	}
}

// Rule 3, where a change counts as known MaxStaleness later, received or not: a dispatcher that
// receives nothing sends nothing, whatever its workers take and whatever list it began with.
func TestNothingGoesToAWorkerThatMayDrainWithoutOurKnowledge(t *testing.T) {
	for name, c := range map[string]struct {
		within Micros // MaxStaleness
		silent Micros // since the last update
		never  bool   // there was none: the list is the one of the start
		sent   int
	}{
		"a recent update":        {6 * second, 5 * second, false, 2},
		"an old one":             {6 * second, 7 * second, false, 0},
		"the one of the start":   {6 * second, 0, true, 0},
		"the same after a while": {6 * second, 5 * second, true, 0},
		"updates always arrive":  {0, 60 * second, false, 2},
		"from the start":         {0, 0, true, 2},
	} {
		t.Run(name, func(t *testing.T) {
			s := testSettings()
			s.PollEndpoints, s.PollInterval, s.MaxStaleness = true, 10*second, c.within
			d, _ := New(s, 3)
			b := &harness{t: t, d: d, now: 100 * second}
			b.feed(Event{Kind: Started})
			b.feed(Event{Kind: EndpointsUpdated, Scope: UpdateCached,
				Workers: []WorkerEntry{ready(1, 0), ready(2, 0), ready(3, 0)}})
			if !c.never {
				b.feed(Event{Kind: EndpointsUpdated})
				b.feed(Event{Kind: JobArrived, Job: 9, ClientTimeout: 60 * second, Slots: 1})
				b.feed(Event{Kind: AttemptReported, Job: 9, Note: NoteStarted}) // it may drain all the same
			}
			b.now += c.silent
			b.feed(Event{Kind: EndpointsUpdated, Scope: UpdateFailed})
			sent := append(actionsOfKind(b.arrive(1, 0), Send), actionsOfKind(b.arrive(2, 0), Send)...)
			if len(sent) != c.sent {
				t.Fatalf("%d jobs were sent, want %d", len(sent), c.sent)
			}
			b.feed(Event{Kind: EndpointsUpdated}) // nothing new
			if later := len(actionsOfKind(b.out, Send)); later != 2-c.sent {
				t.Errorf("%d jobs left once an update came", later)
			}
		})
	}
}

// An update that cannot be read may tell any worker to drain: nothing is sent until the next update.
// Drains that are known from elsewhere do not count as an update.
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
		t.Errorf("sent %+v, want one to worker 2", sent)
	}
	b.end(1, 0, OK)
	b.now += 5*second + 1 // an update is as old as it says
	b.want(b.arrive(2, 0), Send, 0)
}

// Some clients give up early, and bring less patience to their first try. It is not too late for
// that; only a retry has used up what is missing.
func TestFirstAttemptWithLittlePatienceIsNoRetry(t *testing.T) {
	for name, c := range map[string]struct{ many, marks, repeat, served bool }{
		"a first try":         {many: true, marks: true, served: true},
		"a retry":             {many: true, marks: true, repeat: true},
		"nobody can tell":     {many: true},
		"marked all the same": {many: true, repeat: true},
		"few dispatchers":     {marks: true},
	} {
		t.Run(name, func(t *testing.T) {
			s := testSettings()
			if s.RetriesMarked = c.marks; c.many {
				largeFleetWithoutGossipSettings(&s)
				s.Dispatchers = 80
			}
			b := newHarness(t, s, ready(1, 0))
			out := b.feed(Event{Kind: JobArrived, Job: 1, Class: 2, ClientTimeout: 2 * second,
				Retry: c.repeat, Slots: 1})
			if served := len(actionsOfKind(out, Send)) == 1; served != c.served {
				t.Errorf("served: %v, want %v", served, c.served)
			}
		})
	}
}
