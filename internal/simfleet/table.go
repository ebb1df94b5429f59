package simfleet

import (
	"fmt"
	"io"
	"strings"
)

var tableHead = []string{"event", "words, entries", "processor, s", "without the base, s", "window, s",
	"of a core", "again serving, s", "most MB", "list, KB", "jobs", "us a job"}

// WriteTable writes the events of a run as a table in Markdown. The figures are of one scheduler: the mean,
// and the range where schedulers differ.
func (r *Report) WriteTable(w io.Writer) error {
	var b strings.Builder
	fmt.Fprintf(&b, "| %s |\n|%s\n", strings.Join(tableHead, " | "), strings.Repeat(" --- |", len(tableHead)))
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

// text is the mean in a unit, and the range if it shows in the format.
func (s Spread) text(format string, unit float64) string {
	low, mean, high := fmt.Sprintf(format, s.Min*unit), fmt.Sprintf(format, s.Mean*unit),
		fmt.Sprintf(format, s.Max*unit)
	if low == high {
		return mean
	}
	return fmt.Sprintf("%s (%s to %s)", mean, low, high)
}
