package appliance

import (
	"os"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"dahliaford/internal/store"
)

// A configuration file that was written for an earlier release must be read as the same values by each later
// release. testdata/appliance.json is a copy of such a file and is never edited.
func TestFileOfEarlierRelease(t *testing.T) {
	raw, err := os.ReadFile("testdata/appliance.json")
	if err != nil {
		t.Fatal(err)
	}
	got, err := Parse(raw)
	if err != nil {
		t.Fatal(err)
	}
	want := Config{Store: &Store{Config: store.Config{Path: "/var/lib/dahliaford/jobs.db",
		MaxItems: 1_000_000, MaxBytes: 1 << 30}, AnswerRetention: time.Hour, CallbackWait: 5 * time.Second}}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}
