package scheduler

import (
	"cmp"
	"slices"

	"dahliaford/internal/dispatch"
	"dahliaford/internal/settings"
)

const (
	millisecond = 1000 // one millisecond in the unit of Micros, microseconds
	second      = 1000 * millisecond
)

// Scheduler is the state of the reducer. Step is the only method that changes it, except that Recover has
// to be called after a panic in the dispatcher. A Scheduler is not safe for concurrent use.
type Scheduler struct {
	settings   settings.Settings
	seed       uint64
	dispatcher *dispatch.Dispatcher
	now        Micros   // the time of the event that Step is handling
	effects    []Effect // the effects of the event that Step is handling

	byCaller    map[CallerID]*request       // requests without an answer
	byID        map[string]*request         // requests without an answer or with a live attempt, by request id
	byJob       map[dispatch.JobID]*request // requests without an answer or with a live attempt, by job id
	usedIDs     recentIDs
	maxDeadline Micros // the longest deadline of any class
	idRetention Micros // the minimum time for which usedIDs keeps a request id
	lastJob     dispatch.JobID

	byAttempt         map[AttemptID]*attempt      // live attempts: those that have not ended
	cancellations     map[AttemptID]*cancellation // open cancellations: neither acknowledged nor given up
	cancellationsByID map[string]int              // the number of open cancellations by request id
	lastAttempt       AttemptID

	workers        map[string]*worker // known workers, by UID
	byNumber       map[dispatch.WorkerID]*worker
	zones          nameIndex
	kinds          nameIndex
	discoveryAddr  string
	revision       int64
	epoch          int             // the epoch of the field revision, see the type version
	updateCount    uint64          // the number of updates applied
	pendingWorkers []*worker       // all workers whose pendingUpdate is set, and possibly others
	removedWorkers []removedWorker // removals in the order of their times
	listAsOf       Micros          // the time up to which the worker list is complete
	watchOpen      bool            // discovery has answered the watch request and has not closed the watch

	timers     timerHeap
	timersKept int    // the number of timers that were left when addTimer last dropped obsolete ones
	timerAt    Micros // the time of the last SetTimer; 0: no timer is set
	refuseFrom Micros // the time at which new requests begin to be refused; 0: no shutdown has been requested
	answerBy   Micros // during a shutdown: the time at which all requests still open are answered
	refusing   bool   // refuseFrom has passed and CloseIdleClients has been emitted

	dispatcherEvents []dispatch.Event // events that wait for the dispatcher to finish its current event
	dispatching      bool             // stepDispatcher is processing dispatcherEvents
}

// New returns a scheduler whose first event has to be Started. The seed initializes the dispatcher's
// random numbers. New fails if dispatch.New rejects the settings.
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
	// The reducer keeps at most one attempt of a request live, even where the settings allow hedging. Each
	// hedged attempt that the dispatcher requested would be suppressed and still count against the job's
	// maximum number of attempts.
	s.settings.Dispatch.HedgingAllowed = false
	var err error
	s.dispatcher, err = dispatch.New(s.settings.Dispatch, seed)
	return s, err
}

// PendingRequests returns the number of requests that wait for their answer.
func (s *Scheduler) PendingRequests() int { return len(s.byCaller) }

// Step handles one event that happens at the time now, appends the resulting effects to out and returns
// the extended slice. The time must not decrease from one call to the next.
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

// start starts the dispatcher and passes it the cached worker list. The revision is set first, because the
// dispatcher requests the watch before it gets the list: from revision 0, discovery would send the complete
// list.
func (s *Scheduler) start(cachedList WorkerList) {
	s.revision = max(s.revision, cachedList.Revision)
	s.stepDispatcher(dispatch.Event{Kind: dispatch.Started})
	s.applyUpdate(cachedList, dispatch.UpdateCached, s.now)
}

func (s *Scheduler) emit(e Effect) { s.effects = append(s.effects, e) }

func (s *Scheduler) log(text string, args ...any) { s.emit(Log{Text: text, Args: args}) }

func (s *Scheduler) warn(text string, args ...any) { s.emit(Log{Warn: true, Text: text, Args: args}) }

// sortedValues returns the values of a map in the order of their keys. Iterating in a fixed order keeps the
// reducer deterministic: equal sequences of events produce equal effects.
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
