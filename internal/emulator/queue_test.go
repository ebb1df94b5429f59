package emulator

import (
	"cmp"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// The queue returns events in the order of their times, and events for the same time in the order in which
// they were scheduled.
func TestEventQueueOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type scheduled struct {
			at Micros
			n  int
		}
		var q eventQueue
		var want, got []scheduled
		for n, at := range rapid.SliceOfN(rapid.Int64Range(0, 20), 0, 200).Draw(t, "times") {
			e := scheduled{Micros(at), n}
			want = append(want, e)
			q.push(e.at, func() { got = append(got, e) })
		}
		slices.SortStableFunc(want, func(a, b scheduled) int { return cmp.Compare(a.at, b.at) })
		for e, ok := q.pop(); ok; e, ok = q.pop() {
			e.action()
		}
		if !slices.Equal(got, want) {
			t.Fatalf("the queue returns events, each with its time and number, in order %v, want %v", got, want)
		}
	})
}
