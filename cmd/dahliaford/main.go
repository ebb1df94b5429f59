// Command dahliaford serves as one scheduler on sockets, submits jobs to schedulers, and maintains job stores.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"runtime/debug"

	"github.com/alecthomas/kong"
)

// The exit statuses.
const (
	exitOK       = 0
	exitFailed   = 1
	exitUsage    = 2
	exitTempFail = 75 // EX_TEMPFAIL: it did not run, trying again is harmless
)

type commands struct {
	Serve   serveCmd     `cmd:"" help:"Serve as one scheduler; what it does without any argument."`
	Send    sendCmd      `cmd:"" help:"Hand in one job, or a file of jobs, and wait for their ends."`
	Check   checkFileCmd `cmd:"" help:"Check an appliance's file."`
	Store   storeCmd     `cmd:"" help:"Look after a job store: check, show, backup, restore, compact."`
	Version versionCmd   `cmd:"" help:"Print the version."`
	Help    helpCmd      `cmd:"" help:"Print this help."`
}

// exitError is an end with a status of its own; without a text nothing is said.
type exitError struct {
	status int
	text   string
}

func (e exitError) Error() string { return e.text }

func usageError(format string, args ...any) error {
	return exitError{exitUsage, fmt.Sprintf(format, args...)}
}

func main() { os.Exit(run(os.Args[1:], os.Stdin, os.Stdout, os.Stderr)) }

func run(args []string, in io.Reader, out, errs io.Writer) int {
	err := command(args, in, out, errs)
	var e exitError
	switch {
	case err == nil:
		return exitOK
	case !errors.As(err, &e):
		e = exitError{exitFailed, err.Error()}
	}
	if e.text != "" {
		fmt.Fprintln(errs, "dahliaford:", e.text)
	}
	return e.status
}

// command runs one command. Without arguments that is to serve, and nothing else is set up
// for it: schedulers are started often, all at once, on part of a core.
func command(args []string, in io.Reader, out, errs io.Writer) error {
	if len(args) == 0 {
		return serveCmd{}.Run()
	}
	var c commands
	ended := -1
	parser, err := kong.New(&c, kong.Name("dahliaford"), kong.Writers(out, errs),
		kong.Description("The job scheduler of Compteurs Réunis du Sahel."),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true}),
		kong.Exit(func(code int) { ended = code }))
	if err != nil {
		return err
	}
	ctx, err := parser.Parse(args)
	switch {
	case ended >= 0: // help was asked for
		return nil
	case err != nil:
		return usageError("%v", err)
	}
	return ctx.Run(&streams{in, out, errs})
}

// streams are the standard ones, or a test's.
type streams struct {
	in        io.Reader
	out, errs io.Writer
}

type versionCmd struct{}

// Run prints the version that the build left in the program.
func (versionCmd) Run(s *streams) error {
	version, commit := "(unknown)", ""
	if info, ok := debug.ReadBuildInfo(); ok {
		version = info.Main.Version
		for _, set := range info.Settings {
			if set.Key == "vcs.revision" {
				commit = " " + set.Value
			}
		}
	}
	_, err := fmt.Fprintf(s.out, "dahliaford %s%s\n", version, commit)
	return err
}

type helpCmd struct {
	Command []string `arg:"" optional:"" help:"The command to explain."`
}

// Run prints the help of the program, or of a command.
func (h helpCmd) Run(s *streams) error {
	return command(append(h.Command, "--help"), s.in, s.out, s.errs)
}
