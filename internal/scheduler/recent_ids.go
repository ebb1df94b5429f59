package scheduler

import (
	"crypto/sha256"

	"dahliaford/internal/dispatch"
)

// maxGenerationIDs is the number of ids that one generation of recentIDs holds.
const maxGenerationIDs = 1 << 16

// idRetention returns how long the id of a request of the class stays reserved after its first attempt began.
// The last attempt may be sent just before the deadline. For a class with idempotency keys, workers within
// the deduplication scope drop repetitions of that attempt during the following deduplication window. A new
// request with the same id could run a second time at a worker outside the scope, so the id stays reserved
// until the window ends.
func idRetention(class *dispatch.Class) Micros {
	if class.Effect == dispatch.Keyed {
		return class.Deadline + class.DedupWindow
	}
	return class.Deadline
}

// idDigest stands for a request id. Ids may be as long as the head of a request; all digests have one size.
type idDigest [16]byte

func digestOf(id string) idDigest {
	sum := sha256.Sum256([]byte(id))
	return idDigest(sum[:len(idDigest{})])
}

// recentIDs is the set of the ids of requests that have had an attempt recently, in two generations. With
// rotate called regularly, it keeps each id for at least the retention time that is passed to rotate, and for
// at most twice that time. Its memory is bounded: when a generation is full, the ids of the generation before
// are dropped early, so that the set always has the latest maxGenerationIDs ids.
type recentIDs struct {
	current, previous map[idDigest]struct{}
	rotatedAt         Micros
}

func (r *recentIDs) has(id string) bool {
	digest := digestOf(id)
	_, inCurrent := r.current[digest]
	_, inPrevious := r.previous[digest]
	return inCurrent || inPrevious
}

// rotate starts a new generation of ids if the current generation is older than the retention time, and drops
// the ids of the generation before the current one. It drops both generations if the current one is older
// than twice the retention time.
func (r *recentIDs) rotate(now, retention Micros) {
	age := now - r.rotatedAt
	if age <= retention {
		return
	}
	r.startGeneration(now)
	if age > 2*retention {
		r.previous = nil
	}
}

func (r *recentIDs) startGeneration(now Micros) {
	r.previous, r.current = r.current, nil
	r.rotatedAt = now
}

// add adds an id. It reports whether ids had to be dropped early, because the current generation was full.
func (r *recentIDs) add(now Micros, id string) (dropped bool) {
	if len(r.current) >= maxGenerationIDs {
		dropped = len(r.previous) > 0
		r.startGeneration(now)
	}
	if r.current == nil {
		r.current = map[idDigest]struct{}{}
	}
	r.current[digestOf(id)] = struct{}{}
	return dropped
}

func (r *recentIDs) remove(id string) {
	digest := digestOf(id)
	delete(r.current, digest)
	delete(r.previous, digest)
}

// size returns the number of ids in the set.
func (r *recentIDs) size() int { return len(r.current) + len(r.previous) }
