// Package modelcheck is an explicit-state model checker for the scheduler. A world is a small closed system
// around the scheduler: one client, a few requests and workers, a network that delays and loses messages and
// breaks connections, a discovery service, and time. The model checker drives the reducer, the decision
// module and the connection state machine through every order of events that a world allows, and checks
// properties of what the client and the workers observe. It runs the production code itself, not a model of
// that code.
//
// The package has no I/O and no clock. A Config describes a world. Search explores all states of a world, or
// as many as a time budget allows. RandomWalk takes long random paths through a world. Both return the path
// to a violation, which a Trace stores and replays. docs/modelcheck.md lists the abstractions that make the
// worlds finite.
package modelcheck

import (
	"dahliaford/internal/scheduler"
)

// Micros is a simulated time in microseconds since an arbitrary start.
type Micros = scheduler.Micros

const (
	millisecond Micros = 1000
	second             = 1000 * millisecond
)
