package node

import (
	"errors"
	"os"
	"testing"
	"time"

	"dahliaford/internal/scheduler"
)

// A watch's reader that got no processor time finds its read deadline expired and an update in the socket.
// The reader must return the update before it reports the deadline.
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
		t.Errorf("first read after the read deadline returned %q and error %v, want the written line and no error",
			buffer[:n], err)
	}
	if _, err := reader.Read(buffer); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("read of the empty socket after the read deadline returned error %v, want a deadline error", err)
	}
}
