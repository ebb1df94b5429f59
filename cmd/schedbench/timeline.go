package main

import (
	"sync/atomic"
	"time"

	"gonum.org/v1/plot/plotter"
)

const (
	slotLength  = 100 * time.Millisecond // of a timeline
	connectTime = 3 * time.Second        // until every client has its first connections
)

// timeline counts events by slots of a tenth of a second. What comes after the last slot counts there. It is
// safe for concurrent use once it is started.
type timeline struct {
	startedAt time.Time
	slots     []atomic.Int64
}

func newTimeline(length time.Duration) *timeline {
	return &timeline{slots: make([]atomic.Int64, int(length/slotLength))}
}

// add counts an event now.
func (t *timeline) add() {
	t.slots[min(int(time.Since(t.startedAt)/slotLength), len(t.slots)-1)].Add(1)
}

func (t *timeline) total() (sum int64) {
	for i := range t.slots {
		sum += t.slots[i].Load()
	}
	return sum
}

// peak is the largest number in any slot once the first connections are there.
func (t *timeline) peak() (largest int64) {
	for i := int(connectTime / slotLength); i < len(t.slots); i++ {
		largest = max(largest, t.slots[i].Load())
	}
	return largest
}

func (t *timeline) perSecond() []int64 {
	perSecond := int(time.Second / slotLength)
	seconds := make([]int64, (len(t.slots)+perSecond-1)/perSecond)
	for i := range t.slots {
		seconds[i/perSecond] += t.slots[i].Load()
	}
	return seconds
}

// line is the timeline as a line of a chart.
func (t *timeline) line(name string) line {
	l := line{name: name}
	for second, n := range t.perSecond() {
		l.points = append(l.points, plotter.XY{X: float64(second), Y: float64(n)})
	}
	return l
}
