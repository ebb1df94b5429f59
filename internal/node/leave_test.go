package node

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"dahliaford/internal/scheduler"
)

// Clients that leave while their jobs wait take nothing with them: the books are as before, and
// the next job is taken, however many have left.
func TestClientsThatLeaveAreForgotten(t *testing.T) {
	w := newWorld(t, leastSockets, "r1")
	for i := range cap(w.node.slots) {
		play(t, w, fmt.Sprintf(`
			c%[1]d send job batch a%[1]d || work
			wait open 1
			c%[1]d close
			wait open 0
		`, i))
	}
	w.node.do(func() {
		if n := len(w.node.callers); n != 0 {
			t.Errorf("%d callers are kept", n)
		}
	})
}

// A client that sends more requests ahead and goes is seen to go, whatever lies before the end: the
// job that waits is given up, and none behind it is taken for nobody.
func TestBytesAheadDoNotHideALeave(t *testing.T) {
	w := newWorld(t, 0, "r1")
	w.node.do(w.node.deaf) // no job can go anywhere yet
	play(t, w, `
		c1 send job batch a1 || one
		c1 send job batch a2 || two
		c1 send job batch a3 || three
		wait open 1
		c1 close
		wait open 0
	`)
	w.node.do(func() { w.node.knows(time.Hour) })
	play(t, w, `
		c2 send job batch b1 || next
		r1 expect POST /batch/7?a=b txn=b1 key=k body=next
	`)
	if n := len(w.parties["r1"].heard); n != 0 {
		t.Errorf("%d more reached the worker: jobs of a client that had left", n)
	}
}

// Who sends ahead without end is not read without end: it gets an error and is let go, and its job
// waits no longer.
func TestWhatIsSentAheadIsBounded(t *testing.T) {
	w := newWorld(t, 0, "r1")
	w.node.do(w.node.deaf)
	play(t, w, `
		c1 send job batch a1 || one
		wait open 1
		c1 send part `+strings.Repeat("x", mostAhead+8<<10)+`
		c1 expect 400 close too much was sent ahead of an answer
		wait open 0
	`)
}

// A request and the end of its connection lie in the socket together: nothing of it is submitted.
func TestALeaveBesideItsRequestIsSeenFirst(t *testing.T) {
	w := newWorld(t, 0, "r1")
	ours, theirs := pair(t)
	c := newClient(w.node, ours)
	const job = "POST /batch/7 HTTP/1.1\r\nX-Txn: a1\r\nX-Lane: batch\r\nX-Org: sahel\r\n" +
		"X-Remaining-Ms: 30000\r\nContent-Length: 0\r\n\r\n"
	if _, err := io.WriteString(theirs, job+job); err != nil {
		t.Fatal(err)
	}
	theirs.Close()
	for gone := false; !gone; { // until both are there
		c.in.raw.Control(func(fd uintptr) {
			state := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
			unix.Poll(state, 100)
			gone = state[0].Revents&unix.POLLRDHUP != 0
		})
	}
	w.node.serving.Add(1)
	w.node.slots <- struct{}{}
	c.serve()
	w.node.do(func() {
		if n := w.node.sched.Kept().Used; n != 0 {
			t.Errorf("%d were submitted", n)
		}
	})
}

// An attempt that has not left when its client leaves never does, whether or not what has left may be
// called off: not sending is not cancelling. It is connected here, and waits for a word of discovery.
func TestWhatHasNotLeftNeverLeaves(t *testing.T) {
	for _, may := range []bool{false, true} {
		set := parsed(t)
		set.Module.MayCancel = may
		w := newWorldOf(t, set, 0, "r1")
		n := w.node
		n.do(func() {
			n.wordIsPosted()
		})
		play(t, w, "c1 send job batch a1 || work\nwait open 1\nc1 close\nwait open 0")
		n.do(func() {
			n.told.apply(n.now())
			if k := n.sched.Kept(); k.Attempts != 0 && len(n.attempts) != 0 {
				t.Errorf("may cancel %v: still on its way: %+v", may, k)
			}
		})
		play(t, w, `
			c2 send job batch b1 || next
			r1 expect POST /batch/7?a=b txn=b1 key=k body=next
		`)
	}
}

// Clients are told when to come back only where the settings allow it.
func TestAdviceIsGivenWhereAllowed(t *testing.T) {
	for most, want := range map[scheduler.Micros]string{2 * second: "503 after 0 close", 0: "503 close"} {
		set := parsed(t)
		set.Module.MaxRetryAfter = most
		w := newWorldOf(t, set, 0, "r1")
		play(t, w, `
			c1 send GET /_health
			c1 expect 200
			node send stop
			c1 expect `+want)
	}
}
