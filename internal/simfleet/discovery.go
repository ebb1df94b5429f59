package simfleet

import (
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"dahliaford/internal/endpoints"
	"dahliaford/internal/fakes"
	"dahliaford/internal/http1"
)

// maxChanges is how many changes are kept for watches that start at an earlier revision, and how many may
// wait for a watch that does not read.
const maxChanges = 8192

// grouping is how discovery sends several changed entries.
type grouping string

const (
	linePerEntry grouping = "a line each"
	singleLine   grouping = "in one line"
)

// discovery shows all entries to all schedulers. Each scheduler has an address of its own for it, which
// are all this one. It writes each change as a line, as soon as the watch takes it.
type discovery struct {
	mu      sync.Mutex
	port    int
	server  *fakes.Server // nil while it is down
	table   *endpoints.Table
	watches map[*watcher]bool
	closed  chan struct{} // closed when it goes down

	traffic                  []traffic // by scheduler
	fullLists, watchesOpened atomic.Int64
}

// watcher is one open watch.
type watcher struct {
	sent  int64         // the revision up to which it has been sent the changes
	ready chan struct{} // holds one when there is more to send
}

func newDiscovery(schedulers int, entries []endpoints.Endpoint) (*discovery, error) {
	d := &discovery{table: endpoints.NewTable(maxChanges, entries...), traffic: make([]traffic, schedulers)}
	return d, d.open()
}

// open begins to listen: on the port that it had, if it had one.
func (d *discovery) open() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	l, err := listenLoopback(d.port)
	if err != nil {
		return err
	}
	d.port = portOf(l.Addr())
	d.watches, d.closed = map[*watcher]bool{}, make(chan struct{})
	d.server = fakes.Serve(l, d.serve)
	return nil
}

// close goes down: connections are reset, and new ones refused.
func (d *discovery) close() {
	d.mu.Lock()
	server := d.server
	d.server = nil
	if server != nil {
		close(d.closed)
	}
	d.mu.Unlock()
	if server != nil {
		server.Close()
	}
}

// dropHistory forgets which entries have changed, so that whoever is behind needs the full list.
func (d *discovery) dropHistory() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.table.DropHistory()
}

// addr is where a scheduler finds discovery.
func (d *discovery) addr(scheduler int) string { return loopbackAddress(scheduler, d.port) }

// publish changes the entries of workers and sends them to all watches. It returns the number of lines.
func (d *discovery) publish(workers []int, change func(*endpoints.Endpoint), how grouping) (lines int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	changed := make([]endpoints.Endpoint, 0, len(workers))
	for _, worker := range workers {
		entry := d.table.At(worker)
		change(&entry)
		changed = append(changed, entry)
	}
	switch {
	case len(changed) == 0:
	case how == singleLine:
		d.table.Publish(changed...)
		lines = 1
	default:
		for _, entry := range changed {
			d.table.Publish(entry)
		}
		lines = len(changed)
	}
	for watch := range d.watches {
		select {
		case watch.ready <- struct{}{}:
		default: // it has not taken the last signal yet
		}
	}
	return lines
}

// pending returns the changes that a watch has not been sent yet; ok is false if it is too far behind.
func (d *discovery) pending(w *watcher) (chunks [][]byte, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	chunks, ok = d.table.ChunksSince(w.sent)
	w.sent = d.table.Revision()
	return chunks, ok
}

// serve answers the one request of a connection.
func (d *discovery) serve(plain net.Conn) {
	scheduler := addressIndex(plain)
	if scheduler < 0 || scheduler >= len(d.traffic) {
		return
	}
	conn := countedConn{plain, &d.traffic[scheduler]}
	m, err := http1.NewReader(conn).Request()
	if err != nil {
		return
	}
	target, err := url.Parse(m.Target)
	if err != nil || target.Path != "/catalog/members" {
		// The connection ends either way.
		_, _ = conn.Write(http1.AppendResponse(nil, http.StatusNotFound, nil, nil))
		return
	}
	if target.Query().Get("watch") != "1" {
		d.sendFullList(conn)
		return
	}
	from, err := strconv.ParseInt(target.Query().Get("from"), 10, 64)
	if err != nil {
		from = 0 // a revision that is never known
	}
	d.watch(conn, from)
}

func (d *discovery) sendFullList(conn net.Conn) {
	d.mu.Lock()
	body := d.table.Full().JSON()
	d.mu.Unlock()
	d.fullLists.Add(1)
	// The connection ends either way.
	_, _ = conn.Write(http1.AppendResponse(nil, http.StatusOK, nil, body))
}

// watch serves a watch from a revision on, until discovery goes down, the connection fails or the watch
// has not read for too long.
func (d *discovery) watch(conn net.Conn, from int64) {
	d.watchesOpened.Add(1)
	w, first, closed := d.addWatch(from)
	defer d.removeWatch(w)
	head := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	if _, err := conn.Write(append([]byte(head), first...)); err != nil {
		return
	}
	heartbeat := time.NewTicker(endpoints.HeartbeatInterval)
	defer heartbeat.Stop()
	for {
		chunks, ok := d.pending(w)
		if !ok {
			return // it has not read for too long
		}
		for _, chunk := range chunks {
			if _, err := conn.Write(chunk); err != nil {
				return
			}
		}
		if len(chunks) > 0 {
			heartbeat.Reset(endpoints.HeartbeatInterval)
		}
		select {
		case <-closed:
			return
		case <-w.ready:
		case <-heartbeat.C:
			if _, err := conn.Write(endpoints.Message{}.Chunk()); err != nil {
				return
			}
		}
	}
}

// addWatch registers a watch. first is what it is sent before any change: the full list, unless the
// revision is known; closed is closed when discovery goes down.
func (d *discovery) addWatch(from int64) (w *watcher, first []byte, closed <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	w = &watcher{sent: d.table.Revision(), ready: make(chan struct{}, 1)}
	switch {
	case !d.table.HistoryCovers(from):
		first = d.table.Full().Chunk()
		d.fullLists.Add(1)
	case from == d.table.Revision():
		// The first message says what there is, even if that is nothing new.
		first = endpoints.Message{Revision: from}.Chunk()
	default:
		w.sent = from
	}
	d.watches[w] = true
	return w, first, d.closed
}

func (d *discovery) removeWatch(w *watcher) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.watches, w)
}
