package scheduler

import (
	"fmt"
	"runtime"
	"testing"

	"golang.org/x/sys/unix"

	"dahliaford/internal/dispatch"
	"dahliaford/internal/settings"
)

// slopeSizes are the fleet sizes, in workers, at which the benchmarks measure costs. docs/CAPACITY.md fits
// lines to the results.
var slopeSizes = []int{200, 450, 800, 2400, 4800, 7200}

const slopeSchedulers = 300

// cpuMicros returns the processor time that this process has used, in microseconds. On a shared machine,
// processor time varies less than wall-clock time.
func cpuMicros(tb testing.TB) float64 {
	tb.Helper()
	var u unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &u); err != nil {
		tb.Fatal(err)
	}
	return float64(u.Utime.Nano()+u.Stime.Nano()) / 1000
}

// heapBytes returns the size of the heap in use after a garbage collection.
func heapBytes() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// slopeList returns a complete list of ready workers that are spread evenly over slopeZones zones.
func slopeList(workers int) WorkerList {
	list := WorkerList{Revision: 1, Complete: true}
	for i := range workers {
		list.Workers = append(list.Workers, slopeWorker(i, dispatch.Ready))
	}
	return list
}

// slopeWorker returns entry i of slopeList with the given status.
func slopeWorker(i int, status dispatch.Status) Worker {
	return Worker{UID: fmt.Sprintf("worker-%05d", i), Zone: fmt.Sprint("zone-", i%slopeZones),
		Addr: fmt.Sprintf("10.%d.%d.%d:8443", i>>16, i>>8&255, i&255),
		Kind: fmt.Sprint("m", i/slopeZones%4), Cell: i / 40, Status: status}
}

const slopeZones = 14

// newSlopeScheduler starts one scheduler of a fleet of the given number of schedulers, with a cached worker
// list.
func newSlopeScheduler(tb testing.TB, schedulers int, list WorkerList) *Scheduler {
	tb.Helper()
	set, err := settings.Parse([]byte(testSettings))
	if err != nil {
		tb.Fatal(err)
	}
	set.Dispatch.Dispatchers, set.Dispatch.Index = schedulers, schedulers/2
	set.Zones, set.Kinds = nil, nil
	for z := range slopeZones {
		set.Zones = append(set.Zones, fmt.Sprint("zone-", z))
	}
	for k := range 4 {
		set.Kinds = append(set.Kinds, fmt.Sprint("m", k))
	}
	s, err := New(set, 1)
	if err != nil {
		tb.Fatal(err)
	}
	s.Step(1000*second, Started{Discovery: "d1", CachedList: list}, nil)
	return s
}

// runForSizes runs one sub-benchmark for each size and reports the result of run, the processor time per
// operation in microseconds, in place of the wall-clock time.
func runForSizes(b *testing.B, sizes []int, unit string, run func(b *testing.B, n int) (perOp float64)) {
	for _, n := range sizes {
		b.Run(fmt.Sprintf("%d %s", n, unit), func(b *testing.B) {
			us := run(b, n)
			b.ReportMetric(0, "ns/op")
			b.ReportMetric(us, "cpu-us/op")
		})
	}
}

// BenchmarkSlopeUpdate measures a worker list update with one changed entry.
func BenchmarkSlopeUpdate(b *testing.B) {
	runForSizes(b, slopeSizes, "workers", func(b *testing.B, n int) float64 {
		s := newSlopeScheduler(b, slopeSchedulers, slopeList(n))
		list, out := WorkerList{Workers: make([]Worker, 1)}, []Effect(nil)
		before := cpuMicros(b)
		for i := range b.N {
			list.Revision = int64(i) + 2
			list.Workers[0] = slopeWorker(i/2*7919%n, []dispatch.Status{dispatch.Draining, dispatch.Ready}[i%2])
			out = s.Step(s.now+second, EndpointsUpdated{List: list}, out[:0])
		}
		return (cpuMicros(b) - before) / float64(b.N)
	})
}

// BenchmarkSlopeStart measures the start with a complete worker list, and the heap of a started scheduler.
func BenchmarkSlopeStart(b *testing.B) {
	runForSizes(b, slopeSizes, "workers", func(b *testing.B, n int) float64 {
		list := slopeList(n)
		empty := heapBytes()
		s := newSlopeScheduler(b, slopeSchedulers, list)
		b.ReportMetric(heapBytes()-empty, "heap-bytes")
		runtime.KeepAlive(s)
		before := cpuMicros(b)
		for range b.N {
			newSlopeScheduler(b, slopeSchedulers, list)
		}
		us := (cpuMicros(b) - before) / float64(b.N)
		runtime.KeepAlive(list)
		return us
	})
}

// BenchmarkSlopeFullList measures an update with a complete list in which one entry has changed.
func BenchmarkSlopeFullList(b *testing.B) {
	runForSizes(b, slopeSizes, "workers", func(b *testing.B, n int) float64 {
		s, list, out := newSlopeScheduler(b, slopeSchedulers, slopeList(n)), slopeList(n), []Effect(nil)
		before := cpuMicros(b)
		for i := range b.N {
			list.Revision = int64(i) + 2
			list.Workers[i/2%n].Status = []dispatch.Status{dispatch.Draining, dispatch.Ready}[i%2]
			out = s.Step(s.now+second, EndpointsUpdated{List: list}, out[:0])
		}
		return (cpuMicros(b) - before) / float64(b.N)
	})
}

// BenchmarkSlopeZone measures the removal of all workers of a zone, each by a separate update.
func BenchmarkSlopeZone(b *testing.B) {
	runForSizes(b, slopeSizes, "workers", func(b *testing.B, n int) float64 {
		list, out, micros := slopeList(n), []Effect(nil), 0.0
		for range b.N {
			s := newSlopeScheduler(b, slopeSchedulers, list)
			before := cpuMicros(b)
			for i := 0; i < n; i += slopeZones {
				update := WorkerList{Revision: int64(i) + 2, Workers: []Worker{slopeWorker(i, dispatch.Removed)}}
				out = s.Step(s.now+1000, EndpointsUpdated{List: update}, out[:0])
			}
			micros += cpuMicros(b) - before
		}
		return micros / float64(b.N)
	})
}

// startRequests submits n requests with consecutive numbers from first on, and reports that workers accepted
// and started them. It reports no end, so that the requests stay open.
func startRequests(tb testing.TB, s *Scheduler, first, n int) {
	tb.Helper()
	var out []Effect
	for i := range n {
		id := fmt.Sprintf("%016x", first+i)
		out = s.Step(s.now+1000, Submitted{Caller: CallerID(first + i + 1), RequestID: id, Class: "batch",
			Tenant: "sahel", Deadline: s.now + 3600*second}, out[:0])
		for _, e := range out {
			if r, is := e.(SendAttempt); is {
				s.Step(s.now, AttemptAccepted{Attempt: r.Attempt}, nil)
				s.Step(s.now, Callback{RequestID: r.RequestID, WorkerUID: r.WorkerUID, Kind: CallbackStarted}, nil)
			}
		}
	}
}

// BenchmarkSlopeOpen measures the submission and start of one request at a scheduler that has n open
// requests, and the heap that the n requests use.
func BenchmarkSlopeOpen(b *testing.B) {
	const more = 100
	runForSizes(b, []int{50, 100, 200, 400, 800, 1600}, "open", func(b *testing.B, n int) float64 {
		list, micros, heapBytesUsed := slopeList(7200), 0.0, 0.0
		for range b.N {
			s := newSlopeScheduler(b, slopeSchedulers, list)
			startRequests(b, s, 0, 20) // the first requests allocate the maps, which is not part of the measured heap
			empty := heapBytes()
			startRequests(b, s, 20, n)
			heapBytesUsed += heapBytes() - empty
			before := cpuMicros(b)
			startRequests(b, s, 20+n, more)
			micros += cpuMicros(b) - before
			if s.PendingRequests() != 20+n+more {
				b.Fatalf("got %d open requests, want %d", s.PendingRequests(), 20+n+more)
			}
		}
		b.ReportMetric(heapBytesUsed/float64(b.N), "heap-bytes")
		return micros / float64(b.N) / more
	})
}

// BenchmarkSlopeJob measures one job with all its events, at a scheduler that has 240 other open requests
// and workers in 14 zones.
func BenchmarkSlopeJob(b *testing.B) {
	for _, schedulers := range []int{336, 17} {
		b.Run(fmt.Sprint(schedulers, " schedulers"), func(b *testing.B) {
			runForSizes(b, slopeSizes, "workers", func(b *testing.B, n int) float64 {
				s := newSlopeScheduler(b, schedulers, slopeList(n))
				startRequests(b, s, 0, 240)
				runJobs(b, s, 20)
				before := cpuMicros(b)
				runJobs(b, s, b.N)
				return (cpuMicros(b) - before) / float64(b.N)
			})
		})
	}
}

// steadyLoad simulates a scheduler at peak load: a job arrives every 54 ms and runs for 13 s, so that 241
// jobs run at a time. Timers fire exactly at the requested time.
type steadyLoad struct {
	scheduler   *Scheduler
	timerAt     Micros
	running     []Callback // for each running job the callback that will end it, the oldest job first
	submitted   int        // the number of requests submitted so far
	timersFired int
	refused     int
	out         []Effect
}

const (
	steadyInterval    = 54 * second / 1000
	steadyRunningJobs = 241
)

func (w *steadyLoad) step(now Micros, e Event) {
	w.out = w.scheduler.Step(now, e, w.out[:0])
	sent := []SendAttempt(nil)
	for _, e := range w.out {
		switch e := e.(type) {
		case SetTimer:
			w.timerAt = e.At
		case SendAttempt:
			sent = append(sent, e)
		case Answer:
			if e.Verdict != Served {
				w.refused++
			}
		}
	}
	for _, r := range sent {
		w.step(now+300, AttemptAccepted{Attempt: r.Attempt})
		w.step(now+500, Callback{RequestID: r.RequestID, WorkerUID: r.WorkerUID, Kind: CallbackStarted})
		w.running = append(w.running, Callback{RequestID: r.RequestID, WorkerUID: r.WorkerUID, Kind: CallbackDone})
	}
}

// runInterval advances the clock to the next arrival, fires the timers due until then, submits one job, and
// ends the job that has run longest once more than steadyRunningJobs run.
func (w *steadyLoad) runInterval() {
	now := w.scheduler.now
	for next := now + steadyInterval; ; {
		if w.timerAt == 0 || w.timerAt > next {
			now = next
			break
		}
		at := max(w.timerAt, now)
		w.timerAt, now = 0, at
		w.timersFired++
		w.step(at, TimerFired{})
	}
	w.submitted++
	w.step(now, Submitted{Caller: CallerID(w.submitted), RequestID: fmt.Sprintf("%016x", w.submitted),
		Class: "batch", Tenant: "sahel", Deadline: now + 20*second})
	if len(w.running) > steadyRunningJobs {
		w.step(now+1000, w.running[0])
		w.running = w.running[1:]
	}
}

// BenchmarkSlopeSteady measures one job at peak load with all its events and timers. It runs with one
// scheduler, and with 24 that take turns: the latter shows the cost on a machine that schedulers share, where
// each scheduler finds the processor's caches filled with data of the others.
func BenchmarkSlopeSteady(b *testing.B) {
	for _, schedulers := range []int{1, 24} {
		b.Run(fmt.Sprint(schedulers, " in turn"), func(b *testing.B) {
			runForSizes(b, slopeSizes, "workers", func(b *testing.B, n int) float64 {
				all, list := []*steadyLoad(nil), slopeList(n)
				for range schedulers {
					w := &steadyLoad{scheduler: newSlopeScheduler(b, 336, list)}
					// The scheduler sends no job on a cached list alone, before discovery has confirmed it.
					w.step(w.scheduler.now+second, EndpointsUpdated{List: list})
					for range steadyRunningJobs + 50 {
						w.runInterval()
						w.step(w.scheduler.now, EndpointsUpdated{List: WorkerList{Revision: 2}})
					}
					all = append(all, w)
				}
				timersFired, refused := 0, 0
				for _, w := range all {
					w.timersFired, w.refused = 0, 0
				}
				before := cpuMicros(b)
				for i := range b.N {
					all[i%schedulers].runInterval()
				}
				us := (cpuMicros(b) - before) / float64(b.N)
				for _, w := range all {
					timersFired, refused = timersFired+w.timersFired, refused+w.refused
				}
				b.ReportMetric(float64(timersFired)/float64(b.N), "timers/job")
				b.ReportMetric(float64(refused)/float64(b.N), "refused/job")
				return us
			})
		})
	}
}
