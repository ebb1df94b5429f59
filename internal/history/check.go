package history

import (
	"fmt"
	"net/http"
	"slices"
	"time"
)

// request is what is known of one request.
type request struct {
	class         string
	deadline      time.Time
	overAt        time.Time // answered, disconnected or unanswered; zero: not yet
	answers       int
	attempts      int
	runs          int
	ranAt         map[string]time.Time // workers where it may have run, and when it had come there
	outstandingAt map[string]time.Time // workers that hold it now, since when
	results       map[string]bool
}

// checker goes through a history.
type checker struct {
	rules        Rules
	requests     map[string]*request
	leavingSince map[string]time.Time // workers that drain or are gone
	findings     []Finding
}

// Check goes through a history in the order of its times and returns the violations, sorted.
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

// request returns what is known of a request, and begins with nothing.
func (c *checker) request(id string) *request {
	r := c.requests[id]
	if r == nil {
		r = &request{ranAt: map[string]time.Time{}, outstandingAt: map[string]time.Time{},
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
		r.overAt = e.At
	case Unanswered:
		r.overAt = e.At
		c.violate("one-final-answer", e.ID, "its client never got an answer")
	case Answered:
		c.answered(r, e)
	case Arrived:
		c.arrived(r, e)
	case Started:
		c.ran(r, e)
	case Ended:
		if _, known := r.ranAt[e.Actor]; e.MayHaveRun && !known {
			c.ran(r, e)
		}
		if e.Result != "" {
			r.results[e.Result] = true
		}
		delete(r.outstandingAt, e.Actor)
	case WorkerDied, Closed, CancelReceived:
		delete(r.outstandingAt, e.Actor)
	}
}

func (c *checker) ran(r *request, e Event) {
	if r.runs++; r.runs > 1 && c.rules.AtMostOnce[r.class] {
		c.violate("runs-as-allowed", e.ID, "it runs for the second time, at %s", e.Actor)
	}
	at, known := r.outstandingAt[e.Actor]
	if !known {
		at = e.At
	}
	r.ranAt[e.Actor] = at
}

func (c *checker) answered(r *request, e Event) {
	r.overAt = e.At
	if r.answers++; r.answers > 1 {
		c.violate("one-final-answer", e.ID, "it is answered twice")
	}
	if late := e.At.Sub(r.deadline); late > c.rules.Slack {
		c.violate("one-final-answer", e.ID, "it is answered %v late", late)
	}
	switch e.Status {
	case http.StatusOK:
		if !r.results[e.Result] {
			c.violate("honest-answers", e.ID, "it is served %q, which no worker made", e.Result)
		}
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		if len(r.ranAt) > 0 {
			c.violate("honest-answers", e.ID, "it is refused though it may have run")
		}
		for worker := range r.outstandingAt {
			c.violate("honest-answers", e.ID, "it is refused while %s holds it", worker)
		}
	}
}

func (c *checker) arrived(r *request, e Event) {
	if r.attempts++; r.attempts > c.rules.MaxAttempts {
		c.violate("four-attempts", e.ID, "attempt %d comes to %s", r.attempts, e.Actor)
	}
	for worker := range r.outstandingAt {
		c.violate("one-attempt-outstanding", e.ID, "an attempt comes to %s while %s holds one", e.Actor, worker)
	}
	for worker, at := range r.ranAt {
		switch {
		case c.rules.AtMostOnce[r.class]:
			c.violate("runs-as-allowed", e.ID, "it may have run at %s and comes to %s", worker, e.Actor)
		case c.rules.RackOf[worker] != c.rules.RackOf[e.Actor]:
			c.violate("runs-as-allowed", e.ID, "it may have run at %s and comes to %s, in another rack", worker,
				e.Actor)
		case e.At.Sub(at) > c.rules.Window+c.rules.Slack:
			c.violate("runs-as-allowed", e.ID, "it comes again %v after it may have run", e.At.Sub(at))
		}
	}
	since, leaving := c.leavingSince[e.Actor]
	if leaving && e.At.Sub(since) > c.rules.DrainGrace+c.rules.Slack {
		c.violate("drains-kept", e.ID, "it comes to %s, listed as leaving %v ago", e.Actor, e.At.Sub(since))
	}
	r.outstandingAt[e.Actor] = e.At
}

// checkOrphans checks what workers hold for nobody when the history ends, and sorts the findings.
func (c *checker) checkOrphans(end time.Time) {
	for id, r := range c.requests {
		for worker := range r.outstandingAt {
			if !r.overAt.IsZero() && end.Sub(r.overAt) > c.rules.OrphanLimit+c.rules.Slack {
				c.violate("called-back", id, "%s holds it %v after its end", worker, end.Sub(r.overAt))
			}
		}
	}
	slices.SortFunc(c.findings, func(a, b Finding) int {
		return slices.Compare([]string{a.Property, a.ID, a.Text}, []string{b.Property, b.ID, b.Text})
	})
}
