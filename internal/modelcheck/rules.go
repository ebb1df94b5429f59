package modelcheck

import (
	"fmt"

	"dahliaford/internal/settings"
)

// Rules are the settings that worlds may vary. The zero Rules are what most worlds have: cancelling allowed,
// lists polled, four attempts, no hedging.
type Rules struct {
	CancelForbidden  bool   // an outstanding attempt may not be cancelled
	HedgingAllowed   bool   // a second copy of a request is allowed
	MaxAttempts      int    // 0: four
	EndpointsPushed  bool   // lists are pushed
	PollInterval     Micros // without a watch a change counts as notified after that; 0: 10 s
	ProgressInterval Micros // workers report progress so often; 0: never
	// LimitStaleness ends how long a list is valid, as on sockets: MaxStaleness is set, and a watch that
	// closes says until when the list is valid. Without it a list never becomes stale.
	LimitStaleness bool
}

func (r *Rules) maxAttempts() int {
	if r.MaxAttempts == 0 {
		return defaultMaxAttempts
	}
	return r.MaxAttempts
}

func (r *Rules) pollInterval() Micros {
	if r.PollInterval == 0 {
		return defaultPollInterval
	}
	return r.PollInterval
}

// parse reads the settings of a world with these rules.
func (r *Rules) parse() (settings.Settings, error) {
	discovery := "on_request"
	if r.EndpointsPushed {
		discovery = "pushed"
	}
	set, err := settings.Parse(fmt.Appendf(nil, worldSettings, r.ProgressInterval, discovery, r.maxAttempts(),
		!r.CancelForbidden, r.HedgingAllowed, r.pollInterval()))
	// The node does the same: a list that is pushed comes over a watch, too.
	set.Dispatch.PollEndpoints = true
	if r.LimitStaleness {
		set.Dispatch.MaxStaleness = maxStaleness
	}
	return set, err
}

// worldSettings are the settings of the worlds. Their times are longer against the granularity than those of
// a real deployment, so that few deadlines lie within a request's life.
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

// What worldSettings say, for the checks.
const (
	tenant            = "sahel"
	deadlineOfPost    = 1000 * millisecond
	deadlineOfBatch   = 1400 * millisecond
	dedupWindow       = 1500 * millisecond
	drainGrace        = 500 * millisecond
	overloadWindow    = 400 * millisecond
	slowStartDuration = 2 * second
	connectTimeout    = 150 * millisecond
)

// What worldSettings get, and what the program has from elsewhere.
const (
	defaultMaxAttempts  = 4
	defaultPollInterval = 10 * second
	maxStaleness        = 6 * second        // a change counts as notified then, whether it was or not
	reloadGrace         = 4 * second        // what the discovery of a new configuration says counts then
	disconnectGrace     = 100 * millisecond // an attempt may be written so long after its client left
	startTime           = 1000 * second     // when a world starts
)
