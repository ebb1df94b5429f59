// Package membudget decides which client requests may hold memory when the memory for all of them together
// runs short. Accounts of requests reserve memory from one budget. A reservation that does not fit waits,
// first come, first served, and requests that have been incomplete for too long are evicted to make room for
// it.
//
// The package has no clock, no lock and no I/O: callers pass the time and serialize the calls.
package membudget

import (
	"cmp"
	"slices"

	"dahliaford/internal/dispatch"
)

// Micros is a time or a span of time in microseconds.
type Micros = dispatch.Micros

// EvictionGrace is the time that a request has from its start until it can be evicted while it is incomplete.
// A client that sends without a pause needs less for the largest request.
const EvictionGrace Micros = 100_000

// Holder is the owner of an account. Budget calls its methods, which must neither block nor call Budget.
type Holder interface {
	// MemoryGranted tells that a reservation that had to wait has been granted.
	MemoryGranted()
	// Evict tells the holder to give up its request and to close its account.
	Evict()
}

// state is the state of an account.
type state uint8

const (
	reading  state = iota // The request is incomplete.
	complete              // The request is complete, and is not evicted any more.
	evicted
	closed
)

// Account is the account of one request.
type Account struct {
	holder Holder
	state  state
	held   int64 // held is the memory that has been granted, in bytes.
	wanted int64 // wanted is the reservation that waits, in bytes; 0 if none does.
	begun  Micros
	// waitingSince is the time since which a reservation waits; 0 if none does, and after Resume.
	waitingSince Micros
	// established says that the client has sent an accepted job or a callback before.
	established bool
}

// age returns for how long the request has been incomplete, without the time for which it waited for memory.
func (a *Account) age(now Micros) Micros {
	if a.waitingSince != 0 {
		return a.waitingSince - a.begun
	}
	return now - a.begun
}

// Held returns the memory that the account holds, in bytes.
func (a *Account) Held() int64 { return a.held }

// Budget is the memory for the requests of all clients.
type Budget struct {
	limit int64 // limit in bytes
	used  int64 // used is the sum of what all accounts hold, in bytes. It can exceed limit after Add.
	// evicting is the part of used that evicted accounts hold until they are closed, in bytes.
	evicting int64
	readers  map[*Account]bool // readers are the accounts in the state reading.
	waiting  []*Account        // waiting are the accounts whose reservations wait, the longest wait first.
}

// New returns a budget of limit bytes.
func New(limit int64) *Budget {
	return &Budget{limit: limit, readers: map[*Account]bool{}}
}

// Limit returns the size of the budget in bytes.
func (b *Budget) Limit() int64 { return b.limit }

// Used returns the memory that all accounts hold, in bytes.
func (b *Budget) Used() int64 { return b.used }

// Waiting returns the number of reservations that wait.
func (b *Budget) Waiting() int { return len(b.waiting) }

// Open opens the account of a request that is incomplete and began at the time begun.
func (b *Budget) Open(holder Holder, begun Micros, established bool) *Account {
	a := &Account{holder: holder, begun: begun, established: established}
	b.readers[a] = true
	return a
}

// Reserve reserves bytes for an incomplete request. It reports whether the reservation has been granted;
// otherwise the reservation waits, until the holder's MemoryGranted or Evict is called, or until Cancel. An
// account has at most one waiting reservation.
func (b *Budget) Reserve(a *Account, bytes int64, now Micros) (granted bool) {
	if a.state != reading {
		return false
	}
	if len(b.waiting) == 0 && b.used+bytes <= b.limit {
		b.hold(a, bytes)
		return true
	}
	a.wanted, a.waitingSince = bytes, now
	b.waiting = append(b.waiting, a)
	return false
}

// Resume tells that a request is read on after its reservation has waited.
func (b *Budget) Resume(a *Account, now Micros) {
	if a.waitingSince != 0 && a.wanted == 0 {
		a.begun += now - a.waitingSince
		a.waitingSince = 0
	}
}

// TryReserve reserves bytes if they are free and no reservation waits. It reports whether it did.
func (b *Budget) TryReserve(a *Account, bytes int64) bool {
	if len(b.waiting) > 0 || b.used+bytes > b.limit {
		return false
	}
	b.hold(a, bytes)
	return true
}

// Add makes an account hold bytes more, whether or not they are free. It is for memory that cannot be
// refused, such as the result of a job that has run.
func (b *Budget) Add(a *Account, bytes int64) { b.hold(a, bytes) }

// Cancel withdraws the waiting reservation of an account, if it has one.
func (b *Budget) Cancel(a *Account) {
	if a.wanted == 0 {
		return
	}
	a.wanted = 0
	b.waiting = slices.DeleteFunc(b.waiting, func(other *Account) bool { return other == a })
	b.grantWaiting()
}

// Complete marks a request as complete, so that it is no longer evicted, and releases what it holds above
// keep bytes. It reports false if the request has been evicted before.
func (b *Budget) Complete(a *Account, keep int64) bool {
	if a.state != reading {
		return false
	}
	a.state = complete
	delete(b.readers, a)
	b.Cancel(a)
	b.hold(a, min(keep-a.held, 0))
	b.grantWaiting()
	return true
}

// Close releases all that an account holds.
func (b *Budget) Close(a *Account) {
	if a.state == closed {
		return
	}
	delete(b.readers, a)
	b.hold(a, -a.held)
	a.state = closed
	b.Cancel(a)
	b.grantWaiting()
}

// EvictForWaiting evicts incomplete requests so that the reservation that waits longest fits. It evicts only
// requests that have been read for EvictionGrace: those of clients that are not established first, then the
// oldest. The time for which a request itself waited for memory does not count.
// It returns the time at which it should be called again, or 0 if that is not necessary before a further
// reservation waits.
func (b *Budget) EvictForWaiting(now Micros) (again Micros) {
	if len(b.waiting) == 0 {
		return 0
	}
	first := b.waiting[0]
	missing := b.used - b.evicting + first.wanted - b.limit
	again = now + EvictionGrace
	for _, a := range b.candidates(now) {
		age := a.age(now)
		switch {
		case missing <= 0:
			return again
		case a == first:
		case age >= EvictionGrace:
			missing -= a.held
			b.evict(a)
		default:
			again = min(again, now+EvictionGrace-age)
		}
	}
	return again
}

// candidates returns the incomplete requests that hold memory, in the order in which they should be evicted.
func (b *Budget) candidates(now Micros) []*Account {
	var list []*Account
	for a := range b.readers {
		if a.held > 0 {
			list = append(list, a)
		}
	}
	slices.SortFunc(list, func(x, y *Account) int {
		if x.established != y.established {
			if y.established {
				return -1
			}
			return 1
		}
		return cmp.Compare(y.age(now), x.age(now))
	})
	return list
}

func (b *Budget) evict(a *Account) {
	a.state = evicted
	delete(b.readers, a)
	b.evicting += a.held
	b.Cancel(a)
	a.holder.Evict()
}

// hold adds bytes, which may be negative, to what an account holds.
func (b *Budget) hold(a *Account, bytes int64) {
	a.held += bytes
	b.used += bytes
	if a.state == evicted {
		b.evicting += bytes
	}
}

// grantWaiting grants waiting reservations, in their order, as long as they fit.
func (b *Budget) grantWaiting() {
	for len(b.waiting) > 0 && b.used+b.waiting[0].wanted <= b.limit {
		a := b.waiting[0]
		b.waiting = b.waiting[1:]
		b.hold(a, a.wanted)
		a.wanted = 0
		a.holder.MemoryGranted()
	}
}
