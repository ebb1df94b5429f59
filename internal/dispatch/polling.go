package dispatch

import "math"

// When the worker list is polled, and how long what it said holds. Nothing here decides.

const (
	pollServiceTime   = 50 * second / 1000 // what a poll costs the list's service, about
	fastPollRetries   = 3                  // failed ones in a row after which the backoff grows
	pollBackoffGrowth = 1.5                // by how much, each time, to twice its length at most
)

// pollJitter is a random wait before the list is polled, so that not all poll at once: calls that wait
// too long there fail, and cost it as much. While the last update holds there is time until then, less
// what a call may take. Otherwise nothing can be sent, and it is short.
func (d *Dispatcher) pollJitter() Micros {
	if !d.settings.LargeFleet() || d.settings.UnmeteredPolls {
		return 0
	}
	remaining := float64(d.endpointsAsOf + d.settings.MaxStaleness - d.now - second)
	spread := min(pollServiceTime*float64(d.settings.Dispatchers), float64(d.settings.PollInterval)/5)
	longest := max(remaining, spread)
	return Micros(d.random.uniform() * longest)
}

// pollBackoff is the wait from a poll that failed, or a watch that ended, to the next poll. The first
// one has the time for which the last update holds. While the service is down the next ones cost it
// nothing, and as it is back nobody waits there: what counts is how soon each polls then. Only after
// several failures in a row may it be that there are more polls than it can work through.
func (d *Dispatcher) pollBackoff() Micros {
	base := float64(second) / 2 * (1 + d.random.uniform())
	switch {
	case d.settings.UnmeteredPolls && d.pollFailures == 0:
		return d.settings.Granularity
	case d.settings.UnmeteredPolls:
		return Micros(base * 2 / 5)
	}
	if d.pollFailures == 0 {
		return Micros(min(base, float64(d.settings.PollInterval)/3)) + d.pollJitter()
	}
	longest := float64(d.settings.PollInterval) / 5
	if d.settings.LargeFleet() {
		longest = min(pollServiceTime*float64(d.settings.Dispatchers), longest)
		base = d.random.uniform() * longest
	}
	growth := math.Pow(pollBackoffGrowth, float64(max(d.pollFailures-fastPollRetries, 0)))
	return Micros(min(base, longest) * min(growth, 2))
}

// endpointsStale reports whether any worker may drain without our knowledge (rule 3).
// A change counts as known MaxStaleness later, so the last update holds so long, and the list that a
// start knew not at all. That a worker takes jobs proves nothing: one that drains may.
func (d *Dispatcher) endpointsStale() bool {
	return d.settings.PollEndpoints && d.settings.MaxStaleness > 0 &&
		(d.endpointsAsOf == 0 || d.now-d.endpointsAsOf > d.settings.MaxStaleness)
}
