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

	// answerWithin is the longest that discovery may take to open a watch: a call
	// that waits longer there fails.
	answerWithin = 4 * time.Second
	// agentWithin is the same where lists are pushed: the agent answers at once, or not before
	// discovery is back. Then another call is better than to wait on with this one.
	agentWithin = time.Second
	// silentFor is the longest between two lines of a watch. One comes every 2 s, and
	// what it has to tell counts as told 6 s later whether it arrives or not, so a
	// dead watch must be found out, and a new one opened, well within these.
	silentFor = 3 * time.Second

	// toldWithin is how long after a change it counts as told, whether it arrived or not.
	toldWithin = 6 * time.Second

	longestLine = 4 << 20 // bytes of one object
)

// listWord is what a watch says.
type listWord struct {
	watch *watch
	event scheduler.Event
	read  scheduler.Micros // when; 0: nothing was
	sure  scheduler.Micros // with its end: when nothing was left to read; 0: it never spoke
}

// watch is one watch of the worker list.
type watch struct {
	release context.CancelFunc
	ended   bool
}

// openWatch opens a watch in place of the present one. That one is read on until the new one
// has said something: what discovery has written there has been told.
func (n *Node) openWatch(w scheduler.OpenWatch) {
	if w.ValidUntil != 0 {
		n.told.moved(w.ValidUntil)
	}
	ctx, release := context.WithCancel(n.ctx)
	if n.watch != nil && !n.watch.ended {
		if n.before != nil {
			n.before.release()
		}
		n.before = n.watch
	}
	n.watch = &watch{release: release}
	own := n.watch
	n.spawn(func() {
		defer release()
		var spoke *tap
		err := n.follow(ctx, w, func(e scheduler.EndpointsUpdated, t *tap) {
			spoke = t
			e.AsOf = n.told.post(t, n.now())
			n.post(listWord{watch: own, event: e, read: n.now()})
		})
		lost := scheduler.WatchClosed{}
		if ctx.Err() == nil { // else it was let go
			n.log.Warn("watch of the worker list lost", "error", err)
			lost.Unreadable = errors.Is(err, errNoList)
		}
		n.post(listWord{watch: own, event: lost, sure: spoke.sure()})
	})
}

// watchSaid takes a word of a watch.
func (n *Node) watchSaid(m listWord) (err error) {
	switch e := m.event.(type) {
	case scheduler.EndpointsUpdated:
		heard := e.AsOf
		if late := n.now() - m.read; m.read != 0 && late > n.told.grace/2 && n.told.grace > 0 {
			n.log.Warn("a word of discovery is taken in late", "rev", e.List.Rev, "ms", late/millisecond)
		}
		if m.watch == n.watch {
			n.heard.Store(true)
			if n.before != nil {
				n.before.release()
				n.before = nil
			}
		} else {
			e.FromPreviousWatch, heard = true, 0
		}
		err = n.step(e)
		n.told.apply(heard) // only now: those who leave are known
	case scheduler.WatchClosed:
		if m.watch.ended = true; m.watch != n.watch {
			m.sure = 0 // nothing hangs on it any more
		}
		e.ValidUntil = n.told.lost(m.sure, e.Unreadable)
		switch m.watch {
		case n.watch:
			err = n.step(e)
		case n.before:
			n.before = nil
		}
	}
	return err
}

// errNoList is the error of a word that cannot be read. What it has told is unknown.
var errNoList = errors.New("no list")

// follow reads one watch until it ends.
func (n *Node) follow(ctx context.Context, w scheduler.OpenWatch, say func(scheduler.EndpointsUpdated, *tap)) error {
	dialer := net.Dialer{Deadline: time.Now().Add(n.answerWithin), KeepAlive: -1}
	conn, err := dialer.DialContext(ctx, "tcp", w.Addr)
	if err != nil {
		return err
	}
	defer conn.Close()
	tap, err := n.told.tapped(conn, n.now)
	if err != nil {
		return err
	}
	defer tap.close()
	defer context.AfterFunc(ctx, func() { conn.SetDeadline(time.Now()) })()
	conn.SetDeadline(dialer.Deadline)
	target := membersPath + "?watch=1&from=" + strconv.FormatInt(w.Rev, 10)
	ask := http1.AppendRequest(nil, "GET", target, []http1.Field{{Name: "Host", Value: w.Addr}}, nil)
	if _, err := conn.Write(ask); err != nil {
		return err
	}
	read := http1.NewReader(tap)
	head, err := read.Head()
	if err != nil {
		return err
	}
	if head.Status != 200 || head.Header.Get("Transfer-Encoding") != "chunked" {
		return fmt.Errorf("discovery answered %d", head.Status)
	}
	n.log.Info("watch of the worker list open", "discovery", w.Addr, "from", w.Rev)
	lines := bufio.NewScanner(read.Chunks())
	lines.Buffer(nil, longestLine)
	lines.Split(wholeLines)
	for begun := false; lines.Scan(); {
		if ctx.Err() == nil { // else the end of what has come is near
			conn.SetReadDeadline(time.Now().Add(n.silentFor))
		}
		var t scheduler.WorkerList
		if line := bytes.TrimSpace(lines.Bytes()); len(line) > 0 {
			var odd error
			if t, odd, err = DecodeList(line); err != nil {
				return fmt.Errorf("%w: %w", errNoList, err)
			} else if odd != nil {
				n.log.Warn("an entry of the worker list is no use", "rev", t.Rev, "why", odd)
			}
			begun = true
		}
		if begun { // before the first object an empty line says nothing of what there is
			say(scheduler.EndpointsUpdated{List: t}, tap)
		}
	}
	switch err := lines.Err(); {
	case errors.Is(err, bufio.ErrTooLong):
		return fmt.Errorf("%w: %w", errNoList, err)
	case err != nil:
		return err
	}
	return fmt.Errorf("discovery ended the watch")
}

// wholeLines splits off lines. What is left without an end is none: it has not been told.
func wholeLines(data []byte, atEOF bool) (advance int, token []byte, err error) {
	if end := bytes.IndexByte(data, '\n'); end >= 0 {
		return end + 1, data[:end], nil
	}
	if atEOF {
		return len(data), nil, nil
	}
	return 0, nil, nil
}
