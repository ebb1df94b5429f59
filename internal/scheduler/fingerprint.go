package scheduler

import (
	"bytes"
	"cmp"
	"maps"
	"slices"

	"dahliaford/internal/fingerprint"
)

// AppendState appends an encoding of the state to b. Two states with the same encoding respond to equal
// sequences of events with equal effects, apart from the payloads, which the encoding leaves out. AppendState
// must not be called during Step.
func (s *Scheduler) AppendState(b []byte) []byte {
	f := fingerprint.Buffer(b)
	f.Ints(int64(s.now), int64(s.lastJob), int64(s.lastAttempt), s.revision, int64(s.epoch), int64(s.listAsOf),
		int64(s.timerAt), int64(s.refuseFrom), int64(s.answerBy), int64(s.maxDeadline))
	f.Ints(int64(len(s.byCaller)), int64(len(s.byID)), int64(len(s.byAttempt)), int64(len(s.byJob)))
	f.Bools(s.watchOpen, s.refusing, s.dispatcher == nil)
	f.Text(s.discoveryAddr)
	s.appendRequests(&f)
	s.appendCancellations(&f)
	s.appendUsedIDs(&f)
	s.appendWorkers(&f)
	s.appendTimers(&f)
	for _, name := range append(slices.Clone(s.zones), s.kinds...) {
		f.Text(name)
	}
	if s.dispatcher != nil {
		return s.dispatcher.AppendState(f)
	}
	return f
}

func (s *Scheduler) appendRequests(f *fingerprint.Buffer) {
	for _, r := range sortedValues(s.byJob) {
		f.Ints(int64(r.caller), int64(r.job), int64(r.deadline), int64(len(r.attempts)))
		f.Text(r.id)
		f.Bools(r.answered, s.byCaller[r.caller] == r, s.byID[r.id] == r)
		for _, a := range r.attempts {
			f.Ints(int64(a.id), int64(a.ordinal), int64(a.worker.number), int64(a.deadline),
				int64(a.deferredUntil))
			f.Text(a.addr)
			f.Bools(a.accepted, a.ended, a.mayHaveRun)
		}
	}
}

func (s *Scheduler) appendCancellations(f *fingerprint.Buffer) {
	for _, c := range sortedValues(s.cancellations) {
		f.Ints(int64(c.attempt.id), int64(c.timerAt), int64(c.sends), int64(c.giveUpAt))
		f.Text(c.attempt.request.id)
		f.Text(c.attempt.addr)
		f.Bools(c.inFlight, s.byJob[c.attempt.request.job] != nil)
	}
}

func (s *Scheduler) appendUsedIDs(f *fingerprint.Buffer) {
	f.Ints(int64(s.usedIDs.rotatedAt))
	for _, set := range []map[idDigest]struct{}{s.usedIDs.current, s.usedIDs.previous} {
		digests := slices.SortedFunc(maps.Keys(set), func(a, b idDigest) int { return bytes.Compare(a[:], b[:]) })
		f.Ints(int64(len(digests)))
		for _, digest := range digests {
			f.Text(string(digest[:]))
		}
	}
}

func (s *Scheduler) appendWorkers(f *fingerprint.Buffer) {
	for _, w := range sortedValues(s.workers) {
		f.Ints(int64(w.number), int64(w.Cell), int64(w.Status), int64(w.Started))
		f.Text(w.UID)
		f.Text(w.Addr)
		f.Text(w.Zone)
		f.Text(w.Kind)
		f.Ints(int64(w.version.epoch), w.version.revision, int64(w.drainingSince), int64(w.removedSince))
		f.Bools(w.pendingUpdate != nil)
		if pending := w.pendingUpdate; pending != nil {
			f.Ints(int64(pending.Cell), int64(pending.Status), int64(pending.Started))
			f.Text(pending.Addr)
		}
	}
}

func (s *Scheduler) appendTimers(f *fingerprint.Buffer) {
	timers := slices.Clone(s.timers)
	slices.SortFunc(timers, compareTimers)
	for _, t := range timers {
		f.Ints(int64(t.at), int64(t.kind), int64(t.id))
	}
}

// compareTimers orders timers by time, kind and id. It treats the deadline of an attempt and the end of the
// attempt's deferral (its wait for a cancellation) as one kind: if both are due at the same time, their order
// in the heap has to be kept, because the first of the two determines the outcome of the attempt.
func compareTimers(a, b timer) int {
	kind := func(t timer) timerKind {
		if t.kind == deferralEnd {
			return attemptDeadline
		}
		return t.kind
	}
	return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(kind(a), kind(b)), cmp.Compare(a.id, b.id))
}
