package simfleet

import (
	"fmt"
	"io"
	"strings"
)

// WriteTable writes the events of a run as a table in Markdown: figures of a scheduler, the least and the
// most of all where they differ.
func (r *Report) WriteTable(w io.Writer) error {
	var b strings.Builder
	head := []string{"event", "words, entries", "processor, s", "without the base, s", "window, s", "of a core",
		"again serving, s", "most MB", "list, KB", "jobs", "us a job"}
	fmt.Fprintf(&b, "| %s |\n|%s\n", strings.Join(head, " | "), strings.Repeat(" --- |", len(head)))
	for _, e := range r.Events {
		told, job := "", ""
		if e.Updates+e.Entries > 0 {
			told = fmt.Sprintf("%d, %d", e.Updates, e.Entries)
		}
		if e.CPUPerJob > 0 {
			job = fmt.Sprintf("%.0f", float64(e.CPUPerJob))
		}
		resume := ""
		if e.RecoverySeconds.Max > 0 {
			resume = e.RecoverySeconds.text("%.2f", 1)
		}
		name := e.Name
		if !e.Settled {
			name += " (not settled)"
		}
		fmt.Fprintf(&b, "| %s | %s | %s | %.3f | %.1f | %.2f%% | %s | %.1f | %s | %d | %s |\n", name, told,
			e.CPUSeconds.text("%.3f", 1), e.NetCPUSeconds, e.Window, 100*e.CoreShare, resume, e.PeakMemoryMB,
			e.ListBytes.text("%.1f", 1e-3), e.Jobs, job)
	}
	_, err := io.WriteString(w, b.String())
	return err
}

func (s Spread) text(format string, unit float64) string {
	least, mean, most := fmt.Sprintf(format, s.Min*unit), fmt.Sprintf(format, s.Mean*unit),
		fmt.Sprintf(format, s.Max*unit)
	if least == most {
		return mean
	}
	return fmt.Sprintf("%s (%s to %s)", mean, least, most)
}
