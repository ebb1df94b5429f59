package emulator

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// Each day violates no rule, and is the same again with the same seed.
func TestDays(t *testing.T) {
	for _, day := range Days() {
		t.Run(day, func(t *testing.T) {
			t.Parallel()
			r := mustRun(t, shortDay(day))
			m := r.Model
			if diff := cmp.Diff(m, mustRun(t, shortDay(day)).Model); diff != "" {
				t.Errorf("the same seed gives another run: %s", diff)
			}
			if !r.OK() || m.Invalid > 0 {
				t.Errorf("violations: %v, %d invalid; %s", m.Violations, m.Invalid, strings.Join(m.Findings, "\n"))
			}
			if m.Starts < m.Jobs/2 || m.Served < m.Jobs/4 || m.CheckedRequests < m.Requests-3 {
				t.Errorf("%d jobs, %d starts, %d served; %d of %d checked", m.Jobs, m.Starts, m.Served,
					m.CheckedRequests, m.Requests)
			}
			if m.Changes.NotInForce > 0 || m.Changes.InForce.Max > 8000 {
				t.Errorf("changes not in force in time: %+v", m.Changes)
			}
			expectFaults(t, m)
		})
	}
}

// expectFaults checks that the faults of the day have happened.
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
		t.Errorf("the faults of the day did not happen: %d killed, %+v, %+v", m.KilledAttempts, m.Changes,
			m.Discovery)
	}
}

func TestSeedsDiffer(t *testing.T) {
	opt := shortDay("calm")
	opt.Duration = 2 * time.Second
	first := mustRun(t, opt)
	opt.Seed = 2
	if cmp.Equal(first.Model.TimeToStart, mustRun(t, opt).Model.TimeToStart) {
		t.Error("two seeds give the same run")
	}
}

// A run whose context ends fails, and says how far it came.
func TestContextEndsRun(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if _, err := Run(ctx, shortDay("calm")); err == nil || !strings.Contains(err.Error(), "virtual time") {
		t.Error(err)
	}
}

func TestBadOptions(t *testing.T) {
	for want, change := range map[string]func(*Options){
		"workers":    func(o *Options) { o.Workers = 0 },
		"schedulers": func(o *Options) { o.Schedulers = MaxSchedulers + 1 },
		"rate":       func(o *Options) { o.Rate = -1 },
		"time":       func(o *Options) { o.Duration = 0 },
		"task":       func(o *Options) { o.Task = time.Microsecond },
		"day":        func(o *Options) { o.Day = "doom" },
	} {
		t.Run(want, func(t *testing.T) {
			opt := shortDay("calm")
			change(&opt)
			if _, err := Run(context.Background(), opt); err == nil || !strings.Contains(err.Error(), want) {
				t.Errorf("%v, want an error with %q", err, want)
			}
		})
	}
}

// The settings that the schedulers get say what the simulated workers and clients do.
func TestFleetSettings(t *testing.T) {
	set, err := fleetSettings(shortDay("calm"))
	if err != nil {
		t.Fatal(err)
	}
	quota := 0.0
	for _, tenant := range set.Dispatch.Tenants {
		quota += tenant.Quota
	}
	if len(set.Dispatch.Tenants) != teamCount || quota < 1.29*80 || quota > 1.31*80 {
		t.Errorf("%d teams with %v jobs a second", len(set.Dispatch.Tenants), quota)
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
		t.Errorf("the fractions of classes and of slots come to %v together, want 2", sum)
	}
}
