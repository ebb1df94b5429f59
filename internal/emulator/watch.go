package emulator

import "dahliaford/internal/scheduler"

// Timeouts of a watch at a scheduler, as package node has them.
const (
	watchOpenTimeout    = 4 * second // until discovery has written the first line
	watchSilenceTimeout = 3 * second // between two lines
)

// watch is a watch of the worker list, with the state of both ends.
type watch struct {
	node *node

	// At discovery.
	connected   bool                   // discovery writes to it
	lastWrite   Micros                 // of the last line
	lastArrival Micros                 // of the last line: lines keep their order
	buffered    []scheduler.WorkerList // written during a cut

	// At the scheduler.
	closed    bool   // its end has been handled, or it was released
	released  bool   // the scheduler does not use it any more
	received  bool   // a line
	emptyAt   Micros // nothing lay in the socket then
	timeoutAt Micros // it counts as dead then, unless a line comes before
}

// write sends a line to the scheduler. Lines keep their order on the way.
func (s *watch) write(list scheduler.WorkerList) {
	if !s.connected {
		return
	}
	f := s.node.fleet
	s.lastWrite = f.now
	if f.network.separated(discoveryZone, s.node.zone) {
		s.buffered = append(s.buffered, list)
		return
	}
	bytes := messageBytes(list)
	arrival := f.now + f.network.delay(discoveryZone, s.node.zone) + Micros(float64(bytes)*microsPerByte)
	s.lastArrival = max(s.lastArrival, arrival)
	if d := f.discovery; d.lateFraction > 0 && d.random() < d.lateFraction {
		s.lastArrival += Micros(d.random() * float64(maxLateness))
	}
	f.at(s.lastArrival, func() { s.receive(list, bytes) })
}

// flush sends what was written during a cut.
func (s *watch) flush() {
	buffered := s.buffered
	s.buffered = nil
	for _, list := range buffered {
		s.write(list)
	}
}

// heartbeat writes an empty line whenever nothing else was written for the interval.
func (s *watch) heartbeat() {
	if !s.connected {
		return
	}
	f := s.node.fleet
	if f.now-s.lastWrite >= heartbeatInterval {
		s.write(scheduler.WorkerList{})
	}
	f.at(s.lastWrite+heartbeatInterval, s.heartbeat)
}

// openWatch opens a watch for the reducer. The one before stays in use until the new one has its first
// line.
func (n *node) openWatch(w scheduler.OpenWatch) {
	if w.ValidUntil != 0 {
		n.validUntil = min(n.validUntil, w.ValidUntil)
	}
	if n.watch != nil && !n.watch.closed {
		if n.previousWatch != nil {
			n.releaseWatch(n.previousWatch)
		}
		n.previousWatch = n.watch
	}
	f := n.fleet
	s := &watch{node: n, emptyAt: f.now, timeoutAt: f.now + watchOpenTimeout}
	n.watch = s
	n.countControlMessage(openWatchBytes)
	call := func() {
		if !s.released && !s.closed {
			f.discovery.handleCall(s, w.Revision)
		}
	}
	// The connection is established first: a packet there and one back.
	f.network.send(n.zone, discoveryZone, packetBytes, func() {
		f.network.send(discoveryZone, n.zone, packetBytes, func() {
			f.network.send(n.zone, discoveryZone, openWatchBytes, call)
		})
	})
	s.awaitTimeout()
}

// awaitTimeout closes the watch once no line has come for too long.
func (s *watch) awaitTimeout() {
	f := s.node.fleet
	f.at(s.timeoutAt, func() {
		switch {
		case s.closed || s.released:
		case f.now >= s.timeoutAt:
			s.handleClose()
		default:
			s.awaitTimeout()
		}
	})
}

// releaseWatch closes a watch at the scheduler's side.
func (n *node) releaseWatch(s *watch) {
	s.released, s.closed = true, true
	if s.connected {
		n.fleet.discovery.removeWatch(s)
	}
}

// receive passes a line to the reducer, with the time as of which the list is known: not before the
// socket was last seen empty, at most half the drain grace after that, and not after now. From then on
// the list is valid for staleAfter.
func (s *watch) receive(list scheduler.WorkerList, bytes int) {
	if s.closed || s.released {
		return
	}
	n := s.node
	now := n.fleet.now
	n.countControlMessage(bytes)
	e := scheduler.EndpointsUpdated{List: list, AsOf: min(now, s.emptyAt+n.fleet.settings.DrainGrace/2)}
	s.received, s.emptyAt, s.timeoutAt = true, now, now+watchSilenceTimeout
	asOf := e.AsOf
	if s != n.watch {
		e.FromPreviousWatch, asOf = true, 0
	} else if n.previousWatch != nil {
		n.releaseWatch(n.previousWatch)
		n.previousWatch = nil
	}
	validBefore := n.validUntil
	for _, w := range list.Workers {
		if w.Started != 0 {
			n.workerStarts[w.UID] = w.Started
		}
	}
	n.step(e)
	if asOf != 0 {
		n.listAsOf, n.validUntil = asOf, asOf+staleAfter
	}
	if list.Revision != 0 && !e.FromPreviousWatch {
		n.fleet.tally.changeApplied(n, list.Revision, validBefore)
	}
}

// handleClose handles the end of a watch that the scheduler did not ask for.
func (s *watch) handleClose() {
	if s.closed || s.released {
		return
	}
	n := s.node
	s.closed = true
	if s.connected {
		n.fleet.discovery.removeWatch(s)
	}
	n.fleet.tally.discovery.WatchesClosed++
	if s == n.previousWatch {
		n.previousWatch = nil
		return
	}
	if s != n.watch {
		return
	}
	if s.received { // without a watch the list is valid for one poll interval, as in package node
		n.validUntil = min(n.validUntil, n.listAsOf+n.fleet.settings.Dispatch.PollInterval)
	}
	n.step(scheduler.WatchClosed{ValidUntil: n.validUntil})
}

// allowSend is the last check before an attempt is written: the worker is in use, and the worker list
// is not stale. It also notes that the sockets of the watches were empty now.
func (n *node) allowSend(uid string) bool {
	if n.stoppedWorkers[uid] || n.fleet.now > n.validUntil {
		return false
	}
	for _, s := range []*watch{n.watch, n.previousWatch} {
		if s != nil && !s.closed {
			s.emptyAt = n.fleet.now
		}
	}
	return true
}
