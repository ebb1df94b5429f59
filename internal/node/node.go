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
	spareSockets        = 32 // standard streams, poller, listener, discovery, log
	workerSocketDivisor = 4  // one in so many is for connections to workers
	callbackSlotDivisor = 8  // one in so many of the rest is kept from those who submit
	minSockets          = 64
	defaultSockets      = 1024
)

const (
	inboxSize     = 1024
	sweepInterval = time.Second // looks for worker connections that have idled too long
	// maxUnreadyTime is the longest from the start until health says that clients may come. The call for
	// the list is made within 2 s and takes some tenths of a second; nine in ten have to be ready after
	// 6 s at the latest, and the front looks only now and then.
	maxUnreadyTime = 3 * time.Second
	abortDrainTime = time.Second // for clients to part, after an end that nobody asked for
)

// Node is one scheduler on sockets. Everything below its inbox belongs to the loop.
type Node struct {
	cfg        Config
	log        *slog.Logger
	listener   *net.TCPListener
	inbox      chan any // scheduler.Event or a message of this package
	start      time.Time
	epoch      scheduler.Micros
	maxUnready time.Duration // from the start, while discovery has not been heard

	watchOpenTimeout time.Duration // that a call to discovery may take
	watchIdleTimeout time.Duration // that a watch may say nothing

	ctx               context.Context // ends with the loop
	cancel            context.CancelFunc
	serving           sync.WaitGroup // client connections
	sched             *scheduler.Scheduler
	effects           []scheduler.Effect
	timer             *time.Timer
	wakeAt            scheduler.Micros // what it is set to
	freshness         *freshnessGuard
	watch             *watch // the present one
	previousWatch     *watch // the one before, until the present one says something
	clients           map[*client]bool
	callers           map[scheduler.CallerID]*client
	idleConns         map[string][]*workerConn // by address; idle ones are used latest first
	attempts          map[scheduler.AttemptID]*workerConn
	cancelledUnsent   scheduler.AttemptID // the last one that was given up before anything got out
	openWorkerConns   int                 // links
	hedgedDials       atomic.Int32        // connects that stand beside another one
	dial              dialFunc            // nil, but in tests
	maxWorkerConns    int
	idleTimeout       scheduler.Micros // that an idle link is used again
	clientSlots       chan struct{}    // one taken for each client connection
	callbackSlots     int              // slots that those who wait for an answer may not take
	evictionRequested atomic.Bool      // room has been asked for, and not been made yet
	panics            int
	closingListener   atomic.Bool     // the acceptor ends with its queue
	lag               lag             // how late the program is
	draining          atomic.Bool     // no new requests are taken: health says so
	listReceived      atomic.Bool     // discovery has been heard
	cancellations     int             // withdrawals under way
	drainDeadline     <-chan struct{} // set once nothing is owed; closed when it is over at the latest
	clientsDrained    <-chan struct{} // with leave: closed when no client connection is left; nil once that was seen
}

// Listen opens the client address. Nothing is accepted until Run.
func Listen(cfg Config, log *slog.Logger) (*Node, error) {
	// On sockets a list that is pushed comes over a watch, too, which somebody has to open.
	pushed := !cfg.Settings.Dispatch.PollEndpoints
	cfg.Settings.Dispatch.PollEndpoints, cfg.Settings.Dispatch.UnmeteredPolls = true, pushed
	if cfg.Settings.Dispatch.MaxStaleness == 0 { // only tests set it
		cfg.Settings.Dispatch.MaxStaleness = scheduler.Micros(defaultMaxStaleness / time.Microsecond)
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
	usable := max(cfg.Sockets, minSockets) - spareSockets
	n := &Node{cfg: cfg, log: log, listener: listener.(*net.TCPListener),
		inbox: make(chan any, inboxSize), start: time.Now(), sched: sched,
		clients: map[*client]bool{}, callers: map[scheduler.CallerID]*client{},
		idleConns: map[string][]*workerConn{}, attempts: map[scheduler.AttemptID]*workerConn{},
		maxWorkerConns: usable / workerSocketDivisor}
	n.freshness = newFreshnessGuard(cfg.Settings.DrainGrace, cfg.Settings.Dispatch.MaxStaleness)
	n.freshness.pushed, n.freshness.pollInterval = pushed, cfg.Settings.Dispatch.PollInterval
	if n.watchOpenTimeout, n.watchIdleTimeout = watchOpenTimeout, watchIdleTimeout; pushed {
		n.watchOpenTimeout = agentOpenTimeout
	}
	n.idleTimeout, n.maxUnready = idleTimeoutOf(&cfg.Settings), maxUnreadyOf(&cfg.Settings)
	n.epoch = scheduler.Micros(n.start.UnixMicro())
	clientLimit := usable - n.maxWorkerConns
	n.clientSlots, n.callbackSlots = make(chan struct{}, clientLimit), clientLimit/callbackSlotDivisor
	n.ctx, n.cancel = context.WithCancel(context.Background())
	return n, nil
}

// Addr is the address that clients and workers reach.
func (n *Node) Addr() net.Addr { return n.listener.Addr() }

// now is the time on the scheduler's clock: the Unix time, but it never jumps.
func (n *Node) now() scheduler.Micros {
	return n.epoch + scheduler.Micros(time.Since(n.start).Microseconds())
}

// timeOf is a time on the scheduler's clock as the network wants it.
func (n *Node) timeOf(t scheduler.Micros) time.Time {
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
	sweep := time.NewTicker(sweepInterval)
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
	for err == nil && (n.drainDeadline == nil || n.clientsDrained != nil || n.cancellations > 0) {
		select {
		case <-n.drainDeadline:
			return nil
		case <-n.clientsDrained:
			n.clientsDrained = nil
		case m := <-n.inbox:
			err = n.handle(m)
		case <-sweep.C:
			n.dropExpiredIdle()
			n.freshness.observeReaders(n.now())
		case <-n.timer.C:
			n.lag.note(n.now(), n.wakeAt)
			err = n.step(scheduler.TimerFired{})
		}
	}
	return err
}

// ready tells whether the front should deal clients here. Nothing is sent before discovery has
// been heard, so they are better off elsewhere; but not for long, as discovery may be down.
func (n *Node) ready() bool { return n.listReceived.Load() || time.Since(n.start) > n.maxUnready }

// maxUnreadyOf is how long a start without a list keeps clients away: as long as the one who waits least
// would wait here in vain, readyWithin at the most. By then others lack the list, too, and a client that
// is held or refused at once with a word when to come again is better off than one that finds nobody.
func maxUnreadyOf(set *settings.Settings) time.Duration {
	shortest := maxUnreadyTime
	for _, c := range set.Dispatch.Classes {
		shortest = min(shortest, time.Duration(c.Deadline)*time.Microsecond)
	}
	return shortest
}

// spawn runs a goroutine that ends with the node. A panic in it costs what that
// goroutine serves, not the process.
func (n *Node) spawn(f func()) {
	go func() {
		defer n.recoverPanic("a connection broke down")
		f()
	}()
}

func (n *Node) recoverPanic(what string) {
	if cause := recover(); cause != nil {
		n.log.Error(what, "panic", fmt.Sprint(cause), "stack", string(debug.Stack()))
	}
}

// beginDrain asks all clients to go once they have their answers, and says when it is over at
// the latest. Whoever the machine has accepted by then is among them: the listener is closed
// by its acceptor, once nobody is left in its queue.
func (n *Node) beginDrain(by time.Time) {
	if n.drainDeadline != nil {
		return
	}
	drainDeadline, clientsDrained := make(chan struct{}), make(chan struct{})
	n.drainDeadline, n.clientsDrained = drainDeadline, clientsDrained
	time.AfterFunc(time.Until(by), func() { close(drainDeadline) })
	n.closingListener.Store(true)
	n.listener.SetDeadline(time.Now()) // wakes the acceptor
	for c := range n.clients {
		c.closeWhenIdle()
	}
	go func() {
		n.serving.Wait()
		close(clientsDrained)
	}()
}

// close gives everything back: the listener, the watch, and the connections, which
// first get a moment to write what was answered.
func (n *Node) close() {
	if n.beginDrain(time.Now().Add(abortDrainTime)); n.clientsDrained != nil {
		select {
		case <-n.clientsDrained:
		case <-n.drainDeadline:
		}
	}
	n.cancel()
	n.listener.Close()
	n.log.Info("stopped")
}

func (n *Node) handle(m any) error {
	switch m := m.(type) {
	case clientOpened:
		if n.clients[m.client] = true; n.drainDeadline != nil {
			m.client.closeWhenIdle()
		}
	case submission:
		n.lag.note(n.now(), m.receivedAt)
		// The last slots are for callbacks: without them nothing that runs would end.
		if len(n.callers) >= cap(n.clientSlots)-n.callbackSlots {
			n.log.Warn("short on connections: a job is refused", "txn", m.ID)
			m.client.answers <- scheduler.Answer{Verdict: scheduler.Refused, FinalForConnection: true}
			return nil
		}
		n.callers[m.Caller] = m.client
		return n.step(m.Submitted)
	case clientClosed:
		delete(n.clients, m.client)
	case evictionRequest:
		n.evictClients()
	case writeEnded:
		return n.onWriteEnded(m)
	case workerResponse:
		return n.onResponse(m)
	case readEnded:
		return n.onReadEnded(m.conn)
	case workerConnClosed:
		n.openWorkerConns--
	case watchUpdate:
		return n.onWatchUpdate(m)
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
		if n.panics++; n.panics > maxPanics && err == nil {
			err = errors.New("the decision module keeps breaking down")
		}
	}
	for _, effect := range n.effects { // after a panic, too: there are answers among them
		n.execute(effect)
	}
	return err
}

const maxPanics = 10

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

// execute does one effect. Whatever fails here comes back as an event; an answer
// never hangs on it.
func (n *Node) execute(e scheduler.Effect) {
	switch e := e.(type) {
	case scheduler.SendAttempt:
		n.sendAttempt(e)
	case scheduler.CloseConnection:
		n.closeAttemptConn(e.Attempt)
	case scheduler.CancelUnsent:
		n.cancelUnsent(e.Attempt)
	case scheduler.CancelAttempt:
		n.cancelAttempt(e)
	case scheduler.Answer:
		if c := n.callers[e.Caller]; c != nil {
			delete(n.callers, e.Caller)
			c.answers <- e // it has room for the one answer that a caller gets
		}
	case scheduler.SetTimer:
		n.wakeAt = e.At
		n.timer.Reset(time.Until(n.timeOf(e.At)))
	case scheduler.OpenWatch:
		n.openWatch(e)
	case scheduler.StopUsingWorker:
		n.freshness.setDraining(e.UID, true)
		n.dropIdleTo(e.Addr)
	case scheduler.ResumeWorker:
		n.freshness.setDraining(e.UID, false)
	case scheduler.CloseIdleClients:
		n.draining.Store(true)
		for c := range n.clients {
			c.closeWhenIdle()
		}
	case scheduler.Shutdown:
		n.beginDrain(n.timeOf(e.By))
	case scheduler.Log:
		level := slog.LevelInfo
		if e.Warn {
			level = slog.LevelWarn
		}
		n.log.Log(n.ctx, level, e.Text, e.Args...)
	}
}

const newcomerGraceMicros = scheduler.Micros(newcomerGrace / time.Microsecond)

// evictClients closes client connections until the reserve is free. All that never sent a
// whole request go, and all idle ones that never brought a job or a callback, unless they
// have just come: a thousand more may stand in the listener's queue, before the usual
// clients. Then go those of usual clients that have idled longest.
func (n *Node) evictClients() {
	n.evictionRequested.Store(false)
	free, young := cap(n.clientSlots)-len(n.clientSlots), 0
	idle := map[*client]int64{}
	for c := range n.clients {
		at, rank := c.idleSince.Load(), c.rank.Load()
		switch {
		case c.ctx.Err() != nil:
			free++ // it is about to close
		case rank == rankNew && n.now()-c.acceptedAt > newcomerGraceMicros,
			rank == rankRequester && at != 0 && n.now()-scheduler.Micros(at) > newcomerGraceMicros:
			c.evict()
			free++
		case rank <= rankNew:
			young++
		case at != 0:
			idle[c] = at
		}
	}
	if free >= n.callbackSlots {
		return
	}
	oldest := slices.SortedFunc(maps.Keys(idle), func(a, b *client) int {
		return cmp.Or(cmp.Compare(a.rank.Load(), b.rank.Load()), cmp.Compare(idle[a], idle[b]))
	})
	for _, c := range oldest[:min(len(oldest), n.callbackSlots-free)] {
		if c.rank.Load() == rankEstablished && young > 0 {
			return // those who have just come, and say nothing, make room in a moment
		}
		c.evict()
	}
}

// acceptPause bounds the pace of failing accepts and of asking for room.
const acceptPause = 20 * time.Millisecond

// acquireSlot takes a slot for the next client. Room is made before it is needed, as closing
// takes a moment; a callback or a usual client may be the next in the queue. Whoever is
// accepted next may have waited in the queue since the time that is returned, if any.
func (n *Node) acquireSlot() (since scheduler.Micros, ok bool) {
	if cap(n.clientSlots)-len(n.clientSlots) < max(n.callbackSlots/2, 1) && n.evictionRequested.CompareAndSwap(false, true) {
		n.post(evictionRequest{})
	}
	select {
	case n.clientSlots <- struct{}{}:
		return 0, true
	default:
		since = n.now()
	}
	for {
		select {
		case n.clientSlots <- struct{}{}:
			return since, true
		case <-n.ctx.Done():
			return 0, false
		case <-time.After(acceptPause):
			n.post(evictionRequest{}) // those who had just come are old enough by now, or one idles
		}
	}
}

func (n *Node) accept() {
	defer n.serving.Done()
	queuedSince := scheduler.Micros(0) // since when there were too few slots, without a break
	for {
		since, ok := n.acquireSlot()
		if !ok {
			return
		}
		if since == 0 {
			queuedSince = 0
		} else if queuedSince == 0 {
			queuedSince = since
		}
		if n.closingListener.Load() && !n.hasQueuedConn() {
			<-n.clientSlots
			n.listener.Close()
			return
		}
		conn, err := n.listener.Accept()
		if err != nil {
			<-n.clientSlots
			switch {
			case n.ctx.Err() != nil || isClosed(err):
				return
			case n.closingListener.Load() && errors.Is(err, os.ErrDeadlineExceeded):
				n.listener.SetDeadline(time.Time{})
				continue
			}
			n.log.Warn("cannot accept", "error", err)
			n.post(evictionRequest{})
			time.Sleep(acceptPause)
			continue
		}
		c := newClient(n, conn)
		c.queuedSince = queuedSince
		n.serving.Add(1)
		n.post(clientOpened{c})
		n.spawn(c.serve)
	}
}

// hasQueuedConn tells whether somebody waits to be accepted.
func (n *Node) hasQueuedConn() bool {
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
