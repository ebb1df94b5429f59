package node

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"dahliaford/internal/scheduler"
	"dahliaford/internal/settings"
)

// logBuffer is a log that tests can read while the node writes to it.
type logBuffer struct {
	sync.Mutex
	bytes.Buffer
}

func (l *logBuffer) Write(b []byte) (int, error) {
	l.Lock()
	defer l.Unlock()
	return l.Buffer.Write(b)
}

func (l *logBuffer) count(text string) int {
	l.Lock()
	defer l.Unlock()
	return strings.Count(l.String(), text)
}

const noResponse = "nothing"

const watchHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

func chunk(text string) string {
	var b strings.Builder
	for len(text) > 0 { // A long text is split into several chunks.
		n := min(len(text), 1<<16)
		fmt.Fprintf(&b, "%x\r\n%s\r\n", n, text[:n])
		text = text[n:]
	}
	return b.String()
}

// After a fault of the discovery service the last valid worker list stays in use, the log has one line for
// the fault, and the node requests the list again.
func TestDiscoveryFaults(t *testing.T) {
	const removed = `{"rev":9,"all":true,"targets":[` +
		`{"uid":"s-1","endpoint":"h:1","az":"a","model":"m","state":"gone"}`
	for name, response := range map[string]string{
		"answers 503":           "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n",
		"resets":                "",
		"answers no HTTP":       "hello\r\n\r\n",
		"malformed list":        watchHead + chunk(removed+"]\n"),
		"cut off in an object":  watchHead + chunk(removed),
		"cut off in a chunk":    watchHead + "ffff\r\n" + removed,
		"no list in an object":  watchHead + chunk(`{"rev":9,"targets":{"uid":"s-1","state":"gone"}}`+"\n"),
		"a line without an end": watchHead + chunk(strings.Repeat(" ", maxLineBytes+2)),
		"says nothing":          noResponse,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			requests := make(chan string, 100)
			l := listenLoopback(t)
			go func() {
				for call := 1; ; call++ {
					c, err := l.Accept()
					if err != nil {
						return
					}
					response := response
					if call > 1 { // A second fault would add a log line while the test counts the lines.
						response = noResponse
					}
					go func() {
						defer c.Close()
						// The node may close the connection at any time, so errors are ignored.
						b := make([]byte, 1<<12)
						n, _ := c.Read(b)
						first, _, _ := strings.Cut(string(b[:n]), "\r\n")
						requests <- first
						switch response {
						case "":
							resetOnClose(t, c)
						case noResponse:
							_, _ = c.Read(b) // This read blocks until the node closes the connection.
						default:
							_, _ = c.Write([]byte(response))
						}
					}()
				}
			}()
			set := parseTestSettings(t)
			line := workerLine("s-1", "127.0.0.1:1")
			known, _, err := DecodeList([]byte(`{"rev":4,"all":true,"targets":[` + line + `]}`))
			if err != nil {
				t.Fatal(err)
			}
			log := &logBuffer{}
			cfg := Config{Listen: "127.0.0.1:0", Settings: set, InitialList: known, Discovery: l.Addr().String()}
			n, err := Listen(cfg, slog.New(slog.NewTextHandler(log, nil)))
			if err != nil {
				t.Fatal(err)
			}
			done := runNode(n)
			for range 2 {
				select {
				// The node requests changes since revision 4, its initial list, so the node applied nothing of the
				// response.
				case got := <-requests:
					if want := "GET " + membersPath + "?watch=1&from=4 HTTP/1.1"; got != want {
						t.Errorf("discovery received the request %q, want %q", got, want)
					}
				case <-time.After(testTimeout):
					t.Fatal("discovery did not receive a second request within testTimeout")
				}
			}
			if got := log.count("watch of the worker list failed"); got != 1 {
				t.Errorf("the log has %d lines about failed watches, want 1 for the one fault", got)
			}
			n.Stop()
			checkEnd(t, done)
		})
	}
}

// Empty lines before the first JSON object of a watch do not confirm any list and must not be delivered.
func TestEmptyLinesAreNoList(t *testing.T) {
	updates := make(chan scheduler.EndpointsUpdated, 10)
	l := listenLoopback(t)
	n := listenNode(t, Config{Listen: "127.0.0.1:0", Settings: parseTestSettings(t)})
	defer n.close()
	go func() {
		if conn, err := l.Accept(); err == nil {
			object := `{"rev":3,"all":false,"targets":[]}` + "\n\n"
			// The delivered updates show whether the write succeeded.
			_, _ = io.WriteString(conn, watchHead+chunk("\n\n")+chunk(object)+chunk(`{"rev":4`))
			conn.Close()
		}
	}()
	deliver := func(e scheduler.EndpointsUpdated, _ *watchReader) { updates <- e }
	err := n.readWatch(n.ctx, scheduler.OpenWatch{Addr: l.Addr().String()}, deliver)
	if err == nil || errors.Is(err, errUnreadableList) {
		t.Errorf("readWatch of an incomplete last line: error %v, want any but errUnreadableList", err)
	}
	if close(updates); len(updates) != 2 || (<-updates).List.Revision != 3 {
		t.Errorf("%d updates in the channel, want 2: revision 3 and the empty line that confirms it", len(updates))
	}
}

// A reload while a job runs opens a watch at the new discovery service, and the job is still answered.
func TestReload(t *testing.T) {
	w := newHarness(t, 0, "r1")
	w.serve(t, "discovery2")
	runScenario(t, w, `
		discovery expect GET /catalog/members?watch=1&from=4
		discovery send head
		c1 send job post a1 || work
		r1 expect POST /post/7?a=b txn=a1 key=k body=work
		node send reload discovery2
		discovery2 expect GET /catalog/members?watch=1&from=0
		discovery2 close
		discovery2 expect end
		discovery2 expect GET /catalog/members?watch=1&from=0
		back send POST /callback || {"id":"a1","from":"r1","state":"done","result":"yes"}
		back expect 204
		c1 expect 200 yes`)
}

// After a reload the node still reads the watch at the old discovery service until the new service has sent a
// list. A worker that drains according to the old service gets no attempts. An empty line of the new service
// before its first object does not end the old watch.
func TestReloadReadsBothWatches(t *testing.T) {
	set := parseTestSettings(t) // The long times set below keep timers from firing during the scenario.
	set.Dispatch.PollInterval, set.Dispatch.MaxStaleness = 3600*second, 3600*second
	w := newHarnessWithSettings(t, set, 0, "r1", "r2")
	w.serve(t, "discovery2")
	addr := w.peers["r1"].listener.Addr().String()
	runScenario(t, w, `
		discovery expect GET /catalog/members?watch=1&from=4
		discovery send head
		node send reload discovery2
		discovery2 expect GET /catalog/members?watch=1&from=0`)
	// Without this extension the reload would limit the validity of the worker list to 4 s, the time after which
	// changes at the new discovery service take effect.
	w.node.onLoop(func() { w.node.extendValidity(t, time.Hour) })
	runScenario(t, w, `
		discovery2 send head
		discovery2 send /n
		discovery send {"rev":5,"targets":[`+strings.Replace(workerLine("r1", addr), "ready", "draining", 1)+`]}/n`)
	isDraining := func() bool {
		return errors.Is(w.node.freshness.allowSend("r1", w.node.now()), errWorkerDraining)
	}
	if !eventually(isDraining) {
		t.Fatal("allowSend did not report r1 as draining, want the update from the old watch applied")
	}
	w.node.onLoop(func() {
		if w.node.previousWatch == nil {
			t.Error("an empty line of the new watch closed the old watch, want it open until a list arrives")
		}
	})
	runScenario(t, w, `
		c1 send job post a1 || work
		r2 expect POST /post/7?a=b txn=a1 key=k body=work
		discovery2 send {"rev":1,"all":true,"targets":[`+workerLine("r1", addr)+`]}/n
		discovery expect end
		c2 send job post a2 || work
		wait open 2`)
	if !isDraining() {
		t.Error("r1 no longer drains after the new service sent an older list, want it draining")
	}
}

// The scheduler applies a list of 20,000 workers within 5 s; a fraction of a second is normal.
func TestHugeList(t *testing.T) {
	var all []string
	for len(all) < 20_000 {
		all = append(all, workerLine(fmt.Sprint("s-", len(all)), "127.0.0.1:1"))
	}
	line := `{"rev":5,"all":true,"targets":[` + strings.Join(all, ",") + `]}`
	if len(line) > maxLineBytes {
		t.Fatalf("list of 20,000 workers: got %d bytes, want at most maxLineBytes, the limit of a line", len(line))
	}
	list, _, err := DecodeList([]byte(line))
	if err != nil || len(list.Workers) != 20_000 {
		t.Fatalf("decoded %d workers with error %v, want 20000 and nil", len(list.Workers), err)
	}
	set := parseTestSettings(t)
	s, err := scheduler.New(set, 1)
	if err != nil {
		t.Fatal(err)
	}
	s.Step(1, scheduler.Started{CachedList: list}, nil)
	began := time.Now()
	// The scheduler must accept the same worker list a second time.
	s.Step(2, scheduler.EndpointsUpdated{List: list}, nil)
	if took := time.Since(began); took > 5*time.Second {
		t.Errorf("applying a list of 20000 workers took %v, want at most 5 s", took)
	}
}

// A change of the worker list takes effect after MaxStaleness even if it is not received. Listen has to set
// MaxStaleness for the decision module, and a silent watch has to be detected in less than that time.
func TestWatchTimeoutIsBelowMaxStaleness(t *testing.T) {
	w := newHarness(t, 0, "r1")
	within := time.Duration(w.node.cfg.Settings.Dispatch.MaxStaleness) * time.Microsecond
	if within <= watchIdleTimeout {
		t.Errorf("MaxStaleness is %v, want more than watchIdleTimeout, which is %v", within, watchIdleTimeout)
	}
}

// startPushedNode runs a node with settings for a fleet of the given number of nodes, whose worker lists are
// pushed by a discovery agent on the machine. The test takes the part of the agent and accepts the node's
// watches at the listener.
func startPushedNode(t *testing.T, nodes int) (agent *net.TCPListener, n *Node, done chan error) {
	t.Helper()
	set, err := settings.Parse([]byte(strings.Replace(testSettings, "on_request", "pushed", 1)))
	if err != nil {
		t.Fatal(err)
	}
	set.Dispatch.Dispatchers = nodes
	l := listenLoopback(t)
	n = listenNode(t, Config{Listen: "127.0.0.1:0", Settings: set, Discovery: l.Addr().String()})
	return l, n, runNode(n)
}

// A node whose worker lists are pushed by the discovery agent of its machine has to open a watch as well,
// because it gets the pushed lists over that watch.
func TestPushedListsAreWatched(t *testing.T) {
	l, n, done := startPushedNode(t, 1)
	for range 2 { // The node opens a second watch after the first watch is closed.
		acceptWithin(t, l, testTimeout).Close()
	}
	n.Stop()
	checkEnd(t, done)
}

// A discovery agent, which runs on the node's machine and pushes worker lists, does not respond while
// discovery is down, and responds at once otherwise. So the node must give up an unanswered request soon and
// send the next one, even in a fleet of 300 schedulers.
func TestSilentAgentIsRetriedSoon(t *testing.T) {
	l, n, done := startPushedNode(t, 300)
	const calls = 5
	began := time.Now()
	for range calls {
		defer acceptWithin(t, l, testTimeout).Close() // The discovery agent sends nothing on the connection.
	}
	if took := time.Since(began); took > calls*2*time.Second {
		t.Errorf("%d requests to the discovery agent, which does not respond, took %v, want at most 2 s each",
			calls, took)
	}
	n.Stop()
	checkEnd(t, done)
}

// A complete list that a replaced watch still sends removes the workers that it does not name, whichever way
// the watch was replaced: they must get no attempts, even before the newest discovery service has answered.
func TestCompleteListOfReplacedWatchRemovesWorkers(t *testing.T) {
	const (
		secondReload = `
			discovery expect GET /catalog/members?watch=1&from=4
			discovery send head
			node send reload discovery2
			discovery2 expect GET /catalog/members?watch=1&from=0
			node send reload discovery3
			discovery3 expect GET /catalog/members?watch=1&from=0`
		reloadAfterReopening = `
			discovery expect GET /catalog/members?watch=1&from=4
			discovery close
			discovery expect end
			discovery expect GET /catalog/members?watch=1&from=4
			node send reload discovery3
			discovery3 expect GET /catalog/members?watch=1&from=0`
	)
	for name, c := range map[string]struct {
		replace  string // script that makes the node open a watch and then replaces that watch
		replaced string // peer of the replaced watch
		split    bool   // the list arrives in two pieces
		reload   bool   // a further reload, right after the list, ends the replaced watch
	}{
		"a second reload": {replace: secondReload, replaced: "discovery2"},
		"a second reload, and a list in two pieces": {replace: secondReload, replaced: "discovery2",
			split: true},
		"a second reload, and a third one right after the list": {replace: secondReload,
			replaced: "discovery2", reload: true},
		"a reload while a watch that was opened again has not answered": {replace: reloadAfterReopening,
			replaced: "discovery"},
	} {
		t.Run(name, func(t *testing.T) {
			set := parseTestSettings(t) // The long times set below keep timers from firing during the scenario.
			set.Dispatch.PollInterval, set.Dispatch.MaxStaleness = 3600*second, 3600*second
			w := newHarnessWithSettings(t, set, 0, "r1", "r2")
			w.serve(t, "discovery2")
			w.serve(t, "discovery3")
			runScenario(t, w, c.replace)
			w.node.onLoop(func() { w.node.extendValidity(t, time.Hour) })
			addr := w.peers["r2"].listener.Addr().String()
			list := `{"rev":50,"all":true,"targets":[` + workerLine("r2", addr) + `]}/n`
			runScenario(t, w, c.replaced+" send head")
			if c.split {
				middle := len(list) / 2
				runScenario(t, w, c.replaced+" send "+list[:middle])
				runScenario(t, w, c.replaced+" send "+list[middle:])
			} else {
				runScenario(t, w, c.replaced+" send "+list)
			}
			if c.reload {
				runScenario(t, w, "node send reload discovery")
			}
			isDraining := func() bool {
				return errors.Is(w.node.freshness.allowSend("r1", w.node.now()), errWorkerDraining)
			}
			if !eventually(isDraining) {
				t.Fatal("allowSend did not report r1 as draining, want it removed by the list of the replaced watch")
			}
			runScenario(t, w, `
				c1 send job post a1 || work
				r2 expect POST /post/7?a=b txn=a1 key=k body=work`)
		})
	}
}
