package fakes

import (
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"dahliaford/internal/endpoints"
	"dahliaford/internal/http1"
)

// maxPendingChanges is how many changes may wait for a watch that does not read, before the watch ends.
const maxPendingChanges = 64

// Discovery serves the list of workers. Changes go out to open watches at once. Whoever opens a watch gets
// the full list first, from whatever revision.
type Discovery struct {
	server
	mu      sync.Mutex
	table   *endpoints.Table
	watches map[chan endpoints.Message]bool
	done    chan struct{} // closed when it stops
}

// NewDiscovery opens a discovery at an address that lists some workers.
func NewDiscovery(addr string, entries ...endpoints.Endpoint) (*Discovery, error) {
	d := &Discovery{table: endpoints.NewTable(0, entries...), watches: map[chan endpoints.Message]bool{},
		done: make(chan struct{})}
	if err := d.listen(addr, d.serve); err != nil {
		return nil, err
	}
	return d, nil
}

// Addr is the address that it listens on.
func (d *Discovery) Addr() string { return d.addr() }

// Close stops it, and ends its watches.
func (d *Discovery) Close() {
	close(d.done)
	d.close()
}

// ResetWatches resets all watches; they can be opened again at once.
func (d *Discovery) ResetWatches() { d.resetAll() }

// Update changes an entry, or adds it, and lists it last. With the state Removed it is taken off the list.
func (d *Discovery) Update(e endpoints.Endpoint) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.table.MoveToEnd(e.UID)
	change := d.table.Publish(e)
	for watch := range d.watches {
		select {
		case watch <- change:
		default: // it does not read: this watch ends, and the next one has the full list
			delete(d.watches, watch)
			close(watch)
		}
	}
}

// serve answers the one request of a connection.
func (d *Discovery) serve(conn net.Conn) {
	m, err := http1.NewReader(conn).Request()
	if err != nil {
		return
	}
	if strings.Contains(m.Target, "watch=1") {
		d.watch(conn)
		return
	}
	d.mu.Lock()
	body := d.table.Full().JSON()
	d.mu.Unlock()
	// The connection ends either way.
	_, _ = conn.Write(http1.AppendResponse(nil, http.StatusOK, nil, body))
}

// watch sends the full list and then each change, until discovery is closed, the connection fails or the
// other side has not read for too long.
func (d *Discovery) watch(conn net.Conn) {
	changes := make(chan endpoints.Message, maxPendingChanges)
	d.mu.Lock()
	first := d.table.Full()
	d.watches[changes] = true
	d.mu.Unlock()
	defer func() {
		d.mu.Lock()
		delete(d.watches, changes)
		d.mu.Unlock()
	}()
	head := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	if _, err := conn.Write(append([]byte(head), first.Chunk()...)); err != nil {
		return
	}
	heartbeat := time.NewTicker(endpoints.HeartbeatInterval)
	defer heartbeat.Stop()
	for {
		var m endpoints.Message // a heartbeat
		select {
		case <-d.done:
			return
		case change, open := <-changes:
			if !open {
				return
			}
			m = change
		case <-heartbeat.C:
		}
		if _, err := conn.Write(m.Chunk()); err != nil {
			return
		}
	}
}
