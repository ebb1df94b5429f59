package emulator

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// short is the short form of a day.
func short(day string) Options {
	return Options{Workers: 200, Schedulers: 20, Rate: 80, Duration: 12 * time.Second, Task: time.Second, Day: day,
		Seed: 1}
}

func play(t *testing.T, opt Options) *Report {
	t.Helper()
	r, err := Run(context.Background(), opt)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// Each day breaks no rule, and is the same again with the same seed.
func TestDays(t *testing.T) {
	for _, day := range Days() {
		t.Run(day, func(t *testing.T) {
			t.Parallel()
			r := play(t, short(day))
			m := r.Model
			if diff := cmp.Diff(m, play(t, short(day)).Model); diff != "" {
				t.Errorf("the same seed gives another run: %s", diff)
			}
			if !r.OK() || m.Invalid > 0 {
				t.Errorf("broken: %v, %d invalid; %s", m.Violations, m.Invalid, strings.Join(m.Findings, "\n"))
			}
			if m.Starts < m.Jobs/2 || m.Served < m.Jobs/4 || m.CheckedRequests < m.Requests-3 {
				t.Errorf("%d jobs, %d starts, %d served; %d of %d checked", m.Jobs, m.Starts, m.Served, m.CheckedRequests,
					m.Requests)
			}
			if m.Changes.NotInForce > 0 || m.Changes.InForce.Max > 8000 {
				t.Errorf("changes not in force in time: %+v", m.Changes)
			}
			befallen(t, m)
		})
	}
}

// befallen tells whether the day's troubles came about.
func befallen(t *testing.T, m Model) {
	t.Helper()
	inZone := (m.Workers + Zones - 1) / Zones
	schedulersInRegion := m.Schedulers / Regions
	happened := map[string]bool{
		"calm":      m.Changes.Updates == 0 && m.KilledAttempts == 0 && m.Discovery.WatchesClosed == 0,
		"zone":      m.Changes.Entries >= inZone && m.KilledAttempts > 0,
		"region":    m.Discovery.WatchesClosed >= schedulersInRegion && m.Changes.Entries >= 2*(inZone-1)*ZonesPerRegion,
		"roll":      m.Changes.Entries >= 2*m.Workers*restartsPerDay/referenceWorkers,
		"discovery": m.Discovery.FullLists == m.Schedulers && m.Discovery.WatchesClosed >= m.Schedulers,
		"storm":     m.KilledAttempts > 0 && m.Changes.Entries >= 2*rackSize,
	}
	if !happened[m.Day] {
		t.Errorf("the day did not befall the fleet: %d killed, %+v, %+v", m.KilledAttempts, m.Changes, m.Discovery)
	}
}

// Another seed is another run.
func TestSeeds(t *testing.T) {
	opt := short("calm")
	opt.Duration = 2 * time.Second
	a := play(t, opt)
	if opt.Seed = 2; cmp.Equal(a.Model.TimeToStart, play(t, opt).Model.TimeToStart) {
		t.Error("two seeds give the same run")
	}
}

// A run that is no longer wanted ends, and says how far it came.
func TestGivenUp(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if _, err := Run(ctx, short("calm")); err == nil || !strings.Contains(err.Error(), "virtual time") {
		t.Error(err)
	}
}

func TestOptions(t *testing.T) {
	for want, change := range map[string]func(*Options){
		"workers":    func(o *Options) { o.Workers = 0 },
		"schedulers": func(o *Options) { o.Schedulers = MaxSchedulers + 1 },
		"rate":       func(o *Options) { o.Rate = -1 },
		"time":       func(o *Options) { o.Duration = 0 },
		"task":       func(o *Options) { o.Task = time.Microsecond },
		"day":        func(o *Options) { o.Day = "doom" },
	} {
		opt := short("calm")
		change(&opt)
		if _, err := Run(context.Background(), opt); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v", want, err)
		}
	}
}

// What each scheduler is told of its settings is what is meant.
func TestSettings(t *testing.T) {
	set, err := fleetSettings(short("calm"))
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
	if !set.Dispatch.LoadReports || !set.Dispatch.StartReported || !set.Dispatch.CancelAllowed || !set.Dispatch.RetriesMarked {
		t.Errorf("%+v", set.Dispatch)
	}
	part := 0.0
	for _, c := range classes {
		part += c.fraction
	}
	for _, g := range slotMix {
		part += g.fraction
	}
	if part < 1.999 || part > 2.001 || len(set.Zones) != Zones {
		t.Errorf("the parts come to %v", part)
	}
}
