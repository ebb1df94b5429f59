package modelcheck

import (
	"fmt"
)

// Property is a condition that every state and every path of a world (simulated configuration) must satisfy.
type Property uint8

// The properties, numbered as in docs/modelcheck.md. OneFinalAnswer, RunsAsAllowed, DrainsRespected and
// SlowStartRespected check the single-answer rule, the repetition rule, the drain rule and the slow-start
// rule of package dispatch.
const (
	OneFinalAnswer        Property = iota + 1 // each request gets one final answer before the client's deadline
	OneAttemptOutstanding                     // workers hold at most one attempt of a request at a time
	AttemptsCapped                            // a request gets no more attempts than the settings allow
	RunsAsAllowed                             // a Post job runs at most once, a Batch repeats only in its rack
	DrainsRespected                           // no attempt is sent over 500 ms after a drain or removal notice
	HonestAnswers                             // a refusal means that a retry is safe; workers made all results
	SlowStartRespected                        // a worker in slow start gets no more jobs than its budget
	NothingLeaks                              // the scheduler keeps no state past its retention time
	OrphansCancelled                          // each worker that may hold an abandoned job gets a cancellation
	Terminates                                // each request gets an answer if only time passes
	CancelsAsAllowed                          // where cancelling is forbidden, no attempt is cancelled early
	NoSendAfterDisconnect                     // no attempt is sent over 100 ms after its client disconnected
	StaleListUnused                           // no attempt is sent from an expired worker list
)

// propertyInfo holds the names of the properties in trace files and their descriptions.
var propertyInfo = [...]struct{ name, about string }{
	OneFinalAnswer: {"one-final-answer",
		"each request gets one final answer before its deadline; a disconnected client gets none"},
	OneAttemptOutstanding: {"one-attempt-outstanding",
		"workers hold at most one attempt of a request at a time"},
	AttemptsCapped: {"attempts-capped",
		"no request gets more attempts than the settings allow (4 in most worlds)"},
	RunsAsAllowed: {"runs-as-allowed",
		"a post-reading runs at most once; a district-batch repeats only in its rack and window"},
	DrainsRespected: {"drains-kept",
		"no attempt is sent to a worker later than 500 ms after the notice that it drains or is removed"},
	HonestAnswers: {"honest-answers",
		"a request is refused only if the client may retry it, is called invalid only if it " +
			"never ran, and gets only a result that a worker made for it"},
	SlowStartRespected: {"cold-spared",
		"a worker in slow start is not sent more jobs than its budget"},
	NothingLeaks: {"nothing-leaks",
		"with all requests answered and no message in transit, no state is kept past its retention time"},
	OrphansCancelled: {"called-back",
		"each worker that may hold an abandoned attempt gets its cancellation once it is reachable"},
	Terminates: {"ends",
		"from every state, the passing of time alone leads to an answer for each request"},
	CancelsAsAllowed: {"cancels-as-allowed",
		"where cancelling is forbidden, no attempt is abandoned before its end or its deadline"},
	NoSendAfterDisconnect: {"leavers-spared",
		"no attempt is sent later than 100 ms after its client disconnected"},
	StaleListUnused: {"list-trusted",
		"no attempt is sent by a worker list whose validity has expired"},
}

// String returns the name of the property in trace files.
func (p Property) String() string { return propertyInfo[p].name }

// About describes the property.
func (p Property) About() string { return propertyInfo[p].about }

// Properties lists all properties by number.
func Properties() []Property {
	var all []Property
	for p := OneFinalAnswer; int(p) < len(propertyInfo); p++ {
		all = append(all, p)
	}
	return all
}

// Violation is a violated property and a description of the violation.
type Violation struct {
	Property Property
	Text     string
}

// Error returns the name of the property and the description of the violation.
func (v *Violation) Error() string { return v.Property.String() + ": " + v.Text }

// violate records a violation unless an earlier violation is recorded.
func (w *World) violate(p Property, format string, args ...any) {
	if w.violation == nil {
		w.violation = &Violation{p, fmt.Sprintf(format, args...)}
	}
}
