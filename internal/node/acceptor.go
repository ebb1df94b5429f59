package node

import (
	"errors"
	"net"
	"os"
	"time"

	"golang.org/x/sys/unix"

	"dahliaford/internal/scheduler"
)

// acceptPause bounds the pace of failing accepts and of asking for room.
const acceptPause = 20 * time.Millisecond

// acquireSlot takes a slot for the next client. Room is made before it is needed, as closing
// takes a moment; a callback or a usual client may be the next in the queue. Whoever is
// accepted next may have waited in the queue since the time that is returned, if any.
func (n *Node) acquireSlot() (since scheduler.Micros, ok bool) {
	if cap(n.clientSlots)-len(n.clientSlots) < max(n.callbackSlots/2, 1) && n.evictionRequested.CompareAndSwap(false, true) {
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
			n.post(evictionRequest{}) // those who had just come are old enough by now, or one idles
		}
	}
}

func (n *Node) accept() {
	defer n.serving.Done()
	queuedSince := scheduler.Micros(0) // since when there were too few slots, without a break
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
			<-n.clientSlots
			n.listener.Close()
			return
		}
		conn, err := n.listener.Accept()
		if err != nil {
			<-n.clientSlots
			switch {
			case n.ctx.Err() != nil || isClosed(err):
				return
			case n.closingListener.Load() && errors.Is(err, os.ErrDeadlineExceeded):
				n.listener.SetDeadline(time.Time{})
				continue
			}
			n.log.Warn("cannot accept", "error", err)
			n.post(evictionRequest{})
			time.Sleep(acceptPause)
			continue
		}
		c := newClient(n, conn)
		c.queuedSince = queuedSince
		n.serving.Add(1)
		n.post(clientOpened{c})
		n.spawn(c.serve)
	}
}

// hasQueuedConn tells whether somebody waits to be accepted.
func (n *Node) hasQueuedConn() bool {
	raw, err := n.listener.SyscallConn()
	if err != nil {
		return false
	}
	waits := false
	raw.Control(func(fd uintptr) {
		one := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
		for {
			k, err := unix.Poll(one, 0)
			if waits = k > 0; err != unix.EINTR {
				return
			}
		}
	})
	return waits
}

func isClosed(err error) bool { return errors.Is(err, net.ErrClosed) }
