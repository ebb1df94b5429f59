package dispatch

// Constants that several parts of the package share, and the constants of the estimates. Where possible, a
// constant is a ratio to a setting or to a measured quantity rather than an absolute value.
const (
	second      = 1_000_000  // microseconds in a second
	logInterval = 5 * second // shortest time between two log lines, in microseconds

	// runTimeQuantile is the quantile of recent run times that is used as the service time of one slot. The
	// published overload control uses the upper quartile.
	runTimeQuantile  = 0.75
	maxRunSamples    = 64 // number of latest run times from which the quantile runTimeQuantile is computed
	quantileInterval = 16 // number of new run times after which the quantile runTimeQuantile is computed again

	// maxKindStartCount is the most jobs for which the start counts of a machine kind (jobs that started
	// promptly and jobs that started late) count when they are added to the start counts of one worker. The
	// counts of a worker with more jobs than this outweigh the counts of its kind.
	maxKindStartCount = 4.0

	// speedPriorRunsHinted and speedPriorRunsUnhinted are the weight of the prior speed (of the worker's kind or
	// of the fleet) against the runs of jobs at the worker itself, in upper quartiles of run times. The weight
	// is larger where jobs carry no cost hints, because a single run of unknown work says little about speed.
	speedPriorRunsHinted   = 2.0
	speedPriorRunsUnhinted = 8.0

	// A new sample of a running estimate, for example of speed, multiplies the weight of the earlier samples by
	// one of the following factors: in estimates of one worker, of all workers of one machine kind, and of the
	// whole fleet.
	workerSampleDecay = 0.9
	kindSampleDecay   = 0.99
	fleetSampleDecay  = 0.995

	// classWorkDecay is the factor by which a new job multiplies the weight of the work that earlier jobs of its
	// class needed.
	classWorkDecay = 0.98

	// unhintedWorkFraction is the fraction of its class's mean work that a job without a cost hint is assumed to
	// need in a large fleet without gossip. Most jobs are shorter than the mean, and a job whose work is assumed
	// too long is treated as too late for its objective while it could still meet the objective.
	unhintedWorkFraction = 0.7
)
