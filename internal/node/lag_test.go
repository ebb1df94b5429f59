package node

import (
	"testing"

	"dahliaford/internal/scheduler"
)

// The estimate of the lag is the longest recorded delay and halves every lagDecay.
func TestLag(t *testing.T) {
	var l lag
	l.record(100*second, 0) // The event has no due time (scheduled is 0), so no delay is recorded.
	l.record(100*second, 100*second-40*millisecond)
	l.record(100*second+1, 100*second-10*millisecond)
	for after, want := range map[scheduler.Micros]scheduler.Micros{
		0: 40 * millisecond, second: 20 * millisecond, 2 * second: 10 * millisecond, 90 * second: 0} {
		if got := l.estimate(100*second + after); got != want {
			t.Errorf("%d us after a recorded delay of 40 ms the estimate of the lag is %d us, want %d us",
				after, got, want)
		}
	}
}
