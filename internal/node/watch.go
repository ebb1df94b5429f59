package node

import (
	"context"
	"errors"

	"dahliaford/internal/scheduler"
)

// watchUpdate is what a watch says.
type watchUpdate struct {
	watch       *watch
	event       scheduler.Event
	readAt      scheduler.Micros // when; 0: nothing was
	lastEmptyAt scheduler.Micros // with its end: when nothing was left to read; 0: it never spoke
}

// watch is one watch of the worker list.
type watch struct {
	cancel context.CancelFunc
	ended  bool
}

// openWatch opens a watch in place of the present one. That one is read on until the new one
// has said something: what discovery has written there has been told.
func (n *Node) openWatch(open scheduler.OpenWatch) {
	if open.ValidUntil != 0 {
		n.freshness.limitValidity(open.ValidUntil)
	}
	ctx, release := context.WithCancel(n.ctx)
	if n.watch != nil && !n.watch.ended {
		if n.previousWatch != nil {
			n.previousWatch.cancel()
		}
		n.previousWatch = n.watch
	}
	n.watch = &watch{cancel: release}
	own := n.watch
	n.spawn(func() {
		defer release()
		var lastReader *watchReader
		err := n.readWatch(ctx, open, func(e scheduler.EndpointsUpdated, t *watchReader) {
			lastReader = t
			e.AsOf = n.freshness.countPosted(t, n.now())
			n.post(watchUpdate{watch: own, event: e, readAt: n.now()})
		})
		closed := scheduler.WatchClosed{}
		if ctx.Err() == nil { // else it was let go
			n.log.Warn("watch of the worker list lost", "error", err)
			closed.Unreadable = errors.Is(err, errUnreadableList)
		}
		n.post(watchUpdate{watch: own, event: closed, lastEmptyAt: lastReader.lastEmpty()})
	})
}

// onWatchUpdate takes a word of a watch.
func (n *Node) onWatchUpdate(m watchUpdate) (err error) {
	switch e := m.event.(type) {
	case scheduler.EndpointsUpdated:
		asOf := e.AsOf
		if late := n.now() - m.readAt; m.readAt != 0 && late > n.freshness.grace/2 && n.freshness.grace > 0 {
			n.log.Warn("a word of discovery is taken in late", "rev", e.List.Rev, "ms", late/millisecond)
		}
		if m.watch == n.watch {
			n.listReceived.Store(true)
			if n.previousWatch != nil {
				n.previousWatch.cancel()
				n.previousWatch = nil
			}
		} else {
			e.FromPreviousWatch, asOf = true, 0
		}
		err = n.step(e)
		n.freshness.countApplied(asOf) // only now: those who leave are known
	case scheduler.WatchClosed:
		if m.watch.ended = true; m.watch != n.watch {
			m.lastEmptyAt = 0 // nothing hangs on it any more
		}
		e.ValidUntil = n.freshness.watchClosed(m.lastEmptyAt, e.Unreadable)
		switch m.watch {
		case n.watch:
			err = n.step(e)
		case n.previousWatch:
			n.previousWatch = nil
		}
	}
	return err
}
