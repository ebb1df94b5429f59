package main

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"dahliaford/internal/store"
	"dahliaford/internal/store/lifecycle"
)

// The store commands check, show, backup, restore and compact work on a valid store. On an invalid record, a
// store in use, a missing file or an existing backup file, they fail with an error that names the cause.
func TestStoreCommands(t *testing.T) {
	folder := t.TempDir()
	path := filepath.Join(folder, "jobs")
	s, err := store.Open(store.Config{Path: path})
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan error, 1)
	put := func(add func(store.Change) error, c store.Change) {
		t.Helper()
		c.Done = func(err error) { done <- err }
		if err := add(c); err != nil {
			t.Fatal(err)
		}
		if err := <-done; err != nil {
			t.Fatal(err)
		}
	}
	it := &lifecycle.Item{ID: "a1", Class: "post-reading", Tenant: "sahel", Body: []byte("4211"),
		Accepted: 1_000_000, Deadline: 9_000_000}
	put(s.Accept, store.Change{Item: it})
	for _, e := range []lifecycle.Event{{Kind: lifecycle.Routed, At: 2_000_000, Worker: "s-1", Rack: "north/0"},
		{Kind: lifecycle.AttemptEnded, At: 3_000_000, Outcome: lifecycle.MayHaveRun},
		{Kind: lifecycle.Answered, At: 4_000_000, Verdict: lifecycle.Failed, KeepUntil: 8_000_000}} {
		if err := it.Apply(e); err != nil {
			t.Fatal(err)
		}
	}
	put(s.Update, store.Change{Item: it})
	invalid := &lifecycle.Item{ID: "b2", Deadline: 9,
		Attempts: []lifecycle.Attempt{{At: 5, Outcome: lifecycle.MayHaveRun}, {At: 6}}}
	put(s.Accept, store.Change{Item: invalid})

	call := func(args ...string) (int, string, string) {
		var out, errs bytes.Buffer
		status := run(append([]string{"store"}, args...), nil, &out, &errs)
		return status, out.String(), errs.String()
	}
	if status, _, errs := call("check", path); status != exitFailed ||
		!strings.Contains(errs, "another process") {
		t.Errorf("check of a store in use: got exit status %d, errors %q, want exitFailed and 'another process'",
			status, errs)
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	status, out, _ := call("check", path)
	if status != exitFailed || !strings.Contains(out, `item "b2": attempt 2: an attempt may have run`) ||
		!strings.Contains(out, "1 valid items, 1 faults") {
		t.Errorf("check with an invalid item: got exit status %d, output %q, want exitFailed and one fault",
			status, out)
	}
	status, out, _ = call("show", path, "a1")
	for _, want := range []string{"00:00:01.000000  accepted: class post-reading",
		"00:00:02.000000  attempt 1: routed to s-1, rack north/0", "00:00:03.000000  attempt 1: it may have run",
		"00:00:04.000000  answered: failed"} {
		if !strings.Contains(out, want) || status != exitOK {
			t.Errorf("show of a job: got exit status %d, want 0 and the line %q in the output\n%s", status, want, out)
		}
	}
	if status, _, errs := call("show", path, "zz"); status != exitFailed ||
		!strings.Contains(errs, "no such item") {
		t.Errorf("show of an unknown item: got exit status %d, errors %q, want exitFailed and 'no such item'",
			status, errs)
	}
	backup, other := filepath.Join(folder, "backup"), filepath.Join(folder, "other")
	if status, _, errs := call("backup", path, backup); status != exitOK {
		t.Fatalf("backup: got exit status %d, errors %q, want status 0", status, errs)
	}
	if status, _, errs := call("backup", path, backup); status != exitFailed ||
		!strings.Contains(errs, "exists") {
		t.Errorf("backup to an existing file: got exit status %d, errors %q, want exitFailed and 'exists'",
			status, errs)
	}
	if status, _, errs := call("restore", backup, other); status != exitFailed ||
		!strings.Contains(errs, "not in order") {
		t.Errorf("restore with an invalid item: got exit status %d, errors %q, want exitFailed and 'not in order'",
			status, errs)
	}
	// After the invalid item is deleted all commands succeed, and the restored store has the valid item.
	if s, err = store.Open(store.Config{Path: path}); err != nil {
		t.Fatal(err)
	}
	put(s.Update, store.Change{Item: invalid, Delete: true})
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	if err := os.Remove(backup); err != nil && !errors.Is(err, os.ErrNotExist) {
		t.Fatal(err)
	}
	for _, args := range [][]string{{"backup", path, backup}, {"restore", backup, other}, {"compact", other},
		{"check", other}} {
		if status, out, errs := call(args...); status != exitOK {
			t.Errorf("command store %v: got exit status %d, output %q, errors %q, want status 0",
				args, status, out, errs)
		}
	}
	if status, out, _ := call("show", other, "a1"); status != exitOK ||
		!strings.Contains(out, "answered: failed") {
		t.Errorf("show after restore and compact: got exit status %d, output %q, want 0 and 'answered: failed'",
			status, out)
	}
	if status, _, errs := call("check", filepath.Join(folder, "none")); status != exitFailed ||
		!strings.Contains(errs, "no such file") {
		t.Errorf("check of a missing file: got exit status %d, errors %q, want exitFailed and 'no such file'",
			status, errs)
	}
}
