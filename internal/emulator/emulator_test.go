package emulator

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// A run of each fault scenario has no violations, and a second run with the same seed gives the same results.
func TestDays(t *testing.T) {
	for _, day := range Days() {
		t.Run(day, func(t *testing.T) {
			t.Parallel()
			r := mustRun(t, shortRun(day))
			m := r.Model
			if diff := cmp.Diff(m, mustRun(t, shortRun(day)).Model); diff != "" {
				t.Errorf("two runs with the same seed give different figures (Report.Model), want equal figures: %s",
					diff)
			}
			if !r.OK() || m.Invalid > 0 {
				t.Errorf("the run has violations %v and %d invalid answers, want none; findings: %s",
					m.Violations, m.Invalid, strings.Join(m.Findings, "\n"))
			}
			if m.Starts < m.Jobs/2 || m.Served < m.Jobs/4 || m.CheckedRequests < m.Requests-3 {
				t.Errorf(
					"%d jobs: %d started (want half), %d served (want 1/4); checked %d of %d requests (want all but 3)",
					m.Jobs, m.Starts, m.Served, m.CheckedRequests, m.Requests)
			}
			if m.Changes.NotInForce > 0 || m.Changes.InForce.Max > 8000 {
				t.Errorf("want each change of the worker list in force at all schedulers within 8 s, got %+v", m.Changes)
			}
			expectFaults(t, m)
		})
	}
}

// expectFaults checks that the figures of a run show the faults of its scenario.
func expectFaults(t *testing.T, m Model) {
	t.Helper()
	workersInZone := (m.Workers + Zones - 1) / Zones
	schedulersInRegion := m.Schedulers / Regions
	happened := map[string]bool{
		"calm": m.Changes.Updates == 0 && m.KilledAttempts == 0 && m.Discovery.WatchesClosed == 0,
		"zone": m.Changes.Entries >= workersInZone && m.KilledAttempts > 0,
		"region": m.Discovery.WatchesClosed >= schedulersInRegion &&
			m.Changes.Entries >= 2*(workersInZone-1)*ZonesPerRegion,
		"roll":      m.Changes.Entries >= 2*m.Workers*restartsPerDay/referenceWorkers,
		"discovery": m.Discovery.FullLists == m.Schedulers && m.Discovery.WatchesClosed >= m.Schedulers,
		"storm":     m.KilledAttempts > 0 && m.Changes.Entries >= 2*rackSize,
	}
	if !happened[m.Day] {
		t.Errorf("the report lacks faults of the scenario: got %d killed attempts, changes %+v, discovery %+v",
			m.KilledAttempts, m.Changes, m.Discovery)
	}
}

func TestSeedsDiffer(t *testing.T) {
	opt := shortRun("calm")
	opt.Duration = 2 * time.Second
	first := mustRun(t, opt)
	opt.Seed = 2
	if cmp.Equal(first.Model.TimeToStart, mustRun(t, opt).Model.TimeToStart) {
		t.Error("seeds 1 and 2: got equal times from submission to start of the jobs, want different times")
	}
}

// A run whose context is canceled returns an error that states the virtual time reached.
func TestContextEndsRun(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if _, err := Run(ctx, shortRun("calm")); err == nil || !strings.Contains(err.Error(), "virtual time") {
		t.Error(err)
	}
}

func TestBadOptions(t *testing.T) {
	for want, change := range map[string]func(*Options){
		"workers":    func(o *Options) { o.Workers = 0 },
		"schedulers": func(o *Options) { o.Schedulers = MaxSchedulers + 1 },
		"rate":       func(o *Options) { o.Rate = -1 },
		"time":       func(o *Options) { o.Duration = 0 },
		"task":       func(o *Options) { o.MeanRunTime = time.Microsecond },
		"day":        func(o *Options) { o.Day = "doom" },
	} {
		t.Run(want, func(t *testing.T) {
			opt := shortRun("calm")
			change(&opt)
			if _, err := Run(context.Background(), opt); err == nil || !strings.Contains(err.Error(), want) {
				t.Errorf("Run with an invalid option returns error %v, want an error that contains %q", err, want)
			}
		})
	}
}

// The settings of the schedulers agree with the behavior of the simulated workers and clients.
func TestFleetSettings(t *testing.T) {
	set, err := fleetSettings(shortRun("calm"))
	if err != nil {
		t.Fatal(err)
	}
	quota := 0.0
	for _, tenant := range set.Dispatch.Tenants {
		quota += tenant.Quota
	}
	if len(set.Dispatch.Tenants) != tenantCount || quota < 1.29*80 || quota > 1.31*80 {
		t.Errorf("got %d tenants with %v jobs/s of quota; want tenantCount and 1.3 times the job rate of 80",
			len(set.Dispatch.Tenants), quota)
	}
	d := set.Dispatch
	if !d.LoadReports || !d.StartReported || !d.CancelAllowed || !d.RetriesMarked {
		t.Errorf("%+v", d)
	}
	sum := 0.0
	for _, c := range classes {
		sum += c.fraction
	}
	for _, m := range slotMix {
		sum += m.fraction
	}
	if sum < 1.999 || sum > 2.001 || len(set.Zones) != Zones {
		t.Errorf("the job fractions of classes and slot counts add up to %v, want 2 (1 each); or a zone is missing",
			sum)
	}
}
