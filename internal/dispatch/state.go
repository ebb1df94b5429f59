package dispatch

import (
	"math"

	"dahliaford/internal/subset"
)

// This file has the state of a Dispatcher. It makes no dispatch decisions.

// Dispatcher makes the decisions of one dispatcher. It is not safe for concurrent use.
type Dispatcher struct {
	settings  Settings
	now       Micros   // time of the current event
	startedAt Micros   // time of the Started event
	actions   []Action // actions of the current event, appended to the slice that the caller of Step passed
	random    random   // source of all random draws

	eventCount uint64 // number of events so far; identifies the event for which a cached value was computed
	timerToken uint64 // token of the latest timer; a timer event with another token is ignored
	timerDueAt Micros // time when the timer of the last SetTimer fires; 0 if no timer is set
	loggedAt   Micros // time of the last log action; 0 if there was none

	jobState
	workerState
	endpointState
	estimateState
	admissionState
	placementState
	outlierState
}

// jobState holds the jobs that have no final answer or have attempts in flight.
type jobState struct {
	seq         uint64         // number of jobs that have arrived so far
	jobs        map[JobID]*job // jobs without a final answer or with attempts in flight, by ID
	queue       []*job         // queued jobs, see compareJobs: on-time jobs first, then late jobs
	retryBudget float64        // number of further attempts that may be made now, see retryBudgetPerJob
}

// workerState holds the known workers and the ordered lists and subsets of these workers.
type workerState struct {
	workers map[WorkerID]*worker
	ordered []*worker            // all known workers, in the order of compareWorkers, removed workers included
	subset  []*worker            // workers that this dispatcher sends to, in the order of compareWorkers
	ring    subset.Ring[*worker] // ready workers by position on the ring, see updateSubset
	// ownedNotCovered has the ready workers that this dispatcher owns by number during their slow start (see
	// isOwnerByNumber) but that its interval of the ring does not cover, in the order of compareWorkers.
	ownedNotCovered []*worker
	removed         []removedWorker // removed workers whose records are still kept, earliest removal first
	busy            []*worker       // workers with attempts of this dispatcher in flight
	gossipQueue     []*worker       // workers whose slot use may have to be reported to peers

	position     float64 // this dispatcher's position on the ring, from 0 to 1
	ringCoverage float64 // fraction of the ring that each dispatcher's interval covers
	neighbours   []int   // numbers of the dispatchers whose intervals overlap this dispatcher's interval
	peers        []peer  // records of all dispatchers, this one included, by dispatcher number
}

// endpointState describes the worker list itself: its updates and the time as of which discovery last
// confirmed it.
type endpointState struct {
	updatedBuffer []*worker // buffer for the workers that an update names; reused to save allocations
	updateCount   uint64    // number of updates of the worker list so far
	pollAt        Micros    // time of the next poll of the worker list; 0 if the list is not polled
	pollFailures  int       // number of consecutive failed polls
	endpointsAsOf Micros    // time as of which discovery last confirmed the known worker list; 0 if never
}

// estimateState holds what the dispatcher has learned about the fleet and the jobs.
type estimateState struct {
	classes         []classState        // estimates for each class, by class number
	kinds           map[int]*kind       // estimates for each machine kind, by kind number
	groups          map[groupKey]*group // estimated waits of jobs at workers, for each pair of zone and kind
	slotTimes       quantileWindow      // run times in microseconds times slots, over the jobs of all classes
	fleetEstimate   speedEstimate       // speed of all workers together
	cachedBestSpeed float64             // result of bestSpeed in the current event; 0 if not computed yet
	fastestWorker   *worker             // worker with the best speed in the last search; nil if not known
	meanJobValue    float64             // running mean of the value of arriving jobs, see Dispatcher.value
	hintsSeen       bool                // at least one job has arrived with a cost hint, its expected run time
}

// admissionState is the state of the admission control: quotas, overload level and call gapping.
type admissionState struct {
	quotaTokens     []float64 // for each tenant: number of jobs that may arrive now within the tenant's quota
	quotaRefilledAt []Micros  // for each tenant: time of the last refill of quotaTokens

	level       overloadLevel
	gappedRanks int // call gapping applies now to all ranks (priorities) below this number

	// The number of latest calls of overloadAssessment in a row that returned levelSevere, the number of those
	// that returned levelOverload or levelSevere, and the number of those that returned levelNormal.
	consecutiveSevere, consecutiveOverload, consecutiveNormal int

	gappingSteppedAt      Micros // time of the last change of gappedRanks or of the overload level
	gappingStepInterval   Micros // time between two changes of gappedRanks by 1 (X in the published control)
	flows                 []flow // flows by tenant, class and within or over quota; admits computes the index
	ranks                 []int  // rank for each class, within and over quota; call gapping begins with rank 0
	rankCount             int    // number of distinct ranks
	parametersRefreshedAt Micros // time of the last call of refreshAdmissionParameters
	parameterRefreshes    int    // number of calls of refreshAdmissionParameters so far
	classesByWaitTarget   []int  // class numbers by ascending wait target
}

// placementState is the state of selectWorker.
type placementState struct {
	scanLimit        int    // largest subset, in workers, that is scanned for each job: maxScannedSubset
	index            *index // index of a large subset; nil until first needed
	workersExamined  uint64 // number of times that a worker's cost or index key was computed, over all jobs
	freeCapacitySeen bool   // a worker examined in the current scan has a free slot or satisfies mayProbe
	noCapacityEvent  uint64 // eventCount at the last scan in which no worker of the subset had capacity

	// dedupGroups holds the workers of each deduplication group, in the order of workerState.ordered. The index
	// is the deduplication scope, and the key of a map is the number of the zone or cell. The map of a scope is
	// nil until a job needs the map.
	dedupGroups [ScopeCell + 1]map[int][]*worker
}

// outlierState is the state of outlier detection.
type outlierState struct {
	panicMode     bool       // too many workers of the subset are outliers, so all workers are used
	suspects      []*worker  // workers that may be suspect or ejected, see countOutliers
	overdueStarts []*attempt // attempts in flight whose report of the start is overdue

	sortedOverdueStarts      []*attempt // overdueStarts in the order of their workers in workerState.busy
	sortedOverdueStartsEvent uint64     // eventCount when sortedOverdueStarts was built

	failingWorkers struct { // cached count of the subset's workers for which failsJobs holds
		event uint64  // eventCount when the workers were counted
		count float64 // number of the subset's workers for which failsJobs holds
	}
}

// New returns a dispatcher with the given settings. The seed determines every random draw. The error names
// the invalid setting.
func New(s Settings, seed uint64) (*Dispatcher, error) {
	if err := validate(&s); err != nil {
		return nil, err
	}
	n := max(1, len(s.Tenants))
	d := &Dispatcher{settings: s, random: random(seed)}
	d.jobs, d.retryBudget = map[JobID]*job{}, maxRetryBudget
	d.workers, d.scanLimit = map[WorkerID]*worker{}, maxScannedSubset
	d.classes, d.kinds = make([]classState, len(s.Classes)), map[int]*kind{}
	d.groups = map[groupKey]*group{}
	d.quotaTokens, d.quotaRefilledAt = make([]float64, n), make([]Micros, n)
	d.flows, d.ranks = make([]flow, n*len(s.Classes)*2), make([]int, len(s.Classes)*2)
	for i := range d.quotaTokens {
		d.quotaTokens[i] = d.quotaBurst(i)
	}
	d.position = dispatcherRingPosition(s.Index)
	d.peers = make([]peer, s.Dispatchers)
	for i := range d.peers {
		d.peers[i].position = dispatcherRingPosition(i)
		d.peers[i].zone = unknownZone
	}
	for i := range d.flows {
		d.flows[i].lastGappingInterval = -1
	}
	d.gappingStepInterval = d.settings.Classes[0].LatencyObjective
	for k := range d.classes {
		d.gappingStepInterval = min(d.gappingStepInterval, d.settings.Classes[k].LatencyObjective)
		d.classesByWaitTarget = append(d.classesByWaitTarget, k)
	}
	return d, nil
}

// emit appends an action to the actions of the current event.
func (d *Dispatcher) emit(a Action) { d.actions = append(d.actions, a) }

// log emits a log action unless another one was emitted within the last logInterval.
func (d *Dispatcher) log(text string) {
	if d.loggedAt == 0 || d.now-d.loggedAt >= logInterval {
		d.loggedAt = d.now
		d.emit(Action{Kind: Log, Text: text})
	}
}

// armTimer sets the timer for the next poll of the worker list, call of inspect or gossip message, whichever
// is due first. A call of inspect is due after inspectionInterval while jobs are queued, and after at least
// an eighth of a second while no job is queued but attempts are in flight.
func (d *Dispatcher) armTimer() {
	next := Micros(math.MaxInt64)
	if d.pollAt != 0 {
		next = d.pollAt
	}
	if len(d.queue) > 0 {
		next = min(next, d.now+d.inspectionInterval())
	} else if len(d.jobs) > 0 {
		next = min(next, d.now+max(second/8, d.inspectionInterval()))
	}
	if len(d.gossipQueue) > 0 {
		next = min(next, d.now+waitReportBatches*d.settings.Granularity)
	}
	if next == math.MaxInt64 || d.timerDueAt != 0 && d.timerDueAt <= next {
		return
	}
	d.timerDueAt = next
	d.timerToken++
	d.emit(Action{Kind: SetTimer, Delay: max(next-d.now, 0), Token: d.timerToken})
}
