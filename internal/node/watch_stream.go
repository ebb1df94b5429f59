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

	// watchOpenTimeout is how long discovery may take to respond to the request for a watch. Discovery fails
	// requests that wait longer.
	watchOpenTimeout = 4 * time.Second
	// agentOpenTimeout replaces watchOpenTimeout where a discovery agent on the machine pushes the worker lists.
	// The agent responds at once while discovery is up, and never responds to a request that it gets while
	// discovery is down. So a new request succeeds sooner than a longer wait would.
	agentOpenTimeout = time.Second
	// watchIdleTimeout is the longest time between two lines of a watch. Discovery sends a line every
	// 2 s. A change of the list takes effect 6 s after it was made even if it does not arrive, so a dead
	// watch must be detected, and a new one opened, well within 6 s.
	watchIdleTimeout = 3 * time.Second

	// defaultMaxStaleness is the time after which a change of the worker list takes effect even if the node
	// has not received the change.
	defaultMaxStaleness = 6 * time.Second

	maxLineBytes = 4 << 20 // maxLineBytes limits the length of a line, which holds one JSON object.
)

var (
	// errUnreadableList reports an update that cannot be decoded, so that its changes are unknown.
	errUnreadableList = errors.New("malformed update of the worker list")
	errWatchEnded     = errors.New("discovery closed the watch")
)

// readWatch opens a watch, calls deliver for each update of the worker list that the watch sends, and returns
// the error that ended the watch.
func (n *Node) readWatch(
	ctx context.Context, open scheduler.OpenWatch, deliver func(scheduler.EndpointsUpdated, *watchReader),
) error {
	dialer := net.Dialer{Deadline: time.Now().Add(n.watchOpenTimeout), KeepAlive: -1}
	conn, err := dialer.DialContext(ctx, "tcp", open.Addr)
	if err != nil {
		return err // The dialer's error names the operation and the address.
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
		// After a cancellation the read deadline has passed, and only data that has arrived already is read.
		if ctx.Err() == nil {
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
		return nil, fmt.Errorf("discovery responded with status %d", head.Status)
	}
	return messages.ChunkedBody(), nil
}

// readUpdates reads the lines of a watch. It calls onLine after each line. It calls deliver with the decoded
// list after each JSON object, and with an empty update after each empty line that follows an object: an
// empty line confirms that the list has not changed.
func (n *Node) readUpdates(body io.Reader, onLine func(), deliver func(scheduler.WorkerList)) error {
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxLineBytes)
	lines.Split(splitLines)
	for objectSeen := false; lines.Scan(); {
		onLine()
		var list scheduler.WorkerList
		if line := bytes.TrimSpace(lines.Bytes()); len(line) > 0 {
			var invalid, err error
			if list, invalid, err = DecodeList(line); err != nil {
				return fmt.Errorf("%w: %w", errUnreadableList, err)
			}
			if invalid != nil {
				n.log.Warn("worker list has an invalid entry", "rev", list.Revision, "why", invalid)
			}
			objectSeen = true
		}
		if objectSeen { // Before the first object an empty line does not confirm any list.
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

// splitLines is a bufio.SplitFunc that splits at newlines. It drops an incomplete last line of the stream: a
// change whose line was not sent completely has not taken effect.
func splitLines(data []byte, atEOF bool) (advance int, token []byte, err error) {
	if end := bytes.IndexByte(data, '\n'); end >= 0 {
		return end + 1, data[:end], nil
	}
	if atEOF {
		return len(data), nil, nil
	}
	return 0, nil, nil
}
