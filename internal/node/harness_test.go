package node

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"dahliaford/internal/scenario"
	"dahliaford/internal/scheduler"
	"dahliaford/internal/settings"
)

const testSettings = `{"balancers":1,"me":0,"granularity":2000,"azs":["north"],"kinds":["m1"],
	"grades":[
	{"name":"post","semantics":"at_most_once","slo":20000000,"deadline":30000000,"worth":2},
	{"name":"batch","semantics":"deduplicated","dedup_scope":"cell","memory_span":30000000,
	 "slo":20000000,"deadline":30000000,"worth":3}],
	"customers":[{"name":"sahel"}],
	"family_info":{"class_stretch":[2,2.5],"tells_start":true},"discovery":"on_request",
	"limits":{"attempts_cap":4,"cancel":true,"connect_timeout":5000000,"max_retry_after":2000000,
	 "retry_after":true,"conn_idle":60000000},
	"guarantees":{"cold":8000000,"cold_from":0.3,"fall":2000000,"overload_factor":4,"ask_within":10000000}}`

const second = 1000 * millisecond

const testTimeout = 20 * time.Second // testTimeout is how long a test waits for an event before it fails.

// harness is a node with peers on loopback sockets. Names of workers begin with r, and no process listens at
// the address of the worker rdown. Names of discovery services begin with discovery. All other names are
// those of clients or of workers' callback connections.
type harness struct {
	node  *Node
	done  chan error
	peers map[string]*peer
}

func parseTestSettings(t testing.TB) settings.Settings {
	t.Helper()
	set, err := settings.Parse([]byte(testSettings))
	if err != nil {
		t.Fatal(err)
	}
	return set
}

func newHarness(t *testing.T, sockets int, workers ...string) *harness {
	t.Helper()
	return newHarnessWithSettings(t, parseTestSettings(t), sockets, workers...)
}

// newHarnessWithSettings returns a harness whose node has the given settings.
func newHarnessWithSettings(t *testing.T, set settings.Settings, sockets int, workers ...string) *harness {
	t.Helper()
	w := &harness{done: make(chan error, 1), peers: map[string]*peer{}}
	var lines []string
	for _, name := range workers {
		lines = append(lines, workerLine(name, w.serve(t, name).Addr().String()))
	}
	known, _, err := DecodeList([]byte(`{"rev":4,"all":true,"targets":[` + strings.Join(lines, ",") + `]}`))
	if err != nil {
		t.Fatal(err)
	}
	w.node, err = Listen(Config{Name: "n", Listen: "127.0.0.1:0", MaxDescriptors: sockets, InitialList: known,
		Settings:  set,
		Discovery: w.serve(t, "discovery").Addr().String()}, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	// Scenarios act as the discovery service and may be slow, so the watch must not time out.
	w.node.watchOpenTimeout, w.node.watchIdleTimeout = time.Hour, time.Hour
	go func() { w.done <- w.node.Run() }()
	w.node.onLoop(func() { w.node.receiveList(t, time.Hour) })
	t.Cleanup(func() {
		w.node.Stop()
		for _, p := range w.peers {
			if p.conn != nil {
				p.conn.Close() // Clients that still wait for an answer have to disconnect before the node can end.
			}
		}
		if w.Wait("end") != nil {
			t.Error("the node did not end without an error within testTimeout")
		}
	})
	return w
}

// newLargeFleetHarness returns a harness of a large fleet whose node reuses idle connections to workers for
// an hour.
func newLargeFleetHarness(t *testing.T, sockets int, workers ...string) *harness {
	t.Helper()
	set := parseTestSettings(t)
	set.Dispatch.Dispatchers = 80
	w := newHarnessWithSettings(t, set, sockets, workers...)
	w.node.onLoop(func() { w.node.idleTimeout = 3600 * second })
	return w
}

// onLoop runs f on the node's event loop and waits until f returns.
func (n *Node) onLoop(f func()) {
	done := make(chan struct{})
	n.post(func() {
		defer close(done)
		f()
	})
	<-done
}

// pauseLoop pauses the node's event loop until resume is called. Messages that are posted meanwhile stay in
// the inbox.
func (n *Node) pauseLoop() (resume func()) {
	paused, resumed := make(chan struct{}), make(chan struct{})
	n.post(func() {
		close(paused)
		<-resumed
	})
	<-paused
	return func() { close(resumed) }
}

// takeFreeSlots acquires all free client slots and holds them until release is called.
func (n *Node) takeFreeSlots() (release func()) {
	for taken := 0; ; taken++ {
		select {
		case n.clientSlots <- struct{}{}:
		default:
			return func() {
				for range taken {
					n.releaseSlot()
				}
			}
		}
	}
}

// eventually waits until a condition holds, and returns false if it does not within testTimeout.
func eventually(reached func() bool) bool {
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if reached() {
			return true
		}
	}
	return false
}

// waitFor waits until a condition holds that is checked on the node's event loop. It fails the test after
// testTimeout.
func (n *Node) waitFor(t *testing.T, state string, condition func() bool) {
	t.Helper()
	if !eventually(func() (reached bool) {
		n.onLoop(func() { reached = condition() })
		return reached
	}) {
		t.Fatal("the node did not reach this state within testTimeout: " + state)
	}
}

// waitIdle waits until exactly want connections to workers are idle.
func (n *Node) waitIdle(t *testing.T, want int) {
	t.Helper()
	got := -1
	if !eventually(func() bool {
		n.onLoop(func() { got = n.idleCount() })
		return got == want
	}) {
		t.Fatalf("after testTimeout the node has %d idle connections to workers, want %d", got, want)
	}
}

// idleCount returns the number of idle connections to workers.
func (n *Node) idleCount() (count int) {
	for _, idle := range n.idleConns {
		count += len(idle)
	}
	return count
}

// postPendingUpdate counts an update as posted to the event loop. The freshness guard rejects attempts until
// an update is counted as applied.
func (n *Node) postPendingUpdate() {
	n.freshness.mu.Lock()
	defer n.freshness.mu.Unlock()
	n.freshness.postedUpdates++
}

// applyUpdate makes the node handle a message of a watch. The caller is on the node's event loop.
func (n *Node) applyUpdate(t testing.TB, m watchUpdate) {
	t.Helper()
	if err := n.onWatchUpdate(m); err != nil {
		t.Errorf("applying a watch update failed: %v", err)
	}
}

// receiveList makes the node's worker list valid until MaxStaleness after the end of span, as if discovery
// had confirmed the list at the end of span. span begins now.
func (n *Node) receiveList(t testing.TB, span time.Duration) {
	t.Helper()
	n.postPendingUpdate()
	until := n.now() + scheduler.Micros(span.Microseconds())
	n.applyUpdate(t, watchUpdate{watch: n.watch, event: scheduler.EndpointsUpdated{AsOf: until}})
}

// invalidateList ends the validity of the node's worker list.
func (n *Node) invalidateList(t testing.TB) {
	t.Helper()
	n.applyUpdate(t, watchUpdate{watch: n.watch, event: scheduler.WatchClosed{Unreadable: true}})
}

// extendValidity makes the node's worker list valid for span, without an update of any watch.
func (n *Node) extendValidity(t testing.TB, span time.Duration) {
	t.Helper()
	until := n.now() + scheduler.Micros(span.Microseconds())
	if err := n.step(scheduler.EndpointsUpdated{AsOf: until}); err != nil {
		t.Errorf("extending the validity of the worker list failed: %v", err)
	}
	n.freshness.mu.Lock()
	defer n.freshness.mu.Unlock()
	n.freshness.validUntil = until
}

// workerLine returns the entry of a ready worker in the JSON of the discovery service.
func workerLine(name, addr string) string {
	return `{"uid":"` + name + `","endpoint":"` + addr + `","az":"north","model":"m1","state":"ready"}`
}

// Actor returns the peer with a name, or the node for the name "node". It creates a peer if there is none; a
// client connects when it sends its first message.
func (w *harness) Actor(name string) scenario.Actor {
	if name == "node" {
		return nodePeer{w.node, w}
	}
	p := w.peers[name]
	if p == nil {
		p = w.newPeer(name)
	}
	return p
}

// Wait waits for the condition that text names: the end of the node ("end"), a number of open jobs ("open
// N"), or a number of connections that are idle after an accepted attempt ("accepted N").
func (w *harness) Wait(text string) error {
	if text, matched := strings.CutPrefix(text, "open "); matched {
		return w.waitOpen(text)
	}
	if text, matched := strings.CutPrefix(text, "accepted "); matched {
		return w.waitAccepted(text)
	}
	if text != "end" {
		return fmt.Errorf("wait %s: unknown condition, want end, open N or accepted N", text)
	}
	select {
	case err := <-w.done:
		w.done <- err
		return err
	case <-time.After(testTimeout):
		return errors.New("the node did not end within testTimeout")
	}
}

// waitOpen waits until the given number of jobs is open at the node.
func (w *harness) waitOpen(want string) error {
	if eventually(func() (reached bool) {
		w.node.onLoop(func() { reached = fmt.Sprint(len(w.node.callers)) == want })
		return reached
	}) {
		return nil
	}
	return fmt.Errorf("the node did not have %s open jobs within testTimeout", want)
}

// waitAccepted waits until the given number of connections to workers is idle. A connection becomes idle
// after the response 202 to its attempt. Scenarios use waitAccepted before a callback, because a callback
// that is handled before the 202 of its attempt closes the connection.
func (w *harness) waitAccepted(want string) error {
	if eventually(func() (reached bool) {
		w.node.onLoop(func() { reached = fmt.Sprint(w.node.idleCount()) == want })
		return reached
	}) {
		return nil
	}
	return fmt.Errorf("the node did not have %s idle connections to workers within testTimeout", want)
}

// runScenario runs a scenario script on a harness.
func runScenario(t *testing.T, w *harness, script string) {
	t.Helper()
	scenario.Run(t, w, script, func(want, got string) string { return cmp.Diff(want, got) })
}

// loopbackPair returns both ends of a TCP connection on loopback.
func loopbackPair(t *testing.T) (ours, theirs net.Conn) {
	t.Helper()
	l := listenLoopback(t)
	defer l.Close()
	var err error
	if ours, err = net.Dial("tcp", l.Addr().String()); err != nil {
		t.Fatal(err)
	}
	if theirs, err = l.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ours.Close(); theirs.Close() })
	return ours, theirs
}

// acceptedClient returns a client connection as the acceptor creates it. The caller has to start the
// connection's goroutine.
func acceptedClient(n *Node, conn net.Conn) *client {
	n.clientSlots <- struct{}{}
	n.serving.Add(1)
	return newClient(n, conn)
}

// pipedClient returns an accepted client connection over a pipe, and the pipe's other end.
func pipedClient(n *Node) (*client, net.Conn) {
	ours, theirs := net.Pipe()
	return acceptedClient(n, ours), theirs
}

// listenLoopback opens a listener on loopback, which is closed at the end of the test.
func listenLoopback(t testing.TB) *net.TCPListener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l.(*net.TCPListener)
}

// write writes a text to a connection and fails the test on an error. Only the test's goroutine may call it.
func write(t testing.TB, conn net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatalf("writing to the connection failed: %v", err)
	}
}

// resetOnClose makes the connection send a reset when it is closed.
func resetOnClose(t testing.TB, conn net.Conn) {
	t.Helper()
	if err := conn.(*net.TCPConn).SetLinger(0); err != nil {
		t.Errorf("setting SO_LINGER failed: %v", err)
	}
}

// listenNode returns a node that discards its log. The caller has to run the node.
func listenNode(t testing.TB, cfg Config) *Node {
	t.Helper()
	n, err := Listen(cfg, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// runNode runs a node in a new goroutine. The returned channel receives the result of Run.
func runNode(n *Node) (done chan error) {
	done = make(chan error, 1)
	go func() { done <- n.Run() }()
	return done
}

// checkEnd waits for the result of a node that was started by runNode, and checks that it is not an error.
func checkEnd(t testing.TB, done <-chan error) {
	t.Helper()
	if err := <-done; err != nil {
		t.Errorf("the node's Run returned %v, want nil", err)
	}
}

// acceptWithin accepts a connection. It fails the test if no connection arrives within wait.
func acceptWithin(t testing.TB, l *net.TCPListener, wait time.Duration) net.Conn {
	t.Helper()
	if err := l.SetDeadline(time.Now().Add(wait)); err != nil {
		t.Fatal(err)
	}
	conn, err := l.Accept()
	if err != nil {
		t.Fatalf("no connection arrived at the listener within the given time: %v", err)
	}
	return conn
}
