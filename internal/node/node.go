// Package node carries out the effects that the scheduler asks for, on sockets: it
// owns the client listener, the connections to workers, the discovery watch and the
// timer, and runs the one loop that feeds the scheduler.
package node

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"net"
	"os"
	"runtime/debug"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"dahliaford/internal/scheduler"
	"dahliaford/internal/settings"
)

// Config is what a node is told at its start.
type Config struct {
	Name         string
	Listen       string
	Discovery    string
	Seed         uint64
	Sockets      int // descriptors that the process may hold; 0: not told
	MemoryMB     int // memory that it may take; 0: not told
	Known        scheduler.WorkerList
	InvalidKnown error // of what is known, what cannot be used
	Settings     settings.Settings
}

// How the descriptors are dealt out.
const (
	spareSockets   = 32 // standard streams, poller, listener, discovery, log
	workerPart     = 4  // one in so many is for connections to workers
	callbackPart   = 8  // one in so many of the rest is kept from those who submit
	leastSockets   = 64
	defaultSockets = 1024
)

const (
	inboxSize  = 1024
	sweepEvery = time.Second // looks for worker connections that have idled too long
	// readyWithin is the longest from the start until health says that clients may come. The call for
	// the list is made within 2 s and takes some tenths of a second; nine in ten have to be ready after
	// 6 s at the latest, and the front looks only now and then.
	readyWithin = 3 * time.Second
	lastWords   = time.Second // for clients to part, after an end that nobody asked for
)

// Node is one scheduler on sockets. Everything below its inbox belongs to the loop.
type Node struct {
	cfg      Config
	log      *slog.Logger
	listener *net.TCPListener
	inbox    chan any // scheduler.Event or a message of this package
	start    time.Time
	epoch    scheduler.Micros
	unready  time.Duration // from the start, while discovery has not been heard

	answerWithin time.Duration // that a call to discovery may take
	silentFor    time.Duration // that a watch may say nothing

	ctx      context.Context // ends with the loop
	end      context.CancelFunc
	serving  sync.WaitGroup // client connections
	sched    *scheduler.Scheduler
	effects  []scheduler.Effect
	timer    *time.Timer
	wakeAt   scheduler.Micros // what it is set to
	told     *told
	watch    *watch // the present one
	before   *watch // the one before, until the present one says something
	clients  map[*client]bool
	callers  map[scheduler.CallerID]*client
	links    map[string][]*workerConn // by address; idle ones are used latest first
	attempts map[scheduler.AttemptID]*workerConn
	unsent   scheduler.AttemptID // the last one that was given up before anything got out
	open     int                 // links
	second   atomic.Int32        // connects that stand beside another one
	dial     dialer              // nil, but in tests
	mostOpen int
	keptFor  scheduler.Micros // that an idle link is used again
	slots    chan struct{}    // one taken for each client connection
	reserve  int              // slots that those who wait for an answer may not take
	asked    atomic.Bool      // room has been asked for, and not been made yet
	panics   int
	parting  atomic.Bool     // the acceptor ends with its queue
	lag      lag             // how late the program is
	draining atomic.Bool     // no new requests are taken: health says so
	heard    atomic.Bool     // discovery has been heard
	calls    int             // withdrawals under way
	leave    <-chan struct{} // set once nothing is owed; closed when it is over at the latest
	parted   <-chan struct{} // with leave: closed when no client connection is left; nil once that was seen
}

// Listen opens the client address. Nothing is accepted until Run.
func Listen(cfg Config, log *slog.Logger) (*Node, error) {
	// On sockets a list that is pushed comes over a watch, too, which somebody has to open.
	pushed := !cfg.Settings.Dispatch.PollEndpoints
	cfg.Settings.Dispatch.PollEndpoints, cfg.Settings.Dispatch.UnmeteredPolls = true, pushed
	if cfg.Settings.Dispatch.MaxStaleness == 0 { // only tests set it
		cfg.Settings.Dispatch.MaxStaleness = scheduler.Micros(toldWithin / time.Microsecond)
	}
	sched, err := scheduler.New(cfg.Settings, cfg.Seed)
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return nil, err
	}
	if cfg.Sockets <= 0 {
		cfg.Sockets = defaultSockets
	}
	usable := max(cfg.Sockets, leastSockets) - spareSockets
	n := &Node{cfg: cfg, log: log, listener: listener.(*net.TCPListener),
		inbox: make(chan any, inboxSize), start: time.Now(), sched: sched,
		clients: map[*client]bool{}, callers: map[scheduler.CallerID]*client{},
		links: map[string][]*workerConn{}, attempts: map[scheduler.AttemptID]*workerConn{},
		mostOpen: usable / workerPart}
	n.told = newTold(cfg.Settings.DrainGrace, cfg.Settings.Dispatch.MaxStaleness)
	n.told.pushed, n.told.ask = pushed, cfg.Settings.Dispatch.PollInterval
	if n.answerWithin, n.silentFor = answerWithin, silentFor; pushed {
		n.answerWithin = agentWithin
	}
	n.keptFor, n.unready = kept(&cfg.Settings), unreadyFor(&cfg.Settings)
	n.epoch = scheduler.Micros(n.start.UnixMicro())
	most := usable - n.mostOpen
	n.slots, n.reserve = make(chan struct{}, most), most/callbackPart
	n.ctx, n.end = context.WithCancel(context.Background())
	return n, nil
}

// Addr is the address that clients and workers reach.
func (n *Node) Addr() net.Addr { return n.listener.Addr() }

// now is the time on the scheduler's clock: the Unix time, but it never jumps.
func (n *Node) now() scheduler.Micros {
	return n.epoch + scheduler.Micros(time.Since(n.start).Microseconds())
}

// at is a time on the scheduler's clock as the network wants it.
func (n *Node) at(t scheduler.Micros) time.Time {
	return n.start.Add(time.Duration(t-n.epoch) * time.Microsecond)
}

// post hands a message to the loop. It gives up only once the loop has ended.
func (n *Node) post(m any) {
	select {
	case n.inbox <- m:
	case <-n.ctx.Done():
	}
}

// Stop asks for an orderly end.
func (n *Node) Stop() { n.post(scheduler.ShutdownRequested{}) }

// Reload goes over to a new configuration. All that it applies is discovery's address.
func (n *Node) Reload(cfg Config) { n.post(scheduler.Reloaded{Discovery: cfg.Discovery}) }

// Run serves until an orderly end, or until the scheduler is beyond repair.
func (n *Node) Run() error {
	n.timer = time.NewTimer(time.Hour)
	defer n.timer.Stop()
	sweep := time.NewTicker(sweepEvery)
	defer sweep.Stop()
	defer n.close()
	err := n.step(scheduler.Started{Discovery: n.cfg.Discovery, CachedList: n.cfg.Known})
	n.log.Info("serving", "name", n.cfg.Name, "listen", n.Addr().String(), "discovery", n.cfg.Discovery,
		"workers", len(n.cfg.Known.Workers))
	if n.cfg.InvalidKnown != nil {
		n.log.Warn("the known worker list is no use in part", "why", n.cfg.InvalidKnown)
	}
	n.serving.Add(1) // the acceptor counts as one, so that none is added behind the last
	n.spawn(n.accept)
	// It goes on until the clients have parted: a request that crosses their parting still
	// has to be answered, and nobody else reads the inbox.
	for err == nil && (n.leave == nil || n.parted != nil || n.calls > 0) {
		select {
		case <-n.leave:
			return nil
		case <-n.parted:
			n.parted = nil
		case m := <-n.inbox:
			err = n.handle(m)
		case <-sweep.C:
			n.retireIdle()
			n.told.look(n.now())
		case <-n.timer.C:
			n.lag.note(n.now(), n.wakeAt)
			err = n.step(scheduler.TimerFired{})
		}
	}
	return err
}

// ready tells whether the front should deal clients here. Nothing is sent before discovery has
// been heard, so they are better off elsewhere; but not for long, as discovery may be down.
func (n *Node) ready() bool { return n.heard.Load() || time.Since(n.start) > n.unready }

// unreadyFor is how long a start without a list keeps clients away: as long as the one who waits least
// would wait here in vain, readyWithin at the most. By then others lack the list, too, and a client that
// is held or refused at once with a word when to come again is better off than one that finds nobody.
func unreadyFor(set *settings.Settings) time.Duration {
	least := readyWithin
	for _, c := range set.Dispatch.Classes {
		least = min(least, time.Duration(c.Deadline)*time.Microsecond)
	}
	return least
}

// spawn runs a goroutine that ends with the node. A panic in it costs what that
// goroutine serves, not the process.
func (n *Node) spawn(f func()) {
	go func() {
		defer n.caught("a connection broke down")
		f()
	}()
}

func (n *Node) caught(what string) {
	if cause := recover(); cause != nil {
		n.log.Error(what, "panic", fmt.Sprint(cause), "stack", string(debug.Stack()))
	}
}

// part asks all clients to go once they have their answers, and says when it is over at
// the latest. Whoever the machine has accepted by then is among them: the listener is closed
// by its acceptor, once nobody is left in its queue.
func (n *Node) part(by time.Time) {
	if n.leave != nil {
		return
	}
	leave, parted := make(chan struct{}), make(chan struct{})
	n.leave, n.parted = leave, parted
	time.AfterFunc(time.Until(by), func() { close(leave) })
	n.parting.Store(true)
	n.listener.SetDeadline(time.Now()) // wakes the acceptor
	for c := range n.clients {
		c.release()
	}
	go func() {
		n.serving.Wait()
		close(parted)
	}()
}

// close gives everything back: the listener, the watch, and the connections, which
// first get a moment to write what was answered.
func (n *Node) close() {
	if n.part(time.Now().Add(lastWords)); n.parted != nil {
		select {
		case <-n.parted:
		case <-n.leave:
		}
	}
	n.end()
	n.listener.Close()
	n.log.Info("stopped")
}

func (n *Node) handle(m any) error {
	switch m := m.(type) {
	case opened:
		if n.clients[m.client] = true; n.leave != nil {
			m.client.release()
		}
	case submission:
		n.lag.note(n.now(), m.at)
		// The last slots are for callbacks: without them nothing that runs would end.
		if len(n.callers) >= cap(n.slots)-n.reserve {
			n.log.Warn("short on connections: a job is refused", "txn", m.ID)
			m.client.answers <- scheduler.Answer{Verdict: scheduler.Refused, FinalForConnection: true}
			return nil
		}
		n.callers[m.Caller] = m.client
		return n.step(m.Submitted)
	case closed:
		delete(n.clients, m.client)
	case crowded:
		n.makeRoom()
	case wrote:
		return n.linkWrote(m)
	case response:
		return n.linkAnswered(m)
	case broke:
		return n.linkBroke(m.conn)
	case ended:
		n.open--
	case listWord:
		return n.watchSaid(m)
	case scheduler.ClientDisconnected:
		delete(n.callers, m.Caller) // no answer follows that would
		return n.step(m)
	case scheduler.Event:
		return n.step(m)
	case func(): // a look at what the loop owns, for tests
		m()
	}
	return nil
}

// step passes one event to the scheduler and carries its effects out. After a panic
// the scheduler is mended; too many of them end the program.
func (n *Node) step(e scheduler.Event) error {
	broken := n.reduce(e)
	var err error
	if broken {
		n.effects, err = n.sched.Recover(n.now())
		if n.panics++; n.panics > mostPanics && err == nil {
			err = errors.New("the decision module keeps breaking down")
		}
	}
	for _, effect := range n.effects { // after a panic, too: there are answers among them
		n.carryOut(effect)
	}
	return err
}

const mostPanics = 10

func (n *Node) reduce(e scheduler.Event) (broken bool) {
	defer func() {
		if cause := recover(); cause != nil {
			broken = true
			n.log.Error("the decision module broke down: open requests fail", "panic", fmt.Sprint(cause),
				"event", fmt.Sprintf("%T", e), "open", n.sched.PendingRequests(), "stack", string(debug.Stack()))
		}
	}()
	n.effects = n.sched.Step(n.now(), e, n.effects[:0])
	return false
}

// carryOut does one effect. Whatever fails here comes back as an event; an answer
// never hangs on it.
func (n *Node) carryOut(e scheduler.Effect) {
	switch e := e.(type) {
	case scheduler.SendAttempt:
		n.route(e)
	case scheduler.CloseConnection:
		n.abandon(e.Attempt)
	case scheduler.CancelUnsent:
		n.unsend(e.Attempt)
	case scheduler.CancelAttempt:
		n.withdraw(e)
	case scheduler.Answer:
		if c := n.callers[e.Caller]; c != nil {
			delete(n.callers, e.Caller)
			c.answers <- e // it has room for the one answer that a caller gets
		}
	case scheduler.SetTimer:
		n.wakeAt = e.At
		n.timer.Reset(time.Until(n.at(e.At)))
	case scheduler.OpenWatch:
		n.openWatch(e)
	case scheduler.StopUsingWorker:
		n.told.leaves(e.UID, true)
		n.retire(e.Addr)
	case scheduler.ResumeWorker:
		n.told.leaves(e.UID, false)
	case scheduler.CloseIdleClients:
		n.draining.Store(true)
		for c := range n.clients {
			c.release()
		}
	case scheduler.Shutdown:
		n.part(n.at(e.By))
	case scheduler.Log:
		level := slog.LevelInfo
		if e.Warn {
			level = slog.LevelWarn
		}
		n.log.Log(n.ctx, level, e.Text, e.Args...)
	}
}

const freshFor = scheduler.Micros(fresh / time.Microsecond)

// makeRoom closes client connections until the reserve is free. All that never sent a
// whole request go, and all idle ones that never brought a job or a callback, unless they
// have just come: a thousand more may stand in the listener's queue, before the usual
// clients. Then go those of usual clients that have idled longest.
func (n *Node) makeRoom() {
	n.asked.Store(false)
	free, young := cap(n.slots)-len(n.slots), 0
	idle := map[*client]int64{}
	for c := range n.clients {
		at, rank := c.idle.Load(), c.rank.Load()
		switch {
		case c.ctx.Err() != nil:
			free++ // it is about to close
		case rank == stranger && n.now()-c.since > freshFor,
			rank == caller && at != 0 && n.now()-scheduler.Micros(at) > freshFor:
			c.evict()
			free++
		case rank <= stranger:
			young++
		case at != 0:
			idle[c] = at
		}
	}
	if free >= n.reserve {
		return
	}
	oldest := slices.SortedFunc(maps.Keys(idle), func(a, b *client) int {
		return cmp.Or(cmp.Compare(a.rank.Load(), b.rank.Load()), cmp.Compare(idle[a], idle[b]))
	})
	for _, c := range oldest[:min(len(oldest), n.reserve-free)] {
		if c.rank.Load() == customer && young > 0 {
			return // those who have just come, and say nothing, make room in a moment
		}
		c.evict()
	}
}

// pause bounds the pace of failing accepts and of asking for room.
const pause = 20 * time.Millisecond

// slot takes a slot for the next client. Room is made before it is needed, as closing
// takes a moment; a callback or a usual client may be the next in the queue. Whoever is
// accepted next may have waited in the queue since the time that is returned, if any.
func (n *Node) slot() (since scheduler.Micros, ok bool) {
	if cap(n.slots)-len(n.slots) < max(n.reserve/2, 1) && n.asked.CompareAndSwap(false, true) {
		n.post(crowded{})
	}
	select {
	case n.slots <- struct{}{}:
		return 0, true
	default:
		since = n.now()
	}
	for {
		select {
		case n.slots <- struct{}{}:
			return since, true
		case <-n.ctx.Done():
			return 0, false
		case <-time.After(pause):
			n.post(crowded{}) // those who had just come are old enough by now, or one idles
		}
	}
}

func (n *Node) accept() {
	defer n.serving.Done()
	short := scheduler.Micros(0) // since when there were too few slots, without a break
	for {
		since, ok := n.slot()
		if !ok {
			return
		}
		if since == 0 {
			short = 0
		} else if short == 0 {
			short = since
		}
		if n.parting.Load() && !n.queued() {
			<-n.slots
			n.listener.Close()
			return
		}
		conn, err := n.listener.Accept()
		if err != nil {
			<-n.slots
			switch {
			case n.ctx.Err() != nil || isClosed(err):
				return
			case n.parting.Load() && errors.Is(err, os.ErrDeadlineExceeded):
				n.listener.SetDeadline(time.Time{})
				continue
			}
			n.log.Warn("cannot accept", "error", err)
			n.post(crowded{})
			time.Sleep(pause)
			continue
		}
		c := newClient(n, conn)
		c.queued = short
		n.serving.Add(1)
		n.post(opened{c})
		n.spawn(c.serve)
	}
}

// queued tells whether somebody waits to be accepted.
func (n *Node) queued() bool {
	raw, err := n.listener.SyscallConn()
	if err != nil {
		return false
	}
	waits := false
	raw.Control(func(fd uintptr) {
		one := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
		for {
			k, err := unix.Poll(one, 0)
			if waits = k > 0; err != unix.EINTR {
				return
			}
		}
	})
	return waits
}
