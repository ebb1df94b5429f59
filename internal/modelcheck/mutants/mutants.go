// Package mutants lists deliberate faults of the reducer, the connection state machine and the decision
// module. They test whether the model checker finds such faults. A mutant replaces text in source files by
// means of a build overlay (go build -overlay), so the production code contains no hooks for mutants.
package mutants

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
)

// Mutant is one deliberate fault in the source, as in mutation testing.
type Mutant struct {
	Name    string
	About   string // what the fault does and which failure follows
	Patches []Patch
	World   string // name of the simulated configuration in which the model checker must find the fault
	Walk    bool   // whether RandomWalk, instead of Search, looks for the fault
	// Violates lists the names of the properties that the fault may violate, separated by spaces.
	Violates string
	// OnlyInWorld means that the fault has an effect only with the settings of World. The model checker must not
	// find the fault in any simulated configuration with the default settings.
	OnlyInWorld bool
}

// Patch is one text replacement of a mutant, a deliberate fault in the source.
type Patch struct {
	File string // path relative to the root of the repository
	Old  string // text to replace; must occur exactly once in File after the preceding patches
	New  string // text that replaces Old
}

// The files that most patches change.
const (
	schedulerFile = "internal/scheduler/scheduler.go"
	connStateFile = "internal/connstate/connstate.go"
)

// All returns the mutants (deliberate faults) of the reducer, the connection state machine and the decision
// module.
func All() []Mutant {
	return slices.Concat(schedulerMutants, connstateMutants, dispatchMutants)
}

// Files returns the files that a mutant (a deliberate fault) changes, without duplicates.
func (m Mutant) Files() []string {
	var files []string
	for _, p := range m.Patches {
		if !slices.Contains(files, p.File) {
			files = append(files, p.File)
		}
	}
	return files
}

// Overlay writes the changed files of a mutant (a deliberate fault) and an overlay file for `go build
// -overlay` into a folder, and returns the path of the overlay file. If the Old text of a patch does not
// occur exactly once, the error quotes it.
func (m Mutant) Overlay(root, folder string) (string, error) {
	replaced := map[string]string{}
	for i, file := range m.Files() {
		source := filepath.Join(root, file)
		text, err := m.apply(source, file)
		if err != nil {
			return "", err
		}
		// The number in the name of the patched file distinguishes files of the same name from two packages.
		patched := filepath.Join(folder, fmt.Sprintf("%d-%s", i, filepath.Base(file)))
		if err := os.WriteFile(patched, []byte(text), 0o666); err != nil {
			return "", fmt.Errorf("mutant %s: %w", m.Name, err)
		}
		replaced[source] = patched
	}
	raw, err := json.Marshal(map[string]map[string]string{"Replace": replaced})
	if err != nil {
		return "", fmt.Errorf("mutant %s: encode the overlay file: %w", m.Name, err)
	}
	overlay := filepath.Join(folder, "overlay.json")
	return overlay, os.WriteFile(overlay, raw, 0o666)
}

// apply returns the text of a source file with the patches of the mutant (a deliberate fault) to that file
// applied.
func (m Mutant) apply(source, file string) (string, error) {
	raw, err := os.ReadFile(source)
	if err != nil {
		return "", fmt.Errorf("mutant %s: %w", m.Name, err)
	}
	text := string(raw)
	for _, p := range m.Patches {
		if p.File != file {
			continue
		}
		if n := strings.Count(text, p.Old); n != 1 {
			return "", fmt.Errorf("mutant %s: text to replace occurs %d times in %s, want once: %q", m.Name, n, file,
				p.Old)
		}
		text = strings.Replace(text, p.Old, p.New, 1)
	}
	return text, nil
}
