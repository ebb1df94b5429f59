package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// target is an entry of the worker list.
type target struct {
	UID      string  `json:"uid"`
	Endpoint string  `json:"endpoint"`
	Zone     string  `json:"az"`
	Model    string  `json:"model"`
	Group    int     `json:"pod_group"`
	State    string  `json:"state"`
	Hint     float64 `json:"capacity_hint"`
	Boot     int64   `json:"boot_ms"`
}

// message is a line of a watch, or the complete list.
type message struct {
	Revision int      `json:"rev"`
	All      bool     `json:"all"`
	Targets  []target `json:"targets"`
}

// discovery is a stand-in for the discovery service. Every watch begins with the complete list.
type discovery struct {
	addr string

	mu       sync.Mutex
	revision int
	targets  map[string]target
	watches  map[chan message]bool
}

// newDiscovery starts a discovery service with the given entries.
func newDiscovery(r *rig, entries ...target) *discovery {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	r.check(err, "start discovery")
	d := &discovery{addr: listener.Addr().String(), revision: 1, targets: map[string]target{},
		watches: map[chan message]bool{}}
	for _, e := range entries {
		d.targets[e.UID] = e
	}
	server := &http.Server{Handler: http.HandlerFunc(d.serve)}
	go func() { _ = server.Serve(listener) }()
	return d
}

// list returns the complete list. The caller holds the mutex.
func (d *discovery) list() message {
	m := message{Revision: d.revision, All: true, Targets: []target{}}
	for _, t := range d.targets {
		if t.State != "gone" {
			m.Targets = append(m.Targets, t)
		}
	}
	return m
}

func (d *discovery) serve(w http.ResponseWriter, q *http.Request) {
	if q.URL.Path != "/catalog/members" {
		http.NotFound(w, q)
		return
	}
	changes := make(chan message, 64)
	d.mu.Lock()
	first := d.list()
	watching := q.URL.Query().Get("watch") == "1"
	if watching {
		d.watches[changes] = true
	}
	d.mu.Unlock()
	raw, _ := json.Marshal(first)
	_, _ = fmt.Fprintf(w, "%s\n", raw)
	if !watching {
		return
	}
	defer func() {
		d.mu.Lock()
		delete(d.watches, changes)
		d.mu.Unlock()
	}()
	flusher := http.NewResponseController(w)
	_ = flusher.Flush()
	heartbeat := time.NewTicker(2 * time.Second)
	defer heartbeat.Stop()
	for {
		line := []byte{}
		select {
		case <-q.Context().Done():
			return
		case <-heartbeat.C:
		case m := <-changes:
			line, _ = json.Marshal(m)
		}
		_, _ = fmt.Fprintf(w, "%s\n", line)
		if flusher.Flush() != nil {
			return
		}
	}
}
