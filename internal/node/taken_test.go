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
func TestAWriterHearsWhenNothingIsLeftToRead(t *testing.T) {
	told := newTold(500*millisecond, 6*second)
	clock := 100 * second
	ours, theirs := pair(t)
	tap, err := told.tapped(ours, func() scheduler.Micros { return clock })
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(theirs, "word\n"); err != nil {
		t.Fatal(err)
	}
	if _, err := tap.Read(make([]byte, 100)); err != nil {
		t.Fatal(err)
	}
	told.post(tap, clock)
	told.apply(clock)
	next := told.next()
	if got := told.may("r1", clock); got != errUnread {
		t.Errorf("with the reader: %v", got)
	}
	ours.SetReadDeadline(time.Now().Add(-time.Second))
	if _, err := tap.Read(make([]byte, 100)); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatalf("read more: %v", err)
	}
	if got := told.may("r1", clock); got != nil {
		t.Errorf("nothing is left to read: %v", got)
	}
	select {
	case <-next:
	default:
		t.Error("who waits is not told")
	}
}
