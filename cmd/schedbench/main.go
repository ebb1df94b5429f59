// Command schedbench checks and measures the dahliaford scheduler. It runs the model checker on the reducer,
// runs drills with injected faults, and measures simulated fleets. It does not serve client traffic.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/alecthomas/kong"
)

// The exit statuses of the program.
const (
	exitOK        = 0
	exitFailed    = 1 // the command could not be completed
	exitUsage     = 2 // the command line is invalid
	exitViolation = 3 // a checked property was violated
)

// commands declares the commands of the program. Explore and Fit are the former names of ModelCheck and
// Regress, and still work but do not appear in the help. Keep and Engine do not appear either: the drills
// "disk" and "engines" run them as child processes.
type commands struct {
	ModelCheck modelCheckCmd `cmd:"" name:"modelcheck" help:"Explore a small world in every order of events."`
	Drill      drillCmd      `cmd:"" help:"Run a drill; its last line is the results as JSON."`
	Scale      scaleCmd      `cmd:"" help:"Run a large simulated fleet in virtual time."`
	Regress    regressCmd    `cmd:"" help:"Fit the growth of benchmark results with the size in names."`

	Explore modelCheckCmd `cmd:"" hidden:"" help:"The former name of modelcheck."`
	Fit     regressCmd    `cmd:"" hidden:"" help:"The former name of regress."`

	Keep   storeItemsCmd `cmd:"" hidden:"" help:"Store items until killed; the disk drill runs this command."`
	Engine engineCmd     `cmd:"" hidden:"" help:"Run one step of the engines drill."`
}

// exitError is an error that makes the program exit with the given status.
type exitError struct {
	status int
	text   string // the message for standard error; if it is empty, nothing is printed
}

// Error returns the message that is printed to standard error.
func (e exitError) Error() string { return e.text }

// usageError returns an error that makes the program print one line and exit with exitUsage.
func usageError(format string, args ...any) error {
	return exitError{exitUsage, fmt.Sprintf(format, args...)}
}

func main() { os.Exit(run(os.Args[1:])) }

// run runs the command line and returns the exit status.
func run(args []string) int {
	var c commands
	helpStatus := -1
	parser, err := kong.New(&c, kong.Name("schedbench"), kong.UsageOnError(),
		kong.Description("Checks and measures dahliaford."),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true}),
		kong.Exit(func(code int) { helpStatus = code }))
	if err != nil {
		fmt.Fprintln(os.Stderr, "schedbench:", err)
		return exitFailed
	}
	ctx, err := parser.Parse(args)
	if helpStatus >= 0 {
		return helpStatus // kong has printed the help text
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "schedbench:", err)
		return exitUsage
	}
	if err := ctx.Run(); err != nil {
		var e exitError
		if !errors.As(err, &e) {
			e = exitError{exitFailed, err.Error()}
		}
		if e.text != "" {
			fmt.Fprintln(os.Stderr, "schedbench:", e.text)
		}
		return e.status
	}
	return exitOK
}
