package dispatch

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// endpointsModel is the reference model of the worker list. At each update it sorts and scans all workers and
// rebuilds their order, the dispatcher's subset and the ring positions of the workers, which the dispatcher
// updates incrementally. Workers that are not ready keep their last position on the ring.
type endpointsModel struct {
	known         map[WorkerID]*worker // the dispatcher's workers, from which the model reads the list entries
	ringPositions map[WorkerID]float64
	removedAt     map[WorkerID]Micros
	ordered       []WorkerID
	subset        []WorkerID
	neighbours    []int
	ringCoverage  float64
}

// update rebuilds the model after an update of the dispatcher, from the list entries that the dispatcher has.
func (m *endpointsModel) update(d *Dispatcher) {
	order := []*worker{}
	for id, w := range m.known {
		if w.entry.Status != Removed {
			m.removedAt[id] = 0
		} else if m.removedAt[id] == 0 {
			m.removedAt[id] = max(d.now, 1)
		}
		expired := m.removedAt[id] != 0 && d.now-m.removedAt[id] >= d.settings.RemovedRetention()
		if expired && len(w.attempts) == 0 && !w.gossipQueued {
			delete(m.known, id)
			delete(m.removedAt, id)
			delete(m.ringPositions, id)
			continue
		}
		order = append(order, w)
	}
	slices.SortFunc(order, func(a, b *worker) int {
		x, y := &a.entry, &b.entry
		return cmp.Or(cmp.Compare(x.Zone, y.Zone), cmp.Compare(x.Kind, y.Kind), cmp.Compare(x.Worker, y.Worker))
	})
	m.ordered, m.subset, m.neighbours = nil, nil, nil
	ready, zones := order[:0:0], 0.0
	for _, w := range order {
		m.ordered = append(m.ordered, w.entry.Worker)
		if w.entry.Status == Ready {
			if len(ready) == 0 || ready[len(ready)-1].entry.Zone != w.entry.Zone {
				zones++
			}
			ready = append(ready, w)
		}
	}
	m.ringCoverage = min(1, zones*d.subsetFraction(len(ready)))
	for p := range d.peers {
		if distance := math.Abs(d.peers[p].position - d.position); min(distance, 1-distance) < m.ringCoverage {
			m.neighbours = append(m.neighbours, p)
		}
	}
	for from := 0; from < len(ready); {
		to := from
		for to < len(ready) && ready[to].entry.Zone == ready[from].entry.Zone &&
			ready[to].entry.Kind == ready[from].entry.Kind {
			to++
		}
		for i, w := range ready[from:to] {
			workerPosition := (float64(i) + 0.5) / float64(to-from)
			m.ringPositions[w.entry.Worker] = workerPosition
			distance := workerPosition - d.position
			if distance < 0 {
				distance++
			}
			if distance < m.ringCoverage || d.slowStartSince(w) != 0 && d.isSlowStartOwner(w) {
				m.subset = append(m.subset, w.entry.Worker)
			}
		}
		from = to
	}
}

// modelHarness passes updates of the worker list to a dispatcher and to the reference model, and compares the
// states of both.
type modelHarness struct {
	t interface{ Fatalf(string, ...any) }
	d *Dispatcher
	m *endpointsModel
}

func newModelHarness(t interface{ Fatalf(string, ...any) }, s Settings) *modelHarness {
	d, err := New(s, 1)
	if err != nil {
		t.Fatalf("%v", err)
	}
	d.Step(100*second, &Event{Kind: Started}, nil)
	return &modelHarness{t, d, &endpointsModel{known: map[WorkerID]*worker{},
		ringPositions: map[WorkerID]float64{}, removedAt: map[WorkerID]Micros{}}}
}

// update passes an update of the worker list to the dispatcher and to the model, and compares their states.
// The harness passes no jobs, so only updates change the records of workers.
func (f *modelHarness) update(now Micros, scope UpdateScope, entries ...WorkerEntry) {
	d := f.d
	d.Step(now, &Event{Kind: EndpointsUpdated, Scope: scope, Workers: entries}, nil)
	for _, e := range entries {
		if w := d.workers[e.Worker]; w != nil {
			f.m.known[e.Worker] = w
		}
	}
	f.m.update(d)
	f.compare()
}

// continueWithClone replaces the dispatcher by its clone, so that later updates go to the clone.
func (f *modelHarness) continueWithClone() {
	f.d = f.d.Clone()
	for id := range f.m.known {
		f.m.known[id] = f.d.workers[id]
	}
}

func (f *modelHarness) compare() {
	ids := func(list []*worker) (ids []WorkerID) {
		for _, w := range list {
			ids = append(ids, w.entry.Worker)
		}
		return ids
	}
	d, m := f.d, f.m
	for _, list := range []struct {
		what      string
		got, want []WorkerID
	}{{"order", ids(d.ordered), m.ordered}, {"subset", ids(d.subset), m.subset}} {
		if !slices.Equal(list.got, list.want) {
			f.t.Fatalf("%s of workers: the dispatcher has %v, the rebuilt model %v, want both equal",
				list.what, list.got, list.want)
		}
	}
	if d.ringCoverage != m.ringCoverage || !slices.Equal(d.neighbours, m.neighbours) {
		f.t.Fatalf("ring interval has length %v and overlaps those of dispatchers %v, want %v and %v by the model",
			d.ringCoverage, d.neighbours,
			m.ringCoverage, m.neighbours)
	}
	if len(d.workers) != len(m.ordered) {
		f.t.Fatalf("got %d workers in the dispatcher's map, want %d as in the rebuilt model",
			len(d.workers), len(m.ordered))
	}
	d = d.Clone() // workerRingPosition updates old ring positions, which the tested dispatcher must keep
	for _, id := range m.ordered {
		if got := d.workerRingPosition(d.workers[id]); got != m.ringPositions[id] {
			f.t.Fatalf("worker %d: got ring position %v, want %v as in the rebuilt model",
				id, got, m.ringPositions[id])
		}
	}
}

func endpointsSettings(dispatchers, index int, peers bool) Settings {
	s := testSettings()
	s.Dispatchers, s.Index, s.GossipAllowed = dispatchers, index, peers
	return s
}

// Any sequence of incremental updates of the worker list gives the same order of the workers, the same subset
// and the same ring positions as a full rebuild.
func TestUpdatesGiveTheStateOfAFullRebuild(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		dispatchers := rapid.SampledFrom([]int{1, 3, 9, 17, 80, 300}).Draw(t, "dispatchers")
		index := rapid.IntRange(0, dispatchers-1).Draw(t, "index")
		s := endpointsSettings(dispatchers, index, rapid.Bool().Draw(t, "peers"))
		f := newModelHarness(t, s)
		now, fleetSize := 100*Micros(second), rapid.SampledFrom([]int{3, 40, 300}).Draw(t, "workers")
		entry := rapid.Custom(func(t *rapid.T) WorkerEntry {
			e := usualEntry(rapid.IntRange(0, fleetSize-1).Draw(t, "id"), fleetSize)
			if rapid.IntRange(0, 20).Draw(t, "moves") == 0 {
				e.Zone, e.Kind = rapid.IntRange(0, 3).Draw(t, "zone"), rapid.IntRange(0, 2).Draw(t, "kind")
			}
			e.Status = rapid.SampledFrom([]Status{Ready, Ready, Ready, Ready, Draining, Removed}).Draw(t, "status")
			if rapid.IntRange(0, 3).Draw(t, "restarted") == 0 {
				e.Started = max(1, now-Micros(rapid.Int64Range(0, int64(2*s.SlowStart)).Draw(t, "age")))
			}
			return e
		})
		for range rapid.IntRange(1, 12).Draw(t, "updates") {
			now += rapid.SampledFrom([]Micros{0, 1, second, s.SlowStart / 2, s.SlowStart, s.RemovedRetention() / 2,
				s.RemovedRetention()}).Draw(t, "passed")
			scope := rapid.SampledFrom([]UpdateScope{UpdateDelta, UpdateDelta, UpdateDelta, UpdateFull, UpdateCached,
				UpdateDrains}).Draw(t, "scope")
			n := rapid.SampledFrom([]int{0, 1, 1, 2, 5, -1}).Draw(t, "entries")
			if n < 0 { // the update lists a random part of the fleet
				f.update(now, scope, randomEntries(rapid.Uint64().Draw(t, "fleet"), fleetSize, now)...)
			} else {
				f.update(now, scope, rapid.SliceOfN(entry, n, n).Draw(t, "list")...)
			}
			if rapid.IntRange(0, 3).Draw(t, "copied") == 0 {
				f.continueWithClone()
			}
			// Whether a worker is unreachable changes without an update, and the next update applies the change.
			for _, w := range f.d.subset {
				if rapid.IntRange(0, 30).Draw(t, "unreachable") == 0 {
					w.unreachable = !w.unreachable
				}
			}
		}
	})
}

// usualEntry returns the list entry of worker i with the zone and machine kind that the worker has in most
// updates. Larger fleets have fewer zones, so that subsets are smaller than the fleet.
func usualEntry(i, fleetSize int) WorkerEntry {
	source := random(i)
	return WorkerEntry{Worker: WorkerID(source.uniform() * (1 << 32)),
		Zone: int(source.uniform() * 60 / float64(fleetSize+20)), Kind: int(source.uniform() * 2), Status: Ready}
}

// randomEntries returns the list entries of a random part of a fleet. Some of these workers have started
// within the last 10 s, and some drain or are removed.
func randomEntries(seed uint64, fleetSize int, now Micros) (list []WorkerEntry) {
	source := random(seed)
	listedFraction, restartedFraction := source.uniform(), source.uniform()
	for i := range fleetSize {
		e := usualEntry(i, fleetSize)
		switch {
		case source.uniform() < restartedFraction:
			e.Started = now - Micros(source.uniform()*10*second)
		case source.uniform() < 0.1:
			e.Status = Status(source.uniform() * 3)
		}
		if source.uniform() < listedFraction {
			list = append(list, e)
		}
	}
	return list
}

// entriesInZones returns a list of n ready workers in the given number of zones.
func entriesInZones(n, zones int) []WorkerEntry {
	list := make([]WorkerEntry, n)
	source := random(7)
	for i := range list {
		list[i] = WorkerEntry{Worker: WorkerID(source.uniform() * (1 << 32)), Status: Ready,
			Zone: i % zones, Kind: i / zones % 2}
	}
	return list
}

// All workers of a zone fail and restart in slow start. The dispatcher receives the removals in one update
// for each worker, in one update for all workers, or mixed with the entries of the restarted workers. The
// final subset must be the same, and each intermediate state must equal the state of a full rebuild.
func TestZoneFailsAndRestarts(t *testing.T) {
	const zones, failedZone = 14, 3
	list := entriesInZones(700, zones)
	var failed, restarted []WorkerEntry
	for _, e := range list {
		if e.Zone == failedZone {
			e.Status = Removed
			failed = append(failed, e)
			e.Status, e.Started = Ready, 200*second
			restarted = append(restarted, e)
		}
	}
	for _, dispatchers := range []int{3, 17, 300} {
		for _, peers := range []bool{false, true} {
			run := func(updates func(f *modelHarness)) *modelHarness {
				f := newModelHarness(t, endpointsSettings(dispatchers, 2, peers))
				f.update(100*second, UpdateFull, list...)
				updates(f)
				return f
			}
			inOneUpdate := run(func(f *modelHarness) { f.update(200*second, UpdateDelta, failed...) })
			inDeltas := run(func(f *modelHarness) {
				for _, e := range failed {
					f.update(200*second, UpdateDelta, e)
				}
			})
			if !slices.Equal(inOneUpdate.m.subset, inDeltas.m.subset) {
				t.Errorf("%d dispatchers, zone removed in 1 update: got subset %v, and in %d updates %v, want the same",
					dispatchers,
					inOneUpdate.m.subset, len(failed), inDeltas.m.subset)
			}
			restartOnly := run(func(f *modelHarness) { f.update(200*second, UpdateDelta, restarted...) })
			removedAndRestarted := run(func(f *modelHarness) {
				for i := range failed {
					f.update(200*second, UpdateDelta, failed[i])
					f.update(200*second, UpdateDelta, restarted[i/2])
				}
				f.update(200*second, UpdateDelta, append(slices.Clone(failed), restarted...)...)
			})
			if !slices.Equal(restartOnly.m.subset, removedAndRestarted.m.subset) {
				t.Errorf("%d dispatchers, zone restarted: got subset %v, and %v after removals, want the same",
					dispatchers,
					restartOnly.m.subset, removedAndRestarted.m.subset)
			}
			// After the slow-start time the workers of the restarted zone are warm. The dispatcher applies that change
			// at an update without entries.
			set := &removedAndRestarted.d.settings
			removedAndRestarted.update(200*second+set.SlowStart, UpdateDelta)
		}
	}
}

// The subset is empty after all workers drain or are removed. After the arrival of a job in this state and
// the later return of the workers, the state must equal the state of a full rebuild.
func TestSubsetBecomesEmpty(t *testing.T) {
	for _, dispatchers := range []int{1, 17, 300} {
		f := newModelHarness(t, endpointsSettings(dispatchers, 0, false))
		list := entriesInZones(3, 1)
		f.update(100*second, UpdateFull, list...)
		for i, e := range list {
			if e.Status = Draining; i == 1 {
				e.Status = Removed
			}
			f.update(101*second, UpdateDelta, e)
		}
		if len(f.d.subset) != 0 {
			t.Errorf("%d dispatchers, no worker is ready: got a subset of %d workers, want an empty subset",
				dispatchers, len(f.d.subset))
		}
		f.d.Step(102*second, &Event{Kind: JobArrived, Job: 1, Work: second, Slots: 1,
			ClientTimeout: 5 * second}, nil)
		f.update(103*second, UpdateFull)
		f.update(104*second, UpdateFull, list...)
		f.update(104*second+f.d.settings.RemovedRetention(), UpdateFull, list[0])
	}
}

// A full update that differs from the known worker list in one entry has the same effect as an incremental
// update (a delta) with that entry.
func TestFullUpdateWithOneChangeEqualsADelta(t *testing.T) {
	list := entriesInZones(200, 2)
	for _, dispatchers := range []int{3, 300} {
		full := newModelHarness(t, endpointsSettings(dispatchers, 1, true))
		full.update(100*second, UpdateFull, list...)
		delta := newModelHarness(t, endpointsSettings(dispatchers, 1, true))
		delta.update(100*second, UpdateFull, list...)
		changed := slices.Clone(list)
		changed[17].Status = Draining
		slices.Reverse(changed)
		full.update(101*second, UpdateFull, changed...)
		delta.update(101*second, UpdateDelta, changed[len(changed)-1-17])
		if !slices.Equal(full.m.subset, delta.m.subset) {
			t.Errorf("%d dispatchers: full update gives subset %v, incremental update %v, want equal subsets",
				dispatchers, full.m.subset,
				delta.m.subset)
		}
	}
}

// The removal or return of one worker changes the subset by at most four workers, whatever the size of the
// fleet. In the zone and kind of that worker, at most one worker enters and one leaves the subset at each end
// of the interval that the dispatcher covers on the ring.
func TestOneChangeMovesUpToFourWorkers(t *testing.T) {
	for _, size := range [][2]int{{300, 200}, {300, 800}, {300, 2400}, {300, 7200}, {17, 7200}, {7200, 7200}} {
		t.Run(fmt.Sprintf("%d dispatchers, %d workers", size[0], size[1]), func(t *testing.T) {
			list := entriesInZones(size[1], 2)
			f := newModelHarness(t, endpointsSettings(size[0], size[0]/3, false))
			f.d.Step(100*second, &Event{Kind: EndpointsUpdated, Scope: UpdateFull, Workers: list}, nil)
			subsetMembers := func() map[int]int { // maps the number of each worker to its count in the subset
				members := map[int]int{}
				for _, w := range f.d.subset {
					members[int(w.entry.Worker)]++
				}
				return members
			}
			before := subsetMembers()
			for i, step := 0, max(1, len(list)/50); i < len(list); i += step {
				for _, status := range []Status{Removed, Ready} {
					e := list[i]
					e.Status = status
					f.d.Step(101*second, &Event{Kind: EndpointsUpdated, Workers: []WorkerEntry{e}}, nil)
					after, moved := subsetMembers(), 0
					for id := range before {
						moved += 1 - after[id]
					}
					for id := range after {
						moved += 1 - before[id]
					}
					if moved > 4 {
						t.Fatalf("got %d workers that enter or leave the subset by status %d of one worker, want at most 4",
							moved, status)
					}
					before = after
				}
			}
		})
	}
}

// A worker in slow start has an owner: the one dispatcher that may send to the worker. The worker is in the
// owner's subset, wherever the owner is on the ring, until the slow-start time has passed.
func TestSlowStartWorkerIsInItsOwnersSubset(t *testing.T) {
	list := entriesInZones(200, 1)
	for i := range list {
		list[i].Started = 100 * second
	}
	ownedNotCovered := 0
	for index := range 80 {
		f := newModelHarness(t, endpointsSettings(80, index, true))
		f.update(101*second, UpdateFull, list...)
		covered := 0
		for _, w := range f.d.subset {
			if w.covered {
				covered++
			} else if !f.d.isSlowStartOwner(w) {
				t.Errorf(
					"dispatcher %d: subset has worker %d, want none outside the ring interval with another owner",
					index, w.entry.Worker)
			}
		}
		ownedNotCovered += len(f.d.subset) - covered
		f.continueWithClone()
		f.update(100*second+f.d.settings.SlowStart, UpdateDelta)
		if len(f.d.subset) != covered {
			t.Errorf("dispatcher %d: got %d warm workers in the subset, want the %d in the ring interval",
				index, len(f.d.subset), covered)
		}
	}
	if ownedNotCovered < 100 {
		t.Errorf("got %d of 200 workers in slow start outside the ring interval of their owner, want at least 100",
			ownedNotCovered)
	}
}

// The record of a worker that was removed longer ago than the retention time is dropped, even by an update
// that lists the worker again as removed, in another zone.
func TestExpiredWorkerIsForgottenByAnUpdateThatNamesIt(t *testing.T) {
	f := newModelHarness(t, endpointsSettings(3, 0, false))
	list := entriesInZones(4, 2)
	f.update(100*second, UpdateFull, list...)
	e := list[1]
	e.Status = Removed
	f.update(101*second, UpdateDelta, e)
	e.Zone, e.Kind = 7, 3
	f.update(101*second+f.d.settings.RemovedRetention(), UpdateDelta, e)
	e.Status = Ready
	f.update(102*second+f.d.settings.RemovedRetention(), UpdateDelta, e)
}
