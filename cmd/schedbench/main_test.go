package main

import (
	"encoding/json"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// runCommand runs the command line. It returns the exit status and the contents of standard output and
// standard error.
func runCommand(t *testing.T, args ...string) (status int, out, errors string) {
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
			if _, err := f.Seek(0, io.SeekStart); err != nil {
				t.Fatal(err)
			}
			raw, err := io.ReadAll(f)
			if err != nil {
				t.Fatal(err)
			}
			if err := f.Close(); err != nil {
				t.Fatal(err)
			}
			return string(raw)
		}
	}
	o, e := read(&os.Stdout), read(&os.Stderr)
	status = run(args)
	return status, o(), e()
}

// TestUsageErrors checks that an invalid command line prints one line that names the error, and exits with
// status 2.
func TestUsageErrors(t *testing.T) {
	foreign := filepath.Join(t.TempDir(), "foreign.json")
	if err := os.WriteFile(foreign, []byte(`{"a":1}`), 0o666); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ args, want string }{
		{"modelcheck --world nowhere", `unknown world "nowhere": there are attempt, keyed`},
		{"modelcheck --budget 0s", "--budget must be longer than 0s"},
		{"modelcheck --budget soon", "--budget"},
		{"modelcheck --parallel=-1", "--parallel must not be negative"},
		{"modelcheck --replay " + foreign, "not a trace"},
		{"modelcheck --replay /no/such/file", "no such file"},
		{"explore --world nowhere", `unknown world "nowhere": there are attempt, keyed`},
		{"regress", `expected "<files>`},
		{"fit", `expected "<files>`},
		{"drill nothing", `unknown drill "nothing": want one of attempt`},
		{"drill mutants --for 0s", "--for must be longer than 0s"},
		{"drill planted --for 0s", "--for must be longer than 0s"},
		{"fly", "unexpected argument fly"},
	} {
		t.Run(c.args, func(t *testing.T) {
			status, _, stderr := runCommand(t, strings.Fields(c.args)...)
			lines := strings.Split(strings.TrimSpace(stderr), "\n")
			if status != exitUsage || len(lines) != 1 || !strings.Contains(lines[0], c.want) {
				t.Errorf("got exit status %d and standard error %q, want status 2 and one line that contains %q", status,
					stderr, c.want)
			}
		})
	}
}

// TestFormerCommandNames checks that the former names of commands and drills work like the present names, and
// that the help lists only the present names of commands.
func TestFormerCommandNames(t *testing.T) {
	folder := t.TempDir()
	for former, present := range map[string]string{"explore": "modelcheck"} {
		var summaries []searchSummary
		for _, name := range []string{former, present} {
			status, out, _ := runCommand(t, name, "--world", "turned", "--faults", "1", "--out", folder)
			if status != exitOK {
				t.Fatalf("the command %s got exit status %d with output %s, want status 0", name, status, out)
			}
			s := lastSummary(t, out)
			s.Seconds, s.PerSecond, s.Depth = 0, 0, 0 // these fields differ between runs of a parallel search
			summaries = append(summaries, s)
		}
		if diff := cmp.Diff(summaries[1], summaries[0]); diff != "" {
			t.Errorf("the summaries of the commands %s and %s differ (-present +former), want equal ones: %s", former,
				present, diff)
		}
	}
	if d, err := drillByName("planted"); err != nil || d.description != drills["mutants"].description {
		t.Errorf("the former drill name \"planted\" selects drill %q, error %v; want \"mutants\"", d.description,
			err)
	}
	status, help, _ := runCommand(t, "--help")
	if status != exitOK {
		t.Fatalf("schedbench --help got exit status %d, want 0", status)
	}
	for _, former := range []string{"explore", "fit"} {
		if strings.Contains(help, "\n  "+former+" ") {
			t.Errorf("the help lists the former command name %s, want only present names: %s", former, help)
		}
	}
	for _, present := range []string{"modelcheck", "regress"} {
		if !strings.Contains(help, "\n  "+present+" ") {
			t.Errorf("command %s: want it in the list of the help, got: %s", present, help)
		}
	}
}

// lastSummary returns the summary in the last line that a search printed.
func lastSummary(t *testing.T, out string) searchSummary {
	t.Helper()
	lines := strings.Split(strings.TrimSpace(out), "\n")
	var s searchSummary
	if err := json.Unmarshal([]byte(lines[len(lines)-1]), &s); err != nil {
		t.Fatal(err, out)
	}
	return s
}

// TestModelCheck checks the output and the exit statuses of modelcheck: the summary in the last line, a
// violation with a trace that violates the property again when replayed, an exhaustive search without a
// violation, a random walk, and the list of worlds. It also checks the list of drills.
func TestModelCheck(t *testing.T) {
	folder := t.TempDir()
	status, out, _ := runCommand(t, "modelcheck", "--world", "hole", "--out", folder)
	s := lastSummary(t, out)
	if status != exitViolation || s.Violations != 1 || s.Property != "called-back" || s.Exhausted {
		t.Fatalf("search of world \"hole\": got exit status %d, output %s; want \"called-back\" violated",
			status, out)
	}
	status, out, _ = runCommand(t, "modelcheck", "--replay", s.Trace)
	if status != exitViolation || !strings.Contains(out, "broken: called-back") {
		t.Errorf("replay of the trace: got exit status %d, output %s; want property \"called-back\" violated",
			status, out)
	}
	status, out, _ = runCommand(t, "modelcheck", "--world", "turned", "--coverage", "--out", folder)
	if s = lastSummary(t, out); status != exitOK || !s.Exhausted || s.States < 1000 || s.Violations != 0 ||
		len(s.Uncovered) == 0 {
		t.Errorf("world \"turned\": status %d, output %s; want a complete search, no violation, uncovered events",
			status, out)
	}
	status, out, _ = runCommand(t, "modelcheck", "--walk", "--budget", "200ms", "--out", folder)
	if s = lastSummary(t, out); status != exitOK || s.World != "large" || s.States == 0 {
		t.Errorf("random walk: got exit status %d with output %s; want states of world \"large\"", status, out)
	}
	if status, out, _ = runCommand(t, "modelcheck", "--list"); status != exitOK || !strings.Contains(out,
		"one-final-answer") {
		t.Errorf("modelcheck --list: got exit status %d, output %s; want a list with property \"one-final-answer\"",
			status, out)
	}
	if status, out, _ = runCommand(t, "drill"); status != exitOK || !strings.Contains(out, "mutants") {
		t.Errorf("list of drills: got exit status %d with output %s; want a list with drill \"mutants\"", status,
			out)
	}
}
