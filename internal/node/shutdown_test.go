package node

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"dahliaford/internal/http1"
)

// Requests in connections that wait in the listener's queue are answered when the node stops. Such
// connections wait there because all client slots are taken, or because the node gets no processor time.
func TestAcceptQueueIsServedAtShutdown(t *testing.T) {
	w := newHarness(t, minDescriptors, "r1")
	n := w.node
	// Once the acceptor has accepted this connection, it acquires another client slot for the connection that
	// comes next.
	first, err := net.Dial("tcp", n.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer first.Close()
	runScenario(t, w, "c1 send GET /_health\nc1 expect 200")
	releaseSlots := n.takeFreeSlots()
	var waiting []net.Conn
	for i := range 20 {
		conn, err := net.Dial("tcp", n.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		write(t, conn, fmt.Sprintf("POST /post/7 HTTP/1.1\r\nX-Txn: q%d\r\nX-Lane: post\r\nX-Org: sahel\r\n"+
			"X-Remaining-Ms: 30000\r\nContent-Length: 1\r\n\r\nx", i))
		waiting = append(waiting, conn)
	}
	n.Stop()
	for draining := false; !draining; time.Sleep(time.Millisecond) {
		n.onLoop(func() { draining = n.drainDeadline != nil })
	}
	releaseSlots()
	// One or two of the jobs got a client slot before the stop and fail with status 500.
	for i, conn := range waiting {
		conn.SetReadDeadline(time.Now().Add(testTimeout))
		if r, err := http1.NewReader(conn).Response(); err != nil || r.Status != 503 && r.Status != 500 {
			t.Errorf("request %d from the listener's queue got response %v and error %v, want status 503 or 500",
				i, r, err)
		}
	}
}

// A node that stops has answered all jobs and has closed its listener when the rest of a request arrives on
// an open connection. The request must still be answered.
func TestRequestCrossesTheEnd(t *testing.T) {
	w := newHarness(t, 0, "r1")
	conn, err := net.Dial("tcp", w.node.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	read := http1.NewReader(conn)
	exchange := func(text string) (*http1.Response, error) {
		if _, err := io.WriteString(conn, text); err != nil {
			return nil, err
		}
		return read.Response()
	}
	if _, err := exchange("GET /_health HTTP/1.1\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	w.node.Stop()
	write(t, conn, "POST /post/7 HTTP/1.1\r\nX-Lane: post\r\n")
	for end := time.Now().Add(testTimeout); ; time.Sleep(time.Millisecond) {
		c, err := net.Dial("tcp", w.node.Addr().String())
		if err != nil {
			break // A refused dial shows that the node has closed its listener.
		}
		if c.Close(); time.Now().After(end) {
			t.Fatal("the node still listens after testTimeout, want its listener closed")
		}
	}
	r, err := exchange("X-Org: sahel\r\nX-Txn: a1\r\nX-Remaining-Ms: 900\r\nContent-Length: 0\r\n\r\n")
	if err != nil || r.Status != 503 || !r.Close {
		t.Errorf("a request on an open connection got response %v and error %v, want status 503 and a close",
			r, err)
	}
}

// waitRefusing waits until a node that stops refuses new jobs while earlier jobs have no answer yet or
// cancellations are in progress.
func (n *Node) waitRefusing(t *testing.T) {
	t.Helper()
	n.waitFor(t, "refusing", func() bool { return n.draining.Load() && n.drainDeadline == nil })
}

const (
	running = `
		c1 send job batch a1 || one
		r1 expect POST /batch/7?a=b txn=a1 key=k body=one
		r1 send 202 OK
		node send stop`
	ran = `
		back2 send POST /callback || {"id":"a1","from":"r1","state":"done","result":"it"}
		back2 expect 204
		c1 expect 200 close it
		wait end`
	stale = `{"id":"a0","from":"r1","state":"done"}` // This callback names a job that the node does not know.
)

// shutdownStage is a stage of a node's shutdown. reach brings the node into the stage, and finish completes
// the shutdown from there.
type shutdownStage struct {
	name   string
	reach  func(t *testing.T, w *harness)
	finish func(t *testing.T, w *harness)
}

var shutdownStages = []shutdownStage{
	{"still accepting jobs", func(t *testing.T, w *harness) {
		runScenario(t, w, running)
	}, func(t *testing.T, w *harness) {
		w.node.waitRefusing(t)
		runScenario(t, w, ran)
	}},
	{"refusing", func(t *testing.T, w *harness) {
		runScenario(t, w, running)
		w.node.waitRefusing(t)
	}, func(t *testing.T, w *harness) {
		runScenario(t, w, ran)
	}},
	{"waiting for cancellations", func(t *testing.T, w *harness) {
		runScenario(t, w, `
			c1 send job batch a1 || one
			r1 expect POST /batch/7?a=b txn=a1 key=k body=one
			c1 close
			r1 expect DELETE /jobs/a1
			node send stop`)
		w.node.waitRefusing(t)
	}, func(t *testing.T, w *harness) {
		runScenario(t, w, "r1 send 200 OK\nwait end")
	}},
	// Clients with incomplete requests keep the node in the stage closing.
	{"closing", func(t *testing.T, w *harness) {
		runScenario(t, w, "c3 send GET /_health\nc3 expect 200\nback3 send GET /_health\nback3 expect 200")
		w.writeRaw(t, "c3", "POST /batch/7 HTTP/1.1\r\nX-Lane: batch\r\n")
		w.writeRaw(t, "back3", "POST /callback HTTP/1.1\r\n")
		runScenario(t, w, "node send stop")
		w.node.waitFor(t, "closing", func() bool { return w.node.drainDeadline != nil })
	}, func(t *testing.T, w *harness) {
		w.writeRaw(t, "c3", "X-Org: sahel\r\nX-Txn: z1\r\nX-Remaining-Ms: 900\r\nContent-Length: 0\r\n\r\n")
		w.writeRaw(t, "back3", fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(stale), stale))
		runScenario(t, w, "c3 expect 503 after 0 close\nback3 expect 204 close\nwait end")
	}},
}

// In each stage of the shutdown each kind of event is handled: every client gets an answer, and the node ends
// when all accepted jobs are answered, as it does without the event.
func TestEventsInEachStageOfShutdown(t *testing.T) {
	for _, s := range shutdownStages {
		for event, happen := range map[string]string{
			"a second SIGTERM": "node send stop\nnode send stop",
			"a SIGHUP": `
				node send reload discovery2
				discovery2 expect GET /catalog/members?watch=1&from=0
				node send reload discovery3
				discovery3 expect GET /catalog/members?watch=1&from=0`,
			"a callback": `
				back send POST /callback || {"id":"a1","from":"r1","state":"running","share":0.5}
				back expect 204
				back send POST /callback || ` + stale + `
				back expect 204`,
			"a late client": `
				c2 send job batch z1 || late
				c2 expect 503 after 0 close
				c2 expect end`,
		} {
			switch {
			case s.name == "closing" && (event == "a callback" || event == "a late client"):
				// This case is skipped, because the listener may be closed in the stage closing, so that no new
				// connection is possible. The finish script of the stage instead completes a callback and a late client's
				// job on connections that it opened before the stop.
				continue
			case s.name == "still accepting jobs" && event == "a late client":
				// While the node still accepts jobs it serves the late client, see
				// TestLateClientIsServedDuringShutdownGrace.
				continue
			}
			t.Run(s.name+", "+event, func(t *testing.T) {
				t.Parallel()
				w := newHarness(t, 0, "r1")
				w.serve(t, "discovery2")
				w.serve(t, "discovery3")
				s.reach(t, w)
				runScenario(t, w, happen)
				s.finish(t, w)
				w.node.Stop() // Stop and Reload must not block after the node has ended.
				w.node.Reload(Config{})
			})
		}
	}
}

// A node that stops still accepts jobs for a short time, because front ends notice the failing health check
// late. A run in which the job arrives after that time proves nothing, so the test repeats the run.
func TestLateClientIsServedDuringShutdownGrace(t *testing.T) {
	for end := time.Now().Add(testTimeout); ; {
		w := newHarness(t, 0, "r1")
		began := time.Now()
		runScenario(t, w, "node send stop\nc1 send job batch a1 || one")
		select {
		case m := <-w.peers["r1"].received:
			w.peers["r1"].conn = m.conn
			runScenario(t, w, "r1 send 202 OK")
			w.node.waitRefusing(t)
			runScenario(t, w, ran)
			return
		case m := <-w.peers["c1"].received:
			if took := time.Since(began); took < 600*time.Millisecond || time.Now().After(end) {
				t.Fatalf("%v after the stop the client got %q, want its job served", took, m.text)
			}
		}
	}
}

// A job waits for a worker list when its node begins to stop. A reload then names another discovery service,
// and the job must be sent according to the list of that service.
func TestReloadDuringShutdownServesWaitingJobs(t *testing.T) {
	w := newHarness(t, 0, "r1")
	w.serve(t, "discovery2")
	n := w.node
	n.onLoop(func() { n.invalidateList(t) })
	runScenario(t, w, "c1 send job batch a1 || one\nwait open 1\nnode send stop")
	n.waitRefusing(t)
	line := workerLine("r1", w.peers["r1"].listener.Addr().String())
	list := `{"rev":9,"all":true,"targets":[` + line + "]}\n"
	go func() { // The node may open several watches, and the discovery service responds to each of them.
		for m := range w.peers["discovery2"].received {
			if strings.HasPrefix(m.text, "GET ") {
				_, _ = io.WriteString(m.conn, watchHead+chunk(list)) // The node may have closed the connection.
			}
		}
	}()
	runScenario(t, w, `
		node send reload discovery2
		r1 expect POST /batch/7?a=b txn=a1 key=k body=one
		r1 send 202 OK`+ran)
}
