package main

import (
	"context"
	"log/slog"
	"sync"
	"time"
)

// How many lines of one kind the log takes in a while.
const (
	mostLines = 20
	lineSpan  = 5 * time.Second
)

// calm passes on so many lines of one message in a while and counts the rest, so that
// whoever sends nonsense at full speed neither fills the log nor takes the core.
type calm struct {
	slog.Handler
	seen *seen
}

type seen struct {
	sync.Mutex
	lines map[string]*count // by message: those are few
}

type count struct {
	since         time.Time
	passed, swept int
}

func newCalm(h slog.Handler) calm { return calm{h, &seen{lines: map[string]*count{}}} }

func (c calm) Handle(ctx context.Context, r slog.Record) error {
	swept, pass := c.seen.note(r.Message, r.Time)
	if !pass {
		return nil
	}
	if swept > 0 {
		r.AddAttrs(slog.Int("left_out", swept))
	}
	return c.Handler.Handle(ctx, r)
}

// note counts a line. It tells whether the line passes, and how many before did not.
func (s *seen) note(message string, at time.Time) (swept int, pass bool) {
	s.Lock()
	defer s.Unlock()
	n := s.lines[message]
	if n == nil {
		n = &count{since: at}
		s.lines[message] = n
	}
	if at.Sub(n.since) > lineSpan {
		swept = n.swept
		*n = count{since: at}
	}
	if n.passed == mostLines {
		n.swept++
		return 0, false
	}
	n.passed++
	return swept, true
}
