package node

import (
	"cmp"
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

// clientSurvey says what the client connections are doing when client slots are scarce.
type clientSurvey struct {
	// freeSoon is the number of connections that are closing and have no request in progress.
	freeSoon int
	// busy is the number of connections with a request in progress. A closing connection may be one of them: its
	// request can be a job that runs for many seconds.
	busy int
	// young is the number of connections that are not older than newConnGrace and never sent a complete request.
	young int
	// expendable are the connections that are older than newConnGrace and never sent a complete request, and
	// those that have been idle for longer than newConnGrace and sent neither an accepted job nor a callback.
	expendable []*client
	idle       []idleClient // idle are all other idle connections that are not closing.
}

// idleClient is an idle connection with its rank and the start of its idle time, both read only once, because
// the connection's goroutine changes them.
type idleClient struct {
	client *client
	rank   clientRank
	since  int64
}

// surveyClients looks at each client connection once.
func (n *Node) surveyClients() clientSurvey {
	var s clientSurvey
	longBefore := func(t scheduler.Micros) bool { return n.now()-t > newConnGraceMicros }
	for c := range n.clients {
		since, rank := c.idleSince.Load(), c.rank.load()
		switch {
		case c.closing() && (since != 0 || rank == rankEvicted):
			s.freeSoon++
		case c.closing():
			s.busy++
		case rank == rankNew && longBefore(c.acceptedAt),
			rank == rankRequester && since != 0 && longBefore(scheduler.Micros(since)):
			s.expendable = append(s.expendable, c)
		case rank <= rankNew:
			s.young++
		case since != 0:
			s.idle = append(s.idle, idleClient{c, rank, since})
		default:
			s.busy++
		}
	}
	return s
}

// evictClients closes client connections so that at least callbackSlots client slots become free. It always
// closes all expendable connections, and all at once, because a thousand more of the kind may be in the
// listener's queue ahead of clients that have sent an accepted job or a callback. If that does not free
// enough slots, it closes further idle connections, lowest rank and longest idle first.
func (n *Node) evictClients() {
	n.evictionRequested.Store(false)
	unused := cap(n.clientSlots) - len(n.clientSlots)
	s := n.surveyClients()
	for _, c := range s.expendable {
		c.evict()
	}
	evicted := len(s.expendable)
	if missing := n.callbackSlots - unused - s.freeSoon - evicted; missing > 0 {
		evicted += evictIdle(&s, missing)
	}
	if unused == 0 {
		n.log.Warn("no client slot is free; closing connections", "evicted", evicted, "closing", s.freeSoon,
			"busy", s.busy, "new", s.young, "idle", len(s.idle))
	}
}

// evictIdle closes at most limit idle connections and returns how many it has closed.
func evictIdle(s *clientSurvey, limit int) (evicted int) {
	slices.SortFunc(s.idle, func(a, b idleClient) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.since, b.since))
	})
	for _, candidate := range s.idle[:min(len(s.idle), limit)] {
		if candidate.rank == rankEstablished && s.young > 0 {
			// The new connections can be evicted once newConnGrace has passed. Waiting for that spares established
			// clients, which have sent an accepted job or a callback.
			return evicted
		}
		candidate.client.evict()
		evicted++
	}
	return evicted
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
