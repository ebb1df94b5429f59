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

// told is what discovery has told, for the last look before an attempt leaves. The loop decides on
// what it has read by then; but a change counts as told once discovery has written it, and it
// may lie in the socket, with the reader or in the inbox while an attempt waits for its connection
// or for the processor. So the writer asks here with its first byte in hand.
type told struct {
	grace  scheduler.Micros // after which nothing more may leave for a worker that was told off
	within scheduler.Micros // after which a change counts as told unheard; 0: never
	pushed bool             // without a watch a change counts as told at once
	ask    scheduler.Micros // without a watch it does so after this; 0: not stated

	mu      sync.Mutex
	taps    map[*tap]bool
	left    map[string]bool  // workers that are to get nothing new
	posted  uint64           // words that readers have passed on
	applied uint64           // those of them that the loop has dealt with
	heard   scheduler.Micros // what there was to tell by then has been told
	until   scheduler.Micros // it holds until then
	changed chan struct{}    // closed when a word has been dealt with
}

func newTold(grace, within scheduler.Micros) *told {
	return &told{grace: grace, within: within, taps: map[*tap]bool{}, left: map[string]bool{},
		changed: make(chan struct{})}
}

// Why an attempt may not leave.
var (
	errUnread  = errors.New("a word of discovery is not taken in yet") // it is soon
	errLeaves  = errors.New("the worker leaves")
	errUnheard = errors.New("discovery has not been heard for too long")
)

// may tells whether an attempt may leave for a worker now. All that discovery has written by then
// has been applied, so what it writes next leaves the whole grace for the first byte.
func (t *told) may(uid string, now scheduler.Micros) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case t.left[uid]:
		return errLeaves
	case t.within > 0 && now > t.until:
		return errUnheard
	case t.posted != t.applied:
		return errUnread
	}
	for tap := range t.taps {
		if !tap.clear(now) {
			return errUnread
		}
	}
	return nil
}

// look notes where nothing waits to be read, as every leave of an attempt does: who sends little would
// otherwise take the next word for older than it is, and lose its trust sooner.
func (t *told) look(now scheduler.Micros) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for tap := range t.taps {
		tap.clear(now)
	}
}

// next is closed when a word has been dealt with.
func (t *told) next() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changed
}

func (t *told) signal() {
	close(t.changed)
	t.changed = make(chan struct{})
}

// post counts a word that goes to the loop, and tells when it was written, or at most half of
// the grace later: not before nothing lay in the socket, and not after it was read. What there
// was to tell by then has been told.
func (t *told) post(tap *tap, now scheduler.Micros) (at scheduler.Micros) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.posted++
	return min(now, tap.emptyAt+t.grace/2)
}

// apply marks a word as dealt with; heard is its time, if it tells what there is.
func (t *told) apply(heard scheduler.Micros) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.applied++
	if heard != 0 {
		t.heard, t.until = heard, heard+t.within
	}
	t.signal()
}

// lost is called when the present watch has ended, and tells until when what is known holds, as
// nobody tells of changes any more. sure is when nothing was left to read of it; 0: it never spoke,
// so that nothing hung on it. unread says that nobody could read its last word, which may have told
// off any worker.
func (t *told) lost(sure scheduler.Micros, unread bool) (until scheduler.Micros) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case unread:
		t.until = 0
	case sure == 0:
	case t.pushed: // what its agent has counts as told, whether or not we have a watch
		t.until = min(t.until, sure+t.grace)
	case t.ask > 0: // a change counts as told so long after it was made
		t.until = min(t.until, t.heard+t.ask)
	}
	return t.until
}

// moved is called when another discovery counts from now on: what it has to tell counts as told
// then, whether or not it has answered.
func (t *told) moved(until scheduler.Micros) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.until = min(t.until, until)
}

func (t *told) leaves(uid string, so bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if so {
		t.left[uid] = true
	} else {
		delete(t.left, uid)
	}
}

// tap reads a watch's connection and knows whether anything of it waits to be taken in.
type tap struct {
	told *told
	now  func() scheduler.Micros
	raw  bool // what was read last may hold a word that is not posted yet
	conn syscall.RawConn
	// emptyAt is the latest time at which nothing lay in the socket.
	emptyAt scheduler.Micros
}

// tapped puts a tap on a connection. It has to be closed before the connection is.
func (t *told) tapped(conn net.Conn, now func() scheduler.Micros) (*tap, error) {
	raw, err := conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return nil, err
	}
	p := &tap{told: t, now: now, conn: raw, emptyAt: now()}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.taps[p] = true
	return p, nil
}

func (p *tap) close() {
	p.told.mu.Lock()
	defer p.told.mu.Unlock()
	delete(p.told.taps, p)
	p.told.signal()
}

// Read is called for more when all whole words of what it returned before have been posted. A
// deadline ends it only if nothing has come by then: a reader without processor time finds the
// deadline and the word together.
func (p *tap) Read(b []byte) (n int, err error) {
	p.told.mu.Lock()
	if p.raw { // its words may have been dealt with by now: who waits may look again
		p.raw = false
		p.told.signal()
	}
	p.told.mu.Unlock()
	ready := false
	take := func(fd uintptr) bool {
		p.told.mu.Lock()
		defer p.told.mu.Unlock()
		if n, err = receive(fd, b, 0); err == syscall.EAGAIN {
			p.emptyAt = p.now()
			return false
		}
		ready, p.raw = true, n > 0
		return true
	}
	if wait := p.conn.Read(take); wait != nil {
		if errors.Is(wait, os.ErrDeadlineExceeded) {
			p.conn.Control(func(fd uintptr) { take(fd) })
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

// sure is the latest time at which nothing of the watch was left to read.
func (p *tap) sure() scheduler.Micros {
	if p == nil {
		return 0
	}
	p.told.mu.Lock()
	defer p.told.mu.Unlock()
	return p.emptyAt
}

// clear tells whether nothing of its watch waits to be taken in, and notes when that was so. The
// lock of told is held.
func (p *tap) clear(now scheduler.Micros) bool {
	if p.raw || !p.empty() {
		return false
	}
	p.emptyAt = now
	return true
}

// empty tells whether nothing lies in the socket: not a byte, nor its end.
func (p *tap) empty() bool {
	var one [1]byte
	n, _ := receiveNow(p.conn, one[:], syscall.MSG_PEEK)
	return n == 0 // also once it is closed: discovery can write no more to it
}

// receiveNow reads what a socket has, without waiting.
func receiveNow(raw syscall.RawConn, b []byte, flags int) (n int, err error) {
	if wrong := raw.Control(func(fd uintptr) { n, err = receive(fd, b, flags) }); wrong != nil {
		return 0, wrong
	}
	return n, err
}

// receive reads what a socket that never blocks has.
func receive(fd uintptr, b []byte, flags int) (n int, err error) {
	for {
		n, _, err = syscall.Recvfrom(int(fd), b, flags|syscall.MSG_DONTWAIT)
		if err != syscall.EINTR {
			return max(n, 0), err
		}
	}
}
