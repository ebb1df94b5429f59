package node

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"testing"
	"time"

	"dahliaford/internal/http1"
	"dahliaford/internal/scheduler"
)

// What the machine has accepted for a node that stops, and the node has not, is answered: whole
// requests that wait in the listener's queue while all slots are taken, or the processor is.
func TestTheQueueIsAnsweredAtTheStop(t *testing.T) {
	w := newWorld(t, leastSockets, "r1")
	n := w.node
	first, err := net.Dial("tcp", n.Addr().String()) // the acceptor is behind its next slot after this
	if err != nil {
		t.Fatal(err)
	}
	defer first.Close()
	play(t, w, "c1 send GET /_health\nc1 expect 200")
	taken := 0
	for full := false; !full; {
		select {
		case n.slots <- struct{}{}:
			taken++
		default:
			full = true
		}
	}
	var waiting []net.Conn
	for i := range 20 {
		conn, err := net.Dial("tcp", n.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		fmt.Fprintf(conn, "POST /post/7 HTTP/1.1\r\nX-Txn: q%d\r\nX-Lane: post\r\nX-Org: sahel\r\n"+
			"X-Remaining-Ms: 30000\r\nContent-Length: 1\r\n\r\nx", i)
		waiting = append(waiting, conn)
	}
	n.Stop()
	for parting := false; !parting; time.Sleep(time.Millisecond) {
		n.do(func() { parting = n.leave != nil })
	}
	for range taken {
		<-n.slots
	}
	for i, conn := range waiting { // one or two got a slot before, and their job ends with the node
		conn.SetReadDeadline(time.Now().Add(patience))
		if r, err := http1.NewReader(conn).Response(); err != nil || r.Status != 503 && r.Status != 500 {
			t.Errorf("request %d got %v, %v", i, r, err)
		}
	}
}

// late is a connection on which a request comes between the last look at it and the close.
type late struct {
	net.Conn
	looked chan struct{}
	come   chan struct{}
}

func (l *late) Read(b []byte) (int, error) {
	n, err := l.Conn.Read(b)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		l.looked <- struct{}{}
		<-l.come
	}
	return n, err
}

// A request that comes between the last look at an idle connection and its close gets an answer:
// on a busy machine a thousand such closes at a restart of many meet some.
func TestARequestBetweenLastLookAndCloseIsAnswered(t *testing.T) {
	w := newWorld(t, 0, "r1")
	ours, theirs := pair(t)
	conn := &late{ours, make(chan struct{}), make(chan struct{})}
	w.node.slots <- struct{}{}
	w.node.serving.Add(1)
	c := newClient(w.node, conn)
	go c.serve()
	c.release()
	<-conn.looked
	if _, err := io.WriteString(theirs, "POST /post/7 HTTP/1.1\r\nX-Txn: a1\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	conn.come <- struct{}{}
	theirs.SetReadDeadline(time.Now().Add(patience))
	read := http1.NewReader(theirs)
	if r, err := read.Response(); err != nil || r.Status != 503 || !r.Close {
		t.Errorf("got %v, %v", r, err)
	}
	if _, err := read.Response(); err == nil {
		t.Error("the connection goes on")
	}
}

// A client's reader without processor time finds its deadline and a request together.
func TestADeadlineDoesNotPassOverARequest(t *testing.T) {
	ours, theirs := pair(t)
	read := newInbound(ours)
	if _, err := io.WriteString(theirs, "request"); err != nil {
		t.Fatal(err)
	}
	look := &tap{conn: read.raw}
	for look.empty() {
		time.Sleep(time.Millisecond)
	}
	ours.SetReadDeadline(time.Now().Add(-time.Second))
	b := make([]byte, 100)
	if n, err := read.Read(b); err != nil || string(b[:n]) != "request" {
		t.Errorf("read %q, %v", b[:n], err)
	}
	if _, err := read.Read(b); !os.IsTimeout(err) {
		t.Errorf("then %v", err)
	}
}

// A request's time counts from its last byte. What may have passed before it was read, in the
// listener's queue or for want of processor time, is taken off.
func TestTimeUnreadCounts(t *testing.T) {
	for name, c := range map[string]struct{ queued, lag, less time.Duration }{
		"read as it came":                {},
		"in the queue for want of slots": {queued: 400 * time.Millisecond, less: 400 * time.Millisecond},
		"the program is late":            {lag: 100 * time.Millisecond, less: 200 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			n, err := Listen(Config{Listen: "127.0.0.1:0", Settings: parsed(t)}, slog.New(slog.DiscardHandler))
			if err != nil {
				t.Fatal(err)
			}
			defer n.close()
			c1, theirs := piped(n)
			defer theirs.Close()
			began := n.now()
			if c.queued > 0 {
				c1.queued = began - scheduler.Micros(c.queued.Microseconds())
			}
			n.lag.note(began, began-scheduler.Micros(c.lag.Microseconds()))
			go c1.serve()
			io.WriteString(theirs, "POST /post/7 HTTP/1.1\r\nX-Txn: a1\r\nX-Lane: post\r\nX-Remaining-Ms: 900\r\n\r\n")
			m, is := (<-n.inbox).(submission)
			took := n.now() - began
			want := began + 900*millisecond - scheduler.Micros(c.less.Microseconds())
			if !is || m.Deadline < want || m.Deadline > want+took+scheduler.Micros(c.lag.Microseconds()) {
				t.Errorf("deadline %d us after its due, want 0 to %d", m.Deadline-want, took)
			}
		})
	}
}

// The lag is the worst of the last while, and is forgotten.
func TestLag(t *testing.T) {
	var l lag
	l.note(100*second, 0) // nothing was due
	l.note(100*second, 100*second-40*millisecond)
	l.note(100*second+1, 100*second-10*millisecond)
	for after, want := range map[scheduler.Micros]scheduler.Micros{
		0: 40 * millisecond, second: 20 * millisecond, 2 * second: 10 * millisecond, 90 * second: 0} {
		if got := l.now(100*second + after); got != want {
			t.Errorf("after %d us: %d, want %d", after, got, want)
		}
	}
}
