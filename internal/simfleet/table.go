package simfleet

import (
	"fmt"
	"io"
	"strings"
)

// Table writes the events of a run as a table in Markdown: figures of a scheduler, the least and the
// most of all where they differ.
func (r *Report) Table(w io.Writer) error {
	var b strings.Builder
	head := []string{"event", "words, entries", "processor, s", "without the base, s", "window, s", "of a core",
		"again serving, s", "most MB", "list, KB", "jobs", "us a job"}
	fmt.Fprintf(&b, "| %s |\n|%s\n", strings.Join(head, " | "), strings.Repeat(" --- |", len(head)))
	for _, e := range r.Events {
		told, job := "", ""
		if e.Words+e.Entries > 0 {
			told = fmt.Sprintf("%d, %d", e.Words, e.Entries)
		}
		if e.PerJob > 0 {
			job = fmt.Sprintf("%.0f", float64(e.PerJob))
		}
		resume := ""
		if e.Resume.Most > 0 {
			resume = e.Resume.text("%.2f", 1)
		}
		name := e.Name
		if !e.Settled {
			name += " (not settled)"
		}
		fmt.Fprintf(&b, "| %s | %s | %s | %.3f | %.1f | %.2f%% | %s | %.1f | %s | %d | %s |\n", name, told,
			e.Processor.text("%.3f", 1), e.Net, e.Window, 100*e.Core, resume, e.MemoryMB,
			e.ListBytes.text("%.1f", 1e-3), e.Jobs, job)
	}
	_, err := io.WriteString(w, b.String())
	return err
}

func (s Spread) text(format string, unit float64) string {
	least, mean, most := fmt.Sprintf(format, s.Least*unit), fmt.Sprintf(format, s.Mean*unit),
		fmt.Sprintf(format, s.Most*unit)
	if least == most {
		return mean
	}
	return fmt.Sprintf("%s (%s to %s)", mean, least, most)
}
