package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// heartbeat is the time between two empty lines of a watch.
const heartbeat = 2 * time.Second

// target is an entry of the worker list.
type target struct {
	UID      string  `json:"uid"`
	Endpoint string  `json:"endpoint"`
	Zone     string  `json:"az"`
	Kind     string  `json:"model"`
	Cell     int     `json:"pod_group"`
	State    string  `json:"state"`
	Hint     float64 `json:"capacity_hint"`
	Boot     int64   `json:"boot_ms"`
}

func ready(uid, endpoint string) target {
	return target{UID: uid, Endpoint: endpoint, Zone: "sousse", Kind: "fast-2c", Cell: 1, State: "ready",
		Hint: 1}
}

// discovery is a stand-in discovery service with a fixed list. It answers each call with the whole list.
type discovery struct {
	trial    *trial
	name     string
	rev      int
	targets  []target
	delay    time.Duration // how long a call waits for its turn
	server   *http.Server
	listener net.Listener

	mu      sync.Mutex
	written time.Time // when the whole list was first written; zero: not yet
}

func (t *trial) newDiscovery(
	name string, rev int, delay time.Duration, targets ...target,
) (*discovery, error) {
	l, err := net.Listen("tcp", anyAddr)
	if err != nil {
		return nil, err
	}
	d := &discovery{trial: t, name: name, rev: rev, targets: targets, delay: delay, listener: l}
	d.server = &http.Server{Handler: http.HandlerFunc(d.handle)}
	go func() { _ = d.server.Serve(l) }()
	t.atEnd(func() { _ = d.server.Close() })
	return d, nil
}

func (d *discovery) addr() string { return d.listener.Addr().String() }

// moveAway plays the end of a service that a new configuration has replaced: it takes no new connection and
// closes the open ones after 1.5 s.
func (d *discovery) moveAway() {
	d.listener.Close()
	time.AfterFunc(1500*time.Millisecond, func() {
		d.trial.note("discovery %s closes its connections", d.name)
		_ = d.server.Close()
	})
}

func (d *discovery) handle(out http.ResponseWriter, r *http.Request) {
	d.trial.note("discovery %s is called: %s", d.name, r.URL.RequestURI())
	select {
	case <-time.After(d.delay):
	case <-r.Context().Done():
		return
	}
	line, err := json.Marshal(map[string]any{"rev": d.rev, "all": true, "targets": d.targets})
	if err != nil {
		return
	}
	line = append(line, '\n')
	if r.URL.Query().Get("watch") != "1" {
		_, _ = out.Write(line)
		return
	}
	for {
		if _, err := out.Write(line); err != nil || http.NewResponseController(out).Flush() != nil {
			return
		}
		d.noteWritten(len(line) > 1)
		line = []byte("\n")
		select {
		case <-time.After(heartbeat):
		case <-r.Context().Done():
			d.trial.note("discovery %s: a watch has ended", d.name)
			return
		}
	}
}

func (d *discovery) noteWritten(list bool) {
	if !list {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.written.IsZero() {
		d.written = time.Now()
	}
	uids := []string{}
	for _, t := range d.targets {
		uids = append(uids, t.UID)
	}
	d.trial.note("discovery %s has written its whole list: %v", d.name, uids)
}

// awaitTold waits until the whole list has first been written, and returns when that was.
func (d *discovery) awaitTold(limit time.Duration) (time.Time, error) {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		d.mu.Lock()
		written := d.written
		d.mu.Unlock()
		if !written.IsZero() {
			return written, nil
		}
	}
	return time.Time{}, fmt.Errorf("discovery %s was not asked", d.name)
}
