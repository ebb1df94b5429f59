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

// engineNames are the names of the engines that the engines drill measures.
var engineNames = []string{"bbolt", "pebble"}

// engineMeasurement measures one engine, an embedded store. The steps of the measurement run one after
// another, each in a process of its own.
type engineMeasurement struct {
	program, name string // path of this executable, and name of the engine
	seed          uint64
	progress      progressFunc

	figures map[string]any // the results of each step, by the step's label
	rows    [][]string     // rows of the table of the engines drill
}

// runEnginesDrill measures embedded stores as candidates for a job store.
func runEnginesDrill(ctx context.Context, seed uint64, progress progressFunc) (*report, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	rep := &report{ok: true, figures: map[string]any{}, table: [][]string{{"engine", "step", "figures"}}}
	for _, name := range engineNames {
		d := &engineMeasurement{program: self, name: name, seed: seed, progress: progress,
			figures: map[string]any{}}
		if err := d.run(ctx); err != nil {
			return nil, err
		}
		rep.figures[name], rep.table = d.figures, append(rep.table, d.rows...)
	}
	return rep, nil
}

// run runs all steps of the measurement of one engine, an embedded store.
func (d *engineMeasurement) run(ctx context.Context) error {
	folder, err := os.MkdirTemp("", "engine")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(folder) }() // a leftover temporary folder is harmless
	for _, callers := range []string{"1", "16", "256"} {
		stepFolder := filepath.Join(folder, "accept"+callers)
		if err := os.Mkdir(stepFolder, 0o777); err != nil {
			return err
		}
		if err := d.step(ctx, "accept "+callers, engineAccept, stepFolder, "--for", "3s", "--many",
			callers); err != nil {
			return err
		}
	}
	fillFolder, churnFolder := filepath.Join(folder, "large"), filepath.Join(folder, "churn")
	if err := errors.Join(os.Mkdir(fillFolder, 0o777), os.Mkdir(churnFolder, 0o777)); err != nil {
		return err
	}
	return errors.Join(d.step(ctx, engineFill, engineFill, fillFolder, "--many", "1000000"),
		d.step(ctx, engineOpen, engineOpen, fillFolder),
		d.step(ctx, engineChurn, engineChurn, churnFolder, "--many", "2000000"))
}

// step runs one step of the measurement in a child process and records the results under a label.
func (d *engineMeasurement) step(ctx context.Context, label, step, folder string, args ...string) error {
	d.progress("%s: %s %s", d.name, step, strings.Join(args, " "))
	args = append([]string{"engine", d.name, folder, step, "--seed", fmt.Sprint(d.seed)}, args...)
	out, err := exec.CommandContext(ctx, d.program, args...).Output()
	if err != nil {
		return fmt.Errorf("measure engine %s: run step %s: %w", d.name, step, err)
	}
	var figures map[string]any
	if err := json.Unmarshal(out, &figures); err != nil {
		return fmt.Errorf("measure engine %s: parse results of step %s: %w", d.name, step, err)
	}
	d.figures[label] = figures
	d.rows = append(d.rows, []string{d.name, label, strings.TrimSpace(string(out))})
	return nil
}
