package modelcheck

import (
	"fmt"
	"math"
	"slices"

	"dahliaford/internal/settings"
)

// Class is the class of a simulated request.
type Class uint8

// The classes differ in how often a request may run: a Post must not run twice; a Batch that may have run may
// be repeated on workers of the same rack within its deduplication window.
const (
	Post Class = iota
	Batch
)

// String returns the name of the class in the settings.
func (c Class) String() string { return [...]string{Post: "post-reading", Batch: "district-batch"}[c] }

func (c Class) deadline() Micros {
	if c == Post {
		return postDeadline
	}
	return batchDeadline
}

// Limits on the size of a world, the simulated system. They must not exceed 10, because the id of a request
// and the UID of a worker contain the index of the request or worker as one digit.
const (
	maxRequests = 8
	maxWorkers  = 8
)

// Config describes a world: the simulated requests, workers, faults and scheduler settings.
type Config struct {
	Name  string
	About string
	// Requests holds the class of each request. The client sends the requests in this order.
	Requests []Class
	// Racks holds the number of the rack of each worker, by the index of the worker.
	Racks []int
	// Faults limits the number of injected faults of each kind on a path through the states of the simulated
	// system; MaxFaults limits the number of faults of all kinds together.
	Faults    Budget
	MaxFaults uint8
	// AnswerOvertakesWrite allows a worker's answer to reach the event loop before the event that the
	// request has been written.
	AnswerOvertakesWrite bool
	// DeleteOvertakesRequest allows a DELETE to reach a worker before the request that it cancels. No
	// scheduler can prevent an orphaned job in this case: see docs/design.md.
	DeleteOvertakesRequest bool
	// RenewRequests allows a new request with a new id to replace a finished request of which no message and no
	// job is left. Random walks through the states of such a configuration do not run out of actions.
	RenewRequests bool

	// Overrides holds the settings in which this configuration differs from the default settings.
	Overrides Overrides

	settings settings.Settings // the scheduler's settings, which prepare parses from Overrides
}

// Resize returns a copy of the configuration with other numbers of requests and workers and another limit on
// the faults of all kinds together. Added requests alternate in class; added workers are in the rack of the
// first worker. An argument of 0 requests, 0 workers or -1 faults keeps the present number.
func (c *Config) Resize(requests, workers, maxFaults int) (*Config, error) {
	switch {
	case requests < 0 || requests > maxRequests:
		return nil, fmt.Errorf("number of requests out of range: want 0 to %d", maxRequests)
	case workers < 0 || workers > maxWorkers:
		return nil, fmt.Errorf("number of workers out of range: want 0 to %d", maxWorkers)
	case maxFaults < -1 || maxFaults > math.MaxUint8:
		return nil, fmt.Errorf("number of faults out of range: want 0 to %d, or -1 for the default", math.MaxUint8)
	}
	n := *c
	n.Requests, n.Racks = slices.Clone(c.Requests), slices.Clone(c.Racks)
	if requests > 0 {
		for len(n.Requests) < requests {
			n.Requests = append(n.Requests, otherClass(n.Requests[len(n.Requests)-1]))
		}
		n.Requests = n.Requests[:requests]
	}
	if workers > 0 {
		for len(n.Racks) < workers {
			n.Racks = append(n.Racks, n.Racks[0])
		}
		n.Racks = n.Racks[:workers]
	}
	if maxFaults >= 0 {
		n.MaxFaults = uint8(maxFaults)
	}
	return &n, nil
}

func otherClass(c Class) Class {
	if c == Post {
		return Batch
	}
	return Post
}

// prepare checks the size of the simulated system and parses its settings. Further calls do nothing.
func (c *Config) prepare() error {
	if len(c.settings.Classes) > 0 {
		return nil
	}
	if len(c.Requests) == 0 || len(c.Requests) > maxRequests || len(c.Racks) == 0 || len(c.Racks) > maxWorkers {
		return fmt.Errorf("world %q: size out of range: want 1 to %d requests and 1 to %d workers", c.Name,
			maxRequests, maxWorkers)
	}
	var err error
	if c.settings, err = c.Overrides.parse(); err != nil {
		return fmt.Errorf("settings of world %q: %w", c.Name, err)
	}
	return nil
}
