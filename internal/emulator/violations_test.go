package emulator

import (
	"maps"
	"slices"
	"strings"
	"testing"

	"dahliaford/internal/history"
	"dahliaford/internal/scheduler"
)

// violationsOf calls scenario with an idle fleet and a request, and returns the names of the violated
// properties, sorted and separated by spaces.
func violationsOf(t *testing.T, scenario func(f *fleet, req *request)) string {
	t.Helper()
	f := newIdleFleet(t, shortRun("calm"))
	req := &request{fleet: f, id: "a", job: &clientJob{slots: 1, work: float64(f.meanRunTime)}, outstanding: 1,
		timeout: 5 * second}
	req.recordReceipt()
	scenario(f, req)
	return strings.Join(slices.Sorted(maps.Keys(f.tally.model.Violations)), " ")
}

// recordRun records the events of a successful run of the request by a worker.
func recordRun(req *request, worker string) {
	req.record(history.Event{Kind: history.Arrived, ID: "a", Actor: worker})
	req.record(history.Event{Kind: history.Started, ID: "a", Actor: worker})
	req.record(history.Event{Kind: history.Ended, ID: "a", Actor: worker, MayHaveRun: true, Result: "a"})
}

// Each check of a run reports the violation that a scenario causes, and reports nothing in similar scenarios
// without a violation.
func TestViolationsAreFound(t *testing.T) {
	served := scheduler.Answer{Verdict: scheduler.Served, Body: []byte("a")}
	failed := scheduler.Answer{Verdict: scheduler.Failed}
	for name, c := range map[string]struct {
		want     string
		scenario func(f *fleet, req *request)
	}{
		"no violation": {"", func(_ *fleet, req *request) { recordRun(req, "s1"); req.recordAnswer(served) }},
		"late answer": {"one-final-answer", func(f *fleet, req *request) {
			recordRun(req, "s1")
			f.now += 5*second + timingSlack + 1
			req.recordAnswer(served)
		}},
		"no answer": {"one-final-answer", func(f *fleet, _ *request) {
			f.now += 6 * second
			f.checkOpenRequests()
		}},
		"no run": {"honest-answers", func(_ *fleet, req *request) { req.recordAnswer(served) }},
		"refused though it ran": {"honest-answers", func(_ *fleet, req *request) {
			recordRun(req, "s1")
			req.recordAnswer(scheduler.Answer{Verdict: scheduler.Refused})
		}},
		"duplicate run": {"runs-as-allowed", func(_ *fleet, req *request) {
			recordRun(req, "s1")
			recordRun(req, "s2")
			req.recordAnswer(served)
		}},
		"duplicate attempt": {"one-attempt-outstanding", func(_ *fleet, req *request) {
			req.record(history.Event{Kind: history.Arrived, ID: "a", Actor: "s1"})
			req.record(history.Event{Kind: history.Arrived, ID: "a", Actor: "s2"})
			req.recordAnswer(failed)
		}},
		"two requests of a job run": {"runs-as-allowed", func(f *fleet, req *request) {
			f.clients.recordStart(req)
			f.clients.recordStart(&request{fleet: f, id: "b", job: req.job})
		}},
		"orphaned attempt": {"called-back", func(f *fleet, req *request) {
			req.record(history.Event{Kind: history.Arrived, ID: "a", Actor: "s1"})
			req.outstanding++
			req.recordAnswer(failed)
			f.now += Micros(f.historyRules.OrphanLimit.Microseconds()) + second
			f.checkOpenRequests()
		}},
		"sent to a worker known to drain": {"drains-kept", func(f *fleet, req *request) {
			f.discovery.notReadySince[3] = f.now
			f.now += listValidity + f.settings.DrainGrace + timingSlack + 1
			f.tally.checkSend(f.nodes[0], f.workers[3], req)
		}},
		"sent to a draining worker before the list is stale": {"", func(f *fleet, req *request) {
			f.discovery.notReadySince[3] = f.now
			f.now += listValidity
			f.tally.checkSend(f.nodes[0], f.workers[3], req)
		}},
		"overload by a scheduler that knew of the start": {"cold-spared", func(f *fleet, _ *request) {
			overload(f, true)
		}},
		"overload by a scheduler that could not know": {"", func(f *fleet, _ *request) {
			overload(f, false)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			if got := violationsOf(t, c.scenario); got != c.want {
				t.Errorf("the checks report violations of the properties %q, want %q", got, c.want)
			}
		})
	}
}

// overload has a scheduler send a worker in slow start so much work that the worker crashes. startKnown says
// whether the scheduler has received the worker's start time.
func overload(f *fleet, startKnown bool) {
	w := f.workers[0]
	w.startedAt = f.now
	n := f.nodes[0]
	if startKnown {
		n.workerStarts[w.uid] = w.startedAt
	}
	c := &conn{node: n, worker: w}
	for range 100 {
		w.checkOverload(c, &request{fleet: f, id: "x", job: &clientJob{slots: 4, work: float64(f.meanRunTime)}})
	}
	if f.tally.model.OverloadCrashes == 0 {
		f.tally.model.Violations["no overload crash"]++
	}
}

// A change of the worker list is in force at a scheduler that has applied the change, and at a scheduler
// that sends no attempts because its list is stale.
func TestChangesInForce(t *testing.T) {
	f := newIdleFleet(t, shortRun("calm"))
	f.nodes = f.nodes[:3]
	f.now += second
	f.tally.recordRevision(2, f.now-second/4, 1)
	f.now += second
	f.tally.recordChangeApplied(f.nodes[0], 2, f.now+second)
	f.now += 4 * second
	f.tally.recordChangeApplied(f.nodes[1], 2, f.now-2*second) // the scheduler's list has been stale for 2 s
	// The worker list of the third scheduler is stale, and the change does not arrive at this scheduler.
	f.nodes[2].validUntil = f.now - second
	m := f.report().Model.Changes
	if m.NotInForce != 0 || m.Unapplied != 1 || m.InForce.Max < 4240 || m.InForce.Max > 4260 {
		t.Errorf("%+v", m)
	}
	f.nodes[2].validUntil = f.now + second
	if m := f.report().Model.Changes; m.NotInForce != 1 {
		t.Errorf("%+v", m)
	}
}
