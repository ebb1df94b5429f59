package emulator

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"dahliaford/internal/connstate"
	"dahliaford/internal/dispatch"
	"dahliaford/internal/history"
	"dahliaford/internal/scheduler"
)

// The reducer receives the same events from the emulator as from real sockets, for a job that succeeds and
// for each kind of fault.
func TestEventsOfAJob(t *testing.T) {
	const success = "Submitted AttemptAccepted Callback/started Callback/done"
	for name, c := range map[string]struct {
		want   string
		answer string // HTTP status of the answer to the client; not checked if empty
		fault  func(f *fleet, w *worker)
	}{
		"no fault": {want: success, answer: "200"},
		"the process died before": {want: "Submitted Ended/connect-failed", fault: func(_ *fleet, w *worker) {
			w.running = false
			w.incarnation++
		}},
		"the process dies with the job": {
			want:   "Submitted AttemptAccepted Callback/started Callback/aborted",
			answer: "500",
			fault:  func(f *fleet, w *worker) { f.scheduleAfter(2*second, w.crash) },
		},
		"the machine vanished before": {want: "Submitted Ended/connect-failed", fault: func(_ *fleet, w *worker) {
			w.stop(unreported)
			w.unreachable = true
		}},
		"the worker is at capacity": {want: "Submitted Ended/at-capacity", fault: fillQueue},
		"the worker is stopped while the connection is established": {
			want: "Submitted Ended/not-sent",
			fault: func(f *fleet, w *worker) {
				f.scheduleAfter(300, func() { f.nodes[0].stoppedWorkers[w.uid] = true })
			},
		},
		"the worker list is stale": {
			want:  "Submitted Ended/not-sent",
			fault: func(f *fleet, _ *worker) { f.scheduleAfter(300, func() { f.nodes[0].validUntil = f.now - 1 }) },
		},
		"the callback is late after a cut": {want: success, answer: "200", fault: func(f *fleet, w *worker) {
			w.zone = 7
			f.scheduleAfter(2*second, func() { f.network.cutRegion = 3 })
			f.scheduleAfter(4*second, f.network.heal)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			f := newIdleFleet(t, Options{Workers: 1, Schedulers: 1, Rate: 1, Duration: time.Minute,
				MeanRunTime: 3 * time.Second, Day: "calm"})
			req, events := runOneJob(f, c.fault)
			got := strings.Join(events, " ")
			// The worker sends the acceptance of the attempt and the callback of the start at the same time, and
			// either may arrive first.
			got = strings.Replace(got, "Callback/started AttemptAccepted", "AttemptAccepted Callback/started", 1)
			if !strings.HasPrefix(got+" ", c.want+" ") {
				t.Errorf("the reducer got the events %s about the job; want events that begin with %s", got, c.want)
			}
			if answer := statusesOf(req); c.answer != "" && answer != c.answer {
				t.Errorf("the client got answers with the HTTP statuses %q, want the single status %s", answer, c.answer)
			}
			if len(f.tally.model.Violations) > 0 {
				t.Error(f.tally.model.Findings)
			}
		})
	}
}

// fillQueue puts more attempts into a worker's queue than fit.
func fillQueue(f *fleet, w *worker) {
	for i := range 42 {
		req := &request{fleet: f, node: f.nodes[0], id: fmt.Sprint("other", i), number: i, outstanding: 1,
			job: &clientJob{slots: 1, work: float64(60 * second)}}
		w.queue = append(w.queue, &attempt{request: req, worker: w, node: f.nodes[0]})
	}
}

// runOneJob starts the only scheduler of a fleet, causes the fault unless it is nil, and submits a job. It
// returns the job's request and the names of the events about the job.
func runOneJob(f *fleet, fault func(f *fleet, w *worker)) (*request, []string) {
	n := f.nodes[0]
	var events []string
	f.meter.observe = func(e scheduler.Event) { events = append(events, nameOfEvent(e)) }
	n.step(scheduler.Started{Discovery: "discovery", CachedList: workerList(f.discovery.table.Full())})
	f.runUntil(f.now + 2*second)
	events = nil
	if fault != nil {
		fault(f, f.workers[0])
	}
	req := &request{fleet: f, node: n, id: "a", outstanding: 1, timeout: 20 * second,
		job: &clientJob{class: 1, slots: 1, work: float64(3 * second)}}
	n.submit(req)
	f.runUntil(f.now + 10*second)
	return req, slices.DeleteFunc(events, func(name string) bool { return name == "" })
}

// statusesOf returns the concatenated HTTP statuses of all answers to a request.
func statusesOf(req *request) string {
	answer := ""
	for _, e := range req.history {
		if e.Kind == history.Answered {
			answer += fmt.Sprint(e.Status)
		}
	}
	return answer
}

// nameOfEvent returns a name for an event about a job, or "" for other events.
func nameOfEvent(e scheduler.Event) string {
	switch e := e.(type) {
	case scheduler.Submitted, scheduler.AttemptAccepted, scheduler.CancellationResult:
		return strings.TrimPrefix(fmt.Sprintf("%T", e), "scheduler.")
	case scheduler.Callback:
		return "Callback/" + map[scheduler.CallbackKind]string{
			scheduler.CallbackStarted: "started",
			scheduler.CallbackDone:    "done",
			scheduler.CallbackAborted: "aborted",
			scheduler.CallbackFailed:  "failed",
		}[e.Kind]
	case scheduler.AttemptEnded:
		return "Ended/" + map[dispatch.Outcome]string{
			dispatch.ConnectFailed: "connect-failed",
			dispatch.AtCapacity:    "at-capacity",
			dispatch.NotSent:       "not-sent",
			dispatch.Reset:         "reset",
		}[e.Outcome]
	}
	return ""
}

// A scheduler reuses an idle connection until its idle timeout, unless the worker's process has ended.
// Cancellations never reuse a connection. A scheduler has at most maxConnections connections open.
func TestIdleConnectionsAreReused(t *testing.T) {
	f := newIdleFleet(t, shortRun("calm"))
	n, w := f.nodes[0], f.workers[0]
	addIdle := func() *conn {
		c := &conn{node: n, worker: w, connected: true}
		c.Assign(1, false)
		c.WriteEnded(connstate.WriteComplete)
		c.Busy = false
		n.openConns++
		n.addIdle(c)
		return c
	}
	c := addIdle()
	f.now += idleTimeoutLargeFleet - 1
	if n.acquireNewConn(w) == c {
		t.Error("the connection for sending a cancellation is an idle one, want a new connection")
	}
	if n.acquireConn(w) != c {
		t.Error("an attempt does not reuse the idle connection to its worker before the idle timeout, want reuse")
	}
	c = addIdle()
	f.now += idleTimeoutLargeFleet
	if n.acquireConn(w) == c || !c.Released {
		t.Error("an idle connection is reused or still open after the idle timeout, want the connection closed")
	}
	c = addIdle()
	w.crash()
	f.now += second
	if n.acquireConn(w) == c {
		t.Error("a connection to a process that has ended is reused, want another connection")
	}
	for range 2 * maxConnections {
		n.acquireConn(w)
	}
	if n.openConns != maxConnections || f.tally.model.NoConnection == 0 {
		t.Errorf("the scheduler has %d open connections, want %d; got %d attempts without a connection, want some",
			n.openConns, maxConnections, f.tally.model.NoConnection)
	}
}
