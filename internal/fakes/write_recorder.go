package fakes

import (
	"io"
	"net"
	"slices"
	"sync"
	"time"

	"dahliaford/internal/http1"
)

// WriteRecorder forwards connections of clients to a scheduler and records when the clients write requests
// with an idempotency key. It stands between the two so that the judgement of a client rests on what the
// client wrote, and not on what the client reports.
type WriteRecorder struct {
	server
	scheduler string

	writesMu sync.Mutex // guards writes
	writes   []KeyedWrite
}

// KeyedWrite is a request with an idempotency key that a client has written completely.
type KeyedWrite struct {
	Key string
	At  time.Time // time at which the last byte of the request was read from the client
}

// NewWriteRecorder returns a WriteRecorder that listens at an address, for the scheduler at another address.
func NewWriteRecorder(addr, scheduler string) (*WriteRecorder, error) {
	r := &WriteRecorder{scheduler: scheduler}
	if err := r.listen(addr, r.relay); err != nil {
		return nil, err
	}
	return r, nil
}

// Addr returns the address to which clients connect instead of the scheduler's.
func (r *WriteRecorder) Addr() string { return r.addr() }

// Close closes the listener and all connections.
func (r *WriteRecorder) Close() { r.close() }

// Writes returns the recorded requests, those of each connection in their order.
func (r *WriteRecorder) Writes() []KeyedWrite {
	r.writesMu.Lock()
	defer r.writesMu.Unlock()
	return slices.Clone(r.writes)
}

// relay forwards a connection until one of its ends closes it. If the scheduler accepts no connection, relay
// returns at once.
func (r *WriteRecorder) relay(client net.Conn) {
	scheduler, err := net.Dial("tcp", r.scheduler)
	if err != nil {
		return
	}
	var responses sync.WaitGroup
	responses.Go(func() {
		_, _ = io.Copy(client, scheduler) // an error is expected: either end may close the connection
		_ = client.Close()
	})
	defer responses.Wait()
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

func (r *WriteRecorder) record(key string) {
	if key == "" {
		return
	}
	r.writesMu.Lock()
	defer r.writesMu.Unlock()
	r.writes = append(r.writes, KeyedWrite{Key: key, At: time.Now()})
}
