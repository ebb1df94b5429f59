package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"dahliaford/internal/explore"
	"dahliaford/internal/explore/planted"
)

// planting builds the laboratory anew with each planted fault and has it explore the world
// in which the fault must show. It runs in the root of the repository and needs Go.
func planting(ctx context.Context, _ uint64, say sayer) (*report, error) {
	root, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat(filepath.Join(root, "go.mod")); err != nil {
		return nil, errors.New("the drill runs in the root of the repository")
	}
	r := &report{ok: true, table: [][]string{{"fault", "in", "what", "world", "property", "steps", "states",
		"seconds"}}}
	found, all := 0, planted.Faults()
	for _, f := range all {
		say("%s ...", f.Name)
		s, steps, err := plant(ctx, root, f)
		if err != nil {
			return nil, err
		}
		line := []string{f.Name, f.File, f.About, f.World, "not found", "", fmt.Sprint(s.States),
			fmt.Sprintf("%.2f", s.Seconds)}
		if s.Violations > 0 {
			line[4], line[5] = s.Property, fmt.Sprint(steps)
		}
		if s.Violations > 0 && strings.Contains(f.Want, s.Property) {
			found++
		} else {
			r.ok = false
		}
		r.table = append(r.table, line)
	}
	r.figures = map[string]any{"planted": len(all), "found": found}
	return r, nil
}

// eachFor is how long a planted fault is looked for.
const eachFor = 60 * time.Second

// plant looks for one fault, and has its trace replayed by the build that has the fault.
func plant(ctx context.Context, root string, f planted.Fault) (s summary, steps int, err error) {
	folder, err := os.MkdirTemp("", "planted")
	if err != nil {
		return s, 0, err
	}
	defer os.RemoveAll(folder)
	overlay, err := f.Overlay(root, folder)
	if err != nil {
		return s, 0, err
	}
	bin := filepath.Join(folder, "lab")
	build := exec.CommandContext(ctx, "go", "build", "-overlay", overlay, "-o", bin, "./cmd/dahlialab")
	build.Dir = root
	if out, err := build.CombinedOutput(); err != nil {
		return s, 0, fmt.Errorf("planted fault %s: %w: %s", f.Name, err, out)
	}
	out, err := exec.CommandContext(ctx, bin, "explore", "--world", f.World, "--out", folder, "--budget",
		eachFor.String()).Output()
	var ended *exec.ExitError
	if err != nil && (!errors.As(err, &ended) || ended.ExitCode() != broken) {
		return s, 0, fmt.Errorf("planted fault %s: %w", f.Name, err)
	}
	lines := strings.Split(strings.TrimSpace(string(out)), "\n")
	if err := json.Unmarshal([]byte(lines[len(lines)-1]), &s); err != nil {
		return s, 0, err
	}
	if s.Violations == 0 {
		return s, 0, nil
	}
	raw, err := os.ReadFile(s.Trace)
	if err != nil {
		return s, 0, err
	}
	trace, err := explore.ReadTrace(raw)
	if err != nil {
		return s, 0, err
	}
	err = exec.CommandContext(ctx, bin, "explore", "--replay", s.Trace).Run()
	if !errors.As(err, &ended) || ended.ExitCode() != broken {
		return s, 0, fmt.Errorf("planted fault %s: its trace does not break the property again", f.Name)
	}
	return s, len(trace.Steps), nil
}
