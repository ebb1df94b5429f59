package scheduler

import (
	"cmp"
	"slices"

	"dahliaford/internal/dispatch"
	"dahliaford/internal/settings"
)

const (
	millisecond = 1000 // in Micros
	second      = 1000 * millisecond
)

// Scheduler is the reducer's state. Step is the only way to change it while the dispatcher works;
// after a panic in the dispatcher, Recover replaces that. A Scheduler is not safe for concurrent use.
type Scheduler struct {
	settings   settings.Settings
	seed       uint64
	dispatcher *dispatch.Dispatcher
	now        Micros   // of the event in progress
	effects    []Effect // of the event in progress

	byCaller    map[CallerID]*request // requests that wait for their answer
	byID        map[string]*request   // those, and answered ones that have a live attempt
	byJob       map[dispatch.JobID]*request
	usedIDs     recentIDs
	maxDeadline Micros // the longest deadline of any class
	idRetention Micros // how long an id is in usedIDs at least
	lastJob     dispatch.JobID

	byAttempt         map[AttemptID]*attempt // live attempts
	cancellations     map[AttemptID]*cancellation
	cancellationsByID map[string]int // the number of open cancellations by request id
	lastAttempt       AttemptID

	workers        map[string]*worker // by UID
	byNumber       map[dispatch.WorkerID]*worker
	zones          nameIndex
	kinds          nameIndex
	discoveryAddr  string
	revision       int64
	epoch          int             // of the revisions, see version
	updateCount    uint64          // the number of updates applied
	pendingWorkers []*worker       // all that have a pending update, and perhaps some that had one
	removedWorkers []removedWorker // in order of time
	listAsOf       Micros          // all that discovery had to report by then is in the list
	watchOpen      bool            // discovery has answered the watch and not closed it

	timers     timerHeap
	timerAt    Micros // the time of the last SetTimer; 0: none is set
	refuseFrom Micros // new requests are refused from then on; 0: no shutdown has been requested
	answerBy   Micros // during a shutdown: open requests are answered by then
	refusing   bool   // refuseFrom has passed, and idle clients have been closed

	dispatcherEvents []dispatch.Event // queued, from what the dispatcher's own actions led to
	dispatching      bool             // the queue is being worked off
}

// New returns a scheduler that has not been started: the first event has to be Started. The seed
// makes the dispatcher's random choices. It fails on settings that dispatch.New rejects.
func New(config settings.Settings, seed uint64) (*Scheduler, error) {
	s := &Scheduler{
		settings:          config,
		seed:              seed,
		byCaller:          map[CallerID]*request{},
		byID:              map[string]*request{},
		byJob:             map[dispatch.JobID]*request{},
		byAttempt:         map[AttemptID]*attempt{},
		cancellations:     map[AttemptID]*cancellation{},
		cancellationsByID: map[string]int{},
		workers:           map[string]*worker{},
		byNumber:          map[dispatch.WorkerID]*worker{},
		zones:             slices.Clone(config.Zones),
		kinds:             slices.Clone(config.Kinds),
	}
	for _, class := range config.Dispatch.Classes {
		s.maxDeadline = max(s.maxDeadline, class.Deadline)
		s.idRetention = max(s.idRetention, idRetention(&class))
	}
	// One attempt of a request is out at a time here, whatever the settings allow: the dispatcher
	// must not ask for hedged attempts, each of which would use up one of a job's attempts for nothing.
	s.settings.Dispatch.HedgingAllowed = false
	var err error
	s.dispatcher, err = dispatch.New(s.settings.Dispatch, seed)
	return s, err
}

// PendingRequests is the number of requests that wait for their answer.
func (s *Scheduler) PendingRequests() int { return len(s.byCaller) }

// Step takes one event at its time and appends the effects that it calls for. Times never run
// backwards from one call to the next.
func (s *Scheduler) Step(now Micros, e Event, out []Effect) []Effect {
	s.now, s.effects = now, out
	s.usedIDs.rotate(now, s.idRetention)
	s.handle(e)
	s.fireTimers()
	s.advanceShutdown()
	s.armTimer()
	return s.effects
}

func (s *Scheduler) handle(e Event) {
	switch e := e.(type) {
	case Started:
		s.discoveryAddr = e.Discovery
		s.start(e.CachedList)
	case Reloaded:
		s.reload(e.Discovery)
	case Submitted:
		s.submit(&e)
	case ClientDisconnected:
		s.disconnectClient(e.Caller)
	case AttemptAccepted:
		s.acceptAttempt(e.Attempt)
	case AttemptEnded:
		s.handleAttemptEnded(&e)
	case AttemptRejected:
		s.rejectAttempt(e.Attempt)
	case Callback:
		s.handleCallback(&e)
	case CancellationResult:
		s.handleCancellationResult(&e)
	case EndpointsUpdated:
		s.handleEndpoints(&e)
	case WatchClosed:
		s.handleWatchClosed(&e)
	case TimerFired:
		s.timerAt = 0
	case ShutdownRequested:
		s.beginShutdown()
	}
}

// start starts the dispatcher. It asks for a watch before it gets the known list, so the revision
// must be set first: from 0 on, discovery would send everything.
func (s *Scheduler) start(cachedList WorkerList) {
	s.revision = max(s.revision, cachedList.Revision)
	s.stepDispatcher(dispatch.Event{Kind: dispatch.Started})
	s.applyUpdate(cachedList, dispatch.UpdateCached, s.now)
}

func (s *Scheduler) emit(e Effect) { s.effects = append(s.effects, e) }

func (s *Scheduler) log(text string, args ...any) { s.emit(Log{Text: text, Args: args}) }

func (s *Scheduler) warn(text string, args ...any) { s.emit(Log{Warn: true, Text: text, Args: args}) }

// sortedValues lists the values of a map by key: the same events give the same effects.
func sortedValues[K cmp.Ordered, V any](m map[K]V) []V {
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	values := make([]V, len(keys))
	for i, k := range keys {
		values[i] = m[k]
	}
	return values
}
