package node

import (
	"time"

	"dahliaford/internal/settings"
)

// ready reports whether front ends should send clients to this node. The node sends no attempts before
// discovery has sent a worker list, so until then other nodes serve clients better. After readinessTimeout
// the node is ready without a list, as discovery may be down for all nodes.
func (n *Node) ready() bool { return n.listReceived.Load() || time.Since(n.start) > n.readinessTimeout }

// readinessTimeoutOf returns how long a node without a worker list reports that it is not ready: the shortest
// deadline of any class, but at most maxReadinessTimeout. If discovery has not responded in that time, other
// nodes probably lack the list as well. A client whose job is queued, or refused at once with a Retry-After,
// is then better off than a client that finds no node at all.
func readinessTimeoutOf(set *settings.Settings) time.Duration {
	shortest := maxReadinessTimeout
	for _, c := range set.Dispatch.Classes {
		shortest = min(shortest, time.Duration(c.Deadline)*time.Microsecond)
	}
	return shortest
}
