package scheduler

import "dahliaford/internal/dispatch"

// A shutdown, counted from its request:
//
//	acceptAfterShutdown                     new requests are refused, idle clients are closed
//	deadline + killGrace - answerMargin     who still waits gets an answer
//	lingerTimeout after that                connections are closed
//	deadline + killGrace                    the earliest kill
//
// The deadline is the longest of any class, maxShutdownDeadline at most.
const (
	// acceptAfterShutdown is how long a stopping scheduler takes new requests: the front goes on
	// dealing it connections for a part of that.
	acceptAfterShutdown Micros = 600 * millisecond
	// killGrace is the least time from the shutdown request to the kill, beyond the deadline.
	killGrace Micros = 700 * millisecond
	// maxShutdownDeadline is what counts of a longer deadline.
	maxShutdownDeadline Micros = 3 * second
	// answerMargin is how long before the kill those who still wait are answered: a kill would leave
	// them without an answer. What is left of it after lingerTimeout is for a program that gets no
	// processor time.
	answerMargin Micros = 300 * millisecond
	// lingerTimeout is how long connections may take to end after that.
	lingerTimeout Micros = 200 * millisecond
	// maxCancellationDrain is how long a stopping scheduler that owes no answer goes on for its open
	// cancellations, if it may. Its clients send on as long as it is there, so never until the kill.
	maxCancellationDrain Micros = 2 * second
)

// beginShutdown sets the stages of the shutdown. A repeated request has no effect.
func (s *Scheduler) beginShutdown() {
	if s.refuseFrom != 0 {
		return
	}
	s.refuseFrom = s.now + acceptAfterShutdown
	s.answerBy = s.now + min(s.maxDeadline, maxShutdownDeadline) + killGrace - answerMargin
	for _, at := range []Micros{s.refuseFrom, s.answerBy, s.cancellationDrainEnd()} {
		s.addTimer(timer{at: at, kind: shutdownTimer})
	}
}

// stopping tells whether new requests are refused.
func (s *Scheduler) stopping() bool { return s.refuseFrom != 0 && s.now >= s.refuseFrom }

// advanceShutdown takes the steps of a shutdown whose time has come.
func (s *Scheduler) advanceShutdown() {
	if !s.stopping() {
		return
	}
	if !s.refusing {
		s.refusing = true
		s.emit(CloseIdleClients{})
		s.log("no new requests from now on", "open", len(s.byCaller))
	}
	if s.now >= s.answerBy {
		s.answerAllRequests()
	}
	if len(s.byCaller) == 0 && (len(s.cancellations) == 0 || s.now >= s.cancellationDrainEnd()) {
		s.emit(Shutdown{Deadline: s.answerBy + lingerTimeout})
	}
}

// answerAllRequests answers all who still wait.
func (s *Scheduler) answerAllRequests() {
	for _, r := range sortedValues(s.byCaller) {
		verdict := Failed
		if len(r.attempts) == 0 {
			verdict = Refused // nothing of it was ever sent
		}
		s.warn("the end comes before the deadline", "txn", r.id)
		s.answer(r, Answer{Verdict: verdict})
		s.stepDispatcher(dispatch.Event{Kind: dispatch.ClientDisconnected, Job: r.job})
	}
}

// cancellationDrainEnd is until when a stopping scheduler waits for its workers to acknowledge
// cancellations.
func (s *Scheduler) cancellationDrainEnd() Micros {
	return min(s.refuseFrom+maxCancellationDrain, s.answerBy)
}
