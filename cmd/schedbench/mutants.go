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

// mutantBudget is how long a mutant is searched for a violation, in its own world.
const mutantBudget = 60 * time.Second

// A mutant that must show in its own world alone is also searched in each world that has the usual settings:
// for elsewhereBudget, with elsewhereFaults faults at most.
const (
	elsewhereBudget = 2 * time.Second
	elsewhereFaults = 2
)

// mutantDrill builds this program with each mutant, and lets it search the world in which the fault must
// show. It runs in the root of the repository and needs Go.
func mutantDrill(ctx context.Context, _ uint64, say progressFunc) (*report, error) {
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
	for _, m := range all {
		say("%s ...", m.Name)
		outcome, err := checkMutant(ctx, root, m)
		if err != nil {
			return nil, fmt.Errorf("mutant %s: %w", m.Name, err)
		}
		if outcome.asExpected() {
			found++
		} else {
			r.ok = false
		}
		r.table = append(r.table, outcome.line())
	}
	r.figures = map[string]any{"planted": len(all), "found": found}
	return r, nil
}

// mutantOutcome is what became of a mutant.
type mutantOutcome struct {
	mutant    mutants.Mutant
	search    searchSummary
	steps     int // of the trace
	elsewhere elsewhere
}

// asExpected reports whether the mutant was found by a property that it may violate, and not elsewhere if it
// must show in its own world alone.
func (o mutantOutcome) asExpected() bool {
	return o.search.Violations > 0 && strings.Contains(o.mutant.Violates, o.search.Property) &&
		len(o.elsewhere.found) == 0
}

// line is the outcome's line in the table.
func (o mutantOutcome) line() []string {
	property, steps, elsewhere := "not found", "", ""
	if o.search.Violations > 0 {
		property, steps = o.search.Property, strconv.Itoa(o.steps)
	}
	if o.mutant.OnlyInWorld {
		elsewhere = o.elsewhere.String()
	}
	return []string{o.mutant.Name, strings.Join(o.mutant.Files(), ", "), o.mutant.About, o.mutant.World,
		property, steps, strconv.FormatInt(o.search.States, 10), fmt.Sprintf("%.2f", o.search.Seconds), elsewhere}
}

// elsewhere is what became of a mutant in the worlds with the usual settings.
type elsewhere struct {
	worlds int
	states int64
	found  []string // the worlds in which it was found all the same
}

// String says where it was found, or in how much it was not.
func (e elsewhere) String() string {
	if len(e.found) > 0 {
		return "found in " + strings.Join(e.found, ", ")
	}
	return fmt.Sprintf("in none of %d worlds, %d states", e.worlds, e.states)
}

// checkMutant builds a mutant, searches it, and has the trace replayed by the same build.
func checkMutant(ctx context.Context, root string, m mutants.Mutant) (mutantOutcome, error) {
	o := mutantOutcome{mutant: m}
	folder, err := os.MkdirTemp("", "mutant")
	if err != nil {
		return o, err
	}
	defer func() { _ = os.RemoveAll(folder) }() // a leftover in the temporary folder does no harm
	build, err := buildMutant(ctx, root, folder, m)
	if err != nil {
		return o, err
	}
	var walk []string
	if m.Walk {
		walk = []string{"--walk"}
	}
	if o.search, err = build.search(ctx, m.World, mutantBudget, walk...); err != nil {
		return o, err
	}
	if m.OnlyInWorld {
		if o.elsewhere, err = build.searchElsewhere(ctx); err != nil {
			return o, err
		}
	}
	if o.search.Violations > 0 {
		o.steps, err = build.replay(ctx, o.search.Trace)
	}
	return o, err
}

// mutantBuild is this program, built with a mutant.
type mutantBuild struct {
	program string
	folder  string // for traces
}

func buildMutant(ctx context.Context, root, folder string, m mutants.Mutant) (mutantBuild, error) {
	b := mutantBuild{program: filepath.Join(folder, "schedbench"), folder: folder}
	overlay, err := m.Overlay(root, folder)
	if err != nil {
		return b, err
	}
	build := exec.CommandContext(ctx, "go", "build", "-overlay", overlay, "-o", b.program, "./cmd/schedbench")
	build.Dir = root
	if out, err := build.CombinedOutput(); err != nil {
		return b, fmt.Errorf("build: %w: %s", err, out)
	}
	return b, nil
}

// search explores one world.
func (b mutantBuild) search(ctx context.Context, world string, budget time.Duration,
	more ...string) (searchSummary, error) {
	args := append([]string{"modelcheck", "--world", world, "--out", b.folder, "--budget", budget.String()},
		more...)
	out, err := exec.CommandContext(ctx, b.program, args...).Output()
	if err != nil && !endedWithViolation(err) {
		return searchSummary{}, fmt.Errorf("world %s: %w", world, err)
	}
	lines := strings.Split(strings.TrimSpace(string(out)), "\n")
	var s searchSummary
	if err := json.Unmarshal([]byte(lines[len(lines)-1]), &s); err != nil {
		return s, fmt.Errorf("world %s: summary: %w", world, err)
	}
	return s, nil
}

// searchElsewhere explores all worlds that have the usual settings.
func (b mutantBuild) searchElsewhere(ctx context.Context) (elsewhere, error) {
	var e elsewhere
	for _, c := range modelcheck.Worlds() {
		if c.Overrides != (modelcheck.Overrides{}) || c.DeleteOvertakesRequest { // the hole is known to break
			continue
		}
		faults := strconv.Itoa(min(elsewhereFaults, int(c.MaxFaults)))
		s, err := b.search(ctx, c.Name, elsewhereBudget, "--faults", faults)
		if err != nil {
			return e, err
		}
		e.worlds++
		e.states += s.States
		if s.Violations > 0 {
			e.found = append(e.found, c.Name)
		}
	}
	return e, nil
}

// replay replays a trace, which must violate its property again, and returns the number of its steps.
func (b mutantBuild) replay(ctx context.Context, path string) (steps int, err error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return 0, err
	}
	trace, err := modelcheck.ReadTrace(raw)
	if err != nil {
		return 0, err
	}
	err = exec.CommandContext(ctx, b.program, "modelcheck", "--replay", path).Run()
	if !endedWithViolation(err) {
		return 0, errors.New("its trace does not violate the property again")
	}
	return len(trace.Steps), nil
}

// endedWithViolation reports whether a run of this program ended with exitViolation.
func endedWithViolation(err error) bool {
	var ended *exec.ExitError
	return errors.As(err, &ended) && ended.ExitCode() == exitViolation
}
