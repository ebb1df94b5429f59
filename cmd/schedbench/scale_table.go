package main

import (
	"fmt"
	"maps"
	"slices"

	"dahliaford/internal/emulator"
)

// scaleTable returns the report of a simulated run as rows of a table: the results in virtual time, the
// processor time and memory that the run took, the processor time of each kind of event, the counts of log
// lines, and the violations.
func scaleTable(r *emulator.Report) [][]string {
	return slices.Concat(jobRows(&r.Model), trafficRows(&r.Model), measuredRows(&r.Measured),
		eventCostRows(&r.Measured), logRows(&r.Model))
}

// formatSpread formats the median, the 99th percentile and the maximum of a distribution.
func formatSpread(s emulator.Spread) string {
	return fmt.Sprintf("%.0f / %.0f / %.0f ms", s.P50, s.P99, s.Max) // median, 99th percentile, maximum
}

// jobRows returns the rows about the run's options, the jobs, the times to start and the attempts.
func jobRows(m *emulator.Model) [][]string {
	f := fmt.Sprintf
	rows := [][]string{
		{"day", f("%s: %s", m.Day, emulator.DescribeDay(m.Day))},
		{"fleet", f("%d workers, %d schedulers, seed %d", m.Workers, m.Schedulers, m.Seed)},
		{"load", f("%.0f s of virtual time, %.0f jobs per second, %.1f s per task", m.LoadSeconds, m.RatePerSecond,
			m.MeanRunSeconds)},
		{"jobs", f("%d, of which %d served, %d failed, %d given up after refusals", m.Jobs, m.Served, m.Failed,
			m.GaveUp)},
		{"open at the end", f("%d, of which %d not running, %d of these at one scheduler", m.Unanswered,
			m.NotRunning, m.MaxNotRunningAtOneScheduler)},
		{"starts a second", f("%.0f, %d in the busiest", m.StartsPerSecond, m.PeakStartsPerSecond)},
	}
	for _, class := range emulator.Classes() {
		s := m.TimeToStart[class]
		rows = append(rows, []string{"time to start, " + class,
			f("%s (p50 / p99 / max), %d of %d, %.2f%% of them in %s", formatSpread(s), s.Count, s.Total,
				100*s.WithinObjective, emulator.StartObjective(class))})
	}
	for _, slots := range slices.Sorted(maps.Keys(m.TimeToStartBySlots)) {
		s := m.TimeToStartBySlots[slots]
		rows = append(rows, []string{"with " + slots + " slots",
			f("%s, %d of %d", formatSpread(s), s.Count, s.Total)})
	}
	return append(rows, []string{"attempts",
		f("%d, %d rejected at capacity, %d not sent, %d killed, %d cancelled", m.Attempts, m.RejectedAtCapacity,
			m.NotSent, m.KilledAttempts, m.Cancelled)})
}

// trafficRows returns the rows about messages, discovery and the distribution of worker list changes. Control
// traffic is what a scheduler exchanges with discovery; job traffic is what it exchanges with clients and
// workers.
func trafficRows(m *emulator.Model) [][]string {
	f := fmt.Sprintf
	control, jobs := &m.ControlTraffic, &m.JobTraffic
	return [][]string{
		{"control, a scheduler", f("%.0f B/s, %.0f B/s at most, %.1f KB in the busiest second, %.2f messages/s",
			control.BytesPerSecond, control.MaxBytesPerSecond, float64(control.PeakSecondBytes)/1000,
			control.MessagesPerSecond)},
		{"jobs, a scheduler", f("%.1f KB/s, %.1f KB/s at most, %.0f messages/s", jobs.BytesPerSecond/1000,
			jobs.MaxBytesPerSecond/1000, jobs.MessagesPerSecond)},
		{"discovery", f("%d full lists, %d lists of changes, %d calls refused, %d watches closed, "+
			"%.2f s busy", m.Discovery.FullLists, m.Discovery.Deltas, m.Discovery.RefusedCalls,
			m.Discovery.WatchesClosed, m.Discovery.BusySeconds)},
		{"changes", f("%d updates, %d entries; in force %s; applied %s; %d not in force, %d not applied",
			m.Changes.Updates, m.Changes.Entries, formatSpread(m.Changes.InForce), formatSpread(m.Changes.Applied),
			m.Changes.NotInForce, m.Changes.Unapplied)},
		{"violations", f("%v", m.Violations)},
	}
}

// measuredRows returns the rows about the processor time, lag and memory of the simulated schedulers. Lag and
// delays of changes are shown for a reducer with a whole core, and for one whose handling of the worker list
// (control) gets only its budget of 2.9% of a core.
func measuredRows(m *emulator.Measured) [][]string {
	f := fmt.Sprintf
	return [][]string{
		{"reducer, of a core", f("%.2f%%, %.2f%% at most; %.3f%% for control", m.CorePercent, m.MaxCorePercent,
			m.ControlCorePercent)},
		{"reducer lag, at the most", f("%.1f ms with a core, %.0f ms for control with 2.9%% of a core", m.MaxLagMs,
			m.MaxLagMsAtControlBudget)},
		{"changes, with that lag", f("%.0f ms with a core, %.0f ms with 2.9%% of a core", m.MaxChangeMs,
			m.MaxChangeMsAtControlBudget)},
		{"heap", f("%.0f KB per scheduler with its list, %.0f MB for the run", m.HeapKBPerScheduler, m.MaxHeapMB)},
		{"took", f("%.1f s on %d cores, %d events", m.WallSeconds, m.AvailableCores, m.Events)},
	}
}

// eventCostRows returns a table of the reducers' processor time by kind of event.
func eventCostRows(m *emulator.Measured) [][]string {
	f := fmt.Sprintf
	rows := [][]string{{}, {"kind of event", "count", "mean us", "p50", "p99", "max", "total s"}}
	for _, c := range m.EventCosts {
		rows = append(rows, []string{c.Kind, f("%d", c.Count), f("%.1f", c.MeanUs), f("%.1f", c.P50Us),
			f("%.1f", c.P99Us), f("%.1f", c.MaxUs), f("%.2f", c.TotalSeconds)})
	}
	return rows
}

// logRows returns the counts of log lines by text, and the first violations.
func logRows(m *emulator.Model) [][]string {
	var rows [][]string
	for _, text := range slices.Sorted(maps.Keys(m.LogLines)) {
		rows = append(rows, []string{"log: " + text, fmt.Sprint(m.LogLines[text])})
	}
	for _, finding := range m.Findings {
		rows = append(rows, []string{"violation", finding})
	}
	return rows
}
