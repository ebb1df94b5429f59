package emulator

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"dahliaford/internal/connstate"
	"dahliaford/internal/dispatch"
	"dahliaford/internal/history"
	"dahliaford/internal/scheduler"
)

// The reducer gets of a job, and of what befalls it, the events that it gets on sockets.
func TestEventsOfAJob(t *testing.T) {
	const job = "Submitted AttemptAccepted Told/started Told/done"
	for name, c := range map[string]struct {
		want   string
		answer string // status of the answer; "": none by the end
		befall func(f *fleet, w *worker)
	}{
		"all is well": {want: job, answer: "200"},
		"the process died before": {want: "Submitted Ended/connect-failed", befall: func(f *fleet, w *worker) {
			w.running = false
			w.incarnation++
		}},
		"it dies with the job": {want: "Submitted AttemptAccepted Told/started Told/lost", answer: "500",
			befall: func(f *fleet, w *worker) { f.after(2*second, w.crash) }},
		"its machine vanishes before": {want: "Submitted Ended/connect-failed", befall: func(f *fleet, w *worker) {
			w.stop(unreported)
			w.unreachable = true
		}},
		"it is full": {want: "Submitted Ended/full", befall: func(f *fleet, w *worker) {
			for i := range 42 {
				req := &request{fleet: f, node: f.nodes[0], id: fmt.Sprint("other", i), number: i, outstanding: 1,
					job: &clientJob{slots: 1, work: float64(60 * second)}}
				w.queue = append(w.queue, &attempt{request: req, worker: w, node: f.nodes[0]})
			}
		}},
		"it is told off while the connection comes up": {want: "Submitted Ended/moot",
			befall: func(f *fleet, w *worker) { f.after(300, func() { f.nodes[0].stoppedWorkers[w.uid] = true }) }},
		"discovery has not been heard for long": {want: "Submitted Ended/moot",
			befall: func(f *fleet, w *worker) { f.after(300, func() { f.nodes[0].validUntil = f.now - 1 }) }},
		"its word comes late over a cut": {want: job, answer: "200", befall: func(f *fleet, w *worker) {
			w.zone = 7
			f.after(2*second, func() { f.network.cutRegion = 3 })
			f.after(4*second, f.network.heal)
		}},
	} {
		f, err := newFleet(Options{Workers: 1, Schedulers: 1, Rate: 1, Duration: 60 * 1e9, Task: 3 * 1e9, Day: "calm"})
		if err != nil {
			t.Fatal(err)
		}
		f.events, f.now = eventQueue{}, f.atFraction(0)
		n, w := f.nodes[0], f.workers[0]
		var seen []string
		f.meter.observe = func(e scheduler.Event) { seen = append(seen, nameOf(e)) }
		n.step(scheduler.Started{Discovery: "discovery", CachedList: workerList(f.discovery.table.Full())})
		f.until(f.now + 2*second)
		seen = nil
		if c.befall != nil {
			c.befall(f, w)
		}
		req := &request{fleet: f, node: n, id: "a", outstanding: 1, timeout: 20 * second,
			job: &clientJob{class: 1, slots: 1, work: float64(3 * second)}}
		n.submit(req)
		f.until(f.now + 10*second)
		seen = slices.DeleteFunc(seen, func(s string) bool { return s == "" })
		got := strings.Join(seen, " ")
		// The worker sends both at once, and either may come first.
		got = strings.Replace(got, "Told/started AttemptAccepted", "AttemptAccepted Told/started", 1)
		if !strings.HasPrefix(got+" ", c.want+" ") {
			t.Errorf("%s: %s; want %s", name, got, c.want)
		}
		answer := ""
		for _, e := range req.history {
			if e.Kind == history.Answered {
				answer += fmt.Sprint(e.Status)
			}
		}
		if c.answer != "" && answer != c.answer {
			t.Errorf("%s: answered %q, want %s", name, answer, c.answer)
		}
		if len(f.tally.model.Violations) > 0 {
			t.Errorf("%s: %v", name, f.tally.model.Findings)
		}
	}
}

// nameOf names an event about a job.
func nameOf(e scheduler.Event) string {
	switch e := e.(type) {
	case scheduler.Submitted, scheduler.AttemptAccepted, scheduler.CancellationResult:
		return strings.TrimPrefix(fmt.Sprintf("%T", e), "scheduler.")
	case scheduler.Callback:
		return "Told/" + map[scheduler.CallbackKind]string{scheduler.CallbackStarted: "started", scheduler.CallbackDone: "done",
			scheduler.CallbackAborted: "lost", scheduler.CallbackFailed: "failed"}[e.Kind]
	case scheduler.AttemptEnded:
		return "Ended/" + map[dispatch.Outcome]string{dispatch.ConnectFailed: "connect-failed",
			dispatch.AtCapacity: "full", dispatch.NotSent: "moot", dispatch.Reset: "reset"}[e.Outcome]
	}
	return ""
}

// A connection that idles is used again, for as long as the program keeps it.
func TestConnectionsAreUsedAgain(t *testing.T) {
	f := still(t)
	n, w := f.nodes[0], f.workers[0]
	idle := func() *conn {
		c := &conn{node: n, worker: w, connected: true, idleSince: f.now}
		c.Assign(1, false)
		c.WriteEnded(connstate.WriteComplete)
		c.Busy = false
		n.openConns++
		n.idleConns[w] = append(n.idleConns[w], c)
		n.idleOrder = append(n.idleOrder, idleEntry{c, f.now})
		return c
	}
	c := idle()
	f.now += idleTimeoutLargeFleet - 1
	if n.acquireNewConn(w) == c {
		t.Error("a withdrawal takes a connection that idles")
	}
	if n.acquireConn(w) != c {
		t.Error("a connection that idles is not used again")
	}
	c = idle()
	f.now += idleTimeoutLargeFleet
	if n.acquireConn(w) == c || !c.Released {
		t.Error("a connection that has idled too long is used again")
	}
	c = idle()
	w.crash()
	f.now += second
	if n.acquireConn(w) == c {
		t.Error("a connection to a dead process is used again")
	}
	for range 2 * maxConnections {
		n.acquireConn(w)
	}
	if n.openConns != maxConnections || f.tally.model.NoConnection == 0 {
		t.Errorf("%d connections, of %d at the most", n.openConns, maxConnections)
	}
}
