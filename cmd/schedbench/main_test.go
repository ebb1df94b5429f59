package main

import (
	"encoding/json"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// lab runs the command line and returns its status and what it printed.
func runLab(t *testing.T, args ...string) (status int, out, errors string) {
	t.Helper()
	stdout, stderr := os.Stdout, os.Stderr
	defer func() { os.Stdout, os.Stderr = stdout, stderr }()
	read := func(to **os.File) func() string {
		f, err := os.Create(filepath.Join(t.TempDir(), "out"))
		if err != nil {
			t.Fatal(err)
		}
		*to = f
		return func() string {
			f.Seek(0, io.SeekStart)
			raw, err := io.ReadAll(f)
			if err != nil {
				t.Fatal(err)
			}
			f.Close()
			return string(raw)
		}
	}
	o, e := read(&os.Stdout), read(&os.Stderr)
	status = run(args)
	return status, o(), e()
}

// Wrong use is one clear line and status 2.
func TestWrongUse(t *testing.T) {
	foreign := filepath.Join(t.TempDir(), "foreign.json")
	if err := os.WriteFile(foreign, []byte(`{"a":1}`), 0o666); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ args, want string }{
		{"explore --world nowhere", `unknown world "nowhere": there are attempt, keyed`},
		{"explore --budget 0s", "--budget must be longer than nothing"},
		{"explore --budget soon", "--budget"},
		{"explore --parallel=-1", "--parallel must not be negative"},
		{"explore --replay " + foreign, "not a trace"},
		{"explore --replay /no/such/file", "no such file"},
		{"drill nothing", `unknown drill "nothing"`},
		{"drill planted --for 0s", "--for must be longer than nothing"},
		{"fly", "unexpected argument fly"},
	} {
		status, _, errors := runLab(t, strings.Fields(c.args)...)
		lines := strings.Split(strings.TrimSpace(errors), "\n")
		if last := lines[len(lines)-1]; status != misused || len(lines) != 1 || !strings.Contains(last, c.want) {
			t.Errorf("%s: status %d, %q; want one line with %q", c.args, status, errors, c.want)
		}
	}
}

// The last line is the summary, and a counterexample has status 3 and a trace that replays.
func TestExplore(t *testing.T) {
	folder := t.TempDir()
	last := func(out string) (s summary) {
		lines := strings.Split(strings.TrimSpace(out), "\n")
		if err := json.Unmarshal([]byte(lines[len(lines)-1]), &s); err != nil {
			t.Fatal(err, out)
		}
		return s
	}
	status, out, _ := runLab(t, "explore", "--world", "hole", "--out", folder)
	s := last(out)
	if status != broken || s.Violations != 1 || s.Property != "called-back" || s.Exhausted {
		t.Fatalf("status %d: %s", status, out)
	}
	status, out, _ = runLab(t, "explore", "--replay", s.Trace)
	if status != broken || !strings.Contains(out, "broken: called-back") {
		t.Errorf("status %d: %s", status, out)
	}
	status, out, _ = runLab(t, "explore", "--world", "turned", "--coverage", "--out", folder)
	if s = last(out); status != fine || !s.Exhausted || s.States < 1000 || s.Violations != 0 ||
		len(s.Missed) == 0 {
		t.Errorf("status %d: %s", status, out)
	}
	status, out, _ = runLab(t, "explore", "--walk", "--budget", "200ms", "--out", folder)
	if s = last(out); status != fine || s.World != "large" || s.States == 0 {
		t.Errorf("status %d: %s", status, out)
	}
	if status, out, _ = runLab(t, "explore", "--list"); status != fine || !strings.Contains(out,
		"one-final-answer") {
		t.Errorf("status %d: %s", status, out)
	}
	if status, out, _ = runLab(t, "drill"); status != fine || !strings.Contains(out, "planted") {
		t.Errorf("status %d: %s", status, out)
	}
}
