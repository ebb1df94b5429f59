package fakes

import (
	"time"

	"dahliaford/internal/history"
)

// Recorder receives the events that fake workers and clients observe. A Recorder must be safe for concurrent
// use. A nil Recorder discards events.
type Recorder func(history.Event)

// record passes an event to the recorder with the present time as its time.
func (r Recorder) record(e history.Event) {
	if r != nil {
		e.At = time.Now()
		r(e)
	}
}
