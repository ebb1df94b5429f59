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
	// batchInterval is how long discovery gathers changes before it publishes them as one revision.
	batchInterval     = 250 * millisecond
	heartbeatInterval = Micros(endpoints.HeartbeatInterval / time.Microsecond)

	// callTime is the processing time of a call, in addition to that of its list; calls are processed one
	// after the other.
	callTime      = 5 * millisecond
	bytesPerMicro = 100.0 // of a list, that discovery can write in a microsecond
	maxCallWait   = 2 * second

	// livenessTimeout is how long a worker must be silent before discovery removes it, give or take half
	// a second.
	livenessTimeout   = 3 * second
	agentReportDelay  = 20 * millisecond  // until a machine's agent has reported that a process died
	registrationDelay = 200 * millisecond // until a worker that has started is listed

	maxLateness = 2 * second // that a late line is delayed by
	maxHistory  = 4096       // revisions for which discovery still knows what changed

	discoveryZone = 0
)

// discovery is the simulated service of the worker list.
type discovery struct {
	fleet         *fleet
	down          bool
	table         *endpoints.Table       // a worker's place is its index
	notReadySince []Micros               // by index; 0: listed as ready
	pending       map[int]*pendingChange // not published yet, by index
	watches       []*watch               // ordered by the index of their schedulers
	queuedCalls   []*watch               // calls that are not answered yet
	incarnation   int                    // of its process
	busyUntil     Micros                 // the queued calls are answered by then
	random        func() float64
	lateFraction  float64 // of the lines of watches
}

// pendingChange is the entry of a worker as it is to be published next.
type pendingChange struct {
	endpoint endpoints.Endpoint
	since    Micros // discovery has known of the change
}

func newDiscovery(f *fleet) *discovery {
	return &discovery{
		fleet:   f,
		table:   endpoints.NewTable(maxHistory),
		pending: map[int]*pendingChange{},
		random:  f.newRandom(discoveryStream).Float64,
	}
}

// workerList is a message in the form that the reducer takes.
func workerList(m endpoints.Message) scheduler.WorkerList {
	list := scheduler.WorkerList{Revision: m.Revision, Complete: m.Complete}
	if len(m.Endpoints) > 0 {
		list.Workers = make([]scheduler.Worker, len(m.Endpoints))
	}
	for i, e := range m.Endpoints {
		list.Workers[i] = scheduler.Worker{UID: e.UID, Addr: e.Addr, Zone: e.Zone, Kind: e.Kind, Cell: e.Cell,
			Status: workerStatus(e.State), Started: Micros(e.BootMs) * millisecond}
	}
	return list
}

func workerStatus(state endpoints.State) dispatch.Status {
	switch state {
	case endpoints.Ready:
		return dispatch.Ready
	case endpoints.Removed:
		return dispatch.Removed
	default:
		return dispatch.Draining
	}
}

// add lists a new worker, without a message to the watches.
func (d *discovery) add(w *worker) {
	state := endpoints.Ready
	if !w.running {
		state = endpoints.Removed
	}
	d.table.Add(endpoints.Endpoint{UID: w.uid, Addr: w.addr, Zone: zoneName(w.zone), Kind: w.kind.name,
		Cell: w.rack, State: state})
	d.notReadySince = append(d.notReadySince, 0)
}

// setState changes the state of a worker's entry with the next message.
func (d *discovery) setState(w *worker, state endpoints.State) {
	change := d.pending[w.index]
	if change == nil {
		change = &pendingChange{endpoint: d.table.At(w.index), since: d.fleet.now}
	}
	before := change.endpoint
	change.endpoint.State = state
	if state == endpoints.Ready {
		change.endpoint.BootMs = int64(w.startedAt / millisecond)
	}
	if change.endpoint == before {
		return
	}
	if len(d.pending) == 0 {
		d.fleet.after(batchInterval, d.publish)
	}
	d.pending[w.index] = change
}

// publish puts the pending changes into the list as one revision, and writes it to all watches.
func (d *discovery) publish() {
	if d.down || len(d.pending) == 0 {
		return
	}
	var published []endpoints.Endpoint
	since := d.fleet.now
	for _, index := range slices.Sorted(maps.Keys(d.pending)) {
		change := d.pending[index]
		published = append(published, change.endpoint)
		since = min(since, change.since)
		if change.endpoint.State == endpoints.Ready {
			d.notReadySince[index] = 0
		} else if d.notReadySince[index] == 0 {
			d.notReadySince[index] = change.since
		}
	}
	clear(d.pending)
	list := workerList(d.table.Publish(published...))
	d.fleet.tally.published(list.Revision, since, len(published))
	for _, s := range d.watches {
		s.write(list)
	}
}

// handleCall handles the call that opens a watch from a revision on. It is refused while discovery is
// down, and fails if it would have to wait for too long.
func (d *discovery) handleCall(s *watch, rev int64) {
	f := d.fleet
	if d.down {
		f.network.send(discoveryZone, s.node.zone, packetBytes, s.handleClose)
		return
	}
	start := max(d.busyUntil, f.now)
	if start-f.now > maxCallWait {
		f.tally.discovery.RefusedCalls++
		f.at(f.now+maxCallWait, func() { f.network.send(discoveryZone, s.node.zone, answerBytes, s.handleClose) })
		return
	}
	answer := d.table.Since(rev)
	if answer.Complete {
		f.tally.discovery.FullLists++
	} else {
		f.tally.discovery.Deltas++
	}
	d.busyUntil = start + callTime + Micros(float64(listBytes(len(answer.Endpoints)))/bytesPerMicro)
	f.tally.discovery.BusySeconds += float64(d.busyUntil-start) / float64(second)
	incarnation := d.incarnation
	d.queuedCalls = append(d.queuedCalls, s)
	f.at(d.busyUntil, func() {
		if d.incarnation == incarnation { // else the watch was closed by the restart
			d.open(s, rev)
		}
	})
}

// open answers a queued call: the watch begins with what changed since a revision, as it is now.
func (d *discovery) open(s *watch, rev int64) {
	d.queuedCalls = slices.DeleteFunc(d.queuedCalls, func(o *watch) bool { return o == s })
	s.connected = true
	place, _ := slices.BinarySearchFunc(d.watches, s.node.index,
		func(o *watch, index int) int { return o.node.index - index })
	d.watches = slices.Insert(d.watches, place, s)
	s.write(workerList(d.table.Since(rev)))
	s.heartbeat()
}

func (d *discovery) removeWatch(s *watch) {
	s.connected = false
	d.watches = slices.DeleteFunc(d.watches, func(o *watch) bool { return o == s })
}

// restart takes discovery down for a while. Its watches end. It keeps the list, but not the history of
// changes.
func (d *discovery) restart(outage Micros) {
	d.down = true
	d.incarnation++
	for _, s := range slices.Concat(d.watches, d.queuedCalls) {
		s.connected = false
		d.fleet.network.send(discoveryZone, s.node.zone, packetBytes, s.handleClose)
	}
	d.watches, d.queuedCalls = nil, nil
	d.fleet.after(outage, func() {
		d.down, d.busyUntil = false, 0
		d.table.Publish() // so that no revision from before the restart is the present one
		d.table.DropHistory()
		d.fleet.tally.published(d.table.Revision(), d.fleet.now, 0)
		d.publish()
	})
}
