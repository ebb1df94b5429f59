package main

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"runtime/debug"
	"slices"
	"strings"
	"time"

	"gonum.org/v1/plot/plotter"

	"dahliaford/internal/emulator"
	"dahliaford/internal/simfleet"
)

// scaleCmd runs a fleet at size: hollow in virtual time, or with real schedulers on loopback.
type scaleCmd struct {
	Workers    int           `help:"Workers of the fleet." default:"200"`
	Schedulers int           `help:"Schedulers of the fleet." default:"30"`
	Rate       float64       `help:"Jobs a second of all clients; 0: 0.6 of what the workers carry." default:"0"`
	For        time.Duration `help:"How long the load is on, in virtual time." default:"60s"`
	Seed       uint64        `help:"Seed of all that is left to chance." default:"1"`
	Day        string        `help:"One of calm, zone, region, roll, discovery and storm." default:"calm"`
	Task       time.Duration `help:"Mean run of a job on a standard machine." default:"13s"`
	Real       int           `help:"So many real schedulers on loopback, instead of hollow ones." default:"0"`
	JSON       bool          `name:"json" help:"Only the line of JSON."`
	Keep       string        `help:"Folder to keep the tables and the charts in." type:"path"`
}

const (
	scaleMemory = 6 << 30 // bytes of heap, where the collector begins to work harder
	scaleWithin = time.Hour
	mostReal    = 64
	realZones   = 14 // that real schedulers are shown, two of them a region
)

func (c *scaleCmd) Run() error {
	opt := emulator.Options{Workers: c.Workers, Schedulers: c.Schedulers, Rate: c.Rate, Duration: c.For, Seed: c.Seed,
		Day: c.Day, Task: c.Task}
	if c.Day == "" {
		return misuse("unknown day %q: there are %s", c.Day, strings.Join(emulator.Days(), ", "))
	}
	if err := opt.Check(); err != nil {
		return misuse("%v", err)
	}
	switch {
	case c.Real < 0 || c.Real > mostReal:
		return misuse("--real must be 0 to %d", mostReal)
	case c.Real > 0:
		ctx, cancel := context.WithTimeout(context.Background(), scaleWithin)
		defer cancel()
		return runReal(ctx, os.Stdout, simfleet.Options{Schedulers: c.Real, Fleet: max(c.Schedulers, c.Real),
			Workers: c.Workers, Zones: min(c.Workers, realZones), Rate: c.Rate, Duration: c.For, Seed: c.Seed,
			Day: c.Day})
	}
	defer debug.SetMemoryLimit(debug.SetMemoryLimit(scaleMemory))
	ctx, cancel := context.WithTimeout(context.Background(), scaleWithin)
	defer cancel()
	found, err := emulator.Run(ctx, opt)
	if err != nil {
		return err
	}
	r := &report{ok: found.OK(), table: scaleTable(found), chart: scaleChart(found)}
	raw, err := json.Marshal(struct {
		Scale string `json:"scale"`
		OK    bool   `json:"ok"`
		*emulator.Report
	}{c.Day, r.ok, found})
	if err != nil {
		return err
	}
	if !c.JSON {
		printTable(os.Stdout, r.table)
	}
	if c.Keep != "" {
		if err := r.keep(c.Keep, fmt.Sprintf("scale-%s-%dx%d", c.Day, c.Schedulers, c.Workers), raw); err != nil {
			return err
		}
	}
	fmt.Println(string(raw))
	if !r.ok {
		return exit{status: broken}
	}
	return nil
}

// scaleTable shows the figures of a run in lines.
func scaleTable(r *emulator.Report) [][]string {
	m, on := &r.Model, &r.Measured
	f := fmt.Sprintf
	spread := func(s emulator.Spread) string {
		return f("%.0f / %.0f / %.0f ms", s.P50, s.P99, s.Max)
	}
	t := [][]string{
		{"day", f("%s: %s", m.Day, emulator.DescribeDay(m.Day))},
		{"fleet", f("%d workers, %d schedulers, seed %d", m.Workers, m.Schedulers, m.Seed)},
		{"load", f("%.0f s of virtual time, %.0f jobs a second, %.1f s a task", m.LoadSeconds, m.RatePerSecond, m.TaskSeconds)},
		{"jobs", f("%d, of which %d served, %d failed, %d given up after refusals", m.Jobs, m.Served, m.Failed,
			m.GaveUp)},
		{"open at the end", f("%d, of which %d not running, %d of these at one scheduler", m.Unanswered, m.NotRunning,
			m.MaxNotRunningAtOne)},
		{"starts a second", f("%.0f, %d in the busiest", m.StartsPerSecond, m.PeakStartsPerSecond)},
	}
	for _, class := range emulator.Classes() {
		s := m.TimeToStart[class]
		t = append(t, []string{"time to start, " + class, f("%s (p50 / p99 / max), %d of %d, %.2f%% of them in %s",
			spread(s), s.Count, s.Total, 100*s.WithinObjective, emulator.StartObjective(class))})
	}
	for _, slots := range slices.Sorted(maps.Keys(m.TimeToStartBySlots)) {
		s := m.TimeToStartBySlots[slots]
		t = append(t, []string{"with " + slots + " slots", f("%s, %d of %d", spread(s), s.Count, s.Total)})
	}
	t = append(t, [][]string{
		{"attempts", f("%d, %d turned away, %d turned back, %d killed, %d withdrawn", m.Attempts, m.RejectedAtCapacity,
			m.NotSent, m.KilledAttempts, m.Cancelled)},
		{"control, a scheduler", f("%.0f B/s, %.0f B/s at the most, %.1f KB in the worst second, %.2f messages/s",
			m.ControlTraffic.BytesPerSecond, m.ControlTraffic.MaxBytesPerSecond, float64(m.ControlTraffic.PeakSecondBytes)/1000, m.ControlTraffic.MessagesPerSecond)},
		{"work, a scheduler", f("%.1f KB/s, %.1f KB/s at the most, %.0f messages/s", m.JobTraffic.BytesPerSecond/1000,
			m.JobTraffic.MaxBytesPerSecond/1000, m.JobTraffic.MessagesPerSecond)},
		{"discovery", f("%d whole lists, %d changes asked for, %d calls refused, %d watches lost, %.2f s busy",
			m.Discovery.FullLists, m.Discovery.Deltas, m.Discovery.RefusedCalls, m.Discovery.WatchesClosed, m.Discovery.BusySeconds)},
		{"changes", f("%d words, %d entries; in force %s; applied %s; open %d, unread %d", m.Changes.Updates,
			m.Changes.Entries, spread(m.Changes.InForce), spread(m.Changes.Applied), m.Changes.NotInForce,
			m.Changes.Unapplied)},
		{"rules broken", f("%v", m.Violations)},
		{"reducer, of a core", f("%.2f%%, %.2f%% at the most; %.3f%% for control", on.CorePercent, on.MaxCorePercent,
			on.ControlCorePercent)},
		{"reducer behind, at the most", f("%.1f ms with a core, %.0f ms for control with 2.9%% of one",
			on.MaxLagMs, on.MaxLagMsAtControlBudget)},
		{"changes with that time", f("%.0f ms with a core, %.0f ms with 2.9%% of one", on.MaxChangeMs, on.MaxChangeMsAtControlBudget)},
		{"heap", f("%.0f KB a scheduler with its list, %.0f MB the whole run", on.HeapKBPerScheduler, on.MaxHeapMB)},
		{"took", f("%.1f s on %d cores, %d events", on.WallSeconds, on.AvailableCores, on.Events)},
		{},
		{"kind of event", "count", "mean us", "p50", "p99", "max", "total s"}}...)
	for _, k := range on.EventCosts {
		t = append(t, []string{k.Kind, f("%d", k.Count), f("%.1f", k.MeanUs), f("%.1f", k.P50Us), f("%.1f", k.P99Us),
			f("%.1f", k.MaxUs), f("%.2f", k.TotalSeconds)})
	}
	for _, text := range slices.Sorted(maps.Keys(m.LogLines)) {
		t = append(t, []string{"log: " + text, f("%d", m.LogLines[text])})
	}
	for _, text := range m.Findings {
		t = append(t, []string{"broken", text})
	}
	return t
}

// scaleChart draws starts and refusals, and what control took, second by second.
func scaleChart(r *emulator.Report) chart {
	return func(path string) error {
		base := strings.TrimSuffix(path, filepath.Ext(path))
		title := fmt.Sprintf("%s: %d schedulers, %d workers", r.Model.Day, r.Model.Schedulers, r.Model.Workers)
		if err := draw(base+"-starts.svg", title, "a second", []line{perSecond("starts", r.Series.Starts),
			perSecond("refusals", r.Series.Refused)}); err != nil {
			return err
		}
		each := 1 / float64(r.Model.Schedulers)
		return draw(base+"-control.svg", title, "a scheduler and second", []line{
			scaled("KB of control", r.Series.ControlKB, each),
			scaled("ms of processor time", r.Series.CoreSeconds, 1000*each)})
	}
}

func perSecond(name string, counts []int) line {
	values := make([]float64, len(counts))
	for i, n := range counts {
		values[i] = float64(n)
	}
	return scaled(name, values, 1)
}

func scaled(name string, values []float64, by float64) line {
	l := line{name: name}
	for s, v := range values {
		l.points = append(l.points, plotter.XY{X: float64(s), Y: v * by})
	}
	return l
}
