package testcluster

import (
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"dahliaford/internal/fakes"
	"dahliaford/internal/history"
)

// Idle clients fill all descriptors that the program may hold while discovery is down. It still answers,
// and it finds discovery as that is back, with the crowd still there.
func TestIdleClientsWhileDiscoveryIsDown(t *testing.T) {
	const descriptors, crowd = 64, 200
	addr := atomic.Value{}
	addr.Store("127.0.0.1:1")
	lines := startWorkers(t, "crowd", 4, func() string { return addr.Load().(string) })
	discovery, err := fakes.NewDiscovery("127.0.0.1:0", lines...)
	if err != nil {
		t.Fatal(err)
	}
	discovery.Close() // it is down from the start
	p, err := StartConfig(buildScheduler(t), t.TempDir(), Config{Name: "n0", Listen: "127.0.0.1:0",
		Discovery: discovery.Addr(), Schedulers: 1, MemoryMB: 32, MaxSockets: descriptors, KnownEndpoints: lines})
	if err != nil {
		t.Fatal(err)
	}
	defer p.Kill()
	addr.Store(p.Addr)
	limit := unix.Rlimit{Cur: descriptors, Max: descriptors}
	if err := unix.Prlimit(p.cmd.Process.Pid, unix.RLIMIT_NOFILE, &limit, nil); err != nil {
		t.Fatal(err)
	}
	stop := make(chan struct{})
	var idlers sync.WaitGroup
	defer idlers.Wait()
	defer close(stop)
	var came atomic.Int64
	for range crowd {
		idlers.Go(func() {
			for { // who is closed to make room comes back, as long as the test runs
				conn, err := net.DialTimeout("tcp", p.Addr, time.Second)
				if err != nil {
					return
				}
				came.Add(1)
				gone := make(chan struct{})
				go func() {
					defer close(gone)
					conn.Read(make([]byte, 1))
				}()
				select {
				case <-gone:
					conn.Close()
				case <-stop:
					conn.Close()
					<-gone
					return
				}
				select {
				case <-time.After(100 * time.Millisecond):
				case <-stop:
					return
				}
			}
		})
	}
	wait := func(what string, so func() bool) {
		t.Helper()
		for end := time.Now().Add(startTimeout); !so(); time.Sleep(20 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("in vain: %s\n%v", what, p.Log())
			}
		}
	}
	wait("a crowd", func() bool { return came.Load() >= crowd })
	serial := 0
	submit := func() int {
		serial++
		r, err := fakes.Submit(p.Addr, fakes.Submission{ID: "crowd" + string(rune('a'+serial%26)) +
			time.Now().Format("150405.000000"), Class: "district-batch", Tenant: "sahel", Key: "k",
			Deadline: time.Now().Add(4 * time.Second)}, func(history.Event) {})
		if err != nil {
			return 0
		}
		return r.Status
	}
	wait("an answer while discovery is down", func() bool { return submit() == 503 })
	back, err := fakes.NewDiscovery(discovery.Addr(), lines...)
	if err != nil {
		t.Fatal(err)
	}
	defer back.Close()
	wait("a job served once discovery is back", func() bool { return submit() == 200 })
	if use, err := p.Usage(); err != nil || use.Descriptors > descriptors {
		t.Errorf("%+v, %v", use, err)
	}
}
