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
	// newConnGrace is the minimum time that a new connection has for its first request before the connection can
	// be evicted, even when no client slot is free.
	newConnGrace       = 100 * time.Millisecond
	newConnGraceMicros = scheduler.Micros(newConnGrace / time.Microsecond)
)

// clientRank orders client connections for eviction by what the client has sent so far. When client slots are
// scarce, connections of the lowest rank are evicted first.
type clientRank int32

const (
	// A connection with rankEvicted was evicted while it had rankNew; its requests are refused.
	rankEvicted clientRank = iota - 1
	rankNew                // A client with rankNew has not sent a complete request.
	// A client with rankRequester has sent requests, but neither an accepted job nor a callback.
	rankRequester
	// A client with rankEstablished has sent a callback or a job that was accepted.
	rankEstablished
)

// atomicRank is a clientRank that the event loop and the connection's goroutine share.
type atomicRank struct{ value atomic.Int32 }

func (r *atomicRank) load() clientRank      { return clientRank(r.value.Load()) }
func (r *atomicRank) store(rank clientRank) { r.value.Store(int32(rank)) }

func (r *atomicRank) compareAndSwap(old, updated clientRank) bool {
	return r.value.CompareAndSwap(int32(old), int32(updated))
}

// evictClients closes client connections so that at least callbackSlots client slots become free. It always
// closes all connections that are older than newConnGrace and never sent a complete request, and all that
// have been idle for longer than newConnGrace and sent neither an accepted job nor a callback. It closes all
// of these connections at once, because a thousand more of the kind may be in the listener's queue ahead of
// clients that have sent an accepted job or a callback. If that does not free enough slots, it closes further
// idle connections, lowest rank and longest idle first.
func (n *Node) evictClients() {
	n.evictionRequested.Store(false)
	free := cap(n.clientSlots) - len(n.clientSlots)
	newConns := 0
	idleSince := map[*client]int64{}
	for c := range n.clients {
		since, rank := c.idleSince.Load(), c.rank.load()
		switch {
		case c.ctx.Err() != nil:
			free++ // The connection is already closing and frees its client slot soon.
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
			// The new connections can be evicted once newConnGrace has passed. Waiting for that spares established
			// clients, which have sent an accepted job or a callback.
			return
		}
		c.evict()
	}
}

// evict closes a client connection to free the connection's client slot. If the client has never sent a
// complete request, reading stops at once, even within a request. Otherwise a request that arrives during the
// close is still answered.
func (c *client) evict() {
	if c.rank.compareAndSwap(rankNew, rankEvicted) {
		c.conn.SetReadDeadline(time.Now())
	}
	c.closeWhenIdle()
}
