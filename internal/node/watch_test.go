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

// lines is the log, for tests to read.
type lines struct {
	sync.Mutex
	bytes.Buffer
}

func (l *lines) Write(b []byte) (int, error) {
	l.Lock()
	defer l.Unlock()
	return l.Buffer.Write(b)
}

func (l *lines) count(text string) int {
	l.Lock()
	defer l.Unlock()
	return strings.Count(l.String(), text)
}

const silence = "nothing"

const watchHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

func chunk(text string) string {
	var b strings.Builder
	for len(text) > 0 { // in parts, as a network would
		n := min(len(text), 1<<16)
		fmt.Fprintf(&b, "%x\r\n%s\r\n", n, text[:n])
		text = text[n:]
	}
	return b.String()
}

// Whatever discovery does wrong, the last good list stays in use, the log has one line for it, and discovery
// is called again.
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
		"says nothing":          silence,
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
					if call > 1 { // a fault only once, or a second line would race with the count
						response = silence
					}
					go func() {
						defer c.Close()
						// The node may close the connection at any time: errors are ignored.
						b := make([]byte, 1<<12)
						n, _ := c.Read(b)
						first, _, _ := strings.Cut(string(b[:n]), "\r\n")
						requests <- first
						switch response {
						case "":
							resetOnClose(t, c)
						case silence:
							_, _ = c.Read(b) // until the node closes it
						default:
							_, _ = c.Write([]byte(response))
						}
					}()
				}
			}()
			set := parsed(t)
			line := workerLine("s-1", "127.0.0.1:1")
			known, _, err := DecodeList([]byte(`{"rev":4,"all":true,"targets":[` + line + `]}`))
			if err != nil {
				t.Fatal(err)
			}
			log := &lines{}
			cfg := Config{Listen: "127.0.0.1:0", Settings: set, Known: known, Discovery: l.Addr().String()}
			n, err := Listen(cfg, slog.New(slog.NewTextHandler(log, nil)))
			if err != nil {
				t.Fatal(err)
			}
			done := runNode(n)
			for range 2 {
				select {
				case got := <-requests: // from the version that it has: nothing of the bad one was applied
					if want := "GET " + membersPath + "?watch=1&from=4 HTTP/1.1"; got != want {
						t.Errorf("called with %q, want %q", got, want)
					}
				case <-time.After(patience):
					t.Fatal("discovery is not called again")
				}
			}
			if got := log.count("watch of the worker list failed"); got != 1 {
				t.Errorf("%d lines in the log for one watch", got)
			}
			n.Stop()
			checkEnd(t, done)
		})
	}
}

// Before the first object a watch says nothing of the list.
func TestEmptyLinesAreNoList(t *testing.T) {
	updates := make(chan scheduler.EndpointsUpdated, 10)
	l := listenLoopback(t)
	n := listenNode(t, Config{Listen: "127.0.0.1:0", Settings: parsed(t)})
	defer n.close()
	go func() {
		if conn, err := l.Accept(); err == nil {
			object := `{"rev":3,"all":false,"targets":[]}` + "\n\n"
			_, _ = io.WriteString(conn, watchHead+chunk("\n\n")+chunk(object)+chunk(`{"rev":4`)) // the updates show it
			conn.Close()
		}
	}()
	deliver := func(e scheduler.EndpointsUpdated, _ *watchReader) { updates <- e }
	err := n.readWatch(n.ctx, scheduler.OpenWatch{Addr: l.Addr().String()}, deliver)
	if err == nil || errors.Is(err, errUnreadableList) {
		t.Errorf("an object that is cut off is ignored, not unreadable: %v", err)
	}
	if close(updates); len(updates) != 2 || (<-updates).List.Revision != 3 {
		t.Errorf("%d updates were delivered, want the object and the empty line behind it", len(updates))
	}
}

// A reload moves the watch to the discovery that it names while a job runs.
func TestReload(t *testing.T) {
	w := newWorld(t, 0, "r1")
	w.serve(t, "discovery2")
	play(t, w, `
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

// Until the discovery that a reload names has sent something, the watch before is read: a worker that drains
// by it gets nothing new. An empty line before the first object says nothing.
func TestReloadReadsBothWatches(t *testing.T) {
	set := parsed(t) // no timer fires while the scenario plays discovery
	set.Dispatch.PollInterval, set.Dispatch.MaxStaleness = 3600*second, 3600*second
	w := newWorldOf(t, set, 0, "r1", "r2")
	w.serve(t, "discovery2")
	addr := w.peers["r1"].listener.Addr().String()
	play(t, w, `
		discovery expect GET /catalog/members?watch=1&from=4
		discovery send head
		node send reload discovery2
		discovery2 expect GET /catalog/members?watch=1&from=0`)
	w.node.onLoop(func() { w.node.extendValidity(t, time.Hour) }) // else a reload limits the validity to 4 s
	play(t, w, `
		discovery2 send head
		discovery2 send /n
		discovery send {"rev":5,"targets":[`+strings.Replace(workerLine("r1", addr), "ready", "draining", 1)+`]}/n`)
	isDraining := func() bool { return errors.Is(w.node.freshness.allowSend("r1", w.node.now()), errDraining) }
	if !eventually(isDraining) {
		t.Fatal("the watch before is not read")
	}
	w.node.onLoop(func() {
		if w.node.previousWatch == nil {
			t.Error("the watch before is closed by an empty line")
		}
	})
	play(t, w, `
		c1 send job post a1 || work
		r2 expect POST /post/7?a=b txn=a1 key=k body=work
		discovery2 send {"rev":1,"all":true,"targets":[`+workerLine("r1", addr)+`]}/n
		discovery expect end
		c2 send job post a2 || work
		wait open 2`)
	if !isDraining() {
		t.Error("an address with an older list brings a worker back")
	}
}

// A list of thousands of workers is applied in a fraction of a second.
func TestHugeList(t *testing.T) {
	var all []string
	for len(all) < 20_000 {
		all = append(all, workerLine(fmt.Sprint("s-", len(all)), "127.0.0.1:1"))
	}
	line := `{"rev":5,"all":true,"targets":[` + strings.Join(all, ",") + `]}`
	if len(line) > maxLineBytes {
		t.Fatalf("%d bytes are too long for a list", len(line))
	}
	list, _, err := DecodeList([]byte(line))
	if err != nil || len(list.Workers) != 20_000 {
		t.Fatalf("%d workers, %v", len(list.Workers), err)
	}
	set := parsed(t)
	s, err := scheduler.New(set, 1)
	if err != nil {
		t.Fatal(err)
	}
	s.Step(1, scheduler.Started{CachedList: list}, nil)
	began := time.Now()
	s.Step(2, scheduler.EndpointsUpdated{List: list}, nil) // sent twice: no harm
	if took := time.Since(began); took > 5*time.Second {
		t.Errorf("took %v", took)
	}
}

// A change is in force after a while, received or not. The module has to know that time, and a watch that is
// silent has to be detected before it is over.
func TestWatchTimeoutIsBelowMaxStaleness(t *testing.T) {
	w := newWorld(t, 0, "r1")
	within := time.Duration(w.node.cfg.Settings.Dispatch.MaxStaleness) * time.Microsecond
	if within <= watchIdleTimeout {
		t.Errorf("changes are in force after %v, silence is detected after %v", within, watchIdleTimeout)
	}
}

// startPushedNode runs one of a number of nodes, whose lists are pushed by the agent behind the listener.
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

// Where lists are pushed they come over a watch as well: without one no drain is ever received.
func TestPushedListsAreWatched(t *testing.T) {
	l, n, done := startPushedNode(t, 1)
	for range 2 { // once more after it broke
		acceptWithin(t, l, patience).Close()
	}
	n.Stop()
	checkEnd(t, done)
}

// An agent that pushes lists is silent while discovery is down, and answers at once when it is not: a call
// that it does not answer is given up soon, and the next one follows, however many schedulers there are.
func TestSilentAgentIsRetriedSoon(t *testing.T) {
	l, n, done := startPushedNode(t, 300)
	const calls = 5
	began := time.Now()
	for range calls {
		defer acceptWithin(t, l, patience).Close() // it sends nothing until then
	}
	if took := time.Since(began); took > calls*2*time.Second {
		t.Errorf("%d calls in %v", calls, took)
	}
	n.Stop()
	checkEnd(t, done)
}
