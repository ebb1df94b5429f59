package lifecycle

import (
	"errors"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

const second Micros = 1_000_000

func newItem(e Effect) Item {
	return Item{ID: "a", Class: "c", Effect: e, Window: 10 * second, Accepted: 0, Deadline: 100 * second}
}

func routedEvent(at Micros, rack string) Event {
	return Event{Kind: Routed, At: at, Worker: "s-" + rack, Rack: rack}
}

func attemptEndedEvent(outcome Outcome) Event {
	return Event{Kind: AttemptEnded, At: 2 * second, Outcome: outcome}
}

// TestCheckRoute checks that CheckRoute allows or rejects another attempt depending on four conditions: the
// effect of the job's class, which says whether and where a job that may have run may be repeated; the
// outcome of the previous attempt; whether the next attempt goes to the same rack as the previous attempt;
// and the time, compared with the deduplication window and the deadline.
func TestCheckRoute(t *testing.T) {
	for _, c := range []struct {
		name    string
		outcome Outcome
		at      Micros
		rack    string
		want    [4]error // expected errors, indexed by the effect of the class: Once, Rack, Anywhere, Safe
	}{
		{"attempt never ran", NeverRan, 5 * second, "b", [4]error{}},
		{"attempt may have run, same rack", MayHaveRun, 5 * second, "a", [4]error{ErrMayHaveRun, nil, nil, nil}},
		{"attempt may have run, another rack", MayHaveRun, 5 * second, "b", [4]error{ErrMayHaveRun, ErrMayHaveRun}},
		{"past the window", MayHaveRun, 11 * second, "a",
			[4]error{ErrMayHaveRun, ErrMayHaveRun, ErrMayHaveRun, nil}},
		{"past the deadline", NeverRan, 100 * second, "a",
			[4]error{ErrDeadlinePassed, ErrDeadlinePassed, ErrDeadlinePassed, ErrDeadlinePassed}},
		{"outstanding", Unfinished, 5 * second, "a", [4]error{ErrOutstanding, ErrOutstanding, ErrOutstanding,
			ErrOutstanding}},
	} {
		for effect, want := range c.want {
			it := newItem(Effect(effect))
			if err := it.Apply(routedEvent(second, "a")); err != nil {
				t.Fatal(err)
			}
			if c.outcome != Unfinished {
				if err := it.Apply(attemptEndedEvent(c.outcome)); err != nil {
					t.Fatal(err)
				}
			}
			if got := it.CheckRoute(c.at, c.rack); !errors.Is(got, want) {
				t.Errorf("%s, item of a class with effect %d: CheckRoute got error %v, want %v",
					c.name, effect, got, want)
			}
		}
	}
}

// TestRecover checks the step and the event that Recover returns for each state of an item on disk and each
// state of the clock.
func TestRecover(t *testing.T) {
	outstanding := []Event{routedEvent(second, "a")}
	ran := append(slices.Clone(outstanding), attemptEndedEvent(MayHaveRun))
	done := append(slices.Clone(outstanding), Event{Kind: AttemptEnded, At: 2 * second, Outcome: Done,
		Result: []byte("r")})
	answered := append(slices.Clone(done), Event{Kind: Answered, At: 2 * second, Verdict: Served,
		KeepUntil: 20 * second})
	for _, c := range []struct {
		name   string
		effect Effect
		events []Event
		now    Clock
		step   RecoveryStep
		event  Event
	}{
		{"never sent", Once, nil, Clock{At: 5 * second}, Resume, Event{}},
		{"never sent, too late", Once, nil, Clock{At: 100 * second}, Apply,
			Event{Kind: Answered, At: 100 * second, Verdict: Expired, KeepUntil: 107 * second}},
		{"in flight, workers may call back", Once, outstanding, Clock{At: 5 * second}, AwaitCallback, Event{}},
		{"in flight, too late, workers may call back", Once, outstanding, Clock{At: 200 * second},
			AwaitCallback, Event{}},
		{"in flight, no worker called back", Once, outstanding, Clock{At: 5 * second, CallbackWaitOver: true},
			Apply, Event{Kind: AttemptEnded, At: 5 * second, Outcome: MayHaveRun}},
		{"may have run, once", Once, ran, Clock{At: 5 * second, CallbackWaitOver: true}, Apply,
			Event{Kind: Answered, At: 5 * second, Verdict: Failed, KeepUntil: 12 * second}},
		{"may have run, rack", Rack, ran, Clock{At: 5 * second}, Resume, Event{}},
		{"may have run, rack, past the window", Rack, ran, Clock{At: 15 * second}, Apply,
			Event{Kind: Answered, At: 15 * second, Verdict: Failed, KeepUntil: 22 * second}},
		{"may have run, the clock went back", Anywhere, ran, Clock{At: 5 * second, WentBack: true}, Apply,
			Event{Kind: Answered, At: 5 * second, Verdict: Failed, KeepUntil: 12 * second}},
		{"may have run, safe, the clock went back", Safe, ran, Clock{At: 5 * second, WentBack: true}, Resume,
			Event{}},
		{"done, not answered", Once, done, Clock{At: 200 * second}, Apply,
			Event{Kind: Answered, At: 200 * second, Verdict: Served, KeepUntil: 207 * second}},
		{"answered", Once, answered, Clock{At: 5 * second}, KeepAnswer, Event{}},
		{"answered long ago", Once, answered, Clock{At: 20 * second}, Delete, Event{}},
	} {
		it := newItem(c.effect)
		for _, e := range c.events {
			if err := it.Apply(e); err != nil {
				t.Fatalf("%s: the item rejects an event before recovery with error %v, want no error", c.name, err)
			}
		}
		step, event := Recover(&it, c.now, 7*second)
		if step != c.step || cmp.Diff(c.event, event) != "" {
			t.Errorf("%s: Recover returns step %v and event %+v, want the step and the event of the test case",
				c.name, step, event)
		}
		if step == Apply {
			if err := it.Apply(event); err != nil {
				t.Errorf("%s: the item rejects the event that Recover returns with error %v, want no error", c.name, err)
			}
		}
	}
}

// TestClockJumps lets the wall clock jump forwards or backwards by an hour while the store is closed. After a
// jump backwards, the Clock for recovery must have the time of the latest commit and WentBack set.
func TestClockJumps(t *testing.T) {
	const hour = 3600 * second
	for _, c := range []struct {
		clock Micros
		want  Clock
	}{{10 * second, Clock{At: 10 * second}}, {hour, Clock{At: hour}},
		{9*second - hour, Clock{At: 9 * second, WentBack: true}}} {
		if diff := cmp.Diff(c.want, ClockAfterRestart(c.clock, 9*second)); diff != "" {
			t.Error(diff)
		}
	}
}

// TestProperties applies random sequences of events to an item. A rejected event must leave the item
// unchanged, an item of a class with effect Once must have at most one attempt that may have run, and Check
// must accept the record. Recovery must reach a final answer in at most four steps. Check must reject a
// record to which a forbidden attempt was added without Apply.
func TestProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		it := newItem(Effect(rapid.IntRange(0, 3).Draw(t, "effect")))
		now := Micros(0)
		for range rapid.IntRange(0, 14).Draw(t, "events") {
			now += Micros(rapid.IntRange(0, 5_000_000).Draw(t, "time"))
			e := Event{Kind: Kind(rapid.IntRange(0, 2).Draw(t, "kind")), At: now,
				Rack:    rapid.SampledFrom([]string{"a", "b"}).Draw(t, "rack"),
				Outcome: Outcome(rapid.IntRange(0, 3).Draw(t, "what")), Verdict: Verdict(rapid.IntRange(0, 3).Draw(t,
					"v"))}
			before := it
			before.Attempts = append([]Attempt(nil), it.Attempts...)
			if err := it.Apply(e); err != nil {
				if diff := cmp.Diff(before, it); diff != "" {
					t.Fatalf("Apply rejected the event with error %v: want item unchanged, got (-before +after): %s",
						err, diff)
				}
			}
			if err := it.Check(); err != nil {
				t.Fatalf("Check rejects the item %+v, which Apply produced: got error %v, want none", it, err)
			}
		}
		ran := 0
		for _, a := range it.Attempts {
			if a.Outcome != NeverRan {
				ran++
			}
		}
		if it.Effect == Once && ran > 1 || len(it.Attempts) > MaxAttempts {
			t.Fatalf("%+v", it)
		}
		for n := 0; it.Verdict == None; n++ {
			step, e := Recover(&it, Clock{At: now + 1000*second, CallbackWaitOver: true}, second)
			if n > 3 || step != Apply || it.Apply(e) != nil {
				t.Fatalf("recovery must reach a final answer in 4 steps Apply: got last step %d, item %+v", step, it)
			}
		}
		if len(it.Attempts) > 0 && it.Effect == Once && it.Attempts[0].Outcome != NeverRan {
			it.Attempts = append(it.Attempts, Attempt{Worker: "x", At: now})
			if it.Check() == nil {
				t.Fatal("class with effect Once: Check accepts an attempt after one that may have run, want an error")
			}
		}
	})
}
