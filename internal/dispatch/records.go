package dispatch

import (
	"dahliaford/internal/bucketqueue"
	"dahliaford/internal/subset"
)

// The records that the module keeps of jobs, attempts, workers and peers. Nothing here decides.

// attempt is one try of a job at a worker.
type attempt struct {
	job            *job
	worker         *worker
	number         int // within the job, from 0
	sentAt         Micros
	startedAt      Micros  // 0: not known to have started
	accountedUntil Micros  // up to when its run went into the speed estimates
	progress       float64 // the fraction of its work that did
	inFlight       bool
	mayHaveRun     bool
	handedBack     bool    // its worker may report that again, as if of a next attempt there
	slotsAtSend    float64 // slots of its worker in use, with its own, as known when it left
	startOverdue   bool    // its start notice did not come in time
}

// job is a job that has no final answer, or has attempts in flight.
type job struct {
	id            JobID
	class, tenant int
	overQuota     bool   // beyond its tenant's quota
	deadline      Micros // the client abandons this try
	objective     Micros // an answer earns the full weight until then
	latestStart   Micros // to meet the objective: the order of release
	seq           uint64
	work          float64 // expected, in microseconds on a standard core
	slots         float64
	attempts      []*attempt
	inFlight      int // attempts
	queued        bool
	late          bool // it cannot meet its objective: behind all that can
	hinted        bool // the client stated the work
	streaming     bool
	finished      bool
}

// worker is what is known of a worker of the list.
type worker struct {
	// What an update of the worker list touches stands together, in few cache lines.
	entry      WorkerEntry
	kind       *kind   // of its machine; nil: not looked up yet
	group      *group  // of its zone and kind; nil: not looked up yet
	sortKey    sortKey // as of the last updateSubset
	inOrder    bool    // it is in the order
	covered    bool    // by this dispatcher's interval of the ring
	inSubset   bool
	lastUpdate uint64 // the last update that named it
	removedAt  Micros // since when the list has it removed; 0: it has not

	ringPosition float64                // see workerRingPosition
	ringVersion  uint64                 // the generation of its ring group when that was computed; 0: never
	ringGroup    *subset.Group[*worker] // the ready ones of its zone and kind; nil: it is not ready

	attempts          []*attempt // in flight
	ownSlots          float64    // of own attempts in flight
	unstartedAttempts int        // of them

	slotLimit          float64                           // slots this dispatcher may fill
	slotLimitAt        Micros                            // when something last spoke against a larger limit
	reportedSlots      float64                           // that its reports add up to; 0: not known
	blockedUntil       Micros                            // nothing before this: it was at capacity
	startCountsBySlots *[maxTrackedSlots + 1]startCounts // by slots in use; nil: none of our jobs showed any yet
	speed              speedEstimate
	startWait          waitEstimate

	lastSeen            Micros // last sign of life
	suspect             bool
	inSuspects          bool   // it is among those that may be outliers
	suspectRetryAt      Micros // when a suspect may be tried again
	consecutiveFailures int
	errorRate           float64 // recent, when errorRateAt
	errorRateAt         Micros
	unreachable         bool // connects fail: in slow start when it is back
	ejectedUntil        Micros

	inferredStart     Micros  // when it came back after failed connects; 0: it did not
	slowStartBudget   float64 // work that may go there now, while it is in slow start
	slowStartBudgetAt Micros  // when that was so; 0: never computed

	peerUses     []peerUse // what other dispatchers say that they have there
	lastGossiped slotUse   // what peers were sent last
	gossipQueued bool      // what they were sent may be out of date

	placementBias float64 // small own preference, so that dispatchers spread
	indexNode     bucketqueue.Node[*worker]
	indexVersion  uint64 // the last version of the index that had it
	dirty         bool   // its index key has to be recomputed
}

// slotUse is what a dispatcher has at a worker: slots in use and slots of jobs that wait.
type slotUse struct{ used, waiting byte }

// peerUse is what a peer said of its use of a worker.
type peerUse struct {
	slotUse
	peer          int
	updatedAt     Micros
	increasedAt   Micros // when its last job left for the worker
	arrivingSlots byte   // slots that came then
	waitingSince  Micros // since when one of its jobs there waits; 0: none does
}

// peer is what is known of another dispatcher.
type peer struct {
	position      float64 // on the ring, see updateSubset
	zone          int     // unknownZone until it says so
	crossedZoneAt Micros  // when it last sent to a worker of another zone
}

const unknownZone = -1

// flow is one tenant's jobs of one class, within or over its quota.
type flow struct {
	rate                float64 // the paper's d, jobs a second
	lastGappingInterval int64   // the last gapping interval that passed a job
}
