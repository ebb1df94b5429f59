package main

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"time"

	"dahliaford/internal/testcluster"
)

// onProgram is a drill that runs the real program: in a folder of its own, for as long as the
// drill may take, less the time that its end takes.
func onProgram(spare time.Duration,
	run func(bin, folder string, span time.Duration, seed uint64, say sayer) (*report, error)) experiment {
	return func(ctx context.Context, seed uint64, say sayer) (*report, error) {
		folder, err := os.MkdirTemp("", "drill")
		if err != nil {
			return nil, err
		}
		defer os.RemoveAll(folder)
		bin, err := scheduler(ctx, folder)
		if err != nil {
			return nil, err
		}
		until, _ := ctx.Deadline()
		return run(bin, folder, max(time.Until(until)-spare, time.Second), seed, say)
	}
}

// attempts runs the real program against stand-ins that do wrong what they may, and checks
// what all saw.
func attempts(bin, _ string, span time.Duration, seed uint64, say sayer) (*report, error) {
	const rate = 80.0
	say("handing in %.0f jobs a second for %v", rate, span.Round(time.Second))
	o, err := testcluster.RunFaultDrill(context.Background(), testcluster.FaultDrill{Program: bin,
		Duration: span, Seed: seed, Rate: rate})
	if err != nil {
		return nil, err
	}
	r := &report{ok: len(o.Findings) == 0, table: make([][]string, 2),
		figures: map[string]any{"events": o.Events}}
	for _, c := range []struct {
		head, key string
		n         int
	}{{"jobs", "jobs", o.Jobs}, {"served", "served", o.Served}, {"refused", "refused", o.Refused},
		{"failed", "failed", o.Failed}, {"left", "left", o.Disconnected}, {"attempts", "attempts", o.Attempts},
		{"runs", "runs", o.Started}, {"DELETEs", "withdrawn", o.Cancelled}, {"crashes", "crashes", o.Crashes},
		{"drains", "drains", o.Drains}, {"broken", "broken", len(o.Findings)}} {
		r.table[0], r.table[1] = append(r.table[0], c.head), append(r.table[1], fmt.Sprint(c.n))
		r.figures[c.key] = c.n
	}
	for i, f := range o.Findings {
		if i == 20 {
			say("... and %d more", len(o.Findings)-i)
			break
		}
		say("broken: %v", f)
	}
	return r, nil
}

// scheduler is the program that is drilled: the one beside the laboratory, or else built.
func scheduler(ctx context.Context, folder string) (string, error) {
	if self, err := os.Executable(); err == nil {
		beside := filepath.Join(filepath.Dir(self), "dahliaford")
		if _, err := os.Stat(beside); err == nil {
			return beside, nil
		}
	}
	bin := filepath.Join(folder, "dahliaford")
	out, err := exec.CommandContext(ctx, "go", "build", "-o", bin, "./cmd/dahliaford").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("no scheduler beside the laboratory, and none could be built: %w: %s", err, out)
	}
	return bin, nil
}
