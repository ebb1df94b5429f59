package node

import (
	"bufio"
	"bytes"
	"context"
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
	// silentFor is the longest between two lines of a watch. One comes every 2 s, and
	// what it has to tell counts as told 6 s later whether it arrives or not, so a
	// dead watch must be found out, and a new one opened, well within these.
	silentFor = 3 * time.Second

	// toldWithin is how long after a change it counts as told, whether it arrived or not.
	toldWithin = 6 * time.Second

	longestLine = 4 << 20 // bytes of one object
)

// tableWord is what a watch says. The number tells whether it is the present one.
type tableWord struct {
	watch int
	event scheduler.Event
}

// openWatch opens a watch in place of the present one.
func (n *Node) openWatch(w scheduler.Watch) {
	if n.watch != nil {
		n.watch()
	}
	ctx, release := context.WithCancel(n.ctx)
	n.watch = release
	n.watches++
	number := n.watches
	n.spawn(func() {
		defer release()
		err := n.follow(ctx, w, func(e scheduler.Event) { n.post(tableWord{number, e}) })
		if ctx.Err() == nil {
			n.log.Warn("watch of the service table lost", "error", err)
			n.post(tableWord{number, scheduler.TableLost{}})
		}
	})
}

// follow reads one watch until it ends.
func (n *Node) follow(ctx context.Context, w scheduler.Watch, say func(scheduler.Event)) error {
	dialer := net.Dialer{Deadline: time.Now().Add(answerWithin), KeepAlive: -1}
	conn, err := dialer.DialContext(ctx, "tcp", w.Addr)
	if err != nil {
		return err
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.SetDeadline(time.Now()) })()
	conn.SetDeadline(dialer.Deadline)
	target := membersPath + "?watch=1&from=" + strconv.FormatInt(w.Rev, 10)
	ask := http1.AppendRequest(nil, "GET", target, []http1.Field{{Name: "Host", Value: w.Addr}}, nil)
	if _, err := conn.Write(ask); err != nil {
		return err
	}
	read := http1.NewReader(conn)
	head, err := read.Head()
	if err != nil {
		return err
	}
	if head.Status != 200 || head.Header.Get("Transfer-Encoding") != "chunked" {
		return fmt.Errorf("discovery answered %d", head.Status)
	}
	n.log.Info("watch of the service table open", "discovery", w.Addr, "from", w.Rev)
	lines := bufio.NewScanner(read.Chunks())
	lines.Buffer(nil, longestLine)
	for lines.Scan() {
		if err := ctx.Err(); err != nil {
			return err
		}
		conn.SetReadDeadline(time.Now().Add(silentFor))
		var t scheduler.Table
		if line := bytes.TrimSpace(lines.Bytes()); len(line) > 0 {
			if t, err = DecodeTable(line); err != nil {
				return err
			}
		}
		say(scheduler.TableRead{Table: t})
	}
	if err := lines.Err(); err != nil {
		return err
	}
	return fmt.Errorf("discovery ended the watch")
}
