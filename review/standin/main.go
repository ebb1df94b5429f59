package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// cases are the cases by name. Each returns true if the rule held.
var cases = map[string]func(r *rig, trouble bool) bool{
	"crowd": crowdCase,
	"ids":   idsCase,
	"keyed": keyedCase,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER")
		os.Exit(statusNotRun)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2]))
}

// play runs a case with its record in a folder and returns the exit status.
func play(run func(r *rig, trouble bool) bool, to string) int {
	root, err := filepath.Abs(".")
	if err != nil {
		return statusNotRun
	}
	record, err := os.Create(filepath.Join(to, "record.txt"))
	if err != nil {
		return statusNotRun
	}
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return statusNotRun
	}
	r := &rig{root: root, folder: folder, start: time.Now(), record: record}
	time.AfterFunc(110*time.Second, func() { r.fail("the case took too long") })
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-stop
		r.fail("the case was interrupted")
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	r.logf("the case begins, with the disruption: %v", trouble)
	held := run(r, trouble)
	r.logf("the rule held: %v", held)
	r.close()
	if held {
		return statusHeld
	}
	return statusBroken
}
