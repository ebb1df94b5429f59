// Package lifecycle says what may become of a stored item, and what recovery concludes from its
// record. It has no I/O and no clock: events go in with their times, a changed item or a
// conclusion comes out. Package store keeps the items on disk.
//
// Three things must be on disk before they are said or done, or a crash in between breaks a
// promise: that an item was accepted, before its client hears so; that an attempt is routed,
// before its first byte goes out; that a region called back with an end, before the region's
// 204. And an answer, before anybody hears it.
package lifecycle

import (
	"errors"
	"fmt"
)

// Micros is a time: microseconds since 1970, as the wall clock said.
type Micros int64

// Effect says what a class allows once an attempt may have run.
type Effect uint8

// The effects.
const (
	Once     Effect = iota // must never run twice
	Rack                   // repeats are dropped within a rack, for the window
	Anywhere               // repeats are dropped everywhere, for the window
	Safe                   // may be repeated at will
)

// Outcome is how an attempt ended.
type Outcome uint8

// The outcomes.
const (
	Unfinished Outcome = iota // it has not ended, as far as the record knows
	NeverRan                  // it did not run, and never will
	MayHaveRun                // it may have run, or may yet
	Done                      // it ran, and its result is known
)

func (o Outcome) String() string {
	return nameOf(int(o), "not ended", "it never ran", "it may have run", "done")
}

// nameOf is a word for a number, which a broken record may have as it likes.
func nameOf(n int, names ...string) string {
	if n >= len(names) {
		return fmt.Sprint("unknown: ", n)
	}
	return names[n]
}

// Verdict is an item's final answer.
type Verdict uint8

// The verdicts.
const (
	None    Verdict = iota
	Served          // with a result
	Failed          // it may have run; nobody can say more
	Expired         // its deadline passed, and it never ran
)

func (v Verdict) String() string { return nameOf(int(v), "none", "served", "failed", "expired") }

// MaxAttempts is how often an item may be routed in all.
const MaxAttempts = 4

// Attempt is one routing of an item.
type Attempt struct {
	Worker  string  `json:"region"`
	Rack    string  `json:"rack"`
	At      Micros  `json:"at"`
	Ended   Micros  `json:"ended,omitempty"`
	Outcome Outcome `json:"outcome"`
}

// Item is a job from its acceptance until it is forgotten.
type Item struct {
	ID        string    `json:"id"`
	Class     string    `json:"class"`
	Tenant    string    `json:"tenant,omitempty"`
	Object    string    `json:"object,omitempty"`
	Key       string    `json:"key,omitempty"`
	Body      []byte    `json:"body,omitempty"`
	Effect    Effect    `json:"effect"`
	Window    Micros    `json:"window,omitempty"` // for Rack and Anywhere: since an attempt first may have run
	Accepted  Micros    `json:"accepted"`
	Deadline  Micros    `json:"deadline"`
	Attempts  []Attempt `json:"attempts,omitempty"`
	Verdict   Verdict   `json:"verdict,omitempty"`
	Result    []byte    `json:"result,omitempty"`
	Answered  Micros    `json:"answered,omitempty"`
	KeepUntil Micros    `json:"keep,omitempty"` // the answer may be read until then
}

// Kind is what happens to an item.
type Kind uint8

// The kinds of events. An item begins with its acceptance, which is no event.
const (
	Routed       Kind = iota // an attempt is about to go out: Region, Rack
	AttemptEnded             // the last attempt ended: What, and Result with Done
	Answered                 // the final answer: Verdict, and Keep
)

// Event is something that happens to an item.
type Event struct {
	Kind      Kind
	At        Micros
	Worker    string
	Rack      string
	Outcome   Outcome
	Result    []byte
	Verdict   Verdict
	KeepUntil Micros
}

// The errors of events that cannot be.
var (
	ErrAnswered        = errors.New("the item has its answer")
	ErrOutstanding     = errors.New("an attempt is outstanding")
	ErrNoAttempt       = errors.New("no attempt is outstanding")
	ErrNoAttemptsLeft  = errors.New("no attempt is left")
	ErrMayHaveRun      = errors.New("an attempt may have run, and the class allows no repeat there")
	ErrDeadlinePassed  = errors.New("the deadline has passed")
	ErrUnprovenVerdict = errors.New("the answer is not what the attempts prove")
)

// Apply takes an event. An item that it does not fit stays as it was.
func (it *Item) Apply(e Event) error {
	if it.Verdict != None {
		return ErrAnswered
	}
	switch e.Kind {
	case Routed:
		if err := it.MayRoute(e.At, e.Rack); err != nil {
			return err
		}
		it.Attempts = append(it.Attempts[:len(it.Attempts):len(it.Attempts)],
			Attempt{Worker: e.Worker, Rack: e.Rack, At: e.At})
	case AttemptEnded:
		if !it.Outstanding() || e.Outcome == Unfinished {
			return ErrNoAttempt
		}
		it.Attempts = append([]Attempt(nil), it.Attempts...)
		last := &it.Attempts[len(it.Attempts)-1]
		last.Ended, last.Outcome = e.At, e.Outcome
		if e.Outcome == Done {
			it.Result = e.Result
		}
	case Answered:
		if !it.proves(e.Verdict) {
			return ErrUnprovenVerdict
		}
		it.Verdict, it.Answered, it.KeepUntil = e.Verdict, e.At, e.KeepUntil
	default:
		return fmt.Errorf("unknown event %d", e.Kind)
	}
	return nil
}

// proves tells whether the attempts bear a verdict out.
func (it *Item) proves(v Verdict) bool {
	switch v {
	case Served:
		return len(it.Attempts) > 0 && it.Attempts[len(it.Attempts)-1].Outcome == Done
	case Expired:
		_, ran := it.firstMayHaveRun()
		return !ran
	case Failed:
		return true
	}
	return false
}

// Outstanding tells whether an attempt is under way, as far as the record knows.
func (it *Item) Outstanding() bool {
	return len(it.Attempts) > 0 && it.Attempts[len(it.Attempts)-1].Outcome == Unfinished
}

// firstMayHaveRun is the first attempt that may have run.
func (it *Item) firstMayHaveRun() (Attempt, bool) {
	for _, a := range it.Attempts {
		if a.Outcome != NeverRan {
			return a, true
		}
	}
	return Attempt{}, false
}

// MayRoute tells whether another attempt may go out at a time to a rack.
func (it *Item) MayRoute(at Micros, rack string) error {
	switch {
	case it.Verdict != None:
		return ErrAnswered
	case it.Outstanding():
		return ErrOutstanding
	case len(it.Attempts) >= MaxAttempts:
		return ErrNoAttemptsLeft
	case at >= it.Deadline:
		return ErrDeadlinePassed
	}
	first, ran := it.firstMayHaveRun()
	if !ran {
		return nil
	}
	within := at >= first.At && at < first.At+it.Window
	switch {
	case it.Effect == Safe, it.Effect == Anywhere && within, it.Effect == Rack && within && rack == first.Rack:
		return nil
	}
	return ErrMayHaveRun
}

// Check tells what is wrong with a record that no run of this package can have made.
func (it *Item) Check() error {
	replay := Item{ID: it.ID, Effect: it.Effect, Window: it.Window, Accepted: it.Accepted, Deadline: it.Deadline}
	if it.ID == "" || it.Effect > Safe {
		return errors.New("no id, or an unknown effect")
	}
	for i, a := range it.Attempts {
		if err := replay.Apply(Event{Kind: Routed, At: a.At, Worker: a.Worker, Rack: a.Rack}); err != nil {
			return fmt.Errorf("attempt %d: %w", i+1, err)
		}
		if a.Outcome == Unfinished {
			continue
		}
		if err := replay.Apply(Event{Kind: AttemptEnded, At: a.Ended, Outcome: a.Outcome}); err != nil || a.Outcome > Done {
			return fmt.Errorf("attempt %d: its end does not fit", i+1)
		}
	}
	if it.Verdict == None {
		return nil
	}
	if err := replay.Apply(Event{Kind: Answered, Verdict: it.Verdict}); err != nil {
		return fmt.Errorf("answer %d: %w", it.Verdict, err)
	}
	return nil
}
