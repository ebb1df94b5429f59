package node

import (
	"errors"
	"os"
	"testing"
	"time"

	"dahliaford/internal/scheduler"
)

// A reader that had no processor time finds its deadline and the update together.
func TestReadDeadlineDoesNotSkipAnUpdate(t *testing.T) {
	guard := newFreshnessGuard(500*millisecond, 6*second)
	ours, theirs := loopbackPair(t)
	reader, err := guard.newWatchReader(ours, func() scheduler.Micros { return 1 })
	if err != nil {
		t.Fatal(err)
	}
	write(t, theirs, "word\n")
	for reader.empty() {
		time.Sleep(time.Millisecond)
	}
	ours.SetReadDeadline(time.Now().Add(-time.Second))
	buffer := make([]byte, 100)
	if n, err := reader.Read(buffer); err != nil || string(buffer[:n]) != "word\n" {
		t.Errorf("read %q, %v", buffer[:n], err)
	}
	if _, err := reader.Read(buffer); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("then %v", err)
	}
}
