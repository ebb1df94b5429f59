package emulator

import (
	"maps"
	"slices"
	"time"

	"dahliaford/internal/dispatch"
	"dahliaford/internal/endpoints"
	"dahliaford/internal/scheduler"
)

const (
	// batchInterval is how long discovery gathers changes into one word.
	batchInterval     = 250 * millisecond
	heartbeatInterval = Micros(endpoints.HeartbeatInterval / time.Microsecond)
	// callTime is the work of a call beside what it has to send; calls are worked through in turn.
	callTime      = 5 * millisecond
	bytesPerMicro = 100.0 // bytes a microsecond that it can make of a list
	// maxCallWait is how long a call may wait for its turn.
	maxCallWait = 2 * second
	// livenessTimeout is how long discovery does not hear a worker before it is gone, less and more by half
	// a second.
	livenessTimeout   = 3 * second
	agentReportDelay  = 20 * millisecond  // until the agent of a machine has told that a process died
	registrationDelay = 200 * millisecond // until a worker that has started is listed
	maxLateness       = 2 * second        // that a late line comes later
	maxHistory        = 4096              // versions for which discovery still knows what changed

	discoveryZone = 0
)

// discovery is the hollow service of the worker list.
type discovery struct {
	fleet         *fleet
	down          bool
	table         *endpoints.Table       // workers by number
	notReadySince []Micros               // since when it is listed as leaving; 0: it is not
	pending       map[int]*pendingChange // not yet told
	watches       []*watch               // in the order of their schedulers
	queuedCalls   []*watch               // calls that are not answered yet
	incarnation   int                    // of its process
	busyUntil     Micros                 // when the calls that wait are done
	random        func() float64
	lateFraction  float64 // the part of its lines that come late
}

// pendingChange is what a worker's entry is to be with the next word, and since when that is known.
type pendingChange struct {
	endpoint endpoints.Endpoint
	since    Micros
}

// watch is a watch, seen from both ends.
type watch struct {
	node        *node
	connected   bool   // discovery still writes to it
	closed      bool   // its scheduler has taken its end in
	released    bool   // its scheduler has let it go
	lastWrite   Micros // when the last line was written
	lastArrival Micros // when it comes: lines keep their order
	received    bool
	buffered    []scheduler.WorkerList // written during a cut
	emptyAt     Micros                 // nothing lay in the socket then
	timeoutAt   Micros                 // it counts as dead then, unless something comes
}

func newDiscovery(f *fleet) *discovery {
	return &discovery{fleet: f, table: endpoints.NewTable(maxHistory), pending: map[int]*pendingChange{},
		random: f.newRandom(2).Float64}
}

// workerList is a message as the reducer gets it.
func workerList(m endpoints.Message) scheduler.WorkerList {
	list := scheduler.WorkerList{Rev: m.Revision, Complete: m.Complete}
	if len(m.Endpoints) > 0 {
		list.Workers = make([]scheduler.Worker, len(m.Endpoints))
	}
	for i, e := range m.Endpoints {
		list.Workers[i] = scheduler.Worker{UID: e.UID, Addr: e.Addr, Zone: e.Zone, Kind: e.Kind, Cell: e.Cell,
			Status: statusOf(e.State), Started: Micros(e.BootMs) * millisecond}
	}
	return list
}

func statusOf(state endpoints.State) dispatch.Status {
	switch state {
	case endpoints.Ready:
		return dispatch.Ready
	case endpoints.Removed:
		return dispatch.Removed
	default:
		return dispatch.Draining
	}
}

// setState changes the state of a worker's entry with the next message.
func (d *discovery) setState(w *worker, state endpoints.State) {
	n := d.pending[w.index]
	if n == nil {
		n = &pendingChange{endpoint: d.table.At(w.index), since: d.fleet.now}
	}
	was := n.endpoint
	if n.endpoint.State = state; state == endpoints.Ready {
		n.endpoint.BootMs = int64(w.startedAt / millisecond)
	}
	if n.endpoint == was {
		return
	}
	if len(d.pending) == 0 {
		d.fleet.after(batchInterval, d.publish)
	}
	d.pending[w.index] = n
}

// publish publishes the changes that have come together as one revision, and writes it to all watches.
func (d *discovery) publish() {
	if d.down || len(d.pending) == 0 {
		return
	}
	var published []endpoints.Endpoint
	since := d.fleet.now
	for _, number := range slices.Sorted(maps.Keys(d.pending)) {
		n := d.pending[number]
		published, since = append(published, n.endpoint), min(since, n.since)
		if n.endpoint.State == endpoints.Ready {
			d.notReadySince[number] = 0
		} else if d.notReadySince[number] == 0 {
			d.notReadySince[number] = n.since
		}
	}
	clear(d.pending)
	change := workerList(d.table.Publish(published...))
	d.fleet.tally.published(change.Rev, since, len(published))
	for _, s := range d.watches {
		s.write(change)
	}
}

// handleCall takes the call that opens a watch.
func (d *discovery) handleCall(s *watch, rev int64) {
	if d.down {
		d.fleet.network.send(discoveryZone, s.node.zone, packetBytes, s.handleClose) // the connection is refused
		return
	}
	f := d.fleet
	from := max(d.busyUntil, f.now)
	if from-f.now > maxCallWait {
		f.tally.discovery.RefusedCalls++
		f.at(f.now+maxCallWait, func() { f.network.send(discoveryZone, s.node.zone, answerBytes, s.handleClose) })
		return
	}
	t := d.table.Since(rev)
	if t.Complete {
		f.tally.discovery.FullLists++
	} else {
		f.tally.discovery.Deltas++
	}
	d.busyUntil = from + callTime + Micros(float64(listBytes(len(t.Endpoints)))/bytesPerMicro)
	f.tally.discovery.BusySeconds += float64(d.busyUntil-from) / float64(second)
	life := d.incarnation
	d.queuedCalls = append(d.queuedCalls, s)
	f.at(d.busyUntil, func() {
		if d.incarnation != life {
			return // its end has been sent by then
		}
		d.queuedCalls = slices.DeleteFunc(d.queuedCalls, func(o *watch) bool { return o == s })
		d.addWatch(s)
		s.write(workerList(d.table.Since(rev))) // as it is now
		s.heartbeat()
	})
}

func (d *discovery) addWatch(s *watch) {
	s.connected = true
	i, _ := slices.BinarySearchFunc(d.watches, s.node.index, func(o *watch, me int) int { return o.node.index - me })
	d.watches = slices.Insert(d.watches, i, s)
}

func (d *discovery) removeWatch(s *watch) {
	s.connected = false
	d.watches = slices.DeleteFunc(d.watches, func(o *watch) bool { return o == s })
}

// write sends a line. Lines keep their order on the way.
func (s *watch) write(t scheduler.WorkerList) {
	f := s.node.fleet
	if !s.connected {
		return
	}
	s.lastWrite = f.now
	bytes := messageBytes(t)
	if f.network.separated(discoveryZone, s.node.zone) {
		s.buffered = append(s.buffered, t)
		return
	}
	s.lastArrival = max(s.lastArrival, f.now+f.network.delay(discoveryZone, s.node.zone)+Micros(float64(bytes)*microsPerByte))
	if d := f.discovery; d.lateFraction > 0 && d.random() < d.lateFraction {
		s.lastArrival += Micros(d.random() * float64(maxLateness))
	}
	f.at(s.lastArrival, func() { s.receive(t, bytes) })
}

// flush sends what a cut has kept back.
func (s *watch) flush() {
	kept := s.buffered
	s.buffered = nil
	for _, t := range kept {
		s.write(t)
	}
}

// heartbeat writes empty lines while nothing changes.
func (s *watch) heartbeat() {
	f := s.node.fleet
	if !s.connected {
		return
	}
	if f.now-s.lastWrite >= heartbeatInterval {
		s.write(scheduler.WorkerList{})
	}
	f.at(s.lastWrite+heartbeatInterval, s.heartbeat)
}

// restart takes discovery down for a while. Its watches end; it keeps the list, and no longer knows
// what changed when.
func (d *discovery) restart(span Micros) {
	d.down = true
	d.incarnation++
	for _, s := range slices.Concat(d.watches, d.queuedCalls) {
		s.connected = false
		d.fleet.network.send(discoveryZone, s.node.zone, packetBytes, s.handleClose)
	}
	d.watches, d.queuedCalls = nil, nil
	d.fleet.after(span, func() {
		d.down, d.busyUntil = false, 0
		d.table.Publish() // so that no revision from before is the present one
		d.table.Forget()
		d.fleet.tally.published(d.table.Revision(), d.fleet.now, 0)
		d.publish()
	})
}
