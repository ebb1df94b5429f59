package node

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"

	"dahliaford/internal/scheduler"
)

// freshnessGuard is what discovery has told, for the last look before an attempt leaves. The loop decides on
// what it has read by then; but a change counts as told once discovery has written it, and it
// may lie in the socket, with the reader or in the inbox while an attempt waits for its connection
// or for the processor. So the writer asks here with its first byte in hand.
type freshnessGuard struct {
	grace        scheduler.Micros // after which nothing more may leave for a worker that was told off
	staleAfter   scheduler.Micros // after which a change counts as told unheard; 0: never
	pushed       bool             // without a watch a change counts as told at once
	pollInterval scheduler.Micros // without a watch it does so after this; 0: not stated

	mu         sync.Mutex
	readers    map[*watchReader]bool
	draining   map[string]bool  // workers that are to get nothing new
	posted     uint64           // words that readers have passed on
	applied    uint64           // those of them that the loop has dealt with
	asOf       scheduler.Micros // what there was to tell by then has been told
	validUntil scheduler.Micros // it holds until then
	changed    chan struct{}    // closed when a word has been dealt with
}

func newFreshnessGuard(grace, within scheduler.Micros) *freshnessGuard {
	return &freshnessGuard{grace: grace, staleAfter: within, readers: map[*watchReader]bool{}, draining: map[string]bool{},
		changed: make(chan struct{})}
}

// Why an attempt may not leave.
var (
	errUnapplied = errors.New("a word of discovery is not taken in yet") // it is soon
	errDraining  = errors.New("the worker leaves")
	errStale     = errors.New("discovery has not been heard for too long")
)

// allowSend tells whether an attempt may leave for a worker now. All that discovery has written by then
// has been applied, so what it writes next leaves the whole grace for the first byte.
func (g *freshnessGuard) allowSend(uid string, now scheduler.Micros) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case g.draining[uid]:
		return errDraining
	case g.staleAfter > 0 && now > g.validUntil:
		return errStale
	case g.posted != g.applied:
		return errUnapplied
	}
	for reader := range g.readers {
		if !reader.observe(now) {
			return errUnapplied
		}
	}
	return nil
}

// observeReaders notes where nothing waits to be read, as every leave of an attempt does: who sends little would
// otherwise take the next word for older than it is, and lose its trust sooner.
func (g *freshnessGuard) observeReaders(now scheduler.Micros) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for reader := range g.readers {
		reader.observe(now)
	}
}

// nextChange is closed when a word has been dealt with.
func (g *freshnessGuard) nextChange() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.changed
}

func (g *freshnessGuard) notifyChange() {
	close(g.changed)
	g.changed = make(chan struct{})
}

// countPosted counts a word that goes to the loop, and tells when it was written, or at most half of
// the grace later: not before nothing lay in the socket, and not after it was read. What there
// was to tell by then has been told.
func (g *freshnessGuard) countPosted(reader *watchReader, now scheduler.Micros) (at scheduler.Micros) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.posted++
	return min(now, reader.emptyAt+g.grace/2)
}

// countApplied marks a word as dealt with; heard is its time, if it tells what there is.
func (g *freshnessGuard) countApplied(asOf scheduler.Micros) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.applied++
	if asOf != 0 {
		g.asOf, g.validUntil = asOf, asOf+g.staleAfter
	}
	g.notifyChange()
}

// watchClosed is called when the present watch has ended, and tells until when what is known holds, as
// nobody tells of changes any more. sure is when nothing was left to read of it; 0: it never spoke,
// so that nothing hung on it. unread says that nobody could read its last word, which may have told
// off any worker.
func (g *freshnessGuard) watchClosed(lastEmpty scheduler.Micros, unreadable bool) (until scheduler.Micros) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case unreadable:
		g.validUntil = 0
	case lastEmpty == 0:
	case g.pushed: // what its agent has counts as told, whether or not we have a watch
		g.validUntil = min(g.validUntil, lastEmpty+g.grace)
	case g.pollInterval > 0: // a change counts as told so long after it was made
		g.validUntil = min(g.validUntil, g.asOf+g.pollInterval)
	}
	return g.validUntil
}

// limitValidity is called when another discovery counts from now on: what it has to tell counts as told
// then, whether or not it has answered.
func (g *freshnessGuard) limitValidity(until scheduler.Micros) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.validUntil = min(g.validUntil, until)
}

func (g *freshnessGuard) setDraining(uid string, draining bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if draining {
		g.draining[uid] = true
	} else {
		delete(g.draining, uid)
	}
}

// watchReader reads a watch's connection and knows whether anything of it waits to be taken in.
type watchReader struct {
	guard    *freshnessGuard
	now      func() scheduler.Micros
	unposted bool // what was read last may hold a word that is not posted yet
	rawConn  syscall.RawConn
	// emptyAt is the latest time at which nothing lay in the socket.
	emptyAt scheduler.Micros
}

// newWatchReader puts a tap on a connection. It has to be closed before the connection is.
func (g *freshnessGuard) newWatchReader(conn net.Conn, now func() scheduler.Micros) (*watchReader, error) {
	raw, err := conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return nil, err
	}
	r := &watchReader{guard: g, now: now, rawConn: raw, emptyAt: now()}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.readers[r] = true
	return r, nil
}

func (r *watchReader) close() {
	r.guard.mu.Lock()
	defer r.guard.mu.Unlock()
	delete(r.guard.readers, r)
	r.guard.notifyChange()
}

// Read is called for more when all whole words of what it returned before have been posted. A
// deadline ends it only if nothing has come by then: a reader without processor time finds the
// deadline and the word together.
func (r *watchReader) Read(b []byte) (n int, err error) {
	r.guard.mu.Lock()
	if r.unposted { // its words may have been dealt with by now: who waits may look again
		r.unposted = false
		r.guard.notifyChange()
	}
	r.guard.mu.Unlock()
	ready := false
	take := func(fd uintptr) bool {
		r.guard.mu.Lock()
		defer r.guard.mu.Unlock()
		if n, err = readSocket(fd, b, 0); err == syscall.EAGAIN {
			r.emptyAt = r.now()
			return false
		}
		ready, r.unposted = true, n > 0
		return true
	}
	if wait := r.rawConn.Read(take); wait != nil {
		if errors.Is(wait, os.ErrDeadlineExceeded) {
			r.rawConn.Control(func(fd uintptr) { take(fd) })
		}
		if !ready {
			return 0, wait
		}
	}
	if err == nil && n == 0 {
		err = io.EOF
	}
	return n, err
}

// lastEmpty is the latest time at which nothing of the watch was left to read.
func (r *watchReader) lastEmpty() scheduler.Micros {
	if r == nil {
		return 0
	}
	r.guard.mu.Lock()
	defer r.guard.mu.Unlock()
	return r.emptyAt
}

// observe tells whether nothing of its watch waits to be taken in, and notes when that was so. The
// lock of told is held.
func (r *watchReader) observe(now scheduler.Micros) bool {
	if r.unposted || !r.empty() {
		return false
	}
	r.emptyAt = now
	return true
}

// empty tells whether nothing lies in the socket: not a byte, nor its end.
func (r *watchReader) empty() bool {
	var one [1]byte
	n, _ := readSocketNow(r.rawConn, one[:], syscall.MSG_PEEK)
	return n == 0 // also once it is closed: discovery can write no more to it
}

// readSocketNow reads what a socket has, without waiting.
func readSocketNow(raw syscall.RawConn, b []byte, flags int) (n int, err error) {
	if controlErr := raw.Control(func(fd uintptr) { n, err = readSocket(fd, b, flags) }); controlErr != nil {
		return 0, controlErr
	}
	return n, err
}

// readSocket reads what a socket that never blocks has.
func readSocket(fd uintptr, b []byte, flags int) (n int, err error) {
	for {
		n, _, err = syscall.Recvfrom(int(fd), b, flags|syscall.MSG_DONTWAIT)
		if err != syscall.EINTR {
			return max(n, 0), err
		}
	}
}
