package main

import (
	"errors"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"dahliaford/internal/store"
	"dahliaford/internal/store/lifecycle"
)

type storeCmd struct {
	Check   checkCmd   `cmd:"" help:"Check each record and print the faults."`
	Show    showCmd    `cmd:"" help:"Print the history of a stored job."`
	Backup  backupCmd  `cmd:"" help:"Copy a store into a new file; no process may have the store open."`
	Restore restoreCmd `cmd:"" help:"Create a store from a backup; the file must not exist yet."`
	Compact compactCmd `cmd:"" help:"Release the disk space of deleted jobs."`
}

type checkCmd struct {
	File string `arg:"" type:"path" help:"The store."`
}

// Run checks a job store. It prints a line for each fault of the store, and a summary. The exit status is 1
// if there is a fault.
func (c *checkCmd) Run(s *streams) error {
	items, faults, err := store.Check(c.File)
	if err != nil {
		return err
	}
	for _, fault := range faults {
		s.printf("%v\n", fault)
	}
	s.printf("%d valid items, %d faults\n", items, len(faults))
	if len(faults) > 0 {
		return exitError{status: exitFailed}
	}
	return nil
}

type showCmd struct {
	File string `arg:"" type:"path" help:"The store."`
	ID   string `arg:"" help:"The job's id."`
}

// Run prints the events that the record of a job holds, in the order in which they happened. The error is
// the first fault of the record.
func (c *showCmd) Run(s *streams) error {
	r, err := store.OpenReader(c.File)
	if err != nil {
		return err
	}
	defer closeReadOnly(r)
	it, err := r.Find(c.ID)
	if err != nil {
		return fmt.Errorf("item %q: %w", c.ID, err)
	}
	h := history{tabwriter.NewWriter(s.out, 0, 0, 2, ' ', 0)}
	h.print(it)
	return errors.Join(h.Flush(), it.Check())
}

// history prints an item, that is, a stored job, as a table. The lines are buffered in memory until Flush,
// which reports the errors of writing the output.
type history struct{ *tabwriter.Writer }

func (h history) line(label, format string, args ...any) {
	_, _ = io.WriteString(h, label+"\t"+fmt.Sprintf(format, args...)+"\n")
}

func (h history) print(it *lifecycle.Item) {
	h.line(showTime(it.Accepted), "accepted: class %s, tenant %q, key %q, %d bytes, until %s", it.Class,
		it.Tenant, it.Key, len(it.Body), showMillis(it.Deadline))
	for i, attempt := range it.Attempts {
		h.line(showTime(attempt.At), "attempt %d: routed to %s, rack %s", i+1, attempt.Worker, attempt.Rack)
		if attempt.Outcome != lifecycle.Unfinished {
			h.line(showTime(attempt.Ended), "attempt %d: %v", i+1, attempt.Outcome)
		}
	}
	switch {
	case it.Verdict != lifecycle.None:
		h.line(showTime(it.Answered), "answered: %v, %d bytes, readable until %s", it.Verdict, len(it.Result),
			showMillis(it.KeepUntil))
	case it.Outstanding():
		h.line("now", "the last attempt is in flight: the store has no record of its end")
	default:
		h.line("now", "the job waits for an attempt")
	}
}

func showTime(at lifecycle.Micros) string {
	return time.UnixMicro(int64(at)).UTC().Format("2006-01-02 15:04:05.000000")
}

func showMillis(at lifecycle.Micros) string {
	return time.UnixMicro(int64(at)).UTC().Format("2006-01-02 15:04:05.000")
}

type backupCmd struct {
	File   string `arg:"" type:"path" help:"The store."`
	Backup string `arg:"" type:"path" help:"The new file."`
}

// Run copies the job store to the backup file.
func (c *backupCmd) Run() error { return store.BackupTo(c.File, c.Backup) }

type restoreCmd struct {
	Backup string `arg:"" type:"path" help:"The backup."`
	File   string `arg:"" type:"path" help:"The new store."`
}

// Run creates a job store from the backup file and prints the number of restored items.
func (c *restoreCmd) Run(s *streams) error {
	n, err := store.Restore(c.Backup, c.File)
	if err != nil {
		return err
	}
	s.printf("%d items restored\n", n)
	return nil
}

type compactCmd struct {
	File string `arg:"" type:"path" help:"The store."`
}

// Run compacts the store and prints the size of its file after and before, in bytes.
func (c *compactCmd) Run(s *streams) error {
	before, after, err := store.Compact(c.File)
	if err != nil {
		return err
	}
	s.printf("%d bytes after compaction, %d bytes before\n", after, before)
	return nil
}
