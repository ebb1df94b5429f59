package main

import (
	"bytes"
	"context"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// Bad requests by the thousand must not make a line each; others are not hidden by them.
func TestLogIsRateLimited(t *testing.T) {
	var out bytes.Buffer
	h := newRateLimitedHandler(slog.NewTextHandler(&out, nil))
	say := func(text string, at int64) {
		h.Handle(context.Background(), slog.NewRecord(time.Unix(at, 0), slog.LevelWarn, text, 0))
	}
	for range 1000 {
		say("bad", 100)
	}
	say("other", 100)
	say("bad", 106)
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	if diff := cmp.Diff(maxLines+2, len(lines)); diff != "" {
		t.Fatal(diff)
	}
	if last := lines[maxLines+1]; !strings.HasSuffix(last, "left_out=980") {
		t.Error(last)
	}
}
