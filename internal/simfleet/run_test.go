package simfleet

import (
	"context"
	"errors"
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"dahliaford/internal/testcluster"
)

// buildScheduler builds the scheduler's program.
func buildScheduler(t testing.TB) string {
	t.Helper()
	program, err := testcluster.Build(t.Context(), "../..", t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	return program
}

// testLog writes to the log of a test.
type testLog struct{ testing.TB }

// Write logs a line.
func (l testLog) Write(b []byte) (int, error) {
	l.Helper()
	l.Log(strings.TrimSuffix(string(b), "\n"))
	return len(b), nil
}

// Two real schedulers go through a day with all events. Checked are counts and the rules, and no times.
func TestStormOfTwoRealSchedulers(t *testing.T) {
	const schedulers, workers, zones = 2, 200, 4
	r, err := Run(t.Context(), Options{Program: buildScheduler(t), Schedulers: schedulers, Workers: workers,
		Zones: zones, Rate: 40, Duration: 4 * time.Second, Seed: 3, Day: dayStorm}, testLog{t})
	if err != nil {
		t.Fatal(err)
	}
	for _, violation := range r.Violations {
		t.Error(violation)
	}
	t.Logf("%d jobs, %d served, %d refused, %d failed, %d skipped; %d events checked; %.1f MB, %.3f s, %.3f s "+
		"in ticks", r.Jobs, r.Served, r.Refused, r.Failed, r.Skipped, r.CheckedEvents, r.PeakMemoryMB.Max,
		r.CPUSeconds.Mean, r.CPUTickSeconds.Mean)
	zone, region, roll := workers/zones, 2*workers/zones, workers*410/7200
	for _, want := range []struct {
		name                        string
		updates, entries, fullLists int
	}{
		{"start", 0, workers, schedulers},
		{"zone lost, a line each", zone, zone, 0},
		{"zone back cold, a line each", zone, zone, 0},
		{"zone lost, in one line", 1, zone, 0},
		{"zone back cold, in one line", 1, zone, 0},
		{"zone lost and back cold, both ways at once", 2*zone + 1, 3 * zone, 0},
		{"region cut off, a line each", region, region, 0},
		{"region back, a line each", region, region, 0},
		{"discovery restarted", 0, workers, schedulers},
		{"roll of 11", 2 * roll, 2 * roll, 0},
	} {
		e := r.FindEvent(want.name)
		if e == nil {
			t.Errorf("no event %q", want.name)
			continue
		}
		if e.Updates != want.updates || e.Entries != want.entries || e.FullLists != want.fullLists {
			t.Errorf("%s: %d updates, %d entries, %d full lists; want %d, %d, %d", want.name, e.Updates,
				e.Entries, e.FullLists, want.updates, want.entries, want.fullLists)
		}
		if e.CPUSeconds.Min <= 0 || e.PeakMemoryMB <= 0 {
			t.Errorf("%s: nothing was accounted for: %+v", want.name, e)
		}
	}
	if r.Served < 100 || r.CheckedEvents < 400 {
		t.Errorf("too little happened: %d served, %d events checked", r.Served, r.CheckedEvents)
	}
}

// cancelOnWrite ends a context at the first line that is logged.
type cancelOnWrite struct {
	testLog
	cancel func()
}

// Write ends the context and logs the line.
func (c cancelOnWrite) Write(b []byte) (int, error) {
	c.cancel()
	return c.testLog.Write(b)
}

// A run that is ended early, or whose schedulers do not start, leaves none of them behind.
func TestNoSchedulerOutlivesTheRun(t *testing.T) {
	o := Options{Schedulers: 2, Workers: 20, Zones: 2, Duration: time.Minute, Day: dayCalm}
	ctx, cancel := context.WithCancel(t.Context())
	o.Program = buildScheduler(t)
	if _, err := Run(ctx, o, cancelOnWrite{testLog{t}, cancel}); !errors.Is(err, context.Canceled) {
		t.Errorf("ended early: %v", err)
	}
	o.Program = "/bin/false"
	if _, err := Run(t.Context(), o, testLog{t}); err == nil || !strings.Contains(err.Error(), "ended at once") {
		t.Errorf("a program that ends at once: %v", err)
	}
	paths, err := filepath.Glob("/proc/self/task/*/children")
	if err != nil || len(paths) == 0 {
		t.Fatal("no list of children: ", err)
	}
	for _, path := range paths {
		if raw, err := os.ReadFile(path); err == nil && len(raw) > 0 {
			t.Errorf("children that run on: %s", raw)
		}
	}
}

// The system's two accounts of processor time agree: to the nanosecond by thread, and in ticks.
func TestCPUTimeSourcesAgree(t *testing.T) {
	r, err := Run(t.Context(), Options{Program: buildScheduler(t), Schedulers: 1, Workers: 8, Zones: 2,
		Duration: 3 * time.Second, Day: dayCalm}, testLog{t})
	if err != nil {
		t.Fatal(err)
	}
	difference := math.Abs(r.CPUSeconds.Mean - r.CPUTickSeconds.Mean)
	if r.CPUSeconds.Mean == 0 || difference > 0.03 {
		t.Errorf("%.3f s by thread, %.3f s in ticks", r.CPUSeconds.Mean, r.CPUTickSeconds.Mean)
	}
	path := r.FindEvent("jobs of 0 s, clients: 128")
	if path == nil || path.Served == 0 || path.CPUPerJob <= 0 || path.JobBytesIn == 0 || path.JobBytesOut == 0 {
		t.Errorf("the job path: %+v", path)
	}
}
