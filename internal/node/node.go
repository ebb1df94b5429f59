// Package node carries out on sockets the effects that the scheduler's reducer returns. It owns the client
// listener, the connections to workers, the discovery watch and the timer, and runs the event loop that
// feeds the reducer.
//
// The event loop (loop.go) is one goroutine; all others send it messages through the inbox. The acceptor
// (acceptor.go) starts a goroutine for each client connection (client.go, request.go). Each connection to a
// worker has a goroutine that dials and writes (worker_conn.go, worker_write.go) and one that reads. A watch
// of the worker list has a reader (watch.go, watch_stream.go). The freshness guard (freshness.go) is shared
// by all of them under its mutex.
package node

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"dahliaford/internal/scheduler"
	"dahliaford/internal/settings"
)

// Config is the configuration of a node.
type Config struct {
	Name             string               // identifies the node in the log
	Listen           string               // the address for clients and for callbacks of workers
	Discovery        string               // the address of the discovery service
	Seed             uint64               // of the scheduler's random choices
	MaxDescriptors   int                  // descriptors that the process may hold; 0: not stated
	MemoryMB         int                  // memory that the process may take; 0: not stated
	InitialList      scheduler.WorkerList // the worker list that is known before discovery answers
	InitialListError error                // the first entry of InitialList that cannot be used; nil: none
	Settings         settings.Settings
}

// How the descriptors are divided.
const (
	reservedDescriptors = 32 // standard streams, poller, listener, discovery, log, hedged dials
	workerConnDivisor   = 4  // one in this many is for connections to workers
	callbackSlotDivisor = 8  // one in this many of the rest is not available to submitted jobs
	minDescriptors      = 64
	defaultDescriptors  = 1024
)

const (
	inboxSize     = 1024
	sweepInterval = time.Second // at which idle connections to workers are checked for their timeout
	// maxReadinessTimeout is the longest from the start until health reports ready. The call for the list is
	// made within 2 s and takes some tenths of a second; nine in ten nodes have to be ready after 6 s at the
	// latest, and the front end checks health only now and then.
	maxReadinessTimeout = 3 * time.Second
	abortDrainTimeout   = time.Second // for clients to disconnect, when the node ends without a shutdown request
)

// millisecond is a millisecond on the scheduler's clock.
const millisecond scheduler.Micros = 1000

// Node runs one scheduler on sockets. A field belongs to the event loop's goroutine, in Run, unless its
// group says otherwise.
type Node struct {
	// Set by Listen and constant from then on.
	cfg              Config
	log              *slog.Logger
	listener         *net.TCPListener
	start            time.Time
	epoch            scheduler.Micros // start on the scheduler's clock
	readinessTimeout time.Duration    // from the start until health reports ready without a list
	watchOpenTimeout time.Duration    // that discovery may take to open a watch
	watchIdleTimeout time.Duration    // that a watch may be silent
	idleTimeout      scheduler.Micros // for which an idle connection to a worker is used again
	maxWorkerConns   int
	callbackSlots    int             // client slots that clients with a pending job may not take
	dial             dialFunc        // set in tests only
	ctx              context.Context // ends with the loop
	cancel           context.CancelFunc

	// Shared by goroutines.
	inbox             chan any       // scheduler.Event or a message of this package; the loop reads it
	serving           sync.WaitGroup // the acceptor and all client connections
	clientSlots       chan struct{}  // holds one element for each client connection
	freshness         *freshnessGuard
	hedgedDials       atomic.Int32 // second dials that are in progress
	evictionRequested atomic.Bool  // by acquireSlot, and not handled yet
	closingListener   atomic.Bool  // the acceptor closes the listener once its queue is empty
	draining          atomic.Bool  // new requests are refused, and health reports so
	listReceived      atomic.Bool  // discovery has sent a list
	lag               lag          // how late the loop runs; only the loop notes it

	// The scheduler.
	sched   *scheduler.Scheduler
	effects []scheduler.Effect
	timer   *time.Timer
	wakeAt  scheduler.Micros // what the timer is set to
	panics  int

	// Discovery.
	watch         *watch // the present one
	previousWatch *watch // the one before, until the present one has sent something

	// Clients.
	clients map[*client]bool
	callers map[scheduler.CallerID]*client // those that wait for an answer

	// Connections to workers.
	idleConns           map[string][]*workerConn            // by address, oldest first; the newest is used first
	attempts            map[scheduler.AttemptID]*workerConn // with an attempt or its cancellation in progress
	lastCancelledUnsent scheduler.AttemptID                 // the last attempt closed before any byte was sent
	openWorkerConns     int
	cancellations       int // cancellations in progress

	// Shutdown.
	drainDeadline  <-chan struct{} // set by beginDrain; closed when the drain ends at the latest
	clientsDrained <-chan struct{} // set by beginDrain; closed without client connections; nil once that is seen
}

// Listen opens the client address and creates the scheduler. Nothing is accepted until Run. It fails if the
// scheduler rejects the settings, or if the address cannot be opened.
func Listen(cfg Config, log *slog.Logger) (*Node, error) {
	// On sockets a list that is pushed comes over a watch, too, and the node has to open it.
	listPushed := !cfg.Settings.Dispatch.PollEndpoints
	cfg.Settings.Dispatch.PollEndpoints, cfg.Settings.Dispatch.UnmeteredPolls = true, listPushed
	if cfg.Settings.Dispatch.MaxStaleness == 0 { // only tests set it
		cfg.Settings.Dispatch.MaxStaleness = scheduler.Micros(defaultMaxStaleness / time.Microsecond)
	}
	sched, err := scheduler.New(cfg.Settings, cfg.Seed)
	if err != nil {
		return nil, fmt.Errorf("create the scheduler: %w", err)
	}
	listener, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return nil, err // it names the operation and the address
	}
	if cfg.MaxDescriptors <= 0 {
		cfg.MaxDescriptors = defaultDescriptors
	}
	usable := max(cfg.MaxDescriptors, minDescriptors) - reservedDescriptors
	n := &Node{cfg: cfg, log: log, listener: listener.(*net.TCPListener),
		inbox: make(chan any, inboxSize), start: time.Now(), sched: sched,
		clients: map[*client]bool{}, callers: map[scheduler.CallerID]*client{},
		idleConns: map[string][]*workerConn{}, attempts: map[scheduler.AttemptID]*workerConn{},
		maxWorkerConns: usable / workerConnDivisor}
	n.freshness = newFreshnessGuard(cfg.Settings.DrainGrace, cfg.Settings.Dispatch.MaxStaleness)
	n.freshness.listPushed = listPushed
	n.freshness.pollInterval = cfg.Settings.Dispatch.PollInterval
	n.watchOpenTimeout, n.watchIdleTimeout = watchOpenTimeout, watchIdleTimeout
	if listPushed {
		n.watchOpenTimeout = agentOpenTimeout
	}
	n.idleTimeout = idleTimeoutOf(&cfg.Settings)
	n.readinessTimeout = readinessTimeoutOf(&cfg.Settings)
	n.epoch = scheduler.Micros(n.start.UnixMicro())
	clientLimit := usable - n.maxWorkerConns
	n.clientSlots = make(chan struct{}, clientLimit)
	n.callbackSlots = clientLimit / callbackSlotDivisor
	n.ctx, n.cancel = context.WithCancel(context.Background())
	return n, nil
}

// Addr returns the address for clients and for callbacks of workers.
func (n *Node) Addr() net.Addr { return n.listener.Addr() }

// now returns the time on the scheduler's clock: the Unix time at the start, from then on monotonic.
func (n *Node) now() scheduler.Micros {
	return n.epoch + scheduler.Micros(time.Since(n.start).Microseconds())
}

// timeOf converts a time on the scheduler's clock for deadlines of connections.
func (n *Node) timeOf(t scheduler.Micros) time.Time {
	return n.start.Add(time.Duration(t-n.epoch) * time.Microsecond)
}

// Stop requests a shutdown: Run returns once everything that is pending has been answered.
func (n *Node) Stop() { n.post(scheduler.ShutdownRequested{}) }

// Reload applies a new configuration. Only the address of discovery can change.
func (n *Node) Reload(cfg Config) { n.post(scheduler.Reloaded{Discovery: cfg.Discovery}) }
