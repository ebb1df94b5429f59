package emulator

import (
	"cmp"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"dahliaford/internal/dispatch"
	"dahliaford/internal/endpoints"
	"dahliaford/internal/history"
	"dahliaford/internal/scheduler"
)

// Events come in the order of their times, and of those for one time in the order of asking.
func TestQueue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type asked struct {
			at Micros
			n  int
		}
		var q eventQueue
		var want, got []asked
		for n, at := range rapid.SliceOfN(rapid.Int64Range(0, 20), 0, 200).Draw(t, "times") {
			e := asked{Micros(at), n}
			want = append(want, e)
			q.push(e.at, func() { got = append(got, e) })
		}
		slices.SortStableFunc(want, func(a, b asked) int { return cmp.Compare(a.at, b.at) })
		for e, ok := q.pop(); ok; e, ok = q.pop() {
			e.action()
		}
		if !slices.Equal(got, want) {
			t.Fatalf("got %v, want %v", got, want)
		}
	})
}

// still is a fleet whose events nobody asked for yet, for a look at one part.
func still(t *testing.T) *fleet {
	t.Helper()
	f, err := newFleet(short("calm"))
	if err != nil {
		t.Fatal(err)
	}
	f.events, f.now = eventQueue{}, f.atFraction(0)
	return f
}

// until plays all that is to happen until a time.
func (f *fleet) until(at Micros) {
	for len(f.events.heap) > 0 && f.events.heap[0].at <= at {
		e, _ := f.events.pop()
		f.now = e.at
		e.action()
	}
	f.now = at
}

// A cut holds what would cross it, and nothing else; it goes on its way once the cut ends.
func TestCut(t *testing.T) {
	f := still(t)
	came := map[string]Micros{}
	f.network.cutRegion = 3
	for name, way := range map[string][2]int{"within": {6, 7}, "out": {6, 0}, "in": {0, 7}, "beside": {0, 13}} {
		f.network.send(way[0], way[1], 0, func() { came[name] = f.now })
	}
	f.until(f.atFraction(0) + second)
	if len(came) != 2 || came["within"] == 0 || came["beside"] == 0 {
		t.Errorf("came during the cut: %v", came)
	}
	f.network.heal()
	f.until(f.atFraction(0) + 2*second)
	if came["out"] < f.atFraction(0)+second || came["in"] < f.atFraction(0)+second {
		t.Errorf("came after the cut: %v", came)
	}
}

// Delays grow from within a zone over its region to others.
func TestDelays(t *testing.T) {
	f := still(t)
	for _, c := range []struct {
		from, to    int
		least, most Micros
	}{{0, 0, 250, 300}, {0, 1, 900, 1080}, {0, 2, 17_000, 20_400}, {0, 13, 17_000, 20_400},
		{0, 7, 39_000, 46_800}} {
		for range 100 {
			if d := f.network.delay(c.from, c.to); d < c.least || d > c.most {
				t.Errorf("from %d to %d: %d, want %d to %d", c.from, c.to, d, c.least, c.most)
			}
		}
	}
}

// Discovery sends what changed after a version, or all if it does not know.
func TestDeltas(t *testing.T) {
	f := still(t)
	d := f.discovery
	for _, i := range []int{4, 2, 4} {
		w := f.workers[i]
		s := endpoints.Draining
		if d.table.At(i).State == s {
			s = endpoints.Ready
		}
		d.setState(w, s)
		f.until(f.now + batchInterval)
	}
	if rev := d.table.Revision(); rev != 4 {
		t.Fatalf("version %d after three words", rev)
	}
	for rev, want := range map[int64]string{0: "all", 1: "s2 s4", 2: "s2 s4", 3: "s4", 4: "", 9: "all"} {
		got := "all"
		if table := workerList(d.table.Since(rev)); !table.Complete {
			var names []string
			for _, r := range table.Workers {
				names = append(names, map[string]string{f.workers[2].uid: "s2", f.workers[4].uid: "s4"}[r.UID])
			}
			got = strings.Join(names, " ")
		} else if len(table.Workers) != len(f.workers) {
			t.Errorf("%d of %d workers in the whole list", len(table.Workers), len(f.workers))
		}
		if got != want {
			t.Errorf("since %d: %q, want %q", rev, got, want)
		}
	}
	d.restart(second)
	f.until(f.now + second)
	if !d.table.Since(4).Complete || d.table.Since(5).Complete {
		t.Error("after a restart it should know of nothing before")
	}
}

// Many calls at once wait their turn, and those that would wait too long are refused.
func TestCallsWaitTheirTurn(t *testing.T) {
	f := still(t)
	d, n := f.discovery, f.nodes[0]
	const calls = 600
	var all []*watch
	for range calls {
		s := &watch{node: n, released: true}
		all = append(all, s)
		d.handleCall(s, 0)
	}
	each := callTime + Micros(float64(messageBytes(workerList(d.table.Full())))/bytesPerMicro)
	fit := int(maxCallWait/each) + 1
	if got := d.fleet.tally.discovery; got.FullLists != fit || got.RefusedCalls != calls-fit {
		t.Errorf("%d answered, %d refused of %d; want %d answered", got.FullLists, got.RefusedCalls, calls, fit)
	}
	f.until(f.now + maxCallWait/2)
	if open := len(d.watches); open < fit/2-2 || open > fit/2+2 {
		t.Errorf("%d of %d open after half of the time", open, fit)
	}
	d.restart(second)
	if len(d.watches)+len(d.queuedCalls) != 0 || all[0].connected {
		t.Error("watches live on over a restart")
	}
	f.until(f.now + 3*maxCallWait)
	if len(d.watches) != 0 {
		t.Error("a call from before the restart is answered after it")
	}
}

// broken plays something on a quiet fleet and returns the rules that it breaks.
func brokenBy(t *testing.T, do func(f *fleet, req *request)) string {
	t.Helper()
	f := still(t)
	req := &request{fleet: f, id: "a", job: &clientJob{slots: 1, work: float64(f.task)}, outstanding: 1, timeout: 5 * second}
	req.received()
	do(f, req)
	var names []string
	for name := range f.tally.model.Violations {
		names = append(names, name)
	}
	return strings.Join(slices.Sorted(slices.Values(names)), " ")
}

// The checks see what they are there for.
func TestBrokenRulesAreFound(t *testing.T) {
	served := scheduler.Answer{Verdict: scheduler.Served, Body: []byte("a")}
	ran := func(req *request, who string) {
		req.record(history.Event{Kind: history.Arrived, ID: "a", Actor: who})
		req.record(history.Event{Kind: history.Started, ID: "a", Actor: who})
		req.record(history.Event{Kind: history.Ended, ID: "a", Actor: who, MayHaveRun: true, Result: "a"})
	}
	for name, c := range map[string]struct {
		want string
		do   func(f *fleet, req *request)
	}{
		"as it should be": {"", func(f *fleet, req *request) { ran(req, "s1"); req.recordAnswer(served) }},
		"late": {"one-final-answer", func(f *fleet, req *request) {
			ran(req, "s1")
			f.now += 5*second + timingSlack + 1
			req.recordAnswer(served)
		}},
		"never": {"one-final-answer", func(f *fleet, req *request) {
			f.now += 6 * second
			f.checkOpenRequests()
		}},
		"no result": {"honest-answers", func(f *fleet, req *request) { req.recordAnswer(served) }},
		"refused though it ran": {"honest-answers", func(f *fleet, req *request) {
			ran(req, "s1")
			req.recordAnswer(scheduler.Answer{Verdict: scheduler.Refused})
		}},
		"runs twice": {"runs-as-allowed", func(f *fleet, req *request) {
			ran(req, "s1")
			ran(req, "s2")
			req.recordAnswer(served)
		}},
		"second copy": {"one-attempt-outstanding", func(f *fleet, req *request) {
			req.record(history.Event{Kind: history.Arrived, ID: "a", Actor: "s1"})
			req.record(history.Event{Kind: history.Arrived, ID: "a", Actor: "s2"})
			req.recordAnswer(scheduler.Answer{Verdict: scheduler.Failed})
		}},
		"another try runs, too": {"runs-as-allowed", func(f *fleet, req *request) {
			f.clients.jobStarted(req)
			f.clients.jobStarted(&request{fleet: f, id: "b", job: req.job})
		}},
		"held for nobody": {"called-back", func(f *fleet, req *request) {
			req.record(history.Event{Kind: history.Arrived, ID: "a", Actor: "s1"})
			req.outstanding++
			req.recordAnswer(scheduler.Answer{Verdict: scheduler.Failed})
			f.now += Micros(f.historyRules.OrphanLimit.Microseconds()) + second
			f.checkOpenRequests()
		}},
		"sent to one told off": {"drains-kept", func(f *fleet, req *request) {
			f.discovery.notReadySince[3] = f.now
			f.now += staleAfter + f.settings.DrainGrace + timingSlack + 1
			f.tally.checkSend(f.nodes[0], f.workers[3], req)
		}},
		"sent to one that may not know": {"", func(f *fleet, req *request) {
			f.discovery.notReadySince[3] = f.now
			f.now += staleAfter
			f.tally.checkSend(f.nodes[0], f.workers[3], req)
		}},
		"pushed over": {"cold-spared", func(f *fleet, req *request) { push(f, true) }},
		"pushed over by those who could not know": {"", func(f *fleet, req *request) { push(f, false) }},
	} {
		if got := brokenBy(t, c.do); got != c.want {
			t.Errorf("%s: broken %q, want %q", name, got, c.want)
		}
	}
}

// push has a cold worker sent more than it may get.
func push(f *fleet, knew bool) {
	w := f.workers[0]
	w.startedAt = f.now
	n := f.nodes[0]
	if knew {
		n.workerStarts[w.uid] = w.startedAt
	}
	c := &conn{node: n, worker: w}
	for range 100 {
		w.checkOverload(c, &request{fleet: f, id: "x", job: &clientJob{slots: 4, work: float64(f.task)}})
	}
	if f.tally.model.OverloadCrashes == 0 {
		f.tally.model.Violations["not pushed over"]++
	}
}

// A change is in force where it is applied, or where nothing is sent for want of news.
func TestInForce(t *testing.T) {
	f := still(t)
	f.nodes = f.nodes[:3]
	f.now += second
	f.tally.published(2, f.now-second/4, 1)
	f.now += second
	f.tally.changeApplied(f.nodes[0], 2, f.now+second)
	f.now += 4 * second
	f.tally.changeApplied(f.nodes[1], 2, f.now-2*second) // sent nothing for two seconds
	f.nodes[2].validUntil = f.now - second               // never hears of it, and sends nothing
	m := f.report().Model.Changes
	if m.NotInForce != 0 || m.Unapplied != 1 || m.InForce.Max < 4240 || m.InForce.Max > 4260 {
		t.Errorf("%+v", m)
	}
	f.nodes[2].validUntil = f.now + second
	if m := f.report().Model.Changes; m.NotInForce != 1 {
		t.Errorf("%+v", m)
	}
}

// A worker runs as many jobs as it has slots, queues some, and turns the rest away.
func TestWorkerIsFull(t *testing.T) {
	f := still(t)
	w, n := f.workers[0], f.nodes[0]
	const jobs = 60 // of one slot: 14 run, 28 wait
	for i := range jobs {
		req := &request{fleet: f, id: string(rune('A' + i)), number: i, outstanding: 1,
			job: &clientJob{slots: 1, work: float64(second)}}
		req.received()
		c := &conn{node: n, worker: w}
		c.Assign(scheduler.AttemptID(i+1), false)
		w.receive(c, req)
	}
	if w.usedSlots != 14 || len(w.queue) != 28 || f.tally.model.RejectedAtCapacity != jobs-42 {
		t.Errorf("%v run, %d wait, %d turned away", w.usedSlots, len(w.queue), f.tally.model.RejectedAtCapacity)
	}
	w.cancel("A")
	if w.usedSlots != 14 || len(w.queue) != 27 {
		t.Errorf("after a withdrawal %v run and %d wait", w.usedSlots, len(w.queue))
	}
	w.crash()
	f.until(f.now + second)
	if !w.idle() || f.discovery.table.At(0).State != endpoints.Removed || f.tally.model.KilledAttempts != 41 {
		t.Errorf("a dead worker holds %d, is listed as %s; %d killed", len(w.attempts), f.discovery.table.At(0).State,
			f.tally.model.KilledAttempts)
	}
	w.boot()
	f.until(f.now + second)
	if l := workerList(f.discovery.table.Full()).Workers[0]; l.UID != w.uid || l.Status != dispatch.Ready ||
		l.Started != w.startedAt || w.speedFraction() >= 1 {
		t.Errorf("after its start it is listed as %+v, with warmth %v", l, w.speedFraction())
	}
}
