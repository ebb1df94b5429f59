package fakes

import (
	"encoding/json"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"

	"dahliaford/internal/http1"
)

// Endpoint is one line of the worker list.
type Endpoint struct {
	UID    string `json:"uid"`
	Addr   string `json:"endpoint"`
	Zone   string `json:"az"`
	Kind   string `json:"model"`
	Cell   int    `json:"pod_group"`
	State  string `json:"state"` // ready, draining or gone
	BootMs int64  `json:"boot_ms"`
}

type update struct {
	Rev       int64      `json:"rev"`
	All       bool       `json:"all"`
	Endpoints []Endpoint `json:"targets"`
}

// Discovery serves the worker list. Changes go out to open watches at once.
type Discovery struct {
	server
	mu        sync.Mutex
	rev       int64
	endpoints []Endpoint
	watches   map[chan update]bool
	closed    chan struct{}
}

// heartbeatInterval is the time between two blank lines of a watch on which nothing changes.
const heartbeatInterval = 2 * time.Second

// NewDiscovery opens a discovery that lists some workers.
func NewDiscovery(addr string, lines ...Endpoint) (*Discovery, error) {
	d := &Discovery{rev: 1, endpoints: lines, watches: map[chan update]bool{}, closed: make(chan struct{})}
	return d, d.listen(addr, d.serve)
}

// Addr is where it listens.
func (d *Discovery) Addr() string { return d.addr() }

// Close ends it, and its watches.
func (d *Discovery) Close() {
	close(d.closed)
	d.close()
}

// ResetWatches ends all watches; they can be opened again at once.
func (d *Discovery) ResetWatches() { d.resetAll() }

// Update changes one line, or adds it. With the state gone it is taken off the list.
func (d *Discovery) Update(line Endpoint) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.rev++
	kept := d.endpoints[:0:0]
	for _, l := range d.endpoints {
		if l.UID != line.UID {
			kept = append(kept, l)
		}
	}
	if line.State != "gone" {
		kept = append(kept, line)
	}
	d.endpoints = kept
	for w := range d.watches {
		select {
		case w <- update{Rev: d.rev, Endpoints: []Endpoint{line}}:
		default: // it does not read: its watch ends, and the next one has the whole list
			delete(d.watches, w)
			close(w)
		}
	}
}

func (d *Discovery) fullList() update {
	return update{Rev: d.rev, All: true, Endpoints: append([]Endpoint{}, d.endpoints...)}
}

func (d *Discovery) serve(conn net.Conn) {
	m, err := http1.NewReader(conn).Request()
	if err != nil {
		return
	}
	d.mu.Lock()
	first := d.fullList()
	changes := make(chan update, 64)
	watch := strings.Contains(m.Target, "watch=1")
	if watch {
		d.watches[changes] = true
	}
	d.mu.Unlock()
	if !watch {
		raw, err := json.Marshal(first)
		if err == nil {
			conn.Write(http1.AppendResponse(nil, 200, nil, raw))
		}
		return
	}
	defer func() {
		d.mu.Lock()
		delete(d.watches, changes)
		d.mu.Unlock()
	}()
	if _, err := fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"); err != nil {
		return
	}
	say := func(t update) bool {
		raw, err := json.Marshal(t)
		if err != nil {
			return false
		}
		_, err = fmt.Fprintf(conn, "%x\r\n%s\n\r\n", len(raw)+1, raw)
		return err == nil
	}
	if !say(first) {
		return
	}
	beat := time.NewTicker(heartbeatInterval)
	defer beat.Stop()
	for {
		select {
		case <-d.closed:
			return
		case t, open := <-changes:
			if !open || !say(t) {
				return
			}
		case <-beat.C:
			if _, err := fmt.Fprint(conn, "1\r\n\n\r\n"); err != nil {
				return
			}
		}
	}
}
