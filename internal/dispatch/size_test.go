package dispatch

import (
	"fmt"
	"testing"
)

// This file has tests with hundreds of dispatchers, which share no state. The tests sum up the actions of all
// dispatchers.

// Every worker is in the subsets of a similar number of dispatchers of its zone, and every subset has at
// least three workers of the dispatcher's zone, however zones are assigned to the indexes of dispatchers.
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
					t.Errorf("%d dispatchers, zones %s: subset of dispatcher %d has %d workers of its zone, want 3 or more",
						n, name, b.d.settings.Index, local)
				}
			}
			mean := 0.0
			for _, c := range covered {
				mean += float64(c) / 200
			}
			for _, e := range list {
				if c := float64(covered[e.Worker]); c < mean/2 || c > mean*2 {
					t.Errorf("%d dispatchers, zones %s: worker in %v subsets of its zone, want 1/2 to 2 times the mean %.1f",
						n, name, c, mean)
				}
			}
		}
	}
}

// Hundreds of dispatchers without any learned state each get a job at the same time. The dispatchers must not
// all choose the same few workers.
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
		t.Errorf("got %d jobs sent to %d workers, up to %d to one worker; want 260, at least 70, and at most 8",
			total, len(sent), limit)
	}
}

// All dispatchers together send a worker in slow start no more than its slow-start budget, although each
// dispatcher has jobs for which there is no other worker, all gossip is lost, and some dispatchers restart.
func TestSlowStartBudgetHoldsInSumAtSize(t *testing.T) {
	t.Run("peers", func(t *testing.T) { checkSlowStartBudgetInSum(t, nil) })
	t.Run("without gossip", func(t *testing.T) { checkSlowStartBudgetInSum(t, largeFleetWithoutGossipSettings) })
}

// checkSlowStartBudgetInSum restarts a whole fleet of workers and compares the work that all dispatchers send
// to each worker within an overload window with the worker's budget. The overload window is the time over
// which the work sent to a worker in slow start is limited.
func checkSlowStartBudgetInSum(t *testing.T, configure func(*Settings)) {
	const dispatchers = 240
	list := testFleet(24)
	all := startDispatchers(t, dispatchers, list, alternatingZone, configure)
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
			if i%50 == 7 && step == 20 { // the dispatcher restarts with the cached list only
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
	fleetSettings := all[0].d.settings
	if len(sends) == 0 {
		t.Fatal("got no job sent to any worker, want some to check the budgets")
	}
	for w, workerSends := range sends {
		for _, end := range workerSends {
			sum := 0.0
			for _, b := range workerSends {
				if b.at <= end.at && end.at-b.at < fleetSettings.OverloadWindow {
					sum += b.work
				}
			}
			age := float64(end.at - fleetSettings.OverloadWindow - started)
			fraction := fleetSettings.SlowStartInitial +
				(1-fleetSettings.SlowStartInitial)*age/float64(fleetSettings.SlowStart)
			budget := fleetSettings.OverloadFactor * 4 * max(fleetSettings.SlowStartInitial, fraction) *
				float64(fleetSettings.OverloadWindow)
			if sum > budget {
				t.Fatalf(
					"worker %d, slow-start budget per OverloadWindow: dispatchers sent %.0f us of work, want up to %.0f us",
					w, sum, budget)
			}
		}
	}
}

// A tenant that sends less than its quota is within the quota at every dispatcher. If the tenant sends more,
// all dispatchers together accept at most the quota plus the bounded bursts of each dispatcher.
func TestQuotasHoldInSumAtSize(t *testing.T) {
	const dispatchers, quota, seconds = 200, 400.0, 20
	countWithinQuota := func(rate float64) (n float64) {
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
	if got := countWithinQuota(quota * 0.9); got < quota*0.9*seconds {
		t.Errorf("tenant at 0.9 of its quota: got %v of %v jobs within the quota, want all", got, quota*0.9*seconds)
	}
	limit := quota*seconds + dispatchers*max(minQuotaBurst, quota/dispatchers*quotaBurstSeconds)
	if got := countWithinQuota(quota * 4); got > limit {
		t.Errorf("tenant at 4 times its quota: got %v jobs within the quota, want at most %v", got, limit)
	}
}

// A gossip message goes only to the dispatchers that share a worker with the sender. The number of receivers
// does not grow with the number of dispatchers.
func TestMessagesDoNotGrowWithTheDispatchers(t *testing.T) {
	for _, n := range []int{60, 240, 480} {
		messages := 0
		for _, b := range startDispatchers(t, n, testFleet(n), alternatingZone, nil) {
			messages += len(actionsOfKind(b.arrive(1, 0), SendGossip))
		}
		if mean := float64(messages) / float64(n); mean == 0 || mean > 4*targetDispatchersPerWorker {
			t.Errorf(
				"%d dispatchers: got %.1f gossip messages per job, want over 0, up to 4 times targetDispatchersPerWorker",
				n, mean)
		}
	}
}

// Hundreds of dispatchers that lose the subscription to the worker list at once do not poll at the same time.
func TestPollsOfAllAreSpread(t *testing.T) {
	pollCounts := map[Micros]int{}
	enablePolling := func(s *Settings) { s.PollEndpoints = true }
	for _, b := range startDispatchers(t, 260, testFleet(20), alternatingZone, enablePolling) {
		b.feed(Event{Kind: EndpointsUpdated, Scope: UpdateFailed})
		pollCounts[b.d.pollAt/(second/100)]++
	}
	for hundredth, n := range pollCounts {
		if n > 26 {
			t.Errorf("got %d of 260 polls planned in the same hundredth of a second, number %d, want at most 26",
				n, hundredth)
		}
	}
}

// While the discovery service is down, polls cost the service nothing, and no calls wait there when the
// service returns. So a dispatcher polls again soon after a failed poll, at a random time, so that the polls
// of all dispatchers are spread. Only several failures in a row make the wait longer, as they may mean that
// the service receives too many polls.
func TestPollBackoffAfterFailures(t *testing.T) {
	const failures = 8
	var meanWaits [failures]float64
	pollCounts := map[Micros]int{}
	all := startDispatchers(t, 260, testFleet(20), alternatingZone, func(s *Settings) { s.PollEndpoints = true })
	for _, b := range all {
		b.feed(Event{Kind: EndpointsUpdated, Scope: UpdateFailed}) // the subscription ends
		// The dispatcher last received an update of the worker list 10 s ago.
		b.now += 10 * second
		for i := range failures {
			b.feed(Event{Kind: EndpointsUpdated, Scope: UpdateFailed})
			wait := b.d.pollAt - b.now
			if limit := b.d.settings.PollInterval / 5; wait > 2*limit || i < fastPollRetries && wait > limit {
				t.Errorf(
					"failed poll %d: got the next one in %d us, want 1/5 of the poll interval at most, 2/5 from the 4th on",
					i+1, wait)
			}
			meanWaits[i] += float64(wait) / float64(len(all)) / second
			if i == 0 {
				pollCounts[wait/(second/10)]++
			}
		}
	}
	for tenth, n := range pollCounts {
		if n > 26 {
			t.Errorf("got %d of %d polls planned in the same tenth of a second, number %d, want at most 26",
				n, len(all), tenth)
		}
	}
	if meanWaits[0] > 1.2 || meanWaits[failures-1] < 1.5*meanWaits[0] {
		t.Errorf(
			"mean waits after 1 to 8 failed polls: got %.2f s, want first up to 1.2 s, last at least 1.5 times first",
			meanWaits)
	}
}

// Polls that put no load on discovery, such as polls of a discovery agent on the same machine, are not
// delayed. Even after hundreds of failed polls at most half a second passes before the next poll.
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
				t.Fatalf("after failed poll %d: got the next poll in %d us, want it in 0.1 s to 0.5 s", i, wait)
			}
		}
	}
}

// Hundreds of dispatchers that start at once do not poll at the same time. A poll that waits too long at the
// discovery service fails, and costs the service as much as a poll that is answered. But no dispatcher delays
// its first poll for long, whatever the number of dispatchers, as it may send nothing before the first update
// of the worker list.
func TestFirstPollsOfAllAreSpread(t *testing.T) {
	for _, dispatchers := range []int{80, 300, 1000} {
		pollCounts := map[Micros]int{}
		for i := range dispatchers {
			s := testSettings()
			s.Dispatchers, s.Index, s.PollEndpoints, s.PollInterval = dispatchers, i, true, 10*second
			d, err := New(s, uint64(i))
			if err != nil {
				t.Fatal(err)
			}
			b := &harness{t: t, d: d, now: 100 * second}
			polls := len(actionsOfKind(b.feed(Event{Kind: Started}), WatchEndpoints))
			for at := Micros(0); at < s.PollInterval/5 && polls == 0; at += second / 10 {
				if polls = len(actionsOfKind(b.advance(second/10), WatchEndpoints)); polls > 0 {
					pollCounts[at]++
				}
			}
			if polls != 1 {
				t.Errorf("dispatcher %d of %d: got %d polls in 1/5 of the poll interval after its start, want 1",
					i, dispatchers, polls)
			}
			// Polls fail repeatedly, and the random wait before the next poll may grow each time.
			for range 8 {
				b.feed(Event{Kind: EndpointsUpdated, Scope: UpdateFailed})
				if wait := b.d.pollAt - b.now; wait < 0 || wait >= s.PollInterval {
					t.Errorf("dispatcher %d of %d: got the next poll after %d us, want it within the poll interval",
						i, dispatchers, wait)
				}
			}
		}
		for at, n := range pollCounts {
			if n > dispatchers/8 {
				t.Errorf("got %d of %d first polls in the 100 ms that begin %d us after the start, want at most 1/8",
					n, dispatchers, at)
			}
		}
	}
}

// BenchmarkJobByFleet measures the time and memory that a dispatcher spends on a job. Both should hardly grow
// with the numbers of workers and dispatchers.
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
