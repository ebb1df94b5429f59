package client

import (
	"os"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestExampleConfig checks the example configuration file that is shipped with the program.
func TestExampleConfig(t *testing.T) {
	checkConfigFile(t, "../examples/client.json", Config{
		Schedulers: []string{"127.0.0.1:8443"}, Tenant: "sahel", RetryBudget: 0.1,
		Classes: map[string]Class{
			"post-reading":   {Deadline: 5 * time.Second, Effect: Once, MaxAttempts: 3},
			"district-batch": {Deadline: 20 * time.Second, Effect: Rack, MaxAttempts: 3}}})
}

// checkConfigFile checks that the file at path parses to the configuration want, and that New accepts the
// configuration.
func checkConfigFile(t *testing.T, path string, want Config) {
	t.Helper()
	raw, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	got, err := ParseConfig(raw)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
	c, err := New(got)
	if err != nil {
		t.Fatal(err)
	}
	c.Close()
}

// TestInvalidConfigs checks that ParseConfig rejects an invalid file with a single line that names the path
// of the invalid field, and that a retry budget of 0 in a file means no retries.
func TestInvalidConfigs(t *testing.T) {
	const head, class = `{"schedulers":["a:1"],"classes":`, `{"post":{"deadline_ms":1,"effect":"once"}}`
	for raw, want := range map[string]string{
		``:   "not JSON",
		`[]`: "the file: ",
		`{}`: "the file: classes is required",
		`{"schedulers":[],"classes":` + class + `}`:    "schedulers: ",
		`{"schedulers":["a"],"classes":` + class + `}`: "schedulers.0: ",
		head + `{}}`: "classes: ",
		head + `{"post":{"deadline_ms":0,"effect":"once"}}}`:            "classes.post.deadline_ms: ",
		head + `{"post":{"deadline_ms":1,"effect":"many"}}}`:            "classes.post.effect: ",
		head + `{"post":{"deadline_ms":1,"effect":"anywhere"}}}`:        "classes.post: window_ms is required",
		head + `{"post":{"deadline_ms":1,"effect":"once","tries":99}}}`: "classes.post.tries: ",
		head + class + `,"budget":2}`:                                   "budget: ",
		head + class + `,"color":2}`:                                    "the file: Additional property color",
	} {
		_, err := ParseConfig([]byte(raw))
		if err == nil || !strings.HasPrefix(err.Error(), "client: "+want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("file %s: got error %v, want one line that starts with \"client: \" and %q", raw, err, want)
		}
	}
	cfg, err := ParseConfig([]byte(head + class + `,"budget":0}`))
	if err != nil || cfg.RetryBudget != -1 {
		t.Errorf("got configuration %+v, error %v, want RetryBudget -1 for a budget of 0 in the file", cfg, err)
	}
}
