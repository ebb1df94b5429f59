package modelcheck

import (
	"dahliaford/internal/fingerprint"
)

// appendState appends an encoding of a state to b. States that behave alike have equal encodings, and all
// other states have different ones.
func (w *World) appendState(b []byte) []byte {
	f := fingerprint.Buffer(b)
	f.Ints(int64(w.now), int64(w.timerAt), w.watch.revision, int64(w.totalFaultBudget), int64(w.lastCaller),
		int64(w.stoppingSince))
	f = append(f, w.faultBudget[:]...)
	f.Ints(int64(w.watch.lastContact), int64(w.watch.validUntil), int64(w.watch.reloadedAt))
	f.Bools(w.panicPending, w.watch.open, w.watch.pending, w.stopping, w.exited, w.cancellationsAbandoned)
	for i := range w.requests {
		w.requests[i].append(&f, w.now)
	}
	for i := range w.workers {
		w.workers[i].append(&f, w.cfg.Overrides.LimitStaleness)
	}
	f.Ints(int64(len(w.connections)), int64(len(w.jobs)), int64(len(w.callbacks)), int64(len(w.cancellations)),
		int64(len(w.unsentAttempts)))
	for i := range w.connections {
		w.connections[i].append(&f)
	}
	for i := range w.jobs {
		j := &w.jobs[i]
		f = append(f, j.id, j.worker)
		f.Bools(j.running)
		f.Ints(int64(j.attempt), int64(j.sentAt))
	}
	for _, c := range w.callbacks {
		f = append(f, c.id, c.worker, byte(c.kind))
	}
	for i := range w.cancellations {
		c := &w.cancellations[i]
		f = append(f, c.id, c.worker)
		f.Bools(c.answered)
		f.Ints(int64(c.attempt), int64(c.deadline))
	}
	for _, attempt := range w.unsentAttempts {
		f.Ints(int64(attempt))
	}
	return w.sched.AppendState(f)
}

func (q *request) append(f *fingerprint.Buffer, now Micros) {
	*f = append(*f, byte(q.class), q.id, byte(q.state), byte(q.verdict), q.attempts, q.runCount,
		byte(q.mayHaveRun), byte(q.resultsBy), q.lastWorker, byte(q.stage))
	f.Ints(int64(q.caller), int64(q.deadline), int64(q.acceptedAt), int64(q.firstRunSentAt),
		int64(q.lastAttempt), int64(q.generation), int64(q.attemptDeadline))
	f.Bools(q.rejected)
	if q.state == disconnected { // all times past disconnectGrace after the disconnect are equivalent
		f.Ints(int64(min(now-q.disconnectedAt, disconnectGrace+1)))
	}
}

func (r *worker) append(f *fingerprint.Buffer, limitStaleness bool) {
	f.Bools(r.processDown, r.unreachable)
	f.Ints(int64(r.status), int64(r.startedAt), int64(r.knownStartedAt), int64(r.leavingNotifiedAt),
		int64(len(r.slowStartSends)))
	if limitStaleness {
		f.Ints(int64(r.leavingChangedAt))
	}
	for _, at := range r.slowStartSends {
		f.Ints(int64(at))
	}
}

func (c *connection) append(f *fingerprint.Buffer) {
	*f = append(*f, c.id, c.worker, byte(c.phase))
	f.Bools(c.slowStart, c.writtenEventPending, c.conn.Busy, c.conn.Written, c.conn.ReadClosed, c.conn.Released)
	f.Ints(int64(c.attempt), int64(c.status), int64(c.writeDeadline), int64(c.sentAt))
}
