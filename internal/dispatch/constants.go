package dispatch

// Constants that several parts of the package share, and the constants of the estimates. Where possible, a
// constant is a ratio to a setting or to a measured quantity rather than an absolute value.
const (
	second      = 1_000_000  // microseconds in a second
	logInterval = 5 * second // shortest time between two log lines, in microseconds

	// runTimeQuantile is the quantile of recent run times that stands for the service time of one slot. The
	// published overload control uses the upper quartile.
	runTimeQuantile  = 0.75
	maxRunSamples    = 64 // number of latest run times from which the quantile is computed
	quantileInterval = 16 // number of new run times after which the quantile is computed again

	// maxKindStartCount bounds the weight of a machine kind's start counts, in jobs, when they are added to the
	// counts of one worker. With more own jobs than this, the worker's counts outweigh those of its kind.
	maxKindStartCount = 4.0

	// speedPriorRunsHinted and speedPriorRunsUnhinted are the weight of the prior speed (of the worker's kind or
	// of the fleet) against the worker's own runs, in run times. The weight is larger where jobs carry no cost
	// hints, because a single run of unknown work says little about speed.
	speedPriorRunsHinted   = 2.0
	speedPriorRunsUnhinted = 8.0

	// Each new sample multiplies the weight of the earlier samples by one of these factors: samples of one
	// worker, of all workers of one machine kind, and of the whole fleet.
	workerSampleDecay = 0.9
	kindSampleDecay   = 0.99
	fleetSampleDecay  = 0.995

	// classWorkDecay is the factor by which a new job multiplies the weight of the work that earlier jobs of its
	// class needed.
	classWorkDecay = 0.98

	// unhintedWorkFraction is the fraction of its class's mean work that a job without a cost hint is assumed to
	// need in a large fleet without gossip. Most jobs are shorter than the mean, and a job assumed too long is
	// answered as late too early.
	unhintedWorkFraction = 0.7
)
