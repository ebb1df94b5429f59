package simfleet

import (
	"encoding/json"
	"fmt"
	"net"
	"net/url"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"dahliaford/internal/fakes"
	"dahliaford/internal/http1"
)

const (
	heartbeat = 2 * time.Second // between two blank lines of a watch on which nothing changes
	// mostKept is how many changes are kept for those who ask from a version on, and the most that
	// may wait for a watch that does not read.
	mostKept = 8192
)

// discovery shows all entries to all schedulers. Each scheduler has an address of its own for it,
// which all are this one. It writes each change as a line, as soon as the watch takes it.
type discovery struct {
	port int
	mu   sync.Mutex
	http *fakes.Server // nil while it is down
	rev  int64
	// first is the version after which changes are known; a restart forgets them.
	first   int64
	changes [][]byte // the words from first+1 on, as chunks
	lines   []fakes.Endpoint
	watches map[*hollowWatch]bool
	over    chan struct{} // closed when it goes down

	traffic        []traffic // by scheduler
	wholes, opened atomic.Int64
}

// hollowWatch is one open watch.
type hollowWatch struct {
	sent int64         // the version up to which it has been told
	more chan struct{} // holds one when there is more to tell
}

type word struct {
	Rev     int64            `json:"rev"`
	All     bool             `json:"all"`
	Targets []fakes.Endpoint `json:"targets"`
}

func (w word) chunk() []byte {
	raw, err := json.Marshal(w)
	if err != nil {
		panic(err) // plain strings and numbers
	}
	return fmt.Appendf(nil, "%x\r\n%s\n\r\n", len(raw)+1, raw)
}

func newDiscovery(schedulers int, lines []fakes.Endpoint) (*discovery, error) {
	d := &discovery{rev: 1, first: 1, lines: lines, traffic: make([]traffic, schedulers)}
	return d, d.open()
}

// open begins to listen: at the port that it had, if it had one.
func (d *discovery) open() error {
	l, err := listen(d.port)
	if err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.port = portOf(l)
	d.watches, d.over = map[*hollowWatch]bool{}, make(chan struct{})
	d.http = fakes.Serve(l, d.serve)
	return nil
}

// close goes down: connections are reset, and new ones refused.
func (d *discovery) close() {
	d.mu.Lock()
	http := d.http
	if d.http = nil; http != nil {
		close(d.over)
	}
	d.mu.Unlock()
	if http != nil {
		http.Close()
	}
}

// forget drops which entries have changed, so that whoever is behind needs the whole list.
func (d *discovery) forget() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.first, d.changes = d.rev, nil
}

// addr is where the i-th scheduler finds it.
func (d *discovery) addr(i int) string { return address(i, d.port) }

// tell changes entries, in one word each or in one for all. Entries are known by their place.
func (d *discovery) tell(places []int, change func(*fakes.Endpoint), one bool) (words int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var w word
	for i, place := range places {
		change(&d.lines[place])
		w.Targets = append(w.Targets, d.lines[place])
		if one && i < len(places)-1 {
			continue
		}
		d.rev++
		w.Rev = d.rev
		d.changes = append(d.changes, w.chunk())
		w.Targets = nil
		words++
	}
	if over := len(d.changes) - mostKept; over > 0 {
		d.changes, d.first = d.changes[over:], d.first+int64(over)
	}
	for watch := range d.watches {
		select {
		case watch.more <- struct{}{}:
		default:
		}
	}
	return words
}

// whole is the list as a whole, without those that are gone. The caller holds mu.
func (d *discovery) whole() word {
	w := word{Rev: d.rev, All: true, Targets: make([]fakes.Endpoint, 0, len(d.lines))}
	for _, line := range d.lines {
		if line.State != "gone" {
			w.Targets = append(w.Targets, line)
		}
	}
	return w
}

// next has the words that a watch has not been told yet, nil if it is too far behind.
func (d *discovery) next(w *hollowWatch) [][]byte {
	d.mu.Lock()
	defer d.mu.Unlock()
	if w.sent < d.first {
		return nil
	}
	words := d.changes[w.sent-d.first:]
	w.sent = d.rev
	return append([][]byte{}, words...)
}

func (d *discovery) serve(plain net.Conn) {
	who := number(plain)
	if who < 0 || who >= len(d.traffic) {
		return
	}
	conn := counted{plain, &d.traffic[who]}
	m, err := http1.NewReader(conn).Request()
	if err != nil {
		return
	}
	target, err := url.Parse(m.Target)
	if err != nil || target.Path != "/catalog/members" {
		conn.Write(http1.AppendResponse(nil, 404, nil, nil))
		return
	}
	if target.Query().Get("watch") != "1" {
		d.mu.Lock()
		raw, err := json.Marshal(d.whole())
		d.mu.Unlock()
		if err == nil {
			d.wholes.Add(1)
			conn.Write(http1.AppendResponse(nil, 200, nil, raw))
		}
		return
	}
	from, err := strconv.ParseInt(target.Query().Get("from"), 10, 64)
	if err != nil {
		from = 0
	}
	d.watch(conn, from)
}

// watch opens a watch from a version on, and keeps it open.
func (d *discovery) watch(conn net.Conn, from int64) {
	d.opened.Add(1)
	w := &hollowWatch{more: make(chan struct{}, 1)}
	d.mu.Lock()
	over := d.over
	var first []byte
	if from >= d.first && from <= d.rev {
		w.sent = from
		if from == d.rev { // the first object says what there is, even if that is nothing new
			first = word{Rev: d.rev, Targets: []fakes.Endpoint{}}.chunk()
		}
	} else {
		w.sent = d.rev
		first = d.whole().chunk()
		d.wholes.Add(1)
	}
	d.watches[w] = true
	d.mu.Unlock()
	defer func() {
		d.mu.Lock()
		delete(d.watches, w)
		d.mu.Unlock()
	}()
	head := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	if _, err := conn.Write(append([]byte(head), first...)); err != nil {
		return
	}
	beat := time.NewTicker(heartbeat)
	defer beat.Stop()
	for {
		words := d.next(w)
		if words == nil {
			return // it has not read for too long
		}
		for _, chunk := range words {
			if _, err := conn.Write(chunk); err != nil {
				return
			}
		}
		if len(words) > 0 {
			beat.Reset(heartbeat)
		}
		select {
		case <-over:
			return
		case <-w.more:
		case <-beat.C:
			if _, err := conn.Write([]byte("1\r\n\n\r\n")); err != nil {
				return
			}
		}
	}
}
