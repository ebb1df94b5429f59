// Command dahliaford serves as one scheduler on sockets, submits jobs to schedulers, and maintains job
// stores.
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
	exitTempFail = 75 // EX_TEMPFAIL: the job did not run, submitting it again is harmless
)

type commands struct {
	Serve   serveCmd     `cmd:"" help:"Serve as one scheduler; what it does without any argument."`
	Send    sendCmd      `cmd:"" help:"Submit one job, or a file of jobs, and wait for results."`
	Check   checkFileCmd `cmd:"" help:"Check an appliance's file."`
	Store   storeCmd     `cmd:"" help:"Maintain a job store: check, show, backup, restore, compact."`
	Version versionCmd   `cmd:"" help:"Print the version."`
	Help    helpCmd      `cmd:"" help:"Print this help."`
}

// exitError ends the program with a status of its own. Without a text nothing is printed.
type exitError struct {
	status int
	text   string
}

// Error implements error.
func (e exitError) Error() string { return e.text }

func usageError(format string, args ...any) error {
	return exitError{exitUsage, fmt.Sprintf(format, args...)}
}

func main() { os.Exit(run(os.Args[1:], os.Stdin, os.Stdout, os.Stderr)) }

// run runs a command and returns the exit status.
func run(args []string, in io.Reader, out, errs io.Writer) int {
	err := command(args, in, out, errs)
	var exit exitError
	switch {
	case err == nil:
		return exitOK
	case !errors.As(err, &exit):
		exit = exitError{exitFailed, err.Error()}
	}
	if exit.text != "" {
		_, _ = fmt.Fprintln(errs, "dahliaford:", exit.text) // the status tells it, too
	}
	return exit.status
}

// command runs one command. Without arguments that is to serve, and nothing else is set up for it:
// schedulers are started often, all at once, on part of a core.
func command(args []string, in io.Reader, out, errs io.Writer) error {
	if len(args) == 0 {
		return serveCmd{}.Run()
	}
	var c commands
	helpStatus := -1 // of the help, once it was printed
	parser, err := kong.New(&c, kong.Name("dahliaford"), kong.Writers(out, errs),
		kong.Description("The job scheduler of Compteurs Réunis du Sahel."),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true}),
		kong.Exit(func(status int) { helpStatus = status }))
	if err != nil {
		return err
	}
	ctx, err := parser.Parse(args)
	switch {
	case helpStatus >= 0:
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

// printf writes to standard output. An error is ignored: then nobody reads it, and the exit status says how
// the command ended.
func (s *streams) printf(format string, args ...any) { _, _ = fmt.Fprintf(s.out, format, args...) }

// reportf writes to standard error. An error is ignored, as in printf.
func (s *streams) reportf(format string, args ...any) { _, _ = fmt.Fprintf(s.errs, format, args...) }

type versionCmd struct{}

// Run prints the version that the build recorded in the program.
func (versionCmd) Run(s *streams) error {
	version, commit := "(unknown)", ""
	if info, ok := debug.ReadBuildInfo(); ok {
		version = info.Main.Version
		for _, setting := range info.Settings {
			if setting.Key == "vcs.revision" {
				commit = " " + setting.Value
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
