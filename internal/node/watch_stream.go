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
