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
	answerWithin = 4 * second // until discovery has opened a watch
	silentFor    = 3 * second // between two lines of a watch
	keptFew      = 50 * millisecond
	keptMany     = 2000 * millisecond
	mostOpen     = (1024 - 32) / 4 // connections to workers
)

// node is a hollow scheduler: the real reducer and module, and in place of sockets what package
// node would do on them.
type node struct {
	f      *fleet
	me     int
	zone   int
	life   int
	sched  *scheduler.Scheduler
	random *rand.Rand

	effects []scheduler.Effect
	wakeAt  Micros // what the reducer asked for last; 0: nothing
	armed   Micros // when the next look at that is; 0: none
	present *stream
	before  *stream // until the present one says something
	left    map[string]bool
	starts  map[string]Micros // of workers, as told after the first list
	heard   Micros            // what there was to tell by then has been told
	until   Micros            // it holds until then
	rev     int64             // applied
	links   map[*worker][]*conn
	idle    []idling
	open    int
	tasks   map[scheduler.AttemptID]*conn
	unsent  scheduler.AttemptID
	callers map[scheduler.CallerID]*request
	caller  scheduler.CallerID

	use use
}

// use is what a scheduler took up since the load began.
type use struct {
	control, jobs                int64 // bytes, in and out
	controlMessages, jobMessages int64
	second                       Micros // of control bytes, for the worst one
	inSecond, worst              int64
	took, tookControl            time.Duration
	// Until when the reducer is busy: with a core for all, and with its part for control.
	busy, busyPart time.Duration
}

type idling struct {
	c     *conn
	since Micros
}

// conn is a connection to a worker.
type conn struct {
	connstate.Conn
	n         *node
	w         *worker
	life      int // of the worker's process that took it
	connected bool
	writing   bool // something of the errand has left
	wroteAt   Micros
	since     Micros // it idles
	dropped   bool
	req       *request
	uid       string
	writeBy   Micros
}

func newNode(f *fleet, me, zone int) (*node, error) {
	set := f.set
	set.Dispatch.Index, set.Dispatch.Zone = me, zone
	s, err := scheduler.New(set, f.opt.Seed<<20+uint64(me))
	if err != nil {
		return nil, err
	}
	return &node{f: f, me: me, zone: zone, sched: s, random: f.random(1_000_000 + uint64(me)), rev: 1,
		left: map[string]bool{}, starts: map[string]Micros{}, links: map[*worker][]*conn{},
		tasks: map[scheduler.AttemptID]*conn{}, callers: map[scheduler.CallerID]*request{}}, nil
}

// control and job count a message.
func (n *node) control(bytes int) {
	u := &n.use
	u.control += int64(bytes)
	u.controlMessages++
	if now := n.f.now / second; now != u.second {
		u.second, u.inSecond = now, 0
	}
	u.inSecond += int64(bytes)
	u.worst = max(u.worst, u.inSecond)
	n.f.watch.bytes(n.f, bytes)
}

func (n *node) job(bytes int) {
	n.use.jobs += int64(bytes)
	n.use.jobMessages++
}

// step passes one event to the reducer and carries its effects out.
func (n *node) step(e scheduler.Event) {
	began := time.Now()
	n.effects = n.sched.Step(n.f.now, e, n.effects[:0])
	n.f.watch.step(n, e, time.Since(began))
	for _, effect := range n.effects {
		n.carryOut(effect)
	}
}

// later has the reducer hear of something behind what happens now.
func (n *node) later(e scheduler.Event) { n.f.after(0, func() { n.step(e) }) }

func (n *node) carryOut(e scheduler.Effect) {
	switch e := e.(type) {
	case scheduler.SendAttempt:
		n.route(e)
	case scheduler.CloseConnection:
		n.abandon(e.Attempt)
	case scheduler.CancelUnsent:
		if c := n.tasks[e.Attempt]; c != nil && !c.writing {
			delete(n.tasks, e.Attempt)
			n.drop(c)
			n.later(scheduler.AttemptEnded{Attempt: e.Attempt, Outcome: dispatch.NotSent})
		}
	case scheduler.CancelAttempt:
		n.withdraw(e)
	case scheduler.Answer:
		if req := n.callers[e.Caller]; req != nil {
			delete(n.callers, e.Caller)
			n.job(answerBytes + len(e.Body))
			req.answer(e)
			n.f.net.send(n.zone, req.zone, answerBytes, func() { n.f.clients.answered(req, e) })
		}
	case scheduler.SetTimer:
		n.wakeAt = e.At
		n.arm()
	case scheduler.OpenWatch:
		n.openWatch(e)
	case scheduler.StopUsingWorker:
		n.left[e.UID] = true
		w := n.f.byUID[e.UID]
		for _, c := range n.links[w] {
			n.drop(c)
		}
		delete(n.links, w)
	case scheduler.ResumeWorker:
		delete(n.left, e.UID)
	case scheduler.Log:
		n.f.tally.model.Log[kindOfLine(e.Text)]++
	}
}

// kindOfLine is a line of the log without its numbers.
func kindOfLine(text string) string {
	words := strings.Fields(text)
	for i, w := range words {
		if strings.Trim(w, "0123456789") == "" {
			words[i] = "N"
		}
	}
	return strings.Join(words, " ")
}

// arm sets the timer, unless it rings early enough.
func (n *node) arm() {
	at := max(n.wakeAt, n.f.now)
	if n.armed != 0 && n.armed <= at {
		return
	}
	n.armed = at
	n.f.at(at, func() {
		if n.armed != at {
			return
		}
		n.armed = 0
		switch {
		case n.wakeAt == 0:
		case n.wakeAt <= n.f.now:
			n.wakeAt = 0
			n.step(scheduler.TimerFired{})
		default:
			n.arm()
		}
	})
}

// ---- Discovery

func (n *node) openWatch(w scheduler.OpenWatch) {
	if w.ValidUntil != 0 {
		n.until = min(n.until, w.ValidUntil)
	}
	if n.present != nil && !n.present.ended {
		if n.before != nil {
			n.release(n.before)
		}
		n.before = n.present
	}
	s := &stream{n: n, emptyAt: n.f.now, lostAt: n.f.now + answerWithin}
	n.present = s
	n.control(watchBytes)
	d := n.f.discovery
	// The connection comes up first.
	n.f.net.send(n.zone, discoveryZone, packetBytes, func() {
		n.f.net.send(discoveryZone, n.zone, packetBytes, func() {
			n.f.net.send(n.zone, discoveryZone, watchBytes, func() {
				if !s.let && !s.ended {
					d.call(s, w.Rev)
				}
			})
		})
	})
	s.guard()
}

// guard ends a watch on which nothing comes for too long.
func (s *stream) guard() {
	f := s.n.f
	f.at(s.lostAt, func() {
		switch {
		case s.ended || s.let:
		case f.now >= s.lostAt:
			s.lost()
		default:
			s.guard()
		}
	})
}

// release lets a watch go.
func (n *node) release(s *stream) {
	s.let, s.ended = true, true
	if s.open {
		n.f.discovery.leave(s)
	}
}

// read takes a line.
func (s *stream) read(t scheduler.WorkerList, bytes int) {
	n := s.n
	now := n.f.now
	if s.ended || s.let {
		return
	}
	n.control(bytes)
	e := scheduler.EndpointsUpdated{List: t, AsOf: min(now, s.emptyAt+n.f.set.DrainGrace/2)}
	s.spoke, s.emptyAt, s.lostAt = true, now, now+silentFor
	heard := e.AsOf
	if s == n.present {
		if n.before != nil {
			n.release(n.before)
			n.before = nil
		}
	} else {
		e.FromPreviousWatch, heard = true, 0
	}
	trusted := n.until
	for _, r := range t.Workers {
		if r.Started != 0 {
			n.starts[r.UID] = r.Started
		}
	}
	n.step(e)
	if heard != 0 {
		n.heard, n.until = heard, heard+toldWithin
	}
	if t.Rev != 0 && !e.FromPreviousWatch {
		n.f.tally.applied(n, t.Rev, trusted)
	}
}

// lost tells the reducer of a watch's end.
func (s *stream) lost() {
	n := s.n
	if s.ended || s.let {
		return
	}
	s.ended = true
	if s.open {
		n.f.discovery.leave(s)
	}
	n.f.tally.discovery.Lost++
	if s == n.before {
		n.before = nil
		return
	}
	if s != n.present {
		return
	}
	if s.spoke { // the fleet's list is asked for, see told.lost
		n.until = min(n.until, n.heard+n.f.set.Dispatch.PollInterval)
	}
	n.step(scheduler.WatchClosed{ValidUntil: n.until})
}

// may is the last look before a task leaves.
func (n *node) may(uid string) bool {
	if n.left[uid] || n.f.now > n.until {
		return false
	}
	for _, s := range []*stream{n.present, n.before} {
		if s != nil && !s.ended {
			s.emptyAt = n.f.now
		}
	}
	return true
}

// ---- Workers

// assign finds a connection for an errand: one that idles, or a new one.
func (n *node) assign(w *worker, withdraw bool) *conn {
	n.retireIdle()
	if !withdraw {
		for idle := n.links[w]; len(idle) > 0; idle = n.links[w] {
			c := idle[len(idle)-1]
			n.links[w] = idle[:len(idle)-1]
			if c.life != w.life && !w.gone && n.f.now >= w.diedAt+2*inRegion {
				n.drop(c) // its end has come
				continue
			}
			return c
		}
	}
	if n.open >= mostOpen-mostOpen/8 {
		n.dropOldest()
	}
	if n.open >= mostOpen {
		n.f.tally.model.NoConnection++
		return nil
	}
	n.open++
	return &conn{n: n, w: w}
}

func (n *node) kept() Micros {
	if n.f.set.Dispatch.LargeFleet() {
		return keptMany
	}
	return keptFew
}

func (n *node) retireIdle() {
	for len(n.idle) > 0 && n.f.now-n.idle[0].since >= n.kept() {
		n.dropOldest()
	}
}

// dropOldest closes the connection that has idled longest.
func (n *node) dropOldest() {
	for len(n.idle) > 0 {
		o := n.idle[0]
		n.idle = n.idle[1:]
		if o.c.Busy || o.c.Released || o.c.since != o.since {
			continue // it was used again
		}
		links := n.links[o.c.w]
		for i, c := range links {
			if c == o.c {
				links = append(links[:i], links[i+1:]...)
				break
			}
		}
		if n.links[o.c.w] = links; len(links) == 0 {
			delete(n.links, o.c.w)
		}
		n.drop(o.c)
		return
	}
}

func (n *node) drop(c *conn) {
	if !c.dropped {
		n.open--
	}
	c.Release()
	c.dropped = true
}

func (n *node) route(r scheduler.SendAttempt) {
	w, req := n.f.byUID[r.UID], r.Payload.(*request)
	c := n.assign(w, false)
	if c == nil {
		n.later(scheduler.AttemptEnded{Attempt: r.Attempt, Outcome: dispatch.ConnectFailed})
		return
	}
	c.Assign(r.Attempt, false)
	c.req, c.uid, c.writeBy, c.writing = req, r.UID, r.WriteBy, false
	n.tasks[r.Attempt] = c
	n.f.tally.model.Attempts++
	c.start()
}

func (n *node) withdraw(e scheduler.CancelAttempt) {
	if n.unsent == e.Attempt {
		n.later(scheduler.CancellationResult{Attempt: e.Attempt, Acknowledged: true})
		return
	}
	c := n.assign(n.f.byAddr[e.Addr], true)
	if c == nil {
		n.later(scheduler.CancellationResult{Attempt: e.Attempt})
		return
	}
	c.Assign(e.Attempt, true)
	c.uid, c.writeBy = e.ID, e.Deadline
	n.tasks[e.Attempt] = c
	c.start()
}

func (n *node) abandon(task scheduler.AttemptID) {
	c := n.tasks[task]
	if c == nil {
		return
	}
	delete(n.tasks, task)
	if !c.Cancel && !c.writing {
		n.unsent = task
	}
	n.drop(c)
}

// on tells whether the connection still carries an errand.
func (c *conn) on(task scheduler.AttemptID) bool { return !c.Released && c.Busy && c.Attempt == task }

// start brings the connection up, if it is not, and writes the errand.
func (c *conn) start() {
	f, task := c.n.f, c.Attempt
	if c.connected {
		f.after(0, func() { c.write(task) })
		return
	}
	f.at(c.writeBy, func() {
		if c.on(task) && !c.writing {
			c.failed(false, dispatch.ConnectFailed)
		}
	})
	c.n.job(packetBytes)
	f.net.send(c.n.zone, c.w.zone, packetBytes, func() {
		c.w.reach(func() {
			up, life := c.w.up, c.w.life
			f.net.send(c.w.zone, c.n.zone, packetBytes, func() {
				switch {
				case !c.on(task) || c.writing:
				case !up:
					c.failed(true, dispatch.ConnectFailed)
				default:
					c.connected, c.life = true, life
					c.write(task)
				}
			})
		})
	})
}

// write sends the errand, after the last look.
func (c *conn) write(task scheduler.AttemptID) {
	n, f := c.n, c.n.f
	if !c.on(task) || c.writing {
		return
	}
	if c.Cancel {
		c.writing = true
		n.job(withdrawBytes)
		c.WriteEnded(connstate.WriteComplete)
		f.net.send(n.zone, c.w.zone, withdrawBytes, func() {
			c.w.reach(func() {
				switch {
				case c.life != c.w.life:
					f.net.send(c.w.zone, n.zone, packetBytes, func() { c.broke(task) })
				case c.late(): // the connection was closed before it came
				case c.w.withdraw(c.uid):
					c.w.answer(c, connstate.Answer{Status: 200, Close: true})
				default:
					c.w.answer(c, connstate.Answer{Status: 404, Close: true})
				}
			})
		})
		c.wroteAt = f.now
		return
	}
	switch {
	case !n.may(c.uid):
		f.tally.model.TurnedBack++
		c.failed(false, dispatch.NotSent)
		return
	case f.now > c.writeBy:
		c.failed(false, dispatch.ConnectFailed)
		return
	}
	req := c.req
	f.tally.sends(n, c.w, req)
	c.writing, c.wroteAt = true, f.now
	bytes := requestBytes
	n.job(bytes)
	req.open++
	if next, e := c.WriteEnded(connstate.WriteComplete); e != nil {
		c.next(next, e)
	}
	life := c.life
	f.net.send(n.zone, c.w.zone, bytes, func() {
		c.w.reach(func() {
			switch {
			case c.late() && c.Released: // let go with what had not left
			case life != c.w.life || !c.w.up:
				f.net.send(c.w.zone, n.zone, packetBytes, func() { c.broke(task) })
			default:
				c.w.take(c, req)
			}
			req.close()
		})
	})
}

// late tells whether what was written lay in the machine for long, with nobody to take it.
func (c *conn) late() bool { return c.n.f.now-c.wroteAt > 300*millisecond }

// failed tells that the errand's last byte did not get out.
func (c *conn) failed(refused bool, o dispatch.Outcome) {
	result := connstate.WriteFailed
	if refused {
		result = connstate.ConnectRefused
	}
	next, e := c.WriteEnded(result)
	if end, is := e.(scheduler.AttemptEnded); is {
		if o == dispatch.ConnectFailed && refused && c.n.noRoom(c) {
			o = dispatch.AtCapacity
		}
		end.Outcome = o
		e = end
	}
	c.next(next, e)
}

// noRoom is what package node takes for a lack of room: refused while others of ours stand.
func (n *node) noRoom(c *conn) bool {
	for _, o := range n.links[c.w] {
		if o.life == c.w.life {
			return true
		}
	}
	for _, o := range n.tasks {
		if o != c && o.w == c.w && o.Written {
			return true
		}
	}
	return false
}

func (c *conn) broke(task scheduler.AttemptID) {
	if !c.on(task) {
		return
	}
	next, e := c.ReadEnded()
	c.next(next, e)
}

func (c *conn) answered(a connstate.Answer) {
	next, e := c.Answered(a)
	if next == connstate.Idle {
		n := c.n
		c.since = n.f.now
		n.links[c.w] = append(n.links[c.w], c)
		n.idle = append(n.idle, idling{c, c.since})
	}
	c.next(next, e)
}

func (c *conn) next(next connstate.Disposition, e scheduler.Event) {
	n := c.n
	if next == connstate.Drop {
		n.drop(c)
	}
	if e == nil {
		return
	}
	delete(n.tasks, c.Attempt)
	n.step(e)
}

// submit takes a client's request.
func (n *node) submit(req *request) {
	n.caller++
	n.callers[n.caller] = req
	req.taken()
	n.job(requestBytes)
	n.step(scheduler.Submitted{Caller: n.caller, ID: req.id, Class: classes[req.item.class].name,
		Tenant: teamName(req.item.team), Deadline: n.f.now + req.patience/millisecond*millisecond,
		Slots: req.item.slots, Retry: req.item.tries > 1, Payload: req})
}
