package node

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"dahliaford/internal/scheduler"
)

// The number of connections to workers stays within maxWorkerConns. When that limit is near, idle connections
// are dropped; at the limit assign fails.
func TestWorkerConnectionsAreBounded(t *testing.T) {
	n := &Node{start: time.Now(), idleConns: map[string][]*workerConn{}, maxWorkerConns: 8, ctx: t.Context(),
		inbox: make(chan any, 100)}
	dropped := 0
	for i := range 7 {
		n.openWorkerConns++
		since := n.now() + second + scheduler.Micros(i)
		l := &workerConn{addr: "old", idleSince: since, cancel: func() { dropped++ }}
		n.idleConns["old"] = append(n.idleConns["old"], l)
	}
	var got []bool
	for range 2 {
		_, ok := n.assign("127.0.0.1:1", exchange{requestID: "a"})
		got = append(got, ok)
	}
	if diff := cmp.Diff([]bool{true, false}, got); diff != "" || dropped != 2 {
		t.Errorf("results of two calls of assign (-want +got): %s dropped %d idle connections, want 2",
			diff, dropped)
	}
}

// In a large fleet an idle connection stays open for the time after which the scheduler has usually sent
// another job to the same worker. Otherwise each job would need a new connection.
func TestIdleConnectionsLastLongerInLargeFleets(t *testing.T) {
	for balancers, want := range map[int]int{3: 0, 80: 1} {
		set := parseTestSettings(t)
		set.Dispatch.Dispatchers = balancers
		n := listenNode(t, Config{Listen: "127.0.0.1:0", Settings: set})
		defer n.listener.Close()
		n.start = n.start.Add(-time.Minute)
		for _, ago := range []scheduler.Micros{3 * second, second} {
			n.idleConns["r"] = append(n.idleConns["r"], &workerConn{idleSince: n.now() - ago, cancel: func() {}})
		}
		n.dropExpiredIdle()
		if got := len(n.idleConns["r"]); got != want {
			t.Errorf("%d schedulers: got %d idle connections left after the expired ones were dropped, want %d",
				balancers, got, want)
		}
	}
}

// An idle connection is dropped long before the worker's machine closes idle connections: the machine may
// close a connection without notice, and a job that is written to such a connection is lost.
func TestIdleConnectionTimeout(t *testing.T) {
	for _, c := range []struct {
		balancers  int
		idle, want scheduler.Micros
	}{{3, 60 * second, idleTimeoutSmallFleet}, {3, 0, 0}, {80, 60 * second, 2 * second},
		{80, 1500 * millisecond, 750 * millisecond}, {80, 0, 0}} {
		set := parseTestSettings(t)
		set.Dispatch.Dispatchers, set.WorkerIdleTimeout = c.balancers, c.idle
		if got := idleTimeoutOf(&set); got != c.want {
			t.Errorf("%d schedulers, workers close idle connections after %d us: got idle timeout %d us, want %d us",
				c.balancers, c.idle, got, c.want)
		}
	}
}
