package modelcheck

import (
	"fmt"
	"strings"
	"time"

	"dahliaford/internal/dispatch"
	"dahliaford/internal/scheduler"
)

// Property is one of the rules that every world must keep.
type Property uint8

// The properties.
const (
	OneFinalAnswer        Property = iota + 1 // 1: one final answer before the client gives up; none to one that left
	OneAttemptOutstanding                     // 2: one attempt outstanding, as the workers see it
	AttemptsCapped                            // 3: as many attempts as the settings allow at most
	RunsAsAllowed                             // 4: nothing runs twice, but a batch in its rack and window
	DrainsRespected                           // 5: nothing new over 500 ms after a drain or an end was told
	HonestAnswers                             // 6: a refusal only where it is harmless; a result as a worker made it
	SlowStartRespected                        // 7: a cold worker gets no more than its budget
	NothingLeaks                              // 8: when all is quiet, nothing is kept beyond its time
	OrphansCancelled                          // 9: who may hold a given-up attempt is told, once it can be reached
	Terminates                                // 10: time alone ends all requests
	CancelsAsAllowed                          // 11: where that is forbidden, nothing is cancelled in its time
	NoSendAfterDisconnect                     // 12: nothing new for a client that left
	StaleListUnused                           // 13: nothing is routed by a list past the time for which it holds
)

var propertyNames = [...]string{"", "one-final-answer", "one-attempt-outstanding", "attempts-capped",
	"runs-as-allowed", "drains-kept", "honest-answers", "cold-spared", "nothing-leaks", "called-back", "ends",
	"cancels-as-allowed", "leavers-spared", "list-trusted"}

func (p Property) String() string { return propertyNames[p] }

// Properties are all of them.
func Properties() []Property {
	return []Property{OneFinalAnswer, OneAttemptOutstanding, AttemptsCapped, RunsAsAllowed, DrainsRespected, HonestAnswers, SlowStartRespected,
		NothingLeaks, OrphansCancelled, Terminates, CancelsAsAllowed, NoSendAfterDisconnect, StaleListUnused}
}

// Violation says which property broke, and how.
type Violation struct {
	Property Property
	Text     string
}

func (b *Violation) Error() string { return b.Property.String() + ": " + b.Text }

func (w *World) fail(p Property, format string, args ...any) {
	if w.broke == nil {
		w.broke = &Violation{p, fmt.Sprintf(format, args...)}
	}
}

func span(m Micros) time.Duration { return time.Duration(m) * time.Microsecond }

// answer checks properties 1 and 6 on an answer.
func (w *World) answer(a scheduler.Answer) {
	var q *request
	for i := range w.requests {
		if w.requests[i].caller == a.Caller {
			q = &w.requests[i]
		}
	}
	if q == nil {
		w.fail(OneFinalAnswer, "an answer to nobody")
		return
	}
	verdict := [...]string{"serves", "refuses", "fails", "calls invalid", "calls a conflict"}[a.Verdict]
	w.note("scheduler %s %s %s", verdict, w.txn(q.id), a.Body)
	w.oneAnswer(q)
	w.honest(q, a)
	q.state, q.verdict = answered, a.Verdict
}

// oneAnswer is property 1 where an answer is given.
func (w *World) oneAnswer(q *request) {
	switch {
	case q.state == answered:
		w.fail(OneFinalAnswer, "%s is answered twice", w.txn(q.id))
	case q.state == gone:
		w.fail(OneFinalAnswer, "%s is answered though its client left", w.txn(q.id))
	case w.now > q.deadline:
		w.fail(OneFinalAnswer, "%s is answered %v after its client gave up", w.txn(q.id), span(w.now-q.deadline))
	}
}

// honest is property 6.
func (w *World) honest(q *request, a scheduler.Answer) {
	first := &w.requests[q.id]
	switch a.Verdict {
	case scheduler.Served:
		worker, ok := strings.CutPrefix(string(a.Body), w.txn(q.id)+" by ")
		if !ok || first.made&(1<<workerOf(worker)) == 0 {
			w.fail(HonestAnswers, "%s is served %q, which no worker made for it", w.txn(q.id), a.Body)
		}
	case scheduler.Refused:
		if first.ran != 0 {
			w.fail(HonestAnswers, "%s is refused though it may have run", w.txn(q.id))
		}
		for _, j := range w.jobs {
			if j.id == q.id {
				w.fail(HonestAnswers, "%s is refused while %s holds it", w.txn(q.id), uid(int(j.worker)))
			}
		}
		for _, r := range w.routes {
			if r.id == q.id && r.phase == written {
				w.fail(HonestAnswers, "%s is refused while it is on its way to %s", w.txn(q.id), uid(int(r.worker)))
			}
		}
	}
}

// arrives checks properties 2, 3, 4 and 7 when an attempt's last byte comes to a worker.
func (w *World) arrives(r *route) {
	q := &w.requests[r.id]
	if q.attempts++; int(q.attempts) > w.cfg.Rules.maxAttempts() {
		w.fail(AttemptsCapped, "attempt %d of %s comes to %s", q.attempts, w.txn(r.id), uid(int(r.worker)))
	}
	for _, j := range w.jobs {
		if j.id == r.id {
			w.fail(OneAttemptOutstanding, "an attempt of %s comes to %s while %s holds one that nobody has called back there",
				w.txn(r.id), uid(int(r.worker)), uid(int(j.worker)))
		}
	}
	if q.class == Batch && q.ran != 0 {
		for i := range w.workers {
			if q.ran&(1<<i) != 0 && w.cfg.Racks[i] != w.cfg.Racks[r.worker] {
				w.fail(RunsAsAllowed, "%s may have run at %s and comes to %s, in another rack", w.txn(r.id), uid(i),
					uid(int(r.worker)))
			}
		}
		if r.sent-q.firstRan > window {
			w.fail(RunsAsAllowed, "%s may have run and is sent again %v later, past its window", w.txn(r.id),
				span(r.sent-q.firstRan))
		}
	}
	w.coldArrives(r)
}

// coldArrives is property 7. In these worlds the budget of a cold worker is under one
// job, so of those that know that it is cold one job may come within the window.
func (w *World) coldArrives(r *route) {
	to := &w.workers[r.worker]
	if !r.cold {
		return
	}
	for _, at := range to.fresh {
		if gap := max(r.sent-at, at-r.sent); gap < fall {
			w.fail(SlowStartRespected, "two jobs are sent to the cold %s within %v", uid(int(r.worker)), span(gap))
		}
	}
	to.fresh = append(to.fresh, r.sent)
}

// writes checks properties 5 and 12 when an attempt's first byte goes out.
func (w *World) writes(r *route) {
	to := &w.workers[r.worker]
	r.cold = to.begun != 0 && to.known == to.begun && w.now-to.begun < coldFor && to.status == dispatch.Ready
	w.leaver(r)
	if told := w.leaves(to); told != 0 && w.now-told > drainGrace {
		w.fail(DrainsRespected, "%s is written to %s, told %v ago to leave", w.txn(r.id), uid(int(r.worker)),
			span(w.now-told))
	}
}

// leaver is property 12: of those who handed this id in, somebody is there or was a moment ago.
func (w *World) leaver(r *route) {
	since := Micros(-1)
	for i := range w.requests {
		q := &w.requests[i]
		switch {
		case q.id != r.id:
		case q.state == open:
			return
		case q.state == gone:
			since = max(since, q.leftAt)
		}
	}
	if since >= 0 && w.now-since > leaveGrace {
		w.fail(NoSendAfterDisconnect, "%s is written to %s %v after its client left", w.txn(r.id), uid(int(r.worker)),
			span(w.now-since))
	}
}

// cancels checks property 11 when an attempt is given up. What its worker or its connection has ended,
// and what its time has ended, is out no more.
func (w *World) cancels(attempt scheduler.AttemptID) {
	if !w.cfg.Rules.CancelForbidden {
		return
	}
	for i := range w.requests {
		if q := &w.requests[i]; q.last == attempt && q.stage < stageGivenUp && w.now < q.lastBy {
			w.fail(CancelsAsAllowed, "an attempt of %s at %s is given up %v before its time", w.txn(q.id),
				uid(int(q.at)), span(q.lastBy-w.now))
		}
	}
}

// runs checks property 4 when a job may begin to run.
func (w *World) runs(id, at uint8, sent Micros) {
	q := &w.requests[id]
	if q.starts++; q.class == Post && q.starts > 1 {
		w.fail(RunsAsAllowed, "%s runs for the second time, at %s", w.txn(id), uid(int(at)))
	}
	if q.ran == 0 {
		q.firstRan = sent
	}
	q.ran |= 1 << at
}

// exit checks property 1 at the program's end.
func (w *World) exit() {
	w.exited = true
	if w.now >= w.stopAt+stopsWithin {
		w.gaveUp = true
	}
	for i := range w.requests {
		if w.requests[i].state == open {
			w.fail(OneFinalAnswer, "the program ends and %s has no answer", w.txn(w.requests[i].id))
		}
	}
}

// inTime checks properties 1 and 10 whenever time has passed.
func (w *World) inTime() {
	for i := range w.requests {
		q := &w.requests[i]
		if q.state != open {
			continue
		}
		if w.now > q.deadline+jitter {
			w.fail(OneFinalAnswer, "%s has no answer %v after its client gave up", w.txn(q.id), span(w.now-q.deadline))
		} else if w.now < q.deadline && (w.wake == 0 || w.wake > q.deadline) {
			w.fail(Terminates, "%s is open, and nothing is due before its client gives up", w.txn(q.id))
		}
	}
}

// over tells whether nobody waits any more.
func (w *World) over() bool {
	for i := range w.requests {
		if w.requests[i].state == open {
			return false
		}
	}
	return true
}

// settle plays a fair end on a copy: no further fault, all that is on its way arrives, no
// worker ends a job by itself, and time passes. It checks properties 8, 9 and 10.
func (w *World) settle() *Violation {
	if w.broke != nil {
		return w.broke
	}
	c := w.clone()
	c.quiet, c.cover, c.rest = true, &Coverage{}, c.now+mostRest
	var buf []Action
	for steps := 0; ; steps++ {
		if c.broke != nil {
			return c.broke
		}
		if steps > mostSettling {
			c.fail(Terminates, "it does not come to rest")
			return c.broke
		}
		buf = c.fair(buf[:0])
		if len(buf) == 0 {
			break
		}
		c.apply(buf[0])
	}
	for i := range c.requests {
		if c.requests[i].state == open {
			c.fail(Terminates, "%s is open, and nothing more happens", w.txn(c.requests[i].id))
		}
	}
	for _, j := range c.jobs {
		if c.gaveUp || c.exited && c.cfg.Rules.CancelForbidden {
			continue // nobody could reach it in the time that a program has for its end, or was allowed to
		}
		c.fail(OrphansCancelled, "%s holds %s, which nobody waits for, and is never told", uid(int(j.worker)),
			w.txn(j.id))
	}
	if c.exited {
		return c.broke
	}
	c.now = max(c.now, c.rest)
	c.step(scheduler.EndpointsUpdated{}) // a heartbeat, as one comes every 2 s
	if kept := c.s.Stats(); kept != (scheduler.Stats{}) {
		c.fail(NothingLeaks, "long after the last answer the scheduler keeps %+v", kept)
	}
	return c.broke
}

const mostSettling = 500

// stopsWithin is how long after SIGTERM a program may end with a withdrawal unheard, and no sooner:
// it has to be gone before the kill, which comes 0.7 s after the longest deadline at the earliest.
const stopsWithin = deadlineOfBatch + 700*millisecond - 300*millisecond

// About says what a property asks for.
func (p Property) About() string {
	return [...]string{"", "one final answer for each item, before the client gives up; none to one that left",
		"only one attempt outstanding at a time, as the workers see it",
		"no request gets more attempts than the settings allow: 4 in most worlds",
		"a post-reading never runs twice; a district-batch that may have run stays in its rack and window",
		"nothing new goes to a worker more than 500 ms after it was said to drain or to be gone",
		"a refusal only where a repeat is harmless; a result that a worker made for that very request",
		"a cold worker is not sent more than its budget",
		"when all is answered and quiet, nothing is kept beyond its time",
		"whoever may hold a given-up attempt is told so, once it can be reached",
		"from every state time alone leads to all requests answered",
		"where cancelling is forbidden, no attempt is given up before it has ended or its time is up",
		"nothing is sent on more than 100 ms after its client left",
		"nothing is routed by a list past the time for which it may be relied on"}[p]
}
