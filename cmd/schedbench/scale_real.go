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

// maxViolations is how many violations are printed.
const maxViolations = 20

// runReal runs real schedulers against simulated workers and one simulated discovery. Progress and the
// results go to out, the last line as JSON. Options that cannot be run are a usage error, rules that broke
// the exit status of a violation. Without a program the one beside this program is run, or else one is built.
func runReal(ctx context.Context, out io.Writer, o simfleet.Options) error {
	if err := o.Validate(); err != nil {
		return usageError("%v", err)
	}
	if o.Program == "" {
		folder, err := os.MkdirTemp("", "scale")
		if err != nil {
			return err
		}
		defer func() { _ = os.RemoveAll(folder) }() // a temporary folder that stays does no harm
		if o.Program, err = schedulerBinary(ctx, folder); err != nil {
			return err
		}
	}
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop() // a run that is interrupted stops its schedulers
	r, err := simfleet.Run(ctx, o, out)
	if err != nil {
		return err
	}
	if err := printReal(out, &r); err != nil {
		return err
	}
	if n := len(r.Violations); n > 0 {
		return exitError{exitViolation, fmt.Sprintf("%d properties broke", n)}
	}
	return nil
}

// printReal prints the table of events, the first violations and the line of JSON.
func printReal(out io.Writer, r *simfleet.Report) error {
	if err := r.WriteTable(out); err != nil {
		return err
	}
	for i, violation := range r.Violations {
		text := "broken: " + violation
		if i == maxViolations {
			text = fmt.Sprintf("... and %d more", len(r.Violations)-i)
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
