package node

import (
	"context"
	"errors"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// pendingDial is an intercepted dial of a workerConn. The test decides how the dial ends.
type pendingDial struct {
	ctx    context.Context
	result chan error // The test sends the dial's error here; nil lets the dial succeed.
}

// interceptDials passes each dial of the harness's node to the test.
func (w *harness) interceptDials() <-chan pendingDial {
	all := make(chan pendingDial, 100)
	w.node.onLoop(func() {
		w.node.dial = func(ctx context.Context, addr string, _ time.Time) (net.Conn, error) {
			d := pendingDial{ctx, make(chan error, 1)}
			all <- d
			select {
			case err := <-d.result:
				if err != nil {
					return nil, err
				}
				return dialTCP(context.Background(), addr, time.Now().Add(testTimeout))
			case <-ctx.Done():
				return nil, ctx.Err()
			}
		}
	})
	return all
}

// When a dial is slow, a hedged dial starts beside it, and the connection of the hedged dial carries the job.
// The job is sent only once, and the connection of the slow dial is closed without use.
func TestHedgedDialBesideASlowOne(t *testing.T) {
	for name, firstEnds := range map[string]func(first pendingDial){
		"never comes up": func(first pendingDial) { <-first.ctx.Done() },
		"comes up later": func(first pendingDial) { first.result <- nil },
	} {
		t.Run(name, func(t *testing.T) {
			set := parseTestSettings(t)
			set.Dispatch.ConnectTimeout = 2 * second
			w := newHarnessWithSettings(t, set, 0, "r1")
			dials := w.interceptDials()
			runScenario(t, w, "c1 send job post a1 || work")
			first := <-dials
			var second pendingDial
			select {
			case second = <-dials: // The hedged dial starts while the first dial is in progress.
			case <-time.After(testTimeout):
				t.Fatal("no hedged dial started within testTimeout")
			}
			if first.ctx.Err() != nil {
				t.Error("the first dial was cancelled when the hedged dial started, want both dials in progress")
			}
			second.result <- nil
			runScenario(t, w, "r1 expect POST /post/7?a=b txn=a1 key=k body=work")
			firstEnds(first)
			runScenario(t, w, `
				r1 send 202 OK
				back send POST /callback || {"id":"a1","from":"r1","state":"done","result":"it"}
				back expect 204
				c1 expect 200 it`)
			if n := w.node; !eventually(func() bool { return n.hedgedDials.Load() == 0 }) {
				t.Error("the count of hedged dials in progress is not 0 within testTimeout after all dials ended")
			}
		})
	}
}

// A refused dial makes workerConn.dial fail at once, whether or not a hedged dial is in progress.
func TestRefusedDialEndsTheHedge(t *testing.T) {
	refused := &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}
	for _, late := range []bool{false, true} {
		n := newHarness(t, 0).node
		all := make(chan pendingDial, 2)
		n.dial = func(ctx context.Context, _ string, _ time.Time) (net.Conn, error) {
			d := pendingDial{ctx, make(chan error, 1)}
			all <- d
			return nil, <-d.result
		}
		c := &workerConn{node: n, ctx: t.Context()}
		done := make(chan error, 1)
		go func() {
			_, err := c.dial(time.Now().Add(time.Second))
			done <- err
		}()
		first := <-all
		if late {
			<-all
		}
		first.result <- refused
		if err := <-done; !errors.Is(err, syscall.ECONNREFUSED) {
			t.Errorf("case hedged dial in progress = %v: after a refused dial got error %v, want ECONNREFUSED",
				late, err)
		}
		if first.ctx.Err() == nil {
			t.Error("the context of the dials was not cancelled after a refused dial")
		}
	}
}

// At most maxHedgedDials hedged dials run at the same time when many dials hang, so that the hedged dials
// stay within the reserved file descriptors.
func TestHedgedDialsAreBounded(t *testing.T) {
	n := newHarness(t, 0).node
	const many = 3 * maxHedgedDials
	var inProgress, maxSeen atomic.Int32
	n.dial = func(ctx context.Context, _ string, _ time.Time) (net.Conn, error) {
		maxSeen.Store(max(maxSeen.Load(), inProgress.Add(1)))
		defer inProgress.Add(-1)
		<-ctx.Done()
		return nil, os.ErrDeadlineExceeded
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, many)
	for range many {
		go func() {
			c := &workerConn{node: n, ctx: ctx}
			_, err := c.dial(time.Now().Add(100 * time.Millisecond))
			done <- err
		}()
	}
	if !eventually(func() bool { return inProgress.Load() == many+maxHedgedDials }) {
		t.Errorf("%d dials in progress, want %d, which is one for each connection plus maxHedgedDials",
			inProgress.Load(), many+maxHedgedDials)
	}
	cancel()
	for range many {
		if err := <-done; err == nil {
			t.Error("a dial that never connects returned no error, want one")
		}
	}
	over := eventually(func() bool { return n.hedgedDials.Load() == 0 && inProgress.Load() == 0 })
	if !over || maxSeen.Load() > many+maxHedgedDials {
		t.Errorf("%d hedged dials counted after all ended, want 0; %d dials at a time, want 24+maxHedgedDials",
			n.hedgedDials.Load(), maxSeen.Load())
	}
}
