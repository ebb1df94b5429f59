// Package endpoints is a versioned table of workers as a discovery service keeps it, with the messages
// of a watch on it and their form on the wire. It is made for tests and tools that play the discovery
// service: one core for a scripted one, for one that serves a simulated fleet on sockets, and for one
// in virtual time. The scheduler itself does not use it: it has a decoder of its own, so that an error
// here cannot cancel out one there.
package endpoints

// State says whether a worker may be sent jobs.
type State string

// The states of an endpoint, as they stand on the wire.
const (
	Ready    State = "ready"
	Draining State = "draining" // it finishes what it has and gets nothing new
	Removed  State = "gone"     // it is no longer part of the list
)

// Endpoint is the entry of one worker. The names on the wire are the discovery service's.
type Endpoint struct {
	UID    string `json:"uid"`      // unique in a table
	Addr   string `json:"endpoint"` // host:port
	Zone   string `json:"az"`
	Kind   string `json:"model"`     // of its machine
	Cell   int    `json:"pod_group"` // workers of one cell deduplicate together
	State  State  `json:"state"`
	BootMs int64  `json:"boot_ms"` // start of its process in milliseconds of Unix time; 0: long ago
}
