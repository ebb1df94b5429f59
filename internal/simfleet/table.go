package simfleet

import (
	"fmt"
	"io"
	"strings"
)

var tableHeader = []string{"event", "updates, entries", "CPU time, s", "CPU time above base load, s",
	"window, s", "CPU use of a core", "recovery, s", "peak MB", "list, KB", "jobs", "CPU us per job"}

// WriteTable writes the events of a run as a table in Markdown. A cell shows the mean over the schedulers,
// with minimum and maximum in parentheses where schedulers differ.
func (r *Report) WriteTable(w io.Writer) error {
	var b strings.Builder
	fmt.Fprintf(&b, "| %s |\n|%s\n", strings.Join(tableHeader, " | "),
		strings.Repeat(" --- |", len(tableHeader)))
	for _, e := range r.Events {
		updates, perJob, recovery := "", "", ""
		if e.Updates+e.Entries > 0 {
			updates = fmt.Sprintf("%d, %d", e.Updates, e.Entries)
		}
		if e.CPUPerJob > 0 {
			perJob = fmt.Sprintf("%.0f", float64(e.CPUPerJob))
		}
		if e.RecoverySeconds.Max > 0 {
			recovery = e.RecoverySeconds.text("%.2f", 1)
		}
		name := e.Name
		if !e.Settled {
			name += " (not settled)"
		}
		fmt.Fprintf(&b, "| %s | %s | %s | %.3f | %.1f | %.2f%% | %s | %.1f | %s | %d | %s |\n", name, updates,
			e.CPUSeconds.text("%.3f", 1), e.NetCPUSeconds, e.Window, 100*e.CoreFraction, recovery, e.PeakMemoryMB,
			e.ListBytes.text("%.1f", 1e-3), e.Jobs, perJob)
	}
	_, err := io.WriteString(w, b.String())
	return err
}

// text formats the mean multiplied by unit, followed by minimum and maximum if they differ when formatted.
func (s Spread) text(format string, unit float64) string {
	low, mean, high := fmt.Sprintf(format, s.Min*unit), fmt.Sprintf(format, s.Mean*unit),
		fmt.Sprintf(format, s.Max*unit)
	if low == high {
		return mean
	}
	return fmt.Sprintf("%s (%s to %s)", mean, low, high) // mean (minimum to maximum)
}
