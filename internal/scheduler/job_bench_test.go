package scheduler

import (
	"fmt"
	"testing"

	"dahliaford/internal/dispatch"
	"dahliaford/internal/settings"
)

// newFleetInZones starts one scheduler of a fleet with the given numbers of schedulers and workers. The
// workers are spread evenly over the zones, and each zone has workers of two kinds.
func newFleetInZones(t testing.TB, schedulers, workers, zones int) *Scheduler {
	t.Helper()
	set, err := settings.Parse([]byte(testSettings))
	if err != nil {
		t.Fatal(err)
	}
	set.Dispatch.Dispatchers = schedulers
	s, err := New(set, 1)
	if err != nil {
		t.Fatal(err)
	}
	list := WorkerList{Revision: 1, Complete: true}
	for i := range workers {
		r := testWorker(fmt.Sprintf("r%d", i), dispatch.Ready)
		if r.Kind = fmt.Sprintf("m%d", i%2); i/2%zones > 0 {
			r.Zone = fmt.Sprintf("zone%d", i/2%zones)
		}
		list.Workers = append(list.Workers, r)
	}
	s.Step(1000*second, Started{Discovery: "d1", CachedList: list}, nil)
	return s
}

// BenchmarkJob measures one job with all its events for fleets of different numbers of schedulers, workers
// and zones.
func BenchmarkJob(b *testing.B) {
	for _, size := range [][3]int{{3, 10, 1}, {80, 60, 1}, {300, 200, 1}, {300, 800, 1}, {300, 2400, 1},
		{300, 7200, 1}, {30, 7200, 1}, {17, 7200, 1}, {7200, 7200, 1}, {300, 7200, 14}, {17, 7200, 14}} {
		name := fmt.Sprintf("%d schedulers, %d workers, %d zones", size[0], size[1], size[2])
		b.Run(name, func(b *testing.B) {
			s := newFleetInZones(b, size[0], size[1], size[2])
			b.ReportAllocs()
			b.ResetTimer()
			runJobs(b, s, b.N)
		})
	}
}
