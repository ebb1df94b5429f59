package testcluster

import (
	"os/exec"
	"path/filepath"
	"testing"
)

// buildScheduler builds the scheduler's program.
func buildScheduler(t testing.TB) string {
	t.Helper()
	bin := filepath.Join(t.TempDir(), "dahliaford")
	root, err := filepath.Abs("../..")
	if err != nil {
		t.Fatal(err)
	}
	build := exec.Command("go", "build", "-o", bin, "./cmd/dahliaford")
	build.Dir = root
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	return bin
}
