// Command schedbench checks and measures dahliaford: it explores its states, runs drills against it and
// measures fleets. It serves nobody.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/alecthomas/kong"
)

// The exit statuses.
const (
	exitOK        = 0
	exitFailed    = 1 // it could not be done
	exitUsage     = 2
	exitViolation = 3 // a property was violated
)

// commands is the command line. The hidden commands after Regress are former names, kept as aliases.
type commands struct {
	ModelCheck modelCheckCmd `cmd:"" name:"modelcheck" help:"Explore a small world in every order of events."`
	Drill      drillCmd      `cmd:"" help:"Run a drill: bounded in time, with figures as its last line."`
	Scale      scaleCmd      `cmd:"" help:"Run a simulated fleet at size in virtual time."`
	Regress    regressCmd    `cmd:"" help:"Fit how benchmarks grow with the size in their names."`

	Explore modelCheckCmd `cmd:"" hidden:"" help:"The former name of modelcheck."`
	Fit     regressCmd    `cmd:"" hidden:"" help:"The former name of regress."`

	Keep   keepCmd   `cmd:"" hidden:"" help:"The process that the drill disk kills."`
	Engine engineCmd `cmd:"" hidden:"" help:"One step of the drill engines."`
}

// exitError ends the program with a status of its own.
type exitError struct {
	status int
	text   string // "": nothing is printed
}

// Error returns the text.
func (e exitError) Error() string { return e.text }

// usageError ends the program with exitUsage and one line.
func usageError(format string, args ...any) error {
	return exitError{exitUsage, fmt.Sprintf(format, args...)}
}

func main() { os.Exit(run(os.Args[1:])) }

// run runs the command line and returns the exit status.
func run(args []string) int {
	var c commands
	ended := -1
	parser, err := kong.New(&c, kong.Name("schedbench"), kong.UsageOnError(),
		kong.Description("Checks and measures dahliaford."),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true}),
		kong.Exit(func(code int) { ended = code }))
	if err != nil {
		fmt.Fprintln(os.Stderr, "schedbench:", err)
		return exitFailed
	}
	ctx, err := parser.Parse(args)
	if ended >= 0 {
		return ended // help was asked for
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
