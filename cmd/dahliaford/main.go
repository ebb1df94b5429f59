// Command dahliaford runs one scheduler that serves jobs over HTTP, submits jobs to schedulers, and maintains
// job stores.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"runtime/debug"

	"github.com/alecthomas/kong"
)

// The exit statuses of all commands.
const (
	exitOK       = 0
	exitFailed   = 1
	exitUsage    = 2
	exitTempFail = 75 // EX_TEMPFAIL of sysexits.h: the job did not run and may be submitted again
)

type commands struct {
	Serve   serveCmd     `cmd:"" help:"Run one scheduler; the default when no command is given."`
	Send    sendCmd      `cmd:"" help:"Submit one job, or a file of jobs, and wait for the results."`
	Check   checkFileCmd `cmd:"" help:"Check the configuration file of an appliance."`
	Store   storeCmd     `cmd:"" help:"Maintain a job store: check, show, backup, restore, compact."`
	Version versionCmd   `cmd:"" help:"Print the version."`
	Help    helpCmd      `cmd:"" help:"Print this help."`
}

// exitError makes the program exit with the given status. The text is printed to standard error unless it is
// empty.
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

// run executes the command that the arguments name, prints its error, and returns the exit status of the
// program.
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
		// A write error is ignored, because the exit status reports the failure as well.
		_, _ = fmt.Fprintln(errs, "dahliaford:", exit.text)
	}
	return exit.status
}

// command executes the command that the arguments name, or serve when there are none. Without arguments it
// does not build the command-line parser: schedulers are started often, many at the same time, on a fraction
// of a processor core.
func command(args []string, in io.Reader, out, errs io.Writer) error {
	if len(args) == 0 {
		return serveCmd{}.Run()
	}
	var c commands
	helpStatus := -1 // the exit status that kong requests after a help text; -1 if kong has printed none
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

// streams are the standard input, output and error of the process, or their replacements in a test.
type streams struct {
	in        io.Reader
	out, errs io.Writer
}

// printf writes to standard output. A write error is ignored: the error means that nobody reads the output,
// and the exit status reports how the command ended.
func (s *streams) printf(format string, args ...any) { _, _ = fmt.Fprintf(s.out, format, args...) }

// reportf writes to standard error. A write error is ignored: the error means that nobody reads the messages,
// and the exit status reports how the command ended.
func (s *streams) reportf(format string, args ...any) { _, _ = fmt.Fprintf(s.errs, format, args...) }

type versionCmd struct{}

// Run prints the module version and the commit that the Go tool chain recorded in the binary.
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

// Run prints the help text of the program, or of the named command.
func (h helpCmd) Run(s *streams) error {
	return command(append(h.Command, "--help"), s.in, s.out, s.errs)
}
