package main

import (
	"io"
	"net"
	"strings"
	"sync"
	"time"
)

// keyPrefix begins the header line of a key, in lower case.
const keyPrefix = "idempotency-key: "

// relay passes connections of clients on to a scheduler, and notes when a request with a key passes.
type relay struct {
	trial    *trial
	name     string
	listener net.Listener
	mu       sync.Mutex
	passed   map[string][]time.Time // by key
}

func (t *trial) newRelay(name, to string) (*relay, error) {
	l, err := net.Listen("tcp", anyAddr)
	if err != nil {
		return nil, err
	}
	r := &relay{trial: t, name: name, listener: l, passed: map[string][]time.Time{}}
	t.atEnd(func() { l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go r.pass(conn, to)
		}
	}()
	return r, nil
}

func (r *relay) addr() string { return r.listener.Addr().String() }

// stop refuses new connections from now on, as the machine of a dead scheduler does.
func (r *relay) stop() { r.listener.Close() }

// pass copies both directions of a connection until one side ends, and then closes both.
func (r *relay) pass(from net.Conn, to string) {
	defer from.Close()
	out, err := net.Dial("tcp", to)
	if err != nil {
		return
	}
	defer out.Close()
	go func() {
		_, _ = io.Copy(from, out)
		from.Close()
	}()
	var b [64 << 10]byte
	for {
		n, err := from.Read(b[:])
		// The client writes the head of a request at once.
		if _, rest, found := strings.Cut(strings.ToLower(string(b[:n])), keyPrefix); found {
			key, _, _ := strings.Cut(rest, "\r\n")
			r.notePassed(key)
		}
		if _, writeErr := out.Write(b[:n]); writeErr != nil || err != nil {
			return
		}
	}
}

func (r *relay) notePassed(key string) {
	r.trial.note("the client writes a request with key %s to %s", key, r.name)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.passed[key] = append(r.passed[key], time.Now())
}

// times returns when requests with a key passed.
func (r *relay) times(key string) []time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.passed[key]
}
