package node

import (
	"errors"
	"sync"

	"dahliaford/internal/scheduler"
)

// freshnessGuard is the last check before an attempt is sent. It rejects the attempt unless this scheduler
// has applied all updates of the worker list that discovery has written by then. The event loop chooses a
// worker by the updates that the loop has applied. But a change of the list takes effect when discovery
// writes the update, and the update may still be in the socket, with the watch's reader or in the inbox while
// the attempt waits for its connection or for processor time. So the goroutine that writes an attempt asks
// the guard at the moment when the socket accepts the first byte.
//
// The fields drainGrace, maxStaleness, listPushed and pollInterval are constant. mu protects all other fields
// of the guard, and the fields hasUnposted and lastEmptyAt of its watch readers.
type freshnessGuard struct {
	// drainGrace is how long attempts may still be sent to a worker after its drain has taken effect.
	drainGrace scheduler.Micros
	// maxStaleness is the time after which a change of the worker list takes effect whether or not this
	// scheduler has received the change. With 0 a change takes effect only when it is received.
	maxStaleness scheduler.Micros
	// listPushed says that a discovery agent on the machine pushes worker lists, so that a change takes effect
	// at once even without a watch.
	listPushed bool
	// pollInterval is the time after which a change of the worker list takes effect while no watch is open; 0 if
	// the settings state no such time.
	pollInterval scheduler.Micros

	mu       sync.Mutex
	readers  map[*watchReader]bool
	draining map[string]bool // draining holds the UIDs of the workers that get no new attempts.
	// postedUpdates counts the worker list updates that watch readers have sent to the event loop.
	postedUpdates  uint64
	appliedUpdates uint64 // appliedUpdates counts the worker list updates that the event loop has applied.
	// asOf is the time up to which all changes of the worker list have been applied.
	asOf scheduler.Micros
	// validUntil is the time until which attempts may be sent by the present worker list.
	validUntil scheduler.Micros
	// changed is closed, and replaced by a new channel, when writers that wait to send attempts should ask the
	// guard again.
	changed chan struct{}
}

func newFreshnessGuard(drainGrace, maxStaleness scheduler.Micros) *freshnessGuard {
	return &freshnessGuard{drainGrace: drainGrace, maxStaleness: maxStaleness, readers: map[*watchReader]bool{},
		draining: map[string]bool{}, changed: make(chan struct{})}
}

// The reasons why the guard rejects an attempt. errUpdatePending is temporary: the attempt's writer waits and
// asks the guard again.
var (
	errUpdatePending  = errors.New("a received update of the worker list is not applied yet")
	errWorkerDraining = errors.New("the worker is draining")
	errListStale      = errors.New("the worker list is stale")
)

// allowSend returns nil if an attempt may be sent to a worker now, and otherwise the reason why not. With
// nil, every update that discovery has written by now has been applied, so if discovery's next update drains
// the worker, the attempt's first byte is sent within the drain grace.
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

// checkReaders records for each watch reader whether the reader's socket is empty, as allowSend does for each
// attempt. The guard counts the age of the next worker list update from the last time at which the socket was
// empty. Without checkReaders a scheduler that sends few attempts would overestimate that age and would treat
// its worker list as stale too early.
func (g *freshnessGuard) checkReaders(now scheduler.Micros) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for reader := range g.readers {
		reader.checkEmpty(now)
	}
}

// nextChange returns a channel that is closed when writers that wait to send attempts should call allowSend
// again.
func (g *freshnessGuard) nextChange() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.changed
}

// notifyChange wakes the writers of attempts that wait on the channel of nextChange. The caller holds mu.
func (g *freshnessGuard) notifyChange() {
	close(g.changed)
	g.changed = make(chan struct{})
}

// countPosted counts an update that a watch reader is about to send to the event loop. It returns the time
// up to which the update is known to cover all changes of the worker list. That time is when the update was
// read, but at most half of the drain grace after the reader last found its socket empty.
func (g *freshnessGuard) countPosted(reader *watchReader, now scheduler.Micros) (asOf scheduler.Micros) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.postedUpdates++
	return min(now, reader.lastEmptyAt+g.drainGrace/2)
}

// countApplied counts a worker list update that the event loop has applied. asOf is the time that countPosted
// returned for the update, or 0 if the update is from a watch that has been replaced.
func (g *freshnessGuard) countApplied(asOf scheduler.Micros) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.appliedUpdates++
	if asOf != 0 {
		g.asOf, g.validUntil = asOf, asOf+g.maxStaleness
	}
	g.notifyChange()
}

// watchClosed handles the end of a watch and returns the time until which the worker list may be used: from
// now on no more changes are received. lastEmpty is the last time at which the watch's socket was empty; 0
// means that the watch does not affect validity, as it never sent anything or was replaced. unreadable says
// that the watch's last update could not be decoded, so that any worker may have begun to drain.
func (g *freshnessGuard) watchClosed(lastEmpty scheduler.Micros, unreadable bool) (until scheduler.Micros) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case unreadable:
		g.validUntil = 0
	case lastEmpty == 0:
	// A change of the worker list takes effect when the discovery agent on the machine receives the change, with
	// or without a watch.
	case g.listPushed:
		g.validUntil = min(g.validUntil, lastEmpty+g.drainGrace)
	// Without a watch a change of the worker list takes effect pollInterval after the change was made.
	case g.pollInterval > 0:
		g.validUntil = min(g.validUntil, g.asOf+g.pollInterval)
	}
	return g.validUntil
}

// limitValidity ends the validity of the worker list at a given time, unless the validity ends earlier. The
// loop calls limitValidity when another discovery service replaces the present one: changes at the new
// service take effect at the given time, whether or not the new service has responded.
func (g *freshnessGuard) limitValidity(until scheduler.Micros) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.validUntil = min(g.validUntil, until)
}

// setDraining sets whether a worker drains; a worker that drains gets no new attempts.
func (g *freshnessGuard) setDraining(uid string, draining bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if draining {
		g.draining[uid] = true
	} else {
		delete(g.draining, uid)
	}
}
