package modelcheck

import (
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"dahliaford/internal/modelcheck/mutants"
)

// Each mutant finds the texts that it changes, and names a world and properties that there are.
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
				t.Errorf("%s: unknown property %q", m.Name, name)
			}
		}
		if names[m.Name] {
			t.Errorf("two mutants are named %s", m.Name)
		}
		names[m.Name] = true
	}
}

// Each mutant compiles. That it is found is for the drill of mutants, which takes minutes.
func TestMutantsCompile(t *testing.T) {
	if raceEnabled {
		t.Skip("what the compiler says does not depend on the race detector")
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
				t.Errorf("%v: %s", err, out)
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
