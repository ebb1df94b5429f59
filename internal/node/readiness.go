package node

import (
	"time"

	"dahliaford/internal/settings"
)

// ready tells whether the front should deal clients here. Nothing is sent before discovery has
// been heard, so they are better off elsewhere; but not for long, as discovery may be down.
func (n *Node) ready() bool { return n.listReceived.Load() || time.Since(n.start) > n.maxUnready }

// maxUnreadyOf is how long a start without a list keeps clients away: as long as the one who waits least
// would wait here in vain, readyWithin at the most. By then others lack the list, too, and a client that
// is held or refused at once with a word when to come again is better off than one that finds nobody.
func maxUnreadyOf(set *settings.Settings) time.Duration {
	shortest := maxUnreadyTime
	for _, c := range set.Dispatch.Classes {
		shortest = min(shortest, time.Duration(c.Deadline)*time.Microsecond)
	}
	return shortest
}
