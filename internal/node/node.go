// Package node runs one scheduler on sockets: it carries out the effects that the scheduler's reducer
// returns. It owns the client listener, the connections to workers, the watch of the worker list at the
// discovery service, and the timer, and it runs the event loop that feeds the reducer.
//
// The event loop (loop.go) is one goroutine; all other goroutines send it messages through the inbox
// channel. The acceptor (acceptor.go) starts a goroutine for each client connection (client.go, request.go).
// Each connection to a worker has one goroutine that dials and writes (worker_conn.go, worker_write.go) and
// one that reads responses. Each watch of the worker list has a reader goroutine (watch.go,
// watch_stream.go). All goroutines share the freshness guard (freshness.go), which has its own mutex.
package node

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"dahliaford/internal/scheduler"
	"dahliaford/internal/settings"
)

// Config is the configuration of a node.
type Config struct {
	Name string // Name identifies the node in the log.
	// Listen is the address that clients send jobs to and workers send callbacks to.
	Listen    string
	Discovery string // Discovery is the address of the discovery service.
	Seed      uint64 // Seed seeds the random number generator of the scheduler.
	// MaxDescriptors limits the process's open file descriptors; 0 selects defaultDescriptors.
	MaxDescriptors int
	// MemoryMB is the memory limit of the process in megabytes; 0 means that no limit is stated.
	MemoryMB int
	// InitialList is the worker list to start with, until the discovery service sends one.
	InitialList scheduler.WorkerList
	// InitialListError describes the first invalid entry of InitialList; nil if all entries are valid.
	InitialListError error
	Settings         settings.Settings
}

// defaultMemoryMB is the memory limit of the process, in megabytes, if the configuration states none.
const defaultMemoryMB = 192

// MemoryBytes returns the memory limit of the process in bytes.
func (c *Config) MemoryBytes() int64 {
	if c.MemoryMB <= 0 {
		return defaultMemoryMB << 20
	}
	return int64(c.MemoryMB) << 20
}

// The division of the process's file descriptors between clients, workers and everything else.
const (
	// reservedDescriptors is the number of file descriptors that are kept for the standard streams, the poller,
	// the listener, discovery, the log and hedged dials.
	reservedDescriptors = 32
	// Connections to workers get 1/workerConnDivisor of the descriptors that are not reserved.
	workerConnDivisor = 4
	// 1/callbackSlotDivisor of the client connections is reserved for callbacks; submitted jobs cannot use it.
	callbackSlotDivisor = 8
	minDescriptors      = 64
	defaultDescriptors  = 1024
)

const (
	inboxSize = 1024
	// sweepInterval is the time between two checks for idle connections to workers that have timed out.
	sweepInterval = time.Second
	// maxReadinessTimeout is the longest time from the start of a node until its health check reports ready.
	// A node requests the worker list within 2 s of its start, and the response takes some tenths of a second.
	// Nine in ten nodes must be in service 6 s after their start, and the front end that forwards clients
	// checks health only at intervals, so the health check has to succeed well before 6 s.
	maxReadinessTimeout = 3 * time.Second
	// abortDrainTimeout is how long clients may take to disconnect when Run ends without a shutdown request.
	abortDrainTimeout = time.Second
)

// millisecond is one millisecond in the unit of the scheduler's clock.
const millisecond scheduler.Micros = 1000

// Node runs one scheduler on sockets. Only the event loop's goroutine, Run, accesses the fields of Node,
// except for the groups of fields that are marked as constant or shared.
type Node struct {
	// Listen sets these fields. They are constant afterwards, and any goroutine may read them.
	cfg      Config
	log      *slog.Logger
	listener *net.TCPListener
	start    time.Time
	epoch    scheduler.Micros // epoch is the field start on the scheduler's clock, in us of Unix time.
	// readinessTimeout is the time from the node's start after which the health check succeeds even without a
	// worker list.
	readinessTimeout time.Duration
	// watchOpenTimeout is how long discovery may take to accept a connection and to respond to the request
	// for a watch.
	watchOpenTimeout time.Duration
	// watchIdleTimeout is how long a watch may stay open without receiving a line from discovery.
	watchIdleTimeout time.Duration
	// idleTimeout is how long an idle connection to a worker can be reused before the event loop closes it.
	idleTimeout    scheduler.Micros
	maxWorkerConns int
	// callbackSlots is the number of client slots reserved for callbacks. The other slots may be held by clients
	// that wait for the answer to a job.
	callbackSlots int
	dial          dialFunc        // dial replaces dialTCP in tests; it is nil otherwise.
	ctx           context.Context // ctx is cancelled when the event loop ends.
	cancel        context.CancelFunc

	// All goroutines share these fields; each field is safe for concurrent use.

	// inbox carries messages to the event loop: values of type scheduler.Event or of this package's message
	// types.
	inbox chan any
	// serving counts the goroutines of the acceptor and of the client connections.
	serving sync.WaitGroup
	// clientSlots is a semaphore that holds one element for each client connection.
	clientSlots chan struct{}
	freshness   *freshnessGuard
	pace        *rate.Limiter // pace limits the requests of the client connections that are paced.
	memory      *clientMemory // memory is what the requests of all clients together may hold.
	hedgedDials atomic.Int32  // hedgedDials counts the hedged (second, parallel) dials in progress.
	// evictionRequested is true from the time at which acquireSlot asks the event loop to evict client
	// connections until the loop handles that request.
	evictionRequested atomic.Bool
	// closingListener tells the acceptor to close the listener once no connection waits in the listener's queue.
	closingListener atomic.Bool
	// draining is true when the node refuses new jobs; its health check then fails.
	draining     atomic.Bool
	listReceived atomic.Bool // listReceived is true once discovery has sent a worker list.
	// lag estimates how late the event loop runs; only the event loop records delays in lag.
	lag lag

	// The event loop drives the scheduler with these fields.
	sched   *scheduler.Scheduler
	effects []scheduler.Effect
	timer   *time.Timer
	wakeAt  scheduler.Micros // wakeAt is the time at which the field timer fires.
	panics  int

	// The next two fields are the node's watches: subscriptions to the worker list of the discovery service.
	watch *watch // watch is the watch of the worker list that was opened last.
	// previousWatch is the watch before watch. It stays open until watch has delivered its first update.
	previousWatch *watch

	// These fields are the connections of clients.
	clients map[*client]bool
	callers map[scheduler.CallerID]*client // callers are the clients that wait for the answer to a job.

	// The following fields are the connections to workers.

	// idleConns maps a worker's address to its idle connections, longest idle first; reuse takes the last one.
	idleConns map[string][]*workerConn
	// attempts maps an attempt to the connection that carries the attempt or its cancellation.
	attempts map[scheduler.AttemptID]*workerConn
	// lastCancelledUnsent is the last attempt that closeAttemptConn cancelled, by closing its connection, before
	// any byte of the attempt was sent. A cancellation of this attempt need not be sent to the worker.
	lastCancelledUnsent scheduler.AttemptID
	openWorkerConns     int
	cancellations       int // cancellations counts the cancellations in progress.

	// The following fields are the state of a shutdown.

	// drainDeadline is nil until beginDrain sets the channel; the channel is closed at the time limit of the
	// drain.
	drainDeadline <-chan struct{}
	// clientsDrained is set by beginDrain and closed when no client is connected; the loop then resets it to
	// nil.
	clientsDrained <-chan struct{}
}

// Listen opens the client address and creates the scheduler. No connection is accepted before Run. Listen
// fails if the scheduler rejects the settings, or if the address cannot be opened.
func Listen(cfg Config, log *slog.Logger) (*Node, error) {
	// A node gets pushed worker lists over a watch as well, and has to open that watch itself. So Listen tells
	// the scheduler to poll, with UnmeteredPolls: the scheduler then neither spreads nor defers its requests for
	// a watch.
	listPushed := !cfg.Settings.Dispatch.PollEndpoints
	cfg.Settings.Dispatch.PollEndpoints, cfg.Settings.Dispatch.UnmeteredPolls = true, listPushed
	// Only tests set MaxStaleness before they call Listen; the settings file has no field for it.
	if cfg.Settings.Dispatch.MaxStaleness == 0 {
		cfg.Settings.Dispatch.MaxStaleness = scheduler.Micros(defaultMaxStaleness / time.Microsecond)
	}
	sched, err := scheduler.New(cfg.Settings, cfg.Seed)
	if err != nil {
		return nil, fmt.Errorf("create the scheduler: %w", err)
	}
	listener, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return nil, err // The error of net.Listen names the operation and the address.
	}
	if cfg.MaxDescriptors <= 0 {
		cfg.MaxDescriptors = defaultDescriptors
	}
	usable := max(cfg.MaxDescriptors, minDescriptors) - reservedDescriptors
	n := &Node{cfg: cfg, log: log, listener: listener.(*net.TCPListener),
		inbox: make(chan any, inboxSize), start: time.Now(), sched: sched,
		clients: map[*client]bool{}, callers: map[scheduler.CallerID]*client{},
		idleConns: map[string][]*workerConn{}, attempts: map[scheduler.AttemptID]*workerConn{},
		maxWorkerConns: usable / workerConnDivisor, pace: newSharedPace()}
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
	clientMemory := cfg.MemoryBytes() / clientMemoryDivisor
	clientLimit := min(usable-n.maxWorkerConns, maxConnections(clientMemory))
	n.memory = newClientMemory(clientMemory, clientLimit, n.now)
	n.clientSlots = make(chan struct{}, clientLimit)
	n.callbackSlots = clientLimit / callbackSlotDivisor
	n.ctx, n.cancel = context.WithCancel(context.Background())
	return n, nil
}

// Addr returns the address at which the node accepts clients and workers' callbacks.
func (n *Node) Addr() net.Addr { return n.listener.Addr() }

// now returns the time on the scheduler's clock. The clock starts with the Unix time at the node's start and
// advances with the monotonic clock, so steps of the system clock do not affect it.
func (n *Node) now() scheduler.Micros {
	return n.epoch + scheduler.Micros(time.Since(n.start).Microseconds())
}

// timeOf converts a time on the scheduler's clock to a time.Time, as deadlines of connections need it.
func (n *Node) timeOf(t scheduler.Micros) time.Time {
	return n.start.Add(time.Duration(t-n.epoch) * time.Microsecond)
}

// Stop requests a shutdown: Run returns once all accepted jobs have been answered.
func (n *Node) Stop() { n.post(scheduler.ShutdownRequested{}) }

// Reload applies a new configuration. Only the address of the discovery service can change.
func (n *Node) Reload(cfg Config) { n.post(scheduler.Reloaded{Discovery: cfg.Discovery}) }
