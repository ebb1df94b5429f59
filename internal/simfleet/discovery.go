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

// maxChanges is the number of latest changes that discovery keeps. A watch that starts at an older revision
// gets the full list; a watch whose client has fallen behind by more changes is closed.
const maxChanges = 8192

// lineGrouping is the way in which discovery distributes several changed entries over lines of a watch.
type lineGrouping string

const (
	linePerEntry lineGrouping = "a line each"
	singleLine   lineGrouping = "in one line"
)

// discovery is a simulated discovery service. It lists all workers to all schedulers. Each scheduler connects
// to discovery at a different loopback address, which identifies the scheduler; a single listener accepts the
// connections to all addresses. Discovery writes each change as a line to every watch as soon as the watch's
// client reads.
type discovery struct {
	mu      sync.Mutex
	port    int
	server  *fakes.Server // nil while discovery is down
	table   *endpoints.Table
	watches map[*watcher]bool
	closed  chan struct{} // closed when discovery goes down; open creates a new channel

	traffic                  []traffic // bytes on the connections between discovery and each scheduler
	fullLists, watchesOpened atomic.Int64
}

// watcher is the state of an open watch.
type watcher struct {
	sentRevision int64         // revision up to which changes have been sent on the watch
	ready        chan struct{} // has capacity 1; holds a signal while there are changes to send
}

func newDiscovery(schedulers int, entries []endpoints.Endpoint) (*discovery, error) {
	d := &discovery{table: endpoints.NewTable(maxChanges, entries...), traffic: make([]traffic, schedulers)}
	return d, d.open()
}

// open opens the listener: on any free port at first, and on the previous port after close.
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

// close takes discovery down: it resets all connections, and the system refuses new ones until open.
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

// dropHistory discards the kept changes, so that a watch from an older revision needs the full list.
func (d *discovery) dropHistory() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.table.DropHistory()
}

// addr returns the address at which a scheduler connects to discovery.
func (d *discovery) addr(scheduler int) string { return loopbackAddress(scheduler, d.port) }

// publish changes the entries of workers and makes all watches send the changed entries, in one line for each
// entry or in a single line as grouping says. It returns the number of lines.
func (d *discovery) publish(workers []int, change func(*endpoints.Endpoint),
	grouping lineGrouping) (lines int) {
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
	case grouping == singleLine:
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
		default: // the previous signal is still pending and covers this change
		}
	}
	return lines
}

// pendingChunks returns the encoded changes that have not been sent on a watch yet. ok is false if discovery
// no longer keeps all of these changes.
func (d *discovery) pendingChunks(w *watcher) (chunks [][]byte, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	chunks, ok = d.table.ChunksSince(w.sentRevision)
	w.sentRevision = d.table.Revision()
	return chunks, ok
}

// serve answers a single request on a connection: for the full list, or for a watch.
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
		// The connection is closed after this answer, whether or not the write succeeds.
		_, _ = conn.Write(http1.AppendResponse(nil, http.StatusNotFound, nil, nil))
		return
	}
	if target.Query().Get("watch") != "1" {
		d.sendFullList(conn)
		return
	}
	from, err := strconv.ParseInt(target.Query().Get("from"), 10, 64)
	if err != nil {
		from = 0 // revisions start at 1, so revision 0 selects the full list
	}
	d.watch(conn, from)
}

func (d *discovery) sendFullList(conn net.Conn) {
	d.mu.Lock()
	body := d.table.Full().JSON()
	d.mu.Unlock()
	d.fullLists.Add(1)
	// The connection is closed after this answer, whether or not the write succeeds.
	_, _ = conn.Write(http1.AppendResponse(nil, http.StatusOK, nil, body))
}

// watch sends the changes after a revision on a connection, until discovery goes down, the connection fails,
// or the client has fallen behind by more changes than discovery keeps.
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
		chunks, ok := d.pendingChunks(w)
		if !ok {
			return // the client has fallen behind by more changes than discovery keeps
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

// addWatch registers a watch from a revision on. first is the message to send before any change: the full
// list if the changes since the revision are not kept, a message without entries if the revision is the
// present one, and otherwise nothing. closed is closed when discovery goes down.
func (d *discovery) addWatch(from int64) (w *watcher, first []byte, closed <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	w = &watcher{sentRevision: d.table.Revision(), ready: make(chan struct{}, 1)}
	switch {
	case !d.table.HistoryCovers(from):
		first = d.table.Full().Chunk()
		d.fullLists.Add(1)
	case from == d.table.Revision():
		// The first message tells the client at once that its revision is the present one.
		first = endpoints.Message{Revision: from}.Chunk()
	default:
		w.sentRevision = from
	}
	d.watches[w] = true
	return w, first, d.closed
}

func (d *discovery) removeWatch(w *watcher) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.watches, w)
}
