package main

import (
	"context"
	"log/slog"
	"sync"
	"time"
)

// The log writes at most maxLines lines with the same message in each time window of length lineWindow.
const (
	maxLines   = 20
	lineWindow = 5 * time.Second
)

// rateLimitedHandler limits how many lines with the same message are written and counts the lines that it
// drops, so that a client that sends invalid requests at full speed neither fills the log nor takes up the
// processor core of the scheduler.
type rateLimitedHandler struct {
	slog.Handler
	counts *messageCounts
}

func newRateLimitedHandler(h slog.Handler) rateLimitedHandler {
	return rateLimitedHandler{h, &messageCounts{byMessage: map[string]*messageWindow{}}}
}

// Handle writes the record as a line, or drops the record if the limit of lines with its message is reached.
// The next line with this message that is written has the number of dropped lines in the attribute left_out.
func (h rateLimitedHandler) Handle(ctx context.Context, r slog.Record) error {
	dropped, allowed := h.counts.add(r.Message, r.Time)
	if !allowed {
		return nil
	}
	if dropped > 0 {
		r.AddAttrs(slog.Int("left_out", dropped))
	}
	return h.Handler.Handle(ctx, r)
}

// messageCounts counts log lines by message. Messages are constants of the program, so that the map stays
// small.
type messageCounts struct {
	sync.Mutex
	byMessage map[string]*messageWindow
}

// messageWindow counts the written and the dropped log lines of one message since the start of its time
// window, which lasts lineWindow.
type messageWindow struct {
	since            time.Time // the start of the time window in which the lines are counted
	written, dropped int
}

// add counts a line of a message, and reports whether the line may be written. At the first line of a new
// window, dropped is the number of lines that were dropped in the window before.
func (c *messageCounts) add(message string, at time.Time) (dropped int, allowed bool) {
	c.Lock()
	defer c.Unlock()
	w := c.byMessage[message]
	if w == nil {
		w = &messageWindow{since: at}
		c.byMessage[message] = w
	}
	if at.Sub(w.since) > lineWindow {
		dropped = w.dropped
		*w = messageWindow{since: at}
	}
	if w.written == maxLines {
		w.dropped++
		return 0, false
	}
	w.written++
	return dropped, true
}
