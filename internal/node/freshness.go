package node

import (
	"errors"
	"sync"

	"dahliaford/internal/scheduler"
)

// freshnessGuard is the last check before an attempt is sent: whether what this scheduler knows of the worker
// list is still fresh. The loop decides on the updates that it has applied by then. But a change is in force
// once discovery has written it, and the update may still be in the socket, with the watch's reader or in
// the inbox while an attempt waits for its connection or for the processor. So the writer asks the guard when
// its first byte can be sent.
//
// The settings are constant. Everything else is under mu, including the fields of the readers.
type freshnessGuard struct {
	drainGrace   scheduler.Micros // how long attempts may still be sent to a worker after it begins to drain
	maxStaleness scheduler.Micros // a change is in force this long after it was made, received or not; 0: never
	listPushed   bool             // without a watch a change is in force at once
	pollInterval scheduler.Micros // without a watch a change is in force after this; 0: not stated

	mu             sync.Mutex
	readers        map[*watchReader]bool
	draining       map[string]bool  // workers, by UID, that get no new attempts
	postedUpdates  uint64           // updates that readers have sent to the loop
	appliedUpdates uint64           // updates that the loop has applied
	asOf           scheduler.Micros // all changes up to this time have been applied
	validUntil     scheduler.Micros // until when the list may be used
	changed        chan struct{}    // closed, and replaced, when writers should check again
}

func newFreshnessGuard(drainGrace, maxStaleness scheduler.Micros) *freshnessGuard {
	return &freshnessGuard{drainGrace: drainGrace, maxStaleness: maxStaleness, readers: map[*watchReader]bool{},
		draining: map[string]bool{}, changed: make(chan struct{})}
}

// Why an attempt may not be sent.
var (
	errUpdatePending  = errors.New("an update of the worker list is not applied yet") // it is soon
	errWorkerDraining = errors.New("the worker is draining")
	errListStale      = errors.New("the worker list is stale")
)

// allowSend returns nil if an attempt may be sent to a worker now, and otherwise the reason. If it may, all
// that discovery has written by now has been applied, so a change that discovery writes next leaves the whole
// grace for the first byte.
func (g *freshnessGuard) allowSend(uid string, now scheduler.Micros) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case g.draining[uid]:
		return errWorkerDraining
	case g.maxStaleness > 0 && now > g.validUntil:
		return errListStale
	case g.postedUpdates != g.appliedUpdates:
		return errUpdatePending
	}
	for reader := range g.readers {
		if !reader.checkEmpty(now) {
			return errUpdatePending
		}
	}
	return nil
}

// checkReaders notes which readers have nothing to read, as every send does. A scheduler that sends little
// would otherwise take the next update for older than it is, and its list for stale too soon.
func (g *freshnessGuard) checkReaders(now scheduler.Micros) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for reader := range g.readers {
		reader.checkEmpty(now)
	}
}

// nextChange returns a channel that is closed when writers should check again.
func (g *freshnessGuard) nextChange() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.changed
}

// notifyChange wakes the writers that wait. The caller holds mu.
func (g *freshnessGuard) notifyChange() {
	close(g.changed)
	g.changed = make(chan struct{})
}

// countPosted counts an update that goes to the loop. It returns the time up to which the update covers all
// changes: not before the socket was last seen empty, not after the update was read, and at most half of the
// grace after the former.
func (g *freshnessGuard) countPosted(reader *watchReader, now scheduler.Micros) (asOf scheduler.Micros) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.postedUpdates++
	return min(now, reader.lastEmptyAt+g.drainGrace/2)
}

// countApplied counts an update that the loop has applied. asOf is the time that countPosted returned for
// it, or 0 if the update says nothing of the present list.
func (g *freshnessGuard) countApplied(asOf scheduler.Micros) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.appliedUpdates++
	if asOf != 0 {
		g.asOf, g.validUntil = asOf, asOf+g.maxStaleness
	}
	g.notifyChange()
}

// watchClosed handles the end of the present watch and returns until when the list may be used, as no more
// changes are received. lastEmpty is when nothing was left to read of the watch; 0 if it never sent
// anything, so that nothing depended on it. unreadable says that its last update could not be read: any
// worker may be draining by it.
func (g *freshnessGuard) watchClosed(lastEmpty scheduler.Micros, unreadable bool) (until scheduler.Micros) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case unreadable:
		g.validUntil = 0
	case lastEmpty == 0:
	case g.listPushed: // a change that the agent has is in force, with or without a watch
		g.validUntil = min(g.validUntil, lastEmpty+g.drainGrace)
	case g.pollInterval > 0: // a change is in force so long after it was made
		g.validUntil = min(g.validUntil, g.asOf+g.pollInterval)
	}
	return g.validUntil
}

// limitValidity is called when another discovery service replaces the present one: what it has changed is in
// force at the given time, whether or not it has answered.
func (g *freshnessGuard) limitValidity(until scheduler.Micros) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.validUntil = min(g.validUntil, until)
}

// setDraining sets whether a worker gets new attempts.
func (g *freshnessGuard) setDraining(uid string, draining bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if draining {
		g.draining[uid] = true
	} else {
		delete(g.draining, uid)
	}
}
