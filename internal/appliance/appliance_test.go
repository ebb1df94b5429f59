package appliance

import (
	"os"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"dahliaford/internal/store"
)

func TestParse(t *testing.T) {
	shipped, err := os.ReadFile("../../deploy/appliance.json")
	if err != nil {
		t.Fatal(err)
	}
	for raw, want := range map[string]Config{
		`{}`: {},
		`{"store":{"directory":"d"}}`: {Store: &Store{Config: store.Config{Path: "d/jobs.db"},
			AnswerRetention: time.Hour, CallbackWait: 5 * time.Second}},
		`{"store":{"directory":"d","ask_ms":0,"keep_s":0.5,"on_failure":"end"}}`: {Store: &Store{
			Config: store.Config{Path: "d/jobs.db"}, AnswerRetention: time.Second / 2, ExitOnDiskError: true}},
		string(shipped): {Store: &Store{Config: store.Config{Path: "/var/lib/dahliaford/jobs.db",
			MaxItems: 1_000_000, MaxBytes: 1 << 30}, AnswerRetention: time.Hour, CallbackWait: 5 * time.Second}},
	} {
		got, err := Parse([]byte(raw))
		if diff := cmp.Diff(want, got); err != nil || diff != "" {
			t.Errorf("file %s: got error %v and difference (-want +got) %s, want neither", raw, err, diff)
		}
	}
}

// The error of an invalid file is one line that begins with the path of the invalid field.
func TestInvalidFiles(t *testing.T) {
	for raw, want := range map[string]string{
		`{`:                          "not JSON",
		`[]`:                         "the file: ",
		`{"shop":{}}`:                "the file: Additional property shop",
		`{"store":{}}`:               "store: directory is required",
		`{"store":"here"}`:           "store: ",
		`{"store":{"directory":""}}`: "store.directory: ",
		`{"store":{"directory":"d","most_items":0}}`:     "store.most_items: ",
		`{"store":{"directory":"d","most_mb":1.5}}`:      "store.most_mb: ",
		`{"store":{"directory":"d","keep_s":0}}`:         "store.keep_s: ",
		`{"store":{"directory":"d","ask_ms":-1}}`:        "store.ask_ms: ",
		`{"store":{"directory":"d","on_failure":"cry"}}`: "store.on_failure: ",
	} {
		_, err := Parse([]byte(raw))
		if err == nil || !strings.HasPrefix(err.Error(), want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("file %s: got error %v, want one line that begins with %q", raw, err, want)
		}
	}
}
