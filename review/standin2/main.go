// Command standin2 runs the cases 6 to 10 of the review: it starts the project's programs, plays their
// clients, workers and discovery services on loopback addresses, and judges what these saw.
//
// The exit status is 1 if the rule of the case was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// The exit statuses.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases maps the name of a case to its run.
var cases = map[string]func(*trial) error{}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE FOLDER, from the root of the repository")
		os.Exit(exitNotRun)
	}
	os.Exit(runCase(os.Args[1], os.Args[2]))
}

// runCase runs a case and writes its record into the folder. It returns the exit status.
func runCase(name, folder string) int {
	run, known := cases[name]
	if !known {
		fmt.Fprintln(os.Stderr, "unknown case", name)
		return exitNotRun
	}
	t, err := newTrial(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	go endEarly(t)
	err = run(t)
	t.close()
	switch {
	case err != nil:
		t.note("not run: %v", err)
		return exitNotRun
	case len(t.broken()) > 0:
		t.note("verdict: broken, %d findings", len(t.broken()))
		return exitBroken
	}
	t.note("verdict: held")
	return exitHeld
}

// endEarly ends a trial that takes too long, as a script may run for 120 s at most, or that is interrupted.
func endEarly(t *trial) {
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	select {
	case s := <-interrupted:
		t.note("not run: %v", s)
	case <-time.After(110 * time.Second):
		t.note("not run: out of time")
	}
	t.close()
	os.Exit(exitNotRun)
}
