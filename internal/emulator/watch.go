package emulator

import "dahliaford/internal/scheduler"

// Timeouts after which a scheduler closes a watch of the worker list. Package node uses the same values.
const (
	watchOpenTimeout    = 4 * second // longest time until the first line arrives on a watch
	watchSilenceTimeout = 3 * second // longest time between two lines of a watch
)

// watch is a scheduler's watch of the worker list, with the state of both ends of the connection.
type watch struct {
	node *node

	// State of the connection's end at the discovery service.
	connected   bool                   // discovery has opened the watch and writes lines to it
	lastWrite   Micros                 // time at which the last line was written to the watch
	lastArrival Micros                 // arrival of the line written last; a later line may not arrive earlier
	buffered    []scheduler.WorkerList // lines that a network cut holds back

	// State of the connection's end at the scheduler.
	closed        bool   // the end of the watch has been handled, or the watch has been released
	released      bool   // the scheduler has closed the watch
	receivedLine  bool   // at least one line has arrived
	socketEmptyAt Micros // last time at which the scheduler found no unread data in the watch's socket
	timeoutAt     Micros // time at which the scheduler closes the watch unless a line arrives before
}

// write sends a line with changes of the worker list to the scheduler. Lines arrive in the order in which
// they are written.
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
	if d := f.discovery; d.delayedFraction > 0 && d.random() < d.delayedFraction {
		s.lastArrival += Micros(d.random() * float64(maxLineDelay))
	}
	f.scheduleAt(s.lastArrival, func() { s.receive(list, bytes) })
}

// flush sends the lines that were buffered during a network cut.
func (s *watch) flush() {
	buffered := s.buffered
	s.buffered = nil
	for _, list := range buffered {
		s.write(list)
	}
}

// heartbeat writes an empty line to the watch whenever no line has been written for heartbeatInterval.
func (s *watch) heartbeat() {
	if !s.connected {
		return
	}
	f := s.node.fleet
	if f.now-s.lastWrite >= heartbeatInterval {
		s.write(scheduler.WorkerList{})
	}
	f.scheduleAt(s.lastWrite+heartbeatInterval, s.heartbeat)
}

// openWatch opens a new watch of the worker list. The previous watch stays in use until the first line
// arrives on the new watch.
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
	s := &watch{node: n, socketEmptyAt: f.now, timeoutAt: f.now + watchOpenTimeout}
	n.watch = s
	n.countControlMessage(openWatchBytes)
	call := func() {
		if !s.released && !s.closed {
			f.discovery.handleCall(s, w.Revision)
		}
	}
	// The TCP handshake takes one round trip before the call that opens the watch can be sent.
	f.network.send(n.zone, discoveryZone, packetBytes, func() {
		f.network.send(discoveryZone, n.zone, packetBytes, func() {
			f.network.send(n.zone, discoveryZone, openWatchBytes, call)
		})
	})
	s.scheduleTimeout()
}

// scheduleTimeout schedules the closing of the watch for timeoutAt. Each line that arrives defers timeoutAt.
func (s *watch) scheduleTimeout() {
	f := s.node.fleet
	f.scheduleAt(s.timeoutAt, func() {
		switch {
		case s.closed || s.released:
		case f.now >= s.timeoutAt:
			s.handleClose()
		default:
			s.scheduleTimeout()
		}
	})
}

// releaseWatch closes a watch that the scheduler no longer uses.
func (n *node) releaseWatch(s *watch) {
	s.released, s.closed = true, true
	if s.connected {
		n.fleet.discovery.removeWatch(s)
	}
}

// receive passes a line of the watch to the reducer, with the time as of which the worker list is current.
// The list is current as of half the drain grace after the scheduler last found the socket of the watch
// empty, but not later than the present. From that time on the list is valid for listValidity.
func (s *watch) receive(list scheduler.WorkerList, bytes int) {
	if s.closed || s.released {
		return
	}
	n := s.node
	now := n.fleet.now
	n.countControlMessage(bytes)
	e := scheduler.EndpointsUpdated{List: list, AsOf: min(now, s.socketEmptyAt+n.fleet.settings.DrainGrace/2)}
	s.receivedLine, s.socketEmptyAt, s.timeoutAt = true, now, now+watchSilenceTimeout
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
		n.listAsOf, n.validUntil = asOf, asOf+listValidity
	}
	if list.Revision != 0 && !e.FromPreviousWatch {
		n.fleet.tally.recordChangeApplied(n, list.Revision, validBefore)
	}
}

// handleClose handles the end of a watch that the scheduler has not released: discovery closed or refused the
// watch, or the watch timed out.
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
	if s.receivedLine { // Without a watch the list is valid for one poll interval only, as in package node.
		n.validUntil = min(n.validUntil, n.listAsOf+n.fleet.settings.Dispatch.PollInterval)
	}
	n.step(scheduler.WatchClosed{ValidUntil: n.validUntil})
}

// allowSend reports whether an attempt may be written to a worker: the reducer has not stopped the use of the
// worker, and the worker list is not stale. A real scheduler allows an attempt only if the sockets of
// the watches hold no unread lines, so allowSend records the present time in socketEmptyAt.
func (n *node) allowSend(uid string) bool {
	if n.stoppedWorkers[uid] || n.fleet.now > n.validUntil {
		return false
	}
	for _, s := range []*watch{n.watch, n.previousWatch} {
		if s != nil && !s.closed {
			s.socketEmptyAt = n.fleet.now
		}
	}
	return true
}
