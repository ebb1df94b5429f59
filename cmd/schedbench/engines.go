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
)

var engineNames = []string{"bbolt", "pebble"}

// engineDrill measures one engine, one step after another, each in a process of its own.
type engineDrill struct {
	program, name string
	seed          uint64
	progress      progressFunc

	figures map[string]any // of each step
	rows    [][]string
}

// engines measures the embedded stores that a job store could be built on.
func engines(ctx context.Context, seed uint64, progress progressFunc) (*report, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	rep := &report{ok: true, figures: map[string]any{}, table: [][]string{{"engine", "step", "figures"}}}
	for _, name := range engineNames {
		d := &engineDrill{program: self, name: name, seed: seed, progress: progress, figures: map[string]any{}}
		if err := d.run(ctx); err != nil {
			return nil, err
		}
		rep.figures[name], rep.table = d.figures, append(rep.table, d.rows...)
	}
	return rep, nil
}

// run measures all steps of an engine.
func (d *engineDrill) run(ctx context.Context) error {
	folder, err := os.MkdirTemp("", "engine")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(folder) }() // a temporary folder that stays does no harm
	for _, callers := range []string{"1", "16", "256"} {
		own := filepath.Join(folder, "accept"+callers)
		if err := os.Mkdir(own, 0o777); err != nil {
			return err
		}
		if err := d.step(ctx, "accept "+callers, engineAccept, own, "--for", "3s", "--many", callers); err != nil {
			return err
		}
	}
	large, churned := filepath.Join(folder, "large"), filepath.Join(folder, "churn")
	if err := errors.Join(os.Mkdir(large, 0o777), os.Mkdir(churned, 0o777)); err != nil {
		return err
	}
	return errors.Join(d.step(ctx, engineFill, engineFill, large, "--many", "1000000"),
		d.step(ctx, engineOpen, engineOpen, large),
		d.step(ctx, engineChurn, engineChurn, churned, "--many", "2000000"))
}

// step runs one step and keeps its figures under a label.
func (d *engineDrill) step(ctx context.Context, label, step, folder string, args ...string) error {
	d.progress("%s: %s %s", d.name, step, strings.Join(args, " "))
	args = append([]string{"engine", d.name, folder, step, "--seed", fmt.Sprint(d.seed)}, args...)
	out, err := exec.CommandContext(ctx, d.program, args...).Output()
	if err != nil {
		return fmt.Errorf("%s, %s: %w", d.name, step, err)
	}
	var figures map[string]any
	if err := json.Unmarshal(out, &figures); err != nil {
		return fmt.Errorf("%s, %s: %w", d.name, step, err)
	}
	d.figures[label] = figures
	d.rows = append(d.rows, []string{d.name, label, strings.TrimSpace(string(out))})
	return nil
}
