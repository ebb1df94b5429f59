package node

import (
	"cmp"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"dahliaford/internal/scheduler"
)

const (
	// newConnGrace is how long a new connection has for its first request before it can be evicted,
	// however few slots are free.
	newConnGrace       = 100 * time.Millisecond
	newConnGraceMicros = scheduler.Micros(newConnGrace / time.Microsecond)
)

// clientRank says what a client connection has done. When slots are scarce the lowest rank is evicted first.
type clientRank int32

const (
	rankEvicted     clientRank = iota - 1 // evicted at rankNew: nothing more is accepted from it
	rankNew                               // has not sent a complete request
	rankRequester                         // has sent requests, but no job that was accepted and no callback
	rankEstablished                       // has sent a callback, or a job that was accepted
)

// atomicRank is a clientRank that the loop and the connection's goroutine share.
type atomicRank struct{ value atomic.Int32 }

func (r *atomicRank) load() clientRank      { return clientRank(r.value.Load()) }
func (r *atomicRank) store(rank clientRank) { r.value.Store(int32(rank)) }

func (r *atomicRank) compareAndSwap(old, updated clientRank) bool {
	return r.value.CompareAndSwap(int32(old), int32(updated))
}

// evictClients closes client connections until callbackSlots are free. It closes all connections that never
// sent a complete request, and all idle ones that never sent a job that was accepted nor a callback, unless
// they are newcomers: a thousand more may be in the listener's queue, before the established clients. Then
// it closes the connections of established clients that have been idle longest.
func (n *Node) evictClients() {
	n.evictionRequested.Store(false)
	free := cap(n.clientSlots) - len(n.clientSlots)
	newConns := 0
	idleSince := map[*client]int64{}
	for c := range n.clients {
		since, rank := c.idleSince.Load(), c.rank.load()
		switch {
		case c.ctx.Err() != nil:
			free++ // it is about to close
		case rank == rankNew && n.now()-c.acceptedAt > newConnGraceMicros,
			rank == rankRequester && since != 0 && n.now()-scheduler.Micros(since) > newConnGraceMicros:
			c.evict()
			free++
		case rank <= rankNew:
			newConns++
		case since != 0:
			idleSince[c] = since
		}
	}
	if free >= n.callbackSlots {
		return
	}
	candidates := slices.SortedFunc(maps.Keys(idleSince), func(a, b *client) int {
		return cmp.Or(cmp.Compare(a.rank.load(), b.rank.load()), cmp.Compare(idleSince[a], idleSince[b]))
	})
	for _, c := range candidates[:min(len(candidates), n.callbackSlots-free)] {
		if c.rank.load() == rankEstablished && newConns > 0 {
			return // newcomers that send nothing can be evicted in a moment
		}
		c.evict()
	}
}

// evict closes a client connection to free its slot. One that has never sent a complete request is cut off,
// also within a request; for the others, a request that crosses the close is answered.
func (c *client) evict() {
	if c.rank.compareAndSwap(rankNew, rankEvicted) {
		c.conn.SetReadDeadline(time.Now())
	}
	c.closeWhenIdle()
}
