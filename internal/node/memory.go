package node

import (
	"errors"
	"sync"
	"time"

	"dahliaford/internal/http1"
	"dahliaford/internal/membudget"
	"dahliaford/internal/scheduler"
)

const (
	// 1/clientMemoryDivisor of the process's memory is for clients. The rest is for the runtime, the worker
	// list, the connections to workers, and garbage.
	clientMemoryDivisor = 2
	// connectionBytes is the memory that is set aside for each client connection: the stacks of its goroutines,
	// its read buffer, and a request of smallRequestBytes.
	connectionBytes = 16 << 10
	// At most 1/connectionMemoryDivisor of the memory for clients is set aside for connections.
	connectionMemoryDivisor = 2
	// smallRequestBytes is the size up to which a request reserves no memory of its own.
	smallRequestBytes = 4 << 10
	// memoryWait is the longest wait of a request for memory. A first request that waits twice must still get an
	// error within 3 s of the connection's accept.
	memoryWait = 400 * time.Millisecond
)

// The reasons why a request is given up for lack of memory.
var (
	errNoMemory      = errors.New("no memory for the request")
	errMemoryEvicted = errors.New("incomplete request evicted to free its memory")
)

// maxConnections returns the number of connections for which memory can be set aside.
func maxConnections(total int64) int {
	return max(int(total/connectionMemoryDivisor/connectionBytes), 1)
}

// clientMemory shares the memory budget of all clients between the goroutines of their connections.
type clientMemory struct {
	now    func() scheduler.Micros
	mu     sync.Mutex
	budget *membudget.Budget
	// timer evicts requests while a reservation waits.
	timer *time.Timer
}

// newClientMemory returns the part of the memory for clients that requests may reserve: total less the memory
// that is set aside for each connection, in bytes.
func newClientMemory(total int64, connections int, now func() scheduler.Micros) *clientMemory {
	m := &clientMemory{now: now, budget: membudget.New(total - int64(connections)*connectionBytes)}
	m.timer = time.AfterFunc(time.Hour, m.evict)
	m.timer.Stop()
	return m
}

// evict evicts incomplete requests while a reservation waits.
func (m *clientMemory) evict() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.evictLocked()
}

func (m *clientMemory) evictLocked() {
	now := m.now()
	if again := m.budget.EvictForWaiting(now); again != 0 {
		m.timer.Reset(time.Duration(again-now) * time.Microsecond)
	}
}

// used returns the reserved memory in bytes.
func (m *clientMemory) used() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.budget.Used()
}

// deadlineSetter is the part of a connection that evicting its request needs.
type deadlineSetter interface {
	SetReadDeadline(t time.Time) error
}

// requestMemory is the memory of one request. Only one goroutine at a time uses it.
type requestMemory struct {
	shared      *clientMemory
	conn        deadlineSetter
	begun       scheduler.Micros
	established bool
	account     *membudget.Account // account is nil until the request needs more than smallRequestBytes.
	granted     chan struct{}      // granted receives a value when a waiting reservation has been granted.
	evicted     chan struct{}      // evicted is closed when the request has been evicted.
	err         error              // err is the reason why the request gets no memory.
}

// newRequest returns the memory of a request that begins now.
func (m *clientMemory) newRequest(conn deadlineSetter, established bool) *requestMemory {
	return &requestMemory{shared: m, conn: conn, begun: m.now(), established: established}
}

// MemoryGranted implements membudget.Holder.
func (r *requestMemory) MemoryGranted() { r.granted <- struct{}{} }

// Evict implements membudget.Holder. It wakes the goroutine that reads the request.
func (r *requestMemory) Evict() {
	close(r.evicted)
	_ = r.conn.SetReadDeadline(time.Now()) // It fails only if the connection is closed.
}

// open opens the account. The caller holds the mutex of r.shared.
func (r *requestMemory) open() {
	if r.account == nil {
		r.granted, r.evicted = make(chan struct{}, 1), make(chan struct{})
		r.account = r.shared.budget.Open(r, r.begun, r.established)
	}
}

// cover reserves memory for an incomplete request of which size bytes have arrived, and which can grow to
// limit bytes. It waits for memory for at most memoryWait. The error is errNoMemory or errMemoryEvicted.
func (r *requestMemory) cover(size, limit int) error {
	if r.err == nil && r.isEvicted() {
		r.err = errMemoryEvicted
	}
	if r.err == nil && size > smallRequestBytes {
		r.err = r.reserve(int64(limit))
	}
	return r.err
}

// isEvicted reports whether the request has been evicted.
func (r *requestMemory) isEvicted() bool {
	if r.account == nil {
		return false
	}
	select {
	case <-r.evicted:
		return true
	default:
		return false
	}
}

// reserve makes the account hold at least total bytes.
func (r *requestMemory) reserve(total int64) error {
	m := r.shared
	m.mu.Lock()
	r.open()
	missing := total - r.account.Held()
	granted := missing <= 0 || m.budget.Reserve(r.account, missing, m.now())
	if !granted {
		m.evictLocked()
	}
	m.mu.Unlock()
	if granted {
		return nil
	}
	return r.waitGranted()
}

// waitGranted waits until the reservation is granted.
func (r *requestMemory) waitGranted() error {
	timeout := time.NewTimer(memoryWait)
	defer timeout.Stop()
	granted := false
	select {
	case <-r.granted:
		granted = true
	case <-r.evicted:
		return errMemoryEvicted
	case <-timeout.C:
	}
	r.shared.mu.Lock()
	defer r.shared.mu.Unlock()
	select {
	case <-r.granted:
		granted = true
	default:
	}
	if granted {
		r.shared.budget.Resume(r.account, r.shared.now())
		return nil
	}
	r.shared.budget.Cancel(r.account)
	return errNoMemory
}

// tryReserve makes the account hold at least total bytes if they are free. The account is not evicted.
func (r *requestMemory) tryReserve(total int64) bool {
	m := r.shared
	m.mu.Lock()
	defer m.mu.Unlock()
	r.open()
	m.budget.Complete(r.account, r.account.Held())
	return m.budget.TryReserve(r.account, total-r.account.Held())
}

// complete marks the request as complete, and keeps memory for the bytes of it that are still in use. It
// reports false if the request has been evicted.
func (r *requestMemory) complete(request *http1.Request) bool {
	if r.account == nil {
		return true
	}
	r.shared.mu.Lock()
	defer r.shared.mu.Unlock()
	return r.shared.budget.Complete(r.account, int64(max(request.Size()-smallRequestBytes, 0)))
}

// add counts size further bytes that cannot be refused, such as those of a result.
func (r *requestMemory) add(size int) {
	if size <= smallRequestBytes {
		return
	}
	r.shared.mu.Lock()
	defer r.shared.mu.Unlock()
	r.open()
	r.shared.budget.Complete(r.account, r.account.Held())
	r.shared.budget.Add(r.account, int64(size))
	r.shared.evictLocked()
}

// close releases the memory of the request.
func (r *requestMemory) close() {
	r.shared.mu.Lock()
	defer r.shared.mu.Unlock()
	if r.account != nil {
		r.shared.budget.Close(r.account)
	}
}
