// Package lifecycle is the state machine of a stored item. An item is a job with its attempts and its answer.
// The package defines which events an item allows, and what recovery decides from an item's record after a
// restart. The package has no I/O and no clock: the caller passes events with their times, and gets a changed
// item or a decision. Package store keeps the items on disk.
//
// The caller must write four facts to disk before acting on them, or a crash in between breaks a promise:
//   - the acceptance of an item, before the client gets the confirmation;
//   - the routing of an attempt, before the first byte of the attempt is sent;
//   - the end of an attempt that a worker reports by callback, before the worker gets the response 204;
//   - the final answer, before any client gets the answer.
package lifecycle

import (
	"errors"
	"fmt"
)

// Micros is a wall-clock time in microseconds since 1970, or a duration in microseconds.
type Micros int64

// Effect says whether a job's class allows another attempt after an earlier attempt may have run, and in
// which racks.
type Effect uint8

// The effects that a class may have, from the strictest to the least strict: Once allows no further attempt
// for a job that may have run, and Safe allows any further attempt.
const (
	Once     Effect = iota // the job must never run twice, so no repeat is allowed
	Rack                   // in the deduplication window, the job may be repeated in the rack of the first run
	Anywhere               // in the deduplication window, the job may be repeated in any rack
	Safe                   // the job may run any number of times
)

// Outcome says how an attempt ended.
type Outcome uint8

// The possible ends of an attempt; Unfinished means that the attempt has no recorded end.
const (
	Unfinished Outcome = iota // the item's record shows no end of the attempt
	NeverRan                  // the attempt did not run and will never run
	MayHaveRun                // the attempt may have run, or may still run
	Done                      // the attempt ran, and its result is known
)

// String returns a description of the outcome.
func (o Outcome) String() string {
	return nameOf(int(o), "not ended", "it never ran", "it may have run", "done")
}

// nameOf returns the name of an Outcome or a Verdict; names lists the names by value. A corrupt record may
// contain any value, so nameOf shows a value without a name as a number.
func nameOf(value int, names ...string) string {
	if value >= len(names) {
		return fmt.Sprint("unknown: ", value)
	}
	return names[value]
}

// Verdict is the kind of an item's final answer.
type Verdict uint8

// The kinds of final answer that a client can get for an item; None means that there is no answer yet.
const (
	None    Verdict = iota // the item has no final answer yet
	Served                 // the job ran, and its result is known
	Failed                 // the job has no known result; the job may or may not have run
	Expired                // the deadline passed, and no attempt ran
)

// String returns the name of the verdict.
func (v Verdict) String() string { return nameOf(int(v), "none", "served", "failed", "expired") }

// MaxAttempts is the maximum number of attempts of an item, the first attempt included.
const MaxAttempts = 4

// Attempt records that an item was routed to a worker, and how the attempt at the worker ended. The JSON keys
// are part of the store's format on disk, which calls a worker "region", an earlier name for workers.
type Attempt struct {
	Worker  string  `json:"region"`
	Rack    string  `json:"rack"`            // rack of the worker
	At      Micros  `json:"at"`              // time at which the attempt was routed
	Ended   Micros  `json:"ended,omitempty"` // time at which the attempt ended; 0 if the attempt has not ended
	Outcome Outcome `json:"outcome"`
}

// Item is the record of a job from the job's acceptance until the deletion of the record. The JSON keys are
// part of the store's format on disk.
type Item struct {
	ID     string `json:"id"`
	Class  string `json:"class"`
	Tenant string `json:"tenant,omitempty"`
	Object string `json:"object,omitempty"`
	Key    string `json:"key,omitempty"` // idempotency key
	Body   []byte `json:"body,omitempty"`
	Effect Effect `json:"effect"`
	// Window is the deduplication window of a class with the effect Rack or Anywhere. The window begins when the
	// first attempt that may have run is routed.
	Window    Micros    `json:"window,omitempty"`
	Accepted  Micros    `json:"accepted"`
	Deadline  Micros    `json:"deadline"`
	Attempts  []Attempt `json:"attempts,omitempty"`
	Verdict   Verdict   `json:"verdict,omitempty"`
	Result    []byte    `json:"result,omitempty"`
	Answered  Micros    `json:"answered,omitempty"`
	KeepUntil Micros    `json:"keep,omitempty"` // time until which clients can read the answer
}

// Kind says what an Event changes in an item.
type Kind uint8

// The kinds of events that change an item. The acceptance of a job creates the item and is not an event.
const (
	Routed       Kind = iota // an attempt is about to be sent; the event has Worker and Rack
	AttemptEnded             // the latest attempt ended; the event has Outcome, and Result if Outcome is Done
	Answered                 // the item gets its final answer; the event has Verdict and KeepUntil
)

// Event is a change of an item. The kind of the event determines which other fields are set.
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

// Reasons why Apply or CheckRoute rejects an event that an item does not allow.
var (
	ErrAnswered           = errors.New("item already has its final answer")
	ErrOutstanding        = errors.New("latest attempt of the item has not ended")
	ErrNoAttempt          = errors.New("item has no outstanding attempt that this event could end")
	ErrTooManyAttempts    = errors.New("item already has the maximum number of attempts")
	ErrMayHaveRun         = errors.New("an attempt may have run, and the class allows no repeat in this rack")
	ErrDeadlinePassed     = errors.New("deadline of the item has passed")
	ErrUnjustifiedVerdict = errors.New("recorded attempts do not justify the verdict")
)

// Apply changes the item by an event. If the item does not allow the event, Apply returns an error such as
// ErrAnswered and leaves the item unchanged.
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
	return fmt.Errorf("event of unknown kind %d", e.Kind)
}

func (it *Item) route(e Event) error {
	if err := it.CheckRoute(e.At, e.Rack); err != nil {
		return err
	}
	// The capacity is limited so that append copies the slice: copies of the item may share its array.
	it.Attempts = append(it.Attempts[:len(it.Attempts):len(it.Attempts)],
		Attempt{Worker: e.Worker, Rack: e.Rack, At: e.At})
	return nil
}

func (it *Item) endAttempt(e Event) error {
	if !it.Outstanding() || e.Outcome == Unfinished {
		return ErrNoAttempt
	}
	it.Attempts = append([]Attempt(nil), it.Attempts...) // copies of the item may share the old array
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

// justifies reports whether the recorded attempts justify a verdict. Served needs a result, Expired needs
// that no attempt may have run, and Failed needs nothing.
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

// Outstanding reports whether the latest attempt has no recorded end, and so may be in flight.
func (it *Item) Outstanding() bool {
	return len(it.Attempts) > 0 && it.Attempts[len(it.Attempts)-1].Outcome == Unfinished
}

// firstMayHaveRun returns the first attempt that may have run, and whether there is one. An attempt without a
// recorded end counts as one that may have run.
func (it *Item) firstMayHaveRun() (Attempt, bool) {
	for _, attempt := range it.Attempts {
		if attempt.Outcome != NeverRan {
			return attempt, true
		}
	}
	return Attempt{}, false
}

// CheckRoute returns nil if another attempt may be sent to a worker of the rack at the given time, and
// otherwise an error that says why the attempt is not allowed.
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

// Check replays the events of a record and returns an error if the state machine does not allow them. Apply
// cannot have produced a record that Check rejects.
func (it *Item) Check() error {
	if it.ID == "" || it.Effect > Safe {
		return errors.New("item has no id, or its class has an unknown effect")
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
			return fmt.Errorf("attempt %d: recorded outcome is unknown or not allowed", i+1)
		}
	}
	if it.Verdict == None {
		return nil
	}
	if err := replay.Apply(Event{Kind: Answered, Verdict: it.Verdict}); err != nil {
		return fmt.Errorf("recorded verdict %d is not allowed: %w", it.Verdict, err)
	}
	return nil
}
