package dispatch

import "testing"

// Tests of many dispatchers without gossip: what all do together shows in
// how long jobs wait, and in nothing else.

// serve runs one job at a dispatcher: it begins after a wait that depends on its worker.
func (b *harness) serve(id JobID, wait func(*worker) Micros) *worker {
	b.t.Helper()
	sent := actionsOfKind(b.arrive(id, 0), Send)
	if len(sent) != 1 {
		b.t.Fatalf("job %d: %d sends", id, len(sent))
	}
	w := b.d.workers[sent[0].Worker]
	for end := b.now + wait(w); b.now < end; b.feed(Event{Kind: TimerFired, Token: b.d.timerToken}) {
		b.now += min(end-b.now, second/100) // events of other jobs make it inspect
	}
	b.feed(Event{Kind: AttemptReported, Job: id, Note: NoteStarted})
	b.advance(second / 5 * Micros(1+w.entry.Kind)) // the first kind is twice as fast
	b.end(id, 0, OK)
	return w
}

// countChosen serves 20 jobs, by which the waits become known, and counts of 20 more those that
// go to some of the workers.
func (b *harness) countChosen(wait func(*worker) Micros, some func(*worker) bool) (n int) {
	b.t.Helper()
	for i := range 40 {
		if w := b.serve(JobID(i), wait); i >= 20 && some(w) {
			n++
		}
	}
	return n
}

// Jobs wait long at one kind of worker though this dispatcher has hardly any there: the
// others do. Then the other kind gets its jobs, and the faster one is not chosen for its
// speed alone.
func TestDispatcherWithoutGossipAvoidsAKindWhereJobsWait(t *testing.T) {
	list := testFleet(60)
	b := startDispatcher(t, 80, 3, list, 0, largeFleetWithoutGossipSettings)
	for i := range 4 {
		b.setSlots(list[i].Worker, 2)
		k := b.d.kindOf(b.d.workers[list[i].Worker])
		k.speedEstimate = speedEstimate{20 * second, float64(10 * second * (1 + list[i].Kind))}
	}
	crowded := func(w *worker) Micros {
		if w.entry.Kind == 0 {
			return second
		}
		return second / 500
	}
	there := b.countChosen(crowded, func(w *worker) bool { return w.entry.Kind == 0 })
	if there > 4 {
		t.Errorf("%d of 20 jobs went where the last ones had to wait", there)
	}
}

// The same for the own zone: crossing costs a hundredth, waiting costs the job.
func TestDispatcherWithoutGossipCrossesWhenItsZoneIsCrowded(t *testing.T) {
	b := startDispatcher(t, 80, 3, testFleet(60), 0, largeFleetWithoutGossipSettings)
	crowded := func(w *worker) Micros {
		if w.entry.Zone == 0 {
			return second
		}
		return second / 100
	}
	crossed := b.countChosen(crowded, func(w *worker) bool { return w.entry.Zone == 1 })
	if crossed < 12 {
		t.Errorf("%d of 20 jobs crossed to the zone that is free", crossed)
	}
}

// A small number shares each worker, so that what a dispatcher has there itself is a good part
// of what is there, and every worker is used.
func TestEachWorkerHasASmallNumberOfDispatchersWithoutGossip(t *testing.T) {
	list := testFleet(60)
	users := map[WorkerID]int{}
	for _, b := range startDispatchers(t, 80, list, alternatingZone, largeFleetWithoutGossipSettings) {
		for _, w := range b.d.subset {
			users[w.entry.Worker]++
		}
	}
	for _, e := range list {
		if n := users[e.Worker]; n < 2 || n > 16 {
			t.Errorf("a worker has %d dispatchers of 80", n)
		}
	}
}

// The whole fleet restarts. All that cover a worker may use it, and not one of 80
// alone: else the few that own one would carry what 80 bring.
func TestDispatchersWithoutGossipAllUseAFleetInSlowStart(t *testing.T) {
	list := testFleet(60)
	all := startDispatchers(t, 80, list, alternatingZone, func(s *Settings) {
		largeFleetWithoutGossipSettings(s)
		s.SlowStartInitial, s.OverloadFactor = 0.4, 4 // as the operators have them
	})
	for i := range list {
		list[i].Started = all[0].now
	}
	idle := 0
	for i, b := range all {
		b.setSlots(list[0].Worker, 2)
		b.setSlots(list[2].Worker, 3)
		b.feed(Event{Kind: EndpointsUpdated, Workers: list})
		b.advance(second / 2) // a part of the budget
		sent := len(actionsOfKind(b.arrive(JobID(i), 0), Send)) + len(actionsOfKind(b.advance(second/2), Send))
		if sent == 0 {
			idle++
		}
	}
	if idle > 8 {
		t.Errorf("%d of 80 dispatchers found no worker for their first job", idle)
	}
}

// A job that crosses zones takes a handshake and the way there and back to begin. That is
// no wait, and says nothing of the worker's slots.
func TestDispatcherWithoutGossipDoesNotCountACrossingAsAWait(t *testing.T) {
	b := startDispatcher(t, 80, 3, testFleet(60), 0, largeFleetWithoutGossipSettings)
	for i := range 10 {
		w := b.serve(JobID(i), func(*worker) Micros { return 40_000 })
		if of := b.d.startCountsAt(w, 1); of.delayed > 0 {
			t.Fatalf("a start after 40 ms was taken for a wait")
		}
	}
}

// A job that waits at a worker until it cannot meet its objective is answered then, and cancelled:
// its slot goes to the one behind it. What has begun is left to end.
func TestJobThatWaitsPastItsObjectiveIsCancelled(t *testing.T) {
	s := testSettings()
	s.Classes[2].LateWeight = 0
	b := newHarness(t, s, ready(1, 0))
	b.want(b.arrive(1, 2), Send, 1)
	late := b.advance(s.Classes[2].Deadline - second)
	b.want(late, Fail, 1) // it may have begun all the same: no refusal, as it must not run twice
	b.want(late, Cancel, 1)

	b = newHarness(t, s, ready(1, 0))
	b.want(b.arrive(1, 2), Send, 1)
	b.feed(Event{Kind: AttemptReported, Job: 1, Note: NoteStarted})
	late = b.advance(s.Classes[2].Deadline - second)
	b.want(late, Fail, 0)
	b.want(late, Cancel, 0)
}

// A worker fails many jobs, and each dispatcher of 80 meets it every few seconds. Its report
// shows what the others met there: one error is enough, for a class that may be repeated, too,
// and a job that succeeded there by luck shows nothing.
func TestDispatcherWithoutGossipTrustsReportedErrors(t *testing.T) {
	for name, o := range map[string]Outcome{"an error": Failed, "luck": OK} {
		b := startDispatcher(t, 80, 3, testFleet(60), 0, func(s *Settings) {
			largeFleetWithoutGossipSettings(s)
			s.LoadReports = true
		})
		bad := b.d.workers[actionsOfKind(b.arrive(1, 2), Send)[0].Worker]
		b.feed(Event{Kind: AttemptReported, Job: 1, Note: NoteStarted})
		b.feed(Event{Kind: AttemptEnded, Job: 1, Outcome: o, Final: o == OK,
			Report: Report{FreeKnown: true, Free: 2, Outstanding: -1, Errors: 1.5}})
		for id := JobID(2); b.now < 107*second; id++ {
			if b.serve(id, func(*worker) Micros { return second / 500 }) == bad {
				t.Errorf("%s: a job went there %v us later", name, b.now-100*second)
				break
			}
		}
	}
}

// The same in the module: see the reducer's test.
func TestRemovedWorkersAreForgotten(t *testing.T) {
	b := newHarness(t, testSettings(), ready(1, 0))
	for i := WorkerID(1); i < 200; i++ {
		b.now += 60 * second
		b.feed(Event{Kind: EndpointsUpdated, Workers: []WorkerEntry{{Worker: i, Status: Removed}, ready(i+1, 0)}})
	}
	if n := len(b.d.ordered); n > 15 || len(b.d.workers) != n {
		t.Errorf("%d workers in order, %d by number, 1 in the list", n, len(b.d.workers))
	}
	b.want(b.arrive(1, 0), Send, 1)
}

// A job that is cancelled before it began never shows how long it would have waited; its
// worker is as full as one where a job began late, and must not look free.
func TestDispatcherWithoutGossipLearnsFromAJobThatNeverBegan(t *testing.T) {
	b := startDispatcher(t, 80, 3, testFleet(60), 0, largeFleetWithoutGossipSettings)
	w := b.d.workers[actionsOfKind(b.arrive(1, 2), Send)[0].Worker]
	b.want(b.advance(7*second), Cancel, 1)
	b.end(1, 0, Cancelled)
	if got := b.d.expectedWait(w); got < second {
		t.Errorf("a wait of %.1f s is expected where a job waited for seconds", got/second)
	}
}

// simulateRestartedFleet runs many dispatchers without gossip, while three in five workers start anew:
// traffic is dealt unevenly, all learn of the starts at times of their own, and some dispatchers start
// themselves. It returns the most work that a worker was sent within any overload window, as a part of
// the limit on all dispatchers together. Only where two thirds came from dispatchers that knew of the
// start does it count.
func simulateRestartedFleet(t *testing.T, dispatchers, workers int, seed uint64) float64 {
	const work, slots, tick, length = 400_000, 2, second / 50, 6 * second
	set := func(s *Settings) {
		largeFleetWithoutGossipSettings(s)
		s.SlowStart, s.SlowStartInitial, s.OverloadFactor, s.OverloadWindow = 8*second, 0.3, 4, 2*second
		s.Classes[0].LatencyObjective = second / 5 // half of what a job takes: nobody knows that at a start
	}
	source := random(seed)
	list := testFleet(workers)
	all := startDispatchers(t, dispatchers, list, alternatingZone, set)
	begin := all[0].now
	started := map[WorkerID]bool{}
	for i := range list {
		if source.uniform() < 0.6 {
			list[i].Started, started[list[i].Worker] = begin, true
		}
	}
	rate, updateAt := make([]float64, dispatchers), make([]Micros, dispatchers)
	restartAt := make([]Micros, dispatchers)
	for i, b := range all {
		for _, e := range list {
			b.setSlots(e.Worker, slots)
		}
		rate[i], updateAt[i] = 1.2, begin+Micros(source.uniform()*2*second)
		if source.uniform() < 0.15 {
			rate[i] = 6
		}
		if source.uniform() < 0.3 {
			restartAt[i] = begin + Micros(source.uniform()*length)
		}
	}
	type run struct {
		by      int
		job     JobID
		attempt int
		ends    Micros
	}
	var running []run
	type send struct {
		at       Micros
		informed bool
	}
	sent := map[WorkerID][]send{}
	take := func(i int, actions []Action, now Micros) {
		for _, a := range actionsOfKind(actions, Send) {
			if started[a.Worker] {
				sent[a.Worker] = append(sent[a.Worker], send{now, updateAt[i] == 0})
			}
			all[i].feed(Event{Kind: AttemptReported, Job: a.Job, Attempt: a.Attempt, Note: NoteStarted})
			running = append(running, run{i, a.Job, a.Attempt, now + work})
		}
	}
	job := JobID(0)
	for now := begin; now < begin+length; now += tick {
		for i, b := range all {
			if restartAt[i] != 0 && restartAt[i] <= now {
				restartAt[i], updateAt[i] = 0, 0
				b.now = now
				b.d, _ = New(b.d.settings, uint64(i)+seed)
				b.feed(Event{Kind: Started})
				b.feed(Event{Kind: EndpointsUpdated, Scope: UpdateCached, Workers: list})
			}
			if updateAt[i] != 0 && updateAt[i] <= now {
				updateAt[i] = 0
				b.now = now
				take(i, b.feed(Event{Kind: EndpointsUpdated, Workers: list}), now)
			}
			take(i, b.advance(now-b.now), now)
			if source.uniform() < rate[i]*float64(tick)/second {
				job++
				take(i, b.feed(Event{Kind: JobArrived, Job: job, Slots: 1, ClientTimeout: 6 * second}), now)
			}
		}
		var remaining []run
		for _, r := range running {
			if r.ends <= now {
				take(r.by, all[r.by].end(r.job, r.attempt, OK), now)
			} else {
				remaining = append(remaining, r)
			}
		}
		running = remaining
	}
	worst := 0.0
	for _, all := range sent {
		for from := range all {
			n, knew := 0, 0
			for to := from; to < len(all) && all[to].at-all[from].at < 2*second; to++ {
				if n++; all[to].informed {
					knew++
				}
			}
			warm := 0.3 + 0.7*float64(all[from].at-begin)/(8*second)
			if 3*knew >= 2*n {
				worst = max(worst, float64(n)*work/(4*slots*warm*2*second))
			}
		}
	}
	return worst
}

func TestNoWorkerInSlowStartIsOverloadedByAllTogether(t *testing.T) {
	for seed := range uint64(8) {
		if worst := simulateRestartedFleet(t, 300, 200, seed+1); worst > 1 {
			t.Errorf("seed %d: a worker in slow start got %.2f of the limit", seed+1, worst)
		} else {
			t.Logf("seed %d: %.2f", seed+1, worst)
		}
	}
}
