package node

import (
	"context"
	"errors"

	"dahliaford/internal/scheduler"
)

// watchUpdate is a message of a watch to the event loop: an update of the worker list, or the watch's end.
type watchUpdate struct {
	watch *watch
	event scheduler.Event // event is an EndpointsUpdated or a WatchClosed.
	// readAt is the time at which an update was read; tests leave readAt 0 to skip the check for delays.
	readAt scheduler.Micros
	// lastEmptyAt, of a watch that has ended, is the last time at which the watch's socket was empty; 0 means
	// that the watch never sent anything.
	lastEmptyAt scheduler.Micros
}

// watch is one watch of the worker list. Only the event loop accesses its fields.
type watch struct {
	cancel context.CancelFunc
	ended  bool
}

// openWatch opens a new watch in place of the present one. The present watch is still read until the new one
// has sent something, because changes that discovery has written to the present watch have taken effect.
func (n *Node) openWatch(open scheduler.OpenWatch) {
	if open.ValidUntil != 0 {
		n.freshness.limitValidity(open.ValidUntil)
	}
	ctx, cancel := context.WithCancel(n.ctx)
	if n.watch != nil && !n.watch.ended {
		if n.previousWatch != nil {
			n.previousWatch.cancel()
		}
		n.previousWatch = n.watch
	}
	opened := &watch{cancel: cancel}
	n.watch = opened
	n.spawn(func() {
		defer cancel()
		n.runWatch(ctx, opened, open)
	})
}

// runWatch is the goroutine of a watch. It posts the watch's updates and the watch's end to the event loop.
func (n *Node) runWatch(ctx context.Context, w *watch, open scheduler.OpenWatch) {
	// lastReader is the reader of the watch's connection; nil until the watch has sent something.
	var lastReader *watchReader
	err := n.readWatch(ctx, open, func(e scheduler.EndpointsUpdated, reader *watchReader) {
		lastReader = reader
		e.AsOf = n.freshness.countPosted(reader, n.now())
		n.post(watchUpdate{watch: w, event: e, readAt: n.now()})
	})
	closed := scheduler.WatchClosed{}
	// If ctx is cancelled, the event loop has cancelled the watch, and the watch's end is no failure.
	if ctx.Err() == nil {
		n.log.Warn("watch of the worker list failed", "error", err)
		closed.Unreadable = errors.Is(err, errUnreadableList)
	}
	n.post(watchUpdate{watch: w, event: closed, lastEmptyAt: lastReader.lastEmpty()})
}

// onWatchUpdate handles a message of a watch.
func (n *Node) onWatchUpdate(m watchUpdate) error {
	switch e := m.event.(type) {
	case scheduler.EndpointsUpdated:
		return n.onEndpointsUpdated(m, e)
	case scheduler.WatchClosed:
		return n.onWatchClosed(m, e)
	}
	return nil
}

func (n *Node) onEndpointsUpdated(m watchUpdate, e scheduler.EndpointsUpdated) error {
	asOf := e.AsOf
	late := n.now() - m.readAt
	if m.readAt != 0 && late > n.freshness.drainGrace/2 && n.freshness.drainGrace > 0 {
		n.log.Warn("worker list update applied later than half the drain grace after it was read",
			"rev", e.List.Revision, "ms", late/millisecond)
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
	err := n.step(e)
	n.freshness.countApplied(asOf) // n.step has already told the guard which workers drain.
	return err
}

func (n *Node) onWatchClosed(m watchUpdate, e scheduler.WatchClosed) error {
	m.watch.ended = true
	if m.watch != n.watch {
		m.lastEmptyAt = 0 // A watch that was replaced does not affect how long the worker list is valid.
	}
	e.ValidUntil = n.freshness.watchClosed(m.lastEmptyAt, e.Unreadable)
	switch m.watch {
	case n.watch:
		return n.step(e)
	case n.previousWatch:
		n.previousWatch = nil
	}
	return nil
}
