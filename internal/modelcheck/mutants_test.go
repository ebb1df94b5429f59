package modelcheck

import (
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"dahliaford/internal/modelcheck/mutants"
)

// TestMutantTexts checks that the text that each patch of a mutant (a deliberate fault) replaces occurs once
// in its file, that names of mutants are unique, and that mutants name only existing worlds and properties.
func TestMutantTexts(t *testing.T) {
	root := repositoryRoot(t)
	names := map[string]bool{}
	for _, m := range mutants.All() {
		if _, err := m.Overlay(root, t.TempDir()); err != nil {
			t.Error(err)
		}
		if _, err := WorldByName(m.World); err != nil {
			t.Error(err)
		}
		for _, name := range strings.Fields(m.Violates) {
			if !slices.ContainsFunc(Properties(), func(p Property) bool { return p.String() == name }) {
				t.Errorf("mutant %s: got property %q, want a known property", m.Name, name)
			}
		}
		if names[m.Name] {
			t.Errorf("mutant name %s: got several mutants of this name, want one", m.Name)
		}
		names[m.Name] = true
	}
}

// TestMutantsCompile checks that the source with each mutant (a deliberate fault) compiles. Whether the model
// checker finds the mutants is tested by the drill "mutants" of cmd/schedbench, which takes minutes.
func TestMutantsCompile(t *testing.T) {
	if raceEnabled {
		t.Skip("compilation of mutants does not depend on the race detector")
	}
	root := repositoryRoot(t)
	for _, m := range mutants.All() {
		t.Run(m.Name, func(t *testing.T) {
			overlay, err := m.Overlay(root, t.TempDir())
			if err != nil {
				t.Fatal(err)
			}
			args := []string{"build", "-overlay", overlay}
			for _, file := range m.Files() {
				args = append(args, "./"+filepath.Dir(file))
			}
			build := exec.CommandContext(t.Context(), "go", args...)
			build.Dir = root
			if out, err := build.CombinedOutput(); err != nil {
				t.Errorf("build of the source with the mutant: got error %v, want none: %s", err, out)
			}
		})
	}
}

func repositoryRoot(t *testing.T) string {
	t.Helper()
	root, err := filepath.Abs("../..")
	if err != nil {
		t.Fatal(err)
	}
	return root
}
