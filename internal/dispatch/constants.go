package dispatch

// Constants that several concerns share.
const (
	second      = 1_000_000 // in Micros
	logInterval = 5 * second
)
