// Package lifecycle is the state machine of a stored item: what may happen to it, and what recovery
// concludes from its record. It has no I/O and no clock: events go in with their times, a changed item or a
// conclusion comes out. Package store keeps the items on disk.
//
// Four things must be on disk before they are acknowledged or acted on, or a crash in between breaks a
// promise: that an item was accepted, before its client gets the confirmation; that an attempt is routed,
// before its first byte is sent; that a worker called back with an end, before the worker gets its 204; and
// an answer, before anybody gets it.
package lifecycle

import (
	"errors"
	"fmt"
)

// Micros is a time of the wall clock: microseconds since 1970.
type Micros int64

// Effect says what a class allows once an attempt may have run.
type Effect uint8

// The effects of a class.
const (
	Once     Effect = iota // must never run twice
	Rack                   // duplicates are dropped within a rack, for the window
	Anywhere               // duplicates are dropped everywhere, for the window
	Safe                   // may be repeated at will
)

// Outcome is how an attempt ended.
type Outcome uint8

// The outcomes of an attempt.
const (
	Unfinished Outcome = iota // it has not ended, as far as the record shows
	NeverRan                  // it did not run, and never will
	MayHaveRun                // it may have run, or may yet
	Done                      // it ran, and its result is known
)

// String describes the outcome.
func (o Outcome) String() string {
	return nameOf(int(o), "not ended", "it never ran", "it may have run", "done")
}

// nameOf returns the name of a value. A corrupt record may have any.
func nameOf(value int, names ...string) string {
	if value >= len(names) {
		return fmt.Sprint("unknown: ", value)
	}
	return names[value]
}

// Verdict is an item's final answer.
type Verdict uint8

// The verdicts.
const (
	None    Verdict = iota
	Served          // with a result
	Failed          // it may have run; more cannot be said
	Expired         // its deadline passed, and it never ran
)

// String names the verdict.
func (v Verdict) String() string { return nameOf(int(v), "none", "served", "failed", "expired") }

// MaxAttempts is how often an item may be routed in all.
const MaxAttempts = 4

// Attempt is one routing of an item. Keys of its JSON are the store's format: region is its former word for
// a worker.
type Attempt struct {
	Worker  string  `json:"region"`
	Rack    string  `json:"rack"` // of the worker
	At      Micros  `json:"at"`
	Ended   Micros  `json:"ended,omitempty"` // 0: it has not
	Outcome Outcome `json:"outcome"`
}

// Item is a job from its acceptance until it is deleted. Keys of its JSON are the store's format.
type Item struct {
	ID        string    `json:"id"`
	Class     string    `json:"class"`
	Tenant    string    `json:"tenant,omitempty"`
	Object    string    `json:"object,omitempty"`
	Key       string    `json:"key,omitempty"` // the idempotency key
	Body      []byte    `json:"body,omitempty"`
	Effect    Effect    `json:"effect"`
	Window    Micros    `json:"window,omitempty"` // for Rack and Anywhere: since an attempt first may have run
	Accepted  Micros    `json:"accepted"`
	Deadline  Micros    `json:"deadline"`
	Attempts  []Attempt `json:"attempts,omitempty"`
	Verdict   Verdict   `json:"verdict,omitempty"`
	Result    []byte    `json:"result,omitempty"`
	Answered  Micros    `json:"answered,omitempty"`
	KeepUntil Micros    `json:"keep,omitempty"` // the answer can be read until then
}

// Kind is what happens to an item.
type Kind uint8

// The kinds of events. An item begins with its acceptance, which is no event.
const (
	Routed       Kind = iota // an attempt is about to be sent: Worker, Rack
	AttemptEnded             // the last attempt ended: Outcome, and Result with Done
	Answered                 // the final answer: Verdict, and KeepUntil
)

// Event is something that happens to an item. Which fields it has depends on its kind.
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

// The errors of events that an item does not allow.
var (
	ErrAnswered           = errors.New("the item has its answer")
	ErrOutstanding        = errors.New("an attempt is outstanding")
	ErrNoAttempt          = errors.New("no attempt is outstanding")
	ErrTooManyAttempts    = errors.New("no attempt is left")
	ErrMayHaveRun         = errors.New("an attempt may have run, and the class allows no repeat there")
	ErrDeadlinePassed     = errors.New("the deadline has passed")
	ErrUnjustifiedVerdict = errors.New("the answer is not what the attempts prove")
)

// Apply applies an event. An item that does not allow it is not changed, and the error is one of those above.
func (it *Item) Apply(e Event) error {
	if it.Verdict != None {
		return ErrAnswered
	}
	switch e.Kind {
	case Routed:
		return it.route(e)
	case AttemptEnded:
		return it.endAttempt(e)
	case Answered:
		return it.answer(e)
	}
	return fmt.Errorf("unknown event %d", e.Kind)
}

func (it *Item) route(e Event) error {
	if err := it.CheckRoute(e.At, e.Rack); err != nil {
		return err
	}
	// A copy of the slice: copies of the item may share these attempts.
	it.Attempts = append(it.Attempts[:len(it.Attempts):len(it.Attempts)],
		Attempt{Worker: e.Worker, Rack: e.Rack, At: e.At})
	return nil
}

func (it *Item) endAttempt(e Event) error {
	if !it.Outstanding() || e.Outcome == Unfinished {
		return ErrNoAttempt
	}
	it.Attempts = append([]Attempt(nil), it.Attempts...) // copied, as in route
	last := &it.Attempts[len(it.Attempts)-1]
	last.Ended, last.Outcome = e.At, e.Outcome
	if e.Outcome == Done {
		it.Result = e.Result
	}
	return nil
}

func (it *Item) answer(e Event) error {
	if !it.justifies(e.Verdict) {
		return ErrUnjustifiedVerdict
	}
	it.Verdict, it.Answered, it.KeepUntil = e.Verdict, e.At, e.KeepUntil
	return nil
}

// justifies reports whether the attempts justify a verdict.
func (it *Item) justifies(v Verdict) bool {
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

// Outstanding reports whether an attempt is in flight, as far as the record shows.
func (it *Item) Outstanding() bool {
	return len(it.Attempts) > 0 && it.Attempts[len(it.Attempts)-1].Outcome == Unfinished
}

// firstMayHaveRun is the first attempt that may have run.
func (it *Item) firstMayHaveRun() (Attempt, bool) {
	for _, attempt := range it.Attempts {
		if attempt.Outcome != NeverRan {
			return attempt, true
		}
	}
	return Attempt{}, false
}

// CheckRoute reports why no further attempt may be sent to a rack at a time; nil: it may.
func (it *Item) CheckRoute(at Micros, rack string) error {
	switch {
	case it.Verdict != None:
		return ErrAnswered
	case it.Outstanding():
		return ErrOutstanding
	case len(it.Attempts) >= MaxAttempts:
		return ErrTooManyAttempts
	case at >= it.Deadline:
		return ErrDeadlinePassed
	}
	first, ran := it.firstMayHaveRun()
	if !ran {
		return nil
	}
	inWindow := at >= first.At && at < first.At+it.Window
	switch {
	case it.Effect == Safe, it.Effect == Anywhere && inWindow,
		it.Effect == Rack && inWindow && rack == first.Rack:
		return nil
	}
	return ErrMayHaveRun
}

// Check reports what is invalid about a record, which then no run of this package can have made. It replays
// the record's events.
func (it *Item) Check() error {
	if it.ID == "" || it.Effect > Safe {
		return errors.New("no id, or an unknown effect")
	}
	replay := Item{ID: it.ID, Effect: it.Effect, Window: it.Window, Accepted: it.Accepted, Deadline: it.Deadline}
	for i, attempt := range it.Attempts {
		routed := Event{Kind: Routed, At: attempt.At, Worker: attempt.Worker, Rack: attempt.Rack}
		if err := replay.Apply(routed); err != nil {
			return fmt.Errorf("attempt %d: %w", i+1, err)
		}
		if attempt.Outcome == Unfinished {
			continue
		}
		ended := Event{Kind: AttemptEnded, At: attempt.Ended, Outcome: attempt.Outcome}
		if err := replay.Apply(ended); err != nil || attempt.Outcome > Done {
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
