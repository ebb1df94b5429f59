package lifecycle

// Clock is what recovery knows of the time.
type Clock struct {
	At Micros
	// WentBack says that the clock shows less than before the stop. How long the stop was is then unknown: no
	// window can be trusted.
	WentBack bool
	// CallbackWaitOver says that workers have had their time to call back: an attempt without a callback may
	// have run, and that can be concluded now.
	CallbackWaitOver bool
}

// ClockAfterRestart returns the Clock of a start, by what the clock shows and by the latest time that the store
// has seen. Time never runs backwards for an item: a clock that was put back an hour must not make
// deadlines an hour longer.
func ClockAfterRestart(clock, latestCommit Micros) Clock {
	if clock < latestCommit {
		return Clock{At: latestCommit, WentBack: true}
	}
	return Clock{At: clock}
}

// RecoveryStep is what recovery does with an item.
type RecoveryStep uint8

// The steps of recovery.
const (
	AwaitCallback RecoveryStep = iota // for callbacks, until CallbackWaitOver
	Resume                            // route the item, where CheckRoute allows
	Apply                             // apply the event that Recover returns
	Delete                            // its answer has been kept long enough
	KeepAnswer                        // it has its answer, which can still be read
)

// Recover says what to do with an item that the store has at a start, and how long its answer is kept if it
// gets one now. Each conclusion is an event, which must be on disk before anything follows from it: then
// after a crash during recovery, and one during that, the same record leads to the same end.
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
		return answer(Served) // the end of the attempt was on disk, the answer was not
	}
	if it.Outstanding() {
		if !now.CallbackWaitOver {
			return AwaitCallback, Event{} // its worker may still call back, whatever the deadline says
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
