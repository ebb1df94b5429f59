// Package endpoints is a versioned table of workers as a discovery service keeps it, with the messages of a
// watch on the table and their encoding on the wire. Tests and tools use the package in their replacements of
// the discovery service: a scripted service, a service on sockets for a simulated fleet, and a service in
// virtual time. The scheduler does not use the package but has its own decoder, so that an error in the
// encoding here cannot hide the same error in the scheduler.
package endpoints

// State says whether a worker may be sent jobs.
type State string

// The states of an endpoint, as they stand on the wire.
const (
	Ready    State = "ready"
	Draining State = "draining" // the worker finishes the jobs that it has and is sent no new job
	Removed  State = "gone"     // the worker is no longer part of the list
)

// Endpoint is the entry of one worker. The discovery service defines the names of the fields on the wire.
type Endpoint struct {
	UID    string `json:"uid"`       // unique name of the worker in a table
	Addr   string `json:"endpoint"`  // network address as host:port
	Zone   string `json:"az"`        // name of the worker's zone
	Kind   string `json:"model"`     // kind of the worker's machine
	Cell   int    `json:"pod_group"` // number of the cell, whose workers deduplicate jobs together
	State  State  `json:"state"`
	BootMs int64  `json:"boot_ms"` // start of the worker's process in ms of Unix time; 0 if not recent
}
