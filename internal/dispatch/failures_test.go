package dispatch

import "testing"

// This file has a test for each kind of failure that the dispatcher must handle although no event reports the
// failure itself. Most tests act only through events, as in production.

// A tenant that sends several times its quota is refused much more often than a tenant within its quota.
func TestTenantBurst(t *testing.T) {
	b := newHarness(t, testSettings(), ready(1, 0), ready(2, 0))
	var inFlight []Action
	arrivals, refused := [2]int{}, [2]int{}
	for id := JobID(1); id <= 4000; id++ {
		tenant := 0
		if id%10 == 0 {
			tenant = 1 // tenant 1 sends 10 jobs a second, its quota at this dispatcher; tenant 0 sends 90
		}
		arrivals[tenant]++
		actions := b.feed(Event{Kind: JobArrived, Job: id, Tenant: tenant, Work: second / 20, Slots: 1,
			ClientTimeout: 6 * second})
		for _, a := range actionsOfKind(actions, Refuse) {
			refused[min(1, int(a.Job+9)%10/9)]++
		}
		for _, a := range actionsOfKind(actions, Send) {
			b.feed(Event{Kind: AttemptReported, Job: a.Job, Attempt: a.Attempt, Note: NoteStarted})
			inFlight = append(inFlight, a)
		}
		b.now += second / 100
		if len(inFlight) > 0 && id%3 == 0 { // the fleet serves 33 jobs a second
			ended := b.end(inFlight[0].Job, inFlight[0].Attempt, OK)
			inFlight = append(inFlight[1:], actionsOfKind(ended, Send)...)
			for _, a := range actionsOfKind(ended, Refuse) {
				refused[min(1, int(a.Job+9)%10/9)]++
			}
		}
	}
	overQuota, withinQuota := float64(refused[0])/float64(arrivals[0]), float64(refused[1])/float64(arrivals[1])
	if overQuota < 0.3 || withinQuota > overQuota/2 {
		t.Errorf(
			"refused fraction: got %.2f over and %.2f within quota, want at least 0.3, and at most half of the first",
			overQuota, withinQuota)
	}
}

// The objective of a retry counts from the first try of the client. A retry that is past its objective, and
// whose late answer has no value, is refused and takes no slot.
func TestRetriesOfHopelessJobsTakeNoSlot(t *testing.T) {
	s := testSettings()
	s.Classes[0].LateWeight = 0
	b := newHarness(t, s, ready(1, 0))
	actions := b.feed(Event{Kind: JobArrived, Job: 1, Work: second / 5, Slots: 1, ClientTimeout: 3 * second})
	b.want(actions, Send, 0)
	b.want(actions, Refuse, 1)
	b.want(b.arrive(2, 0), Send, 1)
}

// A worker that reports nothing for 0.6 s does not become suspect.
func TestShortPausesDoNotMakeAWorkerSuspect(t *testing.T) {
	b := newHarness(t, testSettings(), ready(1, 0), ready(2, 0))
	for id := JobID(1); id <= 20; id++ {
		sent := actionsOfKind(b.arrive(id, 0), Send)
		b.feed(Event{Kind: AttemptReported, Job: id, Note: NoteStarted})
		b.want(b.advance(6*second/10), Send, 0) // a suspect worker would cause a second attempt
		if w := b.d.workers[sent[0].Worker]; w.suspect || b.now < w.ejectedUntil {
			t.Fatal("after 0.6 s without a report: got a worker suspect or ejected, want neither")
		}
		b.end(id, 0, OK)
	}
}

// The fleet shrinks under load. Nothing is sent to the draining workers, no worker gets more than 12 jobs, as
// no job ends, and each job gets at most one answer.
func TestFleetShrinksUnderLoad(t *testing.T) {
	var workers []WorkerEntry
	for i := range 6 {
		workers = append(workers, ready(WorkerID(i+1), 0))
	}
	b := newHarness(t, testSettings(), workers...)
	answers, sentTo := map[JobID]int{}, map[WorkerID]int{}
	count := func(actions []Action) {
		for _, a := range actions {
			switch a.Kind {
			case Refuse, Fail:
				answers[a.Job]++
			case Send:
				if sentTo[a.Worker]++; b.d.workers[a.Worker].entry.Status != Ready {
					t.Fatalf("got job %d sent to worker %d, which drains, want no such send", a.Job, a.Worker)
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
		t.Error("5 of 6 workers drain: got a shorter service time per job than before, want no shorter one")
	}
	count(b.advance(10 * second))
	for id := JobID(1); id <= 200; id++ {
		j, open := b.d.jobs[id]
		if answers[id] > 1 || answers[id] == 0 && (!open || j.inFlight == 0) {
			t.Fatalf("job %d: got %d answers, want one, or none while an attempt is in flight", id, answers[id])
		}
	}
	for w, n := range sentTo {
		if n > 12 {
			t.Errorf("worker %d: got %d jobs sent there, none of which ended, want at most 12", w, n)
		}
	}
}

// A worker accepts connections from peers (other dispatchers), but not from this dispatcher. The gossip of
// the peers does not prove that this dispatcher can reach the worker. The dispatcher therefore seldom sends
// to the worker, and uses the worker normally again once connections succeed.
func TestWorkerUnreachableFromThisDispatcherOnly(t *testing.T) {
	s := testSettings()
	s.GossipAllowed = true
	b := newHarness(t, s, ready(1, 0), ready(2, 0), ready(3, 0))
	b.setSlotLimits(3)
	b.d.workers[2].placementBias, b.d.workers[3].placementBias = 1, 1 // the bias makes worker 1 preferred
	failedConnects, id := 0, JobID(0)
	for range 100 {
		id++
		b.feed(Event{Kind: GossipReceived, Peer: 0, Message: []byte{0, 0, 0, 0, 1, byte(1 + id%2), 0}})
		sent := actionsOfKind(b.arrive(id, 0), Send)
		for len(sent) == 1 && sent[0].Worker == 1 {
			failedConnects++
			sent = actionsOfKind(b.end(id, sent[0].Attempt, ConnectFailed), Send)
		}
		if len(sent) == 1 {
			b.runAttempt(sent[0], second/10)
		}
	}
	if failedConnects == 0 || failedConnects > 10 {
		t.Errorf("got %d attempts at the unreachable worker in 10 s, want 1 to 10", failedConnects)
	}
	b.advance(10 * second) // the peer's gossip is too old to count by now
	for range 20 {
		id++
		b.advance(second)
		b.setSlots(1, 1)
		b.d.workers[2].ownSlots, b.d.workers[3].ownSlots = 1, 1 // workers 2 and 3 are busy
		if sent := actionsOfKind(b.arrive(id, 0), Send); len(sent) == 1 {
			b.runAttempt(sent[0], second/10)
		}
	}
	if w := b.d.workers[1]; w.unreachable || w.consecutiveFailures > 0 {
		t.Error("20 s after connections succeed again: got worker 1 unreachable or failing, want neither")
	}
}

// Other dispatchers fill a worker without reporting their jobs. Each attempt that ends with AtCapacity moves
// the job to another worker and blocks the full worker for a short time. Later the dispatcher may send one
// job more than the lowered slot limit to that worker, as a probe.
func TestWorkerFilledByUnreportedJobs(t *testing.T) {
	s := testSettings()
	s.MaxAttempts = 6
	b := newHarness(t, s, ready(1, 0), ready(2, 0))
	b.setSlotLimits(3)
	b.d.slotTimes.value = second / 5
	first := actionsOfKind(b.arrive(1, 0), Send)[0]
	next := actionsOfKind(b.end(1, 0, AtCapacity), Send)
	if len(next) != 1 || next[0].Worker == first.Worker {
		t.Fatalf("after AtCapacity from worker %d: got sends %+v, want one send to another worker",
			first.Worker, next)
	}
	if w := b.d.workers[first.Worker]; w.slotLimit != 1 || b.d.usable(w) {
		t.Fatalf("right after AtCapacity: got slot limit %v and usable = %v, want 1 and false",
			w.slotLimit, b.d.usable(w))
	}
	b.runAttempt(next[0], second/5)
	b.advance(4 * second)
	b.feed(Event{Kind: TimerFired})
	if w := b.d.workers[first.Worker]; !b.d.usable(w) || !b.d.mayProbe(w) {
		t.Error("4 s after AtCapacity: got the worker unusable or no job beyond its slot limit allowed, want both")
	}
}

// The load reports of two workers never change. One worker always reports free slots though it is full, and
// the other never reports free slots though it serves jobs. The first worker must not get most of the
// attempts, and the second must still get jobs.
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
		t.Errorf("got %d of 50 jobs at the worker that serves but reports no free slots, want at least 10", served)
	}
	if full > 100 {
		t.Errorf("got %d attempts at the worker that is full but reports free slots, want at most 100", full)
	}
}

// The worker list and the outcomes of attempts contradict each other. An answer of a removed worker counts,
// but the worker gets no new job. A worker that is listed as ready but refuses connections is ejected.
func TestListAndAttemptsContradictEachOther(t *testing.T) {
	b := newHarness(t, testSettings(), ready(1, 0))
	sent := actionsOfKind(b.arrive(1, 0), Send)
	removed := ready(1, 0)
	removed.Status = Removed
	b.feed(Event{Kind: EndpointsUpdated, Workers: []WorkerEntry{removed}})
	b.runAttempt(sent[0], second/10)
	if _, open := b.d.jobs[1]; open {
		t.Error("job 1 after the answer of a removed worker: got an open job, want a finished one")
	}
	b.want(b.arrive(2, 0), Send, 0)
	b.feed(Event{Kind: EndpointsUpdated, Workers: []WorkerEntry{ready(2, 0), ready(3, 0), ready(4, 0)}})
	attempts := actionsOfKind(b.out, Send)
	if len(attempts) != 1 {
		t.Fatalf("new workers are listed: got actions %+v, want one send of job 2", b.out)
	}
	b.end(2, 0, ConnectFailed)
	if w := b.d.workers[attempts[0].Worker]; b.d.usable(w) {
		t.Error("listed worker after a failed connect: got usable, want ejected")
	}
}

// A noisy neighbour (other load on a worker's machine) takes most of the worker's capacity for a while. The
// speed that the dispatcher has learned for the worker falls meanwhile, and recovers afterwards.
func TestSpeedRecoversAfterANoisyNeighbour(t *testing.T) {
	b := newHarness(t, testSettings(), ready(1, 0), ready(2, 0), ready(3, 0))
	id := JobID(0)
	serve := func(n int, runTime Micros) {
		for range n {
			id++
			sent := actionsOfKind(b.arrive(id, 0), Send)[0]
			duration := Micros(second / 5)
			if sent.Worker == 1 {
				duration = runTime
			}
			b.runAttempt(sent, duration)
			b.advance(second)
		}
	}
	serve(60, second/5)
	w := b.d.workers[1]
	before := b.d.speed(w)
	serve(60, second)
	during := b.d.speed(w)
	// The other workers are full, so worker 1 gets jobs, from whose run times the dispatcher learns its speed.
	for range 40 {
		id++
		b.d.workers[2].slotLimit, b.d.workers[2].ownSlots, b.d.workers[2].slotLimitAt = 1, 1, b.now
		b.d.workers[3].slotLimit, b.d.workers[3].ownSlots, b.d.workers[3].slotLimitAt = 1, 1, b.now
		if sent := actionsOfKind(b.arrive(id, 0), Send); len(sent) == 1 {
			b.runAttempt(sent[0], second/5)
		}
	}
	if after := b.d.speed(w); during > 0.8*before || after < 0.8*before {
		t.Errorf(
			"got speed %.2f before, %.2f with, %.2f after the neighbour, want under 0.8 of the first, then over 0.8",
			before, during, after)
	}
}

// A dispatcher restarts while workers run jobs of its earlier incarnation. Reports of those jobs, and gossip
// that is invalid or from unknown dispatchers, cause no send and no answer of failure, and do not keep the
// worker from getting a job.
func TestEventsOfAnEarlierIncarnationAreIgnored(t *testing.T) {
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

// Dispatchers that share a worker probe the worker with jobs beyond its known capacity in turn, not all
// within the same run time. So the pause between the probes of one dispatcher grows with the number of
// dispatchers.
func TestProbePauseGrowsWithTheDispatchers(t *testing.T) {
	stepsToProbe := func(dispatchers int) (steps int) {
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
	if one, two, ten := stepsToProbe(1), stepsToProbe(2), stepsToProbe(10); one != two || ten < 4*two {
		t.Errorf(
			"quarter seconds before a probe with 1, 2, 10 dispatchers: got %d, %d, %d, want n, n, at least 4n",
			one, two, ten)
	}
}

// New workers join a fleet under load. They are in slow start and too slow for most objectives. Where late
// answers have a value, the new workers still get jobs for which the full workers have no slot.
func TestNewWorkersDoNotStandIdle(t *testing.T) {
	for _, lateWeight := range []float64{0, 0.5} {
		s := testSettings()
		s.Dispatchers, s.Index = 1, 0
		s.Classes[0].LateWeight, s.Classes[0].LatencyObjective = lateWeight, second/4
		b := newHarness(t, s, ready(1, 0))
		// The time since the dispatcher's own start exceeds the overload window, the time over which the work sent
		// to a worker in slow start is limited. So the slow-start budgets do not begin empty.
		b.advance(2 * s.OverloadWindow)
		b.setSlotLimits(1)
		b.want(b.arrive(1, 0), Send, 1)
		b.feed(Event{Kind: AttemptReported, Job: 1, Note: NoteStarted})
		b.setSlots(1, 1)
		b.advance(second / 20)
		b.feed(Event{Kind: EndpointsUpdated, Workers: []WorkerEntry{
			{Worker: 2, Status: Ready, Started: b.now - second/10}}})
		want := 0
		if lateWeight > 0 {
			want = 1
		}
		b.want(b.arrive(2, 0), Send, want)
	}
}

// Because of stale gossip, more jobs sometimes seem to run at a worker than the worker has slots. Of the jobs
// sent while 5 slots seem in use, one in ten starts at once and the others have to wait. This must not raise
// the capacity learned for the worker to 5 slots. The workers of a machine kind share the learned capacity,
// but a worker with fewer slots than the others of its kind gets a capacity of its own.
func TestStaleGossipDoesNotRaiseCapacity(t *testing.T) {
	s := testSettings()
	b := newHarness(t, s, ready(1, 0), ready(2, 0), WorkerEntry{Worker: 3, Status: Ready, Kind: 1})
	w := b.d.workers[1]
	for i := range 100 {
		b.d.recordStartPromptness(&attempt{worker: w, slotsAtSend: float64(1 + i%4)}, true)
		b.d.recordStartPromptness(&attempt{worker: w, slotsAtSend: 5}, i%10 == 0)
	}
	if got := b.d.capacity(w); got != 4 {
		t.Errorf("worker 1, where most jobs that took a 5th slot had to wait: got capacity %v slots, want 4", got)
	}
	if got := b.d.capacity(b.d.workers[2]); got != 4 {
		t.Errorf("other worker of the same machine kind: got capacity %v slots, want the 4 of its kind", got)
	}
	if got := b.d.capacity(b.d.workers[3]); got != 1 {
		t.Errorf("worker of another machine kind, without jobs so far: got capacity %v slots, want 1", got)
	}
	for range 10 { // worker 2 has fewer slots than the other worker of its kind
		b.d.recordStartPromptness(&attempt{worker: b.d.workers[2], slotsAtSend: 3}, false)
		b.d.recordStartPromptness(&attempt{worker: b.d.workers[2], slotsAtSend: 4}, false)
	}
	if got := b.d.capacity(b.d.workers[2]); got != 2 {
		t.Errorf("worker 2, where jobs that took a 3rd or 4th slot had to wait: got capacity %v slots, want 2", got)
	}
}

// A dispatcher that sends jobs to a worker from another zone receives gossip about the worker. Without gossip
// the dispatcher would assume that all slots of the worker are free. In a large fleet, a dispatcher of
// another zone that never sent to the worker receives no gossip about that worker.
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
	crossZonePeer, otherPeer := -1, -1
	for p := 1; p < s.Dispatchers; p++ {
		if b.d.covers(dispatcherRingPosition(p), w) && crossZonePeer < 0 {
			crossZonePeer = p
		} else if b.d.covers(dispatcherRingPosition(p), w) {
			otherPeer = p
		}
		b.d.peers[p].zone = 1
	}
	receivers := func() (targets map[int]bool) {
		targets = map[int]bool{}
		b.d.actions = nil
		b.d.multicast(w, nil)
		for _, a := range b.d.actions {
			targets[a.Peer] = true
		}
		return targets
	}
	if got := receivers(); len(got) > 0 {
		t.Fatalf("before any message from another zone: got gossip to peers %v, want none", got)
	}
	b.feed(Event{Kind: GossipReceived, Peer: crossZonePeer, Message: []byte{1, 0, 0, 0, 1, 1, 0}})
	if got := receivers(); !got[crossZonePeer] || got[otherPeer] {
		t.Errorf("want gossip to peer %d, which sent from another zone, and not to peer %d; got gossip to peers %v",
			crossZonePeer, otherPeer, got)
	}
}

// The share that one of many dispatchers has of a small quota is less than one job in several seconds. Two
// jobs that arrive together at one dispatcher are still within the quota, and a third is not.
func TestSmallQuotaOverManyDispatchers(t *testing.T) {
	s := testSettings()
	s.Dispatchers, s.Tenants[1].Quota = 10, 1
	b := newHarness(t, s, ready(1, 0))
	for i, want := range []bool{false, false, true} {
		if got := b.d.exceedsQuota(1, false); got != want {
			t.Errorf("job %d of three that arrive together: got over quota = %v, want its negation", i+1, got)
		}
	}
}

// Cost hints are inexact. While the fleet is not overloaded and no more urgent job waits, a job is sent even
// if its expected run exceeds the time to its objective. After the objective has passed the job is refused.
func TestRoughHintsDoNotRefuseWithoutOverload(t *testing.T) {
	s := testSettings()
	s.Classes[0].LateWeight = 0
	b := newHarness(t, s, ready(1, 0))
	late := Event{Kind: JobArrived, Job: 1, Work: second, Slots: 1,
		ClientTimeout: 7 * second / 2} // the objective is in 0.5 s
	b.want(b.feed(late), Send, 1)
	b = newHarness(t, s, ready(1, 0))
	b.d.level = 1
	b.want(b.feed(late), Refuse, 1)
	late.ClientTimeout = 2 * second // the objective has passed
	b = newHarness(t, s, ready(1, 0))
	b.want(b.feed(late), Refuse, 1)
}

// A worker fails some of its jobs, but too few in a row to be ejected. Jobs that must not run twice wait for
// another worker, and other jobs are still sent to the failing worker. When most workers fail jobs, no worker
// is avoided.
func TestUnsafeJobsAvoidWorkersThatFailJobs(t *testing.T) {
	const safe, unsafe = 0, 2
	for name, c := range map[string]struct {
		failing []WorkerID
		class   int
		sent    int
	}{
		"no worker fails jobs":                {nil, unsafe, 3},
		"unsafe jobs, one worker fails jobs":  {[]WorkerID{1}, unsafe, 2},
		"safe jobs, one worker fails jobs":    {[]WorkerID{1}, safe, 3},
		"unsafe jobs, most workers fail jobs": {[]WorkerID{1, 2}, unsafe, 3},
	} {
		t.Run(name, func(t *testing.T) {
			b := newHarness(t, testSettings(), ready(1, 0), ready(2, 0), ready(3, 0))
			b.setSlots(1, 1)
			for _, w := range c.failing {
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
				t.Errorf("got %d of 3 jobs sent, want %d", sent, c.sent)
			}
			b.now += 10 * second
			b.feed(Event{Kind: TimerFired})
			if b.d.failsJobs(b.d.workers[1]) {
				t.Error("10 s after the errors: got worker 1 still counted as failing jobs, want it not counted")
			}
		})
	}
}

// Networks reset single connections, while the connections are established or during a job. A single reset
// must not eject a worker. A single failed connect must not put a worker into slow start, which limits the
// worker for as long as a real restart does. Several failures in a row have these effects.
func TestSingleResetsDoNotEject(t *testing.T) {
	for name, c := range map[string]struct {
		outcomes     []Outcome
		usable, warm bool
	}{
		"one reset":             {[]Outcome{Reset}, true, true},
		"three resets in a row": {[]Outcome{Reset, Reset, Reset}, false, true},
		"one failed connect":    {[]Outcome{ConnectFailed}, false, true},
		"two failed connects":   {[]Outcome{ConnectFailed, ConnectFailed}, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			b := newHarness(t, testSettings(), ready(1, 0))
			w := b.d.workers[1]
			for i, o := range c.outcomes {
				b.advance(second)
				id := JobID(1 + i)
				if sent := actionsOfKind(b.arrive(id, 2), Send); len(sent) != 1 {
					t.Fatalf("before outcome %d: got no send to the worker, want one", i)
				}
				b.end(id, 0, o)
				b.feed(Event{Kind: ClientDisconnected, Job: id})
			}
			if got := b.d.usable(w); got != c.usable {
				t.Errorf("worker after the failures: got usable = %v, want its negation", got)
			}
			if got := b.d.slowStartSince(w) == 0; got != c.warm {
				t.Errorf("worker after the failures: got warm (not in slow start) = %v, want its negation", got)
			}
		})
	}
}
