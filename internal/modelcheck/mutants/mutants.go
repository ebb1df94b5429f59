// Package mutants lists faults that are put into the reducer, the state machine of connections and the
// decision module, to see whether the model checker finds them. A mutant is a change of source text that a
// build overlay (go build -overlay) puts in place of a file: the program itself has no hooks.
package mutants

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
)

// Mutant is the program with one fault.
type Mutant struct {
	Name    string
	About   string // what the fault is
	Patches []Patch
	World   string // the world in which the fault must show
	Walk    bool   // the world is walked at random: it has no end
	// Violates names the properties that may break by it, separated by spaces.
	Violates string
	// OnlyInWorld says that the fault shows under the settings of its world alone: it must not be found in
	// any world that has the usual settings.
	OnlyInWorld bool
}

// Patch is one change of a mutant: Old is replaced by New.
type Patch struct {
	File string // from the root of the repository
	Old  string // must stand in the file exactly once, after the patches before this one
	New  string
}

// The files that most patches change.
const (
	schedulerFile = "internal/scheduler/scheduler.go"
	connStateFile = "internal/connstate/connstate.go"
)

// All lists all mutants: of the reducer, of connections, of decisions.
func All() []Mutant {
	return slices.Concat(schedulerMutants, connstateMutants, dispatchMutants)
}

// Files lists the files that a mutant changes, each once.
func (m Mutant) Files() []string {
	var files []string
	for _, p := range m.Patches {
		if !slices.Contains(files, p.File) {
			files = append(files, p.File)
		}
	}
	return files
}

// Overlay writes the files of a mutant and the overlay that `go build -overlay` takes into a folder, and
// returns the path of the overlay. The error says which old text does not stand where it should.
func (m Mutant) Overlay(root, folder string) (string, error) {
	replaced := map[string]string{}
	for i, file := range m.Files() {
		source := filepath.Join(root, file)
		text, err := m.apply(source, file)
		if err != nil {
			return "", err
		}
		// Numbered: files of two packages may have the same name.
		patched := filepath.Join(folder, fmt.Sprintf("%d-%s", i, filepath.Base(file)))
		if err := os.WriteFile(patched, []byte(text), 0o666); err != nil {
			return "", fmt.Errorf("mutant %s: %w", m.Name, err)
		}
		replaced[source] = patched
	}
	raw, err := json.Marshal(map[string]map[string]string{"Replace": replaced})
	if err != nil {
		return "", fmt.Errorf("mutant %s: overlay: %w", m.Name, err)
	}
	overlay := filepath.Join(folder, "overlay.json")
	return overlay, os.WriteFile(overlay, raw, 0o666)
}

// apply returns the text of a source file with the patches of the mutant that are about it.
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
			return "", fmt.Errorf("mutant %s: its text stands %d times in %s: %q", m.Name, n, file, p.Old)
		}
		text = strings.Replace(text, p.Old, p.New, 1)
	}
	return text, nil
}
