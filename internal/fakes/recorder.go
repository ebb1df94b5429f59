package fakes

import (
	"time"

	"dahliaford/internal/history"
)

// Recorder takes the events that a fake saw. It must be safe for concurrent use. A nil Recorder drops them.
type Recorder func(history.Event)

// record records an event at the present time.
func (r Recorder) record(e history.Event) {
	if r != nil {
		e.At = time.Now()
		r(e)
	}
}
