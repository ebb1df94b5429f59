package simfleet

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"dahliaford/internal/fakes"
	"dahliaford/internal/http1"
)

// buildScheduler builds the scheduler, as package rig's tests do.
func buildScheduler(t testing.TB) string {
	t.Helper()
	bin := filepath.Join(t.TempDir(), "dahliaford")
	root, err := filepath.Abs("../..")
	if err != nil {
		t.Fatal(err)
	}
	build := exec.Command("go", "build", "-o", bin, "./cmd/dahliaford")
	build.Dir = root
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	return bin
}

type testLog struct{ testing.TB }

func (l testLog) Write(b []byte) (int, error) {
	l.Log(strings.TrimSuffix(string(b), "\n"))
	return len(b), nil
}

// Two real schedulers go through a day on which all happens. What is looked at are counts, and the
// rules; no time.
func TestStormOfTwoRealSchedulers(t *testing.T) {
	const schedulers, workers, zones = 2, 200, 4
	r, err := Run(t.Context(), Options{Program: buildScheduler(t), Schedulers: schedulers, Workers: workers,
		Zones: zones, Rate: 40, Duration: 4 * time.Second, Seed: 3, Day: "storm"}, testLog{t})
	if err != nil {
		t.Fatal(err)
	}
	for _, b := range r.Violations {
		t.Error(b)
	}
	t.Logf("%d jobs, %d served, %d refused, %d failed, %d skipped; %d events checked; %.1f MB, %.3f s, %.3f s "+
		"in ticks", r.Jobs, r.Served, r.Refused, r.Failed, r.Skipped, r.CheckedEvents, r.PeakMemoryMB.Max,
		r.CPUSeconds.Mean,
		r.CPUTickSeconds.Mean)
	zone, region, roll := workers/zones, 2*workers/zones, workers*410/7200
	for _, want := range []struct {
		name                   string
		words, entries, wholes int
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
		if e.Updates != want.words || e.Entries != want.entries || e.FullLists != want.wholes {
			t.Errorf("%s: %d words, %d entries, %d whole lists; want %d, %d, %d", want.name, e.Updates, e.Entries,
				e.FullLists, want.words, want.entries, want.wholes)
		}
		if e.CPUSeconds.Min <= 0 || e.PeakMemoryMB <= 0 {
			t.Errorf("%s: nothing was accounted for: %+v", want.name, e)
		}
	}
	if r.Served < 100 || r.CheckedEvents < 400 {
		t.Errorf("too little happened: %d served, %d events checked", r.Served, r.CheckedEvents)
	}
}

// What cannot be run is said in one line, before anything is started.
func TestInvalidOptions(t *testing.T) {
	good := Options{Program: "options.go", Schedulers: 2, Workers: 200, Zones: 4, Rate: 1,
		Duration: 5 * time.Second,
		Day:      "calm"}
	if err := good.Validate(); err != nil {
		t.Fatal(err)
	}
	for want, change := range map[string]func(*Options){
		"no program to run":  func(o *Options) { o.Program = "nowhere/dahliaford" },
		"is a folder":        func(o *Options) { o.Program = "." },
		"0 real schedulers":  func(o *Options) { o.Schedulers = 0 },
		"65 real schedulers": func(o *Options) { o.Schedulers = 65 },
		"a fleet of 1":       func(o *Options) { o.Fleet = 1 },
		"0 workers":          func(o *Options) { o.Workers = 0 },
		"20001 workers":      func(o *Options) { o.Workers = 20001 },
		"201 zones":          func(o *Options) { o.Zones = 201 },
		"0 zones":            func(o *Options) { o.Zones = 0 },
		"-1 jobs a second":   func(o *Options) { o.Rate = -1 },
		"NaN jobs a second":  func(o *Options) { o.Rate = math.NaN() },
		"a run of 1s":        func(o *Options) { o.Duration = time.Second },
		"a run of 11m0s":     func(o *Options) { o.Duration = 11 * time.Minute },
		`no day "sunny"`:     func(o *Options) { o.Day = "sunny" },
	} {
		o := good
		change(&o)
		_, err := Run(t.Context(), o, testLog{t})
		if err == nil || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%q: %v", want, err)
		}
	}
}

// A watch from a version on gets what has changed since; one from before a restart, or from a version
// that never was, the whole list; and a word for each line that changes.
func TestDiscoverySendsChangesSinceARevision(t *testing.T) {
	lines := make([]fakes.Endpoint, 10)
	for i := range lines {
		lines[i] = fakes.Endpoint{UID: fmt.Sprint("s-", i), Addr: "127.0.0.1:1", State: "ready"}
	}
	d, err := newDiscovery(2, lines)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { d.close() }()
	leave := func(l *fakes.Endpoint) { l.State = "gone" }
	watch := func(from, words int) (revs, entries []int, all bool) {
		t.Helper()
		conn, err := net.Dial("tcp", d.addr(1))
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		conn.SetDeadline(time.Now().Add(20 * time.Second))
		fmt.Fprintf(conn, "GET /catalog/members?watch=1&from=%d HTTP/1.1\r\nHost: x\r\n\r\n", from)
		read := http1.NewReader(conn)
		if m, err := read.Head(); err != nil || m.Status != 200 {
			t.Fatal(m, err)
		}
		for in := bufio.NewScanner(read.Chunks()); len(revs) < words && in.Scan(); {
			var w update
			if len(in.Bytes()) == 0 {
				continue
			}
			if err := json.Unmarshal(in.Bytes(), &w); err != nil {
				t.Fatal(err)
			}
			revs, entries, all = append(revs, int(w.Rev)), append(entries, len(w.Endpoints)), all || w.All
		}
		return revs, entries, all
	}
	check := func(from int, wantRevs, wantEntries []int, wantAll bool) {
		t.Helper()
		revs, entries, all := watch(from, len(wantRevs))
		if !slices.Equal(revs, wantRevs) || !slices.Equal(entries, wantEntries) || all != wantAll {
			t.Errorf("from %d: versions %v with %v entries, whole: %v; want %v, %v, %v", from, revs, entries, all,
				wantRevs, wantEntries, wantAll)
		}
	}
	check(0, []int{1}, []int{10}, true)
	check(1, []int{1}, []int{0}, false)
	if n := d.publish([]int{3, 4, 5}, leave, false); n != 3 {
		t.Errorf("%d words of 3", n)
	}
	if n := d.publish([]int{6, 7}, leave, true); n != 1 {
		t.Errorf("%d words of 1", n)
	}
	check(1, []int{2, 3, 4, 5}, []int{1, 1, 1, 2}, false)
	check(4, []int{5}, []int{2}, false)
	check(99, []int{5}, []int{5}, true)
	d.close()
	if conn, err := net.Dial("tcp", d.addr(1)); err == nil {
		conn.Close()
		t.Error("it takes calls while it is down")
	}
	d.dropHistory()
	if err := d.open(); err != nil {
		t.Fatal(err)
	}
	check(4, []int{5}, []int{5}, true)
	check(5, []int{5}, []int{0}, false)
	if in := d.traffic[1].in.Load(); in < 1000 || d.traffic[0].in.Load() != 0 || d.traffic[1].out.Load() < 100 {
		t.Errorf("%d bytes are booked for one, %d for the other", in, d.traffic[0].in.Load())
	}
}

// cancelOnWrite ends a context at the first line that is logged.
type cancelOnWrite struct {
	testLog
	cancel func()
}

func (c cancelOnWrite) Write(b []byte) (int, error) {
	c.cancel()
	return c.testLog.Write(b)
}

// A run that is ended early, or whose schedulers do not start, leaves none of them behind.
func TestNoSchedulerOutlivesTheRun(t *testing.T) {
	o := Options{Schedulers: 2, Workers: 20, Zones: 2, Duration: time.Minute, Day: "calm"}
	ctx, cancel := context.WithCancel(t.Context())
	o.Program = buildScheduler(t)
	if _, err := Run(ctx, o, cancelOnWrite{testLog{t}, cancel}); !errors.Is(err, context.Canceled) {
		t.Errorf("ended early: %v", err)
	}
	o.Program = "/bin/false"
	if _, err := Run(t.Context(), o, testLog{t}); err == nil || !strings.Contains(err.Error(), "ended at once") {
		t.Errorf("a program that ends at once: %v", err)
	}
	of, err := filepath.Glob("/proc/self/task/*/children")
	if err != nil || len(of) == 0 {
		t.Fatal("no list of children: ", err)
	}
	for _, path := range of {
		if raw, err := os.ReadFile(path); err == nil && len(raw) > 0 {
			t.Errorf("children that run on: %s", raw)
		}
	}
}

// The accounts of the system agree: to the nanosecond by thread, and in ticks.
func TestCPUTimeSourcesAgree(t *testing.T) {
	r, err := Run(t.Context(), Options{Program: buildScheduler(t), Schedulers: 1, Workers: 8, Zones: 2,
		Duration: 3 * time.Second, Day: "calm"}, testLog{t})
	if err != nil {
		t.Fatal(err)
	}
	if apart := math.Abs(r.CPUSeconds.Mean - r.CPUTickSeconds.Mean); r.CPUSeconds.Mean == 0 || apart > 0.03 {
		t.Errorf("%.3f s by thread, %.3f s in ticks", r.CPUSeconds.Mean, r.CPUTickSeconds.Mean)
	}
	path := r.FindEvent("jobs of 0 s, clients: 128")
	if path == nil || path.Served == 0 || path.CPUPerJob <= 0 || path.JobBytesIn == 0 || path.JobBytesOut == 0 {
		t.Errorf("the job path: %+v", path)
	}
}
