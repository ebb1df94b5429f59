// Package modelcheck is an explicit-state model checker for the scheduler. It drives the reducer, the
// decision module and the state machine of connections through every order of events that a small world
// allows: a client, a few requests, a few workers, a network that delays, loses and breaks, a worker list,
// and time. It drives the code that serves, not a copy of it, and checks stated properties of what the
// client and the workers saw.
//
// The package has no I/O and no clock. A Config describes a world; Search explores it to the end or to a
// budget; a Trace can be replayed; RandomWalk takes long paths at random. docs/modelcheck.md says which
// abstractions make the worlds finite.
package modelcheck

import (
	"dahliaford/internal/scheduler"
)

// Micros is a time in the world: microseconds since an arbitrary start.
type Micros = scheduler.Micros

const (
	millisecond Micros = 1000
	second             = 1000 * millisecond
)
