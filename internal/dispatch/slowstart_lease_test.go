package dispatch

import (
	"math"
	"testing"
)

// Leases: how the owners of a worker in slow start share what it can take.

// leaseWorld is the owners of one worker in slow start, which has just started and which all know of.
type leaseWorld struct {
	owners  []*harness // by turn in the first lease
	worker  WorkerID
	started Micros
	set     *Settings
}

const leaseTestSlots = 5

// newLeaseWorld starts all dispatchers of a deployment with long requests, and finds a worker's owners.
func newLeaseWorld(t *testing.T, dispatchers int) *leaseWorld {
	t.Helper()
	list := testFleet(16)
	all := startAll(t, dispatchers, list, alternating, func(s *Settings) {
		withoutGossipSettings(s)
		allDeployments[1].configure(s)
	})
	l := &leaseWorld{owners: make([]*harness, sharedOwners), worker: list[0].Worker, started: all[0].now + second,
		set: &all[0].d.settings}
	list[0].Started = l.started
	for _, b := range all {
		b.setSlots(l.worker, leaseTestSlots)
		b.pass(second)
		b.do(Event{Kind: EndpointsUpdated, Workers: list})
		if w := b.d.workers[l.worker]; b.d.slowStartOwner(w) {
			l.owners[b.d.ownerRank(w)] = b
		}
	}
	return l
}

// fill lets an owner send as many jobs of a cost as it may now, and returns their work.
func (l *leaseWorld) fill(b *harness, cost float64) (sent float64) {
	w := b.d.workers[l.worker]
	b.d.now = b.now // no event has come since
	for b.d.leaseAllows(cost, w) {
		w.slowStartBudget -= cost
		sent += cost
	}
	return sent
}

// limit is what the rule allows in a window that begins now.
func (l *leaseWorld) limit(b *harness) float64 {
	fraction := l.set.SlowStartInitial + (1-l.set.SlowStartInitial)*float64(b.now-l.started)/float64(l.set.SlowStart)
	mean := b.d.meanWork()
	n := fraction * leaseTestSlots * l.set.OverloadFactor * float64(l.set.OverloadWindow) / mean
	return (n + 2*math.Sqrt(n) + 2) * mean
}

// However large the jobs are, all owners together send less than the limit in any two leases that follow each
// other, and a window meets no more than two.
func TestLeasesOfTwoWindowsKeepTheLimit(t *testing.T) {
	for _, cost := range []float64{0.05 * second, 0.2 * second, 0.6 * second, 1 * second, 2.5 * second} {
		l := newLeaseWorld(t, 30)
		before, limitBefore := 0.0, 0.0
		for lease := range 5 {
			sent := 0.0
			limit := l.limit(l.owners[0])
			for _, b := range l.owners {
				sent += l.fill(b, cost)
				b.pass(l.set.OverloadWindow)
			}
			if lease > 0 && before+sent > limitBefore {
				t.Errorf("jobs of %.2f s: %.2f s in leases %d and %d, the limit is %.2f s", cost/second,
					(before+sent)/second, lease-1, lease, limitBefore/second)
			}
			if lease > 0 && sent == 0 {
				t.Errorf("jobs of %.2f s: nothing is sent in lease %d", cost/second, lease)
			}
			before, limitBefore = sent, limit
		}
	}
}

// A job that is larger than any part may be sent by one owner a lease, another one each time.
func TestOneOwnerALeaseMaySendALargerJob(t *testing.T) {
	l := newLeaseWorld(t, 30)
	const huge = 100 * second
	last := -1
	for lease := range 6 {
		var senders []int
		for rank, b := range l.owners {
			if l.fill(b, huge) > 0 {
				senders = append(senders, rank)
			}
			b.pass(l.set.OverloadWindow)
		}
		switch {
		case lease == 0 && len(senders) > 0:
			t.Errorf("%v sent a larger job in the first lease", senders)
		case lease > 0 && (len(senders) != 1 || senders[0] == last):
			t.Errorf("lease %d: %v sent a larger job, %d the one before", lease, senders, last)
		case lease > 0:
			last = senders[0]
		}
	}
}

// A dispatcher that restarts computes the same turns, and can't know what it sent before: it waits for the next
// lease. A worker that started after it is known from its start on.
func TestRestartedDispatcherWaitsForTheNextLease(t *testing.T) {
	l := newLeaseWorld(t, 30)
	b := l.owners[(leaseTurn)%sharedOwners] // the first in turn in lease 1
	b.pass(l.set.OverloadWindow + l.set.OverloadWindow/2)
	if l.fill(b, second) == 0 {
		t.Fatal("the first in turn may send nothing")
	}
	entry := b.d.workers[l.worker].entry
	d, err := New(b.d.settings, 7)
	if err != nil {
		t.Fatal(err)
	}
	b.d = d
	b.do(Event{Kind: Started})
	b.do(Event{Kind: EndpointsUpdated, Workers: []WorkerEntry{entry}})
	b.setSlots(l.worker, leaseTestSlots)
	if sent := l.fill(b, second/100); sent > 0 {
		t.Errorf("%.2f s sent in a lease that began before the dispatcher", sent/second)
	}
	b.pass(l.set.OverloadWindow)
	if l.fill(b, second/100) == 0 {
		t.Error("nothing is sent in the next lease")
	}
}

// Settings may state fewer dispatchers than there are. One whose number is beyond them owns no worker in slow start,
// as it would take the turns of another.
func TestDispatcherBeyondTheStatedNumberOwnsNone(t *testing.T) {
	list := testFleet(60)
	for _, stated := range []int{1, 8, 9, 30} {
		owners := map[WorkerID]int{}
		for i := range 2 * stated {
			b := startOne(t, 2*stated, i, list, 0, withoutGossipSettings)
			b.d.settings.Dispatchers = stated
			for _, e := range list {
				if b.d.slowStartOwner(b.d.workers[e.Worker]) {
					owners[e.Worker]++
				}
			}
		}
		want := 1
		if stated > smallFleet {
			want = sharedOwners
		}
		for _, e := range list {
			if owners[e.Worker] != want {
				t.Fatalf("%d stated: a worker has %d owners, want %d", stated, owners[e.Worker], want)
			}
		}
	}
}

// The sum holds with twice as many dispatchers as the settings state.
func TestSlowStartFleetKeepsItsLimitWithMoreDispatchersThanStated(t *testing.T) {
	for s := range allDeployments {
		site := &allDeployments[s]
		if site.slots > 10 {
			continue // simulations of so many requests take long
		}
		t.Run(site.name, func(t *testing.T) {
			t.Parallel()
			for i, size := range [][2]int{{18, 16}, {30, 16}, {60, 60}} {
				c := rampCase{deployment: site, dispatchers: size[0], statedDispatchers: size[0] / 2, workers: size[1],
					restarted: -1, load: 1.2, maxDelay: 2 * second, seed: uint64(i + 1)}
				if seen := c.run(t); seen.informed > 1 || seen.all > 1 {
					t.Errorf("those who knew sent %.2f of the limit, all %.2f: %v", seen.informed, seen.all, &c)
				}
			}
		})
	}
}
