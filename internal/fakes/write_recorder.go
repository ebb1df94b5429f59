package testcluster

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"dahliaford/internal/http1"
)

// WriteRecorder forwards connections of clients to a scheduler and records when the clients write requests
// with an idempotency key. It stands between the two so that the judgement of a client rests on what the
// client wrote, and not on what the client reports.
type WriteRecorder struct {
	listener  net.Listener
	scheduler string
	relays    sync.WaitGroup

	mu     sync.Mutex
	writes []KeyedWrite
	open   map[net.Conn]bool // the clients' ends of the open connections; nil once the recorder is closed
}

// KeyedWrite is a request with an idempotency key that a client has written completely.
type KeyedWrite struct {
	Key string
	At  time.Time // time at which the last byte of the request was read from the client
}

// NewWriteRecorder returns a WriteRecorder for the scheduler at an address. It listens on a free local port.
func NewWriteRecorder(scheduler string) (*WriteRecorder, error) {
	l, err := net.Listen("tcp", anyPortAddr)
	if err != nil {
		return nil, err
	}
	r := &WriteRecorder{listener: l, scheduler: scheduler, open: map[net.Conn]bool{}}
	r.relays.Go(r.accept)
	return r, nil
}

// Addr returns the address to which clients connect instead of the scheduler's.
func (r *WriteRecorder) Addr() string { return r.listener.Addr().String() }

// Writes returns the recorded requests of each connection in their order.
func (r *WriteRecorder) Writes() []KeyedWrite {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]KeyedWrite(nil), r.writes...)
}

// Close closes all connections.
func (r *WriteRecorder) Close() {
	_ = r.listener.Close() // an error means that the listener is closed already
	r.mu.Lock()
	for client := range r.open {
		_ = client.Close()
	}
	r.open = nil
	r.mu.Unlock()
	r.relays.Wait()
}

func (r *WriteRecorder) accept() {
	for {
		client, err := r.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err == nil && r.track(client) {
			r.relays.Go(func() { r.relay(client) })
		}
	}
}

// track registers a client's connection, or closes it if the recorder is closed.
func (r *WriteRecorder) track(client net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.open == nil {
		_ = client.Close()
		return false
	}
	r.open[client] = true
	return true
}

// relay forwards a connection until one of its ends closes it. If the scheduler accepts no connection, relay
// closes that of the client.
func (r *WriteRecorder) relay(client net.Conn) {
	defer r.release(client)
	scheduler, err := net.Dial("tcp", r.scheduler)
	if err != nil {
		return
	}
	r.relays.Go(func() {
		_, _ = io.Copy(client, scheduler) // an error is expected: either end may close the connection
		_ = client.Close()
	})
	defer scheduler.Close()
	// The reader reads each byte from the client and forwards it to the scheduler.
	requests := http1.NewReader(io.TeeReader(client, scheduler))
	for {
		request, err := requests.Request()
		if err != nil {
			return
		}
		r.record(request.Header.Get("Idempotency-Key"))
	}
}

func (r *WriteRecorder) release(client net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.open, client)
	_ = client.Close()
}

func (r *WriteRecorder) record(key string) {
	if key == "" {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.writes = append(r.writes, KeyedWrite{Key: key, At: time.Now()})
}
