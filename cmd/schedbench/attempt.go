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

// schedulerDrill runs a drill against a scheduler's program, with a folder of its own.
type schedulerDrill func(program, folder string, duration time.Duration, seed uint64,
	say progressFunc) (*report, error)

// withScheduler is a drill that runs the real program, for as long as the drill may take less spare: what
// its end takes.
func withScheduler(spare time.Duration, run schedulerDrill) drillFunc {
	return func(ctx context.Context, seed uint64, say progressFunc) (*report, error) {
		folder, err := os.MkdirTemp("", "drill")
		if err != nil {
			return nil, err
		}
		defer func() { _ = os.RemoveAll(folder) }() // a leftover in the temporary folder does no harm
		program, err := schedulerBinary(ctx, folder)
		if err != nil {
			return nil, err
		}
		until, _ := ctx.Deadline()
		return run(program, folder, max(time.Until(until)-spare, time.Second), seed, say)
	}
}

const (
	attemptRate         = 80.0 // jobs a second
	maxReportedFindings = 20
)

// attemptDrill runs the real program against fakes that inject every fault they may, and checks what all of
// them saw.
func attemptDrill(program, _ string, duration time.Duration, seed uint64, say progressFunc) (*report, error) {
	say("submitting %.0f jobs a second for %v", attemptRate, duration.Round(time.Second))
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
			say("... and %d more", len(o.Findings)-i)
			break
		}
		say("broken: %v", f)
	}
	return r, nil
}

// schedulerBinary is the program that is drilled: the one beside this program, or else built into a folder.
func schedulerBinary(ctx context.Context, folder string) (string, error) {
	if self, err := os.Executable(); err == nil {
		beside := filepath.Join(filepath.Dir(self), "dahliaford")
		if _, err := os.Stat(beside); err == nil {
			return beside, nil
		}
	}
	program, err := testcluster.Build(ctx, ".", folder)
	if err != nil {
		return "", fmt.Errorf("no scheduler beside schedbench, and none could be built: %w", err)
	}
	return program, nil
}
