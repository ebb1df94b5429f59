package dispatch

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// listModel is the list by its meaning: what a build from nothing gives, with all sorted, ranked and
// walked at each word. The places of those that are not ready are the last that they had.
type listModel struct {
	known  map[WorkerID]*worker // as the dispatcher's own, but for what the list gives them
	places map[WorkerID]float64
	gone   map[WorkerID]Micros
	order  []WorkerID
	part   []WorkerID
	near   []int
	reach  float64
}

// word takes a word that the dispatcher has taken, from the entries that it then had.
func (m *listModel) word(d *Dispatcher) {
	order := []*worker{}
	for id, w := range m.known {
		if w.entry.Status != Removed {
			m.gone[id] = 0
		} else if m.gone[id] == 0 {
			m.gone[id] = max(d.now, 1)
		}
		if m.gone[id] != 0 && d.now-m.gone[id] >= d.set.RemovedRetention() && len(w.live) == 0 && !w.touched {
			delete(m.known, id)
			delete(m.gone, id)
			delete(m.places, id)
			continue
		}
		order = append(order, w)
	}
	slices.SortFunc(order, func(a, b *worker) int {
		x, y := &a.entry, &b.entry
		return cmp.Or(cmp.Compare(x.Zone, y.Zone), cmp.Compare(x.Kind, y.Kind), cmp.Compare(x.Worker, y.Worker))
	})
	m.order, m.part, m.near = nil, nil, nil
	ready, zones := order[:0:0], 0.0
	for _, w := range order {
		m.order = append(m.order, w.entry.Worker)
		if w.entry.Status == Ready {
			if len(ready) == 0 || ready[len(ready)-1].entry.Zone != w.entry.Zone {
				zones++
			}
			ready = append(ready, w)
		}
	}
	m.reach = min(1, zones*d.share(len(ready)))
	for p := range d.peers {
		if gap := math.Abs(d.peers[p].place - d.here); min(gap, 1-gap) < m.reach {
			m.near = append(m.near, p)
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
			m.places[w.entry.Worker] = place
			gap := place - d.here
			if gap < 0 {
				gap++
			}
			if gap < m.reach || d.coldAt(w) != 0 && d.owns(w) {
				m.part = append(m.part, w.entry.Worker)
			}
		}
		from = to
	}
}

// fed feeds a dispatcher and the model, and holds one against the other.
type fed struct {
	t interface{ Fatalf(string, ...any) }
	d *Dispatcher
	m *listModel
}

func newFed(t interface{ Fatalf(string, ...any) }, s Settings) *fed {
	d, err := New(s, 1)
	if err != nil {
		t.Fatalf("%v", err)
	}
	d.Step(100*second, &Event{Kind: Started}, nil)
	return &fed{t, d, &listModel{known: map[WorkerID]*worker{}, places: map[WorkerID]float64{},
		gone: map[WorkerID]Micros{}}}
}

// say passes a word on. The settings let no job out here, so nothing else changes a worker.
func (f *fed) say(now Micros, scope UpdateScope, entries ...WorkerEntry) {
	d := f.d
	d.Step(now, &Event{Kind: EndpointsUpdated, Scope: scope, Workers: entries}, nil)
	for _, e := range entries {
		if w := d.workers[e.Worker]; w != nil {
			f.m.known[e.Worker] = w
		}
	}
	f.m.word(d)
	f.compare()
}

// goOn goes on with a copy.
func (f *fed) goOn() {
	f.d = f.d.Clone()
	for id := range f.m.known {
		f.m.known[id] = f.d.workers[id]
	}
}

func (f *fed) compare() {
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
	}{{"order", ids(d.order), m.order}, {"part", ids(d.part), m.part}} {
		if !slices.Equal(list.got, list.want) {
			f.t.Fatalf("%s is %v, built from nothing %v", list.what, list.got, list.want)
		}
	}
	if d.reach != m.reach || !slices.Equal(d.near, m.near) {
		f.t.Fatalf("reach %v, near %v; built from nothing %v, %v", d.reach, d.near, m.reach, m.near)
	}
	if len(d.workers) != len(m.order) {
		f.t.Fatalf("%d workers in the books, %d in order", len(d.workers), len(m.order))
	}
	d = d.Clone() // to ask for a place is to reckon it
	for _, id := range m.order {
		if got := d.placeOf(d.workers[id]); got != m.places[id] {
			f.t.Fatalf("worker %d at %v, built from nothing at %v", id, got, m.places[id])
		}
	}
}

func listSettings(balancers, me int, peers bool) Settings {
	s := testSettings()
	s.Dispatchers, s.Index, s.GossipAllowed = balancers, me, peers
	return s
}

// Any sequence of words gives the part, the order and the places that a build from nothing gives.
func TestListIsAsBuiltFromNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		balancers := rapid.SampledFrom([]int{1, 3, 9, 17, 80, 300}).Draw(t, "balancers")
		s := listSettings(balancers, rapid.IntRange(0, balancers-1).Draw(t, "me"), rapid.Bool().Draw(t, "peers"))
		f := newFed(t, s)
		now, most := 100*Micros(second), rapid.SampledFrom([]int{3, 40, 300}).Draw(t, "workers")
		entry := rapid.Custom(func(t *rapid.T) WorkerEntry {
			e := usual(rapid.IntRange(0, most-1).Draw(t, "id"), most)
			if rapid.IntRange(0, 20).Draw(t, "moves") == 0 {
				e.Zone, e.Kind = rapid.IntRange(0, 3).Draw(t, "zone"), rapid.IntRange(0, 2).Draw(t, "kind")
			}
			e.Status = rapid.SampledFrom([]Status{Ready, Ready, Ready, Ready, Draining, Removed}).Draw(t, "status")
			if rapid.IntRange(0, 3).Draw(t, "cold") == 0 {
				e.Started = max(1, now-Micros(rapid.Int64Range(0, int64(2*s.SlowStart)).Draw(t, "age")))
			}
			return e
		})
		for range rapid.IntRange(1, 12).Draw(t, "words") {
			now += rapid.SampledFrom([]Micros{0, 1, second, s.SlowStart / 2, s.SlowStart, s.RemovedRetention() / 2,
				s.RemovedRetention()}).Draw(t, "passed")
			scope := rapid.SampledFrom([]UpdateScope{UpdateDelta, UpdateDelta, UpdateDelta, UpdateFull, UpdateCached,
				UpdateDrains}).Draw(t, "scope")
			n := rapid.SampledFrom([]int{0, 1, 1, 2, 5, -1}).Draw(t, "entries")
			if n < 0 { // most of the fleet, by chance
				f.say(now, scope, byChance(rapid.Uint64().Draw(t, "fleet"), most, now)...)
			} else {
				f.say(now, scope, rapid.SliceOfN(entry, n, n).Draw(t, "list")...)
			}
			if rapid.IntRange(0, 3).Draw(t, "copied") == 0 {
				f.goOn()
			}
			for _, w := range f.d.part { // what no word tells, and the next one brings to light
				if rapid.IntRange(0, 30).Draw(t, "lost") == 0 {
					w.lost = !w.lost
				}
			}
		}
	})
}

// usual is a worker where it mostly is: larger fleets have fewer zones, so that parts are parts.
func usual(i, most int) WorkerEntry {
	source := random(i)
	return WorkerEntry{Worker: WorkerID(source.chance() * (1 << 32)),
		Zone: int(source.chance() * 60 / float64(most+20)), Kind: int(source.chance() * 2), Status: Ready}
}

// byChance lists most of a fleet, some of it cold.
func byChance(seed uint64, most int, now Micros) (list []WorkerEntry) {
	source := random(seed)
	share, cold := source.chance(), source.chance()
	for i := range most {
		e := usual(i, most)
		switch {
		case source.chance() < cold:
			e.Started = now - Micros(source.chance()*10*second)
		case source.chance() < 0.1:
			e.Status = Status(source.chance() * 3)
		}
		if source.chance() < share {
			list = append(list, e)
		}
	}
	return list
}

// zoned lists n workers in so many zones.
func zoned(n, zones int) []WorkerEntry {
	list := make([]WorkerEntry, n)
	source := random(7)
	for i := range list {
		list[i] = WorkerEntry{Worker: WorkerID(source.chance() * (1 << 32)), Status: Ready,
			Zone: i % zones, Kind: i / zones % 2}
	}
	return list
}

// A zone goes in a word a worker, in one word, and in both at once while it comes back cold: the
// part ends up the same, and as built from nothing on the way.
func TestZoneLostAndBack(t *testing.T) {
	const zones, lost = 14, 3
	list := zoned(700, zones)
	var without, cold []WorkerEntry
	for _, e := range list {
		if e.Zone == lost {
			e.Status = Removed
			without = append(without, e)
			e.Status, e.Started = Ready, 200*second
			cold = append(cold, e)
		}
	}
	for _, balancers := range []int{3, 17, 300} {
		for _, peers := range []bool{false, true} {
			run := func(words func(f *fed)) *fed {
				f := newFed(t, listSettings(balancers, 2, peers))
				f.say(100*second, UpdateFull, list...)
				words(f)
				return f
			}
			one := run(func(f *fed) { f.say(200*second, UpdateDelta, without...) })
			each := run(func(f *fed) {
				for _, e := range without {
					f.say(200*second, UpdateDelta, e)
				}
			})
			if !slices.Equal(one.m.part, each.m.part) {
				t.Errorf("%d dispatchers: a zone lost in one word leaves %v, in %d words %v", balancers, one.m.part,
					len(without), each.m.part)
			}
			back := run(func(f *fed) { f.say(200*second, UpdateDelta, cold...) })
			both := run(func(f *fed) {
				for i := range without {
					f.say(200*second, UpdateDelta, without[i])
					f.say(200*second, UpdateDelta, cold[i/2])
				}
				f.say(200*second, UpdateDelta, append(slices.Clone(without), cold...)...)
			})
			if !slices.Equal(back.m.part, both.m.part) {
				t.Errorf("%d dispatchers: a zone back cold gives %v, after a loss %v", balancers, back.m.part,
					both.m.part)
			}
			set := &both.d.set // time alone makes it warm; a word that names nobody brings it to light
			both.say(200*second+set.SlowStart, UpdateDelta)
		}
	}
}

// A fleet that goes and comes back leaves a part empty in between.
func TestPartBecomesEmpty(t *testing.T) {
	for _, balancers := range []int{1, 17, 300} {
		f := newFed(t, listSettings(balancers, 0, false))
		list := zoned(3, 1)
		f.say(100*second, UpdateFull, list...)
		for i, e := range list {
			if e.Status = Draining; i == 1 {
				e.Status = Removed
			}
			f.say(101*second, UpdateDelta, e)
		}
		if len(f.d.part) != 0 {
			t.Errorf("%d dispatchers: a part of %d of a fleet that is not ready", balancers, len(f.d.part))
		}
		f.d.Step(102*second, &Event{Kind: JobArrived, Job: 1, Work: second, Slots: 1, Patience: 5 * second}, nil)
		f.say(103*second, UpdateFull)
		f.say(104*second, UpdateFull, list...)
		f.say(104*second+f.d.set.RemovedRetention(), UpdateFull, list[0])
	}
}

// A whole list that equals what is known but for one entry changes what that entry alone would.
func TestWholeListThatIsKnown(t *testing.T) {
	list := zoned(200, 2)
	for _, balancers := range []int{3, 300} {
		whole := newFed(t, listSettings(balancers, 1, true))
		whole.say(100*second, UpdateFull, list...)
		delta := newFed(t, listSettings(balancers, 1, true))
		delta.say(100*second, UpdateFull, list...)
		changed := slices.Clone(list)
		changed[17].Status = Draining
		slices.Reverse(changed)
		whole.say(101*second, UpdateFull, changed...)
		delta.say(101*second, UpdateDelta, changed[len(changed)-1-17])
		if !slices.Equal(whole.m.part, delta.m.part) {
			t.Errorf("%d dispatchers: by the whole list %v, by the entry %v", balancers, whole.m.part, delta.m.part)
		}
	}
}

// What one worker moves, if it goes, does not grow with the fleet: a worker comes into the part for
// it and one leaves, in each crowd at the most at each end of the interval.
func TestOneChangeMovesFew(t *testing.T) {
	for _, size := range [][2]int{{300, 200}, {300, 800}, {300, 2400}, {300, 7200}, {17, 7200}, {7200, 7200}} {
		t.Run(fmt.Sprintf("%d dispatchers, %d workers", size[0], size[1]), func(t *testing.T) {
			list := zoned(size[1], 2)
			f := newFed(t, listSettings(size[0], size[0]/3, false))
			f.d.Step(100*second, &Event{Kind: EndpointsUpdated, Scope: UpdateFull, Workers: list}, nil)
			shifts := func() map[int]int { // rank in the part by worker, to count who came and went
				in := map[int]int{}
				for _, w := range f.d.part {
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

// A cold worker is in the part of its owner, wherever that stands, until time alone makes it warm.
func TestColdWorkerIsInItsOwnersPart(t *testing.T) {
	list := zoned(200, 1)
	for i := range list {
		list[i].Started = 100 * second
	}
	outside := 0
	for me := range 80 {
		f := newFed(t, listSettings(80, me, true))
		f.say(101*second, UpdateFull, list...)
		covered := 0
		for _, w := range f.d.part {
			if w.covered {
				covered++
			} else if !f.d.owns(w) {
				t.Errorf("dispatcher %d has %d, which it neither covers nor owns", me, w.entry.Worker)
			}
		}
		outside += len(f.d.part) - covered
		f.goOn()
		f.say(100*second+f.d.set.SlowStart, UpdateDelta)
		if len(f.d.part) != covered {
			t.Errorf("dispatcher %d has %d of a warm fleet, and covers %d", me, len(f.d.part), covered)
		}
	}
	if outside < 100 {
		t.Errorf("%d of 200 cold workers are in the part of an owner that does not cover them", outside)
	}
}

// One that has long been gone is forgotten also by a word that names it, and elsewhere at that.
func TestForgottenByAWordThatNamesIt(t *testing.T) {
	f := newFed(t, listSettings(3, 0, false))
	list := zoned(4, 2)
	f.say(100*second, UpdateFull, list...)
	e := list[1]
	e.Status = Removed
	f.say(101*second, UpdateDelta, e)
	e.Zone, e.Kind = 7, 3
	f.say(101*second+f.d.set.RemovedRetention(), UpdateDelta, e)
	e.Status = Ready
	f.say(102*second+f.d.set.RemovedRetention(), UpdateDelta, e)
}
