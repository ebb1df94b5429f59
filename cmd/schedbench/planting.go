package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"dahliaford/internal/modelcheck"
	"dahliaford/internal/modelcheck/mutants"
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
		"seconds", "elsewhere"}}}
	found, all := 0, mutants.All()
	for _, f := range all {
		say("%s ...", f.Name)
		s, steps, others, err := plant(ctx, root, f)
		if err != nil {
			return nil, err
		}
		line := []string{f.Name, strings.Join(f.Files(), ", "), f.About, f.World, "not found", "", fmt.Sprint(s.States),
			fmt.Sprintf("%.2f", s.Seconds), ""}
		if s.Violations > 0 {
			line[4], line[5] = s.Property, fmt.Sprint(steps)
		}
		if f.OnlyInWorld {
			line[8] = others.String()
		}
		if s.Violations > 0 && strings.Contains(f.Violates, s.Property) && len(others.found) == 0 {
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

// elsewhereFor is how long a fault that must show in its own world only is looked for in each of
// those with the usual settings, with elsewhereFaults faults of the world at most.
const (
	elsewhereFor    = 2 * time.Second
	elsewhereFaults = 2
)

// elsewhere is what became of a fault in the worlds with the usual settings.
type elsewhere struct {
	worlds int
	states int64
	found  []string // the worlds that found it all the same
}

func (e elsewhere) String() string {
	if len(e.found) > 0 {
		return "found in " + strings.Join(e.found, ", ")
	}
	return fmt.Sprintf("in none of %d worlds, %d states", e.worlds, e.states)
}

// plant looks for one fault, and has its trace replayed by the build that has the fault.
func plant(ctx context.Context, root string, f mutants.Mutant) (s summary, steps int, o elsewhere, err error) {
	folder, err := os.MkdirTemp("", "planted")
	if err != nil {
		return s, 0, o, err
	}
	defer os.RemoveAll(folder)
	overlay, err := f.Overlay(root, folder)
	if err != nil {
		return s, 0, o, err
	}
	bin := filepath.Join(folder, "lab")
	build := exec.CommandContext(ctx, "go", "build", "-overlay", overlay, "-o", bin, "./cmd/schedbench")
	build.Dir = root
	if out, err := build.CombinedOutput(); err != nil {
		return s, 0, o, fmt.Errorf("planted fault %s: %w: %s", f.Name, err, out)
	}
	if s, err = look(ctx, bin, folder, f.World, eachFor); err != nil {
		return s, 0, o, fmt.Errorf("planted fault %s: %w", f.Name, err)
	}
	if f.OnlyInWorld {
		if o, err = lookElsewhere(ctx, bin, folder); err != nil {
			return s, 0, o, fmt.Errorf("planted fault %s: %w", f.Name, err)
		}
	}
	if s.Violations == 0 {
		return s, 0, o, nil
	}
	raw, err := os.ReadFile(s.Trace)
	if err != nil {
		return s, 0, o, err
	}
	trace, err := modelcheck.ReadTrace(raw)
	if err != nil {
		return s, 0, o, err
	}
	var ended *exec.ExitError
	err = exec.CommandContext(ctx, bin, "explore", "--replay", s.Trace).Run()
	if !errors.As(err, &ended) || ended.ExitCode() != broken {
		return s, 0, o, fmt.Errorf("planted fault %s: its trace does not break the property again", f.Name)
	}
	return s, len(trace.Steps), o, nil
}

// look explores one world with a build that has a fault.
func look(ctx context.Context, bin, folder, world string, most time.Duration, more ...string) (s summary,
	err error) {
	args := append([]string{"explore", "--world", world, "--out", folder, "--budget", most.String()}, more...)
	out, err := exec.CommandContext(ctx, bin, args...).Output()
	var ended *exec.ExitError
	if err != nil && (!errors.As(err, &ended) || ended.ExitCode() != broken) {
		return s, err
	}
	lines := strings.Split(strings.TrimSpace(string(out)), "\n")
	return s, json.Unmarshal([]byte(lines[len(lines)-1]), &s)
}

// lookElsewhere explores all worlds that have the usual settings.
func lookElsewhere(ctx context.Context, bin, folder string) (o elsewhere, err error) {
	for _, c := range modelcheck.Worlds() {
		if c.Rules != (modelcheck.Rules{}) || c.DeleteOvertakesRequest { // the hole is known to break
			continue
		}
		faults := strconv.Itoa(min(elsewhereFaults, int(c.MaxFaults)))
		s, err := look(ctx, bin, folder, c.Name, elsewhereFor, "--faults", faults)
		if err != nil {
			return o, err
		}
		o.worlds++
		o.states += s.States
		if s.Violations > 0 {
			o.found = append(o.found, c.Name)
		}
	}
	return o, nil
}
