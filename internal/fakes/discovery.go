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

// maxPendingChanges is the number of changes that are buffered for a watch whose client does not read. The
// watch ends when the buffer is full.
const maxPendingChanges = 64

// Discovery is a discovery service. It sends each change of the list of workers to all open watches at once.
// A new watch receives the full list first, whichever revision its client asks for.
type Discovery struct {
	server
	mu      sync.Mutex
	table   *endpoints.Table
	watches map[chan endpoints.Message]bool
	done    chan struct{} // channel that Close closes
}

// NewDiscovery starts a discovery service at an address, with the given entries of workers as its list.
func NewDiscovery(addr string, entries ...endpoints.Endpoint) (*Discovery, error) {
	d := &Discovery{table: endpoints.NewTable(0, entries...), watches: map[chan endpoints.Message]bool{},
		done: make(chan struct{})}
	if err := d.listen(addr, d.serve); err != nil {
		return nil, err
	}
	return d, nil
}

// Addr returns the address that the service listens on.
func (d *Discovery) Addr() string { return d.addr() }

// Close stops the service and ends its watches.
func (d *Discovery) Close() {
	close(d.done)
	d.close()
}

// ResetWatches resets the connections of all watches. Clients can open new watches at once.
func (d *Discovery) ResetWatches() { d.resetAll() }

// Update adds or replaces the entry of a worker at the end of the list, or, for the state Removed, takes the
// worker off the list. It sends the change to all watches.
func (d *Discovery) Update(e endpoints.Endpoint) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.table.MoveToEnd(e.UID)
	change := d.table.Publish(e)
	for watch := range d.watches {
		select {
		case watch <- change:
		default: // the buffer of the watch is full, so the watch ends; the next watch begins with the full list
			delete(d.watches, watch)
			close(watch)
		}
	}
}

// serve answers a single request on a connection: for the list, or for a watch.
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
	// The connection is closed after this answer, whether or not the write succeeds.
	_, _ = conn.Write(http1.AppendResponse(nil, http.StatusOK, nil, body))
}

// watch sends the full list and then each change, until the service is closed, the connection fails, or the
// buffer of the watch is full because its client does not read.
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
		var m endpoints.Message // the zero Message is a heartbeat
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
