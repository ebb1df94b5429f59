package emulator

import (
	"math/rand/v2"
	"strings"
	"time"

	"dahliaford/internal/connstate"
	"dahliaford/internal/dispatch"
	"dahliaford/internal/scheduler"
)

// What package node holds to.
const (
	watchOpenTimeout      = 4 * second // until discovery has opened a watch
	watchSilenceTimeout   = 3 * second // between two lines of a watch
	idleTimeoutSmallFleet = 50 * millisecond
	idleTimeoutLargeFleet = 2000 * millisecond
	maxConnections        = (1024 - 32) / 4 // connections to workers
)

// node is a hollow scheduler: the real reducer and module, and in place of sockets what package
// node would do on them.
type node struct {
	fleet   *fleet
	index   int
	zone    int
	life    int
	reducer *scheduler.Scheduler
	random  *rand.Rand

	effects         []scheduler.Effect
	wakeAt          Micros // what the reducer asked for last; 0: nothing
	timerAt         Micros // when the next look at that is; 0: none
	watch           *watch
	previousWatch   *watch // until the present one says something
	stoppedWorkers  map[string]bool
	workerStarts    map[string]Micros // of workers, as told after the first list
	listAsOf        Micros            // what there was to tell by then has been told
	validUntil      Micros            // it holds until then
	appliedRevision int64             // applied
	idleConns       map[*worker][]*conn
	idleOrder       []idleEntry
	openConns       int
	attempts        map[scheduler.AttemptID]*conn
	lastUnsent      scheduler.AttemptID
	callers         map[scheduler.CallerID]*request
	lastCaller      scheduler.CallerID

	usage nodeUsage
}

// nodeUsage is what a scheduler took up since the load began.
type nodeUsage struct {
	controlBytes, jobBytes         int64 // bytes, in and out
	controlMessages, jobMessages   int64
	currentSecond                  Micros // of control bytes, for the worst one
	bytesInSecond, peakSecondBytes int64
	reducerTime, controlTime       time.Duration
	// Until when the reducer is busy: with a core for all, and with its part for control.
	busyUntil, controlBusyUntil time.Duration
}

type idleEntry struct {
	conn  *conn
	since Micros
}

// conn is a connection to a worker.
type conn struct {
	connstate.Conn
	node        *node
	worker      *worker
	incarnation int // of the worker's process that took it
	connected   bool
	writing     bool // something of the errand has left
	writtenAt   Micros
	idleSince   Micros // it idles
	closed      bool
	request     *request
	uid         string
	writeBy     Micros
}

func newNode(f *fleet, me, zone int) (*node, error) {
	set := f.settings
	set.Dispatch.Index, set.Dispatch.Zone = me, zone
	s, err := scheduler.New(set, f.options.Seed<<20+uint64(me))
	if err != nil {
		return nil, err
	}
	return &node{fleet: f, index: me, zone: zone, reducer: s, random: f.newRandom(1_000_000 + uint64(me)), appliedRevision: 1,
		stoppedWorkers: map[string]bool{}, workerStarts: map[string]Micros{}, idleConns: map[*worker][]*conn{},
		attempts: map[scheduler.AttemptID]*conn{}, callers: map[scheduler.CallerID]*request{}}, nil
}

// countControlMessage and job count a message.
func (n *node) countControlMessage(bytes int) {
	u := &n.usage
	u.controlBytes += int64(bytes)
	u.controlMessages++
	if now := n.fleet.now / second; now != u.currentSecond {
		u.currentSecond, u.bytesInSecond = now, 0
	}
	u.bytesInSecond += int64(bytes)
	u.peakSecondBytes = max(u.peakSecondBytes, u.bytesInSecond)
	n.fleet.meter.countControlBytes(n.fleet, bytes)
}

func (n *node) countJobMessage(bytes int) {
	n.usage.jobBytes += int64(bytes)
	n.usage.jobMessages++
}

// step passes one event to the reducer and carries its effects out.
func (n *node) step(e scheduler.Event) {
	began := time.Now()
	n.effects = n.reducer.Step(n.fleet.now, e, n.effects[:0])
	n.fleet.meter.recordStep(n, e, time.Since(began))
	for _, effect := range n.effects {
		n.execute(effect)
	}
}

// stepLater has the reducer hear of something behind what happens now.
func (n *node) stepLater(e scheduler.Event) { n.fleet.after(0, func() { n.step(e) }) }

func (n *node) execute(e scheduler.Effect) {
	switch e := e.(type) {
	case scheduler.SendAttempt:
		n.sendAttempt(e)
	case scheduler.CloseConnection:
		n.abandonAttempt(e.Attempt)
	case scheduler.CancelUnsent:
		if c := n.attempts[e.Attempt]; c != nil && !c.writing {
			delete(n.attempts, e.Attempt)
			n.closeConn(c)
			n.stepLater(scheduler.AttemptEnded{Attempt: e.Attempt, Outcome: dispatch.NotSent})
		}
	case scheduler.CancelAttempt:
		n.cancelAttempt(e)
	case scheduler.Answer:
		if req := n.callers[e.Caller]; req != nil {
			delete(n.callers, e.Caller)
			n.countJobMessage(answerBytes + len(e.Body))
			req.recordAnswer(e)
			n.fleet.network.send(n.zone, req.zone, answerBytes, func() { n.fleet.clients.handleAnswer(req, e) })
		}
	case scheduler.SetTimer:
		n.wakeAt = e.At
		n.armTimer()
	case scheduler.OpenWatch:
		n.openWatch(e)
	case scheduler.StopUsingWorker:
		n.stoppedWorkers[e.UID] = true
		w := n.fleet.byUID[e.UID]
		for _, c := range n.idleConns[w] {
			n.closeConn(c)
		}
		delete(n.idleConns, w)
	case scheduler.ResumeWorker:
		delete(n.stoppedWorkers, e.UID)
	case scheduler.Log:
		n.fleet.tally.model.LogLines[logTemplate(e.Text)]++
	}
}

// logTemplate is a line of the log without its numbers.
func logTemplate(text string) string {
	words := strings.Fields(text)
	for i, w := range words {
		if strings.Trim(w, "0123456789") == "" {
			words[i] = "N"
		}
	}
	return strings.Join(words, " ")
}

// armTimer sets the timer, unless it rings early enough.
func (n *node) armTimer() {
	at := max(n.wakeAt, n.fleet.now)
	if n.timerAt != 0 && n.timerAt <= at {
		return
	}
	n.timerAt = at
	n.fleet.at(at, func() {
		if n.timerAt != at {
			return
		}
		n.timerAt = 0
		switch {
		case n.wakeAt == 0:
		case n.wakeAt <= n.fleet.now:
			n.wakeAt = 0
			n.step(scheduler.TimerFired{})
		default:
			n.armTimer()
		}
	})
}

// ---- Discovery

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
	s := &watch{node: n, emptyAt: n.fleet.now, timeoutAt: n.fleet.now + watchOpenTimeout}
	n.watch = s
	n.countControlMessage(openWatchBytes)
	d := n.fleet.discovery
	// The connection comes up first.
	n.fleet.network.send(n.zone, discoveryZone, packetBytes, func() {
		n.fleet.network.send(discoveryZone, n.zone, packetBytes, func() {
			n.fleet.network.send(n.zone, discoveryZone, openWatchBytes, func() {
				if !s.released && !s.closed {
					d.handleCall(s, w.Rev)
				}
			})
		})
	})
	s.awaitTimeout()
}

// awaitTimeout ends a watch on which nothing comes for too long.
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

// releaseWatch lets a watch go.
func (n *node) releaseWatch(s *watch) {
	s.released, s.closed = true, true
	if s.connected {
		n.fleet.discovery.removeWatch(s)
	}
}

// receive takes a line.
func (s *watch) receive(t scheduler.WorkerList, bytes int) {
	n := s.node
	now := n.fleet.now
	if s.closed || s.released {
		return
	}
	n.countControlMessage(bytes)
	e := scheduler.EndpointsUpdated{List: t, AsOf: min(now, s.emptyAt+n.fleet.settings.DrainGrace/2)}
	s.received, s.emptyAt, s.timeoutAt = true, now, now+watchSilenceTimeout
	heard := e.AsOf
	if s == n.watch {
		if n.previousWatch != nil {
			n.releaseWatch(n.previousWatch)
			n.previousWatch = nil
		}
	} else {
		e.FromPreviousWatch, heard = true, 0
	}
	trusted := n.validUntil
	for _, r := range t.Workers {
		if r.Started != 0 {
			n.workerStarts[r.UID] = r.Started
		}
	}
	n.step(e)
	if heard != 0 {
		n.listAsOf, n.validUntil = heard, heard+staleAfter
	}
	if t.Rev != 0 && !e.FromPreviousWatch {
		n.fleet.tally.changeApplied(n, t.Rev, trusted)
	}
}

// handleClose tells the reducer of a watch's end.
func (s *watch) handleClose() {
	n := s.node
	if s.closed || s.released {
		return
	}
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
	if s.received { // the fleet's list is asked for, see told.lost
		n.validUntil = min(n.validUntil, n.listAsOf+n.fleet.settings.Dispatch.PollInterval)
	}
	n.step(scheduler.WatchClosed{ValidUntil: n.validUntil})
}

// allowSend is the last look before a task leaves.
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

// ---- Workers

// acquireConn finds a connection for an errand: one that idles, or a new one.
func (n *node) acquireConn(w *worker, withdraw bool) *conn {
	n.closeExpiredConns()
	if !withdraw {
		for idle := n.idleConns[w]; len(idle) > 0; idle = n.idleConns[w] {
			c := idle[len(idle)-1]
			n.idleConns[w] = idle[:len(idle)-1]
			if c.incarnation != w.incarnation && !w.unreachable && n.fleet.now >= w.diedAt+2*regionDelay {
				n.closeConn(c) // its end has come
				continue
			}
			return c
		}
	}
	if n.openConns >= maxConnections-maxConnections/8 {
		n.closeOldestIdle()
	}
	if n.openConns >= maxConnections {
		n.fleet.tally.model.NoConnection++
		return nil
	}
	n.openConns++
	return &conn{node: n, worker: w}
}

func (n *node) idleTimeout() Micros {
	if n.fleet.settings.Dispatch.LargeFleet() {
		return idleTimeoutLargeFleet
	}
	return idleTimeoutSmallFleet
}

func (n *node) closeExpiredConns() {
	for len(n.idleOrder) > 0 && n.fleet.now-n.idleOrder[0].since >= n.idleTimeout() {
		n.closeOldestIdle()
	}
}

// closeOldestIdle closes the connection that has idled longest.
func (n *node) closeOldestIdle() {
	for len(n.idleOrder) > 0 {
		o := n.idleOrder[0]
		n.idleOrder = n.idleOrder[1:]
		if o.conn.Busy || o.conn.Released || o.conn.idleSince != o.since {
			continue // it was used again
		}
		links := n.idleConns[o.conn.worker]
		for i, c := range links {
			if c == o.conn {
				links = append(links[:i], links[i+1:]...)
				break
			}
		}
		if n.idleConns[o.conn.worker] = links; len(links) == 0 {
			delete(n.idleConns, o.conn.worker)
		}
		n.closeConn(o.conn)
		return
	}
}

func (n *node) closeConn(c *conn) {
	if !c.closed {
		n.openConns--
	}
	c.Release()
	c.closed = true
}

func (n *node) sendAttempt(r scheduler.SendAttempt) {
	w, req := n.fleet.byUID[r.UID], r.Payload.(*request)
	c := n.acquireConn(w, false)
	if c == nil {
		n.stepLater(scheduler.AttemptEnded{Attempt: r.Attempt, Outcome: dispatch.ConnectFailed})
		return
	}
	c.Assign(r.Attempt, false)
	c.request, c.uid, c.writeBy, c.writing = req, r.UID, r.WriteBy, false
	n.attempts[r.Attempt] = c
	n.fleet.tally.model.Attempts++
	c.start()
}

func (n *node) cancelAttempt(e scheduler.CancelAttempt) {
	if n.lastUnsent == e.Attempt {
		n.stepLater(scheduler.CancellationResult{Attempt: e.Attempt, Acknowledged: true})
		return
	}
	c := n.acquireConn(n.fleet.byAddr[e.Addr], true)
	if c == nil {
		n.stepLater(scheduler.CancellationResult{Attempt: e.Attempt})
		return
	}
	c.Assign(e.Attempt, true)
	c.uid, c.writeBy = e.ID, e.Deadline
	n.attempts[e.Attempt] = c
	c.start()
}

func (n *node) abandonAttempt(task scheduler.AttemptID) {
	c := n.attempts[task]
	if c == nil {
		return
	}
	delete(n.attempts, task)
	if !c.Cancel && !c.writing {
		n.lastUnsent = task
	}
	n.closeConn(c)
}

// carries tells whether the connection still carries an errand.
func (c *conn) carries(task scheduler.AttemptID) bool {
	return !c.Released && c.Busy && c.Attempt == task
}

// start brings the connection up, if it is not, and writes the errand.
func (c *conn) start() {
	f, task := c.node.fleet, c.Attempt
	if c.connected {
		f.after(0, func() { c.write(task) })
		return
	}
	f.at(c.writeBy, func() {
		if c.carries(task) && !c.writing {
			c.writeFailed(false, dispatch.ConnectFailed)
		}
	})
	c.node.countJobMessage(packetBytes)
	f.network.send(c.node.zone, c.worker.zone, packetBytes, func() {
		c.worker.deliver(func() {
			up, life := c.worker.running, c.worker.incarnation
			f.network.send(c.worker.zone, c.node.zone, packetBytes, func() {
				switch {
				case !c.carries(task) || c.writing:
				case !up:
					c.writeFailed(true, dispatch.ConnectFailed)
				default:
					c.connected, c.incarnation = true, life
					c.write(task)
				}
			})
		})
	})
}

// write sends the errand, after the last look.
func (c *conn) write(task scheduler.AttemptID) {
	n, f := c.node, c.node.fleet
	if !c.carries(task) || c.writing {
		return
	}
	if c.Cancel {
		c.writing = true
		n.countJobMessage(cancelBytes)
		c.WriteEnded(connstate.WriteComplete)
		f.network.send(n.zone, c.worker.zone, cancelBytes, func() {
			c.worker.deliver(func() {
				switch {
				case c.incarnation != c.worker.incarnation:
					f.network.send(c.worker.zone, n.zone, packetBytes, func() { c.resetByPeer(task) })
				case c.writtenTooLongAgo(): // the connection was closed before it came
				case c.worker.cancel(c.uid):
					c.worker.respond(c, connstate.Answer{Status: 200, Close: true})
				default:
					c.worker.respond(c, connstate.Answer{Status: 404, Close: true})
				}
			})
		})
		c.writtenAt = f.now
		return
	}
	switch {
	case !n.allowSend(c.uid):
		f.tally.model.NotSent++
		c.writeFailed(false, dispatch.NotSent)
		return
	case f.now > c.writeBy:
		c.writeFailed(false, dispatch.ConnectFailed)
		return
	}
	req := c.request
	f.tally.checkSend(n, c.worker, req)
	c.writing, c.writtenAt = true, f.now
	bytes := requestBytes
	n.countJobMessage(bytes)
	req.outstanding++
	if next, e := c.WriteEnded(connstate.WriteComplete); e != nil {
		c.finish(next, e)
	}
	life := c.incarnation
	f.network.send(n.zone, c.worker.zone, bytes, func() {
		c.worker.deliver(func() {
			switch {
			case c.writtenTooLongAgo() && c.Released: // let go with what had not left
			case life != c.worker.incarnation || !c.worker.running:
				f.network.send(c.worker.zone, n.zone, packetBytes, func() { c.resetByPeer(task) })
			default:
				c.worker.receive(c, req)
			}
			req.release()
		})
	})
}

// writtenTooLongAgo tells whether what was written lay in the machine for long, with nobody to take it.
func (c *conn) writtenTooLongAgo() bool { return c.node.fleet.now-c.writtenAt > 300*millisecond }

// writeFailed tells that the errand's last byte did not get out.
func (c *conn) writeFailed(refused bool, o dispatch.Outcome) {
	result := connstate.WriteFailed
	if refused {
		result = connstate.ConnectRefused
	}
	next, e := c.WriteEnded(result)
	if end, is := e.(scheduler.AttemptEnded); is {
		if o == dispatch.ConnectFailed && refused && c.node.workerAtCapacity(c) {
			o = dispatch.AtCapacity
		}
		end.Outcome = o
		e = end
	}
	c.finish(next, e)
}

// workerAtCapacity is what package node takes for a lack of room: refused while others of ours stand.
func (n *node) workerAtCapacity(c *conn) bool {
	for _, o := range n.idleConns[c.worker] {
		if o.incarnation == c.worker.incarnation {
			return true
		}
	}
	for _, o := range n.attempts {
		if o != c && o.worker == c.worker && o.Written {
			return true
		}
	}
	return false
}

func (c *conn) resetByPeer(task scheduler.AttemptID) {
	if !c.carries(task) {
		return
	}
	next, e := c.ReadEnded()
	c.finish(next, e)
}

func (c *conn) handleAnswer(a connstate.Answer) {
	next, e := c.Answered(a)
	if next == connstate.Idle {
		n := c.node
		c.idleSince = n.fleet.now
		n.idleConns[c.worker] = append(n.idleConns[c.worker], c)
		n.idleOrder = append(n.idleOrder, idleEntry{c, c.idleSince})
	}
	c.finish(next, e)
}

func (c *conn) finish(next connstate.Disposition, e scheduler.Event) {
	n := c.node
	if next == connstate.Drop {
		n.closeConn(c)
	}
	if e == nil {
		return
	}
	delete(n.attempts, c.Attempt)
	n.step(e)
}

// submit takes a client's request.
func (n *node) submit(req *request) {
	n.lastCaller++
	n.callers[n.lastCaller] = req
	req.received()
	n.countJobMessage(requestBytes)
	n.step(scheduler.Submitted{Caller: n.lastCaller, ID: req.id, Class: classes[req.job.class].name,
		Tenant: teamName(req.job.team), Deadline: n.fleet.now + req.timeout/millisecond*millisecond,
		Slots: req.job.slots, Retry: req.job.submissions > 1, Payload: req})
}
