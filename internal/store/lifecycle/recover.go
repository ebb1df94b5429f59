package lifecycle

// Clock is what recovery knows of the time.
type Clock struct {
	At Micros
	// WentBack says that the clock is behind what it showed before the stop. Nobody knows then
	// how long the stop was: no window can be trusted.
	WentBack bool
	// CallbackWaitOver says that regions have had their while to call back: what may have run and was
	// not heard of can be concluded now.
	CallbackWaitOver bool
}

// ClockSince makes Now from the clock at a start, and the latest time that the store had seen
// before. Time never runs backwards for an item: a clock that was put back an hour must not
// make deadlines an hour longer.
func ClockSince(clock, seen Micros) Clock {
	if clock < seen {
		return Clock{At: seen, WentBack: true}
	}
	return Clock{At: clock}
}

// Step is what recovery does with an item.
type Step uint8

// The steps.
const (
	Wait       Step = iota // for callbacks, until Asked
	Resume                 // route it, where MayRoute allows
	Apply                  // the event that Recover gives
	Delete                 // its answer has been kept long enough
	KeepAnswer             // it has its answer, which is kept
)

// Recover says what to do with an item that the store holds at a start. Each conclusion is an
// event, to be on disk before anything follows from it: after a crash during recovery, and
// one during that, the same record leads to the same end.
func Recover(it *Item, now Clock, keep Micros) (Step, Event) {
	answer := func(v Verdict) (Step, Event) {
		return Apply, Event{Kind: Answered, At: now.At, Verdict: v, KeepUntil: now.At + keep}
	}
	if it.Verdict != None {
		if now.At >= it.KeepUntil {
			return Delete, Event{}
		}
		return KeepAnswer, Event{}
	}
	if n := len(it.Attempts); n > 0 && it.Attempts[n-1].Outcome == Done {
		return answer(Served) // its end was on disk, its answer was not
	}
	if it.Outstanding() {
		if !now.CallbackWaitOver {
			return Wait, Event{} // its region may still call back, whatever the deadline says
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
	case it.MayRoute(now.At, first.Rack) != nil:
		return answer(Failed)
	}
	return Resume, Event{}
}
