package scheduler

import "dahliaford/internal/dispatch"

// The stages of a shutdown, by the time that has passed since the shutdown was requested:
//
//	acceptAfterShutdown                     new requests are refused, idle client connections are closed
//	deadline + killGrace - answerMargin     requests that are still open are answered
//	lingerTimeout after those answers       all client connections are closed
//	deadline + killGrace                    the process may be killed from here on
//
// The deadline is the longest deadline of any class, limited to maxShutdownDeadline.
const (
	// acceptAfterShutdown is how long a stopping scheduler accepts new requests. The front end that distributes
	// client connections to schedulers keeps sending new connections to a stopping scheduler for part of that
	// time.
	acceptAfterShutdown Micros = 600 * millisecond
	// killGrace is the time between the longest deadline of any class, counted from the shutdown request and
	// limited to maxShutdownDeadline, and the earliest time at which the process is killed.
	killGrace Micros = 700 * millisecond
	// maxShutdownDeadline limits the class deadline by which the kill after a shutdown request is delayed: a
	// longer deadline delays the kill by maxShutdownDeadline only.
	maxShutdownDeadline Micros = 3 * second
	// answerMargin is the time before the kill at which the requests that are still open are answered, as the
	// kill would leave them without an answer. The part of answerMargin beyond lingerTimeout allows for delays
	// when the program gets no processor time.
	answerMargin Micros = 300 * millisecond
	// lingerTimeout is how long client connections may stay open after the open requests were answered.
	lingerTimeout Micros = 200 * millisecond
	// maxCancellationDrain is how long, after new requests begin to be refused, a stopping scheduler without
	// open requests waits for its open cancellations. The wait has to end well before the kill, because
	// clients send requests to the scheduler as long as it runs.
	maxCancellationDrain Micros = 2 * second
)

// beginShutdown schedules the stages of the shutdown. A repeated shutdown request is ignored.
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

// stopping reports whether new requests are refused because of a shutdown.
func (s *Scheduler) stopping() bool { return s.refuseFrom != 0 && s.now >= s.refuseFrom }

// advanceShutdown carries out the stages of the shutdown that are due.
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

// answerAllRequests answers all open requests before the scheduler exits.
func (s *Scheduler) answerAllRequests() {
	for _, r := range sortedValues(s.byCaller) {
		verdict := Failed
		if len(r.attempts) == 0 {
			verdict = Refused // The request has had no attempt, so the job has not run.
		}
		s.warn("answering a request before its deadline because of the shutdown", "txn", r.id)
		s.answer(r, Answer{Verdict: verdict})
		s.stepDispatcher(dispatch.Event{Kind: dispatch.ClientDisconnected, Job: r.job})
	}
}

// cancellationDrainEnd returns the time until which a stopping scheduler waits for workers to acknowledge
// its open cancellations.
func (s *Scheduler) cancellationDrainEnd() Micros {
	return min(s.refuseFrom+maxCancellationDrain, s.answerBy)
}
