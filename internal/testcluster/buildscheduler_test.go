package testcluster

import "testing"

// buildScheduler builds the scheduler's program.
func buildScheduler(t testing.TB) string {
	t.Helper()
	program, err := Build(t.Context(), "../..", t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	return program
}
