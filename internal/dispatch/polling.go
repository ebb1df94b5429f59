package dispatch

import "math"

// This file computes when the worker list is polled and how long an update of the worker list stays valid. It
// makes no dispatch decisions.

const (
	// pollServiceTime is the approximate time, in microseconds, that the discovery service spends on one poll.
	pollServiceTime   = 50 * second / 1000
	fastPollRetries   = 3   // number of consecutive failed polls after which the backoff grows
	pollBackoffGrowth = 1.5 // growth factor of the backoff for each further failed poll, up to a factor of 2
)

// pollJitter returns a random wait before a poll of the worker list. The wait keeps the dispatchers from
// polling all at once: a call that waits too long at the discovery service fails, and costs the service as
// much as a successful call. While the last update of the list is valid, the wait may last until 1 s (the
// time allowed for the call) before the update becomes stale. When no update is valid, the dispatcher can
// send no job, so the wait is short.
func (d *Dispatcher) pollJitter() Micros {
	if !d.settings.LargeFleet() || d.settings.UnmeteredPolls {
		return 0
	}
	remaining := float64(d.endpointsAsOf + d.settings.MaxStaleness - d.now - second)
	spread := min(pollServiceTime*float64(d.settings.Dispatchers), float64(d.settings.PollInterval)/5)
	longest := max(remaining, spread)
	return Micros(d.random.uniform() * longest)
}

// pollBackoff returns the wait from a failed poll, or from the end of a watch, to the next poll. The wait
// after the first failure may last as long as the last update is valid. Further polls cost a discovery
// service nothing while the service is down, and the service has no queue when it returns. The wait after
// further failures is therefore short, so that each dispatcher polls soon after the return of the service.
// Several consecutive failures may mean that the service receives more polls than it can answer, so the
// wait grows after fastPollRetries failures.
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

// endpointsStale reports whether the known worker list is too old for sending jobs. No new job may go to a
// worker that drains or is removed, and a change of the worker list binds the dispatcher MaxStaleness after
// the change even if the dispatcher has not received the change. So an update is valid for MaxStaleness, and
// the list that was stored before a restart is not valid at all. An accepted job does not show that a worker
// is still ready, because a draining worker may accept jobs.
func (d *Dispatcher) endpointsStale() bool {
	return d.settings.PollEndpoints && d.settings.MaxStaleness > 0 &&
		(d.endpointsAsOf == 0 || d.now-d.endpointsAsOf > d.settings.MaxStaleness)
}
