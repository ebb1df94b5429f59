package node

import (
	"errors"
	"io"
	"os"
	"testing"
	"time"

	"dahliaford/internal/scheduler"
)

// A word is dealt with before its reader has looked for more. A writer that asks between the two waits,
// and is told when the reader has found nothing: no other word may come before its time is over.
func TestWriterWakesOnceTheWatchIsDrained(t *testing.T) {
	guard := newFreshnessGuard(500*millisecond, 6*second)
	clock := 100 * second
	ours, theirs := pair(t)
	reader, err := guard.newWatchReader(ours, func() scheduler.Micros { return clock })
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(theirs, "word\n"); err != nil {
		t.Fatal(err)
	}
	if _, err := reader.Read(make([]byte, 100)); err != nil {
		t.Fatal(err)
	}
	guard.countPosted(reader, clock)
	guard.countApplied(clock)
	next := guard.nextChange()
	if got := guard.allowSend("r1", clock); got != errUnapplied {
		t.Errorf("with the reader: %v", got)
	}
	ours.SetReadDeadline(time.Now().Add(-time.Second))
	if _, err := reader.Read(make([]byte, 100)); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatalf("read more: %v", err)
	}
	if got := guard.allowSend("r1", clock); got != nil {
		t.Errorf("nothing is left to read: %v", got)
	}
	select {
	case <-next:
	default:
		t.Error("who waits is not told")
	}
}
