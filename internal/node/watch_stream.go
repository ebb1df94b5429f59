package node

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"time"

	"dahliaford/internal/http1"
	"dahliaford/internal/scheduler"
)

const (
	membersPath = "/catalog/members"

	// watchOpenTimeout is the longest that discovery may take to open a watch. A call that waits longer
	// there fails.
	watchOpenTimeout = 4 * time.Second
	// agentOpenTimeout is the same where lists are pushed: the agent answers at once, or not before
	// discovery is back. Then another call is better than to go on waiting for this one.
	agentOpenTimeout = time.Second
	// watchIdleTimeout is the longest between two lines of a watch. One comes every 2 s, and a change is in
	// force 6 s after it was made whether it arrives or not, so a dead watch must be detected, and a new one
	// opened, well within that time.
	watchIdleTimeout = 3 * time.Second

	// defaultMaxStaleness is how long after it was made a change is in force, whether it arrived or not.
	defaultMaxStaleness = 6 * time.Second

	maxLineBytes = 4 << 20 // of one object
)

var (
	// errUnreadableList is the error of an update that cannot be read. What it changes is unknown.
	errUnreadableList = errors.New("unreadable worker list")
	errWatchEnded     = errors.New("discovery ended the watch")
)

// readWatch opens a watch, calls deliver for each of its updates, and returns why the watch has ended.
func (n *Node) readWatch(
	ctx context.Context, open scheduler.OpenWatch, deliver func(scheduler.EndpointsUpdated, *watchReader),
) error {
	dialer := net.Dialer{Deadline: time.Now().Add(n.watchOpenTimeout), KeepAlive: -1}
	conn, err := dialer.DialContext(ctx, "tcp", open.Addr)
	if err != nil {
		return err // it names the operation and the address
	}
	defer conn.Close()
	reader, err := n.freshness.newWatchReader(conn, n.now)
	if err != nil {
		return fmt.Errorf("open watch at %s: %w", open.Addr, err)
	}
	defer reader.close()
	defer context.AfterFunc(ctx, func() { conn.SetDeadline(time.Now()) })()
	conn.SetDeadline(dialer.Deadline)
	body, err := requestWatch(conn, reader, open)
	if err != nil {
		return fmt.Errorf("open watch at %s: %w", open.Addr, err)
	}
	n.log.Info("watch of the worker list open", "discovery", open.Addr, "from", open.Revision)
	extendDeadline := func() {
		if ctx.Err() == nil { // else the end of what has arrived is near
			conn.SetReadDeadline(time.Now().Add(n.watchIdleTimeout))
		}
	}
	err = n.readUpdates(body, extendDeadline, func(list scheduler.WorkerList) {
		deliver(scheduler.EndpointsUpdated{List: list}, reader)
	})
	return fmt.Errorf("read watch of %s: %w", open.Addr, err)
}

// requestWatch sends the request for a watch and returns the body of its response.
func requestWatch(conn net.Conn, reader io.Reader, open scheduler.OpenWatch) (body io.Reader, err error) {
	target := membersPath + "?watch=1&from=" + strconv.FormatInt(open.Revision, 10)
	host := []http1.Field{{Name: "Host", Value: open.Addr}}
	if _, err := conn.Write(http1.AppendRequest(nil, "GET", target, host, nil)); err != nil {
		return nil, err
	}
	messages := http1.NewReader(reader)
	head, err := messages.Head()
	if err != nil {
		return nil, err
	}
	if head.Status != 200 || head.Header.Get("Transfer-Encoding") != "chunked" {
		return nil, fmt.Errorf("discovery answered %d", head.Status)
	}
	return messages.Chunks(), nil
}

// readUpdates reads the lines of a watch. It calls lineRead after each of them, and deliver for each that
// says what the list is: an object, or an empty line behind one, which confirms it.
func (n *Node) readUpdates(body io.Reader, lineRead func(), deliver func(scheduler.WorkerList)) error {
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxLineBytes)
	lines.Split(splitLines)
	for begun := false; lines.Scan(); {
		lineRead()
		var list scheduler.WorkerList
		if line := bytes.TrimSpace(lines.Bytes()); len(line) > 0 {
			var invalid, err error
			if list, invalid, err = DecodeList(line); err != nil {
				return fmt.Errorf("%w: %w", errUnreadableList, err)
			}
			if invalid != nil {
				n.log.Warn("an entry of the worker list is unusable", "rev", list.Revision, "why", invalid)
			}
			begun = true
		}
		if begun { // before the first object an empty line says nothing of the list
			deliver(list)
		}
	}
	switch err := lines.Err(); {
	case errors.Is(err, bufio.ErrTooLong):
		return fmt.Errorf("%w: %w", errUnreadableList, err)
	case err != nil:
		return err
	}
	return errWatchEnded
}

// splitLines is a bufio.SplitFunc. It drops the rest of the stream behind the last newline: that part has not
// been sent completely, so it is not in force.
func splitLines(data []byte, atEOF bool) (advance int, token []byte, err error) {
	if end := bytes.IndexByte(data, '\n'); end >= 0 {
		return end + 1, data[:end], nil
	}
	if atEOF {
		return len(data), nil, nil
	}
	return 0, nil, nil
}
