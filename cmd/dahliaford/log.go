package main

import (
	"context"
	"log/slog"
	"sync"
	"time"
)

// How many lines of one kind the log takes in a while.
const (
	maxLines   = 20
	lineWindow = 5 * time.Second
)

// rateLimitedHandler passes on so many lines of one message in a while and counts the rest, so that
// whoever sends nonsense at full speed neither fills the log nor takes the core.
type rateLimitedHandler struct {
	slog.Handler
	counts *messageCounts
}

type messageCounts struct {
	sync.Mutex
	byMessage map[string]*window // by message: those are few
}

type window struct {
	since            time.Time
	written, dropped int
}

func newRateLimitedHandler(h slog.Handler) rateLimitedHandler {
	return rateLimitedHandler{h, &messageCounts{byMessage: map[string]*window{}}}
}

func (c rateLimitedHandler) Handle(ctx context.Context, r slog.Record) error {
	dropped, pass := c.counts.note(r.Message, r.Time)
	if !pass {
		return nil
	}
	if dropped > 0 {
		r.AddAttrs(slog.Int("left_out", dropped))
	}
	return c.Handler.Handle(ctx, r)
}

// note counts a line. It tells whether the line passes, and how many before did not.
func (s *messageCounts) note(message string, at time.Time) (dropped int, pass bool) {
	s.Lock()
	defer s.Unlock()
	n := s.byMessage[message]
	if n == nil {
		n = &window{since: at}
		s.byMessage[message] = n
	}
	if at.Sub(n.since) > lineWindow {
		dropped = n.dropped
		*n = window{since: at}
	}
	if n.written == maxLines {
		n.dropped++
		return 0, false
	}
	n.written++
	return dropped, true
}
