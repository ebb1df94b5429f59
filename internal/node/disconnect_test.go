package node

import (
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// Clients that leave while their jobs wait take nothing with them: the books are as before, and
// the next job is taken, however many have left.
func TestDisconnectedClientsAreForgotten(t *testing.T) {
	w := newWorld(t, minSockets, "r1")
	for i := range cap(w.node.clientSlots) {
		play(t, w, fmt.Sprintf(`
			c%[1]d send job batch a%[1]d || work
			wait open 1
			c%[1]d close
			wait open 0
		`, i))
	}
	w.node.onLoop(func() {
		if n := len(w.node.callers); n != 0 {
			t.Errorf("%d callers are kept", n)
		}
	})
}

// A client that sends more requests ahead and goes is seen to go, whatever lies before the end: the
// job that waits is given up, and none behind it is taken for nobody.
func TestReadAheadSeesADisconnect(t *testing.T) {
	w := newWorld(t, 0, "r1")
	w.node.onLoop(func() { w.node.invalidateList(t) }) // no job can go anywhere yet
	play(t, w, `
		c1 send job batch a1 || one
		c1 send job batch a2 || two
		c1 send job batch a3 || three
		wait open 1
		c1 close
		wait open 0
	`)
	w.node.onLoop(func() { w.node.receiveList(t, time.Hour) })
	play(t, w, `
		c2 send job batch b1 || next
		r1 expect POST /batch/7?a=b txn=b1 key=k body=next
	`)
	if n := len(w.peers["r1"].received); n != 0 {
		t.Errorf("%d more reached the worker: jobs of a client that had left", n)
	}
}

// Who sends ahead without end is not read without end: it gets an error and is let go, and its job
// waits no longer.
func TestReadAheadIsBounded(t *testing.T) {
	w := newWorld(t, 0, "r1")
	w.node.onLoop(func() { w.node.invalidateList(t) })
	play(t, w, `
		c1 send job batch a1 || one
		wait open 1
		c1 send part `+strings.Repeat("x", maxReadAhead+8<<10)+`
		c1 expect 400 close too much was sent ahead of an answer
		wait open 0
	`)
}

// A request and the end of its connection lie in the socket together: nothing of it is submitted.
func TestDisconnectWithTheRequestIsSeenFirst(t *testing.T) {
	w := newWorld(t, 0, "r1")
	ours, theirs := pair(t)
	c := newClient(w.node, ours)
	const job = "POST /batch/7 HTTP/1.1\r\nX-Txn: a1\r\nX-Lane: batch\r\nX-Org: sahel\r\n" +
		"X-Remaining-Ms: 30000\r\nContent-Length: 0\r\n\r\n"
	write(t, theirs, job+job)
	theirs.Close()
	for seen := false; !seen; { // until both have arrived
		if err := c.inbound.rawConn.Control(func(fd uintptr) {
			state := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
			if _, err := unix.Poll(state, 100); err != nil && !errors.Is(err, unix.EINTR) {
				t.Errorf("poll: %v", err)
			}
			seen = state[0].Revents&unix.POLLRDHUP != 0
		}); err != nil {
			t.Fatal(err)
		}
	}
	w.node.serving.Add(1)
	w.node.clientSlots <- struct{}{}
	c.serve()
	w.node.onLoop(func() {
		if n := w.node.sched.Stats().ReservedIDs; n != 0 {
			t.Errorf("%d were submitted", n)
		}
	})
}

// An attempt that has not left when its client leaves never does, whether or not what has left may be
// called off: not sending is not cancelling. It is connected here, and waits for a word of discovery.
func TestUnsentAttemptOfADisconnectedClient(t *testing.T) {
	for _, allowed := range []bool{false, true} {
		set := parsed(t)
		set.Dispatch.CancelAllowed = allowed
		w := newWorldOf(t, set, 0, "r1")
		n := w.node
		n.onLoop(func() {
			n.postPendingUpdate()
		})
		play(t, w, "c1 send job batch a1 || work\nwait open 1\nc1 close\nwait open 0")
		n.onLoop(func() {
			n.freshness.countApplied(n.now())
			if k := n.sched.Stats(); k.Attempts != 0 && len(n.attempts) != 0 {
				t.Errorf("may cancel %v: still on its way: %+v", allowed, k)
			}
		})
		play(t, w, `
			c2 send job batch b1 || next
			r1 expect POST /batch/7?a=b txn=b1 key=k body=next
		`)
	}
}

// awaitGuardCheck waits, from when it is made, until a writer has had its last look at what discovery has told.
func (n *Node) awaitGuardCheck(t *testing.T) func() {
	t.Helper()
	ours, _ := pair(t)
	reader, err := n.freshness.newWatchReader(ours, n.now)
	if err != nil {
		t.Fatal(err)
	}
	begun := reader.emptyAt
	return func() {
		t.Helper()
		defer reader.close()
		if !eventually(func() bool { return reader.lastEmpty() > begun }) {
			t.Fatal("no writer looks")
		}
	}
}

// withAndWithoutCancel runs a test where what has left may be called off, and where it may not.
func withAndWithoutCancel(t *testing.T, test func(t *testing.T, w *world), workers ...string) {
	for _, allowed := range []bool{true, false} {
		t.Run(fmt.Sprintf("may cancel %v", allowed), func(t *testing.T) {
			t.Parallel()
			set := parsed(t)
			set.Dispatch.CancelAllowed = allowed
			test(t, newWorldOf(t, set, 0, workers...))
		})
	}
}

// A leave counts from when it is read, however far behind the loop is: a connect that comes up then
// finds nobody to send for.
func TestDisconnectCountsBeforeTheLoopSeesIt(t *testing.T) {
	withAndWithoutCancel(t, func(t *testing.T, w *world) {
		n := w.node
		for i, way := range disconnectWays {
			n.onLoop(func() { n.postPendingUpdate() })
			play(t, w, fmt.Sprintf("c%[1]d send job batch a%[1]d || work\nwait open 1", i))
			resume := n.pauseLoop()
			w.peers[fmt.Sprint("c", i)].disconnect(t, way)
			if !eventually(func() bool { return len(n.inbox) > 0 }) { // CallerLeft
				t.Fatal("the leave is not read")
			}
			checked := n.awaitGuardCheck(t)
			n.freshness.countApplied(n.now()) // now nothing of discovery holds the writer back
			checked()
			resume()
			play(t, w, fmt.Sprintf(`
				wait open 0
			`+servedNext, i))
		}
	}, "r1")
}

// servedNext is another job, numbered by the format's argument: it is served as if nothing had been.
const servedNext = `
	d%[1]d send job batch d%[1]d || next
	r1 expect POST /batch/7?a=b txn=d%[1]d key=k body=next
	r1 send 202 OK
	back%[1]d send POST /callback || {"id":"d%[1]d","from":"r1","state":"done"}
	back%[1]d expect 204
	d%[1]d expect 200`

// waitSendBufferFull waits until a connection that nobody reads from takes no more: what it holds grows no longer.
func waitSendBufferFull(t *testing.T, conn net.Conn) {
	t.Helper()
	raw, err := conn.(syscall.Conn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	last, same := 0, 0
	if !eventually(func() bool {
		queued := 0
		controlErr := raw.Control(func(fd uintptr) { queued, err = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) })
		if same++; controlErr != nil || err != nil || queued == 0 || queued != last {
			same = 0
		}
		last = queued
		return same >= 50
	}) {
		t.Fatalf("it still takes more: %d, %v", last, err)
	}
}

// A request that is half written when its client leaves, or when it is given up, stays half: what a
// worker has read of it by then is no attempt, and the rest would make it one.
func TestPartialRequestOfADisconnectedClientStaysPartial(t *testing.T) {
	for name, end := range map[string]func(*workerConn, *payload){
		"its client leaves": func(_ *workerConn, p *payload) { p.disconnected.Store(true) },
		"it is given up":    func(c *workerConn, _ *payload) { c.abandoned.Store(true) },
	} {
		t.Run(name, func(t *testing.T) {
			n := newWorld(t, 0, "r1").node
			ours, theirs := pair(t)
			p := &payload{method: "POST", target: "/batch/7", body: make([]byte, 32<<20)} // past all buffers
			e := &exchange{workerUID: "r1", requestID: "a1", payload: p, writeBy: n.now() + 3600*second}
			c := &workerConn{node: n, addr: "r1", ctx: t.Context()}
			done := make(chan error, 1)
			go func() {
				err := c.write(ours, e)
				c.releaseOrder()
				ours.Close()
				done <- err
			}()
			if _, err := io.ReadFull(theirs, make([]byte, 100)); err != nil { // it has begun
				t.Fatal(err)
			}
			waitSendBufferFull(t, ours) // else one call of the system may go on for as long as is read
			end(c, p)
			all, _ := io.Copy(io.Discard, theirs) // it may end by a reset
			if err := <-done; !errors.Is(err, errDisconnected) || all >= int64(len(p.body)) {
				t.Errorf("%v, and %d more bytes of %d came", err, all, len(p.body))
			}
		})
	}
}

// Nothing is submitted of a request whose client leaves while its connection waits for a slot.
func TestDisconnectInTheAcceptQueueIsSeenFirst(t *testing.T) {
	w := newWorld(t, minSockets, "r1")
	n := w.node
	play(t, w, "c1 send GET /_health\nc1 expect 200") // the acceptor is behind its next slot after this
	taken := 0
	for full := false; !full; {
		select {
		case n.clientSlots <- struct{}{}:
			taken++
		default:
			full = true
		}
	}
	first, err := net.Dial("tcp", n.Addr().String()) // takes the acceptor's slot
	if err != nil {
		t.Fatal(err)
	}
	defer first.Close()
	for i, way := range disconnectWays {
		name := fmt.Sprint("q", i)
		play(t, w, name+" send job batch "+name+" || work")
		w.peers[name].disconnect(t, way)
	}
	for range taken {
		<-n.clientSlots
	}
	play(t, w, `
		c2 send job batch b1 || next
		r1 expect POST /batch/7?a=b txn=b1 key=k body=next
	`)
	n.onLoop(func() {
		if k := n.sched.Stats(); k.ReservedIDs != 1 {
			t.Errorf("%d were submitted", k.ReservedIDs)
		}
	})
}

// A job whose next attempt waits for its worker to hear of the withdrawal of the one before is not
// sent when that is heard: its client has left meanwhile.
func TestDisconnectDuringADeferredAttempt(t *testing.T) {
	withAndWithoutCancel(t, func(t *testing.T, w *world) {
		for i, way := range disconnectWays {
			play(t, w, fmt.Sprintf(`
				c%[1]d send job batch a%[1]d || work
				r1 expect POST /batch/7?a=b txn=a%[1]d key=k body=work
				r1 close reset
				r1 expect end
				r1 expect DELETE /jobs/a%[1]d
			`, i))
			w.peers[fmt.Sprint("c", i)].disconnect(t, way)
			play(t, w, fmt.Sprintf(`
				wait open 0
				r1 send 200 OK
				r1 expect end
			`+servedNext, i))
		}
	}, "r1")
}

// A worker turns a job away just as its client leaves: the loop hears of both, in either order, and no
// further attempt begins.
func TestDisconnectAsARetryIsDecided(t *testing.T) {
	for _, leaveFirst := range []bool{true, false} {
		withAndWithoutCancel(t, func(t *testing.T, w *world) {
			n := w.node
			n.onLoop(func() { n.idleTimeout = 0 }) // on a connection that is used again no refusal is believed
			for i, way := range disconnectWays {
				play(t, w, fmt.Sprintf(`
					c%[1]d send job batch a%[1]d || work
					r1 expect POST /batch/7?a=b txn=a%[1]d key=k body=work
				`, i))
				written := func() (so bool) { // the writer's word is in
					n.onLoop(func() {
						for _, c := range n.attempts {
							so = so || c.Written
						}
					})
					return so
				}
				if !eventually(written) {
					t.Fatal("it is not written")
				}
				resume := n.pauseLoop()
				posted := len(n.inbox)
				arrives := func(step func()) {
					step()
					posted++
					if !eventually(func() bool { return len(n.inbox) >= posted }) {
						t.Fatal("it does not come")
					}
				}
				leave := func() { w.peers[fmt.Sprint("c", i)].disconnect(t, way) }
				refuse := func() { play(t, w, "r1 send 503 Full | X-Turned-Away: 1") }
				if leaveFirst {
					arrives(leave)
					arrives(refuse)
				} else {
					arrives(refuse)
					arrives(leave)
				}
				resume()
				if leaveFirst && n.cfg.Settings.Dispatch.CancelAllowed { // what has left is called off
					play(t, w, fmt.Sprintf("r1 expect DELETE /jobs/a%d\nr1 send 200 OK\nr1 expect end", i))
				}
				play(t, w, fmt.Sprintf(`
					wait open 0
					d%[1]d send job batch d%[1]d || next
					r1 expect POST /batch/7?a=b txn=d%[1]d key=k body=next
					r1 send 202 OK
					back%[1]d send POST /callback || {"id":"d%[1]d","from":"r1","state":"done"}
					back%[1]d expect 204
					d%[1]d expect 200
				`, i))
			}
		}, "r1")
	}
}

// pausingConn is a connection that can be held between what it has read and whoever reads it.
type pausingConn struct {
	net.Conn
	pauseNext      atomic.Bool
	paused, resume chan struct{}
}

func (h *pausingConn) Read(b []byte) (int, error) {
	n, err := h.Conn.Read(b)
	if n > 0 && h.pauseNext.CompareAndSwap(true, false) {
		h.paused <- struct{}{}
		<-h.resume
	}
	return n, err
}

// A client leaves between the first byte that it sends ahead and the reading on that this begins.
func TestDisconnectBetweenReadAheadBytes(t *testing.T) {
	for _, way := range []string{"in order", "reset"} {
		w := newWorld(t, 0, "r1")
		n := w.node
		n.onLoop(func() { n.invalidateList(t) }) // no job can go anywhere yet
		ours, theirs := pair(t)
		h := &pausingConn{Conn: ours, paused: make(chan struct{}), resume: make(chan struct{})}
		n.clientSlots <- struct{}{}
		n.serving.Add(1)
		go newClient(n, h).serve()
		const job = "POST /batch/7 HTTP/1.1\r\nX-Txn: a1\r\nX-Lane: batch\r\nX-Org: sahel\r\n" +
			"X-Remaining-Ms: 30000\r\nContent-Length: 0\r\n\r\n"
		write(t, theirs, job)
		play(t, w, "wait open 1")
		h.pauseNext.Store(true)
		write(t, theirs, "P")
		<-h.paused
		if way == "reset" {
			resetOnClose(t, theirs)
		}
		theirs.Close()
		h.resume <- struct{}{}
		play(t, w, "wait open 0")
	}
}
