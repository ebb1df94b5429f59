package modelcheck

import (
	"fmt"

	"dahliaford/internal/settings"
)

// Overrides holds the settings that may differ between worlds (simulated configurations). The zero value
// gives the default settings of most of them: cancelling allowed, worker lists polled, at most four attempts,
// no hedging.
type Overrides struct {
	CancelForbidden bool // an outstanding attempt must not be cancelled
	HedgingAllowed  bool // a second attempt may be sent while the first one is outstanding
	MaxAttempts     int  // largest number of attempts of a request; 0 means four
	EndpointsPushed bool // discovery pushes worker lists
	// PollInterval is the time after a change of the worker list from which the scheduler counts as notified of
	// the change if no watch is open. 0 means 10 s.
	PollInterval     Micros
	ProgressInterval Micros // interval of the progress reports of workers; 0 means no reports
	// LimitStaleness limits the validity of worker lists as package node does: it sets MaxStaleness, and the
	// event of a closed watch contains the time at which the list expires. Otherwise a list never expires.
	LimitStaleness bool
}

func (r *Overrides) maxAttempts() int {
	if r.MaxAttempts == 0 {
		return defaultMaxAttempts
	}
	return r.MaxAttempts
}

func (r *Overrides) pollInterval() Micros {
	if r.PollInterval == 0 {
		return defaultPollInterval
	}
	return r.PollInterval
}

// parse returns the settings of a world (simulated configuration) with these overrides.
func (r *Overrides) parse() (settings.Settings, error) {
	discovery := "on_request"
	if r.EndpointsPushed {
		discovery = "pushed"
	}
	set, err := settings.Parse(fmt.Appendf(nil, worldSettings, r.ProgressInterval, discovery, r.maxAttempts(),
		!r.CancelForbidden, r.HedgingAllowed, r.pollInterval()))
	// Package node sets PollEndpoints as well, because a pushed list also arrives over a watch.
	set.Dispatch.PollEndpoints = true
	if r.LimitStaleness {
		set.Dispatch.MaxStaleness = maxStaleness
	}
	return set, err
}

// worldSettings is the format string of the settings of all worlds (simulated configurations). The setting
// granularity (50 ms) is larger in proportion to the other times than in a real deployment, so that few
// deadlines lie within the lifetime of a request and the number of states stays small.
const worldSettings = `{"balancers":1,"me":0,"granularity":50000,"azs":["north"],"kinds":["m1"],
	"grades":[
	{"name":"post-reading","semantics":"at_most_once","slo":500000,"deadline":1000000,"worth":2},
	{"name":"district-batch","semantics":"deduplicated","dedup_scope":"cell","memory_span":1500000,
	 "slo":800000,"deadline":1400000,"worth":3}],
	"customers":[{"name":"sahel"}],
	"family_info":{"class_stretch":[0,0],"tells_start":true,"progress":%d},"discovery":%q,
	"limits":{"attempts_cap":%d,"cancel":%t,"may_duplicate":%t,
	 "connect_timeout":150000,"max_retry_after":2000000},
	"guarantees":{"cold":2000000,"cold_from":0.3,"fall":400000,"overload_factor":1,"ask_within":%d,
	 "drain_grace":500000}}`

// Values of worldSettings that the property checks use.
const (
	tenant            = "sahel"
	postDeadline      = 1000 * millisecond
	batchDeadline     = 1400 * millisecond
	dedupWindow       = 1500 * millisecond
	drainGrace        = 500 * millisecond
	overloadWindow    = 400 * millisecond
	slowStartDuration = 2 * second
	connectTimeout    = 150 * millisecond
)

// Defaults of Overrides, and values that are not in worldSettings.
const (
	defaultMaxAttempts  = 4
	defaultPollInterval = 10 * second
	// maxStaleness is the time after a change of the worker list from which the property checks treat the
	// scheduler as notified of the change, even if the change was not delivered.
	maxStaleness = 6 * second
	// reloadGrace is the time after a reload of the configuration before which the property checks do not treat
	// the scheduler as notified of an undelivered change by the newly configured discovery.
	reloadGrace = 4 * second
	// disconnectGrace is the time after the disconnect of a client within which an attempt may still be written.
	disconnectGrace = 100 * millisecond
	startTime       = 1000 * second // initial simulated time
)
