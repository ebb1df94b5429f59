package scheduler

import (
	"bytes"
	"fmt"
	"reflect"
	"runtime"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"dahliaford/internal/dispatch"
	"dahliaford/internal/settings"
)

// The worker list by its meaning: all workers are walked at each word. It is held against the
// reducer, which looks at those that a word changes.

// stepByWalk takes a word, or the loss of the watch, like Step.
func (s *Scheduler) stepByWalk(now Micros, e Event) []Effect {
	s.now, s.out = now, nil
	s.used.pass(now, s.longest)
	switch e := e.(type) {
	case EndpointsUpdated:
		if e.FromPreviousWatch {
			s.warnedByWalk(e.List)
			break
		}
		s.watching, s.knownAt = true, now
		scope := dispatch.UpdateDelta
		if e.List.Complete {
			scope = dispatch.UpdateFull
		}
		s.applyByWalk(e.List, scope)
	default:
		return s.Step(now, e, nil)
	}
	s.expire()
	s.arm()
	return s.out
}

func (s *Scheduler) warnedByWalk(t WorkerList) {
	e := dispatch.Event{Kind: dispatch.EndpointsUpdated, Scope: dispatch.UpdateDrains}
	for _, line := range t.Workers {
		r := s.workers[line.UID]
		if r == nil || line.Status == dispatch.Ready {
			continue
		}
		if r.offer = nil; r.left == 0 {
			r.Status, r.at = line.Status, version{count: -1}
			e.Workers = append(e.Workers, s.entry(r))
		}
	}
	if len(e.Workers) > 0 {
		s.markByWalk()
		s.tell(e)
	}
}

func (s *Scheduler) applyByWalk(t WorkerList, scope dispatch.UpdateScope) {
	if t.Complete && t.Rev < s.rev {
		s.count++
	}
	if s.rev = max(s.rev, t.Rev); t.Complete {
		s.rev = t.Rev
	}
	now := version{s.count, t.Rev}
	named := map[string]bool{}
	e := dispatch.Event{Kind: dispatch.EndpointsUpdated, Scope: scope}
	for _, line := range t.Workers {
		named[line.UID] = true
		r := s.workers[line.UID]
		if r == nil {
			r = &worker{Worker: line, at: now, number: s.numberOf(line.UID)}
			s.workers[line.UID], s.byNumber[r.number] = r, r
		} else {
			s.take(r, line, now)
		}
		e.Workers = append(e.Workers, s.entry(r))
	}
	for _, r := range sorted(s.workers) {
		switch {
		case t.Complete && !named[r.UID] && (r.Status != dispatch.Removed || r.offer != nil):
			r.Status, r.at, r.offer = dispatch.Removed, now, nil
		case r.offer != nil && s.now-r.left >= s.set.Dispatch.MaxStaleness:
			r.Worker, r.offer = *r.offer, nil
		default:
			continue
		}
		e.Workers = append(e.Workers, s.entry(r))
	}
	s.markByWalk()
	s.tell(e)
}

func (s *Scheduler) markByWalk() {
	long := s.set.Dispatch.RemovedRetention()
	for _, r := range sorted(s.workers) {
		switch {
		case r.Status != dispatch.Ready && r.left == 0:
			r.left = max(s.now, 1)
			s.emit(StopUsingWorker{UID: r.UID, Addr: r.Addr})
		case r.Status == dispatch.Ready && r.left != 0:
			r.left = 0
			s.emit(ResumeWorker{UID: r.UID})
		}
		switch {
		case r.Status != dispatch.Removed:
			r.gone = 0
		case r.gone == 0:
			r.gone = max(s.now, 1)
		case s.now-r.gone >= long:
			delete(s.workers, r.UID)
			delete(s.byNumber, r.number)
			s.emit(ResumeWorker{UID: r.UID})
		}
	}
}

// Any sequence of words, whole tables, words of the discovery before and moves to another one, with
// versions that repeat and go back and workers of one address, has the effects and leaves the state
// that a walk over all workers has.
func TestWordsActAsAWalkOverAll(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w, walk := fleetForWords(), fleetForWords()
		now, rev := w.now, int64(1)
		most := rapid.SampledFrom([]int{2, 10, 40}).Draw(t, "workers")
		worker := rapid.Custom(func(t *rapid.T) Worker {
			i := rapid.IntRange(0, most-1).Draw(t, "worker")
			r := line(fmt.Sprint("r", i), rapid.SampledFrom([]dispatch.Status{dispatch.Ready, dispatch.Ready,
				dispatch.Ready, dispatch.Draining, dispatch.Removed}).Draw(t, "status"))
			r.Kind, r.Zone = fmt.Sprint("m", i%2), fmt.Sprint("z", i%3)
			r.Addr = fmt.Sprint("a", i/2) // two have one address
			if r.Status == dispatch.Removed && rapid.Bool().Draw(t, "bare") {
				r = Worker{UID: r.UID} // a word that it is gone may say no more
			}
			if rapid.IntRange(0, 3).Draw(t, "cold") == 0 {
				r.Started = max(0, now-Micros(rapid.Int64Range(0, 60*second).Draw(t, "age")))
			}
			return r
		})
		var trace []string
		for range rapid.IntRange(1, 20).Draw(t, "events") {
			now += rapid.SampledFrom([]Micros{0, second / 10, 2 * second, 6 * second, 300 * second,
				600 * second}).Draw(t, "passed")
			var e Event
			switch rapid.IntRange(0, 12).Draw(t, "event") {
			case 0:
				e = Reloaded{Discovery: "d2"}
			case 1:
				e = WatchClosed{}
			default:
				rev += rapid.SampledFrom([]int64{1, 1, 1, 1, 0, -1, -3}).Draw(t, "rev")
				n := rapid.SampledFrom([]int{0, 1, 1, 1, 2, most}).Draw(t, "lines")
				e = EndpointsUpdated{List: WorkerList{Rev: rev, Complete: rapid.IntRange(0, 3).Draw(t, "all") == 0,
					Workers: rapid.SliceOfN(worker, n, n).Draw(t, "list")},
					FromPreviousWatch: rapid.IntRange(0, 6).Draw(t, "old") == 0}
			}
			trace = append(trace, fmt.Sprintf("%d %T%+v", now, e, e))
			got, want := w.Step(now, e, nil), walk.stepByWalk(now, e)
			if !slices.EqualFunc(got, want, func(a, b Effect) bool { return reflect.DeepEqual(a, b) }) {
				t.Fatalf("after %v\neffects %+v\nby a walk %+v", trace, got, want)
			}
			same(t, w, walk, trace)
			same(t, w.Clone(), walk, trace)
			if rapid.IntRange(0, 4).Draw(t, "copied") == 0 {
				w = w.Clone() // and goes on from there
			}
		}
	})
}

func same(t *rapid.T, a, b *Scheduler, trace []string) {
	if !bytes.Equal(a.AppendState(nil), b.AppendState(nil)) {
		t.Fatalf("after %v\nthe states differ", trace)
	}
}

func fleetForWords() *Scheduler {
	set, err := settings.Parse([]byte(testSettings))
	if err != nil {
		panic(err)
	}
	set.Dispatch.Dispatchers, set.Dispatch.MaxStaleness = 17, 6*second
	s, err := New(set, 1)
	if err != nil {
		panic(err)
	}
	s.Step(1000*second, Started{Discovery: "d1"}, nil)
	return s
}

// A zone goes in a word a worker, in one, and in both at once while it comes back cold.
func TestZoneGoesInWords(t *testing.T) {
	const zones, each = 14, 20
	of := func(zone int, status dispatch.Status, started Micros) (lines []Worker) {
		for i := range each {
			r := line(fmt.Sprintf("r%d-%d", zone, i), status)
			r.Zone, r.Started = fmt.Sprint("z", zone), started
			lines = append(lines, r)
		}
		return lines
	}
	var all []Worker
	for zone := range zones {
		all = append(all, of(zone, dispatch.Ready, 0)...)
	}
	gone, cold := of(3, dispatch.Removed, 0), of(3, dispatch.Ready, 1002*second)
	draining := of(3, dispatch.Draining, 0)
	word := func(lines ...Worker) WorkerList { return WorkerList{Workers: lines} }
	singly := func(lines []Worker) (words []WorkerList) {
		for _, r := range lines {
			words = append(words, word(r))
		}
		return words
	}
	var mixed []WorkerList
	for i := range gone {
		mixed = append(mixed, word(gone[i]), word(cold[i/2]))
	}
	known := slices.Clone(all)
	known[17].Status = dispatch.Draining
	for name, words := range map[string][]WorkerList{
		"a word each":            singly(gone),
		"draining first":         append(singly(draining), singly(gone)...),
		"one word":               {word(gone...)},
		"missing from the whole": {{Complete: true, Workers: slices.Concat(all[:3*each], all[4*each:])}},
		"both at once":           append(singly(gone), word(gone...), word(cold...)),
		"both mixed, back cold": append(mixed,
			word(gone...), WorkerList{Complete: true, Workers: all}, word(cold...)),
		"known but for one":        {{Complete: true, Workers: known}},
		"known, and by an old one": {{Complete: true, Workers: all}, {Complete: true, Rev: -5, Workers: known}},
		"the whole fleet":          {{Complete: true}, {Complete: true, Workers: all}},
	} {
		t.Run(name, func(t *testing.T) {
			s, walk := fleetForWords(), fleetForWords()
			now, rev := Micros(1001*second), int64(10)
			say := func(list WorkerList) {
				now += second / 100
				rev++
				list.Rev += rev
				e := EndpointsUpdated{List: list}
				got, want := s.Step(now, e, nil), walk.stepByWalk(now, e)
				if !slices.EqualFunc(got, want, func(a, b Effect) bool { return reflect.DeepEqual(a, b) }) {
					t.Fatalf("effects %+v\nby a walk %+v", got, want)
				}
				if !bytes.Equal(s.AppendState(nil), walk.AppendState(nil)) {
					t.Fatal("the states differ")
				}
			}
			say(WorkerList{Complete: true, Workers: all})
			for _, w := range words {
				say(w)
			}
			now += 600 * second
			say(WorkerList{}) // those that are gone are forgotten
			say(WorkerList{Complete: true, Workers: all})
		})
	}
}

// What a word allocates does not grow with the fleet: all that looked at the whole of it made a list
// of it first. The time is BenchmarkWord's.
func TestWordDoesNotGrowWithTheFleet(t *testing.T) {
	took := func(schedulers, workers int) (bytes uint64) {
		s, words := fleetOf(t, schedulers, workers), newWords(workers)
		for range 200 { // what is kept for its memory has grown
			words.say(s)
		}
		const n = 400
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		for range n {
			words.say(s)
		}
		runtime.ReadMemStats(&after)
		return (after.TotalAlloc - before.TotalAlloc) / n
	}
	small := took(300, 200)
	for _, size := range [][2]int{{300, 800}, {300, 2400}, {300, 7200}, {30, 7200}, {17, 7200}, {7200, 7200}} {
		if large := took(size[0], size[1]); large > 2*small {
			t.Errorf("a word takes %d bytes of 300 schedulers with 200 workers, %d of %d with %d", small, large,
				size[0], size[1])
		}
	}
}
