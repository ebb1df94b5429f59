package node

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"dahliaford/internal/scheduler"
)

const newcomerGraceMicros = scheduler.Micros(newcomerGrace / time.Microsecond)

// evictClients closes client connections until the reserve is free. All that never sent a
// whole request go, and all idle ones that never brought a job or a callback, unless they
// have just come: a thousand more may stand in the listener's queue, before the usual
// clients. Then go those of usual clients that have idled longest.
func (n *Node) evictClients() {
	n.evictionRequested.Store(false)
	free, young := cap(n.clientSlots)-len(n.clientSlots), 0
	idle := map[*client]int64{}
	for c := range n.clients {
		at, rank := c.idleSince.Load(), c.rank.Load()
		switch {
		case c.ctx.Err() != nil:
			free++ // it is about to close
		case rank == rankNew && n.now()-c.acceptedAt > newcomerGraceMicros,
			rank == rankRequester && at != 0 && n.now()-scheduler.Micros(at) > newcomerGraceMicros:
			c.evict()
			free++
		case rank <= rankNew:
			young++
		case at != 0:
			idle[c] = at
		}
	}
	if free >= n.callbackSlots {
		return
	}
	oldest := slices.SortedFunc(maps.Keys(idle), func(a, b *client) int {
		return cmp.Or(cmp.Compare(a.rank.Load(), b.rank.Load()), cmp.Compare(idle[a], idle[b]))
	})
	for _, c := range oldest[:min(len(oldest), n.callbackSlots-free)] {
		if c.rank.Load() == rankEstablished && young > 0 {
			return // those who have just come, and say nothing, make room in a moment
		}
		c.evict()
	}
}

// evict lets a client go to make room. One that has never sent a whole request is cut
// off within one; for the others, a request that crosses the close is answered.
func (c *client) evict() {
	if c.rank.CompareAndSwap(rankNew, rankEvicted) {
		c.conn.SetReadDeadline(time.Now())
	}
	c.closeWhenIdle()
}
