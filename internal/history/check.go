package history

import (
	"fmt"
	"net/http"
	"slices"
	"time"
)

// request is the record of one request up to the present event.
type request struct {
	class        string
	deadline     time.Time
	finishedAt   time.Time // time of the answer, the disconnect or the end without an answer; zero while open
	answers      int
	attempts     int
	runCount     int
	mayHaveRunAt map[string]time.Time // workers where the job may have run, with the arrival time of the attempt
	heldSince    map[string]time.Time // workers that hold an attempt now, with the arrival time of the attempt
	results      map[string]bool
}

// checker processes the events of a history in order.
type checker struct {
	rules        Rules
	requests     map[string]*request
	leavingSince map[string]time.Time // draining or removed workers, with the time of that change
	findings     []Finding
}

// Check processes the events of a history in the order of their times. It returns the violations, sorted by
// property, id and text.
func Check(rules Rules, history []Event) []Finding {
	events := slices.Clone(history)
	slices.SortStableFunc(events, func(a, b Event) int { return a.At.Compare(b.At) })
	c := &checker{rules: rules, requests: map[string]*request{}, leavingSince: map[string]time.Time{}}
	for _, e := range events {
		c.observe(e)
	}
	if len(events) > 0 {
		c.checkOrphans(events[len(events)-1].At)
	}
	return c.findings
}

func (c *checker) violate(property, id, format string, args ...any) {
	c.findings = append(c.findings, Finding{property, id, fmt.Sprintf(format, args...)})
}

// request returns the record of a request, and creates it for an unknown id.
func (c *checker) request(id string) *request {
	r := c.requests[id]
	if r == nil {
		r = &request{mayHaveRunAt: map[string]time.Time{}, heldSince: map[string]time.Time{},
			results: map[string]bool{}}
		c.requests[id] = r
	}
	return r
}

func (c *checker) observe(e Event) {
	switch e.Kind {
	case EndpointChanged:
		if _, known := c.leavingSince[e.Actor]; !known {
			c.leavingSince[e.Actor] = e.At
		}
	case WorkerReady:
		delete(c.leavingSince, e.Actor)
	default:
		c.observeRequest(c.request(e.ID), e)
	}
}

func (c *checker) observeRequest(r *request, e Event) {
	switch e.Kind {
	case Sent:
		r.class, r.deadline = e.Class, e.Deadline
	case ClientDisconnected:
		r.finishedAt = e.At
	case Unanswered:
		r.finishedAt = e.At
		c.violate("one-final-answer", e.ID, "its client got no answer")
	case Answered:
		c.recordAnswer(r, e)
	case Arrived:
		c.recordArrival(r, e)
	case Started:
		c.recordRun(r, e)
	case Ended:
		if _, known := r.mayHaveRunAt[e.Actor]; e.MayHaveRun && !known {
			c.recordRun(r, e)
		}
		if e.Result != "" {
			r.results[e.Result] = true
		}
		delete(r.heldSince, e.Actor)
	case WorkerDied, Closed, CancelReceived:
		delete(r.heldSince, e.Actor)
	}
}

func (c *checker) recordRun(r *request, e Event) {
	if r.runCount++; r.runCount > 1 && c.rules.AtMostOnce[r.class] {
		c.violate("runs-as-allowed", e.ID, "it runs again, at %s", e.Actor)
	}
	at, known := r.heldSince[e.Actor]
	if !known {
		at = e.At
	}
	r.mayHaveRunAt[e.Actor] = at
}

func (c *checker) recordAnswer(r *request, e Event) {
	r.finishedAt = e.At
	if r.answers++; r.answers > 1 {
		c.violate("one-final-answer", e.ID, "it gets a second answer")
	}
	if late := e.At.Sub(r.deadline); late > c.rules.Slack {
		c.violate("one-final-answer", e.ID, "it is answered %v after its deadline", late)
	}
	switch e.Status {
	case http.StatusOK:
		if !r.results[e.Result] {
			c.violate("honest-answers", e.ID, "it is served the result %q, which no worker made for it", e.Result)
		}
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		if len(r.mayHaveRunAt) > 0 {
			c.violate("honest-answers", e.ID, "it is refused though it may have run")
		}
		for worker := range r.heldSince {
			c.violate("honest-answers", e.ID, "it is refused while worker %s holds it", worker)
		}
	}
}

func (c *checker) recordArrival(r *request, e Event) {
	if r.attempts++; r.attempts > c.rules.MaxAttempts {
		c.violate("four-attempts", e.ID, "attempt %d reaches %s, more attempts than allowed", r.attempts, e.Actor)
	}
	for worker := range r.heldSince {
		c.violate("one-attempt-outstanding", e.ID, "an attempt reaches %s while %s holds an earlier one", e.Actor,
			worker)
	}
	for worker, at := range r.mayHaveRunAt {
		switch {
		case c.rules.AtMostOnce[r.class]:
			c.violate("runs-as-allowed", e.ID, "it may have run at %s and reaches %s", worker, e.Actor)
		case c.rules.RackOf[worker] != c.rules.RackOf[e.Actor]:
			c.violate("runs-as-allowed", e.ID, "it may have run at %s and reaches %s in another rack", worker,
				e.Actor)
		case e.At.Sub(at) > c.rules.Window+c.rules.Slack:
			c.violate("runs-as-allowed", e.ID, "it reaches a worker again %v after an attempt that may have run",
				e.At.Sub(at))
		}
	}
	since, leaving := c.leavingSince[e.Actor]
	if leaving && e.At.Sub(since) > c.rules.DrainGrace+c.rules.Slack {
		c.violate("drains-kept", e.ID, "it reaches %s, which discovery listed as draining or removed %v before",
			e.Actor, e.At.Sub(since))
	}
	r.heldSince[e.Actor] = e.At
}

// checkOrphans checks that no worker holds a job longer than OrphanLimit after its request finished, and
// sorts the findings. end is the time of the last event.
func (c *checker) checkOrphans(end time.Time) {
	for id, r := range c.requests {
		for worker := range r.heldSince {
			if !r.finishedAt.IsZero() && end.Sub(r.finishedAt) > c.rules.OrphanLimit+c.rules.Slack {
				c.violate("called-back", id, "worker %s still holds it %v after the request finished", worker,
					end.Sub(r.finishedAt))
			}
		}
	}
	slices.SortFunc(c.findings, func(a, b Finding) int {
		return slices.Compare([]string{a.Property, a.ID, a.Text}, []string{b.Property, b.ID, b.Text})
	})
}
