// Package mutants lists faults that are planted in the reducer, the connections' state
// machine and the decision module, to see whether the explorer finds them. A fault is a
// change of text that a build overlay puts in place of a source file: the program itself
// has no hooks.
package mutants

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
)

// Fault is one planted fault.
type Fault struct {
	Name  string
	About string
	File  string   // from the root of the repository
	Edits []string // old and new text in turns; each old text stands there exactly once
	World string   // in which it must show
	Want  string   // the properties that may break by it
	And   *Fault   // in another file, where two guard against the same
	Only  bool     // it shows under other settings only: in no world that has the usual ones
}

const (
	reducer    = "internal/scheduler/scheduler.go"
	connection = "internal/connstate/connstate.go"
	module     = "internal/dispatch/dispatcher.go"
)

// Faults are all faults.
func Faults() []Fault {
	return slices.Concat(schedulerMutants, connstateMutants, dispatchMutants)
}

// Overlay writes what `go build -overlay` takes to plant a fault, into a folder, and
// returns its path. The error says which old text does not stand where it should.
func (f Fault) Overlay(root, folder string) (string, error) {
	replaced := map[string]string{}
	for part := &f; part != nil; part = part.And {
		from := filepath.Join(root, part.File)
		raw, err := os.ReadFile(from)
		if err != nil {
			return "", err
		}
		text := string(raw)
		for i := 0; i+1 < len(part.Edits); i += 2 {
			if n := strings.Count(text, part.Edits[i]); n != 1 {
				return "", fmt.Errorf("planted fault %s: its text stands %d times in %s: %q", f.Name, n, part.File,
					part.Edits[i])
			}
			text = strings.Replace(text, part.Edits[i], part.Edits[i+1], 1)
		}
		to := filepath.Join(folder, filepath.Base(part.File))
		if err := os.WriteFile(to, []byte(text), 0o666); err != nil {
			return "", err
		}
		replaced[from] = to
	}
	overlay := filepath.Join(folder, "overlay.json")
	raw, err := json.Marshal(map[string]map[string]string{"Replace": replaced})
	if err != nil {
		return "", err
	}
	return overlay, os.WriteFile(overlay, raw, 0o666)
}
