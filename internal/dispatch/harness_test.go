package dispatch

import "testing"

// This file has the test harness: a harness drives one Dispatcher with events, and the other functions make
// settings and worker lists.

// testSettings returns settings with one class for each value of Effect, which says whether a job may run
// again: class 0 is safe, class 1 is keyed with a cell as its deduplication scope, and class 2 is unsafe. The
// latency objectives are short enough that tests can exceed them, and long enough that jobs can wait in the
// queue.
func testSettings() Settings {
	return Settings{
		Index: 1, Dispatchers: 2, OverQuotaWeight: 0.2, WeightByWork: true, Granularity: 5000,
		Classes: []Class{
			{LatencyObjective: second, ObjectiveStretch: 2, Deadline: 6 * second, PriorityWeight: 1, Kind: -1,
				LateWeight: 0.3},
			{LatencyObjective: second, ObjectiveStretch: 2, Deadline: 8 * second, PriorityWeight: 3, Kind: -1,
				Effect: Keyed, DedupScope: ScopeCell, DedupWindow: 5 * second},
			{LatencyObjective: second, ObjectiveStretch: 2, Deadline: 8 * second, PriorityWeight: 2, Kind: -1,
				Effect: Unsafe},
		},
		Tenants:   []Tenant{{Quota: 20}, {Quota: 20}},
		SlowStart: 10 * second, SlowStartInitial: 0.2, OverloadFactor: 3, OverloadWindow: 2 * second,
		MaxAttempts: 4, CancelAllowed: true, HedgingAllowed: true, MaxRetryAfter: 2 * second,
		ConnectTimeout: second / 4, StartReported: true, ProgressInterval: second,
	}
}

// harness drives one dispatcher and keeps the actions that its latest event returned.
type harness struct {
	t   testing.TB
	d   *Dispatcher
	now Micros   // the time of the next event
	out []Action // the actions of the latest event
}

// newHarness returns a harness at time 100 s whose dispatcher has received the worker list, first as a cached
// list and then as a full update.
func newHarness(t *testing.T, s Settings, workers ...WorkerEntry) *harness {
	t.Helper()
	d, err := New(s, 1)
	if err != nil {
		t.Fatal(err)
	}
	b := &harness{t: t, d: d, now: 100 * second}
	b.feed(Event{Kind: Started})
	b.feed(Event{Kind: EndpointsUpdated, Scope: UpdateCached, Workers: workers})
	b.feed(Event{Kind: EndpointsUpdated, Scope: UpdateFull, Workers: workers})
	return b
}

// feed passes an event to the dispatcher and returns the resulting actions.
func (b *harness) feed(e Event) []Action {
	b.out = b.d.Step(b.now, &e, nil)
	return b.out
}

// advance moves the time forward, fires each timer that becomes due, and returns the actions that the
// dispatcher takes on all these timers.
func (b *harness) advance(span Micros) []Action {
	var actions []Action
	for end := b.now + span; ; {
		if b.d.timerDueAt == 0 || b.d.timerDueAt > end {
			b.now = end
			return actions
		}
		b.now = max(b.now, b.d.timerDueAt)
		actions = append(actions, b.feed(Event{Kind: TimerFired, Token: b.d.timerToken})...)
	}
}

// setSlots makes the dispatcher assume that all workers of the given worker's machine kind have n slots:
// setSlots records starts without delay with n slots in use, and delayed starts with n+1 slots in use.
func (b *harness) setSlots(w WorkerID, n int) {
	k := b.d.kindOf(b.d.workers[w])
	k.maxSlotsTried, k.capacityProbedAt, k.maxBusySlots = n+1, b.now, float64(n)
	k.startCountsBySlots = [maxTrackedSlots + 1]startCounts{}
	k.startCountsBySlots[n].prompt, k.startCountsBySlots[n+1].delayed = 9, 9
}

// arrive passes the arrival of a job with 200 ms of work to the dispatcher. The client waits as long as the
// deadline of the class allows.
func (b *harness) arrive(id JobID, class int) []Action {
	return b.feed(Event{Kind: JobArrived, Job: id, Class: class, Work: second / 5, Slots: 1,
		ClientTimeout: b.d.settings.Classes[class].Deadline})
}

// end passes the end of an attempt to the dispatcher. Only the outcome OK finishes the job.
func (b *harness) end(id JobID, attempt int, o Outcome) []Action {
	return b.feed(Event{Kind: AttemptEnded, Job: id, Attempt: attempt, Outcome: o, Final: o == OK})
}

// actionsOfKind returns the actions that have kind k.
func actionsOfKind(actions []Action, k ActionKind) (found []Action) {
	for _, a := range actions {
		if a.Kind == k {
			found = append(found, a)
		}
	}
	return found
}

// want fails the test unless exactly n of the actions have kind k.
func (b *harness) want(actions []Action, k ActionKind, n int) {
	b.t.Helper()
	if got := len(actionsOfKind(actions, k)); got != n {
		b.t.Fatalf("at time %v us: got %d actions of kind %d, want %d; all actions: %+v", b.now, got, k, n, actions)
	}
}

// ready returns the list entry of a ready worker that is not in slow start.
func ready(id WorkerID, cell int) WorkerEntry {
	return WorkerEntry{Worker: id, Cell: cell, Status: Ready}
}

// fillQueue replaces the dispatcher's queue by jobs with the given latest starts, in microseconds from now,
// without arrival events of these jobs.
func (b *harness) fillQueue(latestStarts ...Micros) {
	b.d.queue = nil
	for i, t := range latestStarts {
		j := &job{id: JobID(1000 + i), latestStart: b.now + t, seq: uint64(i), queued: true}
		b.d.queue = append(b.d.queue, j)
	}
}

// testFleet returns a list of n ready workers in two zones and of two machine kinds. None of the workers is
// in slow start.
func testFleet(n int) []WorkerEntry {
	list := make([]WorkerEntry, n)
	source := random(7)
	for i := range list {
		list[i] = WorkerEntry{Worker: WorkerID(source.uniform() * (1 << 31)), Status: Ready,
			Zone: i % 2, Kind: i / 2 % 2, Cell: i / 8}
	}
	return list
}

// startDispatchers starts the given number of dispatchers with the same cached worker list. The function zone
// maps the index of a dispatcher to the dispatcher's zone.
func startDispatchers(t testing.TB, dispatchers int, list []WorkerEntry, zone func(int) int,
	configure func(*Settings)) []*harness {
	t.Helper()
	all := make([]*harness, dispatchers)
	for i := range all {
		all[i] = startDispatcher(t, dispatchers, i, list, zone(i), configure)
	}
	return all
}

// startDispatcher starts dispatcher i of a fleet of dispatchers with a cached worker list. The function
// configure, if not nil, changes the settings first.
func startDispatcher(t testing.TB, dispatchers, i int, list []WorkerEntry, zone int,
	configure func(*Settings)) *harness {
	t.Helper()
	s := testSettings()
	s.Dispatchers, s.Index, s.Zone, s.GossipAllowed = dispatchers, i, zone, true
	if configure != nil {
		configure(&s)
	}
	d, err := New(s, uint64(i))
	if err != nil {
		t.Fatal(err)
	}
	b := &harness{t: t, d: d, now: 100 * second}
	b.feed(Event{Kind: Started})
	b.feed(Event{Kind: EndpointsUpdated, Scope: UpdateCached, Workers: list})
	return b
}

// alternatingZone assigns dispatchers to two zones alternately.
func alternatingZone(i int) int { return i % 2 }

// runAttempt reports the start of a sent attempt, and its success after the given span.
func (b *harness) runAttempt(sent Action, span Micros) {
	b.feed(Event{Kind: AttemptReported, Job: sent.Job, Attempt: sent.Attempt, Note: NoteStarted})
	b.now += span
	b.end(sent.Job, sent.Attempt, OK)
}

// setSlotLimits sets the slot limit of every worker: the number of slots that the dispatcher may fill there
// if workers do not report the starts of jobs.
func (b *harness) setSlotLimits(limit float64) {
	for _, w := range b.d.ordered {
		w.slotLimit, w.slotLimitAt = limit, b.now
	}
}

// largeFleetWithoutGossipSettings sets what a production deployment with many dispatchers uses: no gossip, no
// hedging, a low price for an attempt in another zone, and batches of events every 2 ms.
func largeFleetWithoutGossipSettings(s *Settings) {
	s.GossipAllowed, s.HedgingAllowed, s.CrossZonePrice, s.Granularity = false, false, 0.01, second/500
}
