// Package knownred tests .ci/known-red, the script by which CI ignores the failures of the tests that
// KNOWN-RED.txt lists.
package knownred

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

const (
	module   = "module example\n\ngo 1.26\n"
	testFile = "package queue\n\nimport \"testing\"\n\nfunc TestOrder(t *testing.T) { t.Log() }\n"
	listed   = "example/queue.TestOrder, `go test -run 'TestOrder$' ./queue`, seed 7, " +
		"two jobs change places, issue 12\n"
)

// run calls the script in a temporary Go module whose KNOWN-RED.txt has the text list. The script runs the
// command, or only checks the list if there is no command. The result passed is true if the script exited
// with status 0.
func run(t *testing.T, list string, command ...string) (output string, passed bool) {
	t.Helper()
	script, err := filepath.Abs("../../.ci/known-red")
	if err != nil {
		t.Fatal(err)
	}
	folder := t.TempDir()
	files := map[string]string{"go.mod": module, "queue/queue_test.go": testFile, "KNOWN-RED.txt": list}
	for name, text := range files {
		path := filepath.Join(folder, name)
		if err := os.MkdirAll(filepath.Dir(path), 0o777); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, []byte(text), 0o666); err != nil {
			t.Fatal(err)
		}
	}
	cmd := exec.Command(script, command...)
	cmd.Dir = folder
	out, err := cmd.CombinedOutput()
	return string(out), err == nil
}

func TestListOfTheRightFormIsTaken(t *testing.T) {
	for name, list := range map[string]string{
		"a seed":                     listed,
		"pinned seeds":               strings.Replace(listed, "seed 7", "pinned seeds", 1),
		"no seed":                    strings.Replace(listed, "seed 7", "no seed", 1),
		"commas in what was seen":    strings.Replace(listed, "two jobs", "two jobs, of one class,", 1),
		"no line break at the end":   strings.TrimSuffix(listed, "\n"),
		"a command with a seed flag": strings.Replace(listed, "go test", "GOFLAGS=-count=1 go test", 1),
	} {
		t.Run(name, func(t *testing.T) {
			if out, ok := run(t, list); !ok {
				t.Errorf("the script rejected a well-formed list: %s", out)
			}
		})
	}
}

func TestListOfAnotherFormIsRefused(t *testing.T) {
	for name, list := range map[string]string{
		"empty":                 "",
		"an empty line":         listed + "\n",
		"the former form":       "example/queue.TestOrder, two jobs change places, issue 12\n",
		"no command":            strings.Replace(listed, "`go test -run 'TestOrder$' ./queue`, ", "", 1),
		"an empty command":      strings.Replace(listed, "`go test -run 'TestOrder$' ./queue`", "``", 1),
		"no seed named":         strings.Replace(listed, "seed 7, ", "", 1),
		"a seed that is a word": strings.Replace(listed, "seed 7", "seed seven", 1),
		"no observation":        strings.Replace(listed, "two jobs change places, ", "", 1),
		"no issue":              strings.Replace(listed, ", issue 12", "", 1),
		"an issue of no number": strings.Replace(listed, "issue 12", "issue x", 1),
		"no such test":          strings.Replace(listed, "queue.TestOrder", "queue.TestOther", 1),
		"no such package":       strings.Replace(listed, "example/queue", "example/stack", 1),
		"a subtest":             strings.Replace(listed, "queue.TestOrder", "queue.TestOrder/one", 1),
		"twice":                 listed + listed,
		"a long line":           strings.Replace(listed, "two jobs", strings.Repeat("two jobs ", 50), 1),
		"text behind the issue": strings.Replace(listed, "issue 12", "issue 12, or 13", 1),
	} {
		t.Run(name, func(t *testing.T) {
			if out, ok := run(t, list); ok {
				t.Errorf("the script accepted an invalid list: %s", out)
			}
		})
	}
}

// goTest returns a command that stands for a failed run of `go test`: the command prints output and exits
// with status 1.
func goTest(output string) []string {
	return []string{"sh", "-c", "printf '%s' \"$0\"; exit 1", output}
}

func TestOnlyListedFailuresArePassedOver(t *testing.T) {
	const order = "--- FAIL: TestOrder (0.00s)\n    queue_test.go:5: out of order\n"
	const end = "FAIL\nFAIL\texample/queue\t0.01s\n"
	const pass = "ok  \texample/stack\t0.01s\n"
	for name, c := range map[string]struct {
		output string
		passes bool
	}{
		"the listed test":               {order + end, true},
		"with packages that pass":       {pass + order + end + pass, true},
		"another failed test beside it": {order + "--- FAIL: TestOther (0.00s)\n" + end, false},
		"the name in another package":   {order + "FAIL\nFAIL\texample/stack\t0.01s\n", false},
		"a panic":                       {order + "panic: index out of range\n" + end, false},
		"a data race":                   {"WARNING: DATA RACE\n" + order + end, false},
		"a package that does not build": {order + end + "FAIL\texample/tree [build failed]\n", false},
		"an early exit":                 {order + "FAIL\texample/queue\t0.01s\n", false},
		"a failure without any output":  {"", false},
	} {
		t.Run(name, func(t *testing.T) {
			out, ok := run(t, listed, goTest(c.output)...)
			if ok != c.passes {
				t.Errorf("the script passed: got %t, want %t; output: %s", ok, c.passes, out)
			}
			if c.passes && !strings.Contains(out, "passed over: example/queue.TestOrder") {
				t.Errorf("the output does not name the failed test that was passed over: %s", out)
			}
		})
	}
}

func TestListedTestsThatPassAreNamed(t *testing.T) {
	out, ok := run(t, listed, "true")
	if !ok || !strings.Contains(out, "remove them from the list") {
		t.Errorf("all listed tests pass: got passed %t, want true and a hint to remove them; output: %s", ok, out)
	}
}
