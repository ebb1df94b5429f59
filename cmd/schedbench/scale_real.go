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

// runReal runs real schedulers against hollow workers and one hollow discovery. What it says goes to
// out, the last line as JSON. Options that cannot be run end it as misused, rules that broke as broken.
// Without a program the one beside the laboratory is run, or else one is built.
func runReal(ctx context.Context, out io.Writer, o simfleet.Options) error {
	if err := o.Validate(); err != nil {
		return misuse("%v", err)
	}
	if o.Program == "" {
		folder, err := os.MkdirTemp("", "scale")
		if err != nil {
			return err
		}
		defer os.RemoveAll(folder)
		if o.Program, err = scheduler(ctx, folder); err != nil {
			return err
		}
	}
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop() // a run that is ended takes its schedulers with it
	r, err := simfleet.Run(ctx, o, out)
	if err != nil {
		return err
	}
	if err := r.WriteTable(out); err != nil {
		return err
	}
	for i, b := range r.Violations {
		if i == 20 {
			fmt.Fprintf(out, "... and %d more\n", len(r.Violations)-i)
			break
		}
		fmt.Fprintln(out, "broken:", b)
	}
	last, err := json.Marshal(r)
	if err != nil {
		return err
	}
	if _, err := fmt.Fprintf(out, "%s\n", last); err != nil {
		return err
	}
	if n := len(r.Violations); n > 0 {
		return exit{broken, fmt.Sprintf("%d properties broke", n)}
	}
	return nil
}
