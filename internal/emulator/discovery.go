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
	// batchEvery is how long discovery gathers changes into one word.
	batchEvery = 250 * millisecond
	beatEvery  = Micros(endpoints.HeartbeatInterval / time.Microsecond)
	// callTakes is the work of a call beside what it has to send; calls are worked through in turn.
	callTakes = 5 * millisecond
	sendRate  = 100.0 // bytes a microsecond that it can make of a list
	// callWaits is how long a call may wait for its turn.
	callWaits = 2 * second
	// unheardFor is how long discovery does not hear a worker before it is gone, less and more by half
	// a second.
	unheardFor = 3 * second
	agentTells = 20 * millisecond  // until the agent of a machine has told that a process died
	startTells = 200 * millisecond // until a worker that has started is listed
	lateMost   = 2 * second        // that a late line comes later
	logKept    = 4096              // versions for which discovery still knows what changed

	discoveryZone = 0
)

// discovery is the hollow service of the worker list.
type discovery struct {
	f       *fleet
	down    bool
	table   *endpoints.Table // workers by number
	leftAt  []Micros         // since when it is listed as leaving; 0: it is not
	changed map[int]*news    // not yet told
	open    []*stream        // in the order of their schedulers
	waiting []*stream        // calls that are not answered yet
	life    int              // of its process
	free    Micros           // when the calls that wait are done
	random  func() float64
	late    float64 // the part of its lines that come late
}

// news is what a worker's entry is to be with the next word, and since when that is known.
type news struct {
	to    endpoints.Endpoint
	since Micros
}

// stream is a watch, seen from both ends.
type stream struct {
	n       *node
	open    bool   // discovery still writes to it
	ended   bool   // its scheduler has taken its end in
	let     bool   // its scheduler has let it go
	written Micros // when the last line was written
	arrives Micros // when it comes: lines keep their order
	spoke   bool
	kept    []scheduler.WorkerList // written during a cut
	emptyAt Micros                 // nothing lay in the socket then
	lostAt  Micros                 // it counts as dead then, unless something comes
}

func newDiscovery(f *fleet) *discovery {
	return &discovery{f: f, table: endpoints.NewTable(logKept), changed: map[int]*news{},
		random: f.random(2).Float64}
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
	n := d.changed[w.number]
	if n == nil {
		n = &news{to: d.table.At(w.number), since: d.f.now}
	}
	was := n.to
	if n.to.State = state; state == endpoints.Ready {
		n.to.BootMs = int64(w.started / millisecond)
	}
	if n.to == was {
		return
	}
	if len(d.changed) == 0 {
		d.f.after(batchEvery, d.tell)
	}
	d.changed[w.number] = n
}

// tell publishes the changes that have come together as one revision, and writes it to all watches.
func (d *discovery) tell() {
	if d.down || len(d.changed) == 0 {
		return
	}
	var published []endpoints.Endpoint
	since := d.f.now
	for _, number := range slices.Sorted(maps.Keys(d.changed)) {
		n := d.changed[number]
		published, since = append(published, n.to), min(since, n.since)
		if n.to.State == endpoints.Ready {
			d.leftAt[number] = 0
		} else if d.leftAt[number] == 0 {
			d.leftAt[number] = n.since
		}
	}
	clear(d.changed)
	change := workerList(d.table.Publish(published...))
	d.f.tally.changed(change.Rev, since, len(published))
	for _, s := range d.open {
		s.write(change)
	}
}

// call takes the call that opens a watch.
func (d *discovery) call(s *stream, rev int64) {
	if d.down {
		d.f.net.send(discoveryZone, s.n.zone, packetBytes, s.lost) // the connection is refused
		return
	}
	f := d.f
	from := max(d.free, f.now)
	if from-f.now > callWaits {
		f.tally.discovery.RefusedCalls++
		f.at(f.now+callWaits, func() { f.net.send(discoveryZone, s.n.zone, answerBytes, s.lost) })
		return
	}
	t := d.table.Since(rev)
	if t.Complete {
		f.tally.discovery.FullLists++
	} else {
		f.tally.discovery.Deltas++
	}
	d.free = from + callTakes + Micros(float64(listBytes(len(t.Endpoints)))/sendRate)
	f.tally.discovery.BusySeconds += float64(d.free-from) / float64(second)
	life := d.life
	d.waiting = append(d.waiting, s)
	f.at(d.free, func() {
		if d.life != life {
			return // its end has been sent by then
		}
		d.waiting = slices.DeleteFunc(d.waiting, func(o *stream) bool { return o == s })
		d.join(s)
		s.write(workerList(d.table.Since(rev))) // as it is now
		s.beat()
	})
}

func (d *discovery) join(s *stream) {
	s.open = true
	i, _ := slices.BinarySearchFunc(d.open, s.n.me, func(o *stream, me int) int { return o.n.me - me })
	d.open = slices.Insert(d.open, i, s)
}

func (d *discovery) leave(s *stream) {
	s.open = false
	d.open = slices.DeleteFunc(d.open, func(o *stream) bool { return o == s })
}

// write sends a line. Lines keep their order on the way.
func (s *stream) write(t scheduler.WorkerList) {
	f := s.n.f
	if !s.open {
		return
	}
	s.written = f.now
	bytes := messageBytes(t)
	if f.net.parted(discoveryZone, s.n.zone) {
		s.kept = append(s.kept, t)
		return
	}
	s.arrives = max(s.arrives, f.now+f.net.delay(discoveryZone, s.n.zone)+Micros(float64(bytes)*perByte))
	if d := f.discovery; d.late > 0 && d.random() < d.late {
		s.arrives += Micros(d.random() * float64(lateMost))
	}
	f.at(s.arrives, func() { s.read(t, bytes) })
}

// healed sends what a cut has kept back.
func (s *stream) healed() {
	kept := s.kept
	s.kept = nil
	for _, t := range kept {
		s.write(t)
	}
}

// beat writes empty lines while nothing changes.
func (s *stream) beat() {
	f := s.n.f
	if !s.open {
		return
	}
	if f.now-s.written >= beatEvery {
		s.write(scheduler.WorkerList{})
	}
	f.at(s.written+beatEvery, s.beat)
}

// restart takes discovery down for a while. Its watches end; it keeps the list, and no longer knows
// what changed when.
func (d *discovery) restart(span Micros) {
	d.down = true
	d.life++
	for _, s := range slices.Concat(d.open, d.waiting) {
		s.open = false
		d.f.net.send(discoveryZone, s.n.zone, packetBytes, s.lost)
	}
	d.open, d.waiting = nil, nil
	d.f.after(span, func() {
		d.down, d.free = false, 0
		d.table.Publish() // so that no revision from before is the present one
		d.table.Forget()
		d.f.tally.changed(d.table.Revision(), d.f.now, 0)
		d.tell()
	})
}
