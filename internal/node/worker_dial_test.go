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

// pendingDial is a dial of a workerConn that the test intercepts: the test decides how it ends.
type pendingDial struct {
	ctx    context.Context
	result chan error // nil: it succeeds
}

// interceptDials passes each dial of a node to the test.
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

// A hedged dial beside a slow one carries the job, once; the slow one is closed unused.
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
			case second = <-dials: // while the first one is still in progress
			case <-time.After(testTimeout):
				t.Fatal("no hedged dial")
			}
			if first.ctx.Err() != nil {
				t.Error("the first one was cancelled")
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
				t.Error("hedged dials are still counted")
			}
		})
	}
}

// A dial that is refused is the end at once, whether or not another one is in progress.
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
			t.Errorf("late %v: %v", late, err)
		}
		if first.ctx.Err() == nil {
			t.Error("the other one goes on")
		}
	}
}

// Hedged dials stay within the spare descriptors, however many dials hang.
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
		t.Errorf("%d dials are in progress, want %d", inProgress.Load(), many+maxHedgedDials)
	}
	cancel()
	for range many {
		if err := <-done; err == nil {
			t.Error("a dial that never connects has a connection")
		}
	}
	over := eventually(func() bool { return n.hedgedDials.Load() == 0 && inProgress.Load() == 0 })
	if !over || maxSeen.Load() > many+maxHedgedDials {
		t.Errorf("%d hedged dials, %d dials at most", n.hedgedDials.Load(), maxSeen.Load())
	}
}
