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
	heartbeatInterval = 2 * time.Second // between two blank lines of a watch on which nothing changes
	// maxChanges is how many changes are kept for those who ask from a version on, and the most that
	// may wait for a watch that does not read.
	maxChanges = 8192
)

// discovery shows all entries to all schedulers. Each scheduler has an address of its own for it,
// which all are this one. It writes each change as a line, as soon as the watch takes it.
type discovery struct {
	port     int
	mu       sync.Mutex
	server   *fakes.Server // nil while it is down
	revision int64
	// first is the version after which changes are known; a restart forgets them.
	first     int64
	changes   [][]byte // the words from first+1 on, as chunks
	endpoints []fakes.Endpoint
	watches   map[*watcher]bool
	closed    chan struct{} // closed when it goes down

	traffic                  []traffic // by scheduler
	fullLists, watchesOpened atomic.Int64
}

// watcher is one open watch.
type watcher struct {
	sent  int64         // the version up to which it has been told
	ready chan struct{} // holds one when there is more to tell
}

type update struct {
	Rev       int64            `json:"rev"`
	All       bool             `json:"all"`
	Endpoints []fakes.Endpoint `json:"targets"`
}

func (w update) chunk() []byte {
	raw, err := json.Marshal(w)
	if err != nil {
		panic(err) // plain strings and numbers
	}
	return fmt.Appendf(nil, "%x\r\n%s\n\r\n", len(raw)+1, raw)
}

func newDiscovery(schedulers int, lines []fakes.Endpoint) (*discovery, error) {
	d := &discovery{revision: 1, first: 1, endpoints: lines, traffic: make([]traffic, schedulers)}
	return d, d.open()
}

// open begins to listen: at the port that it had, if it had one.
func (d *discovery) open() error {
	l, err := listenLoopback(d.port)
	if err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.port = portOf(l)
	d.watches, d.closed = map[*watcher]bool{}, make(chan struct{})
	d.server = fakes.Serve(l, d.serve)
	return nil
}

// close goes down: connections are reset, and new ones refused.
func (d *discovery) close() {
	d.mu.Lock()
	http := d.server
	if d.server = nil; http != nil {
		close(d.closed)
	}
	d.mu.Unlock()
	if http != nil {
		http.Close()
	}
}

// dropHistory drops which entries have changed, so that whoever is behind needs the whole list.
func (d *discovery) dropHistory() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.first, d.changes = d.revision, nil
}

// addr is where the i-th scheduler finds it.
func (d *discovery) addr(i int) string { return workerAddress(i, d.port) }

// publish changes entries, in one word each or in one for all. Entries are known by their place.
func (d *discovery) publish(places []int, change func(*fakes.Endpoint), one bool) (words int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var w update
	for i, place := range places {
		change(&d.endpoints[place])
		w.Endpoints = append(w.Endpoints, d.endpoints[place])
		if one && i < len(places)-1 {
			continue
		}
		d.revision++
		w.Rev = d.revision
		d.changes = append(d.changes, w.chunk())
		w.Endpoints = nil
		words++
	}
	if over := len(d.changes) - maxChanges; over > 0 {
		d.changes, d.first = d.changes[over:], d.first+int64(over)
	}
	for watch := range d.watches {
		select {
		case watch.ready <- struct{}{}:
		default:
		}
	}
	return words
}

// fullList is the list as a whole, without those that are gone. The caller holds mu.
func (d *discovery) fullList() update {
	w := update{Rev: d.revision, All: true, Endpoints: make([]fakes.Endpoint, 0, len(d.endpoints))}
	for _, line := range d.endpoints {
		if line.State != "gone" {
			w.Endpoints = append(w.Endpoints, line)
		}
	}
	return w
}

// next has the words that a watch has not been told yet, nil if it is too far behind.
func (d *discovery) next(w *watcher) [][]byte {
	d.mu.Lock()
	defer d.mu.Unlock()
	if w.sent < d.first {
		return nil
	}
	words := d.changes[w.sent-d.first:]
	w.sent = d.revision
	return append([][]byte{}, words...)
}

func (d *discovery) serve(plain net.Conn) {
	who := addressIndex(plain)
	if who < 0 || who >= len(d.traffic) {
		return
	}
	conn := countedConn{plain, &d.traffic[who]}
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
		raw, err := json.Marshal(d.fullList())
		d.mu.Unlock()
		if err == nil {
			d.fullLists.Add(1)
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
	d.watchesOpened.Add(1)
	w := &watcher{ready: make(chan struct{}, 1)}
	d.mu.Lock()
	over := d.closed
	var first []byte
	if from >= d.first && from <= d.revision {
		w.sent = from
		if from == d.revision { // the first object says what there is, even if that is nothing new
			first = update{Rev: d.revision, Endpoints: []fakes.Endpoint{}}.chunk()
		}
	} else {
		w.sent = d.revision
		first = d.fullList().chunk()
		d.fullLists.Add(1)
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
	beat := time.NewTicker(heartbeatInterval)
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
			beat.Reset(heartbeatInterval)
		}
		select {
		case <-over:
			return
		case <-w.ready:
		case <-beat.C:
			if _, err := conn.Write([]byte("1\r\n\n\r\n")); err != nil {
				return
			}
		}
	}
}
