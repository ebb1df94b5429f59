package dispatch

import "testing"

// One small test for each kind of failure that the module must stand though no event
// announces it. All act through events, as in service.

// A tenant sends several times its quota: it is the one that is refused.
func TestTenantBurst(t *testing.T) {
	b := newHarness(t, testSettings(), ready(1, 0), ready(2, 0))
	var live []Action
	arrivals, refused := [2]int{}, [2]int{}
	for id := JobID(1); id <= 4000; id++ {
		tenant := 0
		if id%10 == 0 {
			tenant = 1 // 10 jobs a second, its quota at this dispatcher; the other sends 90
		}
		arrivals[tenant]++
		actions := b.feed(Event{Kind: JobArrived, Job: id, Tenant: tenant, Work: second / 20, Slots: 1,
			ClientTimeout: 6 * second})
		for _, a := range actionsOfKind(actions, Refuse) {
			refused[min(1, int(a.Job+9)%10/9)]++
		}
		for _, a := range actionsOfKind(actions, Send) {
			b.feed(Event{Kind: AttemptReported, Job: a.Job, Attempt: a.Attempt, Note: NoteStarted})
			live = append(live, a)
		}
		b.now += second / 100
		if len(live) > 0 && id%3 == 0 { // 33 jobs a second are served
			ended := b.end(live[0].Job, live[0].Attempt, OK)
			live = append(live[1:], actionsOfKind(ended, Send)...)
			for _, a := range actionsOfKind(ended, Refuse) {
				refused[min(1, int(a.Job+9)%10/9)]++
			}
		}
	}
	loud, moderate := float64(refused[0])/float64(arrivals[0]), float64(refused[1])/float64(arrivals[1])
	if loud < 0.3 || moderate > loud/2 {
		t.Errorf("refused of the loud tenant %.2f, of the calm one %.2f", loud, moderate)
	}
}

// Clients retry: a retry counts from its first try, so it neither gets a new
// objective nor takes a slot for an answer that earns nothing.
func TestRetriesOfHopelessJobsTakeNoSlot(t *testing.T) {
	s := testSettings()
	s.Classes[0].LateWeight = 0
	b := newHarness(t, s, ready(1, 0))
	actions := b.feed(Event{Kind: JobArrived, Job: 1, Work: second / 5, Slots: 1, ClientTimeout: 3 * second})
	b.want(actions, Send, 0)
	b.want(actions, Refuse, 1)
	b.want(b.arrive(2, 0), Send, 1)
}

// Workers stand still for some tenths of a second: none is suspected for it.
func TestPausesAreNoSilence(t *testing.T) {
	b := newHarness(t, testSettings(), ready(1, 0), ready(2, 0))
	for id := JobID(1); id <= 20; id++ {
		sent := actionsOfKind(b.arrive(id, 0), Send)
		b.feed(Event{Kind: AttemptReported, Job: id, Note: NoteStarted})
		b.want(b.advance(6*second/10), Send, 0) // no second attempt
		if w := b.d.workers[sent[0].Worker]; w.suspect || b.now < w.ejectedUntil {
			t.Fatal("a pause made a worker suspect")
		}
		b.end(id, 0, OK)
	}
}

// The fleet shrinks under load: the rest is not flooded, nothing goes to
// what drains, and each job gets its one answer.
func TestFleetShrinksUnderLoad(t *testing.T) {
	var workers []WorkerEntry
	for i := range 6 {
		workers = append(workers, ready(WorkerID(i+1), 0))
	}
	b := newHarness(t, testSettings(), workers...)
	answers, out := map[JobID]int{}, map[WorkerID]int{}
	count := func(actions []Action) {
		for _, a := range actions {
			switch a.Kind {
			case Refuse, Fail:
				answers[a.Job]++
			case Send:
				if out[a.Worker]++; b.d.workers[a.Worker].entry.Status != Ready {
					t.Fatalf("job %d sent to worker %d, which drains", a.Job, a.Worker)
				}
			}
		}
	}
	before := b.d.serviceTimePerJob()
	for id := JobID(1); id <= 200; id++ {
		if id%20 == 0 && id <= 100 {
			removed := workers[id/20-1]
			removed.Status = Draining
			count(b.feed(Event{Kind: EndpointsUpdated, Workers: []WorkerEntry{removed}}))
		}
		count(b.arrive(id, int(id)%3))
		count(b.advance(second / 20))
	}
	if b.d.slotTimes.value = second / 5; b.d.serviceTimePerJob() < before {
		t.Error("fewer workers, but a job is thought to be cleared sooner")
	}
	count(b.advance(10 * second))
	for id := JobID(1); id <= 200; id++ {
		j, open := b.d.jobs[id]
		if answers[id] > 1 || answers[id] == 0 && (!open || j.inFlight == 0) {
			t.Fatalf("job %d has %d answers", id, answers[id])
		}
	}
	for w, n := range out {
		if n > 12 {
			t.Errorf("worker %d got %d jobs and ended none", w, n)
		}
	}
}

// A worker takes connections from others but not from us: their gossip does not
// prove our path. We try it rarely, and use it when the path is back.
func TestRefusesOnlyUs(t *testing.T) {
	s := testSettings()
	s.GossipAllowed = true
	b := newHarness(t, s, ready(1, 0), ready(2, 0), ready(3, 0))
	b.setSlotLimits(3)
	b.d.workers[2].placementBias, b.d.workers[3].placementBias = 1, 1 // worker 1 comes first
	refused, id := 0, JobID(0)
	for range 100 {
		id++
		b.feed(Event{Kind: GossipReceived, Peer: 0, Message: []byte{0, 0, 0, 0, 1, byte(1 + id%2), 0}})
		sent := actionsOfKind(b.arrive(id, 0), Send)
		for len(sent) == 1 && sent[0].Worker == 1 {
			refused++
			sent = actionsOfKind(b.end(id, sent[0].Attempt, ConnectFailed), Send)
		}
		if len(sent) == 1 {
			b.runAttempt(sent[0], second/10)
		}
	}
	if refused == 0 || refused > 10 {
		t.Errorf("%d tries in ten seconds", refused)
	}
	b.advance(10 * second) // the peer's gossip is old
	for range 20 {
		id++
		b.advance(second)
		b.setSlots(1, 1)
		b.d.workers[2].ownSlots, b.d.workers[3].ownSlots = 1, 1 // busy
		if sent := actionsOfKind(b.arrive(id, 0), Send); len(sent) == 1 {
			b.runAttempt(sent[0], second/10)
		}
	}
	if w := b.d.workers[1]; w.unreachable || w.consecutiveFailures > 0 {
		t.Error("the worker is not used again after its path came back")
	}
}

// Others fill a worker and do not report it: each AtCapacity sends the job on and keeps
// ours away for a moment, and the limit grows again when they have ended.
func TestFilledByOthersUnseen(t *testing.T) {
	s := testSettings()
	s.MaxAttempts = 6
	b := newHarness(t, s, ready(1, 0), ready(2, 0))
	b.setSlotLimits(3)
	b.d.slotTimes.value = second / 5
	first := actionsOfKind(b.arrive(1, 0), Send)[0]
	next := actionsOfKind(b.end(1, 0, AtCapacity), Send)
	if len(next) != 1 || next[0].Worker == first.Worker {
		t.Fatalf("after AtCapacity from worker %d: %+v", first.Worker, next)
	}
	if w := b.d.workers[first.Worker]; w.slotLimit != 1 || b.d.usable(w) {
		t.Fatalf("limit %v, usable %v right after AtCapacity", w.slotLimit, b.d.usable(w))
	}
	b.runAttempt(next[0], second/5)
	b.advance(4 * second)
	b.feed(Event{Kind: TimerFired})
	if w := b.d.workers[first.Worker]; !b.d.usable(w) || !b.d.mayProbe(w) {
		t.Error("a worker that was full once is never tried again")
	}
}

// Reports are frozen: one worker's always promises free slots though it is full,
// another's never does though it serves. Neither floods nor starves it.
func TestFrozenReports(t *testing.T) {
	s := testSettings()
	s.StartReported, s.LoadReports = false, true
	b := newHarness(t, s, ready(1, 0), ready(2, 0))
	id, full, served := JobID(0), 0, 0
	for range 50 {
		id++
		for sent := actionsOfKind(b.arrive(id, 0), Send); len(sent) == 1; {
			e := Event{Kind: AttemptEnded, Job: id, Attempt: sent[0].Attempt, Outcome: AtCapacity}
			if e.Report = (Report{FreeKnown: true, Free: 5}); sent[0].Worker == 2 {
				served++
				b.now += second / 10
				e.Outcome, e.Final, e.Report = OK, true, Report{FreeKnown: true, Outstanding: 4}
			} else {
				full++
			}
			sent = actionsOfKind(b.feed(e), Send)
		}
		b.advance(second / 10)
	}
	if served < 10 {
		t.Errorf("the worker that serves got %d of 50 jobs: its report starves it", served)
	}
	if full > 100 {
		t.Errorf("%d jobs went to the worker that only promises", full)
	}
}

// The list and the attempts contradict each other. Removed, but its attempts answer:
// they count, and nothing new goes there. Ready, but no connect: ejected.
func TestListAgainstAttempts(t *testing.T) {
	b := newHarness(t, testSettings(), ready(1, 0))
	sent := actionsOfKind(b.arrive(1, 0), Send)
	removed := ready(1, 0)
	removed.Status = Removed
	b.feed(Event{Kind: EndpointsUpdated, Workers: []WorkerEntry{removed}})
	b.runAttempt(sent[0], second/10)
	if _, open := b.d.jobs[1]; open {
		t.Error("the answer of a worker that was removed from the list was not taken")
	}
	b.want(b.arrive(2, 0), Send, 0)
	b.feed(Event{Kind: EndpointsUpdated, Workers: []WorkerEntry{ready(2, 0), ready(3, 0), ready(4, 0)}})
	attempts := actionsOfKind(b.out, Send)
	if len(attempts) != 1 {
		t.Fatalf("job 2 still waits: %+v", b.out)
	}
	b.end(2, 0, ConnectFailed)
	if w := b.d.workers[attempts[0].Worker]; b.d.usable(w) {
		t.Error("a listed worker without a connection still counts as ready")
	}
}

// A noisy neighbour takes most of a worker for a while: it loses work meanwhile
// and has it back afterwards.
func TestNeighbourComesAndGoes(t *testing.T) {
	b := newHarness(t, testSettings(), ready(1, 0), ready(2, 0), ready(3, 0))
	id := JobID(0)
	serve := func(n int, slow Micros) {
		for range n {
			id++
			sent := actionsOfKind(b.arrive(id, 0), Send)[0]
			span := Micros(second / 5)
			if sent.Worker == 1 {
				span = slow
			}
			b.runAttempt(sent, span)
			b.advance(second)
		}
	}
	serve(60, second/5)
	w := b.d.workers[1]
	before := b.d.speed(w)
	serve(60, second)
	during := b.d.speed(w)
	// Other workers are busy, so it is tried now and then.
	for range 40 {
		id++
		b.d.workers[2].slotLimit, b.d.workers[2].ownSlots, b.d.workers[2].slotLimitAt = 1, 1, b.now
		b.d.workers[3].slotLimit, b.d.workers[3].ownSlots, b.d.workers[3].slotLimitAt = 1, 1, b.now
		if sent := actionsOfKind(b.arrive(id, 0), Send); len(sent) == 1 {
			b.runAttempt(sent[0], second/5)
		}
	}
	if after := b.d.speed(w); during > 0.8*before || after < 0.8*before {
		t.Errorf("speed before, with and after the neighbour: %.2f, %.2f, %.2f", before, during, after)
	}
}

// A dispatcher restarts among workers that have jobs of its last incarnation: reports
// of those are not its own, and peers without gossip take nothing away.
func TestRestartedAmongStrangers(t *testing.T) {
	s := testSettings()
	s.GossipAllowed = true
	b := newHarness(t, s, ready(1, 0))
	for _, e := range []Event{
		{Kind: AttemptEnded, Job: 77, Attempt: 0, Worker: 1, Outcome: OK, Final: true},
		{Kind: AttemptReported, Job: 77, Attempt: 3, Worker: 1, Note: NoteStarted},
		{Kind: StreamStarted, Job: 77, Worker: 9}, {Kind: ClientDisconnected, Job: 77},
		{Kind: TimerFired, Token: 1 << 40},
		{Kind: GossipReceived, Peer: -1, Message: []byte{0, 0, 0, 0, 1, 9, 9}},
		{Kind: GossipReceived, Peer: 99, Message: []byte{0, 0, 0, 0, 1, 9, 9}},
		{Kind: GossipReceived, Peer: 0, Message: []byte{1, 2}},
	} {
		actions := b.feed(e)
		b.want(actions, Send, 0)
		b.want(actions, Fail, 0)
	}
	b.want(b.arrive(1, 0), Send, 1)
}

// Many dispatchers fill one worker: each probes past its limit in turn, not all in
// the same run time.
func TestProbesPastTheLimitAreShared(t *testing.T) {
	pause := func(dispatchers int) (steps int) {
		s := testSettings()
		s.Dispatchers = dispatchers
		b := newHarness(t, s, ready(1, 0))
		w := b.d.workers[1]
		for w.slotLimitAt = b.now; !b.d.mayProbe(w); steps++ {
			b.advance(second / 4)
			b.feed(Event{Kind: TimerFired})
		}
		return steps
	}
	if one, two, ten := pause(1), pause(2), pause(10); one != two || ten < 4*two {
		t.Errorf("quarter seconds before a probe with 1, 2 and 10 dispatchers: %d, %d, %d", one, two, ten)
	}
}

// A fleet is enlarged under load: its new workers are in slow start and too slow for most
// objectives. Where late answers earn they still take what the full ones cannot.
func TestNewWorkersDoNotStandIdle(t *testing.T) {
	for _, late := range []float64{0, 0.5} {
		s := testSettings()
		s.Dispatchers, s.Index = 1, 0
		s.Classes[0].LateWeight, s.Classes[0].LatencyObjective = late, second/4
		b := newHarness(t, s, ready(1, 0))
		b.advance(2 * s.OverloadWindow) // our own start is long past
		b.setSlotLimits(1)
		b.want(b.arrive(1, 0), Send, 1)
		b.feed(Event{Kind: AttemptReported, Job: 1, Note: NoteStarted})
		b.setSlots(1, 1)
		b.advance(second / 20)
		b.feed(Event{Kind: EndpointsUpdated, Workers: []WorkerEntry{
			{Worker: 2, Status: Ready, Started: b.now - second/10}}})
		want := 0
		if late > 0 {
			want = 1
		}
		b.want(b.arrive(2, 0), Send, want)
	}
}

// Gossip is late, so now and then more jobs seem to run at a worker than it
// has slots. One job in ten that begins there must not raise its capacity: the
// nine that waited count. A worker of its own kind is distinguished from the others.
func TestStaleGossipDoesNotRaiseCapacity(t *testing.T) {
	s := testSettings()
	b := newHarness(t, s, ready(1, 0), ready(2, 0), WorkerEntry{Worker: 3, Status: Ready, Kind: 1})
	w := b.d.workers[1]
	for i := range 100 {
		b.d.recordStartPromptness(&attempt{worker: w, slotsAtSend: float64(1 + i%4)}, true)
		b.d.recordStartPromptness(&attempt{worker: w, slotsAtSend: 5}, i%10 == 0)
	}
	if got := b.d.capacity(w); got != 4 {
		t.Errorf("capacity %v, want 4", got)
	}
	if got := b.d.capacity(b.d.workers[2]); got != 4 {
		t.Errorf("capacity of another one of the kind %v, want 4", got)
	}
	if got := b.d.capacity(b.d.workers[3]); got != 1 {
		t.Errorf("capacity of another kind %v, want 1", got)
	}
	for range 10 { // one of the kind has fewer slots than the others
		b.d.recordStartPromptness(&attempt{worker: b.d.workers[2], slotsAtSend: 3}, false)
		b.d.recordStartPromptness(&attempt{worker: b.d.workers[2], slotsAtSend: 4}, false)
	}
	if got := b.d.capacity(b.d.workers[2]); got != 2 {
		t.Errorf("capacity of the small one %v, want 2", got)
	}
}

// A dispatcher that sends from another zone is sent gossip, else it takes every
// worker for free; one that never did is not, where dispatchers are many.
func TestDispatchersThatCrossZonesReceiveGossip(t *testing.T) {
	s := testSettings()
	s.GossipAllowed, s.Dispatchers, s.Index = true, 40, 0
	b := newHarness(t, s, ready(1, 0))
	w := b.d.workers[1]
	b.d.ringCoverage = 0.5
	b.d.neighbours = b.d.neighbours[:0]
	for p := range s.Dispatchers {
		b.d.neighbours = append(b.d.neighbours, p)
	}
	visitor, other := -1, -1
	for p := 1; p < s.Dispatchers; p++ {
		if b.d.covers(dispatcherRingPosition(p), w) && visitor < 0 {
			visitor = p
		} else if b.d.covers(dispatcherRingPosition(p), w) {
			other = p
		}
		b.d.peers[p].zone = 1
	}
	receivers := func() (n map[int]bool) {
		n = map[int]bool{}
		b.d.actions = nil
		b.d.multicast(w, nil)
		for _, a := range b.d.actions {
			n[a.Peer] = true
		}
		return n
	}
	if got := receivers(); len(got) > 0 {
		t.Fatalf("gossip to: %v", got)
	}
	b.feed(Event{Kind: GossipReceived, Peer: visitor, Message: []byte{1, 0, 0, 0, 1, 1, 0}})
	if got := receivers(); !got[visitor] || got[other] {
		t.Errorf("visitor %d, other %d, gossip to: %v", visitor, other, got)
	}
}

// A small tenant's quota, split over many dispatchers, is less than a job in some
// seconds: two jobs that meet at one dispatcher are still within it, a third is not.
func TestSmallQuotaOverManyDispatchers(t *testing.T) {
	s := testSettings()
	s.Dispatchers, s.Tenants[1].Quota = 10, 1
	b := newHarness(t, s, ready(1, 0))
	for i, want := range []bool{false, false, true} {
		if got := b.d.exceedsQuota(1, false); got != want {
			t.Errorf("job %d over the quota: %v", i+1, got)
		}
	}
}

// Hints are rough: while the fleet is not overloaded, a job whose expected run no
// longer fits its objective is still tried if nothing more urgent waits, until the
// objective itself has passed.
func TestRoughHintsDoNotRefuseWithoutOverload(t *testing.T) {
	s := testSettings()
	s.Classes[0].LateWeight = 0
	b := newHarness(t, s, ready(1, 0))
	late := Event{Kind: JobArrived, Job: 1, Work: second, Slots: 1,
		ClientTimeout: 7 * second / 2} // objective in half a second
	b.want(b.feed(late), Send, 1)
	b = newHarness(t, s, ready(1, 0))
	b.d.level = 1
	b.want(b.feed(late), Refuse, 1)
	late.ClientTimeout = 2 * second // objective passed
	b = newHarness(t, s, ready(1, 0))
	b.want(b.feed(late), Refuse, 1)
}

// A worker that fails some of its jobs, not all in a row: jobs that must not run twice
// wait for another one, the rest still go there. When most workers fail jobs, none is avoided.
func TestUnsafeJobsAvoidWorkersThatErr(t *testing.T) {
	const safe, unsafe = 0, 2
	for name, c := range map[string]struct {
		errs  []WorkerID
		class int
		sent  int
	}{
		"nobody errs":          {nil, unsafe, 3},
		"unsafe, one errs":     {[]WorkerID{1}, unsafe, 2},
		"repeatable, one errs": {[]WorkerID{1}, safe, 3},
		"unsafe, most err":     {[]WorkerID{1, 2}, unsafe, 3},
	} {
		t.Run(name, func(t *testing.T) {
			b := newHarness(t, testSettings(), ready(1, 0), ready(2, 0), ready(3, 0))
			b.setSlots(1, 1)
			for _, w := range c.errs {
				j := &job{id: 90 + JobID(w), class: unsafe, slots: 1, deadline: b.now + second}
				b.d.jobs[j.id] = j
				b.d.send(j, b.d.workers[w])
				b.end(j.id, 0, Failed)
			}
			sent := 0
			for id := JobID(1); id <= 3; id++ {
				for _, a := range actionsOfKind(b.arrive(id, c.class), Send) {
					b.feed(Event{Kind: AttemptReported, Job: a.Job, Attempt: a.Attempt, Note: NoteStarted})
					sent++
				}
			}
			if sent != c.sent {
				t.Errorf("%d sent, want %d", sent, c.sent)
			}
			b.now += 10 * second
			b.feed(Event{Kind: TimerFired})
			if b.d.failsJobs(b.d.workers[1]) {
				t.Error("the errors do not fade")
			}
		})
	}
}

// A connection is reset now and then, on its way up or under a job: that is an accident
// of the network. It must not cost the fleet a worker, nor put it into slow start, which
// keeps it out for as long as a real start would. Several in a row do count.
func TestSingleResetsDoNotEject(t *testing.T) {
	for name, c := range map[string]struct {
		outcomes     []Outcome
		usable, warm bool
	}{
		"one reset":          {[]Outcome{Reset}, true, true},
		"resets in a row":    {[]Outcome{Reset, Reset, Reset}, false, true},
		"one failed connect": {[]Outcome{ConnectFailed}, false, true},
		"failed connects":    {[]Outcome{ConnectFailed, ConnectFailed}, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			b := newHarness(t, testSettings(), ready(1, 0))
			w := b.d.workers[1]
			for i, o := range c.outcomes {
				b.advance(second)
				id := JobID(1 + i)
				if sent := actionsOfKind(b.arrive(id, 2), Send); len(sent) != 1 {
					t.Fatalf("outcome %d: not tried again", i)
				}
				b.end(id, 0, o)
				b.feed(Event{Kind: ClientDisconnected, Job: id})
			}
			if got := b.d.usable(w); got != c.usable {
				t.Errorf("usable %v", got)
			}
			if got := b.d.slowStartSince(w) == 0; got != c.warm {
				t.Errorf("warm %v", got)
			}
		})
	}
}
