package dispatch

import (
	"dahliaford/internal/bucketqueue"
	"dahliaford/internal/subset"
)

// This file has the records of jobs, attempts, workers and peers. It makes no dispatch decisions.

// attempt is one try of a job at a worker.
type attempt struct {
	job            *job
	worker         *worker
	number         int     // number of the attempt within its job, from 0
	sentAt         Micros  // time of the Send action
	startedAt      Micros  // time of the reported or inferred start; 0 if no start is known
	accountedUntil Micros  // time up to which the speed estimates already include the run of the attempt
	progress       float64 // fraction of the job's work, 0 to 1, that the speed estimates already include
	inFlight       bool    // the attempt was sent and its end is not known
	mayHaveRun     bool    // the attempt ended with an outcome after which the job may have run
	handedBack     bool    // the worker handed the job back; it may report so again during a later attempt
	slotsAtSend    float64 // known slots in use at the worker just after the send, with this attempt's slots
	startOverdue   bool    // no start was reported within startReportTimeout
}

// job is a job that has no final answer, or has attempts in flight.
type job struct {
	id            JobID
	class, tenant int
	overQuota     bool       // the job arrived when its tenant had used up its quota
	deadline      Micros     // time when the client abandons this submission of the job
	objective     Micros     // time until which an answer has the full value of the job
	latestStart   Micros     // latest start that meets the objective; for a late job, deadline plus lateOffset
	seq           uint64     // arrival number of the job in this dispatcher, from 1
	work          float64    // expected work, in microseconds on a standard core
	slots         float64    // worker slots that the job takes while in flight
	attempts      []*attempt // all attempts so far, by number
	inFlight      int        // number of attempts in flight
	queued        bool       // the job is in the queue
	late          bool       // the job cannot meet its objective and is queued behind all jobs that can
	hinted        bool       // the client stated the expected work of the job
	streaming     bool       // the answer has begun to stream to the client
	finished      bool       // the job has its final answer, or its client has disconnected
}

// worker holds what the dispatcher knows of a worker of the worker list.
type worker struct {
	// The fields that each update of the worker list touches come first, so that they share a few cache lines.
	entry      WorkerEntry // latest entry of the worker list
	kind       *kind       // estimates for the worker's machine kind; nil if not looked up yet
	group      *group      // estimated waits at the workers of the zone and kind; nil if not looked up yet
	sortKey    sortKey     // zone, kind and readiness as of the last updateSubset
	inOrder    bool        // the worker is in the list workerState.ordered
	covered    bool        // this dispatcher's interval of the ring covers the worker
	inSubset   bool        // the worker is in this dispatcher's subset
	lastUpdate uint64      // number of the last list update that named the worker
	removedAt  Micros      // time when the worker list first showed the worker as removed; 0 if not removed

	ringPosition float64                // position on the ring, see workerRingPosition
	ringVersion  uint64                 // generation of ringGroup for which ringPosition is valid; 0 for none
	ringGroup    *subset.Group[*worker] // ready workers of the same zone and kind; nil while not ready

	attempts          []*attempt // attempts of this dispatcher in flight at the worker
	ownSlots          float64    // slots of the worker that this dispatcher's attempts in flight take
	unstartedAttempts int        // number of this dispatcher's attempts in flight without a known start

	slotLimit     float64 // number of slots that may be filled; used if workers report no starts
	slotLimitAt   Micros  // time when a send, an outcome or a load report last set slotLimit
	reportedSlots float64 // running mean of free slots plus jobs in flight in load reports; 0 if unknown
	blockedUntil  Micros  // time until which no job is sent after the outcome AtCapacity or HandedBack
	// startCountsBySlots counts how this dispatcher's jobs at the worker started, promptly or delayed, by the
	// number of slots in use when a job was sent. It is nil until the first job is counted.
	startCountsBySlots *[maxTrackedSlots + 1]startCounts
	speed              speedEstimate // speed of the worker in the runs of this dispatcher's jobs
	startWait          waitEstimate  // waits of this dispatcher's jobs at the worker before their start

	lastSeen            Micros  // time of the last sign of life, see markAlive
	suspect             bool    // the worker has work and was silent for longer than silenceTimeout
	inSuspects          bool    // the worker is in the list outlierState.suspects
	suspectRetryAt      Micros  // time from which a suspect worker may be sent one job
	consecutiveFailures int     // number of consecutive failed attempts, see recordOutcome and eject
	errorRate           float64 // decayed fraction of outcomes that are errors, 0 to 1, at errorRateAt
	errorRateAt         Micros  // time of the last update of errorRate
	unreachable         bool    // connects failed; the worker counts as just started until an attempt succeeds
	ejectedUntil        Micros  // time when the ejection ends; 0 if the worker never was ejected

	inferredStart     Micros  // time of the worker's first answer after failed connects; 0 if there was none
	slowStartBudget   float64 // work in microseconds that may be sent during slow start, at slowStartBudgetAt
	slowStartBudgetAt Micros  // time of the last refill of slowStartBudget; 0 if never computed

	peerUses     []peerUse // slot use at the worker by each other dispatcher, from gossip
	lastGossiped slotUse   // slot use at the worker that this dispatcher last reported to the peers
	gossipQueued bool      // the worker is in gossipQueue: lastGossiped may be out of date

	// placementBias is a random addition to the placement cost, in expected run times of the job, by which
	// dispatchers prefer different workers.
	placementBias float64
	indexNode     bucketqueue.Node[*worker]
	indexVersion  uint64 // last version of the index that contained the worker
	dirty         bool   // the worker's index key has to be computed again
}

// slotUse is a dispatcher's use of a worker, in slots.
type slotUse struct {
	used, waiting byte // slots of all jobs in flight at the worker, and slots of those that wait for their start
}

// peerUse is a peer's use of a worker, in slots, as the peer last reported this use.
type peerUse struct {
	slotUse
	peer          int    // number of the peer
	updatedAt     Micros // time of the peer's last report
	increasedAt   Micros // time of the last report with more slots in use than the report before
	arrivingSlots byte   // number of slots by which the peer's use grew at increasedAt
	// waitingSince is the time since which each report of the peer has counted slots of jobs that wait for their
	// start. It is 0 if the last report counted no such slot.
	waitingSince Micros
}

// peer holds what the dispatcher knows of another dispatcher.
type peer struct {
	position      float64 // position on the ring, see dispatcherRingPosition
	zone          int     // zone of the peer; unknownZone until the peer's first gossip message
	crossedZoneAt Micros  // time of the peer's last report about a worker in another zone than the peer's
}

const unknownZone = -1

// flow describes the jobs of one tenant and one class that are within the tenant's quota, or the jobs over
// the quota.
type flow struct {
	rate                float64 // guaranteed rate in jobs per second (d in the published overload control)
	lastGappingInterval int64   // number of the last interval of call gapping that admitted a job; -1 if none
}
