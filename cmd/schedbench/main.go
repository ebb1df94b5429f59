// Command schedbench is the laboratory: it explores, drills and measures what dahliaford
// does, and serves nobody.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/alecthomas/kong"
)

// The exit statuses.
const (
	fine    = 0
	failed  = 1 // it could not be done
	misused = 2
	broken  = 3 // a property broke
)

type lab struct {
	Explore exploreCmd `cmd:"" help:"Explore the life of an attempt in a tiny world, in every order of events."`
	Drill   drillCmd   `cmd:"" help:"Run an experiment: bounded in time, with figures as its last line."`
	Scale   scaleCmd   `cmd:"" help:"Run a fleet at size in virtual time: hollow schedulers and workers."`
	Fit     fitCmd     `cmd:"" help:"Say how what benchmarks measured grows with the size in their names."`
	Keep    keepCmd    `cmd:"" hidden:"" help:"The process that the drill disk kills."`
	Engine  engineCmd  `cmd:"" hidden:"" help:"One step of the drill engines."`
}

// exit is an end with a status of its own.
type exit struct {
	status int
	text   string
}

func (e exit) Error() string { return e.text }

func misuse(format string, args ...any) error { return exit{misused, fmt.Sprintf(format, args...)} }

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) (status int) {
	var l lab
	ended := -1
	parser, err := kong.New(&l, kong.Name("schedbench"), kong.UsageOnError(),
		kong.Description("The laboratory of dahliaford: explores, drills and measures."),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true}),
		kong.Exit(func(code int) { ended = code }))
	if err != nil {
		fmt.Fprintln(os.Stderr, "schedbench:", err)
		return failed
	}
	ctx, err := parser.Parse(args)
	if ended >= 0 {
		return ended // help was asked for
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "schedbench:", err)
		return misused
	}
	if err := ctx.Run(); err != nil {
		var e exit
		if !errors.As(err, &e) {
			e = exit{failed, err.Error()}
		}
		if e.text != "" {
			fmt.Fprintln(os.Stderr, "schedbench:", e.text)
		}
		return e.status
	}
	return fine
}
