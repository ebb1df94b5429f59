package dispatch

import "testing"

// This file has tests of large fleets without gossip. There a dispatcher learns of the load from other
// dispatchers only by the time that its own jobs wait at workers.

// serve passes one job to the dispatcher, reports the job's start after a wait that depends on the worker,
// and reports the job's end. The result is the worker to which the dispatcher sent the job.
func (b *harness) serve(id JobID, wait func(*worker) Micros) *worker {
	b.t.Helper()
	sent := actionsOfKind(b.arrive(id, 0), Send)
	if len(sent) != 1 {
		b.t.Fatalf("job %d: got %d sends, want 1", id, len(sent))
	}
	w := b.d.workers[sent[0].Worker]
	for end := b.now + wait(w); b.now < end; b.feed(Event{Kind: TimerFired, Token: b.d.timerToken}) {
		// The timer event makes the dispatcher look for overdue starts, as the events of other jobs would.
		b.now += min(end-b.now, second/100)
	}
	b.feed(Event{Kind: AttemptReported, Job: id, Note: NoteStarted})
	b.advance(second / 5 * Micros(1+w.entry.Kind)) // workers of kind 0 are twice as fast as those of kind 1
	b.end(id, 0, OK)
	return w
}

// countSentTo serves 20 jobs, from which the dispatcher learns the waits. Of 20 more jobs it returns the
// number sent to workers for which the function matches returns true.
func (b *harness) countSentTo(wait func(*worker) Micros, matches func(*worker) bool) (n int) {
	b.t.Helper()
	for i := range 40 {
		if w := b.serve(JobID(i), wait); i >= 20 && matches(w) {
			n++
		}
	}
	return n
}

// Jobs wait long at the workers of one machine kind, as other dispatchers fill these workers. This dispatcher
// then sends its jobs to workers of the other kind, although those are slower.
func TestDispatcherWithoutGossipAvoidsAKindWhereJobsWait(t *testing.T) {
	list := testFleet(60)
	b := startDispatcher(t, 80, 3, list, 0, largeFleetWithoutGossipSettings)
	for i := range 4 {
		b.setSlots(list[i].Worker, 2)
		k := b.d.kindOf(b.d.workers[list[i].Worker])
		k.speedEstimate = speedEstimate{20 * second, float64(10 * second * (1 + list[i].Kind))}
	}
	waitByKind := func(w *worker) Micros {
		if w.entry.Kind == 0 {
			return second
		}
		return second / 500
	}
	sentToSlow := b.countSentTo(waitByKind, func(w *worker) bool { return w.entry.Kind == 0 })
	if sentToSlow > 4 {
		t.Errorf("got %d of 20 jobs sent to the machine kind where jobs wait, want at most 4", sentToSlow)
	}
}

// Jobs wait long in the dispatcher's own zone. The price of crossing zones is 1/100 of the mean value of a
// job, and a long wait makes a job miss its objective, so the dispatcher sends its jobs to the other zone.
func TestDispatcherWithoutGossipCrossesWhenItsZoneIsCrowded(t *testing.T) {
	b := startDispatcher(t, 80, 3, testFleet(60), 0, largeFleetWithoutGossipSettings)
	waitByZone := func(w *worker) Micros {
		if w.entry.Zone == 0 {
			return second
		}
		return second / 100
	}
	crossed := b.countSentTo(waitByZone, func(w *worker) bool { return w.entry.Zone == 1 })
	if crossed < 12 {
		t.Errorf("got %d of 20 jobs sent to the other zone, which has free slots, want at least 12", crossed)
	}
}

// Each worker is in the subsets of a small number of dispatchers, so that a dispatcher's own jobs show a
// considerable part of the load on the worker. No worker is outside all subsets.
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
			t.Errorf("got a worker in the subsets of %d of 80 dispatchers, want 2 to 16", n)
		}
	}
}

// All workers of the fleet restart. A worker in slow start gets jobs only from its owners: several of the
// dispatchers that have the worker in their subsets. If a single dispatcher were the owner of each of the 60
// workers, at most 60 of the 80 dispatchers could send their jobs.
func TestDispatchersWithoutGossipAllUseAFleetInSlowStart(t *testing.T) {
	list := testFleet(60)
	all := startDispatchers(t, 80, list, alternatingZone, func(s *Settings) {
		largeFleetWithoutGossipSettings(s)
		s.SlowStartInitial, s.OverloadFactor = 0.4, 4 // the values of a production deployment
	})
	for i := range list {
		list[i].Started = all[0].now
	}
	idle := 0
	for i, b := range all {
		b.setSlots(list[0].Worker, 2)
		b.setSlots(list[2].Worker, 3)
		b.feed(Event{Kind: EndpointsUpdated, Workers: list})
		b.advance(second / 2) // the slow-start budgets are refilled in part
		sent := len(actionsOfKind(b.arrive(JobID(i), 0), Send)) + len(actionsOfKind(b.advance(second/2), Send))
		if sent == 0 {
			idle++
		}
	}
	if idle > 8 {
		t.Errorf("got %d of 80 dispatchers without a worker for their first job, want at most 8", idle)
	}
}

// A job that crosses zones starts later, by a handshake and the network delay. That delay does not count as a
// wait for a slot, and does not lower the capacity learned for the worker.
func TestDispatcherWithoutGossipDoesNotCountZoneCrossingAsWait(t *testing.T) {
	b := startDispatcher(t, 80, 3, testFleet(60), 0, largeFleetWithoutGossipSettings)
	for i := range 10 {
		w := b.serve(JobID(i), func(*worker) Micros { return 40_000 })
		if counts := b.d.startCountsAt(w, 1); counts.delayed > 0 {
			t.Fatalf("start 40 ms after the send: got the start counted as a wait for a slot, want no wait counted")
		}
	}
}

// When a job waits at a worker until the job can no longer meet its objective, the dispatcher answers the
// job and cancels its attempt, so that the next job in the worker's queue gets the slot. A job that has
// started is not cancelled.
func TestJobThatWaitsPastItsObjectiveIsCancelled(t *testing.T) {
	s := testSettings()
	s.Classes[2].LateWeight = 0
	b := newHarness(t, s, ready(1, 0))
	b.want(b.arrive(1, 2), Send, 1)
	actions := b.advance(s.Classes[2].Deadline - second)
	b.want(actions, Fail, 1) // the unsafe job may have started, so the dispatcher must not refuse it but fail it
	b.want(actions, Cancel, 1)

	b = newHarness(t, s, ready(1, 0))
	b.want(b.arrive(1, 2), Send, 1)
	b.feed(Event{Kind: AttemptReported, Job: 1, Note: NoteStarted})
	actions = b.advance(s.Classes[2].Deadline - second)
	b.want(actions, Fail, 0)
	b.want(actions, Cancel, 0)
}

// A worker fails many jobs, and each of 80 dispatchers sends to the worker only every few seconds. The
// worker's load report shows the errors of all dispatchers' jobs there. After one job at the worker, the
// dispatcher therefore sends no jobs of any class there for a time, also if that job happened to succeed.
func TestDispatcherWithoutGossipTrustsReportedErrors(t *testing.T) {
	for name, outcome := range map[string]Outcome{"an error": Failed, "luck": OK} {
		b := startDispatcher(t, 80, 3, testFleet(60), 0, func(s *Settings) {
			largeFleetWithoutGossipSettings(s)
			s.LoadReports = true
		})
		failing := b.d.workers[actionsOfKind(b.arrive(1, 2), Send)[0].Worker]
		b.feed(Event{Kind: AttemptReported, Job: 1, Note: NoteStarted})
		b.feed(Event{Kind: AttemptEnded, Job: 1, Outcome: outcome, Final: outcome == OK,
			Report: Report{FreeKnown: true, Free: 2, Outstanding: -1, Errors: 1.5}})
		for id := JobID(2); b.now < 107*second; id++ {
			if b.serve(id, func(*worker) Micros { return second / 500 }) == failing {
				t.Errorf("case first job ends by %s: got a job sent to the failing worker %v us later, want none for 7 s",
					name, b.now-100*second)
				break
			}
		}
	}
}

// A dispatcher drops the records of removed workers after the retention time, so that the number of its
// records does not grow while the workers of a fleet are replaced. The package scheduler has a test of the
// same name for its own records.
func TestRemovedWorkersAreForgotten(t *testing.T) {
	b := newHarness(t, testSettings(), ready(1, 0))
	for i := WorkerID(1); i < 200; i++ {
		b.now += 60 * second
		b.feed(Event{Kind: EndpointsUpdated, Workers: []WorkerEntry{{Worker: i, Status: Removed}, ready(i+1, 0)}})
	}
	if n := len(b.d.ordered); n > 15 || len(b.d.workers) != n {
		t.Errorf("got records of %d workers in order and of %d in the map, want equal numbers of at most 15",
			n, len(b.d.workers))
	}
	b.want(b.arrive(1, 0), Send, 1)
}

// If a job is cancelled before its start, the time until the cancellation must count as a wait at the worker.
// The job would have waited even longer, by an unknown time, but a worker where a job does not start is as
// full as a worker where a job starts late.
func TestDispatcherWithoutGossipLearnsFromAJobThatNeverBegan(t *testing.T) {
	b := startDispatcher(t, 80, 3, testFleet(60), 0, largeFleetWithoutGossipSettings)
	w := b.d.workers[actionsOfKind(b.arrive(1, 2), Send)[0].Worker]
	b.want(b.advance(7*second), Cancel, 1)
	b.end(1, 0, Cancelled)
	if got := b.d.expectedWait(w); got < second {
		t.Errorf("after a job that waited for 7 s: got an expected wait of %.1f s, want at least 1 s", got/second)
	}
}

// simulateRestartedFleet simulates many dispatchers without gossip while three in five workers restart.
// Traffic is uneven over the dispatchers, each dispatcher receives the worker list with the restarts at a
// different time, and some dispatchers restart, too. The result is the largest work sent to a worker within
// an overload window, as a fraction of the slow-start limit for all dispatchers together. An overload
// window is the time over which the work sent to a worker in slow start is limited. Only overload windows
// count in which at least two thirds of the sends came from dispatchers whose lists show the restart.
func simulateRestartedFleet(t *testing.T, dispatchers, workers int, seed uint64) float64 {
	const work, slots, tick, length = 400_000, 2, second / 50, 6 * second
	configure := func(s *Settings) {
		largeFleetWithoutGossipSettings(s)
		s.SlowStart, s.SlowStartInitial, s.OverloadFactor, s.OverloadWindow = 8*second, 0.3, 4, 2*second
		// The objective is half of the jobs' run time, which the dispatchers have not learned yet.
		s.Classes[0].LatencyObjective = second / 5
	}
	source := random(seed)
	list := testFleet(workers)
	all := startDispatchers(t, dispatchers, list, alternatingZone, configure)
	fleetStart := all[0].now
	restarted := map[WorkerID]bool{}
	for i := range list {
		if source.uniform() < 0.6 {
			list[i].Started, restarted[list[i].Worker] = fleetStart, true
		}
	}
	jobRate, updateAt := make([]float64, dispatchers), make([]Micros, dispatchers)
	restartAt := make([]Micros, dispatchers)
	for i, b := range all {
		for _, e := range list {
			b.setSlots(e.Worker, slots)
		}
		jobRate[i], updateAt[i] = 1.2, fleetStart+Micros(source.uniform()*2*second)
		if source.uniform() < 0.15 {
			jobRate[i] = 6
		}
		if source.uniform() < 0.3 {
			restartAt[i] = fleetStart + Micros(source.uniform()*length)
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
	handleActions := func(i int, actions []Action, now Micros) {
		for _, a := range actionsOfKind(actions, Send) {
			if restarted[a.Worker] {
				sent[a.Worker] = append(sent[a.Worker], send{now, updateAt[i] == 0})
			}
			all[i].feed(Event{Kind: AttemptReported, Job: a.Job, Attempt: a.Attempt, Note: NoteStarted})
			running = append(running, run{i, a.Job, a.Attempt, now + work})
		}
	}
	job := JobID(0)
	for now := fleetStart; now < fleetStart+length; now += tick {
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
				handleActions(i, b.feed(Event{Kind: EndpointsUpdated, Workers: list}), now)
			}
			handleActions(i, b.advance(now-b.now), now)
			if source.uniform() < jobRate[i]*float64(tick)/second {
				job++
				handleActions(i, b.feed(Event{Kind: JobArrived, Job: job, Slots: 1, ClientTimeout: 6 * second}), now)
			}
		}
		var remaining []run
		for _, r := range running {
			if r.ends <= now {
				handleActions(r.by, all[r.by].end(r.job, r.attempt, OK), now)
			} else {
				remaining = append(remaining, r)
			}
		}
		running = remaining
	}
	worst := 0.0
	for _, all := range sent {
		for from := range all {
			sends, informedSends := 0, 0
			for to := from; to < len(all) && all[to].at-all[from].at < 2*second; to++ {
				if sends++; all[to].informed {
					informedSends++
				}
			}
			warm := 0.3 + 0.7*float64(all[from].at-fleetStart)/(8*second)
			if 3*informedSends >= 2*sends {
				worst = max(worst, float64(sends)*work/(4*slots*warm*2*second))
			}
		}
	}
	return worst
}

func TestNoWorkerInSlowStartIsOverloadedByAllTogether(t *testing.T) {
	for seed := range uint64(8) {
		if worst := simulateRestartedFleet(t, 300, 200, seed+1); worst > 1 {
			t.Errorf("seed %d: got a worker sent %.2f of its slow-start limit, want at most 1", seed+1, worst)
		} else {
			t.Logf("seed %d: every worker was sent at most %.2f of its slow-start limit", seed+1, worst)
		}
	}
}
