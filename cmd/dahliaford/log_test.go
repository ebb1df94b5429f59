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

// Thousands of invalid requests must neither write a log line each nor suppress lines with other messages.
func TestLogIsRateLimited(t *testing.T) {
	var out bytes.Buffer
	h := newRateLimitedHandler(slog.NewTextHandler(&out, nil))
	log := func(text string, at int64) {
		t.Helper()
		record := slog.NewRecord(time.Unix(at, 0), slog.LevelWarn, text, 0)
		if err := h.Handle(context.Background(), record); err != nil {
			t.Error(err)
		}
	}
	for range 1000 {
		log("bad", 100)
	}
	log("other", 100)
	log("bad", 106)
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	if diff := cmp.Diff(maxLines+2, len(lines)); diff != "" {
		t.Fatal(diff)
	}
	if last := lines[maxLines+1]; !strings.HasSuffix(last, "left_out=980") {
		t.Error(last)
	}
}
