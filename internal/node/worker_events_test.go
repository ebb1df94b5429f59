package node

import (
	"fmt"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"dahliaford/internal/scheduler"
)

// A worker is at capacity if it refuses a dial while another connection to it is open. If there is no other
// connection, or the dial times out, the worker is treated as down.
func TestWorkerAtCapacityIsNotDown(t *testing.T) {
	refused := &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}
	slow := &net.OpError{Op: "dial", Err: os.ErrDeadlineExceeded}
	idle, other := &workerConn{addr: "r1"}, &workerConn{addr: "r2"}
	working := &workerConn{addr: "r1"}
	working.Written = true
	for name, c := range map[string]struct {
		idleConns map[string][]*workerConn
		attempts  map[scheduler.AttemptID]*workerConn
		err       error
		want      bool
	}{
		"one is idle": {idleConns: map[string][]*workerConn{"r1": {idle}}, err: refused, want: true},
		"one is working": {err: refused, want: true,
			attempts: map[scheduler.AttemptID]*workerConn{1: working}},
		"none":                        {err: refused},
		"one to another worker":       {idleConns: map[string][]*workerConn{"r2": {other}}, err: refused},
		"one that is dialling":        {attempts: map[scheduler.AttemptID]*workerConn{1: idle}, err: refused},
		"one is idle, dial timed out": {idleConns: map[string][]*workerConn{"r1": {idle}}, err: slow},
	} {
		n := &Node{idleConns: c.idleConns, attempts: c.attempts}
		if got := n.atCapacity(&workerConn{addr: "r1"}, c.err); got != c.want {
			t.Errorf("case other connection: %s; got atCapacity = %v for the dial error, want its negation",
				name, got)
		}
	}
}

// A worker may start a response and never complete it, while it reports the end of the job by callback. The
// connection must be closed then. If each such job kept its connection, the limit of connections to workers
// would soon be reached.
func TestEndlessResponseReleasesItsConnection(t *testing.T) {
	w := newHarness(t, minDescriptors, "r1")
	ways := []string{"202 Accepted | Content-Length: 9", "100 Continue",
		"503 Busy | X-Turned-Away: 1 | Content-Length: 9"}
	states := []string{"done", "failed", "returned", "lost"}
	for i := range 2 * w.node.maxWorkerConns {
		runScenario(t, w, fmt.Sprintf(`
			c%[1]d send job post a%[1]d || work
			r1 expect POST /post/7?a=b txn=a%[1]d key=k body=work
			r1 send %[2]s
			back%[1]d send POST /callback || {"id":"a%[1]d","from":"r1","state":"%[3]s","result":"yes"}
			back%[1]d expect 204
			back%[1]d close
		`, i, ways[i%len(ways)], states[i/len(ways)%len(states)]))
	}
	var got string
	if !eventually(func() bool {
		w.node.onLoop(func() {
			got = fmt.Sprintf("open %d, attempts %d, cancellations %d", w.node.openWorkerConns,
				len(w.node.attempts), w.node.cancellations)
		})
		return got == "open 0, attempts 0, cancellations 0"
	}) {
		t.Error(got)
	}
}

const acceptedJob = `
	c1 send job post a1 || one
	r1 expect POST /post/7?a=b txn=a1 key=k body=one
	r1 send 202 OK
	back send POST /callback || {"id":"a1","from":"r1","state":"started"}
	back expect 204`

// A worker responds twice to an attempt, and the second response, a refusal, arrives while the connection
// carries the next attempt. That attempt runs, so it must not be taken for refused and sent again.
func TestDuplicateResponseIsNotTheNextExchanges(t *testing.T) {
	w := newLargeFleetHarness(t, 0, "r1")
	runScenario(t, w, acceptedJob)
	w.node.waitIdle(t, 1)
	runScenario(t, w, `
		c2 send job post a2 || two
		r1 expect POST /post/7?a=b txn=a2 key=k body=two
		r1 send 503 Busy | X-Turned-Away: 1
		r1 expect DELETE /jobs/a2
		c2 expect 500
	`)
}

// An unsolicited response closes the connection, and the next attempt gets a new connection.
func TestUnsolicitedResponseClosesTheConnection(t *testing.T) {
	w := newLargeFleetHarness(t, 0, "r1")
	runScenario(t, w, acceptedJob)
	w.node.waitIdle(t, 1)
	runScenario(t, w, `
		r1 send 503 Busy | X-Turned-Away: 1
		r1 expect end
		c2 send job post a2 || two
		r1 expect POST /post/7?a=b txn=a2 key=k body=two
		r1 send 503 Busy | X-Turned-Away: 1
		r1 expect end
		r1 expect POST /post/7?a=b txn=a2 key=k body=two
	`)
}

// A response that is read before any byte of the current attempt was sent cannot belong to the attempt. The
// attempt has not run, is not sent on this connection afterwards, and is sent on a new one.
func TestResponseBeforeItsAttemptIsWritten(t *testing.T) {
	w := newLargeFleetHarness(t, 0, "r1")
	runScenario(t, w, acceptedJob)
	w.node.waitIdle(t, 1)
	w.node.onLoop(func() {
		w.node.postPendingUpdate()
	})
	runScenario(t, w,
		"c2 send job post a2 || two\nwait open 2\nr1 send 503 Busy | X-Turned-Away: 1\nr1 expect end")
	w.node.onLoop(func() { w.node.freshness.countApplied(0) })
	// The attempt that was not sent arrives on a new connection.
	runScenario(t, w, "r1 expect POST /post/7?a=b txn=a2 key=k body=two")
}

// A worker may respond before the event loop knows that the attempt was written completely. The reader must
// hold the response back until the writeEnded message is in the inbox, so that the connection can be reused.
func TestResponseWaitsForTheWriteResult(t *testing.T) {
	ours, theirs := loopbackPair(t)
	n := &Node{inbox: make(chan any, 2), ctx: t.Context()}
	c := &workerConn{node: n}
	// beginWrite puts the connection into the state in which the writer is about to send the first byte.
	if !c.beginWrite() {
		t.Fatal("beginWrite returned false for a new exchange, want true")
	}
	go c.readResponses(ours)
	write(t, theirs, "HTTP/1.1 202 OK\r\nContent-Length: 0\r\n\r\n")
	for end := time.Now().Add(50 * time.Millisecond); len(n.inbox) == 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond) // A reader that waits correctly posts nothing during this loop.
	}
	n.post(writeEnded{c, nil})
	c.releaseResponseOrder()
	if m, ok := (<-n.inbox).(writeEnded); !ok {
		t.Errorf("the first message in the inbox is a %T, want writeEnded", m)
	}
	if m, ok := (<-n.inbox).(workerResponse); !ok || m.Status != 202 {
		t.Errorf("the second message in the inbox is %+v, want a workerResponse with status 202", m)
	}
}
