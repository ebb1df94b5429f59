package dispatch

import "testing"

// The test harness: one dispatcher, driven by events, and settings and worker lists for it.

// testSettings has one class of each effect, in this order: safe, keyed (cell),
// unsafe. Objectives are short enough to be missed and long enough to wait.
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

// harness drives one dispatcher and keeps the actions of its last event.
type harness struct {
	t   testing.TB
	d   *Dispatcher
	now Micros
	out []Action
}

// newHarness is a dispatcher that has the list of workers, at 100 s.
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

// feed passes an event and returns the actions that it called for.
func (b *harness) feed(e Event) []Action {
	b.out = b.d.Step(b.now, &e, nil)
	return b.out
}

// advance lets time go by, with the timers that were set.
func (b *harness) advance(span Micros) []Action {
	var all []Action
	for end := b.now + span; ; {
		if b.d.timerDueAt == 0 || b.d.timerDueAt > end {
			b.now = end
			return all
		}
		b.now = max(b.now, b.d.timerDueAt)
		all = append(all, b.feed(Event{Kind: TimerFired, Token: b.d.timerToken})...)
	}
}

// setSlots makes the dispatcher know how many slots workers of a kind have.
func (b *harness) setSlots(w WorkerID, n int) {
	k := b.d.kindOf(b.d.workers[w])
	k.maxSlotsTried, k.capacityProbedAt, k.maxBusySlots = n+1, b.now, float64(n)
	k.startCountsBySlots = [maxTrackedSlots + 1]startCounts{}
	k.startCountsBySlots[n].prompt, k.startCountsBySlots[n+1].delayed = 9, 9
}

// arrive passes a job of 200 ms with the patience of its class.
func (b *harness) arrive(id JobID, class int) []Action {
	return b.feed(Event{Kind: JobArrived, Job: id, Class: class, Work: second / 5, Slots: 1,
		ClientTimeout: b.d.settings.Classes[class].Deadline})
}

// end passes the end of an attempt.
func (b *harness) end(id JobID, attempt int, o Outcome) []Action {
	return b.feed(Event{Kind: AttemptEnded, Job: id, Attempt: attempt, Outcome: o, Final: o == OK})
}

// actionsOfKind returns the actions of a kind.
func actionsOfKind(actions []Action, k ActionKind) (found []Action) {
	for _, a := range actions {
		if a.Kind == k {
			found = append(found, a)
		}
	}
	return found
}

// want fails the test unless there are n actions of a kind.
func (b *harness) want(actions []Action, k ActionKind, n int) {
	b.t.Helper()
	if got := len(actionsOfKind(actions, k)); got != n {
		b.t.Fatalf("at %v: %d actions of kind %d, want %d: %+v", b.now, got, k, n, actions)
	}
}

// ready is a list entry of a ready worker.
func ready(id WorkerID, cell int) WorkerEntry {
	return WorkerEntry{Worker: id, Cell: cell, Status: Ready}
}

// fillQueue puts jobs into the queue without an arrival: latest starts from now.
func (b *harness) fillQueue(latestStarts ...Micros) {
	b.d.queue = nil
	for i, t := range latestStarts {
		j := &job{id: JobID(1000 + i), latestStart: b.now + t, seq: uint64(i), queued: true}
		b.d.queue = append(b.d.queue, j)
	}
}

// testFleet lists workers of two zones and two kinds, none of them in slow start.
func testFleet(n int) []WorkerEntry {
	list := make([]WorkerEntry, n)
	source := random(7)
	for i := range list {
		list[i] = WorkerEntry{Worker: WorkerID(source.uniform() * (1 << 31)), Status: Ready,
			Zone: i % 2, Kind: i / 2 % 2, Cell: i / 8}
	}
	return list
}

// startDispatchers starts dispatchers that have the list, each in the zone that the function gives for its
// number.
func startDispatchers(t testing.TB, dispatchers int, list []WorkerEntry, zone func(int) int,
	change func(*Settings)) []*harness {
	t.Helper()
	all := make([]*harness, dispatchers)
	for i := range all {
		all[i] = startDispatcher(t, dispatchers, i, list, zone(i), change)
	}
	return all
}

// startDispatcher starts one of many dispatchers.
func startDispatcher(t testing.TB, dispatchers, i int, list []WorkerEntry, zone int,
	change func(*Settings)) *harness {
	t.Helper()
	s := testSettings()
	s.Dispatchers, s.Index, s.Zone, s.GossipAllowed = dispatchers, i, zone, true
	if change != nil {
		change(&s)
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

// alternatingZone deals two zones out in turn.
func alternatingZone(i int) int { return i % 2 }

// runAttempt lets a sent job run on its worker for a while and succeed.
func (b *harness) runAttempt(sent Action, span Micros) {
	b.feed(Event{Kind: AttemptReported, Job: sent.Job, Attempt: sent.Attempt, Note: NoteStarted})
	b.now += span
	b.end(sent.Job, sent.Attempt, OK)
}

// setSlotLimits sets the slot limit of all workers.
func (b *harness) setSlotLimits(free float64) {
	for _, w := range b.d.ordered {
		w.slotLimit, w.slotLimitAt = free, b.now
	}
}

// largeFleetWithoutGossipSettings changes settings to those of the operators' large fleet, without gossip.
func largeFleetWithoutGossipSettings(s *Settings) {
	s.GossipAllowed, s.HedgingAllowed, s.CrossZonePrice, s.Granularity = false, false, 0.01, second/500
}
