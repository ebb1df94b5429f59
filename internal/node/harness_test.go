package node

import (
	"errors"
	"fmt"
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

const patience = 20 * time.Second // before a test that waits in vain fails

// world is a node with parties on loopback sockets. Clients are c1, c2, ...; workers
// r1, r2, ...; rdown is a worker that nobody listens for.
type world struct {
	node  *Node
	done  chan error
	peers map[string]*peer
}

func parsed(t testing.TB) settings.Settings {
	t.Helper()
	set, err := settings.Parse([]byte(testSettings))
	if err != nil {
		t.Fatal(err)
	}
	return set
}

func newWorld(t *testing.T, sockets int, workers ...string) *world {
	t.Helper()
	return newWorldOf(t, parsed(t), sockets, workers...)
}

// newWorldOf is a world with settings of its own.
func newWorldOf(t *testing.T, set settings.Settings, sockets int, workers ...string) *world {
	t.Helper()
	w := &world{done: make(chan error, 1), peers: map[string]*peer{}}
	var lines []string
	for _, name := range workers {
		lines = append(lines, workerLine(name, w.serve(t, name).Addr().String()))
	}
	known, _, err := DecodeList([]byte(`{"rev":4,"all":true,"targets":[` + strings.Join(lines, ",") + `]}`))
	if err != nil {
		t.Fatal(err)
	}
	w.node, err = Listen(Config{Name: "n", Listen: "127.0.0.1:0", Sockets: sockets, Known: known, Settings: set,
		Discovery: w.serve(t, "discovery").Addr().String()}, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	// What discovery does is played by hand, however long that takes.
	w.node.watchOpenTimeout, w.node.watchIdleTimeout = time.Hour, time.Hour
	go func() { w.done <- w.node.Run() }()
	w.node.onLoop(func() { w.node.receiveList(time.Hour) })
	t.Cleanup(func() {
		w.node.Stop()
		for _, p := range w.peers {
			if p.conn != nil {
				p.conn.Close() // clients that still wait leave, so the node can end
			}
		}
		if w.Wait("end") != nil {
			t.Error("the node does not end")
		}
	})
	return w
}

// newLargeFleetWorld is a world in which connections to workers are used again, however long they idled.
func newLargeFleetWorld(t *testing.T, sockets int, workers ...string) *world {
	set := parsed(t)
	set.Dispatch.Dispatchers = 80
	w := newWorldOf(t, set, sockets, workers...)
	w.node.onLoop(func() { w.node.idleTimeout = 3600 * second })
	return w
}

// onLoop has a node's loop do something, and waits for it.
func (n *Node) onLoop(f func()) {
	done := make(chan struct{})
	n.post(func() {
		defer close(done)
		f()
	})
	<-done
}

// pauseLoop stops a node's loop until resume is called. What is posted meanwhile lies in the inbox.
func (n *Node) pauseLoop() (resume func()) {
	holds, gate := make(chan struct{}), make(chan struct{})
	n.post(func() {
		close(holds)
		<-gate
	})
	<-holds
	return func() { close(gate) }
}

// eventually waits until something is so, for as long as tests have patience.
func eventually(reached func() bool) bool {
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if reached() {
			return true
		}
	}
	return false
}

// waitFor waits until something is so in the loop of a node.
func (n *Node) waitFor(t *testing.T, what string, so func() bool) {
	t.Helper()
	if !eventually(func() (is bool) {
		n.onLoop(func() { is = so() })
		return is
	}) {
		t.Fatal("never " + what)
	}
}

// waitIdle waits until so many connections to workers idle.
func (n *Node) waitIdle(t *testing.T, want int) {
	t.Helper()
	got := -1
	if !eventually(func() bool {
		n.onLoop(func() { got = n.idleCount() })
		return got == want
	}) {
		t.Fatalf("%d connections idle, want %d", got, want)
	}
}

// idleCount counts the connections to workers that idle.
func (n *Node) idleCount() (count int) {
	for _, idle := range n.idleConns {
		count += len(idle)
	}
	return count
}

// postPendingUpdate has a word of discovery on its way to the loop: nothing leaves until it is applied.
func (n *Node) postPendingUpdate() {
	n.freshness.mu.Lock()
	defer n.freshness.mu.Unlock()
	n.freshness.posted++
}

// receiveList lets what a node knows of the list hold, as if discovery had just said so.
func (n *Node) receiveList(span time.Duration) {
	n.postPendingUpdate()
	until := n.now() + scheduler.Micros(span.Microseconds())
	n.onWatchUpdate(watchUpdate{watch: n.watch, event: scheduler.EndpointsUpdated{AsOf: until}})
}

// invalidateList lets nothing that a node knows of the list hold.
func (n *Node) invalidateList() {
	n.onWatchUpdate(watchUpdate{watch: n.watch, event: scheduler.WatchClosed{Unreadable: true}})
}

// extendValidity lets what a node knows of the list hold, without a word of any watch.
func (n *Node) extendValidity(span time.Duration) {
	until := n.now() + scheduler.Micros(span.Microseconds())
	n.step(scheduler.EndpointsUpdated{AsOf: until})
	n.freshness.mu.Lock()
	defer n.freshness.mu.Unlock()
	n.freshness.validUntil = until
}

func workerLine(name, addr string) string {
	return `{"uid":"` + name + `","endpoint":"` + addr + `","az":"north","model":"m1","state":"ready"}`
}

func (w *world) Actor(name string) scenario.Actor {
	if name == "node" {
		return nodePeer{w.node, w}
	}
	p := w.peers[name]
	if p == nil {
		p = w.newPeer(name)
	}
	return p
}

// Wait knows two things to wait for: the end of the node, and a number of open jobs.
func (w *world) Wait(text string) error {
	if text, matched := strings.CutPrefix(text, "open "); matched {
		return w.waitOpen(text)
	}
	if text, matched := strings.CutPrefix(text, "accepted "); matched {
		return w.waitAccepted(text)
	}
	if text != "end" {
		return errors.New("here only the end, open jobs and accepted ones are waited for")
	}
	select {
	case err := <-w.done:
		w.done <- err
		return err
	case <-time.After(patience):
		return errors.New("no end")
	}
}

// waitOpen waits until so many jobs are open at the node.
func (w *world) waitOpen(want string) error {
	if eventually(func() (reached bool) {
		w.node.onLoop(func() { reached = fmt.Sprint(len(w.node.callers)) == want })
		return reached
	}) {
		return nil
	}
	return errors.New("the jobs did not all come")
}

// waitAccepted waits until so many connections rest after a 202. A callback that is read before the
// 202 of its attempt ends the connection.
func (w *world) waitAccepted(want string) error {
	if eventually(func() (reached bool) {
		w.node.onLoop(func() { reached = fmt.Sprint(w.node.idleCount()) == want })
		return reached
	}) {
		return nil
	}
	return errors.New("no such number of connections rests")
}

func play(t *testing.T, w *world, script string) {
	t.Helper()
	scenario.Run(t, w, script, func(want, got string) string { return cmp.Diff(want, got) })
}

// pair is a connection on loopback, both ends.
func pair(t *testing.T) (ours, theirs net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	if ours, err = net.Dial("tcp", l.Addr().String()); err != nil {
		t.Fatal(err)
	}
	if theirs, err = l.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ours.Close(); theirs.Close() })
	return ours, theirs
}

// piped is a client connection as the acceptor makes it, not served yet, and its other end.
func piped(n *Node) (*client, net.Conn) {
	ours, theirs := net.Pipe()
	n.clientSlots <- struct{}{}
	n.serving.Add(1)
	return newClient(n, ours), theirs
}
