package main

import (
	"context"
	"log/slog"
	"sync"
	"time"
)

// The log takes maxLines lines of one message in lineWindow.
const (
	maxLines   = 20
	lineWindow = 5 * time.Second
)

// rateLimitedHandler limits the lines of each message and counts the dropped ones, so that a client that
// sends invalid requests at full speed neither fills the log nor uses up the core.
type rateLimitedHandler struct {
	slog.Handler
	counts *messageCounts
}

func newRateLimitedHandler(h slog.Handler) rateLimitedHandler {
	return rateLimitedHandler{h, &messageCounts{byMessage: map[string]*messageWindow{}}}
}

// Handle writes a line, or drops it. The first line after dropped ones says how many they were.
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

// messageCounts counts lines by message. Messages are constants of the program: there are few.
type messageCounts struct {
	sync.Mutex
	byMessage map[string]*messageWindow
}

// messageWindow counts the lines of a message since the window began.
type messageWindow struct {
	since            time.Time
	written, dropped int
}

// add counts a line, and reports whether it may be written and how many were dropped in the window before.
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
