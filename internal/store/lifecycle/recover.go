package lifecycle

// Clock holds the current time and the facts about time on which recovery bases its decisions on an item.
type Clock struct {
	At Micros // current time; never earlier than the store's latest commit
	// WentBack is true if the wall clock shows an earlier time than the store's latest commit. The duration of
	// the downtime is unknown then, so recovery cannot rely on any deduplication window.
	WentBack bool
	// CallbackWaitOver is true once the time has passed for which recovery waits for callbacks of the workers.
	// From then on, recovery records an attempt without a callback as one that may have run.
	CallbackWaitOver bool
}

// ClockAfterRestart returns the Clock at a start of the process, given the wall clock and the time of the
// store's latest commit. The later of the two is the current time, so that time never runs backwards for an
// item: a wall clock that was set back by an hour must not extend deadlines by an hour.
func ClockAfterRestart(clock, latestCommit Micros) Clock {
	if clock < latestCommit {
		return Clock{At: latestCommit, WentBack: true}
	}
	return Clock{At: clock}
}

// RecoveryStep is the next step of recovery for an item.
type RecoveryStep uint8

// The steps of recovery: what the caller of Recover does next with an item.
const (
	AwaitCallback RecoveryStep = iota // wait for a worker's callback until Clock.CallbackWaitOver is set
	Resume                            // send another attempt to a rack that CheckRoute allows
	Apply                             // write and apply the event that Recover returns
	Delete                            // delete the item: its answer's retention time has passed
	KeepAnswer                        // keep the item: clients may still read its answer
)

// Recover returns the next step for an item that the store contains at a start of the process, and the event
// to apply if the step is Apply. If the event is a final answer, the answer is kept for the retention time
// from now on. The event must be on disk before the caller acts on it: after any number of crashes during
// recovery, the item then still reaches the same final state.
func Recover(it *Item, now Clock, retention Micros) (RecoveryStep, Event) {
	if it.Verdict != None {
		if now.At >= it.KeepUntil {
			return Delete, Event{}
		}
		return KeepAnswer, Event{}
	}
	answer := func(v Verdict) (RecoveryStep, Event) {
		return Apply, Event{Kind: Answered, At: now.At, Verdict: v, KeepUntil: now.At + retention}
	}
	if n := len(it.Attempts); n > 0 && it.Attempts[n-1].Outcome == Done {
		return answer(Served) // the crash came after the result was written, but before the answer was written
	}
	if it.Outstanding() {
		if !now.CallbackWaitOver {
			return AwaitCallback, Event{} // the worker may still report the result, even after the item's deadline
		}
		return Apply, Event{Kind: AttemptEnded, At: now.At, Outcome: MayHaveRun}
	}
	first, ran := it.firstMayHaveRun()
	switch {
	case !ran && now.At >= it.Deadline:
		return answer(Expired)
	case !ran && len(it.Attempts) < MaxAttempts:
		return Resume, Event{}
	case !ran:
		return answer(Failed)
	case now.WentBack && it.Effect != Safe:
		return answer(Failed)
	case it.CheckRoute(now.At, first.Rack) != nil:
		return answer(Failed)
	}
	return Resume, Event{}
}
