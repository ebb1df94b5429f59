package main

import (
	"fmt"
	"path/filepath"
	"slices"
	"strings"
	"time"
)

// report checks what the library guarantees, and shows all runs beside each other.
func (r *clientRuns) report() *report {
	rep := &report{ok: true, figures: map[string]any{}, chart: r.chart,
		table: [][]string{{"kind", "jobs", "served", "late", "tries a job", "new connections", "peak in 100 ms",
			"post-readings twice", "keys in two racks", "latest return"}}}
	for _, run := range r.all() {
		rep.table = append(rep.table, run.row())
		rep.figures[run.name] = run.figures()
		if n := run.fleet.RunCounts().Foreign; n > 0 {
			rep.figures["alien_jobs"] = n // a port was taken by a foreign one while its scheduler was away
		}
	}
	for _, run := range []*clientRun{r.library, r.faults} {
		rep.ok = rep.ok && run.keepsGuarantees()
	}
	best := slices.MaxFunc([]*clientRun{r.immediate, r.backoff}, func(a, b *clientRun) int {
		return int(a.served.total() - b.served.total())
	})
	rep.figures["goodput_against_best"] = r.library.goodput() / best.goodput()
	rep.figures["peak_against_at_once"] = float64(r.immediate.dials.peak()) /
		float64(max(r.library.dials.peak(), 1))
	return rep
}

// row is the run's row of the table.
func (r *clientRun) row() []string {
	counts := r.fleet.RunCounts()
	served := r.verdicts[verdictServed]
	return []string{r.name, fmt.Sprint(r.jobs), fmt.Sprint(served),
		fmt.Sprintf("%.1f%%", 100*float64(r.late)/float64(max(served, 1))),
		fmt.Sprintf("%.3f", r.attemptsPerJob()), fmt.Sprint(r.dials.total()), fmt.Sprint(r.dials.peak()),
		fmt.Sprint(counts.Duplicates), fmt.Sprint(counts.CrossCell),
		fmt.Sprint(r.maxOvertime.Round(time.Millisecond))}
}

// figures are the run's figures in the line of JSON.
func (r *clientRun) figures() map[string]any {
	counts := r.fleet.RunCounts()
	return map[string]any{"jobs": r.jobs, "returns": r.returns, "ends": r.verdicts, "late": r.late,
		"tries_a_job": r.attemptsPerJob(), "connections": r.dials.total(),
		"peak_connections_100ms": r.dials.peak(), "runs": counts.Total,
		"post_readings_twice": counts.Duplicates, "keys_in_two_racks": counts.CrossCell,
		"latest_return_ms": r.maxOvertime.Milliseconds(), "served_in_time": r.served.total(),
		"connections_by_s": r.dials.perSecond(), "served_by_s": r.served.perSecond()}
}

// keepsGuarantees reports whether the run kept what the library guarantees: nothing ran twice that must not,
// and each job returned by its deadline.
func (r *clientRun) keepsGuarantees() bool {
	counts := r.fleet.RunCounts()
	return counts.Duplicates == 0 && counts.CrossCell == 0 && r.returns == r.jobs &&
		r.maxOvertime <= returnGrace
}

func (r *clientRun) attemptsPerJob() float64 {
	return float64(r.attempts.Load()) / float64(max(r.jobs, 1))
}

// goodput is the part of the jobs that were served by their deadlines.
func (r *clientRun) goodput() float64 {
	return float64(r.served.total()) / float64(max(r.jobs, 1))
}

// chart draws what was served and what was dialled, second by second.
func (r *clientRuns) chart(path string) error {
	var served, dials []line
	for _, run := range r.all() {
		served = append(served, run.served.line(run.name))
		dials = append(dials, run.dials.line(run.name))
	}
	base := strings.TrimSuffix(path, filepath.Ext(path))
	title := fmt.Sprintf("%d clients, schedulers %d to %d and back", clientCount, clientSchedulers,
		remainingSchedulers)
	if err := draw(base+"-served.svg", title, "jobs served in time a second", served); err != nil {
		return err
	}
	return draw(base+"-connections.svg", title, "new connections a second", dials)
}
