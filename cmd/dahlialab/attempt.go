package main

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"time"

	"dahliaford/internal/rig"
)

// attempts runs the real program against stand-ins that do wrong what they may, and checks
// what all saw. It uses the scheduler beside itself, or builds one.
func attempts(ctx context.Context, seed uint64, say func(string, ...any)) (*report, error) {
	folder, err := os.MkdirTemp("", "drill")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(folder)
	bin, err := scheduler(ctx, folder)
	if err != nil {
		return nil, err
	}
	const rate, spare = 80.0, 15 * time.Second
	until, _ := ctx.Deadline()
	span := max(time.Until(until)-spare, time.Second)
	say("handing in %.0f jobs a second for %v", rate, span.Round(time.Second))
	o, err := rig.RunAttempts(context.Background(), rig.Attempts{Bin: bin, For: span, Seed: seed, Rate: rate})
	if err != nil {
		return nil, err
	}
	r := &report{ok: len(o.Findings) == 0, table: [][]string{{"jobs", "served", "refused", "failed", "left",
		"attempts",
		"runs", "DELETEs", "crashes", "drains", "broken"}}}
	line := []string{}
	for _, n := range []int{o.Jobs, o.Served, o.Refused, o.Failed, o.Left, o.Attempts, o.Runs, o.Withdrawn,
		o.Crashes,
		o.Drains, len(o.Findings)} {
		line = append(line, fmt.Sprint(n))
	}
	r.table = append(r.table, line)
	r.figures = map[string]any{"jobs": o.Jobs, "served": o.Served, "refused": o.Refused, "failed": o.Failed,
		"left": o.Left, "attempts": o.Attempts, "runs": o.Runs, "withdrawn": o.Withdrawn, "crashes": o.Crashes,
		"drains": o.Drains, "events": o.Events, "broken": len(o.Findings)}
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
