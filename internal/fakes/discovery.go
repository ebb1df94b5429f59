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
	Model  string `json:"model"`
	Group  int    `json:"pod_group"`
	State  string `json:"state"` // ready, draining or gone
	BootMs int64  `json:"boot_ms"`
}

type list struct {
	Rev     int64      `json:"rev"`
	All     bool       `json:"all"`
	Targets []Endpoint `json:"targets"`
}

// Discovery serves the worker list. Changes go out to open watches at once.
type Discovery struct {
	server
	list    sync.Mutex
	rev     int64
	lines   []Endpoint
	watches map[chan list]bool
	over    chan struct{}
}

// heartbeat is the time between two blank lines of a watch on which nothing changes.
const heartbeat = 2 * time.Second

// NewDiscovery opens a discovery that lists some workers.
func NewDiscovery(addr string, lines ...Endpoint) (*Discovery, error) {
	d := &Discovery{rev: 1, lines: lines, watches: map[chan list]bool{}, over: make(chan struct{})}
	return d, d.listen(addr, d.serve)
}

// Addr is where it listens.
func (d *Discovery) Addr() string { return d.addr() }

// Close ends it, and its watches.
func (d *Discovery) Close() {
	close(d.over)
	d.close()
}

// ResetWatches ends all watches; they can be opened again at once.
func (d *Discovery) ResetWatches() { d.reset() }

// Update changes one line, or adds it. With the state gone it is taken off the list.
func (d *Discovery) Update(line Endpoint) {
	d.list.Lock()
	defer d.list.Unlock()
	d.rev++
	kept := d.lines[:0:0]
	for _, l := range d.lines {
		if l.UID != line.UID {
			kept = append(kept, l)
		}
	}
	if line.State != "gone" {
		kept = append(kept, line)
	}
	d.lines = kept
	for w := range d.watches {
		select {
		case w <- list{Rev: d.rev, Targets: []Endpoint{line}}:
		default: // it does not read: its watch ends, and the next one has the whole list
			delete(d.watches, w)
			close(w)
		}
	}
}

func (d *Discovery) whole() list {
	return list{Rev: d.rev, All: true, Targets: append([]Endpoint{}, d.lines...)}
}

func (d *Discovery) serve(conn net.Conn) {
	m, err := http1.NewReader(conn).Request()
	if err != nil {
		return
	}
	d.list.Lock()
	first := d.whole()
	changes := make(chan list, 64)
	watch := strings.Contains(m.Target, "watch=1")
	if watch {
		d.watches[changes] = true
	}
	d.list.Unlock()
	if !watch {
		raw, err := json.Marshal(first)
		if err == nil {
			conn.Write(http1.AppendResponse(nil, 200, nil, raw))
		}
		return
	}
	defer func() {
		d.list.Lock()
		delete(d.watches, changes)
		d.list.Unlock()
	}()
	if _, err := fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"); err != nil {
		return
	}
	say := func(t list) bool {
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
	beat := time.NewTicker(heartbeat)
	defer beat.Stop()
	for {
		select {
		case <-d.over:
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
