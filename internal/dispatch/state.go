package dispatch

import (
	"math"

	"dahliaford/internal/subset"
)

// The state of a Dispatcher. Nothing here decides.

// Dispatcher makes the decisions of one dispatcher. It is not safe for concurrent use.
type Dispatcher struct {
	settings  Settings
	now       Micros
	startedAt Micros
	actions   []Action // those that the present event calls for
	random    random

	eventCount uint64 // events so far: marks what holds for one of them
	timerToken uint64 // of the timer that is set
	timerDueAt Micros // when it fires; 0: none is set
	loggedAt   Micros

	jobState
	workerState
	endpointState
	estimateState
	admissionState
	placementState
	outlierState
}

// jobState is the jobs that the module keeps.
type jobState struct {
	seq         uint64 // jobs so far
	jobs        map[JobID]*job
	queue       []*job  // on time by latest start, then the late ones by deadline
	retryBudget float64 // further attempts that may be made
}

// workerState is the workers, in the orders and subsets that are kept of them.
type workerState struct {
	workers         map[WorkerID]*worker
	ordered         []*worker // by sort key, the removed ones among them
	subset          []*worker // those that are this dispatcher's own, by sort key, see updateSubset
	ring            subset.Ring[*worker]
	ownedNotCovered []*worker // ready ones that it owns by number and the interval lacks, by sort key
	removed         []removedWorker
	busy            []*worker // those with attempts in flight
	gossipQueue     []*worker // those whose use may have to be reported to peers

	position     float64 // of this dispatcher on the ring
	ringCoverage float64 // the part of the ring that a dispatcher covers
	neighbours   []int   // peers whose intervals overlap this one's
	peers        []peer  // the dispatchers, by number
}

// endpointState is what is known of the worker list itself.
type endpointState struct {
	updatedBuffer []*worker // named by the present update: kept for its memory
	updateCount   uint64    // updates of the list so far
	pollAt        Micros    // when the list is polled next; 0: never
	pollFailures  int       // in a row
	endpointsAsOf Micros    // when discovery last said what there is, or nothing new; 0: never
}

// estimateState is what was learned of the fleet and the jobs.
type estimateState struct {
	classes         []classState
	kinds           map[int]*kind
	groups          map[groupKey]*group
	slotTimes       quantileWindow // run time x slots of all jobs
	fleetEstimate   speedEstimate
	cachedBestSpeed float64 // fastest speed in this event; 0: not computed yet
	fastestWorker   *worker // that had it when last computed
	meanJobValue    float64 // of a job
	hintsSeen       bool    // jobs come with cost hints
}

// admissionState is the gate's.
type admissionState struct {
	quotaTokens     []float64 // by tenant
	quotaRefilledAt []Micros

	level       overloadLevel
	gappedRanks int // ranks below this are gapped

	consecutiveSevere, consecutiveOverload, consecutiveNormal int // assessments in a row

	gappingSteppedAt      Micros
	gappingStepInterval   Micros // X: how long gapping stays on a step
	flows                 []flow // (tenant, class, over quota)
	ranks                 []int  // (class, over quota): 0 is shed first
	rankCount             int
	parametersRefreshedAt Micros
	parameterRefreshes    int
	classesByWaitTarget   []int // classes by T_k
}

// placementState is what selectWorker keeps.
type placementState struct {
	scanLimit        int    // workers up to which a subset is scanned: maxScannedSubset
	index            *index // of a large subset; nil: not needed yet
	workersExamined  uint64 // for jobs
	freeCapacitySeen bool   // one of those examined has capacity for one more slot
	noCapacityEvent  uint64 // the event in which none of the subset has
	dedupGroups      [ScopeCell + 1]map[int][]*worker
}

// outlierState is what outlier detection keeps.
type outlierState struct {
	panicMode     bool       // too many outliers: all workers are used
	suspects      []*worker  // those that may be suspect or ejected
	overdueStarts []*attempt // in flight, not begun

	sortedOverdueStarts      []*attempt // the same in order, in the event sortedOverdueStartsEvent
	sortedOverdueStartsEvent uint64

	failingWorkers struct { // workers of the subset that fail jobs, in an event
		event uint64
		count float64
	}
}

// New returns a dispatcher with the given settings. The seed decides every random draw. The error names
// the setting that makes no sense.
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

func (d *Dispatcher) emit(a Action) { d.actions = append(d.actions, a) }

// log emits a log action, at most one every logInterval.
func (d *Dispatcher) log(text string) {
	if d.loggedAt == 0 || d.now-d.loggedAt >= logInterval {
		d.loggedAt = d.now
		d.emit(Action{Kind: Log, Text: text})
	}
}

// armTimer sets the timer for the next inspection: soon while jobs are queued, seldom while some run.
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
