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
	// batchInterval is how long discovery collects changes of the worker list before it publishes the changes
	// as one revision.
	batchInterval     = 250 * millisecond
	heartbeatInterval = Micros(endpoints.HeartbeatInterval / time.Microsecond)

	// callProcessingTime is how long discovery processes a call that opens a watch, without the time for
	// writing the list. Discovery processes one call at a time.
	callProcessingTime = 5 * millisecond
	listBytesPerMicro  = 100.0      // bytes of a list that discovery writes per microsecond
	maxCallWait        = 2 * second // longest time that a call that opens a watch waits for its processing

	// livenessTimeout is how long the heartbeats of a worker must be missing until discovery removes the worker
	// from the list. The actual time varies randomly by up to half a second in both directions.
	livenessTimeout   = 3 * second
	agentReportDelay  = 20 * millisecond  // time until a machine's agent reports a crash to discovery
	registrationDelay = 200 * millisecond // time from the start of a worker until discovery learns of the start

	maxLineDelay     = 2 * second // largest additional delay of a late line of a watch
	maxChangeHistory = 4096       // number of revisions of the worker list whose changes discovery remembers

	discoveryZone = 0 // zone in which the discovery service runs
)

// discovery is the simulated discovery service, which maintains the worker list. A scheduler opens a watch
// with a call, and discovery writes changes of the worker list to the watch.
type discovery struct {
	fleet           *fleet
	down            bool
	table           *endpoints.Table       // the published worker list; worker.index is the worker's position
	notReadySince   []Micros               // time since which a worker is not ready, or 0; by worker.index
	pending         map[int]*pendingChange // unpublished changes of the worker list by worker.index
	watches         []*watch               // open watches, ordered by the index of their schedulers
	queuedCalls     []*watch               // watches whose opening call is not yet answered
	incarnation     int                    // number of restarts of the discovery process
	busyUntil       Micros                 // time at which the calls queued so far are answered
	random          func() float64
	delayedFraction float64 // fraction of the lines of watches that get an additional delay
}

// pendingChange is the new entry of a worker that the next revision of the worker list will contain.
type pendingChange struct {
	endpoint endpoints.Endpoint
	since    Micros // time at which discovery learned of the change
}

func newDiscovery(f *fleet) *discovery {
	return &discovery{
		fleet:   f,
		table:   endpoints.NewTable(maxChangeHistory),
		pending: map[int]*pendingChange{},
		random:  f.newRandom(discoveryStream).Float64,
	}
}

// workerList converts a message of discovery to the type that the reducer accepts.
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

// add adds a new worker to the worker list without publishing a revision.
func (d *discovery) add(w *worker) {
	state := endpoints.Ready
	if !w.running {
		state = endpoints.Removed
	}
	d.table.Add(endpoints.Endpoint{UID: w.uid, Addr: w.addr, Zone: zoneName(w.zone), Kind: w.kind.name,
		Cell: w.rack, State: state})
	d.notReadySince = append(d.notReadySince, 0)
}

// setState changes the state of a worker's entry in the next revision of the worker list.
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
		d.fleet.scheduleAfter(batchInterval, d.publish)
	}
	d.pending[w.index] = change
}

// publish applies the pending changes to the worker list as one revision, and writes the revision to all
// watches.
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
	d.fleet.tally.recordRevision(list.Revision, since, len(published))
	for _, s := range d.watches {
		s.write(list)
	}
}

// handleCall handles a call that opens a watch for the changes after revision rev. While discovery is down,
// handleCall refuses the call at once. If the call would wait longer than maxCallWait for its processing,
// handleCall refuses the call after maxCallWait.
func (d *discovery) handleCall(s *watch, rev int64) {
	f := d.fleet
	if d.down {
		f.network.send(discoveryZone, s.node.zone, packetBytes, s.handleClose)
		return
	}
	start := max(d.busyUntil, f.now)
	if start-f.now > maxCallWait {
		f.tally.discovery.RefusedCalls++
		f.scheduleAt(f.now+maxCallWait, func() {
			f.network.send(discoveryZone, s.node.zone, answerBytes, s.handleClose)
		})
		return
	}
	answer := d.table.Since(rev)
	if answer.Complete {
		f.tally.discovery.FullLists++
	} else {
		f.tally.discovery.Deltas++
	}
	d.busyUntil = start + callProcessingTime +
		Micros(float64(listBytes(len(answer.Endpoints)))/listBytesPerMicro)
	f.tally.discovery.BusySeconds += float64(d.busyUntil-start) / float64(second)
	incarnation := d.incarnation
	d.queuedCalls = append(d.queuedCalls, s)
	f.scheduleAt(d.busyUntil, func() {
		if d.incarnation == incarnation { // A restart of discovery changes the incarnation and closes the watch.
			d.open(s, rev)
		}
	})
}

// open answers the queued call that opens watch s. The first line of the watch holds the changes of the
// worker list since revision rev, or the full list if discovery no longer remembers the changes.
func (d *discovery) open(s *watch, rev int64) {
	d.queuedCalls = slices.DeleteFunc(d.queuedCalls, func(o *watch) bool { return o == s })
	s.connected = true
	position, _ := slices.BinarySearchFunc(d.watches, s.node.index,
		func(o *watch, index int) int { return o.node.index - index })
	d.watches = slices.Insert(d.watches, position, s)
	s.write(workerList(d.table.Since(rev)))
	s.heartbeat()
}

func (d *discovery) removeWatch(s *watch) {
	s.connected = false
	d.watches = slices.DeleteFunc(d.watches, func(o *watch) bool { return o == s })
}

// restart takes discovery down for the duration of the outage and closes all watches. Discovery keeps the
// worker list, but loses the history of changes.
func (d *discovery) restart(outage Micros) {
	d.down = true
	d.incarnation++
	for _, s := range slices.Concat(d.watches, d.queuedCalls) {
		s.connected = false
		d.fleet.network.send(discoveryZone, s.node.zone, packetBytes, s.handleClose)
	}
	d.watches, d.queuedCalls = nil, nil
	d.fleet.scheduleAfter(outage, func() {
		d.down, d.busyUntil = false, 0
		// An empty revision makes all earlier revisions outdated. After DropHistory, discovery answers a call that
		// names an earlier revision with the full list.
		d.table.Publish()
		d.table.DropHistory()
		d.fleet.tally.recordRevision(d.table.Revision(), d.fleet.now, 0)
		d.publish()
	})
}
