package node

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

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

const millisecond scheduler.Micros = 1000

// Stop asks for an orderly end.
func (n *Node) Stop() { n.post(scheduler.ShutdownRequested{}) }

// Reload goes over to a new configuration. All that it applies is discovery's address.
func (n *Node) Reload(cfg Config) { n.post(scheduler.Reloaded{Discovery: cfg.Discovery}) }
