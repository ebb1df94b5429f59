package node

import (
	"context"
	"errors"

	"dahliaford/internal/scheduler"
)

// watchUpdate is a message of a watch to the loop: an update of the worker list, or the watch's end.
type watchUpdate struct {
	watch       *watch
	event       scheduler.Event  // EndpointsUpdated or WatchClosed
	readAt      scheduler.Micros // of an update: when it was read
	lastEmptyAt scheduler.Micros // of the end: when nothing was left to read; 0: the watch never sent anything
}

// watch is one watch of the worker list. It belongs to the loop.
type watch struct {
	cancel context.CancelFunc
	ended  bool
}

// openWatch opens a watch in place of the present one. The present one is read until the new one has sent
// something: what discovery has written to it is in force.
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

// runWatch is the goroutine of a watch: it posts the watch's updates and its end.
func (n *Node) runWatch(ctx context.Context, w *watch, open scheduler.OpenWatch) {
	var lastReader *watchReader // nil until the watch has sent something
	err := n.readWatch(ctx, open, func(e scheduler.EndpointsUpdated, reader *watchReader) {
		lastReader = reader
		e.AsOf = n.freshness.countPosted(reader, n.now())
		n.post(watchUpdate{watch: w, event: e, readAt: n.now()})
	})
	closed := scheduler.WatchClosed{}
	if ctx.Err() == nil { // else the loop has cancelled it
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
	if m.readAt != 0 && late > n.freshness.grace/2 && n.freshness.grace > 0 {
		n.log.Warn("a worker list update is applied late", "rev", e.List.Revision, "ms", late/millisecond)
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
	n.freshness.countApplied(asOf) // after the step, which tells the guard who is draining
	return err
}

func (n *Node) onWatchClosed(m watchUpdate, e scheduler.WatchClosed) error {
	m.watch.ended = true
	if m.watch != n.watch {
		m.lastEmptyAt = 0 // nothing depends on it any more
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
