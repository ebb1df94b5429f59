package node

import (
	"errors"
	"net"
	"os"
	"time"

	"golang.org/x/sys/unix"

	"dahliaford/internal/scheduler"
)

// acceptPause is the time between two failing accepts, and between two requests for eviction.
const acceptPause = 20 * time.Millisecond

// accept is the acceptor's goroutine. It takes a slot before it accepts, so that connections beyond the
// slots wait in the listener's queue.
func (n *Node) accept() {
	defer n.serving.Done()
	queuedSince := scheduler.Micros(0) // since when all slots were taken, without a break; 0: they are not
	for {
		since, ok := n.acquireSlot()
		if !ok {
			return
		}
		if since == 0 {
			queuedSince = 0
		} else if queuedSince == 0 {
			queuedSince = since
		}
		if n.closingListener.Load() && !n.hasQueuedConn() {
			n.releaseSlot()
			n.listener.Close()
			return
		}
		conn, err := n.listener.Accept()
		if err != nil {
			n.releaseSlot()
			if !n.retryAccept(err) {
				return
			}
			continue
		}
		c := newClient(n, conn)
		c.queuedSince = queuedSince
		n.serving.Add(1)
		n.post(clientOpened{c})
		n.spawn(c.serve)
	}
}

// retryAccept handles an error of accept. It reports whether the acceptor goes on.
func (n *Node) retryAccept(err error) bool {
	switch {
	case n.ctx.Err() != nil || errors.Is(err, net.ErrClosed):
		return false
	case n.closingListener.Load() && errors.Is(err, os.ErrDeadlineExceeded): // beginDrain woke it
		_ = n.listener.SetDeadline(time.Time{}) // if it fails, so does the next accept
		return true
	}
	n.log.Warn("cannot accept", "error", err)
	n.post(evictionRequest{})
	time.Sleep(acceptPause)
	return true
}

// acquireSlot takes a slot for the next client connection. Evictions are requested before the slots run out,
// as closing takes a moment; a callback or an established client may be next in the queue. If all slots were
// taken, since is when that was found: the connection that is accepted next may have been in the queue since
// then. It fails once the loop has ended.
func (n *Node) acquireSlot() (since scheduler.Micros, ok bool) {
	scarce := cap(n.clientSlots)-len(n.clientSlots) < max(n.callbackSlots/2, 1)
	if scarce && n.evictionRequested.CompareAndSwap(false, true) {
		n.post(evictionRequest{})
	}
	select {
	case n.clientSlots <- struct{}{}:
		return 0, true
	default:
		since = n.now()
	}
	for {
		select {
		case n.clientSlots <- struct{}{}:
			return since, true
		case <-n.ctx.Done():
			return 0, false
		case <-time.After(acceptPause):
			n.post(evictionRequest{}) // newcomers are past their grace by now, or a client is idle
		}
	}
}

func (n *Node) releaseSlot() { <-n.clientSlots }

// hasQueuedConn reports whether a connection waits in the listener's queue.
func (n *Node) hasQueuedConn() bool {
	raw, err := n.listener.SyscallConn()
	if err != nil {
		return false
	}
	queued := false
	err = raw.Control(func(fd uintptr) {
		listener := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
		for {
			ready, err := unix.Poll(listener, 0)
			queued = ready > 0
			if !errors.Is(err, unix.EINTR) {
				return
			}
		}
	})
	return err == nil && queued
}
