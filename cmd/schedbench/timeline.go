package main

import (
	"sync/atomic"
	"time"

	"gonum.org/v1/plot/plotter"
)

const (
	// binLength is the time that one bin of a timeline covers.
	binLength = 100 * time.Millisecond
	// initialConnectTime is the time after the start of a run by which all clients have opened their first
	// connections.
	initialConnectTime = 3 * time.Second
)

// timeline is a histogram of events over time, in bins of binLength. An event after the end of the last bin
// counts in the last bin. A timeline is safe for concurrent use once startedAt is set.
type timeline struct {
	startedAt time.Time
	bins      []atomic.Int64 // number of events in each bin of binLength
}

// newTimeline returns an empty timeline that covers the given length of time.
func newTimeline(length time.Duration) *timeline {
	return &timeline{bins: make([]atomic.Int64, int(length/binLength))}
}

// add counts an event in the bin of the current time.
func (t *timeline) add() {
	t.bins[min(int(time.Since(t.startedAt)/binLength), len(t.bins)-1)].Add(1)
}

// total returns the number of events in the whole timeline.
func (t *timeline) total() (sum int64) {
	for i := range t.bins {
		sum += t.bins[i].Load()
	}
	return sum
}

// peak returns the largest number of events in a bin, which covers binLength. The result ignores the bins
// before initialConnectTime, because the clients open their first connections during that time.
func (t *timeline) peak() (largest int64) {
	for i := int(initialConnectTime / binLength); i < len(t.bins); i++ {
		largest = max(largest, t.bins[i].Load())
	}
	return largest
}

// perSecond returns the number of events in each second of the timeline.
func (t *timeline) perSecond() []int64 {
	perSecond := int(time.Second / binLength)
	seconds := make([]int64, (len(t.bins)+perSecond-1)/perSecond)
	for i := range t.bins {
		seconds[i/perSecond] += t.bins[i].Load()
	}
	return seconds
}

// chartLine returns the events per second as a named line of a chart.
func (t *timeline) chartLine(name string) chartLine {
	l := chartLine{name: name}
	for second, n := range t.perSecond() {
		l.points = append(l.points, plotter.XY{X: float64(second), Y: float64(n)})
	}
	return l
}
