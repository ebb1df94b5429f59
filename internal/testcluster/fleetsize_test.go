package testcluster

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"dahliaford/internal/fakes"
	"dahliaford/internal/history"
)

// startWorkers starts so many workers, named by their batch.
func startWorkers(t *testing.T, batch string, n int, scheduler func() string) []fakes.Endpoint {
	t.Helper()
	lines := make([]fakes.Endpoint, n)
	for i := range lines {
		uid := fmt.Sprintf("s-%s-%d", batch, i)
		r, err := fakes.NewWorker(uid, "127.0.0.1:0", scheduler, healthyScript(1, i), func(history.Event) {})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(r.Close)
		lines[i] = fakes.Endpoint{UID: uid, Addr: r.Addr(), Zone: "north", Kind: "m1", Cell: i, State: "ready"}
	}
	return lines
}

// The program starts with 1,024 workers known and 1,024 schedulers in its settings, serves within
// 32 MB and 256 descriptors, and goes on while all workers are replaced.
func TestTheLargestFleet(t *testing.T) {
	bin, addr := buildScheduler(t), atomic.Value{}
	addr.Store("127.0.0.1:1")
	for _, size := range []int{10, 200, 1024} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			at := func() string { return addr.Load().(string) }
			old := startWorkers(t, fmt.Sprint("old-", size), size, at)
			discovery, err := fakes.NewDiscovery("127.0.0.1:0", old...)
			if err != nil {
				t.Fatal(err)
			}
			defer discovery.Close()
			began := time.Now()
			p, err := StartConfig(bin, t.TempDir(), Config{Name: "n0", Listen: "127.0.0.1:0",
				Discovery: discovery.Addr(), Schedulers: size, MemoryMB: 32, MaxSockets: 256, KnownEndpoints: old})
			if err != nil {
				t.Fatal(err)
			}
			defer p.Kill()
			started := time.Since(began)
			addr.Store(p.Addr)
			served := func(batch string, n int) (sum int) {
				for i := range n {
					r, err := fakes.Submit(p.Addr, fakes.Submission{ID: fmt.Sprint(batch, "-", size, "-", i),
						Class: "district-batch", Tenant: "sahel", Key: fmt.Sprint(batch, i),
						Deadline: time.Now().Add(4 * time.Second)}, func(history.Event) {})
					if err == nil && r.Status == 200 {
						sum++
					}
				}
				return sum
			}
			wait := func(what string, so func() bool) {
				t.Helper()
				for end := time.Now().Add(startTimeout); !so(); time.Sleep(20 * time.Millisecond) {
					if time.Now().After(end) {
						t.Fatalf("in vain: %s", what)
					}
				}
			}
			wait("a first job", func() bool { return served("first", 1) == 1 })
			if got := served("old", 40); got < 36 {
				t.Errorf("%d of 40 jobs served", got)
			}
			for i, line := range startWorkers(t, fmt.Sprint("new-", size), size, at) {
				line.BootMs = time.Now().Add(-time.Minute).UnixMilli()
				discovery.Update(line)
				left := old[i]
				left.State = "gone"
				discovery.Update(left)
			}
			wait("a job after the replacement", func() bool { return served("second", 1) == 1 })
			if got := served("new", 40); got < 36 {
				t.Errorf("%d of 40 jobs served after all workers were replaced", got)
			}
			use, err := p.Usage()
			if err != nil || use.PeakMemoryMB > 32 || use.Descriptors > 256 {
				t.Errorf("%+v, %v", use, err)
			}
			t.Logf("%d: serving after %v, %.1f MB, %d descriptors, %d threads", size, started.Round(time.Millisecond),
				use.PeakMemoryMB, use.Descriptors, use.Threads)
		})
	}
}
