package scheduler

import (
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

// harness runs a scheduler on a simulated clock, driven by a scenario script. It records each effect as a
// line of text in the output of the actor that the effect concerns: a client, a worker, discovery, the
// program or the log.
type harness struct {
	scheduler       *Scheduler
	now             Micros
	timerAt         Micros               // the time that the last SetTimer effect requested; 0: no timer is set
	exitDeadline    Micros               // the deadline of the Shutdown effect; 0: there has been no such effect
	output          map[string][]string  // recorded lines that the script has not matched yet, by actor
	latestAttempt   map[string]AttemptID // the latest attempt of each request, by request id
	workerOfAttempt map[AttemptID]string // the UID of the worker to which an attempt was sent
	callerNames     map[CallerID]string  // the actor that submitted a request
}

func parseSettings(t *testing.T, text string) settings.Settings {
	t.Helper()
	set, err := settings.Parse([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return set
}

func newHarness(t *testing.T) *harness {
	t.Helper()
	return newHarnessWithSettings(t, parseSettings(t, testSettings))
}

// newHarnessWithSettings returns a harness whose scheduler has the given settings and knows one ready
// worker, r1.
func newHarnessWithSettings(t *testing.T, set settings.Settings) *harness {
	t.Helper()
	s, err := New(set, 1)
	if err != nil {
		t.Fatal(err)
	}
	w := &harness{scheduler: s, now: 1000 * second, output: map[string][]string{},
		latestAttempt: map[string]AttemptID{}, workerOfAttempt: map[AttemptID]string{},
		callerNames: map[CallerID]string{}}
	known := WorkerList{Revision: 1, Complete: true, Workers: []Worker{testWorker("r1", 1)}}
	w.step(Started{Discovery: "d1", CachedList: known})
	return w
}

func testWorker(uid string, status dispatch.Status) Worker {
	return Worker{UID: uid, Addr: uid, Zone: "north", Kind: "m1", Status: status}
}

func (w *harness) step(e Event) { w.record(w.scheduler.Step(w.now, e, nil)) }

func (w *harness) record(effects []Effect) {
	appendLine := func(who, format string, args ...any) {
		w.output[who] = append(w.output[who], strings.TrimSpace(fmt.Sprintf(format, args...)))
	}
	for _, e := range effects {
		switch e := e.(type) {
		case SendAttempt:
			w.latestAttempt[e.RequestID], w.workerOfAttempt[e.Attempt] = e.Attempt, e.WorkerUID
			appendLine(e.WorkerUID, "%s %v written in %v done in %v", e.RequestID, e.Payload,
				w.timeUntil(e.WriteDeadline), w.timeUntil(e.Deadline))
		case CloseConnection:
			appendLine(w.workerOfAttempt[e.Attempt], "connection closed")
		case CancelAttempt:
			appendLine(e.Addr, "cancel %s", e.RequestID)
		case Answer:
			verdict := [...]string{"served", "refused", "failed", "invalid", "conflict"}[e.Verdict]
			last := map[bool]string{true: "last"}[e.FinalForConnection]
			appendLine(w.callerNames[e.Caller], "%s%s%s", verdict, withLeadingSpace(string(e.Body)),
				withLeadingSpace(last))
		case OpenWatch:
			appendLine("discovery", "watch %s from %d", e.Addr, e.Revision)
		case StopUsingWorker:
			appendLine(e.Addr, "stop using")
		case Shutdown:
			w.exitDeadline = e.Deadline
			appendLine("program", "%T", e)
		case CloseIdleClients:
			appendLine("program", "%T", e)
		case Log:
			if e.Warn {
				appendLine("log", "%s", e.Text)
			}
		case SetTimer:
			w.timerAt = e.At
		}
	}
}

func withLeadingSpace(text string) string {
	if text == "" {
		return ""
	}
	return " " + text
}

func (w *harness) timeUntil(at Micros) time.Duration {
	return time.Duration(at-w.now) * time.Microsecond
}

func (w *harness) Wait(text string) error {
	span, err := time.ParseDuration(text)
	for end := w.now + Micros(span.Microseconds()); ; {
		if w.timerAt == 0 || w.timerAt > end {
			w.now = end
			return err
		}
		w.now, w.timerAt = max(w.now, w.timerAt), 0
		w.step(TimerFired{})
	}
}

func (w *harness) Actor(name string) scenario.Actor { return actor{w, name} }

type actor struct {
	*harness
	name string
}

func (a actor) Expect(string) (string, error) {
	queue := a.output[a.name]
	if len(queue) == 0 {
		return "nothing", nil
	}
	a.output[a.name] = queue[1:]
	return queue[0], nil
}

func (a actor) Close(text string) error {
	switch {
	case a.name == "discovery":
		a.step(WatchClosed{})
	case a.name[0] == 'r': // an actor named r... is a worker: its connection breaks after the attempt was sent
		a.step(AttemptEnded{Attempt: a.latestAttempt[text], Outcome: dispatch.Reset})
	default:
		for caller, name := range a.callerNames {
			if name == a.name {
				a.step(ClientDisconnected{Caller: caller})
			}
		}
	}
	return nil
}

func (a actor) Send(text string) error {
	fields := strings.Fields(text)
	switch {
	case a.name == "program":
		if fields[0] == "panic" {
			a.scheduler.dispatcher = nil
			a.panicAndRecover()
			return nil
		}
		a.step(ShutdownRequested{})
	case a.name == "discovery" && strings.HasPrefix(text, "reload "):
		a.step(Reloaded{Discovery: fields[1]})
	case a.name == "discovery":
		list := WorkerList{Revision: 2}
		for _, field := range fields {
			uid, state, _ := strings.Cut(field, "=")
			list.Workers = append(list.Workers, testWorker(uid, statuses[state]))
		}
		a.step(EndpointsUpdated{List: list})
	case a.name[0] == 'r':
		a.workerEvent(fields[0], fields[1])
	default:
		caller := CallerID(len(a.callerNames) + 1)
		a.callerNames[caller] = a.name
		patience, err := time.ParseDuration(fields[3])
		a.step(Submitted{Caller: caller, RequestID: fields[0], Class: fields[1], Tenant: fields[2],
			Deadline: a.now + Micros(patience.Microseconds()), Slots: 1, Payload: "payload"})
		return err
	}
	return nil
}

// panicAndRecover lets the dispatcher panic in Step and calls Recover, as the production program does.
func (a actor) panicAndRecover() {
	defer func() {
		_ = recover() // catches the panic that the scenario has requested
		effects, _ := a.scheduler.Recover(a.now)
		a.record(effects)
	}()
	a.step(WatchClosed{})
}

var statuses = map[string]dispatch.Status{
	"ready": dispatch.Ready, "draining": dispatch.Draining, "removed": dispatch.Removed,
}

var outcomes = map[string]dispatch.Outcome{
	"error": dispatch.Failed, "at-capacity": dispatch.AtCapacity, "connect-failed": dispatch.ConnectFailed,
}

var callbackKinds = map[string]CallbackKind{
	"started": CallbackStarted, "done": CallbackDone, "failed": CallbackFailed,
	"handed-back": CallbackHandedBack, "aborted": CallbackAborted,
}

func (a actor) workerEvent(name, id string) {
	if outcome, ok := outcomes[name]; ok {
		a.step(AttemptEnded{Attempt: a.latestAttempt[id], Outcome: outcome})
		return
	}
	switch name {
	case "rejected":
		a.step(AttemptRejected{Attempt: a.latestAttempt[id]})
	case "acknowledged", "unacknowledged":
		a.step(CancellationResult{Attempt: a.latestAttempt[id], Acknowledged: name == "acknowledged"})
	case "accepted":
		a.step(AttemptAccepted{Attempt: a.latestAttempt[id]})
	default:
		a.step(Callback{RequestID: id, WorkerUID: a.name, Kind: callbackKinds[name], Result: []byte("result")})
	}
}

func TestScenarios(t *testing.T) {
	const submit, started = `
		c1 send a1 post sahel 5s
		r1 expect a1 payload written in 250ms done in 4.996s`, `
		r1 send accepted a1
		r1 send started a1`
	const batch = `
		c1 send a1 batch sahel 20s
		r1 expect a1 payload written in 250ms done in 19.996s
		discovery send r2=ready`
	const retried = "\nr2 expect a1 payload written in 250ms done in 19.996s"
	for name, script := range map[string]string{
		"a request is served once": submit + started + `
			r1 send done a1
			c1 expect served result
			r1 send done a1
			r1 send failed a1
			c1 expect nothing`,
		"a callback with the result arrives before the start and the acceptance": submit + `
			r1 send done a1
			c1 expect served result
			r1 send started a1
			r1 send accepted a1
			r1 expect connection closed
			r1 expect nothing`,
		"a callback from a worker that does not hold the attempt is ignored": submit + started + `
			r9 send done a1
			c1 expect nothing
			r1 send done a1
			c1 expect served result`,
		"a connection that breaks after the acceptance does not end the attempt": submit + started + `
			r1 close a1
			c1 expect nothing
			r1 send done a1
			c1 expect served result`,
		"a request whose connection broke before the acceptance fails, as its job may have run": submit + `
			r1 close a1
			c1 expect failed`,
		"a request whose worker reported an error fails, as its job may have run": submit + `
			r1 send error a1
			c1 expect failed`,
		"a request whose job was aborted fails, as the job may have run": submit + started + `
			r1 send aborted a1
			c1 expect failed`,
		"a job refused by a worker at capacity is retried at another worker": batch + `
			r1 send at-capacity a1` + retried + `
			c1 expect nothing`,
		"a job that a worker handed back is retried at another worker": batch + `
			r1 send accepted a1
			r1 send handed-back a1` + retried,
		"a job is retried at another worker if the connection could not be opened": batch + `
			r1 send connect-failed a1` + retried,
		"a request is refused as soon as the dispatcher abandons its job": `
			discovery send r1=draining
			c1 send a1 post sahel 5s
			c1 expect nothing
			wait 1s
			c1 expect refused`,
		"a request whose deadline has passed is refused at once": `
			c1 send a1 post sahel 0s
			c1 expect refused
			r1 expect nothing`,
		"an attempt is cancelled at the worker if its caller disconnects before the acceptance": submit + `
			c1 close
			r1 expect connection closed
			r1 expect cancel a1
			r1 send acknowledged a1
			wait 5s
			r1 expect nothing`,
		"a failed cancellation is retried until it is acknowledged": submit + started + `
			c1 close
			r1 expect cancel a1
			r1 send unacknowledged a1
			r1 expect nothing
			wait 250ms
			r1 expect cancel a1
			wait 1s
			r1 expect connection closed
			wait 500ms
			r1 expect cancel a1
			r1 send acknowledged a1
			wait 30s
			r1 expect nothing`,
		"a retry is deferred until the cancellation of the first attempt is acknowledged": batch + `
			r1 close a1
			r1 expect cancel a1
			r2 expect nothing
			r1 send acknowledged a1
			r2 expect a1 payload written in 250ms done in 19.996s`,
		"a result of the first attempt answers the request while the retry is deferred": batch + `
			r1 close a1
			r1 expect cancel a1
			r1 send done a1
			c1 expect served result
			r1 expect connection closed
			r2 expect nothing`,
		"a new retry replaces one that was deferred past its write deadline": batch + `
			r1 close a1
			r1 expect cancel a1
			wait 260ms
			r1 send acknowledged a1
			r2 expect a1 payload written in 240ms done in 19.736s`,
		"a shutdown waits 2s at most for an open cancellation": submit + started + `
			program send stop
			c1 close
			r1 expect cancel a1
			wait 600ms
			program expect scheduler.CloseIdleClients
			program expect nothing
			wait 3s
			program expect scheduler.Shutdown`,
		"an accepted attempt is cancelled if its caller disconnects": submit + started + `
			c1 close
			r1 expect cancel a1
			r1 send done a1
			c1 expect nothing`,
		"an attempt whose start is reported before its acceptance is cancelled at a disconnect": submit + `
			r1 send started a1
			c1 close
			r1 expect connection closed
			r1 expect cancel a1`,
		"a request fails before its deadline if its worker reports no end": submit + started + `
			wait 4.9s
			c1 expect nothing
			wait 97ms
			r1 expect cancel a1
			c1 expect failed
			wait 1s
			c1 expect nothing`,
		"a second request with the id of an open one is rejected": submit + `
			c2 send a1 post sahel 5s
			c2 expect conflict a request of that id is open
			r1 send done a1
			c1 expect served result`,
		"a request with the id of an answered one is rejected": submit + started + `
			r1 send done a1
			c1 expect served result
			c2 send a1 batch sahel 20s
			c2 expect conflict that id has been used
			r1 expect nothing`,
		"a rejected request does not count as a failure of its worker": `
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
		"submissions with an unknown class or tenant are rejected": `
			c1 send a1 nothing sahel 5s
			c1 expect invalid unknown class "nothing"
			c2 send a2 post nobody 5s
			c2 expect invalid unknown tenant "nobody"`,
		"a draining or removed worker gets no new attempt": `
			discovery send r1=draining r2=ready
			c1 send a1 post sahel 5s
			r1 expect stop using
			r1 expect nothing
			r2 expect a1 payload written in 250ms done in 4.996s
			discovery send r1=removed
			discovery send
			r1 expect nothing`,
		"a request that is still open shortly before the kill is answered": `
			c1 send a1 batch sahel 20s
			r1 expect a1 payload written in 250ms done in 19.996s
			r1 send accepted a1
			r1 send started a1
			program send stop
			wait 3399ms
			c1 expect nothing
			wait 1ms
			c1 expect failed last
			r1 expect cancel a1`,
		"a closed watch is opened again from the known revision": `
			discovery expect watch d1 from 1
			discovery send r2=ready
			discovery close
			discovery expect nothing
			wait 2s
			discovery expect watch d1 from 2`,
		"no second watch is opened while one is open": `
			discovery expect watch d1 from 1
			discovery send
			wait 60s
			discovery expect nothing`,
		"a reload requests the complete list from the new discovery at once, and retries": submit + started + `
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
		"a stopping scheduler first serves, then refuses, and exits after the last answer": submit + started + `
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
			r1 send acknowledged a2
			program expect scheduler.Shutdown`,
		"a panic fails the open requests, and the next request is served": submit + started + `
			program send panic
			c1 expect failed
			r1 expect cancel a1
			c2 send a2 post sahel 5s
			r1 expect a2 payload written in 250ms done in 4.996s
			r1 send done a2
			c2 expect served result`,
	} {
		t.Run(name, func(t *testing.T) {
			scenario.Run(t, newHarness(t), script, func(want, got string) string { return cmp.Diff(want, got) })
		})
	}
}

// Where the settings allow hedging, a dispatcher requests a hedged attempt for a job whose worker reports no
// more progress. The reducer keeps one attempt of a request live and would suppress the hedged attempt, which
// would still count against the job's maximum number of attempts. The dispatcher must not request it.
func TestHedgedAttemptsAreNotRequested(t *testing.T) {
	text := strings.Replace(testSettings, `"cancel":true`, `"cancel":true,"may_duplicate":true`, 1)
	set := parseSettings(t, text)
	scenario.Run(t, newHarnessWithSettings(t, set), `
		discovery send r1=ready r2=ready
		c1 send a1 batch sahel 20s
		r1 expect a1 payload written in 250ms done in 19.996s
		r1 send accepted a1
		r1 send started a1
		wait 12s
		log expect nothing
		c1 close
		r1 expect cancel a1`, func(want, got string) string { return cmp.Diff(want, got) })
}

// A stopping scheduler must exit before the time at which its process may be killed, for any class deadline
// and even if a worker does not acknowledge a cancellation. Clients send requests to the scheduler until it
// exits, and a kill would leave the requests unanswered.
func TestShutdownEndsBeforeKill(t *testing.T) {
	for _, longest := range []time.Duration{200 * time.Millisecond, 800 * time.Millisecond, 2 * time.Second,
		20 * time.Second} {
		t.Run(longest.String(), func(t *testing.T) {
			set := parseSettings(t, testSettings)
			for i := range set.Dispatch.Classes {
				set.Dispatch.Classes[i].Deadline = Micros(longest.Microseconds())
			}
			w := newHarnessWithSettings(t, set)
			kill := w.now + Micros(min(longest, 3*time.Second).Microseconds()) + killGrace
			scenario.Run(t, w, `
				discovery send
				c1 send a1 post sahel `+longest.String()+`
				r1 send accepted a1
				program send stop
				c1 close`, nil) // the worker never acknowledges the cancellation
			for w.exitDeadline == 0 && w.now < kill {
				if err := w.Wait("10ms"); err != nil {
					t.Fatal(err)
				}
			}
			if w.exitDeadline == 0 || w.now >= kill || w.exitDeadline >= kill {
				t.Errorf("got exit deadline %v us (0: none) at time %v us, want both before the kill at %v us",
					w.exitDeadline, w.now, kill)
			}
		})
	}
}

// A request must be answered at its deadline even if the dispatcher has not decided on it.
func TestDeadlineHoldsWithoutDecision(t *testing.T) {
	w := newHarness(t)
	w.step(EndpointsUpdated{List: WorkerList{Workers: []Worker{testWorker("r1", 2)}}})
	w.callerNames[7] = "c1"
	undecided := &request{caller: 7, id: "x", job: 99, deadline: w.now + second}
	w.scheduler.byCaller[7], w.scheduler.byID["x"], w.scheduler.byJob[99] = undecided, undecided, undecided
	w.scheduler.addTimer(timer{at: undecided.deadline, kind: requestDeadline, id: 7})
	w.step(EndpointsUpdated{})
	scenario.Run(t, w, "wait 1s\nc1 expect failed", func(want, got string) string { return cmp.Diff(want, got) })
}

// Schedulers share no state, but all must give a worker the same number, in whatever order discovery lists
// the workers to them: from the number, each dispatcher computes which dispatchers may send to a worker in
// slow start.
func TestWorkerNumberDependsOnUIDOnly(t *testing.T) {
	a, b := newHarness(t).scheduler, newHarness(t).scheduler
	a.applyUpdate(WorkerList{Workers: []Worker{testWorker("s-1", 1), testWorker("s-2", 1)}},
		dispatch.UpdateDelta, 1)
	b.applyUpdate(WorkerList{Workers: []Worker{testWorker("s-2", 1), testWorker("s-1", 1)}},
		dispatch.UpdateDelta, 1)
	for _, uid := range []string{"s-1", "s-2"} {
		if diff := cmp.Diff(a.workers[uid].number, b.workers[uid].number); diff != "" {
			t.Errorf("worker %s: want the same number for both orders of the worker list, got the difference %s",
				uid, diff)
		}
	}
}

// A retry must be written before the deduplication window of its class ends, because workers would later not
// recognize it as a repetition and run the job again. The limit includes the time for which the retry is
// deferred by a cancellation and the time that its connection takes to open.
func TestRetryIsSentWithinDedupWindow(t *testing.T) {
	const short = `"memory_span":1000000`
	for name, script := range map[string]string{
		"early": `
			wait 100ms
			r1 close a1
			r1 expect cancel a1
			r1 send acknowledged a1
			r2 expect a1 payload written in 250ms done in 19.896s`,
		"shortly before the end of the window": `
			wait 900ms
			r1 close a1
			r1 expect cancel a1
			r1 send acknowledged a1
			r2 expect a1 payload written in 88ms done in 19.096s`,
		"the cancellation is acknowledged late": `
			wait 900ms
			r1 close a1
			r1 expect cancel a1
			wait 60ms
			r1 send acknowledged a1
			r2 expect a1 payload written in 28ms done in 19.036s`,
		"the cancellation is acknowledged after the window": `
			wait 900ms
			r1 close a1
			r1 expect cancel a1
			wait 95ms
			r1 send acknowledged a1
			r2 expect nothing`,
	} {
		t.Run(name, func(t *testing.T) {
			w := newHarnessWithSettings(t, parseSettings(t,
				strings.Replace(testSettings, `"memory_span":30000000`, short, 1)))
			scenario.Run(t, w, `
				c1 send a1 batch sahel 20s
				r1 expect a1 payload written in 250ms done in 19.996s
				discovery send r2=ready`+script, func(want, got string) string { return cmp.Diff(want, got) })
		})
	}
}
