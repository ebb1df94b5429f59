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

// This file has a reference implementation of worker list updates, which visits all workers at each update.
// The reducer visits only the workers that an update changes, and must produce the same effects and state.

// stepReference handles an event as Step does. It applies updates by the reference implementation, and passes
// all other events to Step.
func (s *Scheduler) stepReference(now Micros, e Event) []Effect {
	s.now, s.effects = now, nil
	s.usedIDs.rotate(now, s.idRetention)
	switch e := e.(type) {
	case EndpointsUpdated:
		if e.FromPreviousWatch {
			s.applyPreviousWatchReference(e.List)
			break
		}
		s.watchOpen, s.listAsOf = true, now
		scope := dispatch.UpdateDelta
		if e.List.Complete {
			scope = dispatch.UpdateFull
		}
		s.applyUpdateReference(e.List, scope)
	default:
		return s.Step(now, e, nil)
	}
	s.fireTimers()
	s.armTimer()
	return s.effects
}

// applyPreviousWatchReference applies an update of a replaced watch by the rules of the operators' pages:
// what discovery has written has taken effect, and a worker that is missing from a complete list has been
// removed.
func (s *Scheduler) applyPreviousWatchReference(list WorkerList) {
	leaving := slices.DeleteFunc(slices.Clone(list.Workers), func(listed Worker) bool {
		return listed.Status == dispatch.Ready
	})
	if list.Complete {
		for _, w := range sortedValues(s.workers) {
			isNamed := func(listed Worker) bool { return listed.UID == w.UID }
			if !slices.ContainsFunc(list.Workers, isNamed) {
				leaving = append(leaving, Worker{UID: w.UID, Status: dispatch.Removed})
			}
		}
	}
	e := dispatch.Event{Kind: dispatch.EndpointsUpdated, Scope: dispatch.UpdateDrains}
	for _, listed := range leaving {
		w := s.workers[listed.UID]
		if w == nil {
			continue
		}
		if !s.watchOpen {
			w.pendingUpdate = nil
		}
		if w.Status != dispatch.Ready {
			continue
		}
		if s.watchOpen { // the present watch has listed the worker as ready, which may be the newer report
			ready := w.Worker
			w.pendingUpdate = &ready
		}
		w.Status, w.version = listed.Status, version{epoch: -1}
		e.Workers = append(e.Workers, s.workerEntry(w))
	}
	if len(e.Workers) > 0 {
		s.recordTransitionsReference()
		s.stepDispatcher(e)
	}
}

func (s *Scheduler) applyUpdateReference(list WorkerList, scope dispatch.UpdateScope) {
	if list.Complete && list.Revision < s.revision {
		s.epoch++
	}
	if s.revision = max(s.revision, list.Revision); list.Complete {
		s.revision = list.Revision
	}
	at := version{s.epoch, list.Revision}
	named := map[string]bool{}
	e := dispatch.Event{Kind: dispatch.EndpointsUpdated, Scope: scope}
	for _, listed := range list.Workers {
		named[listed.UID] = true
		w := s.workers[listed.UID]
		if w == nil {
			w = &worker{Worker: listed, version: at, number: s.assignNumber(listed.UID)}
			s.workers[listed.UID], s.byNumber[w.number] = w, w
		} else {
			s.mergeWorker(w, listed, at)
		}
		e.Workers = append(e.Workers, s.workerEntry(w))
	}
	for _, w := range sortedValues(s.workers) {
		switch {
		case list.Complete && !named[w.UID] && (w.Status != dispatch.Removed || w.pendingUpdate != nil):
			w.Status, w.version, w.pendingUpdate = dispatch.Removed, at, nil
		case w.pendingUpdate != nil && s.now-w.drainingSince >= s.settings.Dispatch.MaxStaleness:
			w.Worker, w.pendingUpdate = *w.pendingUpdate, nil
		default:
			continue
		}
		e.Workers = append(e.Workers, s.workerEntry(w))
	}
	s.recordTransitionsReference()
	s.stepDispatcher(e)
}

func (s *Scheduler) recordTransitionsReference() {
	retention := s.settings.Dispatch.RemovedRetention()
	for _, w := range sortedValues(s.workers) {
		switch {
		case w.Status != dispatch.Ready && w.drainingSince == 0:
			w.drainingSince = max(s.now, 1)
			s.emit(StopUsingWorker{UID: w.UID, Addr: w.Addr})
		case w.Status == dispatch.Ready && w.drainingSince != 0:
			w.drainingSince = 0
			s.emit(ResumeWorker{UID: w.UID})
		}
		switch {
		case w.Status != dispatch.Removed:
			w.removedSince = 0
		case w.removedSince == 0:
			w.removedSince = max(s.now, 1)
		case s.now-w.removedSince >= retention:
			delete(s.workers, w.UID)
			delete(s.byNumber, w.number)
			s.emit(ResumeWorker{UID: w.UID})
		}
	}
}

// The reducer must produce the effects and the state of the reference implementation for any sequence of
// updates, complete lists, updates from the previous discovery service, closed watches and reloads. The
// revisions of the updates repeat and decrease, and pairs of workers share an address.
func TestUpdatesMatchReferenceImplementation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, reference := schedulerForUpdates(), schedulerForUpdates()
		now, rev := s.now, int64(1)
		maxWorkers := rapid.SampledFrom([]int{2, 10, 40}).Draw(t, "workers")
		worker := rapid.Custom(func(t *rapid.T) Worker {
			i := rapid.IntRange(0, maxWorkers-1).Draw(t, "worker")
			r := testWorker(fmt.Sprint("r", i), rapid.SampledFrom([]dispatch.Status{dispatch.Ready, dispatch.Ready,
				dispatch.Ready, dispatch.Draining, dispatch.Removed}).Draw(t, "status"))
			r.Kind, r.Zone = fmt.Sprint("m", i%2), fmt.Sprint("z", i%3)
			r.Addr = fmt.Sprint("a", i/2) // two workers share each address
			if r.Status == dispatch.Removed && rapid.Bool().Draw(t, "bare") {
				r = Worker{UID: r.UID} // an entry that removes a worker needs no other field than the UID
			}
			if rapid.IntRange(0, 3).Draw(t, "restarted") == 0 {
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
				n := rapid.SampledFrom([]int{0, 1, 1, 1, 2, maxWorkers}).Draw(t, "lines")
				e = EndpointsUpdated{List: WorkerList{Revision: rev,
					Complete: rapid.IntRange(0, 3).Draw(t, "complete") == 0,
					Workers:  rapid.SliceOfN(worker, n, n).Draw(t, "list")},
					FromPreviousWatch: rapid.IntRange(0, 6).Draw(t, "from previous watch") == 0}
			}
			trace = append(trace, fmt.Sprintf("%d %T%+v", now, e, e))
			got, want := s.Step(now, e, nil), reference.stepReference(now, e)
			if !slices.EqualFunc(got, want, func(a, b Effect) bool { return reflect.DeepEqual(a, b) }) {
				t.Fatalf("after the events %v\ngot effects %+v\nwant the effects of the reference implementation, %+v",
					trace, got, want)
			}
			requireSameState(t, s, reference, trace)
			requireSameState(t, s.Clone(), reference, trace)
			if rapid.IntRange(0, 4).Draw(t, "copied") == 0 {
				s = s.Clone() // the copy must behave like the original from here on
			}
		}
	})
}

func requireSameState(t *rapid.T, a, b *Scheduler, trace []string) {
	t.Helper()
	if !bytes.Equal(a.AppendState(nil), b.AppendState(nil)) {
		t.Fatalf("after the events %v\ngot another state than the reference implementation, want the same", trace)
	}
}

func schedulerForUpdates() *Scheduler {
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

// The reducer must produce the effects and the state of the reference implementation when all workers of a
// zone are removed: by one update for each worker, by one update for all of them, by a complete list, and by
// updates that alternate with updates that add the workers again after a restart.
func TestZoneRemovedByUpdates(t *testing.T) {
	const zones, workersPerZone = 14, 20
	zoneWorkers := func(zone int, status dispatch.Status, started Micros) (lines []Worker) {
		for i := range workersPerZone {
			r := testWorker(fmt.Sprintf("r%d-%d", zone, i), status)
			r.Zone, r.Started = fmt.Sprint("z", zone), started
			lines = append(lines, r)
		}
		return lines
	}
	var workers []Worker
	for zone := range zones {
		workers = append(workers, zoneWorkers(zone, dispatch.Ready, 0)...)
	}
	removed, restarted := zoneWorkers(3, dispatch.Removed, 0), zoneWorkers(3, dispatch.Ready, 1002*second)
	draining := zoneWorkers(3, dispatch.Draining, 0)
	update := func(lines ...Worker) WorkerList { return WorkerList{Workers: lines} }
	oneUpdateEach := func(lines []Worker) (updates []WorkerList) {
		for _, w := range lines {
			updates = append(updates, update(w))
		}
		return updates
	}
	var mixed []WorkerList
	for i := range removed {
		mixed = append(mixed, update(removed[i]), update(restarted[i/2]))
	}
	known := slices.Clone(workers)
	known[17].Status = dispatch.Draining
	for name, updates := range map[string][]WorkerList{
		"one update for each worker": oneUpdateEach(removed),
		"draining first":             append(oneUpdateEach(draining), oneUpdateEach(removed)...),
		"one update":                 {update(removed...)},
		"missing from the complete list": {{Complete: true,
			Workers: slices.Concat(workers[:3*workersPerZone], workers[4*workersPerZone:])}},
		"both at once": append(oneUpdateEach(removed), update(removed...), update(restarted...)),
		"both mixed, restarted": append(mixed,
			update(removed...), WorkerList{Complete: true, Workers: workers}, update(restarted...)),
		"known but for one": {{Complete: true, Workers: known}},
		"known, and by an old one": {{Complete: true, Workers: workers},
			{Complete: true, Revision: -5, Workers: known}},
		"the whole fleet": {{Complete: true}, {Complete: true, Workers: workers}},
	} {
		t.Run(name, func(t *testing.T) {
			s, reference := schedulerForUpdates(), schedulerForUpdates()
			now, rev := Micros(1001*second), int64(10)
			apply := func(list WorkerList) {
				now += second / 100
				rev++
				list.Revision += rev
				e := EndpointsUpdated{List: list}
				got, want := s.Step(now, e, nil), reference.stepReference(now, e)
				if !slices.EqualFunc(got, want, func(a, b Effect) bool { return reflect.DeepEqual(a, b) }) {
					t.Fatalf("got effects %+v\nwant the effects of the reference implementation, %+v", got, want)
				}
				if !bytes.Equal(s.AppendState(nil), reference.AppendState(nil)) {
					t.Fatal("got another scheduler state than the reference implementation, want the same")
				}
			}
			apply(WorkerList{Complete: true, Workers: workers})
			for _, list := range updates {
				apply(list)
			}
			now += 600 * second
			apply(WorkerList{}) // deletes the records of the removed workers, as their retention time is over
			apply(WorkerList{Complete: true, Workers: workers})
		})
	}
}

// The memory that an update allocates must not grow with the fleet. This detects code that visits all workers
// at each update, as such code first allocates a list of them. BenchmarkUpdate measures the time.
func TestUpdateAllocationIndependentOfFleetSize(t *testing.T) {
	bytesPerUpdate := func(schedulers, workers int) (bytes uint64) {
		s, updates := newFleet(t, schedulers, workers), newUpdateFeed(workers)
		for range 200 { // the first updates grow buffers that later updates reuse
			updates.step(s)
		}
		const n = 400
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		for range n {
			updates.step(s)
		}
		runtime.ReadMemStats(&after)
		return (after.TotalAlloc - before.TotalAlloc) / n
	}
	small := bytesPerUpdate(300, 200)
	for _, size := range [][2]int{{300, 800}, {300, 2400}, {300, 7200}, {30, 7200}, {17, 7200}, {7200, 7200}} {
		if large := bytesPerUpdate(size[0], size[1]); large > 2*small {
			t.Errorf(
				"bytes per update: got %d (300 schedulers, 200 workers), %d (%d schedulers, %d workers), want at most x2",
				small, large, size[0], size[1])
		}
	}
}
