package node

import (
	"errors"
	"net"
	"os"
	"time"

	"golang.org/x/sys/unix"

	"dahliaford/internal/scheduler"
)

// acceptPause is how long the acceptor waits after a failed Accept, and between two requests to evict client
// connections while no client slot is free.
const acceptPause = 20 * time.Millisecond

// accept is the acceptor's goroutine. Each open client connection holds one client slot. accept acquires a
// slot before it accepts a connection, so connections beyond the number of slots wait in the listener's
// queue.
func (n *Node) accept() {
	defer n.serving.Done()
	// queuedSince is the time since which all client slots (one for each open client connection) have been taken
	// without interruption; 0 if a client slot is free.
	queuedSince := scheduler.Micros(0)
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

// retryAccept handles an error of Accept. It reports whether the acceptor should continue.
func (n *Node) retryAccept(err error) bool {
	switch {
	case n.ctx.Err() != nil || errors.Is(err, net.ErrClosed):
		return false
	// beginDrain set this deadline of the listener to wake the acceptor.
	case n.closingListener.Load() && errors.Is(err, os.ErrDeadlineExceeded):
		_ = n.listener.SetDeadline(time.Time{}) // If SetDeadline fails, the next Accept fails as well.
		return true
	}
	n.log.Warn("accepting a connection failed", "error", err)
	n.post(evictionRequest{})
	time.Sleep(acceptPause)
	return true
}

// acquireSlot acquires a client slot for the next client connection. It requests the eviction of client
// connections before all slots are taken, because closing connections takes time, and a callback or an
// established client (one that has sent an accepted job or a callback) may be next in the listener's queue.
// If all slots are taken, since is the time at which acquireSlot found no free slot; the connection that is
// accepted next may have been in the queue since then. Otherwise since is 0. ok is false once the event loop
// has ended.
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
			// Further connections may have become evictable by now: newConnGrace may have passed, or a client may be
			// idle.
			n.post(evictionRequest{})
		}
	}
}

func (n *Node) releaseSlot() { <-n.clientSlots }

// hasFreeSlot reports whether a client slot is free, so that the acceptor does not wait for one.
func (n *Node) hasFreeSlot() bool { return len(n.clientSlots) < cap(n.clientSlots) }

// hasQueuedConn reports whether a connection waits in the listener's queue to be accepted.
func (n *Node) hasQueuedConn() bool {
	raw, err := n.listener.SyscallConn()
	return err == nil && pollNow(raw, unix.POLLIN) != 0
}
