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
	Check   checkCmd   `cmd:"" help:"Check each record, and name what is broken."`
	Show    showCmd    `cmd:"" help:"Print the history of an item."`
	Backup  backupCmd  `cmd:"" help:"Copy a store that no process has open into a new file."`
	Restore restoreCmd `cmd:"" help:"Make a store of a backup, where there is none yet."`
	Compact compactCmd `cmd:"" help:"Give back the space of deleted items."`
}

type checkCmd struct {
	File string `arg:"" type:"path" help:"The store."`
}

// Run prints a line for each fault. The status is 1 if there is one.
func (c *checkCmd) Run(s *streams) error {
	items, faults, err := store.Check(c.File)
	if err != nil {
		return err
	}
	for _, fault := range faults {
		s.printf("%v\n", fault)
	}
	s.printf("%d items in order, %d faults\n", items, len(faults))
	if len(faults) > 0 {
		return exitError{status: exitFailed}
	}
	return nil
}

type showCmd struct {
	File string `arg:"" type:"path" help:"The store."`
	ID   string `arg:"" help:"The item's id."`
}

// Run prints what the record says, in the order of the events. The error is the first fault of the record.
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

// history prints an item as a table. Its lines are kept in memory: Flush reports an error of the output.
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
		h.line("now", "the attempt is in flight, as far as the store knows")
	default:
		h.line("now", "it waits")
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

// Run makes the copy.
func (c *backupCmd) Run() error { return store.BackupTo(c.File, c.Backup) }

type restoreCmd struct {
	Backup string `arg:"" type:"path" help:"The backup."`
	File   string `arg:"" type:"path" help:"The new store."`
}

// Run makes the store and prints how many items it has.
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

// Run compacts the store and prints its size, and what it was before.
func (c *compactCmd) Run(s *streams) error {
	before, after, err := store.Compact(c.File)
	if err != nil {
		return err
	}
	s.printf("%d bytes, %d before\n", after, before)
	return nil
}
