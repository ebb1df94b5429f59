package node

import (
	"fmt"
	"io"
	"log/slog"
	"net"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"dahliaford/internal/http1"
	"dahliaford/internal/scheduler"
)

// At the limit of client connections, idle connections are evicted for new connections. While clients whose
// jobs have no answer yet hold all client slots except those reserved for callbacks, further jobs are refused
// and callbacks are still accepted.
func TestSocketBudget(t *testing.T) {
	w := newHarness(t, minDescriptors, "r1")
	script := ""
	for i := range cap(w.node.clientSlots) * 2 {
		script += fmt.Sprintf("idle%d send GET /_health\nidle%d expect 200\n", i, i)
	}
	// The client c0 requests the close of its connection, so that its response does not depend on timing.
	script += "c0 send job post a0 | Connection: close || x\nr1 expect POST /post/7?a=b txn=a0 key=k body=x\n"
	limit := cap(w.node.clientSlots) - w.node.callbackSlots
	for i := 1; i < limit; i++ {
		script += fmt.Sprintf("c%d send job post a%d || x\n", i, i)
		script += fmt.Sprintf("last%d send GET /_health\nlast%d expect 200\n", i, i)
	}
	// Without this wait for open jobs, the job b below may arrive before the last of them and would be accepted.
	script += fmt.Sprintf("wait open %d", limit)
	runScenario(t, w, script+`
		more send job post b || x
		more expect 503 after 0 close
		r1 send 202 OK
		back send POST /callback || {"id":"a0","from":"r1","state":"done","result":"yes"}
		back expect 204
		c0 expect 200 close yes`)
}

// Many clients that send nothing, or stay connected after a health check, must not delay a new job or a
// callback for long, and must not cause the eviction of an established client, which is one that has sent an
// accepted job or a callback.
func TestManyIdleClients(t *testing.T) {
	w := newHarness(t, minDescriptors, "r1")
	script := `
		c1 send job post a1 || work
		r1 expect POST /post/7?a=b txn=a1 key=k body=work
		r1 send 202 OK
		back send POST /callback || {"id":"a1","from":"r1","state":"done","result":"yes"}
		back expect 204
		c1 expect 200 yes`
	for i := range cap(w.node.clientSlots) * 3 {
		script += fmt.Sprintf("\nmute%d send part\nstays%d send GET /_health\nstays%d expect 200", i, i, i)
	}
	began := time.Now()
	runScenario(t, w, script+`
		c2 send job post a2 | Connection: close || work
		r1 expect POST /post/7?a=b txn=a2 key=k body=work
		r1 send 202 OK
		back send POST /callback || {"id":"a2","from":"r1","state":"done","result":"yes"}
		back expect 204
		c2 expect 200 close yes
		c1 send GET /_health
		c1 expect 200`)
	if took := time.Since(began); took > testTimeout/2 {
		t.Errorf("serving two jobs among many idle clients took %v, want at most half of testTimeout", took)
	}
}

// newEvictionNode returns a node with 100 client slots, 4 of them for callbacks, whose event loop does not
// run.
func newEvictionNode(t *testing.T) *Node {
	t.Helper()
	return &Node{start: time.Now().Add(-time.Minute), ctx: t.Context(), clients: map[*client]bool{},
		clientSlots: make(chan struct{}, 100), callbackSlots: 4, log: slog.New(slog.DiscardHandler)}
}

// addIdleClient adds an open connection to a node that newEvictionNode has returned. The connection was
// accepted, and has been idle, for the given time.
func addIdleClient(t *testing.T, n *Node, rank clientRank, idle time.Duration) *client {
	t.Helper()
	ours, theirs := net.Pipe()
	t.Cleanup(func() { theirs.Close() })
	c := newClient(n, ours)
	c.rank.store(rank)
	c.acceptedAt -= scheduler.Micros(idle.Microseconds())
	c.idleSince.Store(int64(c.acceptedAt))
	n.clients[c] = true
	n.clientSlots <- struct{}{}
	return c
}

// Guards against long jobs on closing connections that keep all other idle connections open: a connection on
// which a job began just before its eviction frees its slot only when the job is answered. If it counts as
// free soon, nothing else is evicted, and new connections wait for as long as the jobs run.
func TestClosingConnectionsWithAJobAreNotFreeSoon(t *testing.T) {
	n := newEvictionNode(t)
	for range n.callbackSlots {
		c := addIdleClient(t, n, rankEstablished, time.Second)
		c.evict()
		c.idleSince.Store(0) // A request has begun.
	}
	idle := map[*client]bool{}
	for len(n.clients) < cap(n.clientSlots) {
		idle[addIdleClient(t, n, rankEstablished, time.Second)] = true
	}
	n.evictClients()
	evicted := 0
	for c := range idle {
		if c.closing() {
			evicted++
		}
	}
	if evicted != n.callbackSlots {
		t.Errorf("%d idle connections were evicted, want %d: the closing ones are busy", evicted, n.callbackSlots)
	}
}

// Clients that sent no accepted job and stay connected are evicted all at once. If only a few were evicted at
// a time, a thousand of them would delay clients in the listener's queue for seconds. Two kinds of clients
// are not evicted: established clients, which have sent an accepted job or a callback, and clients whose
// connection is new or idle for less than newConnGrace.
func TestEvictionFreesAllSlotsAtOnce(t *testing.T) {
	n := newEvictionNode(t)
	ranks := map[clientRank]int{}
	add := func(rank clientRank, idle time.Duration, count int) {
		for range count {
			addIdleClient(t, n, rank, idle)
		}
	}
	add(rankRequester, time.Second, 40)
	// These clients are not evicted, because they are idle for less than newConnGrace.
	add(rankRequester, -time.Hour, 10)
	add(rankNew, time.Second, 20)
	add(rankNew, -time.Hour, 10)
	add(rankEstablished, time.Second, 20)
	n.evictClients()
	for c := range n.clients {
		if c.ctx.Err() != nil {
			ranks[c.rank.load()]++
		}
	}
	if diff := cmp.Diff(map[clientRank]int{rankRequester: 40, rankEvicted: 20}, ranks); diff != "" {
		t.Error(diff)
	}
}

// A client that was evicted while its first request became complete gets a refusal, and the request is not
// submitted. Eviction does not interrupt reading from clients of a higher rank, because that could lose a
// request: such a request is served, and the response says that the connection closes.
func TestEvictionCrossesTheRequest(t *testing.T) {
	w := newHarness(t, 0, "r1")
	for rank, want := range map[clientRank]string{
		rankEvicted:     "503 close",
		rankNew:         "200",
		rankEstablished: "200 close",
	} {
		c, theirs := pipedClient(w.node)
		c.rank.store(rank)
		if rank == rankEstablished {
			c.evict()
		}
		go c.serve()
		// The response shows whether the write succeeded.
		go func() { _, _ = io.WriteString(theirs, "GET /_health HTTP/1.1\r\n\r\n") }()
		r, err := http1.NewReader(theirs).Response()
		if err != nil {
			t.Fatal(err)
		}
		got := fmt.Sprint(r.Status)
		if r.Close {
			got += " close"
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Error(diff)
		}
		theirs.Close()
	}
}
