package node

import (
	"testing"

	"dahliaford/internal/scheduler"
)

// The lag is the worst delay of the last while, and decays.
func TestLag(t *testing.T) {
	var l lag
	l.record(100*second, 0) // nothing was scheduled
	l.record(100*second, 100*second-40*millisecond)
	l.record(100*second+1, 100*second-10*millisecond)
	for after, want := range map[scheduler.Micros]scheduler.Micros{
		0: 40 * millisecond, second: 20 * millisecond, 2 * second: 10 * millisecond, 90 * second: 0} {
		if got := l.estimate(100*second + after); got != want {
			t.Errorf("after %d us: %d, want %d", after, got, want)
		}
	}
}
