package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"time"

	"dahliaford/internal/testcluster"
)

// schedulerDrill runs a drill, a test with injected faults, with a scheduler program. The drill may write to
// the given folder, and submits jobs for the given duration.
type schedulerDrill func(program, folder string, duration time.Duration, seed uint64,
	progress progressFunc) (*report, error)

// withScheduler returns a drillFunc that finds or builds the scheduler program and then runs the drill, a
// test with injected faults. The drill submits jobs until the margin before the deadline of the context, but
// for 1 s at least.
func withScheduler(margin time.Duration, run schedulerDrill) drillFunc {
	return func(ctx context.Context, seed uint64, progress progressFunc) (*report, error) {
		folder, err := os.MkdirTemp("", "drill")
		if err != nil {
			return nil, err
		}
		defer func() { _ = os.RemoveAll(folder) }() // a leftover temporary folder is harmless
		program, err := schedulerBinary(ctx, folder)
		if err != nil {
			return nil, err
		}
		until, _ := ctx.Deadline()
		return run(program, folder, max(time.Until(until)-margin, time.Second), seed, progress)
	}
}

const (
	attemptRate         = 80.0 // jobs submitted per second
	maxReportedFindings = 20   // largest number of violations that the attempt drill prints
)

// runAttemptDrill runs the real scheduler against fake clients and workers that inject every fault that the
// protocol permits. It checks the events that the fakes observed.
func runAttemptDrill(program, _ string, duration time.Duration, seed uint64,
	progress progressFunc) (*report, error) {
	progress("submitting %.0f jobs per second for %v", attemptRate, duration.Round(time.Second))
	o, err := testcluster.RunFaultDrill(context.Background(), testcluster.FaultDrill{Program: program,
		Duration: duration, Seed: seed, Rate: attemptRate})
	if err != nil {
		return nil, err
	}
	r := &report{ok: len(o.Findings) == 0, table: make([][]string, 2),
		figures: map[string]any{"events": o.Events}}
	for _, c := range []struct {
		head, key string
		n         int
	}{
		{"jobs", "jobs", o.Jobs},
		{"served", "served", o.Served},
		{"refused", "refused", o.Refused},
		{"failed", "failed", o.Failed},
		{"left", "left", o.Disconnected},
		{"attempts", "attempts", o.Attempts},
		{"runs", "runs", o.Started},
		{"DELETEs", "withdrawn", o.Cancelled},
		{"crashes", "crashes", o.Crashes},
		{"drains", "drains", o.Drains},
		{"broken", "broken", len(o.Findings)},
	} {
		r.table[0], r.table[1] = append(r.table[0], c.head), append(r.table[1], strconv.Itoa(c.n))
		r.figures[c.key] = c.n
	}
	for i, f := range o.Findings {
		if i == maxReportedFindings {
			progress("... and %d more violations", len(o.Findings)-i)
			break
		}
		progress("broken: %v", f)
	}
	return r, nil
}

// schedulerBinary returns the path of the scheduler program. It uses the dahliaford binary in the folder of
// the running executable if there is one. Otherwise it builds the program into the given folder.
func schedulerBinary(ctx context.Context, folder string) (string, error) {
	if self, err := os.Executable(); err == nil {
		sibling := filepath.Join(filepath.Dir(self), "dahliaford")
		if _, err := os.Stat(sibling); err == nil {
			return sibling, nil
		}
	}
	program, err := testcluster.Build(ctx, ".", folder)
	if err != nil {
		return "", fmt.Errorf("no dahliaford program beside schedbench, and its build failed: %w", err)
	}
	return program, nil
}
