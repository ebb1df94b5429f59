package testcluster

import "testing"

// buildScheduler compiles the scheduler's program into a temporary folder and returns its path.
func buildScheduler(t testing.TB) string {
	t.Helper()
	program, err := Build(t.Context(), "../..", t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	return program
}
