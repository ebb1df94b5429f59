package lifecycle

// Now is what recovery knows of the time.
type Now struct {
	At Micros
	// Back says that the clock is behind what it showed before the stop. Nobody knows then
	// how long the stop was: no window can be trusted.
	Back bool
	// Asked says that regions have had their while to call back: what may have run and was
	// not heard of can be concluded now.
	Asked bool
}

// Since makes Now from the clock at a start, and the latest time that the store had seen
// before. Time never runs backwards for an item: a clock that was put back an hour must not
// make deadlines an hour longer.
func Since(clock, seen Micros) Now {
	if clock < seen {
		return Now{At: seen, Back: true}
	}
	return Now{At: clock}
}

// Step is what recovery does with an item.
type Step uint8

// The steps.
const (
	Wait   Step = iota // for callbacks, until Asked
	GoOn               // route it, where MayRoute allows
	Apply              // the event that Recover gives
	Forget             // its answer has been kept long enough
	Held               // it has its answer, which is kept
)

// Recover says what to do with an item that the store holds at a start. Each conclusion is an
// event, to be on disk before anything follows from it: after a crash during recovery, and
// one during that, the same record leads to the same end.
func Recover(it *Item, now Now, keep Micros) (Step, Event) {
	answer := func(v Verdict) (Step, Event) {
		return Apply, Event{Kind: Answered, At: now.At, Verdict: v, Keep: now.At + keep}
	}
	if it.Verdict != None {
		if now.At >= it.Keep {
			return Forget, Event{}
		}
		return Held, Event{}
	}
	if n := len(it.Attempts); n > 0 && it.Attempts[n-1].What == Done {
		return answer(Served) // its end was on disk, its answer was not
	}
	if it.Outstanding() {
		if !now.Asked {
			return Wait, Event{} // its region may still call back, whatever the deadline says
		}
		return Apply, Event{Kind: Ended, At: now.At, What: MayHave}
	}
	first, ran := it.firstRan()
	switch {
	case !ran && now.At >= it.Deadline:
		return answer(Expired)
	case !ran && len(it.Attempts) < MostAttempts:
		return GoOn, Event{}
	case !ran:
		return answer(Failed)
	case now.Back && it.Effect != Safe:
		return answer(Failed)
	case it.MayRoute(now.At, first.Rack) != nil:
		return answer(Failed)
	}
	return GoOn, Event{}
}
