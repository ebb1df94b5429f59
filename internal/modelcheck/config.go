package modelcheck

import (
	"fmt"
	"math"
	"slices"

	"dahliaford/internal/settings"
)

// Class is the class of a request in a world.
type Class uint8

// The classes: of a post-reading nothing may run twice; a batch may be repeated within its rack and window.
const (
	Post Class = iota
	Batch
)

// String returns the class's name in the settings.
func (c Class) String() string { return [...]string{Post: "post-reading", Batch: "district-batch"}[c] }

func (c Class) deadline() Micros {
	if c == Post {
		return deadlineOfPost
	}
	return deadlineOfBatch
}

// The largest worlds. A request's and a worker's number is a digit in its name.
const (
	maxRequests = 8
	maxWorkers  = 8
)

// Config describes a world.
type Config struct {
	Name  string
	About string
	// Requests are the classes of those that the client sends, in this order.
	Requests []Class
	// Racks has the rack of each worker.
	Racks []int
	// Faults is how often each fault may be injected, MaxFaults how many in all.
	Faults    Budget
	MaxFaults uint8
	// AnswerOvertakesWrite lets a worker's answer reach the event loop before the notice that the request
	// is written.
	AnswerOvertakesWrite bool
	// DeleteOvertakesRequest lets a DELETE overtake the request that it is about. No scheduler can do
	// anything about that: see docs/design.md.
	DeleteOvertakesRequest bool
	// RenewRequests lets a request that is over, and of which nothing is left, begin anew with another id:
	// a walk has no end then.
	RenewRequests bool

	// Rules are the settings in which the world differs from the others.
	Rules Rules

	settings settings.Settings // read from Rules by prepare
}

// Resize returns the world with another number of requests (of alternating classes), of workers (in the
// first one's rack) and of faults in all; 0, 0 and -1 leave them as they are.
func (c *Config) Resize(requests, workers, maxFaults int) (*Config, error) {
	switch {
	case requests < 0 || requests > maxRequests:
		return nil, fmt.Errorf("0 to %d requests", maxRequests)
	case workers < 0 || workers > maxWorkers:
		return nil, fmt.Errorf("0 to %d workers", maxWorkers)
	case maxFaults < -1 || maxFaults > math.MaxUint8:
		return nil, fmt.Errorf("0 to %d faults", math.MaxUint8)
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

// prepare checks the world's size and reads its settings, once.
func (c *Config) prepare() error {
	if len(c.settings.Classes) > 0 {
		return nil
	}
	if len(c.Requests) == 0 || len(c.Requests) > maxRequests || len(c.Racks) == 0 || len(c.Racks) > maxWorkers {
		return fmt.Errorf("world %q: 1 to %d requests and 1 to %d workers", c.Name, maxRequests, maxWorkers)
	}
	var err error
	if c.settings, err = c.Rules.parse(); err != nil {
		return fmt.Errorf("world %q: %w", c.Name, err)
	}
	return nil
}
