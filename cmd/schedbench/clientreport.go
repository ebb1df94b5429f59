package main

import (
	"fmt"
	"path/filepath"
	"slices"
	"strings"
	"time"
)

// report returns the results of the desk drill, with a table row for each run, which is a group of clients of
// one kind. The drill fails if a run with the client library breaks a guarantee of the library.
func (r *clientRuns) report() *report {
	rep := &report{ok: true, figures: map[string]any{}, chart: r.chart,
		table: [][]string{{"kind", "jobs", "served", "late", "tries a job", "new connections", "peak in 100 ms",
			"post-readings twice", "keys in two racks", "late repeats", "latest return"}}}
	for _, run := range r.all() {
		rep.table = append(rep.table, run.row())
		rep.figures[run.name] = run.figures()
		if n := run.fleet.RunCounts().Foreign; n > 0 {
			// The workers ran jobs of clients outside the run. Such jobs can arrive if a process of another fleet
			// listens on the port of a stopped scheduler.
			rep.figures["alien_jobs"] = n
		}
	}
	for _, run := range []*clientRun{r.library, r.faults, r.connections} {
		rep.ok = rep.ok && run.meetsGuarantees()
	}
	best := slices.MaxFunc([]*clientRun{r.immediate, r.backoff}, func(a, b *clientRun) int {
		return int(a.served.total() - b.served.total())
	})
	rep.figures["goodput_against_best"] = r.library.goodput() / best.goodput()
	rep.figures["peak_against_at_once"] = float64(r.immediate.dials.peak()) /
		float64(max(r.library.dials.peak(), 1))
	return rep
}

// row returns the row of the run, a group of clients of one kind, in the table of the desk drill, which
// compares the client library with plain clients.
func (r *clientRun) row() []string {
	counts := r.fleet.RunCounts()
	served := r.verdicts[verdictServed]
	return []string{r.name, fmt.Sprint(r.jobs), fmt.Sprint(served),
		fmt.Sprintf("%.1f%%", 100*float64(r.servedLate)/float64(max(served, 1))),
		fmt.Sprintf("%.3f", r.attemptsPerJob()), fmt.Sprint(r.dials.total()), fmt.Sprint(r.dials.peak()),
		fmt.Sprint(counts.Duplicates), fmt.Sprint(counts.CrossCell),
		fmt.Sprint(r.lateRepeats()),
		fmt.Sprint(r.maxDeadlineOverrun.Round(time.Millisecond))}
}

// figures returns the results of the run for the desk drill's line of JSON.
func (r *clientRun) figures() map[string]any {
	counts := r.fleet.RunCounts()
	return map[string]any{"jobs": r.jobs, "returns": r.returned, "ends": r.verdicts, "late": r.servedLate,
		"tries_a_job": r.attemptsPerJob(), "connections": r.dials.total(),
		"peak_connections_100ms": r.dials.peak(), "runs": counts.Total,
		"post_readings_twice": counts.Duplicates, "keys_in_two_racks": counts.CrossCell,
		"late_repeats":     r.lateRepeats(),
		"latest_return_ms": r.maxDeadlineOverrun.Milliseconds(), "served_in_time": r.served.total(),
		"connections_by_s": r.dials.perSecond(), "served_by_s": r.served.perSecond()}
}

// meetsGuarantees reports whether the client library kept its guarantees in the run: no job ran more often
// than its effect class allows, no job was repeated after its window, and each job returned by its deadline,
// within returnGrace. Runs that record when their clients write may repeat jobs in any cell.
func (r *clientRun) meetsGuarantees() bool {
	counts := r.fleet.RunCounts()
	mayCrossCells := r.recorders != nil
	return counts.Duplicates == 0 && (counts.CrossCell == 0 || mayCrossCells) &&
		r.lateRepeats() == 0 && r.returned == r.jobs &&
		r.maxDeadlineOverrun <= returnGrace
}

// attemptsPerJob returns the mean number of attempts that a client sent for each job.
func (r *clientRun) attemptsPerJob() float64 {
	return float64(r.attempts.Load()) / float64(max(r.jobs, 1))
}

// goodput returns the fraction of the jobs that were served by their deadlines.
func (r *clientRun) goodput() float64 {
	return float64(r.served.total()) / float64(max(r.jobs, 1))
}

// chart draws two charts: the jobs served in time and the new connections, each per second.
func (r *clientRuns) chart(path string) error {
	var served, dials []chartLine
	for _, run := range r.all() {
		served = append(served, run.served.chartLine(run.name))
		dials = append(dials, run.dials.chartLine(run.name))
	}
	base := strings.TrimSuffix(path, filepath.Ext(path))
	title := fmt.Sprintf("%d clients; %d schedulers, reduced to %d and restored", clientCount, clientSchedulers,
		remainingSchedulers)
	if err := drawLines(base+"-served.svg", title, "jobs served in time per second", served); err != nil {
		return err
	}
	return drawLines(base+"-connections.svg", title, "new connections per second", dials)
}
