package main

import (
	"errors"
	"fmt"
	"text/tabwriter"
	"time"

	"dahliaford/internal/store"
	"dahliaford/internal/store/lifecycle"
)

type storeCmd struct {
	Check   checkCmd   `cmd:"" help:"Check each record, and name what is broken."`
	Show    showCmd    `cmd:"" help:"Tell an item's life in order."`
	Backup  backupCmd  `cmd:"" help:"Copy a store that no process has open into a new file."`
	Restore restoreCmd `cmd:"" help:"Make a store of a backup, where there is none yet."`
	Compact compactCmd `cmd:"" help:"Give space back that deleted items took."`
}

type checkCmd struct {
	File string `arg:"" type:"path" help:"The store."`
}

// Run prints a line for each fault. Status 1: there are some.
func (c *checkCmd) Run(s *streams) error {
	items, faults, err := store.Check(c.File)
	if err != nil {
		return err
	}
	for _, f := range faults {
		fmt.Fprintln(s.out, f)
	}
	fmt.Fprintf(s.out, "%d items in order, %d faults\n", items, len(faults))
	if len(faults) > 0 {
		return exitError{status: exitFailed}
	}
	return nil
}

type showCmd struct {
	File string `arg:"" type:"path" help:"The store."`
	ID   string `arg:"" help:"The item's id."`
}

// Run prints what the record says, in the order in which it came about.
func (c *showCmd) Run(s *streams) error {
	r, err := store.OpenReader(c.File)
	if err != nil {
		return err
	}
	defer r.Close()
	it, err := r.Find(c.ID)
	if err != nil {
		return fmt.Errorf("item %q: %w", c.ID, err)
	}
	t := tabwriter.NewWriter(s.out, 0, 0, 2, ' ', 0)
	line := func(at lifecycle.Micros, format string, args ...any) {
		fmt.Fprintf(t, "%s\t%s\n", time.UnixMicro(int64(at)).UTC().Format("2006-01-02 15:04:05.000000"),
			fmt.Sprintf(format, args...))
	}
	line(it.Accepted, "accepted: class %s, tenant %q, key %q, %d bytes, until %s", it.Class, it.Tenant, it.Key,
		len(it.Body), time.UnixMicro(int64(it.Deadline)).UTC().Format("2006-01-02 15:04:05.000"))
	for i, a := range it.Attempts {
		line(a.At, "attempt %d: routed to %s, rack %s", i+1, a.Worker, a.Rack)
		if a.Outcome != lifecycle.Unfinished {
			line(a.Ended, "attempt %d: %v", i+1, a.Outcome)
		}
	}
	if it.Verdict != lifecycle.None {
		line(it.Answered, "answered: %v, %d bytes, kept until %s", it.Verdict, len(it.Result),
			time.UnixMicro(int64(it.KeepUntil)).UTC().Format("2006-01-02 15:04:05.000"))
	} else if it.Outstanding() {
		fmt.Fprintln(t, "now\tthe attempt has not ended, as far as the store knows")
	} else {
		fmt.Fprintln(t, "now\tit waits")
	}
	return errors.Join(t.Flush(), it.Check())
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

// Run makes the store.
func (c *restoreCmd) Run(s *streams) error {
	n, err := store.Restore(c.Backup, c.File)
	if err == nil {
		fmt.Fprintf(s.out, "%d items restored\n", n)
	}
	return err
}

type compactCmd struct {
	File string `arg:"" type:"path" help:"The store."`
}

// Run compacts.
func (c *compactCmd) Run(s *streams) error {
	before, after, err := store.Compact(c.File)
	if err == nil {
		fmt.Fprintf(s.out, "%d bytes, %d before\n", after, before)
	}
	return err
}
