package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"dahliaford/internal/simfleet"
)

// maxViolations is the largest number of violations that a run with real schedulers prints.
const maxViolations = 20

// runReal runs real schedulers against simulated workers and a simulated discovery service. It writes its
// progress and the results to out; the last line is the report as JSON. It returns a usage error for invalid
// options, and an error with exitViolation if the run violates a property. If the options name no program,
// runReal uses the one that schedulerBinary finds or builds.
func runReal(ctx context.Context, out io.Writer, o simfleet.Options) error {
	if err := o.Validate(); err != nil {
		return usageError("%v", err)
	}
	if o.Program == "" {
		folder, err := os.MkdirTemp("", "scale")
		if err != nil {
			return err
		}
		defer func() { _ = os.RemoveAll(folder) }() // a leftover temporary folder is harmless
		if o.Program, err = schedulerBinary(ctx, folder); err != nil {
			return err
		}
	}
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop() // on a signal the context ends, and the run stops its schedulers
	r, err := simfleet.Run(ctx, o, out)
	if err != nil {
		return err
	}
	if err := printReal(out, &r); err != nil {
		return err
	}
	if n := len(r.Violations); n > 0 {
		return exitError{exitViolation, fmt.Sprintf("the run violated checked properties %d times", n)}
	}
	return nil
}

// printReal prints the table of events, the first maxViolations violations, and the report as JSON.
func printReal(out io.Writer, r *simfleet.Report) error {
	if err := r.WriteTable(out); err != nil {
		return err
	}
	for i, violation := range r.Violations {
		text := "broken: " + violation
		if i == maxViolations {
			text = fmt.Sprintf("... and %d more violations", len(r.Violations)-i)
		}
		if _, err := fmt.Fprintln(out, text); err != nil {
			return err
		}
		if i == maxViolations {
			break
		}
	}
	last, err := json.Marshal(r)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(out, "%s\n", last)
	return err
}
