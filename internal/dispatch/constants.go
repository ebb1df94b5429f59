package dispatch

// Constants that several concerns share, and those of the estimates. Each is a ratio to a setting or to
// something measured, where it can be.
const (
	second      = 1_000_000 // in Micros
	logInterval = 5 * second

	runTimeQuantile  = 0.75 // of recent run times, for the time per slot (the paper's upper quartile)
	maxRunSamples    = 64   // run times that the quantile is taken of
	quantileInterval = 16   // run times between two computations of the quantile

	maxKindStartCount      = 4.0   // own jobs that outweigh what is known of a worker's kind
	speedPriorRunsHinted   = 2.0   // mean runs that a worker's own speed must outweigh, with cost hints
	speedPriorRunsUnhinted = 8.0   // the same without hints: single runs show little
	workerSampleDecay      = 0.9   // what a new run leaves of the weight of a worker's earlier ones
	kindSampleDecay        = 0.99  // the same for its kind
	fleetSampleDecay       = 0.995 // and for the fleet
	classWorkDecay         = 0.98  // what a new job leaves of the weight of its class's earlier ones

	unhintedWorkFraction = 0.7 // of the mean work: assumed for unhinted jobs in a large fleet without gossip
)
