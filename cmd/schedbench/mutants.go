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

// mutantSearchBudget is the maximum duration of the search of a mutant in its own world, the configuration in
// which the model checker must find the mutant's deliberate fault.
const mutantSearchBudget = 60 * time.Second

// A mutant is a deliberate fault in the source, as in mutation testing. A world is a configuration that the
// model checker simulates. If OnlyInWorld is set, the model checker must find the mutant in the world that
// the mutant names, and in no world with the default settings. The limits below bound the searches of the
// latter worlds.
const (
	otherWorldBudget    = 2 * time.Second // longest search of one simulated configuration
	otherWorldMaxFaults = 2               // largest number of faults injected in a simulated configuration
)

// runMutantDrill builds this program once with each mutant, a deliberate fault in the source. Each build
// searches the world (simulated configuration) in which the model checker must find the fault. The drill must
// run in the root of the repository, and needs the go command.
func runMutantDrill(ctx context.Context, _ uint64, progress progressFunc) (*report, error) {
	root, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat(filepath.Join(root, "go.mod")); err != nil {
		return nil, errors.New("no go.mod in the current folder: run the drill in the root of the repository")
	}
	r := &report{ok: true, table: [][]string{{"fault", "in", "what", "world", "property", "steps", "states",
		"seconds", "elsewhere"}}}
	found, all := 0, mutants.All()
	for _, m := range all {
		progress("%s ...", m.Name)
		outcome, err := checkMutant(ctx, root, m)
		if err != nil {
			return nil, fmt.Errorf("check mutant %s: %w", m.Name, err)
		}
		if outcome.asExpected() {
			found++
		} else {
			r.ok = false
		}
		r.table = append(r.table, outcome.row())
	}
	r.figures = map[string]any{"planted": len(all), "found": found}
	return r, nil
}

// mutantOutcome is the result of the searches by the model checker for a mutant, a deliberate fault in the
// source.
type mutantOutcome struct {
	mutant      mutants.Mutant
	search      searchSummary
	steps       int // number of steps in the trace of the violation
	otherWorlds otherWorlds
}

// asExpected reports whether the search for the mutant (a deliberate fault in the source) found a violation
// of a property that the mutant is expected to violate, and the searches of other worlds (simulated
// configurations) found no violation.
func (o mutantOutcome) asExpected() bool {
	return o.search.Violations > 0 && strings.Contains(o.mutant.Violates, o.search.Property) &&
		len(o.otherWorlds.foundIn) == 0
}

// row returns the row of the mutant, a deliberate fault in the source, in the table of the mutants drill.
func (o mutantOutcome) row() []string {
	property, steps, otherWorlds := "not found", "", ""
	if o.search.Violations > 0 {
		property, steps = o.search.Property, strconv.Itoa(o.steps)
	}
	if o.mutant.OnlyInWorld {
		otherWorlds = o.otherWorlds.String()
	}
	return []string{o.mutant.Name, strings.Join(o.mutant.Files(), ", "), o.mutant.About, o.mutant.World,
		property, steps, strconv.FormatInt(o.search.States, 10), fmt.Sprintf("%.2f", o.search.Seconds), otherWorlds}
}

// otherWorlds is the result of the searches for a mutant (a deliberate fault in the source) in all worlds
// (simulated configurations) with the default settings.
type otherWorlds struct {
	worlds  int      // number of simulated configurations searched
	states  int64    // number of states searched in all configurations
	foundIn []string // names of the configurations in which a violation was found
}

// String names the worlds (simulated configurations) in which a violation was found. If there is none, it
// returns the numbers of worlds and states that were searched.
func (e otherWorlds) String() string {
	if len(e.foundIn) > 0 {
		return "found in " + strings.Join(e.foundIn, ", ")
	}
	return fmt.Sprintf("found in none of %d searched worlds, with %d states together", e.worlds, e.states)
}

// checkMutant builds this program with a mutant, a deliberate fault in the source, and searches for a
// violation. If it finds one, it replays the trace with the same build.
func checkMutant(ctx context.Context, root string, m mutants.Mutant) (mutantOutcome, error) {
	o := mutantOutcome{mutant: m}
	folder, err := os.MkdirTemp("", "mutant")
	if err != nil {
		return o, err
	}
	defer func() { _ = os.RemoveAll(folder) }() // a leftover temporary folder is harmless
	build, err := buildMutant(ctx, root, folder, m)
	if err != nil {
		return o, err
	}
	var walk []string
	if m.Walk {
		walk = []string{"--walk"}
	}
	if o.search, err = build.search(ctx, m.World, mutantSearchBudget, walk...); err != nil {
		return o, err
	}
	if m.OnlyInWorld {
		if o.otherWorlds, err = build.searchOtherWorlds(ctx); err != nil {
			return o, err
		}
	}
	if o.search.Violations > 0 {
		o.steps, err = build.replay(ctx, o.search.Trace)
	}
	return o, err
}

// mutantBuild is a build of this program with a mutant, a deliberate fault in the source.
type mutantBuild struct {
	program string // path of the executable
	folder  string // the folder that traces are written to
}

// buildMutant builds this program with a mutant, a deliberate fault in the source, into a folder.
func buildMutant(ctx context.Context, root, folder string, m mutants.Mutant) (mutantBuild, error) {
	b := mutantBuild{program: filepath.Join(folder, "schedbench"), folder: folder}
	overlay, err := m.Overlay(root, folder)
	if err != nil {
		return b, err
	}
	build := exec.CommandContext(ctx, "go", "build", "-overlay", overlay, "-o", b.program, "./cmd/schedbench")
	build.Dir = root
	if out, err := build.CombinedOutput(); err != nil {
		return b, fmt.Errorf("build schedbench with the mutant: %w: %s", err, out)
	}
	return b, nil
}

// search runs the model checker of the build on the world (simulated configuration) with the given name, and
// returns the summary of the search.
func (b mutantBuild) search(ctx context.Context, world string, budget time.Duration,
	more ...string) (searchSummary, error) {
	args := append([]string{"modelcheck", "--world", world, "--out", b.folder, "--budget", budget.String()},
		more...)
	out, err := exec.CommandContext(ctx, b.program, args...).Output()
	if err != nil && !endedWithViolation(err) {
		return searchSummary{}, fmt.Errorf("search world %s: %w", world, err)
	}
	lines := strings.Split(strings.TrimSpace(string(out)), "\n")
	var s searchSummary
	if err := json.Unmarshal([]byte(lines[len(lines)-1]), &s); err != nil {
		return s, fmt.Errorf("parse the summary of the search of world %s: %w", world, err)
	}
	return s, nil
}

// searchOtherWorlds searches for violations by the mutant, a deliberate fault in the source, in all worlds
// (simulated configurations) with the default settings.
func (b mutantBuild) searchOtherWorlds(ctx context.Context) (otherWorlds, error) {
	var e otherWorlds
	for _, c := range modelcheck.Worlds() {
		if c.Overrides != (modelcheck.Overrides{}) || c.DeleteOvertakesRequest {
			// If a DELETE may overtake its request in a simulated configuration, a search finds a violation even
			// without a mutant.
			continue
		}
		faults := strconv.Itoa(min(otherWorldMaxFaults, int(c.MaxFaults)))
		s, err := b.search(ctx, c.Name, otherWorldBudget, "--faults", faults)
		if err != nil {
			return e, err
		}
		e.worlds++
		e.states += s.States
		if s.Violations > 0 {
			e.foundIn = append(e.foundIn, c.Name)
		}
	}
	return e, nil
}

// replay replays a trace with the build and returns the number of steps in the trace. It returns an error
// unless the replay violates a property.
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
		return 0, errors.New("the replay of the mutant's trace does not violate a property, want a violation")
	}
	return len(trace.Steps), nil
}

// endedWithViolation reports whether a run of this program ended with exitViolation.
func endedWithViolation(err error) bool {
	var ended *exec.ExitError
	return errors.As(err, &ended) && ended.ExitCode() == exitViolation
}
