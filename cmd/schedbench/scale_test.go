package main

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// TestScaleMisused checks that each invalid argument prints one line that names the error, prints nothing to
// standard output, and exits with status 2.
func TestScaleMisused(t *testing.T) {
	for args, want := range map[string]string{
		"--workers 0":                      "workers must be 1 to",
		"--workers 1000000":                "workers must be 1 to",
		"--schedulers=-1":                  "schedulers must be 1 to",
		"--rate=-1":                        "rate must be 0 to",
		"--rate NaN":                       "rate must be 0 to",
		"--for 0s":                         "the time must be 1s to",
		"--for long":                       "--for",
		"--task 1us":                       "a task must be",
		"--day doom":                       `unknown day "doom": there are calm, discovery`,
		"--day=":                           `unknown day "": want one of calm`,
		"--seed=-1":                        "--seed",
		"--real=-1":                        "--real must be 0 to",
		"--real 1000":                      "--real must be 0 to",
		"--workers 3 --for 99h":            "the time must be 1s to",
		"--workers 7200 --schedulers 1000": "schedulers times workers must be",
		"--rate 9000 --task 1m":            "the rate times the seconds of a task must be",
	} {
		t.Run(args, func(t *testing.T) {
			status, out, errors := runCommand(t, strings.Fields("scale "+args)...)
			oneLine := strings.Count(strings.TrimSpace(errors), "\n") == 0
			if status != exitUsage || !oneLine || !strings.Contains(errors, want) || out != "" {
				t.Errorf("got exit status %d and standard error %q, want status 2 and one line that contains %q", status,
					errors, want)
			}
		})
	}
}

// TestScale checks that scale prints the report as JSON in the last line, writes the table and the charts to
// the folder of --keep, and prints only the line of JSON with --json.
func TestScale(t *testing.T) {
	folder := t.TempDir()
	status, out, errors := runCommand(t, "scale", "--workers", "100", "--schedulers", "10", "--rate", "40",
		"--for", "3s", "--task", "1s", "--keep", folder)
	lines := strings.Split(strings.TrimSpace(out), "\n")
	var last struct {
		Scale string
		OK    bool
		Model struct{ Starts, Workers int }
	}
	if err := json.Unmarshal([]byte(lines[len(lines)-1]), &last); err != nil || status != exitOK {
		t.Fatal(status, err, out, errors)
	}
	if last.Scale != "calm" || !last.OK || last.Model.Starts < 60 || last.Model.Workers != 100 ||
		len(lines) < 20 {
		t.Errorf("%+v", last)
	}
	for _, name := range []string{".txt", "-starts.svg", "-control.svg"} {
		if info, err := os.Stat(filepath.Join(folder, "scale-calm-10x100"+name)); err != nil || info.Size() == 0 {
			t.Errorf("the output file of --keep with suffix %s is missing or empty: error %v", name, err)
		}
	}
	status, out, _ = runCommand(t, "scale", "--workers", "50", "--schedulers", "2", "--for", "1s", "--json")
	if status != exitOK || strings.Count(out, "\n") != 1 {
		t.Errorf("scale --json: got exit status %d and output %s, want status 0 and one line", status, out)
	}
}
