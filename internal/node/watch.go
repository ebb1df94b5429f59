package node

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"strconv"
	"time"

	"dahliaford/internal/http1"
	"dahliaford/internal/scheduler"
)

const (
	membersPath = "/catalog/members"

	// watchOpenTimeout is the longest that discovery may take to open a watch: a call
	// that waits longer there fails.
	watchOpenTimeout = 4 * time.Second
	// agentOpenTimeout is the same where lists are pushed: the agent answers at once, or not before
	// discovery is back. Then another call is better than to wait on with this one.
	agentOpenTimeout = time.Second
	// watchIdleTimeout is the longest between two lines of a watch. One comes every 2 s, and
	// what it has to tell counts as told 6 s later whether it arrives or not, so a
	// dead watch must be found out, and a new one opened, well within these.
	watchIdleTimeout = 3 * time.Second

	// defaultMaxStaleness is how long after a change it counts as told, whether it arrived or not.
	defaultMaxStaleness = 6 * time.Second

	maxLineBytes = 4 << 20 // bytes of one object
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

// errUnreadableList is the error of a word that cannot be read. What it has told is unknown.
var errUnreadableList = errors.New("no list")

// readWatch reads one watch until it ends.
func (n *Node) readWatch(ctx context.Context, open scheduler.OpenWatch, deliver func(scheduler.EndpointsUpdated, *watchReader)) error {
	dialer := net.Dialer{Deadline: time.Now().Add(n.watchOpenTimeout), KeepAlive: -1}
	conn, err := dialer.DialContext(ctx, "tcp", open.Addr)
	if err != nil {
		return err
	}
	defer conn.Close()
	reader, err := n.freshness.newWatchReader(conn, n.now)
	if err != nil {
		return err
	}
	defer reader.close()
	defer context.AfterFunc(ctx, func() { conn.SetDeadline(time.Now()) })()
	conn.SetDeadline(dialer.Deadline)
	target := membersPath + "?watch=1&from=" + strconv.FormatInt(open.Rev, 10)
	request := http1.AppendRequest(nil, "GET", target, []http1.Field{{Name: "Host", Value: open.Addr}}, nil)
	if _, err := conn.Write(request); err != nil {
		return err
	}
	read := http1.NewReader(reader)
	head, err := read.Head()
	if err != nil {
		return err
	}
	if head.Status != 200 || head.Header.Get("Transfer-Encoding") != "chunked" {
		return fmt.Errorf("discovery answered %d", head.Status)
	}
	n.log.Info("watch of the worker list open", "discovery", open.Addr, "from", open.Rev)
	lines := bufio.NewScanner(read.Chunks())
	lines.Buffer(nil, maxLineBytes)
	lines.Split(splitLines)
	for begun := false; lines.Scan(); {
		if ctx.Err() == nil { // else the end of what has come is near
			conn.SetReadDeadline(time.Now().Add(n.watchIdleTimeout))
		}
		var t scheduler.WorkerList
		if line := bytes.TrimSpace(lines.Bytes()); len(line) > 0 {
			var invalid error
			if t, invalid, err = DecodeList(line); err != nil {
				return fmt.Errorf("%w: %w", errUnreadableList, err)
			} else if invalid != nil {
				n.log.Warn("an entry of the worker list is no use", "rev", t.Rev, "why", invalid)
			}
			begun = true
		}
		if begun { // before the first object an empty line says nothing of what there is
			deliver(scheduler.EndpointsUpdated{List: t}, reader)
		}
	}
	switch err := lines.Err(); {
	case errors.Is(err, bufio.ErrTooLong):
		return fmt.Errorf("%w: %w", errUnreadableList, err)
	case err != nil:
		return err
	}
	return fmt.Errorf("discovery ended the watch")
}

// splitLines splits off lines. What is left without an end is none: it has not been told.
func splitLines(data []byte, atEOF bool) (advance int, token []byte, err error) {
	if end := bytes.IndexByte(data, '\n'); end >= 0 {
		return end + 1, data[:end], nil
	}
	if atEOF {
		return len(data), nil, nil
	}
	return 0, nil, nil
}
