package main

import (
	"bufio"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
)

// A signal that arrives after the scheduler has stopped serving and before the process exits must not kill
// the process: the exit status of a killed process would look like a crash.
func TestSignalsAfterServing(t *testing.T) {
	if os.Getenv("DAHLIAFORD_TEST_CHILD") != "" { // this is the child process
		err := (serveCmd{}).Run()
		sendSignal(t, syscall.SIGHUP)
		sendSignal(t, syscall.SIGTERM)
		fmt.Println("ended:", err)
		os.Exit(0)
	}
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(validConfig), 0o600); err != nil {
		t.Fatal(err)
	}
	child := exec.Command(os.Args[0], "-test.run=^"+t.Name()+"$")
	child.Env = append(os.Environ(), "DAHLIAFORD_TEST_CHILD=1", "BALANCER_CONFIG="+path)
	out := &strings.Builder{}
	child.Stdout = out
	log, err := child.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := child.Start(); err != nil {
		t.Fatal(err)
	}
	defer func() { _ = child.Process.Kill() }() // if the test fails, the child may still run
	for lines := bufio.NewScanner(log); lines.Scan(); {
		if strings.Contains(lines.Text(), "msg=serving") {
			if err := child.Process.Signal(syscall.SIGTERM); err != nil {
				t.Error(err)
			}
		}
	}
	if err := child.Wait(); err != nil || !strings.Contains(out.String(), "ended: <nil>") {
		t.Errorf("child process: got error %v, output %q, want no error and a Run without error", err, out)
	}
}
