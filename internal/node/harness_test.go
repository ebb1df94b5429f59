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

const testTimeout = 20 * time.Second // how long a test waits before it fails

// world is a node with peers on loopback sockets. Clients are c1, c2, ...; workers are r1, r2, ...; rdown is
// a worker whose address nobody listens at.
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

// newHarnessWithSettings returns a world with the given settings.
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
	// Scenarios play discovery, however long they take.
	w.node.watchOpenTimeout, w.node.watchIdleTimeout = time.Hour, time.Hour
	go func() { w.done <- w.node.Run() }()
	w.node.onLoop(func() { w.node.receiveList(t, time.Hour) })
	t.Cleanup(func() {
		w.node.Stop()
		for _, p := range w.peers {
			if p.conn != nil {
				p.conn.Close() // clients that still wait disconnect, so that the node can end
			}
		}
		if w.Wait("end") != nil {
			t.Error("the node does not end")
		}
	})
	return w
}

// newLargeFleetHarness returns a world in which connections to workers are used again, however long they were
// idle.
func newLargeFleetHarness(t *testing.T, sockets int, workers ...string) *harness {
	t.Helper()
	set := parseTestSettings(t)
	set.Dispatch.Dispatchers = 80
	w := newHarnessWithSettings(t, set, sockets, workers...)
	w.node.onLoop(func() { w.node.idleTimeout = 3600 * second })
	return w
}

// onLoop runs a function on a node's loop and waits for it.
func (n *Node) onLoop(f func()) {
	done := make(chan struct{})
	n.post(func() {
		defer close(done)
		f()
	})
	<-done
}

// pauseLoop pauses a node's loop until resume is called. What is posted meanwhile stays in the inbox.
func (n *Node) pauseLoop() (resume func()) {
	paused, resumed := make(chan struct{}), make(chan struct{})
	n.post(func() {
		close(paused)
		<-resumed
	})
	<-paused
	return func() { close(resumed) }
}

// takeFreeSlots takes all client slots that are free, until release is called.
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

// eventually waits until a condition is reached, for as long as tests have patience.
func eventually(reached func() bool) bool {
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if reached() {
			return true
		}
	}
	return false
}

// waitFor waits until a condition, checked on a node's loop, is reached.
func (n *Node) waitFor(t *testing.T, state string, condition func() bool) {
	t.Helper()
	if !eventually(func() (reached bool) {
		n.onLoop(func() { reached = condition() })
		return reached
	}) {
		t.Fatal("never " + state)
	}
}

// waitIdle waits until a number of connections to workers is idle.
func (n *Node) waitIdle(t *testing.T, want int) {
	t.Helper()
	got := -1
	if !eventually(func() bool {
		n.onLoop(func() { got = n.idleCount() })
		return got == want
	}) {
		t.Fatalf("%d idle connections, want %d", got, want)
	}
}

// idleCount counts the idle connections to workers.
func (n *Node) idleCount() (count int) {
	for _, idle := range n.idleConns {
		count += len(idle)
	}
	return count
}

// postPendingUpdate counts an update on its way to the loop: nothing is sent until it is applied.
func (n *Node) postPendingUpdate() {
	n.freshness.mu.Lock()
	defer n.freshness.mu.Unlock()
	n.freshness.postedUpdates++
}

// applyUpdate has a node handle a message of a watch. It is called on the loop.
func (n *Node) applyUpdate(t testing.TB, m watchUpdate) {
	t.Helper()
	if err := n.onWatchUpdate(m); err != nil {
		t.Errorf("apply a watch update: %v", err)
	}
}

// receiveList makes the list that a node has valid, as if discovery had just confirmed it.
func (n *Node) receiveList(t testing.TB, span time.Duration) {
	t.Helper()
	n.postPendingUpdate()
	until := n.now() + scheduler.Micros(span.Microseconds())
	n.applyUpdate(t, watchUpdate{watch: n.watch, event: scheduler.EndpointsUpdated{AsOf: until}})
}

// invalidateList makes the list that a node has invalid.
func (n *Node) invalidateList(t testing.TB) {
	t.Helper()
	n.applyUpdate(t, watchUpdate{watch: n.watch, event: scheduler.WatchClosed{Unreadable: true}})
}

// extendValidity makes the list that a node has valid, without an update of any watch.
func (n *Node) extendValidity(t testing.TB, span time.Duration) {
	t.Helper()
	until := n.now() + scheduler.Micros(span.Microseconds())
	if err := n.step(scheduler.EndpointsUpdated{AsOf: until}); err != nil {
		t.Errorf("extend the validity: %v", err)
	}
	n.freshness.mu.Lock()
	defer n.freshness.mu.Unlock()
	n.freshness.validUntil = until
}

// workerLine returns the entry of a worker that is ready, in discovery's JSON.
func workerLine(name, addr string) string {
	return `{"uid":"` + name + `","endpoint":"` + addr + `","az":"north","model":"m1","state":"ready"}`
}

// Actor returns the peer, or the node, of a name. A client that is new gets its connection with its first
// message.
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

// Wait waits for the end of the node, for a number of open jobs, or for a number of accepted ones.
func (w *harness) Wait(text string) error {
	if text, matched := strings.CutPrefix(text, "open "); matched {
		return w.waitOpen(text)
	}
	if text, matched := strings.CutPrefix(text, "accepted "); matched {
		return w.waitAccepted(text)
	}
	if text != "end" {
		return fmt.Errorf("wait %s: only end, open N and accepted N can be waited for", text)
	}
	select {
	case err := <-w.done:
		w.done <- err
		return err
	case <-time.After(testTimeout):
		return errors.New("the node did not end")
	}
}

// waitOpen waits until a number of jobs is open at the node.
func (w *harness) waitOpen(want string) error {
	if eventually(func() (reached bool) {
		w.node.onLoop(func() { reached = fmt.Sprint(len(w.node.callers)) == want })
		return reached
	}) {
		return nil
	}
	return fmt.Errorf("never %s open jobs", want)
}

// waitAccepted waits until a number of connections is idle after a 202. A callback that is read before the
// 202 of its attempt ends the connection.
func (w *harness) waitAccepted(want string) error {
	if eventually(func() (reached bool) {
		w.node.onLoop(func() { reached = fmt.Sprint(w.node.idleCount()) == want })
		return reached
	}) {
		return nil
	}
	return fmt.Errorf("never %s idle connections", want)
}

// play runs a scenario.
func runScenario(t *testing.T, w *harness, script string) {
	t.Helper()
	scenario.Run(t, w, script, func(want, got string) string { return cmp.Diff(want, got) })
}

// pair returns both ends of a connection on loopback.
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

// piped returns a client connection as the acceptor makes it, not served yet, and its other end.
func pipedClient(n *Node) (*client, net.Conn) {
	ours, theirs := net.Pipe()
	n.clientSlots <- struct{}{}
	n.serving.Add(1)
	return newClient(n, ours), theirs
}

// listenLoopback opens a listener that is closed with the test.
func listenLoopback(t testing.TB) *net.TCPListener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l.(*net.TCPListener)
}

// write writes a text to a connection. It is called by the test's goroutine only.
func write(t testing.TB, conn net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatalf("write: %v", err)
	}
}

// resetOnClose makes the close of a connection a reset.
func resetOnClose(t testing.TB, conn net.Conn) {
	t.Helper()
	if err := conn.(*net.TCPConn).SetLinger(0); err != nil {
		t.Errorf("set linger: %v", err)
	}
}

// listenNode opens a node that logs nothing. Nothing runs it.
func listenNode(t testing.TB, cfg Config) *Node {
	t.Helper()
	n, err := Listen(cfg, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// runNode runs a node and returns the result of Run once it has ended.
func runNode(n *Node) (done chan error) {
	done = make(chan error, 1)
	go func() { done <- n.Run() }()
	return done
}

// checkEnd waits until a node that runNode runs has ended, and checks that it did so without an error.
func checkEnd(t testing.TB, done <-chan error) {
	t.Helper()
	if err := <-done; err != nil {
		t.Errorf("the node ended: %v", err)
	}
}

// acceptWithin accepts a connection, and fails the test if none comes in time.
func acceptWithin(t testing.TB, l *net.TCPListener, wait time.Duration) net.Conn {
	t.Helper()
	if err := l.SetDeadline(time.Now().Add(wait)); err != nil {
		t.Fatal(err)
	}
	conn, err := l.Accept()
	if err != nil {
		t.Fatalf("no connection comes: %v", err)
	}
	return conn
}
