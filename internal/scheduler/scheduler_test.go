package scheduler

import (
	"container/heap"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"dahliaford/internal/dispatch"
	"dahliaford/internal/scenario"
	"dahliaford/internal/settings"
)

const testSettings = `{"balancers":1,"me":0,"granularity":2000,"azs":["north"],"kinds":["m1"],
	"grades":[
	{"name":"post","semantics":"at_most_once","slo":200000,"deadline":5000000,"worth":2},
	{"name":"batch","semantics":"deduplicated","dedup_scope":"cell","memory_span":30000000,
	 "slo":500000,"deadline":20000000,"worth":3}],
	"customers":[{"name":"sahel"}],
	"family_info":{"class_stretch":[2,2.5],"tells_start":true},"discovery":"on_request",
	"limits":{"attempts_cap":4,"cancel":true,"connect_timeout":250000,"max_retry_after":2000000},
	"guarantees":{"cold":8000000,"cold_from":0.3,"fall":2000000,"overload_factor":4,"ask_within":10000000,
	 "drain_grace":500000}}`

// world plays a scheduler on a clock of its own. Effects become lines, queued for
// the party that they reach.
type world struct {
	s        *Scheduler
	now      Micros
	wake     Micros
	exit     Micros // when it is to be over; 0: not yet asked for
	seen     map[string][]string
	attempts map[string]AttemptID // the last one, by request id
	workers  map[AttemptID]string // where it went
	callers  map[CallerID]string  // names
}

func parsed(t *testing.T, text string) settings.Settings {
	t.Helper()
	set, err := settings.Parse([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return set
}

func newWorld(t *testing.T) *world {
	t.Helper()
	return newWorldOf(t, parsed(t, testSettings))
}

// newWorldOf is a world with settings of its own.
func newWorldOf(t *testing.T, set settings.Settings) *world {
	t.Helper()
	s, err := New(set, 1)
	if err != nil {
		t.Fatal(err)
	}
	w := &world{s: s, now: 1000 * second, seen: map[string][]string{}, attempts: map[string]AttemptID{},
		workers: map[AttemptID]string{}, callers: map[CallerID]string{}}
	w.step(Started{Discovery: "d1", CachedList: WorkerList{Rev: 1, Complete: true, Workers: []Worker{line("r1", 1)}}})
	return w
}

func line(uid string, status dispatch.Status) Worker {
	return Worker{UID: uid, Addr: uid, Zone: "north", Kind: "m1", Status: status}
}

func (w *world) step(e Event) { w.see(w.s.Step(w.now, e, nil)) }

func (w *world) see(effects []Effect) {
	say := func(who, format string, args ...any) {
		w.seen[who] = append(w.seen[who], strings.TrimSpace(fmt.Sprintf(format, args...)))
	}
	for _, e := range effects {
		switch e := e.(type) {
		case SendAttempt:
			w.attempts[e.ID], w.workers[e.Attempt] = e.Attempt, e.UID
			say(e.UID, "%s %v written in %v done in %v", e.ID, e.Payload, w.in(e.WriteBy), w.in(e.Deadline))
		case CloseConnection:
			say(w.workers[e.Attempt], "abandoned")
		case CancelAttempt:
			say(e.Addr, "withdrawn %s", e.ID)
		case Answer:
			verdict := [...]string{"served", "refused", "failed", "invalid", "conflict"}[e.Verdict]
			last := map[bool]string{true: "last"}[e.FinalForConnection]
			say(w.callers[e.Caller], "%s%s%s", verdict, spaced(string(e.Body)), spaced(last))
		case OpenWatch:
			say("discovery", "watch %s from %d", e.Addr, e.Rev)
		case StopUsingWorker:
			say(e.Addr, "retired")
		case Shutdown:
			w.exit = e.By
			say("program", "%T", e)
		case CloseIdleClients:
			say("program", "%T", e)
		case Log:
			if e.Warn {
				say("log", "%s", e.Text)
			}
		case SetTimer:
			w.wake = e.At
		}
	}
}

func spaced(text string) string {
	if text == "" {
		return ""
	}
	return " " + text
}

func (w *world) in(at Micros) time.Duration { return time.Duration(at-w.now) * time.Microsecond }

func (w *world) Wait(text string) error {
	span, err := time.ParseDuration(text)
	for end := w.now + Micros(span.Microseconds()); ; {
		if w.wake == 0 || w.wake > end {
			w.now = end
			return err
		}
		w.now, w.wake = max(w.now, w.wake), 0
		w.step(TimerFired{})
	}
}

func (w *world) Actor(name string) scenario.Actor { return party{w, name} }

type party struct {
	*world
	name string
}

func (p party) Expect(string) (string, error) {
	queue := p.seen[p.name]
	if len(queue) == 0 {
		return "nothing", nil
	}
	p.seen[p.name] = queue[1:]
	return queue[0], nil
}

func (p party) Close(text string) error {
	switch {
	case p.name == "discovery":
		p.step(WatchClosed{})
	case p.name[0] == 'r': // the connection broke after the request was out
		p.step(AttemptEnded{Attempt: p.attempts[text], Outcome: dispatch.Reset})
	default:
		for c, name := range p.callers {
			if name == p.name {
				p.step(ClientDisconnected{Caller: c})
			}
		}
	}
	return nil
}

func (p party) Send(text string) error {
	words := strings.Fields(text)
	switch {
	case p.name == "program":
		if words[0] == "panic" {
			p.s.module = nil
			p.recovered()
			return nil
		}
		p.step(ShutdownRequested{})
	case p.name == "discovery" && strings.HasPrefix(text, "reload "):
		p.step(Reloaded{Discovery: words[1]})
	case p.name == "discovery":
		t := WorkerList{Rev: 2}
		for _, word := range words {
			uid, state, _ := strings.Cut(word, "=")
			status := map[string]dispatch.Status{"ready": 1, "draining": 2}[state]
			t.Workers = append(t.Workers, line(uid, status))
		}
		p.step(EndpointsUpdated{List: t})
	case p.name[0] == 'r':
		p.worker(words[0], words[1])
	default:
		c := CallerID(len(p.callers) + 1)
		p.callers[c] = p.name
		left, err := time.ParseDuration(words[3])
		p.step(Submitted{Caller: c, ID: words[0], Class: words[1], Tenant: words[2],
			Deadline: p.now + Micros(left.Microseconds()), Slots: 1, Payload: "payload"})
		return err
	}
	return nil
}

// recovered does as a program does whose module has panicked.
func (p party) recovered() {
	defer func() {
		recover()
		effects, _ := p.s.Recover(p.now)
		p.see(effects)
	}()
	p.step(WatchClosed{})
}

func (p party) worker(word, id string) {
	ends := map[string]dispatch.Outcome{"error": dispatch.Failed, "turned-away": dispatch.AtCapacity,
		"unreached": dispatch.ConnectFailed}
	if outcome, ok := ends[word]; ok {
		p.step(AttemptEnded{Attempt: p.attempts[id], Outcome: outcome})
	} else if word == "rejected" {
		p.step(AttemptRejected{Attempt: p.attempts[id]})
	} else if word == "dropped" || word == "unheard" {
		p.step(CancellationResult{Attempt: p.attempts[id], Acknowledged: word == "dropped"})
	} else if word == "accepted" {
		p.step(AttemptAccepted{Attempt: p.attempts[id]})
	} else {
		news := map[string]CallbackKind{"started": CallbackStarted, "done": CallbackDone, "failed": CallbackFailed,
			"returned": CallbackHandedBack, "lost": CallbackAborted}[word]
		p.step(Callback{ID: id, From: p.name, Kind: news, Result: []byte("result")})
	}
}

func TestScenarios(t *testing.T) {
	const submit, begun = `
		c1 send a1 post sahel 5s
		r1 expect a1 payload written in 250ms done in 4.996s`, `
		r1 send accepted a1
		r1 send started a1`
	const batch = `
		c1 send a1 batch sahel 20s
		r1 expect a1 payload written in 250ms done in 19.996s
		discovery send r2=ready`
	const again = "\nr2 expect a1 payload written in 250ms done in 19.996s"
	for name, script := range map[string]string{
		"a request is served once": submit + begun + `
			r1 send done a1
			c1 expect served result
			r1 send done a1
			r1 send failed a1
			c1 expect nothing`,
		"the end may be told before the start and the acceptance": submit + `
			r1 send done a1
			c1 expect served result
			r1 send started a1
			r1 send accepted a1
			r1 expect abandoned
			r1 expect nothing`,
		"only the worker that has the attempt is heard": submit + begun + `
			r9 send done a1
			c1 expect nothing
			r1 send done a1
			c1 expect served result`,
		"a connection that ends after the acceptance ends nothing": submit + begun + `
			r1 close a1
			c1 expect nothing
			r1 send done a1
			c1 expect served result`,
		"one that ends before it may have run: no refusal": submit + `
			r1 close a1
			c1 expect failed`,
		"an error may have run: no refusal": submit + `
			r1 send error a1
			c1 expect failed`,
		"a lost job may have run": submit + begun + `
			r1 send lost a1
			c1 expect failed`,
		"a job that never ran goes elsewhere, and no caller hears of it": batch + `
			r1 send turned-away a1` + again + `
			c1 expect nothing`,
		"so does one that was handed back": batch + `
			r1 send accepted a1
			r1 send returned a1` + again,
		"so does one whose worker was not reached": batch + `
			r1 send unreached a1` + again,
		"what the module gives up is answered at once": `
			discovery send r1=draining
			c1 send a1 post sahel 5s
			c1 expect nothing
			wait 1s
			c1 expect refused`,
		"a job without time is answered at once": `
			c1 send a1 post sahel 0s
			c1 expect refused
			r1 expect nothing`,
		"a caller that leaves before the acceptance, which may cross the close": submit + `
			c1 close
			r1 expect abandoned
			r1 expect withdrawn a1
			r1 send dropped a1
			wait 5s
			r1 expect nothing`,
		"a withdrawal that does not get through is tried again, and not for ever": submit + begun + `
			c1 close
			r1 expect withdrawn a1
			r1 send unheard a1
			r1 expect nothing
			wait 250ms
			r1 expect withdrawn a1
			wait 1s
			r1 expect abandoned
			wait 500ms
			r1 expect withdrawn a1
			r1 send dropped a1
			wait 30s
			r1 expect nothing`,
		"a repeat waits until the worker that may hold the first is told": batch + `
			r1 close a1
			r1 expect withdrawn a1
			r2 expect nothing
			r1 send dropped a1
			r2 expect a1 payload written in 250ms done in 19.996s`,
		"or until that worker says how it ended": batch + `
			r1 close a1
			r1 expect withdrawn a1
			r1 send done a1
			c1 expect served result
			r1 expect abandoned
			r2 expect nothing`,
		"it does not wait past its time to be sent": batch + `
			r1 close a1
			r1 expect withdrawn a1
			wait 260ms
			r1 send dropped a1
			r2 expect a1 payload written in 240ms done in 19.736s`,
		"a program that ends calls back first, and waits 2s for that at most": submit + begun + `
			program send stop
			c1 close
			r1 expect withdrawn a1
			wait 600ms
			program expect scheduler.CloseIdleClients
			program expect nothing
			wait 3s
			program expect scheduler.Shutdown`,
		"a caller that leaves after it": submit + begun + `
			c1 close
			r1 expect withdrawn a1
			r1 send done a1
			c1 expect nothing`,
		"a start told before the acceptance: the worker may have taken it": submit + `
			r1 send started a1
			c1 close
			r1 expect abandoned
			r1 expect withdrawn a1`,
		"a worker that says nothing": submit + begun + `
			wait 4.9s
			c1 expect nothing
			wait 97ms
			r1 expect withdrawn a1
			c1 expect failed
			wait 1s
			c1 expect nothing`,
		"two requests of one id would mix their news": submit + `
			c2 send a1 post sahel 5s
			c2 expect conflict a request of that id is open
			r1 send done a1
			c1 expect served result`,
		"an id is not taken again once its request is over": submit + begun + `
			r1 send done a1
			c1 expect served result
			c2 send a1 batch sahel 20s
			c2 expect conflict that id has been used
			r1 expect nothing`,
		"a rejected request is at fault, not its worker": `
			c1 send b1 batch sahel 20s
			r1 expect b1 payload written in 250ms done in 19.996s
			r1 send rejected b1
			c1 expect invalid the worker cannot use it
			c1 send b2 batch sahel 20s
			r1 expect b2 payload written in 250ms done in 19.996s
			r1 send rejected b2
			c1 expect invalid the worker cannot use it
			c1 send b3 batch sahel 20s
			r1 expect b3 payload written in 250ms done in 19.996s
			r1 send rejected b3
			c1 expect invalid the worker cannot use it
			c1 send b3 batch sahel 20s
			r1 expect b3 payload written in 250ms done in 19.996s`,
		"what makes no sense": `
			c1 send a1 nothing sahel 5s
			c1 expect invalid unknown class "nothing"
			c2 send a2 post nobody 5s
			c2 expect invalid unknown tenant "nobody"`,
		"a drained worker gets nothing new, one that is gone is let go": `
			discovery send r1=draining r2=ready
			c1 send a1 post sahel 5s
			r1 expect retired
			r1 expect nothing
			r2 expect a1 payload written in 250ms done in 4.996s
			discovery send r1=gone
			discovery send
			r1 expect nothing`,
		"who still waits as the kill comes near gets an answer": `
			c1 send a1 batch sahel 20s
			r1 expect a1 payload written in 250ms done in 19.996s
			r1 send accepted a1
			r1 send started a1
			program send stop
			wait 3399ms
			c1 expect nothing
			wait 1ms
			c1 expect failed last
			r1 expect withdrawn a1`,
		"a dead watch is opened again from where it stood": `
			discovery expect watch d1 from 1
			discovery send r2=ready
			discovery close
			discovery expect nothing
			wait 2s
			discovery expect watch d1 from 2`,
		"a watch that lives is not opened twice": `
			discovery expect watch d1 from 1
			discovery send
			wait 60s
			discovery expect nothing`,
		"a reload asks another discovery for the whole list at once, and again": submit + begun + `
			discovery expect watch d1 from 1
			discovery send r2=ready
			discovery send reload d2
			discovery expect watch d2 from 0
			discovery close
			wait 2s
			discovery expect watch d2 from 0
			discovery send
			discovery send reload d3
			discovery expect watch d3 from 0
			r1 send done a1
			c1 expect served result`,
		"a stopping scheduler serves on, then refuses, and ends with the last answer": submit + begun + `
			program send stop
			wait 500ms
			c2 send a2 batch sahel 20s
			c2 expect nothing
			wait 200ms
			program expect scheduler.CloseIdleClients
			c3 send a3 post sahel 5s
			c3 expect refused last
			r1 send done a1
			c1 expect served result last
			program expect nothing
			c2 close
			r1 send dropped a2
			program expect scheduler.Shutdown`,
		"a panic loses nobody silently, and the next is served": submit + begun + `
			program send panic
			c1 expect failed
			r1 expect withdrawn a1
			c2 send a2 post sahel 5s
			r1 expect a2 payload written in 250ms done in 4.996s
			r1 send done a2
			c2 expect served result`,
	} {
		t.Run(name, func(t *testing.T) {
			scenario.Run(t, newWorld(t), script, func(want, got string) string { return cmp.Diff(want, got) })
		})
	}
}

// Where settings allow a second copy, the module would have one of a job whose worker falls silent.
// One attempt is out at a time here, so it must not ask: each time would use up an attempt.
func TestSecondCopiesAreNotAskedFor(t *testing.T) {
	set := parsed(t, strings.Replace(testSettings, `"cancel":true`, `"cancel":true,"may_duplicate":true`, 1))
	scenario.Run(t, newWorldOf(t, set), `
		discovery send r1=ready r2=ready
		c1 send a1 batch sahel 20s
		r1 expect a1 payload written in 250ms done in 19.996s
		r1 send accepted a1
		r1 send started a1
		wait 12s
		log expect nothing
		c1 close
		r1 expect withdrawn a1`, func(want, got string) string { return cmp.Diff(want, got) })
}

// A stopping scheduler is gone before the kill, whatever its deadlines are and whether or not its
// workers hear withdrawals. Until it is gone, clients send on.
func TestTheEndComesBeforeTheKill(t *testing.T) {
	for _, longest := range []time.Duration{200 * time.Millisecond, 800 * time.Millisecond, 2 * time.Second,
		20 * time.Second} {
		t.Run(longest.String(), func(t *testing.T) {
			set := parsed(t, testSettings)
			for i := range set.Dispatch.Classes {
				set.Dispatch.Classes[i].Deadline = Micros(longest.Microseconds())
			}
			w := newWorldOf(t, set)
			kill := w.now + Micros(min(longest, 3*time.Second).Microseconds()) + killedAfter
			scenario.Run(t, w, `
				discovery send
				c1 send a1 post sahel `+longest.String()+`
				r1 send accepted a1
				program send stop
				c1 close`, nil) // its withdrawal is never heard
			for w.exit == 0 && w.now < kill {
				if err := w.Wait("10ms"); err != nil {
					t.Fatal(err)
				}
			}
			if w.exit == 0 || w.now >= kill || w.exit >= kill {
				t.Errorf("exit asked for by %v, at %v, with the kill at %v", w.exit, w.now, kill)
			}
		})
	}
}

// A module that never answers must not cost the caller its answer.
func TestDeadlineHoldsWithoutADecision(t *testing.T) {
	w := newWorld(t)
	w.step(EndpointsUpdated{List: WorkerList{Workers: []Worker{line("r1", 2)}}})
	w.callers[7] = "c1"
	late := &request{caller: 7, id: "x", job: 99, deadline: w.now + second}
	w.s.byCaller[7], w.s.byID["x"], w.s.byJob[99] = late, late, late
	heap.Push(&w.s.due, due{at: late.deadline, caller: 7})
	w.step(EndpointsUpdated{})
	scenario.Run(t, w, "wait 1s\nc1 expect failed", func(want, got string) string { return cmp.Diff(want, got) })
}

// Schedulers share nothing, yet must give a worker the same number, whatever order
// they met it in: the module reckons the owner of a cold one by it.
func TestNumbersHangOnNamesAlone(t *testing.T) {
	a, b := newWorld(t).s, newWorld(t).s
	a.apply(WorkerList{Workers: []Worker{line("s-1", 1), line("s-2", 1)}}, dispatch.UpdateDelta, 1)
	b.apply(WorkerList{Workers: []Worker{line("s-2", 1), line("s-1", 1)}}, dispatch.UpdateDelta, 1)
	for _, uid := range []string{"s-1", "s-2"} {
		if diff := cmp.Diff(a.workers[uid].number, b.workers[uid].number); diff != "" {
			t.Errorf("%s: %s", uid, diff)
		}
	}
}

// A connection may come up late. A repeat that leaves after its class's window has passed would run
// again beside the first, so it must be out by then, the time for which it waits for a recall included.
func TestARepeatLeavesWithinItsWindow(t *testing.T) {
	const short = `"memory_span":1000000`
	for name, script := range map[string]string{
		"early": `
			wait 100ms
			r1 close a1
			r1 expect withdrawn a1
			r1 send dropped a1
			r2 expect a1 payload written in 250ms done in 19.896s`,
		"shortly before its end": `
			wait 900ms
			r1 close a1
			r1 expect withdrawn a1
			r1 send dropped a1
			r2 expect a1 payload written in 88ms done in 19.096s`,
		"the recall is heard late": `
			wait 900ms
			r1 close a1
			r1 expect withdrawn a1
			wait 60ms
			r1 send dropped a1
			r2 expect a1 payload written in 28ms done in 19.036s`,
		"the recall is heard after the window": `
			wait 900ms
			r1 close a1
			r1 expect withdrawn a1
			wait 95ms
			r1 send dropped a1
			r2 expect nothing`,
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorldOf(t, parsed(t, strings.Replace(testSettings, `"memory_span":30000000`, short, 1)))
			scenario.Run(t, w, `
				c1 send a1 batch sahel 20s
				r1 expect a1 payload written in 250ms done in 19.996s
				discovery send r2=ready`+script, func(want, got string) string { return cmp.Diff(want, got) })
		})
	}
}
