package node

import (
	"errors"
	"sync"

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
