package dispatch

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// endpointsModel is the worker list by its meaning: what a build from nothing gives, with all sorted,
// ranked and scanned at each update. Workers that are not ready keep their last position.
type endpointsModel struct {
	known         map[WorkerID]*worker // as the dispatcher's own, but for what the list says of them
	ringPositions map[WorkerID]float64
	removedAt     map[WorkerID]Micros
	ordered       []WorkerID
	subset        []WorkerID
	neighbours    []int
	ringCoverage  float64
}

// update takes an update that the dispatcher has taken, from the entries that it then had.
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
			place := (float64(i) + 0.5) / float64(to-from)
			m.ringPositions[w.entry.Worker] = place
			distance := place - d.position
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

// modelHarness feeds a dispatcher and the model, and compares them.
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

// update passes an update on. No job is sent here, so nothing else changes a worker.
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

// continueWithClone replaces the dispatcher by its clone.
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
			f.t.Fatalf("%s is %v, built from nothing %v", list.what, list.got, list.want)
		}
	}
	if d.ringCoverage != m.ringCoverage || !slices.Equal(d.neighbours, m.neighbours) {
		f.t.Fatalf("ring coverage %v, neighbours %v; built from nothing %v, %v", d.ringCoverage, d.neighbours,
			m.ringCoverage, m.neighbours)
	}
	if len(d.workers) != len(m.ordered) {
		f.t.Fatalf("%d workers by number, %d in order", len(d.workers), len(m.ordered))
	}
	d = d.Clone() // workerRingPosition computes what is out of date
	for _, id := range m.ordered {
		if got := d.workerRingPosition(d.workers[id]); got != m.ringPositions[id] {
			f.t.Fatalf("worker %d at %v, built from nothing at %v", id, got, m.ringPositions[id])
		}
	}
}

func endpointsSettings(dispatchers, index int, peers bool) Settings {
	s := testSettings()
	s.Dispatchers, s.Index, s.GossipAllowed = dispatchers, index, peers
	return s
}

// Any sequence of updates gives the subset, the order and the positions that a build from nothing gives.
func TestListIsAsBuiltFromNothing(t *testing.T) {
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
			if n < 0 { // most of the fleet, at random
				f.update(now, scope, randomEntries(rapid.Uint64().Draw(t, "fleet"), fleetSize, now)...)
			} else {
				f.update(now, scope, rapid.SliceOfN(entry, n, n).Draw(t, "list")...)
			}
			if rapid.IntRange(0, 3).Draw(t, "copied") == 0 {
				f.continueWithClone()
			}
			for _, w := range f.d.subset { // what no update says, and the next one brings to light
				if rapid.IntRange(0, 30).Draw(t, "unreachable") == 0 {
					w.unreachable = !w.unreachable
				}
			}
		}
	})
}

// usualEntry is a worker where it usually is: larger fleets have fewer zones, so that subsets are
// smaller than the fleet.
func usualEntry(i, fleetSize int) WorkerEntry {
	source := random(i)
	return WorkerEntry{Worker: WorkerID(source.uniform() * (1 << 32)),
		Zone: int(source.uniform() * 60 / float64(fleetSize+20)), Kind: int(source.uniform() * 2), Status: Ready}
}

// randomEntries lists most of a fleet, some of it in slow start.
func randomEntries(seed uint64, fleetSize int, now Micros) (list []WorkerEntry) {
	source := random(seed)
	fraction, restarted := source.uniform(), source.uniform()
	for i := range fleetSize {
		e := usualEntry(i, fleetSize)
		switch {
		case source.uniform() < restarted:
			e.Started = now - Micros(source.uniform()*10*second)
		case source.uniform() < 0.1:
			e.Status = Status(source.uniform() * 3)
		}
		if source.uniform() < fraction {
			list = append(list, e)
		}
	}
	return list
}

// entriesInZones lists n workers in so many zones.
func entriesInZones(n, zones int) []WorkerEntry {
	list := make([]WorkerEntry, n)
	source := random(7)
	for i := range list {
		list[i] = WorkerEntry{Worker: WorkerID(source.uniform() * (1 << 32)), Status: Ready,
			Zone: i % zones, Kind: i / zones % 2}
	}
	return list
}

// A zone is removed in an update for each worker, in one update, and in both at once while it comes back
// in slow start: the subset ends up the same, and as built from nothing on the way.
func TestZoneFailsAndComesBack(t *testing.T) {
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
			one := run(func(f *modelHarness) { f.update(200*second, UpdateDelta, failed...) })
			each := run(func(f *modelHarness) {
				for _, e := range failed {
					f.update(200*second, UpdateDelta, e)
				}
			})
			if !slices.Equal(one.m.subset, each.m.subset) {
				t.Errorf("%d dispatchers: a zone removed in one update leaves %v, in %d updates %v", dispatchers,
					one.m.subset, len(failed), each.m.subset)
			}
			back := run(func(f *modelHarness) { f.update(200*second, UpdateDelta, restarted...) })
			both := run(func(f *modelHarness) {
				for i := range failed {
					f.update(200*second, UpdateDelta, failed[i])
					f.update(200*second, UpdateDelta, restarted[i/2])
				}
				f.update(200*second, UpdateDelta, append(slices.Clone(failed), restarted...)...)
			})
			if !slices.Equal(back.m.subset, both.m.subset) {
				t.Errorf("%d dispatchers: a zone back in slow start gives %v, after its removal %v", dispatchers,
					back.m.subset, both.m.subset)
			}
			set := &both.d.settings // time alone makes it warm; an empty update shows it
			both.update(200*second+set.SlowStart, UpdateDelta)
		}
	}
}

// A fleet that is removed and comes back leaves a subset empty in between.
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
			t.Errorf("%d dispatchers: a subset of %d of a fleet that is not ready", dispatchers, len(f.d.subset))
		}
		f.d.Step(102*second, &Event{Kind: JobArrived, Job: 1, Work: second, Slots: 1,
			ClientTimeout: 5 * second}, nil)
		f.update(103*second, UpdateFull)
		f.update(104*second, UpdateFull, list...)
		f.update(104*second+f.d.settings.RemovedRetention(), UpdateFull, list[0])
	}
}

// A full update that equals what is known but for one entry changes what that entry alone would.
func TestFullUpdateThatIsKnown(t *testing.T) {
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
			t.Errorf("%d dispatchers: by the full update %v, by the entry %v", dispatchers, full.m.subset,
				delta.m.subset)
		}
	}
}

// What the removal of one worker moves does not grow with the fleet: in its group a worker enters and one
// leaves the subset, at most at each end of the interval.
func TestOneChangeMovesUpToFourWorkers(t *testing.T) {
	for _, size := range [][2]int{{300, 200}, {300, 800}, {300, 2400}, {300, 7200}, {17, 7200}, {7200, 7200}} {
		t.Run(fmt.Sprintf("%d dispatchers, %d workers", size[0], size[1]), func(t *testing.T) {
			list := entriesInZones(size[1], 2)
			f := newModelHarness(t, endpointsSettings(size[0], size[0]/3, false))
			f.d.Step(100*second, &Event{Kind: EndpointsUpdated, Scope: UpdateFull, Workers: list}, nil)
			shifts := func() map[int]int { // workers in the subset, to count who came and went
				in := map[int]int{}
				for _, w := range f.d.subset {
					in[int(w.entry.Worker)]++
				}
				return in
			}
			before := shifts()
			for i, step := 0, max(1, len(list)/50); i < len(list); i += step {
				for _, status := range []Status{Removed, Ready} {
					e := list[i]
					e.Status = status
					f.d.Step(101*second, &Event{Kind: EndpointsUpdated, Workers: []WorkerEntry{e}}, nil)
					now, moved := shifts(), 0
					for id := range before {
						moved += 1 - now[id]
					}
					for id := range now {
						moved += 1 - before[id]
					}
					if moved > 4 {
						t.Fatalf("%d came and went as one became %d", moved, status)
					}
					before = now
				}
			}
		})
	}
}

// A worker in slow start is in its owner's subset, wherever that stands, until time alone makes it warm.
func TestSlowStartWorkerIsInItsOwnersSubset(t *testing.T) {
	list := entriesInZones(200, 1)
	for i := range list {
		list[i].Started = 100 * second
	}
	outside := 0
	for index := range 80 {
		f := newModelHarness(t, endpointsSettings(80, index, true))
		f.update(101*second, UpdateFull, list...)
		covered := 0
		for _, w := range f.d.subset {
			if w.covered {
				covered++
			} else if !f.d.isSlowStartOwner(w) {
				t.Errorf("dispatcher %d has %d, which it neither covers nor owns", index, w.entry.Worker)
			}
		}
		outside += len(f.d.subset) - covered
		f.continueWithClone()
		f.update(100*second+f.d.settings.SlowStart, UpdateDelta)
		if len(f.d.subset) != covered {
			t.Errorf("dispatcher %d has %d of a warm fleet, and covers %d", index, len(f.d.subset), covered)
		}
	}
	if outside < 100 {
		t.Errorf("%d of 200 workers in slow start are in the subset of an owner that does not cover them", outside)
	}
}

// One that has long been removed is forgotten also by an update that names it, in another zone at that.
func TestForgottenByAnUpdateThatNamesIt(t *testing.T) {
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
