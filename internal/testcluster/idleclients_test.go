package testcluster

import (
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"dahliaford/internal/fakes"
)

// connectAndIdle opens a connection to an address, sends nothing on it until the other side closes it, and
// then opens the next one. It counts the connections, and returns when stop is closed or a connection attempt
// fails.
func connectAndIdle(addr string, stop <-chan struct{}, connections *atomic.Int64) {
	for {
		conn, err := net.DialTimeout("tcp", addr, time.Second)
		if err != nil {
			return
		}
		connections.Add(1)
		closed := make(chan struct{})
		go func() {
			defer close(closed)
			_, _ = conn.Read(make([]byte, 1)) // blocks until either side closes the connection
		}()
		select {
		case <-closed:
			conn.Close()
		case <-stop:
			conn.Close()
			<-closed
			return
		}
		select {
		case <-time.After(100 * time.Millisecond):
		case <-stop:
			return
		}
	}
}

// Idle clients take all file descriptors that the scheduler may hold while discovery is down. The scheduler
// still answers jobs, and connects to discovery after it has come up again while the clients are still
// connected.
func TestIdleClientsWhileDiscoveryIsDown(t *testing.T) {
	const descriptors, clients = 64, 200
	addr := atomic.Value{}
	addr.Store(unreachableAddr)
	workers := startWorkers(t, "crowd", 4, func() string { return addr.Load().(string) })
	discovery, err := fakes.NewDiscovery(anyPortAddr, workers...)
	if err != nil {
		t.Fatal(err)
	}
	discovery.Close() // discovery is down when the scheduler starts; its address is used again below
	p, err := StartConfig(buildScheduler(t), t.TempDir(), Config{Name: "n0", Listen: anyPortAddr,
		Discovery: discovery.Addr(), Schedulers: 1, MemoryMB: 32, MaxSockets: descriptors,
		KnownEndpoints: workers})
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
	var idle sync.WaitGroup
	defer idle.Wait()
	defer close(stop)
	var connections atomic.Int64
	for range clients {
		idle.Go(func() { connectAndIdle(p.Addr, stop, &connections) })
	}
	waitUntil(t, "idle clients", p, func() bool { return connections.Load() >= clients })
	serial := 0
	submit := func() int {
		serial++
		id := "crowd" + string(rune('a'+serial%26)) + time.Now().Format("150405.000000")
		return submitBatch(p.Addr, id, "k")
	}
	waitUntil(t, "an answer while discovery is down", p, func() bool { return submit() == 503 })
	restarted, err := fakes.NewDiscovery(discovery.Addr(), workers...)
	if err != nil {
		t.Fatal(err)
	}
	defer restarted.Close()
	waitUntil(t, "a job served once discovery is back", p, func() bool { return submit() == 200 })
	if use, err := p.Usage(); err != nil || use.Descriptors > descriptors {
		t.Errorf("scheduler's resources: got %+v, error %v; want at most 64 descriptors", use, err)
	}
}
