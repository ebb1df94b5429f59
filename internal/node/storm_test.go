package node

import (
	"fmt"
	"io"
	"net"
	"os"
	"runtime"
	"strings"
	"testing"
	"time"

	"dahliaford/internal/fakes"
	"dahliaford/internal/history"
	"dahliaford/internal/scheduler"
)

// resources describes the connections, slots and scheduler state that a node holds, and the goroutines and
// file descriptors of the process.
func resources(n *Node) string {
	var text string
	n.onLoop(func() {
		idle := 0
		for _, l := range n.idleConns {
			idle += len(l)
		}
		k := n.sched.Stats()
		k.ReservedIDs, k.Timers = 0, 0 // Reserved IDs and timers expire by time, so they are not compared.
		text = fmt.Sprintf("clients %d, callers %d, idle %d in %d, open %d, attempts %d, cancellations %d, "+
			"slots %d, %+v", len(n.clients), len(n.callers), idle, len(n.idleConns), n.openWorkerConns,
			len(n.attempts), n.cancellations, len(n.clientSlots), k)
	})
	files, _ := os.ReadDir("/proc/self/fd")
	return fmt.Sprintf("%s, goroutines %d, descriptors %d", text, runtime.NumGoroutine(), len(files))
}

// After many clients misbehave in one of several ways, the node holds the same resources as before.
func TestClientStormsLeakNothing(t *testing.T) {
	w := newHarness(t, 0)
	n := w.node
	worker, err := fakes.NewWorker("r1", "127.0.0.1:0", func() string { return n.Addr().String() },
		func(fakes.Job) fakes.Script { return fakes.Script{RunTime: 20 * time.Millisecond} },
		func(history.Event) {})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(worker.Close)
	n.onLoop(func() {
		n.postPendingUpdate()
		n.applyUpdate(t, watchUpdate{watch: n.watch, event: scheduler.EndpointsUpdated{AsOf: n.now() + 3600*second,
			List: scheduler.WorkerList{Revision: 5, Complete: true, Workers: []scheduler.Worker{
				{UID: "r1", Addr: worker.Addr(), Zone: "north", Kind: "m1", Status: 1}}}}})
	})
	const job = "POST /%[1]s/7 HTTP/1.1\r\nX-Txn: %[2]s\r\nX-Lane: %[1]s\r\nX-Org: sahel\r\n" +
		"X-Remaining-Ms: 30000\r\nContent-Length: 0\r\n\r\n"
	serial := 0
	one := func(class string) string {
		serial++
		return fmt.Sprintf(job, class, fmt.Sprint("t", serial))
	}
	storms := []struct {
		name string
		text func() string
	}{
		{"disconnect while waiting", func() string { return one("post") }},
		{"send ahead and disconnect", func() string { return one("batch") + one("batch") + one("post") }},
		{"send too much and disconnect", func() string { return one("post") + strings.Repeat("x", 40<<10) }},
		{"bad bytes", func() string { return "\x00\x01 nonsense\r\n\r\n" }},
		{"half a request", func() string { return "POST /post/7 HTTP/1.1\r\nX-Txn" }},
		{"nothing", func() string { return "" }},
	}
	storm := func(text func() string) {
		var all []net.Conn
		for range 40 {
			conn, err := net.Dial("tcp", n.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			_, _ = io.WriteString(conn, text()) // The node may have closed the connection already.
			all = append(all, conn)
		}
		for i, conn := range all {
			if i%2 == 0 {
				resetOnClose(t, conn)
			}
			conn.Close()
		}
	}
	// The first connections allocate resources that the process keeps, so one storm precedes the comparison.
	storm(func() string { return "" })
	time.Sleep(2 * sweepInterval)
	before := resources(n)
	for _, s := range storms {
		for range 3 {
			storm(s.text)
		}
		var got string
		if !eventually(func() bool { got = resources(n); return got == before }) {
			t.Errorf("%s: resources after testTimeout:\ngot  %s\nwant %s", s.name, got, before)
		}
	}
}
