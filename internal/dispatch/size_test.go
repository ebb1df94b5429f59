package dispatch

import (
	"fmt"
	"testing"
)

// Tests at size: hundreds of dispatchers, fed by script. Each has its own state;
// what they do together is summed up here.

// Every worker belongs to the subsets of about as many dispatchers of its zone, and
// every subset has some workers of its zone, however zones are dealt out to numbers.
func TestSubsetsCoverTheFleetEvenly(t *testing.T) {
	for _, n := range []int{50, 260, 500} {
		for name, zone := range map[string]func(int) int{
			"alternating": alternatingZone,
			"blocks":      func(i int) int { return i * 2 / n },
		} {
			list := testFleet(200)
			covered := map[WorkerID]int{}
			for _, b := range startDispatchers(t, n, list, zone, nil) {
				local := 0
				for _, w := range b.d.subset {
					if w.entry.Zone == b.d.settings.Zone {
						covered[w.entry.Worker]++
						local++
					}
				}
				if local < 3 {
					t.Errorf("%d dispatchers, zones %s: %d has %d local workers", n, name, b.d.settings.Index, local)
				}
			}
			mean := 0.0
			for _, c := range covered {
				mean += float64(c) / 200
			}
			for _, e := range list {
				if c := float64(covered[e.Worker]); c < mean/2 || c > mean*2 {
					t.Errorf("%d dispatchers, zones %s: a worker has %v of its zone, mean %.1f", n, name, c, mean)
				}
			}
		}
	}
}

// Hundreds that know nothing yet and get a job at the same moment do not all choose
// the same workers.
func TestChoicesSpreadAtSize(t *testing.T) {
	sent := map[WorkerID]int{}
	for _, b := range startDispatchers(t, 260, testFleet(200), alternatingZone, nil) {
		for _, a := range actionsOfKind(b.arrive(1, 0), Send) {
			sent[a.Worker]++
		}
	}
	limit, total := 0, 0
	for _, n := range sent {
		limit, total = max(limit, n), total+n
	}
	if total != 260 || limit > 8 || len(sent) < 70 {
		t.Errorf("%d jobs went to %d workers, %d to one", total, len(sent), limit)
	}
}

// All together keep the budget of a worker in slow start, though each of them has jobs that
// find no other worker, peers' gossip is lost, and some are restarted.
func TestSlowStartBudgetHoldsInSumAtSize(t *testing.T) {
	t.Run("peers", func(t *testing.T) { checkSlowStartBudget(t, nil) })
	t.Run("without gossip", func(t *testing.T) { checkSlowStartBudget(t, largeFleetWithoutGossipSettings) })
}

func checkSlowStartBudget(t *testing.T, change func(*Settings)) {
	const dispatchers = 240
	list := testFleet(24)
	all := startDispatchers(t, dispatchers, list, alternatingZone, change)
	for _, b := range all {
		b.setSlots(list[0].Worker, 4)
		b.setSlots(list[2].Worker, 4)
	}
	started := all[0].now
	for i := range list {
		list[i].Started = started // the whole fleet restarts
	}
	sends := map[WorkerID][]sentWork{}
	for i, b := range all {
		b.feed(Event{Kind: EndpointsUpdated, Workers: list})
		for step := range 60 {
			id := JobID(i*1000 + step)
			if i%50 == 7 && step == 20 { // restarted: it has the cached list and no state
				s := b.d.settings
				b.d, _ = New(s, uint64(i+999))
				b.feed(Event{Kind: Started})
				b.feed(Event{Kind: EndpointsUpdated, Scope: UpdateCached, Workers: list})
			}
			work := Micros(second / 10)
			for _, a := range actionsOfKind(b.feed(Event{Kind: JobArrived, Job: id, Work: work, Slots: 1,
				ClientTimeout: 6 * second}), Send) {
				sends[a.Worker] = append(sends[a.Worker], sentWork{b.now, float64(work)})
			}
			for _, a := range actionsOfKind(b.advance(second/10), Send) {
				sends[a.Worker] = append(sends[a.Worker], sentWork{b.now, float64(work)})
			}
		}
	}
	set := all[0].d.settings
	if len(sends) == 0 {
		t.Fatal("nothing was sent: the test shows nothing")
	}
	for w, bookings := range sends {
		for _, end := range bookings {
			sum := 0.0
			for _, b := range bookings {
				if b.at <= end.at && end.at-b.at < set.OverloadWindow {
					sum += b.work
				}
			}
			age := float64(end.at - set.OverloadWindow - started)
			present := set.SlowStartInitial + (1-set.SlowStartInitial)*age/float64(set.SlowStart)
			budget := set.OverloadFactor * 4 * max(set.SlowStartInitial, present) * float64(set.OverloadWindow)
			if sum > budget {
				t.Fatalf("worker %d in slow start was sent %.0f of a budget of %.0f by all", w, sum, budget)
			}
		}
	}
}

// A tenant that keeps its quota is within it at every dispatcher; what it sends
// over it is detected in sum, too: what bursts allow is bounded.
func TestQuotasHoldInSumAtSize(t *testing.T) {
	const dispatchers, quota, seconds = 200, 400.0, 20
	within := func(rate float64) (n float64) {
		for _, b := range startDispatchers(t, dispatchers, testFleet(40), alternatingZone, func(s *Settings) {
			s.Tenants = []Tenant{{Quota: quota}}
		}) {
			for i := range int(rate * seconds / dispatchers) {
				b.now = 100*second + Micros(float64(i)*dispatchers/rate*second)
				b.d.now = b.now
				if !b.d.exceedsQuota(0, false) {
					n++
				}
			}
		}
		return n
	}
	if got := within(quota * 0.9); got < quota*0.9*seconds {
		t.Errorf("%v of %v jobs within a quota that is kept", got, quota*0.9*seconds)
	}
	limit := quota*seconds + dispatchers*max(minQuotaBurst, quota/dispatchers*quotaBurstSeconds)
	if got := within(quota * 4); got > limit {
		t.Errorf("%v jobs within the quota, at most %v", got, limit)
	}
}

// A message goes to those who share a worker, not to all: their number does not
// grow with that of the dispatchers.
func TestMessagesDoNotGrowWithTheDispatchers(t *testing.T) {
	for _, n := range []int{60, 240, 480} {
		messages := 0
		for _, b := range startDispatchers(t, n, testFleet(n), alternatingZone, nil) {
			messages += len(actionsOfKind(b.arrive(1, 0), SendGossip))
		}
		if mean := float64(messages) / float64(n); mean == 0 || mean > 4*targetDispatchersPerWorker {
			t.Errorf("%d dispatchers: a job is reported to %.1f", n, mean)
		}
	}
}

// Hundreds that lose the list at once do not poll in step.
func TestPollsOfAllAreSpread(t *testing.T) {
	at := map[Micros]int{}
	poll := func(s *Settings) { s.PollEndpoints = true }
	for _, b := range startDispatchers(t, 260, testFleet(20), alternatingZone, poll) {
		b.feed(Event{Kind: EndpointsUpdated, Scope: UpdateFailed})
		at[b.d.pollAt/(second/100)]++
	}
	for when, n := range at {
		if n > 26 {
			t.Errorf("%d of 260 poll within the same hundredth of a second, at %d", n, when)
		}
	}
}

// While the list's service is down polls cost it nothing, and as it is back nobody waits there. So after
// a failed poll the next one comes soon, spread over all, and only several failures in a row, which
// may mean that it cannot keep up, make the wait longer.
func TestPollsFollowSoonAfterAFailedOne(t *testing.T) {
	const failures = 8
	var sum [failures]float64
	at := map[Micros]int{}
	all := startDispatchers(t, 260, testFleet(20), alternatingZone, func(s *Settings) { s.PollEndpoints = true })
	for _, b := range all {
		b.feed(Event{Kind: EndpointsUpdated, Scope: UpdateFailed}) // the watch ends
		b.now += 10 * second                                       // the last update holds no longer
		for i := range failures {
			b.feed(Event{Kind: EndpointsUpdated, Scope: UpdateFailed})
			wait := b.d.pollAt - b.now
			if limit := b.d.settings.PollInterval / 5; wait > 2*limit || i < fastPollRetries && wait > limit {
				t.Errorf("failure %d: the next poll comes after %d us", i+1, wait)
			}
			sum[i] += float64(wait) / float64(len(all)) / second
			if i == 0 {
				at[wait/(second/10)]++
			}
		}
	}
	for when, n := range at {
		if n > 26 {
			t.Errorf("%d of %d poll in the same tenth of a second, at %d", n, len(all), when)
		}
	}
	if sum[0] > 1.2 || sum[failures-1] < 1.5*sum[0] {
		t.Errorf("mean waits after each failure: %.2f s", sum)
	}
}

// An agent of our own answers at once and at no cost: no poll waits, and hundreds of failures leave
// less than half a second between two.
func TestUnmeteredPollsDoNotWait(t *testing.T) {
	for _, dispatchers := range []int{1, 300} {
		s := testSettings()
		s.Dispatchers, s.PollEndpoints, s.UnmeteredPolls, s.MaxStaleness = dispatchers, true, true, 6*second
		d, err := New(s, 1)
		if err != nil {
			t.Fatal(err)
		}
		b := &harness{t: t, d: d, now: 100 * second}
		b.want(b.feed(Event{Kind: Started}), WatchEndpoints, 1)
		b.feed(Event{Kind: EndpointsUpdated, Scope: UpdateFull, Workers: []WorkerEntry{ready(1, 0)}})
		b.feed(Event{Kind: EndpointsUpdated, Scope: UpdateFailed})
		b.want(b.advance(2*s.Granularity), WatchEndpoints, 1)
		for i := range 300 {
			b.feed(Event{Kind: EndpointsUpdated, Scope: UpdateFailed})
			if wait := b.d.pollAt - b.now; wait < second/10 || wait > second/2 {
				t.Fatalf("failure %d: the next poll comes after %d us", i, wait)
			}
		}
	}
}

// Hundreds that start at once do not poll in step: each poll that waits too long at discovery
// fails, and has cost it as much as one that was answered. Yet none waits long, however many
// they are, as nothing may be sent before the first update.
func TestFirstPollsOfAllAreSpread(t *testing.T) {
	for _, dispatchers := range []int{80, 300, 1000} {
		calls := map[Micros]int{}
		for i := range dispatchers {
			s := testSettings()
			s.Dispatchers, s.Index, s.PollEndpoints, s.PollInterval = dispatchers, i, true, 10*second
			d, err := New(s, uint64(i))
			if err != nil {
				t.Fatal(err)
			}
			b := &harness{t: t, d: d, now: 100 * second}
			first := len(actionsOfKind(b.feed(Event{Kind: Started}), WatchEndpoints))
			for at := Micros(0); at < s.PollInterval/5 && first == 0; at += second / 10 {
				if first = len(actionsOfKind(b.advance(second/10), WatchEndpoints)); first > 0 {
					calls[at]++
				}
			}
			if first != 1 {
				t.Errorf("dispatcher %d of %d polled %d times", i, dispatchers, first)
			}
			// It fails, again and again: each time it may wait longer, at random.
			for range 8 {
				b.feed(Event{Kind: EndpointsUpdated, Scope: UpdateFailed})
				if wait := b.d.pollAt - b.now; wait < 0 || wait >= s.PollInterval {
					t.Errorf("dispatcher %d of %d polls again after %d us", i, dispatchers, wait)
				}
			}
		}
		for at, n := range calls {
			if n > dispatchers/8 {
				t.Errorf("%d of %d poll in the tenth of a second after %d us", n, dispatchers, at)
			}
		}
	}
}

// The cost of a job hardly grows with the fleet and the dispatchers.
func BenchmarkJobByFleet(b *testing.B) {
	for _, n := range []int{20, 200, 800} {
		b.Run(fmt.Sprint(n, " workers"), func(b *testing.B) {
			d := startDispatcher(b, n, 0, testFleet(n), 0, nil)
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				id := JobID(i)
				d.now += second / 2
				sent := actionsOfKind(d.arrive(id, 0), Send)
				for _, a := range sent {
					d.feed(Event{Kind: AttemptReported, Job: id, Attempt: a.Attempt, Note: NoteStarted})
				}
				d.now += second / 5
				for _, a := range sent {
					d.feed(Event{Kind: AttemptEnded, Job: id, Attempt: a.Attempt, Outcome: OK, Final: true})
				}
			}
		})
	}
}
