// Package history checks the history of what clients and workers saw of a real scheduler
// against the properties that package explore checks in the small. It has no I/O and no
// clock: events come with their times, all read from one clock.
package history

import (
	"fmt"
	"slices"
	"time"
)

// Kind is a kind of event.
type Kind uint8

// What can be seen.
const (
	Sent               Kind = iota // a client wrote a request; Until: it gives up then
	ClientDisconnected             // the client left
	Answered                       // it has its answer: Status, Result
	Unanswered                     // its connection ended, or its time, without one
	Arrived                        // a request's last byte came to a worker
	Started                        // it runs there
	Ended                          // the attempt is over there; Ran: it may have run
	WorkerDied                     // the worker's process died with it
	Closed                         // the connection ended before the 202: it is given up there
	CancelReceived                 // a DELETE came; Status 200: the job was there
	EndpointChanged                // discovery wrote a change about a worker (Who): it drains or is gone
	WorkerReady                    // and that it is ready again
)

var kindNames = [...]string{"sent", "left", "answered", "unanswered", "arrived", "started", "ended",
	"lost", "closed",
	"withdrawn", "told to leave", "ready again"}

func (k Kind) String() string { return kindNames[k] }

// Event is one thing that a client, a worker or discovery saw.
type Event struct {
	At         time.Time
	Kind       Kind
	ID         string // of the request
	Actor      string // the worker, or client
	Class      string // with Sent
	Deadline   time.Time
	Status     int
	Result     string
	MayHaveRun bool
}

// Rules are the figures of a deployment. Slack is added to each of its times: a machine
// that is busy makes events late.
type Rules struct {
	AtMostOnce  map[string]bool   // classes of which nothing may run twice
	RackOf      map[string]string // of each worker
	Window      time.Duration     // in which a repeat is dropped within a rack
	DrainGrace  time.Duration
	MaxAttempts int
	Slack       time.Duration
	// OrphanLimit is how long a worker may hold a job for nobody. After the history's end
	// nothing is expected any more.
	OrphanLimit time.Duration
}

// Finding is a property that broke, named as in package explore.
type Finding struct {
	Property, ID, Text string
}

func (f Finding) String() string { return f.Property + ": " + f.ID + ": " + f.Text }

// life is what is known of one request.
type life struct {
	class    string
	sent     time.Time
	until    time.Time
	over     time.Time // answered, left or unanswered; zero: not yet
	answers  int
	attempts int
	runs     int
	ran      map[string]time.Time // workers where it may have run, and when it had come there
	held     map[string]time.Time // workers that hold it now, since when
	results  map[string]bool
}

// Check goes through a history in the order of its times and returns what broke.
func Check(rules Rules, history []Event) []Finding {
	events := slices.Clone(history)
	slices.SortStableFunc(events, func(a, b Event) int { return a.At.Compare(b.At) })
	c := &checker{rules: rules, lives: map[string]*life{}, leaving: map[string]time.Time{}}
	for _, e := range events {
		c.see(e)
	}
	if len(events) > 0 {
		c.rest(events[len(events)-1].At)
	}
	return c.found
}

type checker struct {
	rules   Rules
	lives   map[string]*life
	leaving map[string]time.Time
	found   []Finding
}

func (c *checker) fail(property, id, format string, args ...any) {
	c.found = append(c.found, Finding{property, id, fmt.Sprintf(format, args...)})
}

func (c *checker) see(e Event) {
	switch e.Kind {
	case EndpointChanged:
		if _, since := c.leaving[e.Actor]; !since {
			c.leaving[e.Actor] = e.At
		}
		return
	case WorkerReady:
		delete(c.leaving, e.Actor)
		return
	}
	l := c.lives[e.ID]
	if l == nil {
		l = &life{ran: map[string]time.Time{}, held: map[string]time.Time{}, results: map[string]bool{}}
		c.lives[e.ID] = l
	}
	switch e.Kind {
	case Sent:
		l.class, l.sent, l.until = e.Class, e.At, e.Deadline
	case ClientDisconnected:
		l.over = e.At
	case Unanswered:
		l.over = e.At
		c.fail("one-final-answer", e.ID, "its client never got an answer")
	case Answered:
		c.answered(l, e)
	case Arrived:
		c.arrived(l, e)
	case Started:
		c.ran(l, e)
	case Ended:
		if _, known := l.ran[e.Actor]; e.MayHaveRun && !known {
			c.ran(l, e)
		}
		if e.Result != "" {
			l.results[e.Result] = true
		}
		delete(l.held, e.Actor)
	case WorkerDied, Closed:
		delete(l.held, e.Actor)
	case CancelReceived:
		delete(l.held, e.Actor)
	}
}

func (c *checker) ran(l *life, e Event) {
	if l.runs++; l.runs > 1 && c.rules.AtMostOnce[l.class] {
		c.fail("runs-as-allowed", e.ID, "it runs for the second time, at %s", e.Actor)
	}
	at, held := l.held[e.Actor]
	if !held {
		at = e.At
	}
	l.ran[e.Actor] = at
}

func (c *checker) answered(l *life, e Event) {
	l.over = e.At
	if l.answers++; l.answers > 1 {
		c.fail("one-final-answer", e.ID, "it is answered twice")
	}
	if late := e.At.Sub(l.until); late > c.rules.Slack {
		c.fail("one-final-answer", e.ID, "it is answered %v late", late)
	}
	switch e.Status {
	case 200:
		if !l.results[e.Result] {
			c.fail("honest-answers", e.ID, "it is served %q, which no worker made", e.Result)
		}
	case 429, 503:
		if len(l.ran) > 0 {
			c.fail("honest-answers", e.ID, "it is refused though it may have run")
		}
		for who := range l.held {
			c.fail("honest-answers", e.ID, "it is refused while %s holds it", who)
		}
	}
}

func (c *checker) arrived(l *life, e Event) {
	if l.attempts++; l.attempts > c.rules.MaxAttempts {
		c.fail("four-attempts", e.ID, "attempt %d comes to %s", l.attempts, e.Actor)
	}
	for who := range l.held {
		c.fail("one-attempt-outstanding", e.ID, "an attempt comes to %s while %s holds one", e.Actor, who)
	}
	for who, at := range l.ran {
		switch {
		case c.rules.AtMostOnce[l.class]:
			c.fail("runs-as-allowed", e.ID, "it may have run at %s and comes to %s", who, e.Actor)
		case c.rules.RackOf[who] != c.rules.RackOf[e.Actor]:
			c.fail("runs-as-allowed", e.ID, "it may have run at %s and comes to %s, in another rack", who, e.Actor)
		case e.At.Sub(at) > c.rules.Window+c.rules.Slack:
			c.fail("runs-as-allowed", e.ID, "it comes again %v after it may have run", e.At.Sub(at))
		}
	}
	if told, leaving := c.leaving[e.Actor]; leaving && e.At.Sub(told) > c.rules.DrainGrace+c.rules.Slack {
		c.fail("drains-kept", e.ID, "it comes to %s, told %v ago to leave", e.Actor, e.At.Sub(told))
	}
	l.held[e.Actor] = e.At
}

// rest looks at what is held for nobody when the history ends.
func (c *checker) rest(end time.Time) {
	for id, l := range c.lives {
		for who := range l.held {
			if !l.over.IsZero() && end.Sub(l.over) > c.rules.OrphanLimit+c.rules.Slack {
				c.fail("called-back", id, "%s holds it %v after its end", who, end.Sub(l.over))
			}
		}
	}
	slices.SortFunc(c.found, func(a, b Finding) int {
		return slices.Compare([]string{a.Property, a.ID, a.Text}, []string{b.Property, b.ID, b.Text})
	})
}
