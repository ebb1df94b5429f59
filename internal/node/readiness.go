package node

import (
	"time"

	"dahliaford/internal/settings"
)

// ready reports whether front ends should send clients here. Nothing is sent to workers before discovery has
// sent a list, so clients are better served elsewhere until then; but not for long, as discovery may be down.
func (n *Node) ready() bool { return n.listReceived.Load() || time.Since(n.start) > n.readinessTimeout }

// readinessTimeoutOf returns how long a node without a list reports that it is not ready: as long as the client
// with the shortest deadline would wait here in vain, at most maxReadinessTimeout. By then other nodes lack the
// list, too, and a client whose job is queued, or refused at once with a Retry-After, is better off than one
// that finds no node at all.
func readinessTimeoutOf(set *settings.Settings) time.Duration {
	shortest := maxReadinessTimeout
	for _, c := range set.Dispatch.Classes {
		shortest = min(shortest, time.Duration(c.Deadline)*time.Microsecond)
	}
	return shortest
}
