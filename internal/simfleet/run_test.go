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

// buildScheduler compiles the scheduler's program into a temporary folder and returns its path.
func buildScheduler(t testing.TB) string {
	t.Helper()
	program, err := testcluster.Build(t.Context(), "../..", t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	return program
}

// testLog is an io.Writer that writes to the log of a test.
type testLog struct{ testing.TB }

// Write logs a line without its newline.
func (l testLog) Write(b []byte) (int, error) {
	l.Helper()
	l.Log(strings.TrimSuffix(string(b), "\n"))
	return len(b), nil
}

// Two real schedulers run "storm", the fault scenario with the events of all scenarios. The test checks the
// recorded history and the numbers of updates, entries and full lists of each event; it checks no times.
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
	t.Logf("%d jobs, %d served, %d refused, %d failed, %d skipped; %d history events; %.1f MB, %.3f s, %.3f s "+
		"(peak memory; CPU time by thread, then in ticks)", r.Jobs, r.Served, r.Refused, r.Failed, r.Skipped,
		r.CheckedEvents, r.PeakMemoryMB.Max, r.CPUSeconds.Mean, r.CPUTickSeconds.Mean)
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
			t.Errorf("report: got no event %q, want one", want.name)
			continue
		}
		if e.Updates != want.updates || e.Entries != want.entries || e.FullLists != want.fullLists {
			t.Errorf("event %s: got %d updates, %d entries, %d full lists; want %d, %d, %d", want.name, e.Updates,
				e.Entries, e.FullLists, want.updates, want.entries, want.fullLists)
		}
		if e.CPUSeconds.Min <= 0 || e.PeakMemoryMB <= 0 {
			t.Errorf("event %s: want CPU time and peak memory above 0, got %+v", want.name, e)
		}
	}
	if r.Served < 100 || r.CheckedEvents < 400 {
		t.Errorf("%d jobs served, want at least 100; %d events checked, want at least 400", r.Served,
			r.CheckedEvents)
	}
}

// cancelOnWrite is a log that cancels a context when the first line is written.
type cancelOnWrite struct {
	testLog
	cancel func()
}

// Write cancels the context and logs the line.
func (c cancelOnWrite) Write(b []byte) (int, error) {
	c.cancel()
	return c.testLog.Write(b)
}

// A run that is cancelled, or whose schedulers exit before they serve, leaves no child process behind.
func TestNoSchedulerOutlivesTheRun(t *testing.T) {
	o := Options{Schedulers: 2, Workers: 20, Zones: 2, Duration: time.Minute, Day: dayCalm}
	ctx, cancel := context.WithCancel(t.Context())
	o.Program = buildScheduler(t)
	if _, err := Run(ctx, o, cancelOnWrite{testLog{t}, cancel}); !errors.Is(err, context.Canceled) {
		t.Errorf("cancelled run: got error %v, want context.Canceled", err)
	}
	o.Program = "/bin/false"
	if _, err := Run(t.Context(), o, testLog{t}); err == nil ||
		!strings.Contains(err.Error(), "exited before it served") {
		t.Errorf("program that exits at once: got error %v, want an error with \"exited before it served\"", err)
	}
	paths, err := filepath.Glob("/proc/self/task/*/children")
	if err != nil || len(paths) == 0 {
		t.Fatal("no /proc/self/task/*/children file found: ", err)
	}
	for _, path := range paths {
		if raw, err := os.ReadFile(path); err == nil && len(raw) > 0 {
			t.Errorf("child processes still running after the run: %s, want none", raw)
		}
	}
}

// The CPU time of a scheduler that is summed over its threads in nanoseconds agrees, within 0.03 s, with the
// CPU time of the process that the system reports in ticks.
func TestCPUTimeSourcesAgree(t *testing.T) {
	r, err := Run(t.Context(), Options{Program: buildScheduler(t), Schedulers: 1, Workers: 8, Zones: 2,
		Duration: 3 * time.Second, Day: dayCalm}, testLog{t})
	if err != nil {
		t.Fatal(err)
	}
	difference := math.Abs(r.CPUSeconds.Mean - r.CPUTickSeconds.Mean)
	if r.CPUSeconds.Mean == 0 || difference > 0.03 {
		t.Errorf("CPU time: got %.3f s by thread, %.3f s in ticks; want above 0 and a difference of at most 0.03 s",
			r.CPUSeconds.Mean, r.CPUTickSeconds.Mean)
	}
	path := r.FindEvent("jobs of 0 s, clients: 128")
	if path == nil || path.Served == 0 || path.CPUPerJob <= 0 || path.JobBytesIn == 0 || path.JobBytesOut == 0 {
		t.Errorf("job path with 128 clients: want served jobs, CPU time per job and bytes above 0, got %+v", path)
	}
}
